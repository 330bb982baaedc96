"""Plans how many upstreams of each kind a service needs in each zone.

Reclaimable upstreams cost a fraction of the steady ones, but the cloud may reclaim all
of a zone at once. So reclaimable upstreams in all zones carry the work, as many as
suffice without the largest zone. Steady upstreams, which can't be reclaimed, replace
those of a zone that provides none.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass

from pepperstep.coordination.records import ServiceWork
from pepperstep.entities.routes import ScalingBounds

__all__ = ["Demand", "ZoneCounts", "plan_counts", "required_upstreams"]

# Share of its time in which an upstream can read prompts, at the speed that entry hosts
# observe, without making callers wait.
_MAX_READING_SHARE = 0.6
# Requests that one upstream handles concurrently. Limits services without prompts.
_MAX_REQUESTS_PER_UPSTREAM = 15.0
# Least number of reclaimable upstreams in a zone, as a share of its maximum. A burst
# comes faster than upstreams start, and each costs a fifth of a steady one.
_MIN_RECLAIMABLE_SHARE = 0.5
# Least number of upstreams of both kinds over all zones: one may be lost at any time.
_MIN_UPSTREAMS = 3
# Share of the work that steady upstreams can carry while reclaimable ones run in a
# single zone. The whole work would cost twice as much, for the loss of a third zone,
# which is rare unless losses are clustered.
_SINGLE_ZONE_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class Demand:
    """The number of upstreams that a service's work needs, as a fraction."""

    # Highest of the demand window.
    peak: float
    # Current.
    present: float
    # Mean of the demand window.
    mean: float


@dataclass(frozen=True, slots=True)
class ZoneCounts:
    """Upstreams of one zone by kind."""

    steady: int = 0
    reclaimable: int = 0

    def of(self, is_reclaimable: bool) -> int:
        """Return the count of one kind."""
        return self.reclaimable if is_reclaimable else self.steady


def required_upstreams(work: ServiceWork) -> float:
    """Return how many upstreams a service's work needs, as a fraction."""
    return max(
        work.reading / _MAX_READING_SHARE, work.in_flight / _MAX_REQUESTS_PER_UPSTREAM
    )


def plan_counts(
    demand: Demand,
    bounds: ScalingBounds,
    zones: tuple[str, ...],
    exhausted_zones: frozenset[str],
    running: Mapping[str, ZoneCounts],
    expected: Mapping[str, int],
    are_losses_clustered: bool = False,
) -> dict[str, ZoneCounts]:
    """Return the planned upstreams of each zone.

    `expected` counts the reclaimable upstreams that run or have been ordered.
    `exhausted_zones` provide no further ones. While there are any, the plan counts
    only on expected upstreams, and the next zone may be lost soon. So the zones but
    the largest must carry the peak. An upstream takes longer to start than a zone's
    upstreams take to leave, so this is planned as soon as a zone is exhausted and not
    when the next zone is lost.

    Steady upstreams cost five times as much. They carry what reclaimable ones can't,
    in the cheapest zones first, and stay until reclaimable ones run. Their number
    follows the mean demand, or the present demand if no zone is exhausted.
    """
    needed = max(math.ceil(demand.peak), _MIN_UPSTREAMS)
    needed_now = max(math.ceil(demand.present), _MIN_UPSTREAMS)
    minimum = math.ceil(_MIN_RECLAIMABLE_SHARE * bounds.max_count)
    # Zones with reclaimable upstreams share the work. The same number is ordered in
    # exhausted zones, which shows when they provide upstreams again.
    sharing_zones = sum(
        zone not in exhausted_zones or running[zone].reclaimable > 0 for zone in zones
    )
    count = min(max(_needed_per_zone(needed, sharing_zones), minimum), bounds.max_count)
    reclaimable = dict.fromkeys(zones, count)
    # Steady upstreams follow the mean: following the peak costs more and answers no
    # more requests in time.
    needed_on_average = max(math.ceil(demand.mean), _MIN_UPSTREAMS)
    if are_losses_clustered:
        # Caches of lost upstreams are rebuilt too, which is additional work.
        needed_on_average = needed
    missing = _still_missing(needed_on_average, running)
    if exhausted_zones:
        expected_counts = [expected[zone] for zone in zones]
        missing_after_loss = _missing_after_next_loss(
            needed_on_average, expected_counts, are_losses_clustered
        )
        missing = max(missing, missing_after_loss)
    else:
        missing = max(missing, needed_now - sum(reclaimable.values()))
    return _add_steady(missing, bounds, zones, reclaimable, running)


def _missing_after_next_loss(
    needed: int, expected_counts: list[int], is_next_loss_near: bool
) -> int:
    """Return how many upstreams are missing once the largest zone is lost."""
    remaining = sum(expected_counts) - max(expected_counts)
    if remaining or is_next_loss_near:
        return needed - remaining
    spare = math.ceil(_SINGLE_ZONE_SHARE * needed)
    return max(spare, needed - max(expected_counts))


def _still_missing(needed: int, running: Mapping[str, ZoneCounts]) -> int:
    """Return how many steady upstreams are still needed."""
    reclaimable = sum(each.reclaimable for each in running.values())
    steady = sum(each.steady for each in running.values())
    return min(needed - reclaimable, steady)


def _add_steady(
    missing: int,
    bounds: ScalingBounds,
    zones: tuple[str, ...],
    reclaimable: Mapping[str, int],
    running: Mapping[str, ZoneCounts],
) -> dict[str, ZoneCounts]:
    """Distribute steady upstreams over the zones with capacity, cheapest first.

    Running ones are kept before others are ordered, as those take time to start.
    """
    zones_by_price = sorted(zones, key=lambda name: (_price(bounds, name), name))
    capacities = {zone: bounds.max_count - running[zone].reclaimable for zone in zones}
    steady = {
        zone: max(0, bounds.min_count - reclaimable[zone]) for zone in zones_by_price
    }
    missing = min(missing, sum(capacities.values())) - sum(steady.values())
    kept = {zone: min(capacities[zone], running[zone].steady) for zone in zones}
    for limits in (kept, capacities):
        while missing > 0 and any(steady[zone] < limits[zone] for zone in zones):
            for zone in zones_by_price:
                if missing > 0 and steady[zone] < limits[zone]:
                    steady[zone] += 1
                    missing -= 1
    return {
        zone: ZoneCounts(count, min(reclaimable[zone], bounds.max_count - count))
        for zone, count in steady.items()
    }


def _price(bounds: ScalingBounds, zone: str) -> float:
    return bounds.zone_prices.get(zone, 1.0)


def _needed_per_zone(needed: int, zones: int) -> int:
    """Return how many each zone needs so that all zones but one suffice."""
    if zones < 2:
        return needed
    return math.ceil(needed / (zones - 1))
