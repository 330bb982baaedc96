"""The loop that keeps a service's upstreams at what the plan says."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from absl import logging

from pepperstep.coordination.control_desk import ControlDesk
from pepperstep.coordination.duty import Duty, Holder
from pepperstep.coordination.scaling import (
    Demand,
    ZoneCounts,
    plan_counts,
    upstreams_for,
)
from pepperstep.coordination.tables import TableStore
from pepperstep.coordination.upstream_book import UpstreamBook
from pepperstep.entities.routes import ScalingBounds, Service
from pepperstep.errors import Code, Failure
from pepperstep.observability.decisions import UpstreamsPlanned, ZonePlan
from pepperstep.ports import Timers
from pepperstep.ports.orders import UpstreamOrder, UpstreamOrders

__all__ = ["Ordering"]

_POLL_SECONDS = 0.5
# The demand is the highest mean of so long, in seconds: upstreams take 4 s to
# start, and a burst that comes back shall find them.
_DEMAND_SECONDS = 10.0
# An order whose effect isn't seen is sent again after so long, in seconds: an
# older order that was carried out late may have undone it.
_REPEAT_SECONDS = 5.0
# Pause after a zone has refused reclaimable upstreams, in seconds.
_DRY_SECONDS = 2.0
# Time for which a zone counts as without them after that pause, in seconds: until
# it was asked again, in the next round at the latest.
_DRY_SLACK_SECONDS = 1.5
# Fewer upstreams are ordered only once fewer were enough for so long.
_SHRINK_SECONDS = 15.0
# The same for steady ones, which cost five times as much.
_SHRINK_STEADY_SECONDS = 2.0
# Time after its start until a host plans, in seconds: until then it may not know
# what stands.
_LEARN_SECONDS = 1.5
# The same where no upstream is known: they announce themselves once in 1.2 s. After
# it none is there, as when all zones were taken back.
_EMPTY_SECONDS = 5.0


@dataclass(slots=True)
class _Wish:
    """The newest order for one service, zone and kind."""

    count: int
    sent_at: float
    # Whether the platform has taken it.
    is_taken: bool = False


@dataclass(slots=True)
class _ServiceState:
    """What the holder of the duty has ordered, and learned from the answers."""

    wishes: dict[tuple[str, bool], _Wish] = field(default_factory=dict)
    # Zones without reclaimable upstreams, and when they are asked again.
    dry_until: dict[str, float] = field(default_factory=dict)
    lower_since: dict[tuple[str, bool], float] = field(default_factory=dict)
    plan: dict[str, ZoneCounts] = field(default_factory=dict)


class Ordering:
    """Plans and orders while this host holds the duty."""

    def __init__(
        self,
        duty: Duty,
        orders: UpstreamOrders,
        tables: TableStore,
        desk: ControlDesk,
        book: UpstreamBook,
        zones: Callable[[], tuple[str, ...]],
        timers: Timers,
    ):
        self._duty = duty
        self._orders = orders
        self._tables = tables
        self._desk = desk
        self._book = book
        self._zones = zones
        self._timers = timers
        self._states: dict[str, _ServiceState] = {}
        # Means of the work and when they were taken, by service.
        self._demands: dict[str, deque[tuple[float, float]]] = {}
        self._fence = 0
        self._started_at = timers.now()

    async def run(self) -> None:
        """Order until cancelled."""
        async for now in self._timers.subscribe(_POLL_SECONDS):
            holder = self._duty.holder()
            if holder is not None and holder.fence != self._fence:
                self._begin(holder)
            for service in self._tables.current.services.values():
                if service.scaling is None:
                    continue
                # Known to all control hosts, so that a new holder can act at once.
                demand = self._note_demand(service.name, now)
                if holder is not None:
                    await self._keep(service, service.scaling, demand, holder, now)

    def _begin(self, holder: Holder) -> None:
        """Start anew: what an earlier holder has ordered isn't known here."""
        self._fence = holder.fence
        self._states.clear()

    async def _keep(
        self,
        service: Service,
        bounds: ScalingBounds,
        demand: Demand,
        holder: Holder,
        now: float,
    ) -> None:
        if now - self._started_at < _LEARN_SECONDS:
            return
        state = self._states.setdefault(service.name, _ServiceState())
        standing = self._standing(service.name, bounds)
        is_empty = not any(each.steady + each.reclaimable for each in standing.values())
        if is_empty and now - self._started_at < _EMPTY_SECONDS:
            return
        plan = self._plan(state, demand, bounds, standing)
        await self._order(service.name, plan, standing, holder, state, True)
        # Steady ones make up for what was refused just now.
        plan = self._plan(state, demand, bounds, standing)
        await self._order(service.name, plan, standing, holder, state, False)
        self._note_plan(service.name, state, plan, standing, demand)

    def _plan(
        self,
        state: _ServiceState,
        demand: Demand,
        bounds: ScalingBounds,
        standing: dict[str, ZoneCounts],
    ) -> dict[str, ZoneCounts]:
        dry = self._dry(state)
        coming = {
            zone: self._coming(state, (zone, True), counts.reclaimable)
            for zone, counts in standing.items()
        }
        return plan_counts(demand, bounds, tuple(standing), dry, standing, coming)

    def _dry(self, state: _ServiceState) -> frozenset[str]:
        """Return the zones that give out no reclaimable upstreams."""
        now = self._timers.now()
        return frozenset(
            zone
            for zone, end in state.dry_until.items()
            if end + _DRY_SLACK_SECONDS > now
        )

    def _note_demand(self, service: str, now: float) -> Demand:
        present = upstreams_for(self._desk.work_of(service))
        demands = self._demands.setdefault(service, deque())
        demands.append((now, present))
        while demands[0][0] < now - _DEMAND_SECONDS:
            demands.popleft()
        return Demand(max(load for _, load in demands), present)

    def _standing(self, service: str, bounds: ScalingBounds) -> dict[str, ZoneCounts]:
        """Return the upstreams that take work, by the zones that may have some."""
        present = self._zones()
        zones = tuple(bounds.zone_prices) or present
        counts = {(zone, kind): 0 for zone in zones for kind in (True, False)}
        for each in self._book.working(service):
            key = (each.zone, each.is_reclaimable)
            counts[key] = counts.get(key, 0) + 1
        return {
            zone: ZoneCounts(counts[zone, False], counts[zone, True])
            for zone in zones
            if zone in present
        }

    def _note_plan(
        self,
        service: str,
        state: _ServiceState,
        plan: dict[str, ZoneCounts],
        standing: dict[str, ZoneCounts],
        demand: Demand,
    ) -> None:
        if plan == state.plan:
            return
        state.plan = plan
        dry = self._dry(state)
        zones = [
            ZonePlan(
                zone,
                counts.steady,
                counts.reclaimable,
                standing[zone].steady,
                standing[zone].reclaimable,
                zone in dry,
            )
            for zone, counts in plan.items()
        ]
        event = UpstreamsPlanned(
            service, round(demand.peak, 1), round(demand.present, 1), zones
        )
        logging.info("orders: %s", event)

    async def _order(
        self,
        service: str,
        plan: dict[str, ZoneCounts],
        standing: dict[str, ZoneCounts],
        holder: Holder,
        state: _ServiceState,
        is_reclaimable: bool,
    ) -> None:
        """Order one kind of upstreams in all zones where that is due."""
        for zone, counts in plan.items():
            key = (zone, is_reclaimable)
            has = standing[zone].of(is_reclaimable)
            count = self._damp(state, key, counts.of(is_reclaimable), has)
            if self._is_due(state, key, count, has):
                order = UpstreamOrder(service, zone, is_reclaimable, count)
                await self._send(order, holder, state)

    def _damp(
        self, state: _ServiceState, key: tuple[str, bool], count: int, has: int
    ) -> int:
        """Return the count, or the present one until less was enough for a while.

        Those that were ordered and have yet to start count as present: to cancel
        them and to order them again a second later costs their whole start.
        """
        _, is_reclaimable = key
        now = self._timers.now()
        has = self._coming(state, key, has)
        if count >= has:
            state.lower_since.pop(key, None)
            return count
        since = state.lower_since.setdefault(key, now)
        patience = _SHRINK_SECONDS if is_reclaimable else _SHRINK_STEADY_SECONDS
        return count if now - since >= patience else has

    def _coming(self, state: _ServiceState, key: tuple[str, bool], has: int) -> int:
        """Return how many stand, or were ordered and have yet to start."""
        wish = state.wishes.get(key)
        if wish is None or not wish.is_taken:
            return has
        is_young = self._timers.now() - wish.sent_at < _REPEAT_SECONDS
        return max(has, wish.count) if is_young else has

    def _is_due(
        self, state: _ServiceState, key: tuple[str, bool], count: int, has: int
    ) -> bool:
        zone, is_reclaimable = key
        if is_reclaimable and state.dry_until.get(zone, 0.0) > self._timers.now():
            return False
        wish = state.wishes.get(key)
        if wish is None:
            return count != has
        if wish.count != count or not wish.is_taken:
            return True
        is_old = self._timers.now() - wish.sent_at >= _REPEAT_SECONDS
        return is_old and count != has

    async def _send(
        self, order: UpstreamOrder, holder: Holder, state: _ServiceState
    ) -> None:
        now = self._timers.now()
        wish = _Wish(order.count, now)
        state.wishes[order.zone, order.is_reclaimable] = wish
        try:
            await self._orders.order(order, holder.name, holder.fence)
        except Failure as failure:
            self._note_refusal(order, failure, state)
        else:
            wish.is_taken = True
            if order.is_reclaimable:
                state.dry_until.pop(order.zone, None)
            logging.info(
                "orders: %s in %s shall have %d %s upstreams, by fence %d.",
                order.service,
                order.zone,
                order.count,
                "reclaimable" if order.is_reclaimable else "steady",
                holder.fence,
            )

    def _note_refusal(
        self, order: UpstreamOrder, failure: Failure, state: _ServiceState
    ) -> None:
        logging.info(
            "orders: %d of %s in %s (reclaimable: %s) aren't ordered: %s",
            order.count,
            order.service,
            order.zone,
            order.is_reclaimable,
            failure.text,
        )
        if failure.code is Code.OVERLOADED and order.is_reclaimable:
            state.dry_until[order.zone] = self._timers.now() + _DRY_SECONDS
