"""The fleet loop: on the leader it rents hosts and orders models.

Each act is committed before it's sent, and is finished or undone by the next
leader. Hosts start their engines by themselves: see `pepperstep.fleet.hosts`.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass

import trio
from absl import logging

from pepperstep.configuration import Configuration
from pepperstep.errors import Failure
from pepperstep.fleet.acts import Action, ActionKind
from pepperstep.fleet.costs import rates_of
from pepperstep.fleet.hosts import TOKEN_PREFIX, HostKeeper
from pepperstep.fleet.machine import MACHINE_NAME, FleetStateMachine
from pepperstep.fleet.notices import OnReclaim, ReclaimWatch
from pepperstep.fleet.observer import DemandSource, Observer, UpstreamRegistry
from pepperstep.fleet.orders import OrderSender
from pepperstep.fleet.plan import Decision, StartHost, plan_fleet
from pepperstep.fleet.policies import POLICIES
from pepperstep.fleet.record import FleetRecord
from pepperstep.fleet.rollout import OrderEngine, plan_models
from pepperstep.fleet.tuning import FleetTuning
from pepperstep.fleet.weights import Weights
from pepperstep.ports import Agreement, Timers
from pepperstep.ports.cloud import Cloud, CloudHost
from pepperstep.ports.upstreams import UpstreamClient
from pepperstep.ports.weights import WeightStore

__all__ = ["Fleet", "FleetPorts"]

_ACTS_PER_COMMIT = 200


@dataclass(frozen=True, slots=True)
class FleetPorts:
    """What the fleet needs from outside."""

    host: str
    agreement: Agreement
    cloud: Cloud
    upstreams: UpstreamClient
    registry: UpstreamRegistry
    timers: Timers
    rng: random.Random
    weights: WeightStore | None = None


class Fleet:
    """The fleet's part of a control host; it acts only while the host leads."""

    def __init__(
        self,
        ports: FleetPorts,
        machine: FleetStateMachine,
        configuration: Callable[[], Configuration],
        on_reclaim: OnReclaim,
        *,
        demand: DemandSource = lambda name: None,
        policy: str = "planned",
        tuning: FleetTuning | None = None,
    ):
        if policy not in POLICIES:
            raise ValueError(f"No policy {policy}, one of {', '.join(POLICIES)}.")
        self.machine = machine
        self._ports = ports
        self._configuration = configuration
        self._on_reclaim = on_reclaim
        self._demand = demand
        self._policy = policy
        self._tuning = tuning or FleetTuning()
        self._epoch: _Epoch | None = None

    @classmethod
    def from_config(
        cls,
        ports: FleetPorts,
        configuration: Callable[[], Configuration],
        on_reclaim: OnReclaim,
        **options,
    ) -> "Fleet":
        """Return a fleet whose record is registered with the log.

        Must be called on each control host, before the log runs.
        `configuration` gives what is in force; `options` are those of `Fleet`.
        """
        machine = FleetStateMachine()
        ports.agreement.register(MACHINE_NAME, machine)
        return cls(ports, machine, configuration, on_reclaim, **options)

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Take part until cancelled."""
        task_status.started()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._decide_always)
            async for _ in self._ports.timers.subscribe(self._tuning.notice_period):
                await self._guard(self._follow_leadership)

    async def _follow_leadership(self) -> None:
        if not self._ports.agreement.is_leader:
            self._epoch = None
            return
        if self._epoch is None or not self._epoch.record.is_valid:
            self._epoch = None
            self._epoch = await self._begin()
        await self._epoch.watch.poll()

    async def _decide_always(self) -> None:
        async for _ in self._ports.timers.subscribe(self._tuning.period):
            epoch = self._epoch
            if epoch is not None and epoch.record.is_valid:
                await self._guard(epoch.decide)

    async def _guard(self, work: Callable) -> None:
        try:
            await work()
        except Failure as failure:
            logging.warning("fleet: %s", failure.text)
        except OSError as error:
            logging.warning("fleet: The cloud can't be reached: %s", error)

    async def _begin(self) -> "_Epoch":
        ports = self._ports
        record = FleetRecord(
            ports.host,
            ports.agreement,
            self.machine,
            ports.timers,
            ports.rng,
            self._tuning,
        )
        await record.begin()
        return _Epoch(
            ports,
            record,
            self._configuration,
            self._demand,
            self._policy,
            self._tuning,
            self._on_reclaim,
        )


class _Epoch:
    """The leader's work in one epoch."""

    def __init__(
        self,
        ports: FleetPorts,
        record: FleetRecord,
        configuration: Callable[[], Configuration],
        demand: DemandSource,
        policy: str,
        tuning: FleetTuning,
        on_reclaim: OnReclaim,
    ):
        timers = ports.timers
        self.record = record
        self.watch = ReclaimWatch(record, ports.cloud, timers, tuning, on_reclaim)
        self._ports = ports
        self._configuration = configuration
        self._policy = policy
        self._tuning = tuning
        self._weights = Weights(ports.weights, timers)
        self._observer = Observer(
            record.machine, ports.registry, self._weights, timers, tuning, demand
        )
        self._keeper = HostKeeper(record, ports.cloud, timers, ports.rng, tuning)
        self._sender = OrderSender(record, ports.upstreams, timers, tuning)

    async def decide(self) -> None:
        """Look, decide, record, then act."""
        configuration = self._configuration()
        keys = [each.model_key for each in configuration.deployments.values()]
        await self._weights.refresh(keys)
        try:
            await self._decide_hosts(configuration)
        except OSError as error:
            logging.warning("fleet: The cloud can't be reached: %s", error)
        await self._decide_models(configuration)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._keeper.advance, self._observer.is_drained)
            nursery.start_soon(self._send_orders, configuration)

    async def _decide_hosts(self, configuration: Configuration) -> None:
        hosts = await self._keeper.list_hosts()
        self._observer.note_hosts(hosts)
        await self._note_costs(hosts)
        offers = None
        with self._ports.timers.move_on_after(self._tuning.cloud_timeout):
            offers = await self._ports.cloud.list_offers()
        if offers is None:
            raise OSError("The cloud doesn't answer.")
        for view in self._observer.deployment_views(configuration, offers):
            decisions = plan_fleet([view], self._policy)
            await self._record([self._act_of(decision) for decision in decisions])
            # Lets others run, as the lease must be renewed meanwhile.
            await self._ports.timers.sleep(0)

    async def _decide_models(self, configuration: Configuration) -> None:
        views = self._observer.rollout_views(configuration)
        orders = plan_models(views, self._tuning.load_window)
        await self._record([self._order_of(order) for order in orders] + self._drains())

    async def _record(self, acts: list[Action]) -> None:
        for start in range(0, len(acts), _ACTS_PER_COMMIT):
            if not self.record.is_valid:
                return
            await self.record.commit(acts=acts[start : start + _ACTS_PER_COMMIT])

    async def _send_orders(self, configuration: Configuration) -> None:
        upstreams = {each.name: each for each in self._ports.registry.upstreams()}
        await self._sender.advance(upstreams, self._ignoring(upstreams, configuration))

    async def _note_costs(self, hosts: list[CloudHost]) -> None:
        costs = self.record.machine.costs
        rates = rates_of(hosts)
        age = self._ports.timers.wall() - costs.time
        if rates != costs.rates or age >= self._tuning.cost_period:
            await self.record.commit(rates=rates)

    def _act_of(self, decision: Decision) -> Action:
        if isinstance(decision, StartHost):
            return Action(
                id=self.record.new_id(TOKEN_PREFIX),
                kind=ActionKind.START,
                deployment=decision.deployment,
                offer=decision.offer,
                reason=decision.reason,
            )
        return Action(
            id=self.record.new_id("stop"),
            kind=ActionKind.STOP,
            deployment=decision.deployment,
            host_id=decision.host_id,
            reason=decision.reason,
        )

    def _drains(self) -> list[Action]:
        """Return orders to the engines on hosts that are to be stopped."""
        return [
            Action(
                id=self.record.new_id("order"),
                kind=ActionKind.DRAIN,
                deployment=stop.deployment,
                upstream=engine.name,
                upstream_epoch=engine.epoch,
                reason=f"Its host {stop.host_id} is to be stopped.",
            )
            for stop in self.record.machine.open_actions()
            if stop.kind is ActionKind.STOP
            for engine in self._observer.undrained_engines(stop.host_id)
        ]

    def _order_of(self, order: OrderEngine) -> Action:
        return Action(
            id=self.record.new_id("order"),
            kind=order.kind,
            deployment=order.deployment,
            upstream=order.engine.name,
            upstream_epoch=order.engine.epoch,
            model_key=order.model_key,
            role=order.role,
            reason=order.reason,
        )

    def _ignoring(self, upstreams: dict, configuration: Configuration) -> frozenset:
        """Return the upstreams that don't check fencing numbers."""
        deployments = {
            act.upstream: configuration.deployments.get(act.deployment)
            for act in self.record.machine.open_actions()
        }
        return frozenset(
            name
            for name, upstream in upstreams.items()
            if not upstream.checks_fencing
            or (deployments.get(name) and not deployments[name].checks_fencing)
        )
