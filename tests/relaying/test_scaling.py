"""Planned numbers of upstreams by zone and kind."""

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
# Requests that an upstream handles concurrently in these tests.
REQUESTS_EACH = 5


def requests(peak: float, present: float, mean: float | None = None) -> Demand:
    """Return the demand of requests in flight; the mean defaults to the peak."""
    mean = peak if mean is None else mean
    return Demand(peak / REQUESTS_EACH, present / REQUESTS_EACH, mean / REQUESTS_EACH)


LOW_DEMAND = requests(peak=5, present=5)


def plan(
    demand=LOW_DEMAND,
    exhausted=(),
    running=None,
    bounds=BOUNDS,
    steady=0,
    expected=None,
    are_losses_clustered=False,
):
    """Return the plan for the given state of the zones.

    `running` counts the running reclaimable upstreams by zone and `steady` the steady
    ones in each zone. `expected` overrides the counts expected, which include starting
    ones.
    """
    running = dict.fromkeys(ZONES, 3) if running is None else running
    zone_counts = {zone: ZoneCounts(steady, running.get(zone, 0)) for zone in ZONES}
    expected = {zone: running.get(zone, 0) for zone in ZONES} | (expected or {})
    return plan_counts(
        demand,
        bounds,
        ZONES,
        frozenset(exhausted),
        zone_counts,
        expected,
        are_losses_clustered,
    )


def test_quiet_service_needs_no_steady_upstreams():
    assert {each.steady for each in plan().values()} == {0}
    assert {each.reclaimable for each in plan().values()} == {3}


def test_steady_stay_until_reclaimable_run():
    counts = plan(running={}, steady=3)
    assert sum(each.steady for each in counts.values()) == 3


def test_work_is_carried_without_the_largest_zone():
    counts = plan(requests(peak=50, present=50))
    reclaimable = [each.reclaimable for each in counts.values()]
    assert sum(reclaimable) - max(reclaimable) >= 50 / 5


def test_lost_zone_is_replaced_before_next_loss():
    running = {"a": 0, "b": 2, "c": 2}
    counts = plan(requests(20, 20), exhausted=("a",), running=running)
    open_zones = [counts["b"].reclaimable, counts["c"].reclaimable]
    steady = sum(each.steady for each in counts.values())
    assert sum(open_zones) - max(open_zones) + steady >= 4


def test_cheapest_zones_come_first():
    running = {"a": 3, "b": 0, "c": 3}
    counts = plan(requests(35, 35), exhausted=("b",), running=running)
    assert counts["a"].steady >= counts["c"].steady >= counts["b"].steady


def test_no_zone_has_more_than_its_bound():
    counts = plan(requests(900, 900), exhausted=ZONES, running=dict.fromkeys(ZONES, 4))
    assert all(each.steady + each.reclaimable <= 6 for each in counts.values())


def test_past_peak_keeps_only_reclaimable():
    counts = plan(requests(peak=60, present=5))
    assert sum(each.steady for each in counts.values()) == 0
    assert all(each.reclaimable == 6 for each in counts.values())


def test_past_peak_is_covered_for_the_next_loss():
    running_in_a, expected_in_b = 3, 6
    demand = requests(peak=60, present=5)
    counts = plan(demand, exhausted=("a",), expected={"b": expected_in_b, "c": 6})
    steady = sum(each.steady for each in counts.values())
    assert steady == 60 / 5 - running_in_a - expected_in_b


def test_steady_follow_the_mean_when_zones_are_lost():
    """A burst before the loss isn't covered by steady upstreams."""
    demand = requests(peak=60, present=25, mean=25)
    for zones, running in ((("a",), {"b": 3, "c": 3}), (("a", "b"), {"c": 3})):
        counts = plan(demand, exhausted=zones, running=running)
        steady = sum(each.steady for each in counts.values())
        rest = sum(running.values()) - max(running.values())
        assert steady == (25 / 5 - rest if rest else 3)


def test_two_open_zones_can_each_carry_the_peak():
    """The next zone may leave before upstreams ordered then have started."""
    running = {"a": 3, "b": 3}
    demand = requests(peak=22, present=10)
    counts = plan(demand, exhausted=("c",), running=running, expected={"a": 5, "b": 5})
    assert counts["a"].reclaimable >= 5
    assert counts["b"].reclaimable >= 5
    assert sum(each.steady for each in counts.values()) == 0


def test_running_upstreams_of_exhausted_zone_count():
    counts = plan(requests(peak=22, present=10), exhausted=("c",))
    carried = [counts["a"].reclaimable, counts["b"].reclaimable, 3]
    assert sum(carried) - max(carried) >= 5
    assert sum(each.steady for each in counts.values()) == 0


def test_single_available_zone_is_backed_by_steady_elsewhere():
    counts = plan(requests(peak=28, present=28), exhausted=("b", "c"), running={"a": 3})
    assert counts["a"].reclaimable + counts["a"].steady == 6
    assert sum(each.steady for each in counts.values()) == 3


def test_upstreams_in_exhausted_zones_count_until_next_loss():
    """No zone provides further upstreams, and one has lost all of its own."""
    running = {"a": 3, "b": 3}
    counts = plan(requests(peak=25, present=10), exhausted=ZONES, running=running)
    assert sum(each.steady for each in counts.values()) == 2


def test_last_running_zone_is_backed_by_steady():
    counts = plan(requests(peak=20, present=20), exhausted=ZONES, running={"a": 4})
    assert sum(each.steady for each in counts.values()) == 2


def test_steady_carry_all_work_without_reclaimable():
    counts = plan(requests(peak=30, present=20), exhausted=ZONES, running={})
    assert sum(each.steady for each in counts.values()) >= 4


def test_no_steady_are_ordered_while_reclaimable_start():
    counts = plan(requests(peak=22, present=22), running={"a": 3})
    assert sum(each.steady for each in counts.values()) == 0


def test_reading_and_requests_each_need_upstreams():
    assert required_upstreams(ServiceWork(in_flight=8, reading=3.0)) == pytest.approx(5)
    assert required_upstreams(ServiceWork(in_flight=60, reading=0.0)) == 4


def test_plan_is_stable_when_exhausted_zones_reopen():
    """A zone counts as exhausted until it's asked again, even if no order is due."""
    running = {"a": 3, "b": 3}
    demand = requests(peak=22, present=22)
    exhausted = plan(demand, exhausted=ZONES, running=running)
    partly = plan(demand, exhausted=("b", "c"), running=running)
    assert {zone: each.reclaimable for zone, each in exhausted.items()} == {
        zone: each.reclaimable for zone, each in partly.items()
    }


def test_other_zones_replace_a_full_zone():
    """The running zone is full and may be lost next."""
    counts = plan(requests(peak=60, present=60), exhausted=ZONES, running={"a": 6})
    assert counts["a"].steady == 0
    assert counts["b"].steady + counts["c"].steady == 60 / REQUESTS_EACH - 6


def test_all_work_is_covered_when_losses_are_clustered():
    """The third zone is lost before upstreams ordered then have started."""
    running = {"a": 0, "b": 0, "c": 6}
    demand = requests(peak=30, present=20, mean=20)
    apart = plan(demand, exhausted=("a", "b"), running=running)
    close = plan(
        demand, exhausted=("a", "b"), running=running, are_losses_clustered=True
    )
    assert sum(each.steady for each in apart.values()) == 2
    assert sum(each.steady for each in close.values()) == 6


@pytest.mark.parametrize(("pause", "expected"), [(1.2, True), (6.0, False)])
def test_losses_within_a_start_are_clustered(pause, expected):
    now = 0.0
    state = OrderState(lambda: now)
    now = 100.0
    state.mark_exhausted("a")
    while now < 100.0 + pause:
        now += 0.5
        state.mark_exhausted("a")
    state.mark_exhausted("b")
    assert state.are_losses_clustered(BOUNDS.boot_seconds) is expected
    now += 10.0
    assert not state.are_losses_clustered(BOUNDS.boot_seconds)


def test_new_holder_ignores_old_losses():
    now = 100.0
    state = OrderState(lambda: now)
    while now < 112.0:
        state.mark_exhausted("a")
        state.mark_exhausted("b")
        assert not state.are_losses_clustered(BOUNDS.boot_seconds)
        now += 1.0
