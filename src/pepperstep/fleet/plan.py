"""Planning of host starts and stops, each with its reason."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from pepperstep.fleet.history import PoolKey
from pepperstep.fleet.policies import POLICIES, risk_price, worst_loss
from pepperstep.fleet.views import DeploymentView, HostView, PoolView
from pepperstep.ports.cloud import Offer

__all__ = ["Decision", "StartHost", "StopHost", "plan_fleet"]


@dataclass(frozen=True, slots=True)
class StartHost:
    """Decision to start a host for a deployment."""

    deployment: str
    offer: Offer
    reason: str


@dataclass(frozen=True, slots=True)
class StopHost:
    """Decision to drain a host and then stop it."""

    deployment: str
    token: str
    host_id: str
    reason: str


Decision = StartHost | StopHost


def plan_fleet(
    views: Iterable[DeploymentView], policy: str = "planned"
) -> list[Decision]:
    """Return the starts and stops due now; `policy` is a key of `POLICIES`."""
    decisions: list[Decision] = []
    for view in views:
        target = POLICIES[policy](view)
        decisions += _plan_starts(view, target)
        decisions += _plan_stops(view, target)
    return decisions


def _plan_starts(view: DeploymentView, target: Counter[PoolKey]) -> list[StartHost]:
    counted = view.counted
    missing = target - Counter(host.key for host in counted)
    free_replicas = view.max_replicas - len(counted)
    pools = {pool.key: pool for pool in view.pools}
    starts = []
    for key in sorted(missing, key=lambda key: risk_price(pools[key], 0.5)):
        reason = _start_reason(view, target, pools[key])
        start = StartHost(view.name, pools[key].to_offer(), reason)
        starts += [start] * missing[key]
    return starts[: max(0, free_replicas)]


def _plan_stops(view: DeploymentView, target: Counter[PoolKey]) -> list[StopHost]:
    """Return the hosts to stop, keeping at least as many ready as the target has."""
    if not view.may_stop:
        return []
    stops = [
        _make_stop(view, host, "It didn't become ready in time.")
        for host in view.hosts
        if host.has_failed and not host.is_leaving and host.token
    ]
    surplus = Counter(host.key for host in view.counted) - target
    ready = Counter(host.key for host in view.counted if host.is_ready)
    for host in sorted(view.counted, key=_stop_sort_key(view)):
        if not surplus[host.key] or not host.token or not host.host_id:
            continue
        if host.is_ready and not _is_surplus(view, target, ready, host.key):
            continue
        ready[host.key] -= host.is_ready
        surplus[host.key] -= 1
        stops.append(_make_stop(view, host, _stop_reason(view, target, host)))
    return stops


def _is_surplus(
    view: DeploymentView,
    target: Counter[PoolKey],
    ready: Counter[PoolKey],
    key: PoolKey,
) -> bool:
    """Whether stopping a ready host of pool `key` keeps enough capacity.

    The remaining hosts must match the target and survive the loss of any one zone.
    """
    remaining = ready - Counter({key: 1})
    if remaining.total() < target.total():
        return False
    before = ready.total() - worst_loss(ready, view.pools)
    after = remaining.total() - worst_loss(remaining, view.pools)
    return after >= min(before, view.need.base - view.startable)


def _stop_sort_key(view: DeploymentView):
    """Return the sort key: unready, then highest risk price, then least busy first."""
    prices = {pool.key: risk_price(pool, view.cost_weight) for pool in view.pools}

    def key(host: HostView) -> tuple:
        price = prices.get(host.key, host.price)
        return host.is_ready, -price, host.busy, host.token

    return key


def _make_stop(view: DeploymentView, host: HostView, reason: str) -> StopHost:
    return StopHost(view.name, host.token, host.host_id, reason)


def _start_reason(
    view: DeploymentView, target: Counter[PoolKey], pool: PoolView
) -> str:
    need = view.need
    text = (
        f"{target.total()} replicas wanted for {need.busy:.0f} requests, "
        f"{need.base} of them must remain if a zone is taken back "
        f"({worst_loss(target, view.pools)} at most); {pool.key} costs "
        f"{pool.price:g} an hour"
    )
    if pool.is_reclaimable:
        return f"{text}, {pool.reclaims:.1f} reclaims, {pool.refusals:.1f} refusals."
    zones = {p.key.zone for p in view.pools if p.is_reclaimable and p.is_open}
    return f"{text}, on-demand as {len(zones)} zones start reclaimable hosts."


def _stop_reason(view: DeploymentView, target: Counter[PoolKey], host: HostView) -> str:
    return (
        f"{target[host.key]} of {target.total()} replicas wanted in {host.key} for "
        f"{view.need.busy:.0f} requests; it costs {host.price:g} an hour."
    )
