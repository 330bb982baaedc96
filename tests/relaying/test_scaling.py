"""Which upstreams the plan asks for."""

import pytest

from pepperstep.coordination.order_state import OrderState
from pepperstep.coordination.records import ServiceWork
from pepperstep.coordination.scaling import (
    Demand,
    ZoneCounts,
    plan_counts,
    required_upstreams,
)
from pepperstep.entities.routes import ScalingBounds

ZONES = ("a", "b", "c")
BOUNDS = ScalingBounds(1, 6, 4.0, 0.2, {"a": 0.85, "b": 1.2, "c": 1.0})
# Requests that an upstream works on at the same time in this model.
REQUESTS_EACH = 5


def requests(peak: float, present: float, mean: float | None = None) -> Demand:
    """Return what so many requests under way need; the mean is the peak by default."""
    mean = peak if mean is None else mean
    return Demand(peak / REQUESTS_EACH, present / REQUESTS_EACH, mean / REQUESTS_EACH)


QUIET = requests(peak=5, present=5)


def plan(
    demand=QUIET,
    dry=(),
    standing=None,
    bounds=BOUNDS,
    steady=0,
    coming=None,
    are_losses_close=False,
):
    """Return the plan where `standing` reclaimable upstreams are in each zone.

    Besides, there are as many `steady` ones in each. Reclaimable ones that start
    are `coming`, with those that stand.
    """
    standing = dict.fromkeys(ZONES, 3) if standing is None else standing
    stand = {zone: ZoneCounts(steady, standing.get(zone, 0)) for zone in ZONES}
    coming = {zone: standing.get(zone, 0) for zone in ZONES} | (coming or {})
    return plan_counts(
        demand, bounds, ZONES, frozenset(dry), stand, coming, are_losses_close
    )


def test_quiet_service_needs_no_steady_upstreams():
    assert {each.steady for each in plan().values()} == {0}
    assert {each.reclaimable for each in plan().values()} == {3}


def test_steady_ones_stay_until_reclaimable_ones_stand():
    counts = plan(standing={}, steady=3)
    assert sum(each.steady for each in counts.values()) == 3


def test_work_is_carried_without_the_largest_zone():
    counts = plan(requests(peak=50, present=50))
    reclaimable = [each.reclaimable for each in counts.values()]
    assert sum(reclaimable) - max(reclaimable) >= 50 / 5


def test_lost_zone_is_replaced_before_next_loss():
    standing = {"a": 0, "b": 2, "c": 2}
    counts = plan(requests(20, 20), dry=("a",), standing=standing)
    open_zones = [counts["b"].reclaimable, counts["c"].reclaimable]
    steady = sum(each.steady for each in counts.values())
    assert sum(open_zones) - max(open_zones) + steady >= 4


def test_cheapest_zones_come_first():
    standing = {"a": 3, "b": 0, "c": 3}
    counts = plan(requests(35, 35), dry=("b",), standing=standing)
    assert counts["a"].steady >= counts["c"].steady >= counts["b"].steady


def test_no_zone_has_more_than_its_bound():
    counts = plan(requests(900, 900), dry=ZONES, standing=dict.fromkeys(ZONES, 4))
    assert all(each.steady + each.reclaimable <= 6 for each in counts.values())


def test_past_peak_keeps_only_reclaimable():
    counts = plan(requests(peak=60, present=5))
    assert sum(each.steady for each in counts.values()) == 0
    assert all(each.reclaimable == 6 for each in counts.values())


def test_past_peak_is_covered_for_the_next_loss():
    standing_in_a, ordered_in_b = 3, 6
    demand = requests(peak=60, present=5)
    counts = plan(demand, dry=("a",), coming={"b": ordered_in_b, "c": 6})
    steady = sum(each.steady for each in counts.values())
    assert steady == 60 / 5 - standing_in_a - ordered_in_b


def test_steady_follow_the_mean_when_zones_are_lost():
    """Work that came in a burst before the loss isn't insured at the full price."""
    demand = requests(peak=60, present=25, mean=25)
    for zones, standing in ((("a",), {"b": 3, "c": 3}), (("a", "b"), {"c": 3})):
        counts = plan(demand, dry=zones, standing=standing)
        steady = sum(each.steady for each in counts.values())
        rest = sum(standing.values()) - max(standing.values())
        assert steady == (25 / 5 - rest if rest else 3)


def test_two_open_zones_can_each_carry_the_peak():
    """The next zone leaves before upstreams that are ordered then have started."""
    standing = {"a": 3, "b": 3}
    demand = requests(peak=22, present=10)
    counts = plan(demand, dry=("c",), standing=standing, coming={"a": 5, "b": 5})
    assert counts["a"].reclaimable >= 5
    assert counts["b"].reclaimable >= 5
    assert sum(each.steady for each in counts.values()) == 0


def test_running_upstreams_of_exhausted_zone_count():
    counts = plan(requests(peak=22, present=10), dry=("c",))
    carried = [counts["a"].reclaimable, counts["b"].reclaimable, 3]
    assert sum(carried) - max(carried) >= 5
    assert sum(each.steady for each in counts.values()) == 0


def test_single_available_zone_is_backed_by_steady_elsewhere():
    counts = plan(requests(peak=28, present=28), dry=("b", "c"), standing={"a": 3})
    assert counts["a"].reclaimable + counts["a"].steady == 6
    assert sum(each.steady for each in counts.values()) == 3


def test_upstreams_in_exhausted_zones_count_until_next_loss():
    """No zone gives out more, and one has lost all that it had."""
    standing = {"a": 3, "b": 3}
    counts = plan(requests(peak=25, present=10), dry=ZONES, standing=standing)
    assert sum(each.steady for each in counts.values()) == 2


def test_last_running_zone_is_backed_by_steady():
    counts = plan(requests(peak=20, present=20), dry=ZONES, standing={"a": 4})
    assert sum(each.steady for each in counts.values()) == 2


def test_steady_carry_all_work_without_reclaimable():
    counts = plan(requests(peak=30, present=20), dry=ZONES, standing={})
    assert sum(each.steady for each in counts.values()) >= 4


def test_no_steady_are_ordered_while_reclaimable_start():
    counts = plan(requests(peak=22, present=22), standing={"a": 3})
    assert sum(each.steady for each in counts.values()) == 0


def test_reading_and_requests_each_need_upstreams():
    assert required_upstreams(ServiceWork(in_flight=8, reading=3.0)) == pytest.approx(5)
    assert required_upstreams(ServiceWork(in_flight=60, reading=0.0)) == 4


def test_plan_is_stable_when_exhausted_zones_reopen():
    """A zone counts as dry until it was asked, and nothing may be due there."""
    standing = {"a": 3, "b": 3}
    demand = requests(peak=22, present=22)
    dry = plan(demand, dry=ZONES, standing=standing)
    partly = plan(demand, dry=("b", "c"), standing=standing)
    assert {zone: each.reclaimable for zone, each in dry.items()} == {
        zone: each.reclaimable for zone, each in partly.items()
    }


def test_other_zones_replace_a_full_zone():
    """The zone that stands is full, and may be the next that's lost."""
    counts = plan(requests(peak=60, present=60), dry=ZONES, standing={"a": 6})
    assert counts["a"].steady == 0
    assert counts["b"].steady + counts["c"].steady == 60 / REQUESTS_EACH - 6


def test_all_work_is_covered_when_losses_are_clustered():
    """The third zone is lost before upstreams that are ordered then have started."""
    standing = {"a": 0, "b": 0, "c": 6}
    demand = requests(peak=30, present=20, mean=20)
    apart = plan(demand, dry=("a", "b"), standing=standing)
    close = plan(demand, dry=("a", "b"), standing=standing, are_losses_close=True)
    assert sum(each.steady for each in apart.values()) == 2
    assert sum(each.steady for each in close.values()) == 6


@pytest.mark.parametrize(("pause", "expected"), [(1.2, True), (6.0, False)])
def test_losses_within_a_start_are_clustered(pause, expected):
    now = 0.0
    state = OrderState(lambda: now)
    now = 100.0
    state.note_dry("a")
    while now < 100.0 + pause:
        now += 0.5
        state.note_dry("a")
    state.note_dry("b")
    assert state.are_losses_close(BOUNDS.boot_seconds) is expected
    now += 10.0
    assert not state.are_losses_close(BOUNDS.boot_seconds)


def test_new_holder_ignores_old_losses():
    now = 100.0
    state = OrderState(lambda: now)
    while now < 112.0:
        state.note_dry("a")
        state.note_dry("b")
        assert not state.are_losses_close(BOUNDS.boot_seconds)
        now += 1.0
