"""In-process control hosts that manage a fleet, with a fake cloud and engines."""

import random
from collections import defaultdict
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, replace

import trio

from pepperstep.configuration import Configuration, Deployment
from pepperstep.entities import ModelKey, Upstream
from pepperstep.fakes import (
    FakeAgreement,
    FakeCloud,
    FakeEngine,
    FakeLog,
    FakeTimers,
    FakeUpstreams,
    FakeWeightStore,
)
from pepperstep.fleet import Demand, Fleet, FleetPorts, FleetTuning
from pepperstep.ports import Agreement
from pepperstep.ports.cloud import HostState, Offer, PriceClass
from pepperstep.ports.upstreams import (
    OrderKind,
    UpstreamFault,
    UpstreamLost,
    UpstreamOrder,
)

ZONES = ("sapporo-hall", "asahikawa-hall", "hakodate-hall")
KEY = ModelKey("zaseki-7b", "", "1")
OFFERS = [
    Offer(zone, "gpu", PriceClass.RECLAIMABLE, price)
    for zone, price in zip(ZONES, (0.30, 0.34, 0.38), strict=True)
] + [Offer(zone, "gpu", PriceClass.ON_DEMAND, 1.0) for zone in ZONES]

# Short times, so that a test takes few steps.
QUICK = FleetTuning(
    period=2.0,
    notice_period=2.0,
    peak_window=20.0,
    orphan_grace=10.0,
    drain_settle=4.0,
    unload_grace=10.0,
    start_timeout=60.0,
)


def deployment(**changes) -> Deployment:
    """Return a deployment of the model."""
    values = {
        "model": KEY.model,
        "version": KEY.version,
        "workspaces": ("planners",),
        "cost_weight": 0.5,
    }
    return Deployment(**(values | changes))


@dataclass(frozen=True)
class SentOrder:
    """An order as sent to an upstream."""

    time: float
    sender: str
    upstream: str
    order: UpstreamOrder


class KillableAgreement(FakeAgreement):
    """Agreement with a fault point before and after each commit."""

    def __init__(self, host: str, log: FakeLog, cluster: "Cluster"):
        super().__init__(host, log)
        self._cluster = cluster

    async def propose(self, name: str, command: bytes, timeout: float) -> bytes:
        await self._cluster.reach_kill_point(self._host, "propose")
        result = await super().propose(name, command, timeout)
        await self._cluster.reach_kill_point(self._host, "committed")
        return result


class DelayedUpstreams(FakeUpstreams):
    """Upstreams that receive orders after their sender has stopped waiting."""

    def __init__(self, cluster: "Cluster"):
        super().__init__()
        self._cluster = cluster
        self.order_delay_seconds = 0.0
        # Fencing numbers of executed orders, by upstream.
        self.executed_fences: dict[str, list[int]] = defaultdict(list)

    async def send_order(self, upstream: Upstream, order: UpstreamOrder) -> None:
        if self.order_delay_seconds:
            self._cluster.run_later(
                self.order_delay_seconds, self._deliver, upstream, order
            )
            raise UpstreamLost("Connection lost.")
        await self._deliver(upstream, order)

    async def _deliver(self, upstream: Upstream, order: UpstreamOrder) -> None:
        await super().send_order(upstream, order)
        self.executed_fences[upstream.name].append(order.fence)


class KillablePort:
    """A port with a fault point before and after calls of some methods."""

    def __init__(self, inner, host: str, cluster: "Cluster", *names: str):
        self._inner = inner
        self._host = host
        self._cluster = cluster
        self._killable_methods = names

    def __getattr__(self, name: str):
        method = getattr(self._inner, name)
        if name not in self._killable_methods:
            return method

        async def call(*arguments):
            await self._cluster.reach_kill_point(self._host, name)
            self._cluster.record_call(self._host, name, arguments)
            result = await method(*arguments)
            await self._cluster.reach_kill_point(self._host, f"{name} answered")
            return result

        return call


@dataclass(frozen=True)
class _ClusterRegistry:
    """Registry of a cluster's announced engines."""

    cluster: "Cluster"

    def upstreams(self) -> list[Upstream]:
        return self.cluster.announced_upstreams()


class Cluster:
    """Control hosts, a cloud whose hosts run engines, and a weight store.

    The calls of the first leader pass numbered fault points; at `fault_point` it is
    killed, cut off from the log or frozen.
    """

    def __init__(self, hosts: int = 2, tuning: FleetTuning = QUICK, **changes):
        self.tuning = tuning
        self.log = FakeLog()
        self.cloud = FakeCloud(OFFERS, start_seconds=5.0)
        self.upstreams = DelayedUpstreams(self)
        self.weights = FakeWeightStore({("zaseki-7b", "1"): 10**9}, 1e9)
        self.configuration = Configuration(
            deployments={"zaseki-model": deployment(**changes)}
        )
        # Requests in progress, by deployment.
        self.busy = {"zaseki-model": 32.0}
        self.checks_fencing = True
        # Time from an accepted load order until the engine announces the model.
        self.load_seconds = 0.0
        # Time that the handler of reclaim notices takes.
        self.handler_seconds = 0.01
        self.fleets: dict[str, Fleet] = {}
        self.sent: list[SentOrder] = []
        self.delivered_notices: list[tuple[str, int]] = []
        # Time, caller and method of calls that change the cloud or an upstream.
        self.calls: list[tuple[float, str, str]] = []
        # Number of the fault point at which the first leader is killed, cut off from
        # the log or frozen, and names of the points passed so far.
        self.fault_point: int | None = None
        self.freeze_seconds = 0.0
        self.cuts_off_leader = False
        self.passed_points: list[str] = []
        self.names = [f"control-{number}" for number in range(hosts)]
        self._scopes: dict[str, trio.CancelScope] = {}
        self._loaded_at: dict[tuple[str, ModelKey], float] = {}
        self._nursery: trio.Nursery | None = None

    @classmethod
    @asynccontextmanager
    async def start(cls, **options) -> AsyncIterator["Cluster"]:
        """Run a cluster until the block ends; the first host leads."""
        cluster = cls(**options)
        async with trio.open_nursery() as cluster._nursery:
            cluster._nursery.start_soon(cluster._run_engines)
            for name in cluster.names:
                await cluster.start_host(name)
            cluster.elect("control-0")
            yield cluster
            cluster._nursery.cancel_scope.cancel()

    @property
    def machine(self):
        """State machine of the host that was started last."""
        return list(self.fleets.values())[-1].machine

    @property
    def engines(self) -> list[FakeEngine]:
        """Running engines."""
        return [engine for engine in self.upstreams.engines if engine.is_alive]

    def elect(self, name: str) -> None:
        """Make a host the leader in a new term."""
        self.log.leader = name
        self.log.term += 1

    async def start_host(self, name: str) -> None:
        """Start a control host."""
        await self._nursery.start(self._run_host, name)

    def crash(self, name: str) -> None:
        """Crash a control host."""
        self.fleets.pop(name)
        self._scopes[name].cancel()

    async def reach_kill_point(self, host: str, name: str) -> None:
        """Count the first leader's fault points; inject a fault at `fault_point`."""
        if host != "control-0" or self.log.term != 2:
            return
        self.passed_points.append(name)
        if len(self.passed_points) != self.fault_point:
            return
        if self.cuts_off_leader:
            self.log.cut_hosts.add(host)
            self.calls.clear()
            self.run_later(5, self.elect, "control-1")
            return
        if self.freeze_seconds:
            self.run_later(1.5, self.elect, "control-1")
            await trio.sleep(self.freeze_seconds)
            return
        self.crash(host)
        self._nursery.start_soon(self._fail_over)
        await trio.lowlevel.checkpoint()

    def run_later(self, seconds: float, function: Callable, *arguments) -> None:
        """Call `function` after a delay; await its result if there is one."""

        async def run() -> None:
            await trio.sleep(seconds)
            with suppress(UpstreamFault):
                result = function(*arguments)
                if result is not None:
                    await result

        self._nursery.start_soon(run)

    def record_call(self, host: str, name: str, arguments: tuple) -> None:
        """Record a call, and the order that it sends."""
        now = trio.current_time()
        self.calls.append((now, host, name))
        if name == "send_order":
            upstream, order = arguments
            self.sent.append(SentOrder(now, host, upstream.name, order))

    def announced_upstreams(self) -> list[Upstream]:
        """Return the running engines with their announced models and load."""
        now = trio.current_time()
        views = []
        for engine in self.engines:
            for key in engine.upstream.models:
                self._loaded_at.setdefault((engine.name, key), now)
            models = {
                key
                for key in engine.upstream.models
                if now >= self._loaded_at[engine.name, key] + self.load_seconds
            }
            view = replace(engine.upstream, models=frozenset(models), load=engine.load)
            views.append(view)
        return views

    def check_consistent(self, hosts: int) -> None:
        """Check that no start, host or order is lost, doubled or left open.

        Raise AssertionError unless the cloud runs exactly the recorded `hosts` hosts,
        each with one engine that has the model.
        """
        assert not self.machine.open_actions()
        living = {host.token: host.id for host in self.cloud.living}
        assert living == {
            action.id: action.host_id for action in self.machine.live_starts()
        }
        assert len(living) == hosts
        assert len({engine.upstream.host for engine in self.engines}) == hosts
        assert all(KEY in engine.upstream.models for engine in self.engines)

    def make_agreement(self, name: str, nursery: trio.Nursery) -> Agreement:
        """Return a host's access to the log."""
        return KillableAgreement(name, self.log, self)

    async def run_agreement(self, agreement: Agreement) -> None:
        """Run the tasks of the agreement, none by default."""

    async def _fail_over(self) -> None:
        await trio.sleep(1.5)
        self.elect("control-1")
        await trio.sleep(10)
        await self.start_host("control-0")

    async def _run_host(self, name: str, task_status) -> None:
        async with trio.open_nursery() as nursery:
            self._scopes[name] = nursery.cancel_scope
            calls = ("start_host", "stop_host", "send_order")
            ports = FleetPorts(
                host=name,
                agreement=self.make_agreement(name, nursery),
                cloud=KillablePort(self.cloud, name, self, *calls),
                upstreams=KillablePort(self.upstreams, name, self, *calls),
                registry=_ClusterRegistry(self),
                timers=FakeTimers(random.Random(1)),
                rng=random.Random(len(self.log.entries)),
                weights=self.weights,
            )
            self.fleets[name] = Fleet.from_config(
                ports,
                lambda: self.configuration,
                lambda notices: self._handle_notices(name, notices),
                demand=lambda target: Demand(self.busy[target]),
                tuning=self.tuning,
            )
            nursery.start_soon(self.run_agreement, ports.agreement)
            await nursery.start(self.fleets[name].run)
            task_status.started()

    async def _handle_notices(self, name: str, notices) -> None:
        await trio.sleep(self.handler_seconds)
        self.delivered_notices += [(name, notice.id) for notice in notices]

    def engines_on(self, host_id: str) -> list[FakeEngine]:
        """Return the engines on a host, including stopped ones."""
        return [e for e in self.upstreams.engines if e.upstream.host == host_id]

    async def _run_engines(self) -> None:
        """Run an engine on each running host, as the hosts' images do."""
        while True:
            for host in self.cloud.hosts:
                engines = self.engines_on(host.id)
                if host.state is HostState.STOPPED:
                    for engine in engines:
                        engine.die()
                elif host.state is not HostState.STARTING and not engines:
                    self._add_engine(host)
            await trio.sleep(0.5)

    def _add_engine(self, host) -> None:
        engine = FakeEngine(f"engine-{host.id}", host.zone, KEY)
        engine.upstream = replace(
            engine.upstream,
            host=host.id,
            models=frozenset(),
            checks_fencing=self.checks_fencing,
        )
        self.upstreams.add(engine)


def sent_loads(cluster: Cluster) -> list[SentOrder]:
    """Return the load orders that were sent."""
    return [sent for sent in cluster.sent if sent.order.kind is OrderKind.LOAD]
