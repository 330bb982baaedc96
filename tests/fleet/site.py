"""Control hosts that run a fleet in one process, with a cloud and engines."""

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

# Short times, so that a run takes few steps.
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
    """An order as an upstream got it."""

    time: float
    sender: str
    upstream: str
    order: UpstreamOrder


class KillableAgreement(FakeAgreement):
    """Agreement whose host may be killed before and after each commit."""

    def __init__(self, host: str, log: FakeLog, site: "Site"):
        super().__init__(host, log)
        self._site = site

    async def propose(self, name: str, command: bytes, timeout: float) -> bytes:
        await self._site.pass_point(self._host, "propose")
        result = await super().propose(name, command, timeout)
        await self._site.pass_point(self._host, "committed")
        return result


class LateUpstreams(FakeUpstreams):
    """Upstreams that orders reach late, after their sender has given up."""

    def __init__(self, site: "Site"):
        super().__init__()
        self._site = site
        self.late_seconds = 0.0
        # Fencing numbers that were carried out, by upstream.
        self.carried_out: dict[str, list[int]] = defaultdict(list)

    async def send_order(self, upstream: Upstream, order: UpstreamOrder) -> None:
        if self.late_seconds:
            self._site.run_later(self.late_seconds, self._arrive, upstream, order)
            raise UpstreamLost("Connection lost.")
        await self._arrive(upstream, order)

    async def _arrive(self, upstream: Upstream, order: UpstreamOrder) -> None:
        await super().send_order(upstream, order)
        self.carried_out[upstream.name].append(order.fence)


class Killable:
    """A port whose caller may be killed before and after some calls."""

    def __init__(self, inner, host: str, site: "Site", *names: str):
        self._inner = inner
        self._host = host
        self._site = site
        self._names = names

    def __getattr__(self, name: str):
        method = getattr(self._inner, name)
        if name not in self._names:
            return method

        async def call(*arguments):
            await self._site.pass_point(self._host, name)
            self._site.note_call(self._host, name, arguments)
            result = await method(*arguments)
            await self._site.pass_point(self._host, f"{name} answered")
            return result

        return call


@dataclass(frozen=True)
class _Registry:
    """Registry view of a site."""

    site: "Site"

    def upstreams(self) -> list[Upstream]:
        return self.site.upstream_view()


class Site:
    """Control hosts, a cloud whose hosts run engines, and a weight store."""

    def __init__(self, hosts: int = 2, tuning: FleetTuning = QUICK, **changes):
        self.tuning = tuning
        self.log = FakeLog()
        self.cloud = FakeCloud(OFFERS, start_seconds=5.0)
        self.upstreams = LateUpstreams(self)
        self.weights = FakeWeightStore({("zaseki-7b", "1"): 10**9}, 1e9)
        self.configuration = Configuration(
            deployments={"zaseki-model": deployment(**changes)}
        )
        # Requests in progress, by deployment.
        self.busy = {"zaseki-model": 32.0}
        self.checks_fencing = True
        # Time from an accepted load until the model is announced.
        self.load_seconds = 0.0
        # Time that the receiver of reclaim notices takes.
        self.take_seconds = 0.01
        self.fleets: dict[str, Fleet] = {}
        self.sent: list[SentOrder] = []
        self.handed: list[tuple[str, int]] = []
        # Calls to cloud and upstreams that act, with time and caller.
        self.calls: list[tuple[float, str, str]] = []
        # Point at which the first leader is killed, or cut off from the log, or
        # frozen for some seconds; and those that it passed.
        self.kill_at: int | None = None
        self.freeze_seconds = 0.0
        self.is_cutting = False
        self.points: list[str] = []
        self.names = [f"control-{number}" for number in range(hosts)]
        self._scopes: dict[str, trio.CancelScope] = {}
        self._loaded_at: dict[tuple[str, ModelKey], float] = {}
        self._nursery: trio.Nursery | None = None

    @classmethod
    @asynccontextmanager
    async def start(cls, **options) -> AsyncIterator["Site"]:
        """Run a site until the block ends; the first host leads."""
        site = cls(**options)
        async with trio.open_nursery() as site._nursery:
            site._nursery.start_soon(site._run_engines)
            for name in site.names:
                await site.start_host(name)
            site.lead("control-0")
            yield site
            site._nursery.cancel_scope.cancel()

    @property
    def machine(self):
        """The record, as the newest life of a host has it."""
        return list(self.fleets.values())[-1].machine

    @property
    def engines(self) -> list[FakeEngine]:
        """Engines that live."""
        return [engine for engine in self.upstreams.engines if engine.is_alive]

    def lead(self, name: str) -> None:
        """Elect a host in a new term."""
        self.log.leader = name
        self.log.term += 1

    async def start_host(self, name: str) -> None:
        """Start a life of a control host."""
        await self._nursery.start(self._run_host, name)

    def crash(self, name: str) -> None:
        """End a control host's life without notice."""
        self.fleets.pop(name)
        self._scopes[name].cancel()

    async def pass_point(self, host: str, name: str) -> None:
        """Kill the first leader if it's time."""
        if host != "control-0" or self.log.term != 2:
            return
        self.points.append(name)
        if len(self.points) != self.kill_at:
            return
        if self.is_cutting:
            self.log.cut_hosts.add(host)
            self.calls.clear()
            self.run_later(5, self.lead, "control-1")
            return
        if self.freeze_seconds:
            self.run_later(1.5, self.lead, "control-1")
            await trio.sleep(self.freeze_seconds)
            return
        self.crash(host)
        self._nursery.start_soon(self._elect_next)
        await trio.lowlevel.checkpoint()

    def run_later(self, seconds: float, work: Callable, *arguments) -> None:
        """Do something after some time."""

        async def run() -> None:
            await trio.sleep(seconds)
            with suppress(UpstreamFault):
                result = work(*arguments)
                if result is not None:
                    await result

        self._nursery.start_soon(run)

    def note_call(self, host: str, name: str, arguments: tuple) -> None:
        """Keep a call."""
        now = trio.current_time()
        self.calls.append((now, host, name))
        if name == "send_order":
            upstream, order = arguments
            self.sent.append(SentOrder(now, host, upstream.name, order))

    def upstream_view(self) -> list[Upstream]:
        """Return the engines as they announce themselves."""
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

    def check_whole(self, hosts: int) -> None:
        """Check that no start, host or order is lost, doubled or left open."""
        assert not self.machine.open_actions()
        living = {host.token: host.id for host in self.cloud.living}
        assert living == {act.id: act.host_id for act in self.machine.hosts()}
        assert len(living) == hosts
        assert len({engine.upstream.host for engine in self.engines}) == hosts
        assert all(KEY in engine.upstream.models for engine in self.engines)

    def make_agreement(self, name: str, nursery: trio.Nursery) -> Agreement:
        """Return a host's access to the log."""
        return KillableAgreement(name, self.log, self)

    async def run_agreement(self, agreement: Agreement) -> None:
        """Run what the access needs."""

    async def _elect_next(self) -> None:
        await trio.sleep(1.5)
        self.lead("control-1")
        await trio.sleep(10)
        await self.start_host("control-0")

    async def _run_host(self, name: str, task_status) -> None:
        async with trio.open_nursery() as nursery:
            self._scopes[name] = nursery.cancel_scope
            calls = ("start_host", "stop_host", "send_order")
            ports = FleetPorts(
                host=name,
                agreement=self.make_agreement(name, nursery),
                cloud=Killable(self.cloud, name, self, *calls),
                upstreams=Killable(self.upstreams, name, self, *calls),
                registry=_Registry(self),
                timers=FakeTimers(random.Random(1)),
                rng=random.Random(len(self.log.entries)),
                weights=self.weights,
            )
            self.fleets[name] = Fleet.from_config(
                ports,
                lambda: self.configuration,
                lambda notices: self._take_notices(name, notices),
                demand=lambda target: Demand(self.busy[target]),
                tuning=self.tuning,
            )
            nursery.start_soon(self.run_agreement, ports.agreement)
            await nursery.start(self.fleets[name].run)
            task_status.started()

    async def _take_notices(self, name: str, notices) -> None:
        await trio.sleep(self.take_seconds)
        self.handed += [(name, notice.id) for notice in notices]

    def upstreams_of(self, host_id: str) -> list[FakeEngine]:
        """Return the engines that were ever on a host."""
        return [e for e in self.upstreams.engines if e.upstream.host == host_id]

    async def _run_engines(self) -> None:
        """Do what the hosts' images do: run an engine while the host lives."""
        while True:
            for host in self.cloud.hosts:
                engines = self.upstreams_of(host.id)
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


def loads(site: Site) -> list[SentOrder]:
    """Return the loads that were sent."""
    return [sent for sent in site.sent if sent.order.kind is OrderKind.LOAD]
