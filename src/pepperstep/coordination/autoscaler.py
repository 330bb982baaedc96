"""The loop that keeps a service's upstreams at what the plan says."""

from collections import deque
from collections.abc import Callable

from absl import logging

from pepperstep.coordination.entry_host_catalog import EntryHostCatalog
from pepperstep.coordination.leader_lease import LeaderLease, LeaseHolder
from pepperstep.coordination.order_state import OrderState
from pepperstep.coordination.records import Announcement
from pepperstep.coordination.scaling import (
    Demand,
    ZoneCounts,
    plan_counts,
    required_upstreams,
)
from pepperstep.coordination.tables import TableStore
from pepperstep.coordination.upstream_catalog import UpstreamCatalog
from pepperstep.entities.routes import ScalingBounds, Service
from pepperstep.errors import Code, Failure
from pepperstep.observability.decisions import UpstreamsPlanned, ZonePlan
from pepperstep.ports import Timers
from pepperstep.ports.orders import UpstreamOrder, UpstreamOrders

__all__ = ["Autoscaler"]

_POLL_SECONDS = 0.5
# The demand is the highest mean of so long, in seconds: upstreams take 4 s to
# start, and a burst that comes back shall find them.
_DEMAND_SECONDS = 10.0
# Time after its start until a host plans, in seconds: until then it may not know
# what stands.
_LEARN_SECONDS = 1.5
# The same where no upstream is known: they announce themselves once in 1.2 s. After
# it none is there, as when all zones were taken back.
_EMPTY_SECONDS = 5.0


class Autoscaler:
    """Plans and orders while this host holds the duty."""

    def __init__(
        self,
        leader_lease: LeaderLease,
        orders: UpstreamOrders,
        tables: TableStore,
        entries: EntryHostCatalog,
        catalog: UpstreamCatalog,
        zones: Callable[[], tuple[str, ...]],
        timers: Timers,
        is_trial: Callable[[Announcement], bool] = lambda upstream: False,
    ):
        self._duty = leader_lease
        self._orders = orders
        self._tables = tables
        self._entries = entries
        self._catalog = catalog
        self._zones = zones
        self._timers = timers
        self._is_trial = is_trial
        # By service.
        self._states: dict[str, OrderState] = {}
        self._plans: dict[str, dict[str, ZoneCounts]] = {}
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

    def _begin(self, holder: LeaseHolder) -> None:
        """Start anew: what an earlier holder has ordered isn't known here."""
        self._fence = holder.fence
        self._states.clear()
        self._plans.clear()

    async def _keep(
        self,
        service: Service,
        bounds: ScalingBounds,
        demand: Demand,
        holder: LeaseHolder,
        now: float,
    ) -> None:
        if now - self._started_at < _LEARN_SECONDS:
            return
        standing = self._standing(service.name, bounds)
        state = self._states.setdefault(service.name, OrderState(self._timers.now))
        state.is_unused = holder.is_first and not demand.peak
        is_empty = not any(each.steady + each.reclaimable for each in standing.values())
        if is_empty and now - self._started_at < _EMPTY_SECONDS:
            return
        plan = self._plan(service, demand, bounds, standing)
        await self._order(service.name, plan, standing, holder, True)
        # Steady ones make up for what was refused just now.
        plan = self._plan(service, demand, bounds, standing)
        await self._order(service.name, plan, standing, holder, False)
        self._note_plan(service.name, plan, standing, demand)

    def _plan(
        self,
        service: Service,
        demand: Demand,
        bounds: ScalingBounds,
        standing: dict[str, ZoneCounts],
    ) -> dict[str, ZoneCounts]:
        state = self._states[service.name]
        coming = {
            zone: state.coming(zone, True, counts.reclaimable)
            for zone, counts in standing.items()
        }
        zones = tuple(standing)
        return plan_counts(
            demand,
            bounds,
            zones,
            state.dry_zones,
            standing,
            coming,
            state.are_losses_close(bounds.boot_seconds),
        )

    def _note_demand(self, service: str, now: float) -> Demand:
        present = required_upstreams(self._entries.work_of(service))
        demands = self._demands.setdefault(service, deque())
        demands.append((now, present))
        while demands[0][0] < now - _DEMAND_SECONDS:
            demands.popleft()
        loads = [load for _, load in demands]
        return Demand(max(loads), present, sum(loads) / len(loads))

    def _standing(self, service: str, bounds: ScalingBounds) -> dict[str, ZoneCounts]:
        """Return the upstreams that take work, by the zones that may have some."""
        present = self._zones()
        zones = tuple(bounds.zone_prices) or present
        counts = {(zone, kind): 0 for zone in zones for kind in (True, False)}
        for each in self._catalog.working(service):
            if self._is_trial(each):
                # It comes beside those that carry the work.
                continue
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
        plan: dict[str, ZoneCounts],
        standing: dict[str, ZoneCounts],
        demand: Demand,
    ) -> None:
        if plan == self._plans.get(service):
            return
        self._plans[service] = plan
        dry = self._states[service].dry_zones
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
        holder: LeaseHolder,
        is_reclaimable: bool,
    ) -> None:
        """Order one kind of upstreams in all zones where that is due."""
        state = self._states[service]
        for zone, counts in plan.items():
            planned = counts.of(is_reclaimable)
            there = standing[zone].of(is_reclaimable)
            order = state.next_order(service, zone, is_reclaimable, planned, there)
            if order is not None:
                await self._send(order, holder, state)

    async def _send(
        self, order: UpstreamOrder, holder: LeaseHolder, state: OrderState
    ) -> None:
        state.note_sent(order)
        try:
            await self._orders.order(order, holder.name, holder.fence)
        except Failure as failure:
            self._note_refusal(order, failure, state)
            return
        state.note_taken(order)
        logging.info(
            "orders: %s in %s shall have %d %s upstreams, by fence %d.",
            order.service,
            order.zone,
            order.count,
            "reclaimable" if order.is_reclaimable else "steady",
            holder.fence,
        )

    def _note_refusal(
        self, order: UpstreamOrder, failure: Failure, state: OrderState
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
            state.note_dry(order.zone)
