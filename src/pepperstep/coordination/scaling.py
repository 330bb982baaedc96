"""How many upstreams of each kind a service shall have, and where.

Reclaimable upstreams cost a fraction of the others, and all of a zone may be
taken back at once. So the work is carried by reclaimable ones in all zones, as
many as still suffice without the largest zone. Steady ones, which aren't
reclaimable, stand in for those of a zone that can't be had.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass

from pepperstep.coordination.records import ServiceWork
from pepperstep.entities.routes import ScalingBounds

__all__ = ["Demand", "ZoneCounts", "plan_counts", "required_upstreams"]

# Part of its time that an upstream reads prompts without making callers wait, by the
# speed that entry hosts see.
_MOST_READING = 0.6
# Requests that one upstream works on at the same time; binds for services without
# prompts.
_REQUESTS_EACH = 15.0
# Reclaimable upstreams of a zone, at least, as a share of the most there may be. A
# burst comes faster than upstreams start, and each costs a fifth of a steady one.
_LEAST_SHARE = 0.5
# Upstreams of both kinds, at least, over all zones: one can be lost any time.
_LEAST = 3
# Part of the work that steady upstreams can take on while reclaimable ones stand
# in a single zone. All of it costs twice as much, for a third zone's loss that
# is rare where losses don't come close to each other.
_SINGLE_ZONE_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class Demand:
    """Upstreams that a service's work needs."""

    # Most of late.
    peak: float
    # At present.
    present: float
    # Mean of late.
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
    """Return how many upstreams a service's work needs."""
    return max(work.reading / _MOST_READING, work.in_flight / _REQUESTS_EACH)


def plan_counts(
    demand: Demand,
    bounds: ScalingBounds,
    zones: tuple[str, ...],
    dry: frozenset[str],
    standing: Mapping[str, ZoneCounts],
    coming: Mapping[str, int],
    are_losses_close: bool = False,
) -> dict[str, ZoneCounts]:
    """Return what each zone shall have.

    `coming` has the reclaimable upstreams that stand, or were ordered and start.
    Zones of `dry` give out no others. Where one does, none is counted on that
    wasn't given out yet.
    Once there are any, the next zone may be lost soon, so all but the largest
    have enough for the peak. An upstream takes longer to start than a zone's
    upstreams take to leave, so this is ordered as soon as a zone is dry, and not
    when the next one is lost.

    Steady ones, which cost five times as much, make up for what reclaimable ones
    can't carry, the cheapest zones first, and stay until those stand. They follow
    the mean demand, and without dry zones the present one.
    """
    needed = max(math.ceil(demand.peak), _LEAST)
    needed_now = max(math.ceil(demand.present), _LEAST)
    least = math.ceil(_LEAST_SHARE * bounds.max_count)
    # Zones with reclaimable ones. Asked as many in dry zones too, which is how it's
    # found out that they give out some again.
    sharing = sum(zone not in dry or standing[zone].reclaimable > 0 for zone in zones)
    count = min(max(_spread(needed, sharing), least), bounds.max_count)
    reclaimable = dict.fromkeys(zones, count)
    # What steady ones make up for. They follow the mean and not the peak, which would
    # cost more and bring no more requests in time.
    needed_long = max(math.ceil(demand.mean), _LEAST)
    if are_losses_close:
        # What upstreams kept in memory has to be read again besides.
        needed_long = needed
    lacking = _still_lacking(needed_long, standing)
    if dry:
        carried = [coming[zone] for zone in zones]
        next_lacking = _lacking_for_next_loss(needed_long, carried, are_losses_close)
        lacking = max(lacking, next_lacking)
    else:
        lacking = max(lacking, needed_now - sum(reclaimable.values()))
    return _with_steady(lacking, bounds, zones, reclaimable, standing)


def _lacking_for_next_loss(needed: int, carried: list[int], is_next_close: bool) -> int:
    """Return how many are lacking once the zone with the most of them is lost."""
    rest = sum(carried) - max(carried)
    if rest or is_next_close:
        return needed - rest
    spare = math.ceil(_SINGLE_ZONE_SHARE * needed)
    return max(spare, needed - max(carried))


def _still_lacking(needed: int, standing: Mapping[str, ZoneCounts]) -> int:
    """Return how many steady ones can't be given back yet."""
    reclaimable = sum(each.reclaimable for each in standing.values())
    steady = sum(each.steady for each in standing.values())
    return min(needed - reclaimable, steady)


def _with_steady(
    lacking: int,
    bounds: ScalingBounds,
    zones: tuple[str, ...],
    reclaimable: Mapping[str, int],
    standing: Mapping[str, ZoneCounts],
) -> dict[str, ZoneCounts]:
    """Spread steady upstreams over the zones that have room, the cheapest first.

    Those that stand are kept before others are ordered, which take a while to start.
    """
    by_price = sorted(zones, key=lambda name: (_price(bounds, name), name))
    rooms = {zone: bounds.max_count - standing[zone].reclaimable for zone in zones}
    steady = {zone: max(0, bounds.min_count - reclaimable[zone]) for zone in by_price}
    lacking = min(lacking, sum(rooms.values())) - sum(steady.values())
    kept = {zone: min(rooms[zone], standing[zone].steady) for zone in zones}
    for limits in (kept, rooms):
        while lacking > 0 and any(steady[zone] < limits[zone] for zone in zones):
            for zone in by_price:
                if lacking > 0 and steady[zone] < limits[zone]:
                    steady[zone] += 1
                    lacking -= 1
    return {
        zone: ZoneCounts(count, min(reclaimable[zone], bounds.max_count - count))
        for zone, count in steady.items()
    }


def _price(bounds: ScalingBounds, zone: str) -> float:
    return bounds.zone_prices.get(zone, 1.0)


def _spread(needed: int, zones: int) -> int:
    """Return how many each zone needs so that one zone less still suffices."""
    if zones < 2:
        return needed
    return math.ceil(needed / (zones - 1))
