"""Complete hosts under concurrent workloads, with a fault injected at a given step."""

import math
import random
import tomllib
from collections import Counter
from collections.abc import AsyncIterator, Callable, Iterable
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace

import trio

from pepperstep.configuration import BASE as BASE_DOCUMENT
from pepperstep.entities import ModelKey, Request
from pepperstep.fakes import (
    FakeCloud,
    FakeEngine,
    FakeService,
    FakeUpstreams,
    FakeWeightStore,
)
from pepperstep.fakes.hosts import FakeHosts, HostPlace
from pepperstep.fakes.steps import Step, StepKind
from pepperstep.ports.cloud import CloudHost, HostState, Offer, PriceClass
from pepperstep.ports.upstreams import EndMark, TokenChunk
from tests.faults.callers import ChangeCaller, RequestCaller

ZONES = ("sapporo-hall", "asahikawa-hall", "hakodate-hall")
KEY = ModelKey("zaseki-7b", "", "1")
POISON = "divide the hall by zero"
TOKENS = 60
MIDDLE = 20
BASE = {
    "sites": {"kitahara": {"regions": ["dosanko"]}},
    "limits": {"entry_hosts_seconds": 1.0},
    "workspaces": {"planners": {}},
    "deployments": {
        "zaseki-model": {
            "model": "zaseki-7b",
            "version": "1",
            "workspaces": ["planners"],
        }
    },
    "services": {"quote-api": {"workspaces": ["planners"]}},
}

_SETTLE_SECONDS = 0.6
_RECLAIM_AFTER = 0.8
_NOTICE_SECONDS = 2.0
_IN_FORCE_SECONDS = 2.0
# Engine that announces leaving and keeps running. Short requests show which hosts have
# received the announcement.
_LEAVING_ENGINE = "engine-5"
# Less than the service takes for a call, so that the duplicate arrives meanwhile.
_REPEAT_AFTER = 0.1
_LEAVE_AFTER = 0.05
_LEAVING_NOTICE_SECONDS = 1000.0
# Start times of short requests; all hosts know that the engine leaves by the third.
_SHORT_REQUEST_TIMES = (0.0, 0.6, 3.1, 3.2, 3.3, 3.4)
# Time after which a scenario without all answers fails.
_TIMEOUT_SECONDS = 90.0


class Service(FakeService):
    """Service that counts its runs by request id."""

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.runs_by_id: Counter[str] = Counter()

    async def call(self, request: Request):
        """Run the call and count it."""
        before = self.runs[request.body]
        try:
            return await super().call(request)
        finally:
            self.runs_by_id[request.id] += self.runs[request.body] - before

    def die(self) -> None:
        """Crash; calls in progress are lost."""
        self.is_alive = False

    def start_again(self) -> None:
        """Restart with a new epoch."""
        self.is_alive = True
        self.upstream = replace(
            self.upstream, epoch=self.upstream.epoch + 1, is_leaving=False
        )

    def leave(self) -> None:
        """Announce leaving; calls in progress are completed."""
        self.upstream = replace(self.upstream, is_leaving=True)


class Engine(FakeEngine):
    """Engine with additional faults in its answers."""

    # Whether answers lack tokens, or end early with the count of a complete answer.
    has_gaps = False
    ends_early = False
    # Whether a request has crashed the engine.
    has_crashed = False
    # Fencing numbers of executed orders, in order.
    fences: tuple[int, ...] = ()

    def take_order(self, order) -> None:
        """Execute an order and record its fencing number."""
        super().take_order(order)
        self.fences += (order.fence,)

    async def open(self, order):
        """Accept an attempt."""
        attempt = await super().open(order)
        self.has_crashed |= bool(self.poison) and self.poison in order.prompt
        return attempt

    async def stream(self, attempt) -> AsyncIterator:
        """Yield the attempt's chunks, corrupted by the active faults."""
        chunks = super().stream(attempt)
        try:
            async for chunk in chunks:
                for corrupted in self._corrupt(attempt.order, chunk):
                    yield corrupted
                    if isinstance(corrupted, EndMark):
                        return
        finally:
            await chunks.aclose()

    def _corrupt(self, order, chunk) -> list:
        if not isinstance(chunk, TokenChunk):
            return [chunk]
        if self.is_crossed:
            return [replace(chunk, tokens=("another's ",))]
        if self.has_gaps and chunk.position % 20 == 9:
            return []
        if self.ends_early and chunk.position % 10 == 9:
            return [EndMark(order.attempt_id, order.max_tokens, "length")]
        return [chunk]


@dataclass(frozen=True)
class OpenedAttempt:
    """An attempt that a host opened at an upstream."""

    time: float
    host: str
    upstream: str
    epoch: int
    attempt_id: str


class Scenario:
    """One cell of the test matrix: workloads, a fault and the observed events."""

    def __init__(self, hosts: FakeHosts, cloud: FakeCloud, nursery: trio.Nursery):
        self.hosts = hosts
        self.cloud = cloud
        self.weights: FakeWeightStore | None = None
        self.upstreams = hosts.upstreams
        self.network = hosts.network
        self.nursery = nursery
        self.rng = random.Random(11)
        store = hosts.hosts["entry-0"].node.store
        self.base = tomllib.loads(store.text_of(BASE_DOCUMENT))
        self.revision = store.revision
        self.stream = RequestCaller(self, "stream", "entry-3")
        self.service = RequestCaller(self, "service", "entry-3")
        # Sends the same call with the same key at another host.
        self.duplicate = RequestCaller(self, "service-repeat", "entry-1")
        self.duplicate.key = self.service.key
        self.change = ChangeCaller(self, "entry-3")
        self.callers: list[RequestCaller] = [self.stream, self.service, self.duplicate]
        self.changes: list[ChangeCaller] = [self.change]
        # Owner, backup host and upstream of each caller's request, as last observed.
        self.owners: dict[str, str] = {}
        self.backups: dict[str, str] = {}
        self.last_upstream: dict[str, str] = {}
        self.opened_attempts: list[OpenedAttempt] = []
        # Time at which each upstream announced leaving, by name and epoch.
        self.leaving_since: dict[tuple[str, int], float] = {}
        self.drained: set[str] = set()
        # Times of the fault and of the last repair.
        self.injected_at = math.inf
        self.repaired_at = 0.0
        self.is_reclaiming = True
        # Number of unrepaired faults whose time of repair isn't known in advance.
        self.open_faults = 0
        hosts.steps.subscribe(self._observe_step)

    @classmethod
    @asynccontextmanager
    async def start(
        cls,
        offers: Iterable[Offer] = (),
        weights: FakeWeightStore | None = None,
        replicas: int = 1,
    ) -> AsyncIterator["Scenario"]:
        """Start the hosts and let the upstreams announce themselves."""
        upstreams = FakeUpstreams(list(map(make_engine, range(6))))
        for number, zone in enumerate(ZONES[:2]):
            service = Service(f"quote-{number}", "quote-api", zone, 0.3)
            service.upstream = replace(service.upstream, region="dosanko")
            upstreams.add(service)
        cloud = FakeCloud(list(offers), start_seconds=1.0)
        async with FakeHosts.start(
            _host_places(), upstreams, _base(replicas), cloud=cloud, weights=weights
        ) as hosts:
            for each in upstreams.all.values():
                cloud.add_host(_cloud_host(each.upstream))
            await trio.sleep(_SETTLE_SECONDS)
            async with trio.open_nursery() as nursery:
                yield cls(hosts, cloud, nursery)
                nursery.cancel_scope.cancel()

    async def run(self) -> None:
        """Run all workloads to their end, and wait until all repairs have settled."""
        with trio.move_on_after(_TIMEOUT_SECONDS):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.stream.run)
                nursery.start_soon(self.service.run)
                nursery.start_soon(self._send_duplicate)
                nursery.start_soon(self.stream.read_in_parallel, "entry-1")
                for change in self.changes:
                    nursery.start_soon(change.run)
                if self.is_reclaiming:
                    nursery.start_soon(self._reclaim_later)
                nursery.start_soon(self._send_short_requests)
            while self.open_faults or self._is_settling():
                await trio.sleep(0.1)

    @property
    def is_network_healthy(self) -> bool:
        """Whether messages arrive without loss or delay."""
        network = self.network
        is_fast = network.max_delay < 0.01 and not network.loss
        return is_fast and all(map(self._is_connected, self.hosts.places))

    # Methods used by faults.

    def owner_of(self, caller: RequestCaller) -> str:
        """Return the host that owns a caller's request."""
        return self.owners.get(caller.name, caller.first_host)

    def backup_of(self, caller: RequestCaller) -> str:
        """Return the host that keeps a copy of a caller's request."""
        return self.backups.get(caller.name, "entry-1")

    def upstream(self, caller: RequestCaller):
        """Return the upstream of a caller's last attempt, or a default before one."""
        default = "quote-0" if caller is self.service else "engine-0"
        return self.upstreams.all[self.last_upstream.get(caller.name, default)]

    def reclaim(self, seconds: float, *, zone: str = "", name: str = "") -> None:
        """Reclaim an upstream or a zone with `seconds` of notice."""
        now = trio.current_time()
        for each in list(self.upstreams.all.values()):
            upstream = each.upstream
            is_selected = upstream.zone == zone or upstream.name == name
            if not (is_selected and each.is_alive) or upstream.is_leaving:
                continue
            self.cloud.reclaim(seconds, host_id=upstream.host)
            each.leave()
            self.leaving_since[upstream.name, upstream.epoch] = now
            self.hosts.announce(each)
            self.run_later(seconds, each.die)

    def run_later(self, seconds: float, function: Callable[[], object]) -> None:
        """Call `function` after a delay."""

        async def run() -> None:
            await trio.sleep(seconds)
            function()

        self.nursery.start_soon(run)

    def kill(self, name: str, restart_after: float = 3.0, **options) -> None:
        """Crash a host and restart it later."""
        if name not in self.hosts.hosts:
            return
        self.hosts.crash(name, **options)
        self.repaired_at = max(self.repaired_at, trio.current_time() + restart_after)
        self.nursery.start_soon(self._restart, name, restart_after)

    def drain(self, name: str) -> None:
        """Drain a host and restart it."""
        if name not in self.hosts.hosts:
            return
        self.drained.add(name)
        self.open_faults += 1
        self.nursery.start_soon(self._drain, name)

    def is_reachable(self, name: str) -> bool:
        """Whether a host runs, is ready and isn't isolated."""
        host = self.hosts.hosts.get(name)
        return (
            host is not None
            and not host.timers.is_paused
            and not host.node.reasons_not_ready()
            and self._is_connected(name)
        )

    def _is_settling(self) -> bool:
        return trio.current_time() < self.repaired_at + _IN_FORCE_SECONDS

    def _is_connected(self, name: str) -> bool:
        return not any(
            self.network.is_cut(name, other) or self.network.is_cut(other, name)
            for other in self.hosts.places
        )

    async def _drain(self, name: str) -> None:
        await self.hosts.drain(name)
        await self._restart(name, 0.5)
        self.repaired_at = max(self.repaired_at, trio.current_time())
        self.open_faults -= 1

    async def _restart(self, name: str, seconds: float) -> None:
        await trio.sleep(seconds)
        if name not in self.hosts.hosts:
            await self.hosts.start_host(name)

    async def _reclaim_later(self) -> None:
        await trio.sleep(_RECLAIM_AFTER)
        self.reclaim(_NOTICE_SECONDS, name=self.upstream(self.stream).upstream.name)

    async def _send_duplicate(self) -> None:
        await trio.sleep(_REPEAT_AFTER)
        await self.duplicate.run()

    async def _send_short_requests(self) -> None:
        """Send short requests to each host in turn while an engine leaves."""
        began_at = trio.current_time()
        self.run_later(
            _LEAVE_AFTER,
            lambda: self.reclaim(_LEAVING_NOTICE_SECONDS, name=_LEAVING_ENGINE),
        )
        async with trio.open_nursery() as nursery:
            for number, seconds in enumerate(_SHORT_REQUEST_TIMES):
                await trio.sleep_until(began_at + seconds)
                first_host = f"entry-{number % len(self.hosts.places)}"
                prompt = f"Move table {number}."
                caller = RequestCaller(self, f"short-{number}", first_host, prompt, 2)
                self.callers.append(caller)
                nursery.start_soon(caller.run)

    def _observe_step(self, step: Step) -> None:
        if step.kind is StepKind.OPEN:
            self._record_attempt(step)
        elif step.kind is StepKind.SEND:
            self._record_owners(step)

    def _record_attempt(self, step: Step) -> None:
        upstream = step.detail
        now = trio.current_time()
        self.opened_attempts.append(
            OpenedAttempt(now, step.host, upstream.name, upstream.epoch, step.subject)
        )
        for caller in self.callers:
            if caller.has_attempt(step.subject):
                self.last_upstream[caller.name] = upstream.name

    def _record_owners(self, step: Step) -> None:
        if step.detail.DESCRIPTOR.name != "JournalBatch":
            return
        for caller in self.callers:
            if any(
                part.request_id in caller.ids
                for part in records_and_checkpoints(step.detail)
            ):
                self.owners[caller.name] = step.host
                self.backups[caller.name] = step.subject


def records_and_checkpoints(batch) -> list:
    """Return the records and checkpoints of a batch."""
    return [*batch.records, *batch.checkpoints]


def _base(replicas: int) -> dict:
    deployment = BASE["deployments"]["zaseki-model"] | {"min_replicas": replicas}
    return BASE | {"deployments": {"zaseki-model": deployment}}


def _host_places() -> list[HostPlace]:
    return [
        HostPlace(f"entry-{n}", ZONES[n % 3], "dosanko", "kitahara", n < 3)
        for n in range(4)
    ]


def make_engine(number: int) -> Engine:
    return Engine(
        f"engine-{number}",
        ZONES[number % 3],
        KEY,
        region="dosanko",
        decode_seconds=0.04,
    )


def _cloud_host(upstream) -> CloudHost:
    return CloudHost(
        upstream.host,
        upstream.host,
        upstream.zone,
        "gpu",
        PriceClass.RECLAIMABLE,
        0.3,
        HostState.RUNNING,
        "zaseki-model",
    )
