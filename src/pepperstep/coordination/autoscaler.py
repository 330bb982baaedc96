"""The control loop that orders a service's upstreams according to the plan."""

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
# Window over which the peak and mean demand are taken, in seconds. Upstreams take 4 s
# to start, and shall be there when a burst returns.
_DEMAND_WINDOW_SECONDS = 10.0
# Time after a host's start until it plans, in seconds. Before, it may not know all
# running upstreams.
_DISCOVERY_SECONDS = 1.5
# Time after a host's start until it plans for a service without known upstreams, in
# seconds. Upstreams announce themselves every 1.2 s, so after it there are none, for
# example because all zones were reclaimed.
_EMPTY_DISCOVERY_SECONDS = 5.0


class Autoscaler:
    """Plans and orders upstreams while this host holds the leader lease."""

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
        self._leader_lease = leader_lease
        self._orders = orders
        self._tables = tables
        self._entries = entries
        self._catalog = catalog
        self._zones = zones
        self._timers = timers
        self._is_trial = is_trial
        # Order state and latest logged plan by service.
        self._states: dict[str, OrderState] = {}
        self._plans: dict[str, dict[str, ZoneCounts]] = {}
        # Demand samples with their times, by service.
        self._demands: dict[str, deque[tuple[float, float]]] = {}
        self._fence = 0
        self._started_at = timers.now()

    async def run(self) -> None:
        """Plan and order until cancelled."""
        async for now in self._timers.subscribe(_POLL_SECONDS):
            holder = self._leader_lease.holder()
            if holder is not None and holder.fence != self._fence:
                self._reset(holder)
            for service in self._tables.current.services.values():
                if service.scaling is None:
                    continue
                # Demand is sampled on all control hosts, so that a new holder can order
                # at once.
                demand = self._record_demand(service.name, now)
                if holder is not None:
                    await self._reconcile(service, service.scaling, demand, holder, now)

    def _reset(self, holder: LeaseHolder) -> None:
        """Drop all state: orders of an earlier holder are unknown here."""
        self._fence = holder.fence
        self._states.clear()
        self._plans.clear()

    async def _reconcile(
        self,
        service: Service,
        bounds: ScalingBounds,
        demand: Demand,
        holder: LeaseHolder,
        now: float,
    ) -> None:
        if now - self._started_at < _DISCOVERY_SECONDS:
            return
        running = self._count_running(service.name, bounds)
        state = self._states.setdefault(service.name, OrderState(self._timers.now))
        state.is_unused = holder.is_first and not demand.peak
        is_empty = not any(each.steady + each.reclaimable for each in running.values())
        if is_empty and now - self._started_at < _EMPTY_DISCOVERY_SECONDS:
            return
        plan = self._plan(service, demand, bounds, running)
        await self._order(service.name, plan, running, holder, True)
        # Steady upstreams replace the reclaimable ones that were refused just above.
        plan = self._plan(service, demand, bounds, running)
        await self._order(service.name, plan, running, holder, False)
        self._log_plan(service.name, plan, running, demand)

    def _plan(
        self,
        service: Service,
        demand: Demand,
        bounds: ScalingBounds,
        running: dict[str, ZoneCounts],
    ) -> dict[str, ZoneCounts]:
        state = self._states[service.name]
        expected = {
            zone: state.expected_count(zone, True, counts.reclaimable)
            for zone, counts in running.items()
        }
        zones = tuple(running)
        return plan_counts(
            demand,
            bounds,
            zones,
            state.exhausted_zones,
            running,
            expected,
            state.are_losses_clustered(bounds.boot_seconds),
        )

    def _record_demand(self, service: str, now: float) -> Demand:
        present = required_upstreams(self._entries.work_of(service))
        demands = self._demands.setdefault(service, deque())
        demands.append((now, present))
        while demands[0][0] < now - _DEMAND_WINDOW_SECONDS:
            demands.popleft()
        loads = [load for _, load in demands]
        return Demand(max(loads), present, sum(loads) / len(loads))

    def _count_running(
        self, service: str, bounds: ScalingBounds
    ) -> dict[str, ZoneCounts]:
        """Return the running upstreams of the zones that may have some."""
        present = self._zones()
        zones = tuple(bounds.zone_prices) or present
        counts = {(zone, kind): 0 for zone in zones for kind in (True, False)}
        for each in self._catalog.working(service):
            if self._is_trial(each):
                # Trial upstreams run in addition to those that carry the work.
                continue
            key = (each.zone, each.is_reclaimable)
            counts[key] = counts.get(key, 0) + 1
        return {
            zone: ZoneCounts(counts[zone, False], counts[zone, True])
            for zone in zones
            if zone in present
        }

    def _log_plan(
        self,
        service: str,
        plan: dict[str, ZoneCounts],
        running: dict[str, ZoneCounts],
        demand: Demand,
    ) -> None:
        if plan == self._plans.get(service):
            return
        self._plans[service] = plan
        exhausted_zones = self._states[service].exhausted_zones
        zones = [
            ZonePlan(
                zone,
                counts.steady,
                counts.reclaimable,
                running[zone].steady,
                running[zone].reclaimable,
                zone in exhausted_zones,
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
        running: dict[str, ZoneCounts],
        holder: LeaseHolder,
        is_reclaimable: bool,
    ) -> None:
        """Send the due orders for one kind of upstreams, for all zones."""
        state = self._states[service]
        for zone, counts in plan.items():
            planned = counts.of(is_reclaimable)
            running_count = running[zone].of(is_reclaimable)
            order = state.next_order(
                service, zone, is_reclaimable, planned, running_count
            )
            if order is not None:
                await self._send(order, holder, state)

    async def _send(
        self, order: UpstreamOrder, holder: LeaseHolder, state: OrderState
    ) -> None:
        state.record_sent(order)
        try:
            await self._orders.order(order, holder.name, holder.fence)
        except Failure as failure:
            self._handle_refusal(order, failure, state)
            return
        state.record_accepted(order)
        logging.info(
            "orders: Ordered service %s in zone %s to %d %s upstreams, fence %d.",
            order.service,
            order.zone,
            order.count,
            "reclaimable" if order.is_reclaimable else "steady",
            holder.fence,
        )

    def _handle_refusal(
        self, order: UpstreamOrder, failure: Failure, state: OrderState
    ) -> None:
        logging.info(
            "orders: Order of %d for %s in %s (reclaimable: %s) was refused: %s",
            order.count,
            order.service,
            order.zone,
            order.is_reclaimable,
            failure.text,
        )
        if failure.code is Code.OVERLOADED and order.is_reclaimable:
            state.mark_exhausted(order.zone)
