"""Policies that choose how many hosts of each pool a deployment should have.

`planned` is the default; the others are simple baselines for comparison.
"""

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace

from pepperstep.fleet.history import PoolKey
from pepperstep.fleet.views import DeploymentView, PoolView
from pepperstep.ports.cloud import PriceClass

__all__ = ["POLICIES", "Policy", "bearable_base", "risk_price", "worst_loss"]

Policy = Callable[[DeploymentView], Counter[PoolKey]]

# Surcharge on the price for each recent reclaim or refusal, as a share of the price.
_RECLAIM_PRICE_SHARE = 0.15
_REFUSAL_PRICE_SHARE = 0.05
# Discount on running hosts, which keeps small price changes from replacing them.
_KEPT_PRICE_FACTOR = 0.85
# Above this cost weight, on-demand hosts only fill up to the base need.
_COST_PRIORITY_WEIGHT = 0.5


def risk_price(pool: PoolView, cost_weight: float) -> float:
    """Return the pool's price plus a surcharge for recent reclaims and refusals."""
    share = _RECLAIM_PRICE_SHARE * pool.reclaims * (2.0 - cost_weight)
    return pool.price * (1.0 + share + _REFUSAL_PRICE_SHARE * pool.refusals)


def worst_loss(counts: Mapping[PoolKey, int], pools: tuple[PoolView, ...]) -> int:
    """Return the largest number of reclaimable hosts in any one zone."""
    losses: Counter[str] = Counter()
    for pool in pools:
        if pool.is_reclaimable:
            losses[pool.key.zone] += counts.get(pool.key, 0)
    return max(losses.values(), default=0)


@dataclass(frozen=True, slots=True)
class _Candidate:
    """Hosts that an allocation may use: running ones of a pool, or new ones."""

    price: float
    key: PoolKey
    count: int
    is_kept: bool

    @property
    def is_reclaimable(self) -> bool:
        """Whether the cloud may take its hosts back."""
        return self.key.price_class is PriceClass.RECLAIMABLE


@dataclass(frozen=True, slots=True)
class _Allocation:
    """Hosts by pool, with the unmet need and the price an hour."""

    counts: Counter[PoolKey]
    shortage: int
    # Replicas missing after the loss of a zone.
    uncovered: int
    cost: float


def _planned(view: DeploymentView) -> Counter[PoolKey]:
    """Return the cheapest allocation that tolerates the loss of any one zone.

    Tries each limit of reclaimable hosts per zone: the spare capacity equals the
    limit, reclaimable hosts are added cheapest first up to the limit in each zone,
    and on-demand hosts, which the cloud never reclaims, fill the remainder.
    """
    candidates = _candidates(view)
    base = bearable_base(view)
    zone_limits = range(view.need.wanted + 1)
    allocations = [
        _allocate(view, base, candidates, zone_limit) for zone_limit in zone_limits
    ]
    return min(allocations, key=_allocation_sort_key).counts


def _allocation_sort_key(allocation: _Allocation) -> tuple:
    return allocation.shortage, allocation.uncovered, allocation.cost


def bearable_base(view: DeploymentView) -> int:
    """Return the replicas that must remain after the loss of a zone.

    If `max_replicas` is too small for the base need plus a spare zone, return what
    remains of `max_replicas` spread evenly over the zones without one of them.
    """
    zones = len({pool.key.zone for pool in view.pools if pool.is_reclaimable})
    if zones < 2:
        return view.need.base
    return min(view.need.base, view.max_replicas - -(-view.max_replicas // zones))


class _AllocationBuilder:
    """Builds an allocation of at most `limit` hosts."""

    def __init__(self, limit: int):
        self.limit = limit
        self.total = 0
        self.cost = 0.0
        self.counts: Counter[PoolKey] = Counter()
        self._by_zone: Counter[str] = Counter()

    @property
    def is_full(self) -> bool:
        """Whether the allocation has reached its limit."""
        return self.total >= self.limit

    def add(self, candidate: _Candidate, zone_limit: int) -> None:
        """Add as many of the candidate's hosts as both limits allow."""
        zone = candidate.key.zone
        room = min(zone_limit - self._by_zone[zone], self.limit - self.total)
        added = min(room, candidate.count)
        if added <= 0:
            return
        self._by_zone[zone] += added
        self.counts[candidate.key] += added
        self.total += added
        self.cost += added * candidate.price


def _allocate(
    view: DeploymentView, base: int, candidates: list[_Candidate], zone_limit: int
) -> _Allocation:
    loss_tolerant = base + zone_limit - view.startable
    total = min(max(view.need.wanted, loss_tolerant), view.max_replicas)
    spot = _AllocationBuilder(total)
    for candidate in candidates:
        if spot.is_full:
            break
        if candidate.is_reclaimable:
            spot.add(candidate, zone_limit)
    on_demand = _AllocationBuilder(total - spot.total)
    start_limit = on_demand.limit
    if view.cost_weight > _COST_PRIORITY_WEIGHT:
        start_limit = max(0, view.need.base - spot.total)
    for candidate in candidates:
        if on_demand.is_full:
            break
        if not candidate.is_reclaimable and (
            candidate.is_kept or on_demand.total < start_limit
        ):
            on_demand.add(
                candidate
                if candidate.is_kept
                else _limit_count(candidate, start_limit - on_demand.total),
                total,
            )
    return _Allocation(
        spot.counts + on_demand.counts,
        total - spot.total - on_demand.total,
        max(0, loss_tolerant - total),
        spot.cost + on_demand.cost,
    )


def _limit_count(candidate: _Candidate, count: int) -> _Candidate:
    return replace(candidate, count=min(candidate.count, count))


def _candidates(view: DeploymentView) -> list[_Candidate]:
    """Return running hosts and open pools by price, cheapest first."""
    have = Counter(host.key for host in view.counted)
    candidates = []
    for pool in view.pools:
        price = risk_price(pool, view.cost_weight)
        if have[pool.key]:
            kept = _Candidate(
                price * _KEPT_PRICE_FACTOR, pool.key, have[pool.key], True
            )
            candidates.append(kept)
        if pool.is_open:
            candidates.append(_Candidate(price, pool.key, view.max_replicas, False))
    return sorted(candidates, key=lambda candidate: (candidate.price, candidate.key))


def _cheapest(view: DeploymentView) -> Counter[PoolKey]:
    """Return the wanted hosts from the cheapest pool, whatever its risk."""
    return _fill(view, [pool.key for pool in sorted(view.pools, key=_by_price)])


def _all_on_demand(view: DeploymentView) -> Counter[PoolKey]:
    """Return the wanted hosts from the cheapest on-demand pool."""
    pools = sorted(view.pools, key=_by_price)
    return _fill(view, [pool.key for pool in pools if not pool.is_reclaimable])


def _all_reclaimable(view: DeploymentView) -> Counter[PoolKey]:
    """Return the wanted hosts, all reclaimable and spread evenly over the pools."""
    have = Counter(host.key for host in view.counted)
    pools = [pool for pool in view.pools if pool.is_reclaimable]
    counts: Counter[PoolKey] = Counter()
    for _ in range(min(view.need.wanted, view.max_replicas)):
        usable = [p for p in pools if p.is_open or counts[p.key] < have[p.key]]
        if not usable:
            break
        pool = min(usable, key=lambda p: (counts[p.key], p.price, p.key))
        counts[pool.key] += 1
    return counts


def _by_price(pool: PoolView) -> tuple[float, PoolKey]:
    return pool.price, pool.key


def _fill(view: DeploymentView, keys: list[PoolKey]) -> Counter[PoolKey]:
    """Return running hosts by order of `keys`, and new ones of the first open pool."""
    have = Counter(host.key for host in view.counted)
    open_keys = {pool.key for pool in view.pools if pool.is_open}
    total = min(view.need.wanted, view.max_replicas)
    counts: Counter[PoolKey] = Counter()
    for key in keys:
        counts[key] = min(have[key], total - counts.total())
    first = next((key for key in keys if key in open_keys), None)
    if first is not None:
        counts[first] += total - counts.total()
    return +counts


# Policies by their name in the settings.
POLICIES: dict[str, Policy] = {
    "planned": _planned,
    "cheapest": _cheapest,
    "all_on_demand": _all_on_demand,
    "all_reclaimable": _all_reclaimable,
}
