"""Decisions on hosts and models as plain functions."""

from collections import Counter
from dataclasses import replace

import pytest
from hypothesis import given, settings, strategies as st

from pepperstep.entities import ModelKey, Role
from pepperstep.fleet import (
    POLICIES,
    ActionKind,
    Demand,
    DeploymentView,
    EngineView,
    HostView,
    Need,
    Pool,
    PoolKey,
    PoolView,
    RolloutView,
    StartHost,
    StopHost,
    needed_replicas,
    plan_fleet,
    plan_models,
)
from pepperstep.fleet.demand import PeakDemand, startable_replicas
from pepperstep.fleet.history import Mark, MarkKind, decayed_count
from pepperstep.fleet.policies import bearable_base, worst_loss
from pepperstep.ports.cloud import PriceClass
from tests.fleet.day import Day
from tests.fleet.site import KEY, ZONES, deployment

SPOT, FIXED = PriceClass.RECLAIMABLE, PriceClass.ON_DEMAND


def _key(zone: int, price_class: PriceClass = SPOT) -> PoolKey:
    return PoolKey(ZONES[zone], "gpu", price_class)


def _pools(*closed: int, prices=(0.30, 0.34, 0.38), reclaims=(0, 0, 0)):
    spot = [
        PoolView(_key(n), prices[n], reclaims[n], 0, n not in closed) for n in range(3)
    ]
    return (*spot, *(PoolView(_key(n, FIXED), 1.0) for n in range(3)))


def _hosts(*keys: PoolKey, **changes) -> tuple[HostView, ...]:
    return tuple(
        HostView(f"t{n}", f"h{n}", key, 0.3, **changes) for n, key in enumerate(keys)
    )


def _view(base: int, wanted: int, **changes) -> DeploymentView:
    values = {"hosts": (), "pools": _pools()}
    return DeploymentView("d", Need(base, wanted, 16.0 * base), **(values | changes))


def _counts(decisions) -> tuple[Counter, list[str]]:
    """Return the starts by zone and class, and the hosts to stop."""
    starts = Counter(
        (ZONES.index(d.offer.zone), d.offer.price_class)
        for d in decisions
        if isinstance(d, StartHost)
    )
    return starts, [d.host_id for d in decisions if isinstance(d, StopHost)]


@pytest.mark.parametrize(
    ("view", "starts"),
    [
        # Two of three bear the loss of a zone; all three zones are cheapest.
        (_view(2, 3), {(0, SPOT): 1, (1, SPOT): 1, (2, SPOT): 1}),
        (_view(4, 5), {(0, SPOT): 2, (1, SPOT): 2, (2, SPOT): 2}),
        # One zone left: on-demand hosts bear its loss.
        (_view(2, 3, pools=_pools(0, 1)), {(2, SPOT): 1, (1, FIXED): 2}),
        # No zone left: what must remain, and for latency what is wanted.
        (_view(2, 3, pools=_pools(0, 1, 2), cost_weight=0.8), {(1, FIXED): 2}),
        (_view(2, 3, pools=_pools(0, 1, 2), cost_weight=0.2), {(1, FIXED): 3}),
        # What can start in time needs no headroom.
        (_view(2, 2, startable=2), {(0, SPOT): 2}),
        # Many reclaims make a zone dearer than the others.
        (_view(2, 2, startable=2, pools=_pools(reclaims=(3, 0, 0))), {(1, SPOT): 2}),
        (_view(4, 5, max_replicas=2), {(0, SPOT): 1, (1, SPOT): 1}),
        # Hosts that are leaving don't count.
        (
            _view(1, 1, hosts=_hosts(_key(0), _key(1), is_leaving=True)),
            {(0, SPOT): 1, (1, SPOT): 1},
        ),
    ],
)
def test_starts(view, starts):
    assert _counts(plan_fleet([view]))[0] == starts


@pytest.mark.parametrize(
    ("view", "stops"),
    [
        # The dearest goes first, and none under what is wanted.
        (_view(2, 3, hosts=_hosts(_key(0), _key(1), _key(2), _key(2, FIXED))), ["h3"]),
        (
            _view(
                2,
                3,
                hosts=(
                    *_hosts(_key(0), _key(1)),
                    HostView("n", "n", _key(2), 0.3, is_ready=False),
                    HostView("o", "o", _key(0, FIXED), 1.0),
                ),
            ),
            [],
        ),
        # A stop never leaves less than must remain after a zone's loss.
        (
            _view(
                2,
                3,
                hosts=(
                    *_hosts(_key(1), _key(1), _key(2), _key(2)),
                    HostView("n", "n", _key(0), 0.3, is_ready=False),
                ),
            ),
            [],
        ),
        (_view(1, 1, hosts=_hosts(*[_key(0)] * 4), may_stop=False), []),
        (_view(1, 1, hosts=_hosts(_key(0), _key(1), has_failed=True)), ["h0", "h1"]),
        # A host that the fleet didn't start, or that has no id yet, stays.
        (
            _view(
                1,
                1,
                hosts=(
                    *_hosts(_key(0), _key(1)),
                    HostView("", "foreign", _key(2), 1.0),
                    HostView("t", "", _key(2), 1.0, is_ready=False),
                ),
            ),
            [],
        ),
    ],
)
def test_stops(view, stops):
    decisions = plan_fleet([view])
    assert _counts(decisions)[1] == stops
    assert all(decision.reason for decision in decisions)


def test_small_price_changes_replace_no_host():
    hosts = _hosts(_key(0), _key(1))
    pools = _pools(prices=(0.34, 0.34, 0.31))
    assert not plan_fleet([_view(1, 2, hosts=hosts, pools=pools)])


_COUNTS = st.lists(st.integers(0, 6), min_size=6, max_size=6)


@st.composite
def _views(draw) -> DeploymentView:
    base = draw(st.integers(1, 10))
    keys = [_key(n % 3, (SPOT, FIXED)[n // 3]) for n in range(6)]
    hosts = []
    for key, count in zip(keys, draw(_COUNTS), strict=True):
        for _ in range(count):
            name = f"h{len(hosts)}"
            ready, leaving = draw(st.booleans()), draw(st.integers(0, 4)) == 0
            hosts.append(HostView(name, name, key, 0.5, ready, leaving))
    pools = tuple(
        PoolView(
            key,
            draw(st.floats(0.2, 1.5)),
            draw(st.floats(0, 4)),
            draw(st.floats(0, 4)),
            draw(st.booleans()),
        )
        for key in keys
    )
    return DeploymentView(
        "d",
        Need(base, base + draw(st.integers(0, 4))),
        tuple(hosts),
        pools,
        draw(st.integers(base, 40)),
        draw(st.floats(0, 1)),
    )


@settings(derandomize=True, max_examples=300, deadline=None)
@given(_views())
def test_plan_invariants(view):
    decisions = plan_fleet([view])
    starts, stops = _counts(decisions)
    counted = {host.host_id: host for host in view.counted}
    open_keys = {pool.key for pool in view.pools if pool.is_open}
    started = Counter(
        PoolKey.of(d.offer) for d in decisions if isinstance(d, StartHost)
    )
    assert set(started) <= open_keys
    assert len(counted) + starts.total() <= max(view.max_replicas, len(counted))
    # Nothing is stopped twice, and no ready host while it's needed.
    assert len(set(stops)) == len(stops)
    assert set(stops) <= set(counted)
    ready = Counter(host.key for host in counted.values() if host.is_ready)
    rest = ready - Counter(counted[s].key for s in stops if counted[s].is_ready)
    assert rest.total() >= min(ready.total(), view.need.wanted, view.max_replicas)
    kept = rest.total() - worst_loss(rest, view.pools)
    before = ready.total() - worst_loss(ready, view.pools)
    assert kept >= min(before, view.need.base)
    # With on-demand hosts to be had, the loss of any zone is borne.
    if any(key.price_class is FIXED for key in open_keys):
        stopped = Counter(counted[s].key for s in stops)
        after = Counter(h.key for h in counted.values()) + started - stopped
        room = view.max_replicas - len(counted)
        if starts.total() < room:
            kept = after.total() - worst_loss(after, view.pools)
            assert kept >= bearable_base(view)


@settings(derandomize=True, max_examples=100, deadline=None)
@given(_views(), st.sampled_from(sorted(POLICIES)))
def test_plan_settles(view, policy):
    """Decisions that are carried out come to an end."""
    # Near the largest number, hosts are replaced one after another.
    for _ in range(30):
        decisions = plan_fleet([view], policy)
        if not decisions:
            return
        stops = set(_counts(decisions)[1])
        hosts = [
            replace(host, is_ready=True)
            for host in view.counted
            if host.host_id not in stops
        ]
        for decision in decisions:
            if isinstance(decision, StartHost):
                name = f"n{len(hosts)}"
                offer = decision.offer
                hosts.append(HostView(name, name, PoolKey.of(offer), offer.price))
        hosts = [replace(h, host_id=f"x{n}", token="x") for n, h in enumerate(hosts)]
        view = replace(view, hosts=tuple(hosts))
    raise AssertionError("The plan goes on and on.")


@pytest.mark.parametrize(
    ("demand", "changes", "need"),
    [
        (Demand(0.0), {}, (1, 1)),
        (Demand(32.0), {"cost_weight": 1.0}, (2, 3)),
        (Demand(160.0), {"cost_weight": 1.0}, (10, 11)),
        (Demand(160.0), {"cost_weight": 0.0}, (10, 12)),
        (Demand(64.0, first_token_p95=1.08), {"first_token_seconds": 0.54}, (4, 10)),
        (
            Demand(64.0, between_tokens_p95=0.06),
            {"between_tokens_seconds": 0.05},
            (4, 6),
        ),
        (Demand(900.0), {"max_replicas": 6}, (6, 6)),
        (Demand(1.0, slots=0), {"min_replicas": 3}, (3, 3)),
    ],
)
def test_needed_replicas(demand, changes, need):
    found = needed_replicas(demand, deployment(**changes))
    assert (found.base, found.wanted) == need


def test_peak_startable_and_history():
    peak = PeakDemand(10)
    samples = [(0, 5.0), (4, 9.0), (8, 2.0), (15, 1.0), (20, 0.5)]
    peaks = [peak.note(now, Demand(busy)).busy for now, busy in samples]
    assert peaks == [5, 9, 9, 2, 1]
    assert startable_replicas(30, 10, 10, 1.5) == 3
    assert startable_replicas(30, 31, 10, 1.5) == startable_replicas(30, 10, 0, 0) == 0
    assert decayed_count((0.0, 3600.0), 3600.0) == pytest.approx(1.5)
    pool = Pool()
    for time in (0, 10, 10, 100):
        pool = pool.marked(Mark(_key(0), MarkKind.REFUSED, time + 50), time)
    # Starts that were asked for together count once.
    assert (pool.refusals_in_row, pool.blocked_until) == (2, 150)
    assert pool.marked(Mark(_key(0), MarkKind.STARTED), 120).refusals_in_row == 2
    assert pool.marked(Mark(_key(0), MarkKind.STARTED), 151).refusals_in_row == 0
    for time in (0, 30, 61, 200):
        pool = pool.marked(Mark(_key(0), MarkKind.RECLAIMED, time), time)
    assert pool.reclaims == (0, 61, 200)


def _engine(number: int, *models: ModelKey, **changes) -> EngineView:
    return EngineView(f"e{number}", 1, frozenset(models), **changes)


_OLD = ModelKey("zaseki-7b", "", "0")


@pytest.mark.parametrize(
    ("views", "orders"),
    [
        # The least covered deployment first, then the one that weighs latency.
        (
            [
                RolloutView("a", KEY, (_engine(1), _engine(2)), 2, 10.0, 0.9),
                RolloutView("b", KEY, (_engine(3), _engine(4)), 4, 10.0, 0.1),
            ],
            [("b", "e3"), ("a", "e1"), ("b", "e4")],
        ),
        (
            [RolloutView("a", KEY, (_engine(1), _engine(2)), 2, 100.0)],
            [("a", "e1")],
        ),
        (
            [
                RolloutView(
                    "a", KEY, (_engine(1, is_loading=True), _engine(2)), 2, 100.0
                )
            ],
            [],
        ),
        ([RolloutView("a", KEY, (_engine(1, is_paused=True),), 1)], []),
    ],
)
def test_loads_by_need_under_the_rate(views, orders):
    found = plan_models(views, 30.0)
    assert [(order.deployment, order.engine.name) for order in found] == orders


def test_unloads_and_roles():
    both, old = _engine(1, KEY, _OLD), _engine(2, _OLD, is_loading=True)
    view = RolloutView("a", KEY, (both, old), 2, is_settled=True)
    assert not plan_models([view], 30.0)
    view = replace(view, engines=(both, _engine(2, KEY)))
    orders = [(o.kind, o.engine.name, o.model_key) for o in plan_models([view], 30.0)]
    assert orders == [(ActionKind.UNLOAD, "e1", _OLD)]
    assert not plan_models([replace(view, is_settled=False)], 30.0)
    view = replace(view, is_settled=False, prefill_share=0.5)
    roles = {o.engine.name: o.role for o in plan_models([view], 30.0)}
    assert roles == {"e1": Role.PREFILL, "e2": Role.DECODE}


@pytest.mark.parametrize(("name", "weight"), [("latency", 0.2), ("cost", 0.8)])
def test_day_costs_less_than_on_demand_and_holds(name, weight):
    days = {
        policy: Day(policy, deployment(cost_weight=weight), ZONES, 11).run()
        for policy in POLICIES
    }
    dearest = days["all_on_demand"].cost
    for policy, day in sorted(days.items()):
        print(
            f"{name} {policy}: cost {day.cost:.1f} ({day.cost / dearest:.0%}), "
            f"held {day.held_share:.2%}, after waves {day.held_wave_share:.2%}"
        )
    planned = days["planned"]
    assert planned.cost <= 0.7 * dearest
    assert planned.held_share >= 0.95
    assert planned.held_wave_share >= 0.95
