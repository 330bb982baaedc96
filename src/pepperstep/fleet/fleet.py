"""Control loop of the fleet: the leader starts and stops hosts and rolls out models.

Each action is committed to the replicated log before it is sent, so that the next
leader can complete or cancel it. The image of a host starts its engine: see
`pepperstep.fleet.hosts`.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass

import trio
from absl import logging

from pepperstep.configuration import Configuration
from pepperstep.errors import Failure
from pepperstep.fleet.actions import Action, ActionKind
from pepperstep.fleet.costs import hourly_rates
from pepperstep.fleet.hosts import TOKEN_PREFIX, HostManager
from pepperstep.fleet.machine import MACHINE_NAME, FleetStateMachine
from pepperstep.fleet.notices import OnReclaim, ReclaimPoller
from pepperstep.fleet.observer import DemandSource, Observer, UpstreamRegistry
from pepperstep.fleet.orders import OrderSender
from pepperstep.fleet.plan import Decision, StartHost, plan_fleet
from pepperstep.fleet.policies import POLICIES
from pepperstep.fleet.record import FleetRecord
from pepperstep.fleet.rollout import EngineOrder, plan_models
from pepperstep.fleet.tuning import FleetTuning
from pepperstep.fleet.weights import Weights
from pepperstep.ports import Agreement, Timers
from pepperstep.ports.cloud import Cloud, CloudHost
from pepperstep.ports.upstreams import UpstreamClient
from pepperstep.ports.weights import WeightStore

__all__ = ["Fleet", "FleetPorts"]

_ACTIONS_PER_COMMIT = 200


@dataclass(frozen=True, slots=True)
class FleetPorts:
    """External dependencies of `Fleet`."""

    host: str
    agreement: Agreement
    cloud: Cloud
    upstreams: UpstreamClient
    registry: UpstreamRegistry
    timers: Timers
    rng: random.Random
    weights: WeightStore | None = None


class Fleet:
    """Runs the control loop on a control host, active only while the host leads."""

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
            raise ValueError(
                f"Unknown policy {policy}, expected one of {', '.join(POLICIES)}."
            )
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
        """Return a fleet whose state machine is registered with the replicated log.

        Call it on every control host before the log runs. `configuration` returns
        the configuration in force; `options` are passed to `Fleet`.
        """
        machine = FleetStateMachine()
        ports.agreement.register(MACHINE_NAME, machine)
        return cls(ports, machine, configuration, on_reclaim, **options)

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Run the control loop until cancelled."""
        task_status.started()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._run_decisions)
            async for _ in self._ports.timers.subscribe(self._tuning.notice_period):
                await self._log_errors(self._follow_leadership)

    async def _follow_leadership(self) -> None:
        if not self._ports.agreement.is_leader:
            self._epoch = None
            return
        if self._epoch is None or not self._epoch.record.is_valid:
            self._epoch = None
            self._epoch = await self._begin_epoch()
        await self._epoch.reclaim_poller.poll()

    async def _run_decisions(self) -> None:
        async for _ in self._ports.timers.subscribe(self._tuning.period):
            epoch = self._epoch
            if epoch is not None and epoch.record.is_valid:
                await self._log_errors(epoch.decide)

    async def _log_errors(self, function: Callable) -> None:
        try:
            await function()
        except Failure as failure:
            logging.warning("fleet: %s", failure.text)
        except OSError as error:
            logging.warning("fleet: Cloud API unreachable: %s", error)

    async def _begin_epoch(self) -> "_Epoch":
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
    """Control loop of one leadership epoch."""

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
        self.reclaim_poller = ReclaimPoller(
            record, ports.cloud, timers, tuning, on_reclaim
        )
        self._ports = ports
        self._configuration = configuration
        self._policy = policy
        self._tuning = tuning
        self._weights = Weights(ports.weights, timers)
        self._observer = Observer(
            record.machine, ports.registry, self._weights, timers, tuning, demand
        )
        self._host_manager = HostManager(record, ports.cloud, timers, ports.rng, tuning)
        self._order_sender = OrderSender(record, ports.upstreams, timers, tuning)

    async def decide(self) -> None:
        """Plan from the observed state, commit the plan, then carry it out."""
        configuration = self._configuration()
        keys = [each.model_key for each in configuration.deployments.values()]
        await self._weights.refresh(keys)
        try:
            await self._decide_hosts(configuration)
        except OSError as error:
            logging.warning("fleet: Cloud API unreachable: %s", error)
        await self._decide_models(configuration)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._host_manager.advance, self._observer.is_drained)
            nursery.start_soon(self._send_orders, configuration)

    async def _decide_hosts(self, configuration: Configuration) -> None:
        hosts = await self._host_manager.list_hosts()
        self._observer.update_hosts(hosts)
        await self._commit_rates(hosts)
        offers = None
        with self._ports.timers.move_on_after(self._tuning.cloud_timeout):
            offers = await self._ports.cloud.list_offers()
        if offers is None:
            raise OSError("Listing offers timed out.")
        for view in self._observer.deployment_views(configuration, offers):
            decisions = plan_fleet([view], self._policy)
            await self._commit_actions(
                [self._action_from_decision(decision) for decision in decisions]
            )
            # Yields to other tasks, so that the lease is renewed between deployments.
            await self._ports.timers.sleep(0)

    async def _decide_models(self, configuration: Configuration) -> None:
        views = self._observer.rollout_views(configuration)
        orders = plan_models(views, self._tuning.load_window)
        await self._commit_actions(
            [self._action_from_order(order) for order in orders] + self._drain_orders()
        )

    async def _commit_actions(self, actions: list[Action]) -> None:
        for start in range(0, len(actions), _ACTIONS_PER_COMMIT):
            if not self.record.is_valid:
                return
            await self.record.commit(
                actions=actions[start : start + _ACTIONS_PER_COMMIT]
            )

    async def _send_orders(self, configuration: Configuration) -> None:
        upstreams = {each.name: each for each in self._ports.registry.upstreams()}
        await self._order_sender.advance(
            upstreams, self._upstreams_without_fencing(upstreams, configuration)
        )

    async def _commit_rates(self, hosts: list[CloudHost]) -> None:
        costs = self.record.machine.costs
        rates = hourly_rates(hosts)
        age = self._ports.timers.wall() - costs.time
        if rates != costs.rates or age >= self._tuning.cost_period:
            await self.record.commit(rates=rates)

    def _action_from_decision(self, decision: Decision) -> Action:
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

    def _drain_orders(self) -> list[Action]:
        """Return drain orders for the engines on hosts with an open stop."""
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

    def _action_from_order(self, order: EngineOrder) -> Action:
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

    def _upstreams_without_fencing(
        self, upstreams: dict, configuration: Configuration
    ) -> frozenset:
        """Return the names of upstreams that don't check fencing numbers."""
        deployments = {
            action.upstream: configuration.deployments.get(action.deployment)
            for action in self.record.machine.open_actions()
        }
        return frozenset(
            name
            for name, upstream in upstreams.items()
            if not upstream.checks_fencing
            or (deployments.get(name) and not deployments[name].checks_fencing)
        )
