"""Whole hosts in one process, on fakes of every external system."""

import random
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace
from typing import Any

import tomli_w
import trio
from google.protobuf.message import Message

from pepperstep.configuration import BASE, Change, hash_key
from pepperstep.entities import Outcome, Priority, Request, RequestKind
from pepperstep.errors import Failure
from pepperstep.fakes.network import FakeNetwork, FakePeers
from pepperstep.fakes.steps import (
    PublishingCloud,
    PublishingDisk,
    PublishingUpstreams,
    Step,
    StepKind,
    Steps,
)
from pepperstep.fakes.storage import FakeDisk
from pepperstep.fakes.timers import FakeTimers
from pepperstep.fakes.upstreams import FakeUpstreams
from pepperstep.node import Node, Policies, Ports
from pepperstep.ports.cloud import Cloud
from pepperstep.ports.weights import WeightStore
from pepperstep.settings import (
    ControlSettings,
    HostSettings,
    RequestSettings,
    Seed,
    Settings,
)

__all__ = ["FakeHost", "FakeHosts", "HostLost", "HostPlace", "Served"]

_HEARTBEAT_SECONDS = 1.0
_CHANGE_SECONDS = 5.0
_DRAIN_POLL_SECONDS = 0.1


class HostLost(Exception):
    """Raised when a host's incarnation ends before it answers a call."""


@dataclass(frozen=True, slots=True)
class Served:
    """Record that a host began to serve a revision of the configuration."""

    time: float
    host: str
    revision: int
    # False until the host has learned the committed revision.
    is_ready: bool


@dataclass(frozen=True, slots=True)
class HostPlace:
    """Location and role of a host."""

    name: str
    zone: str
    region: str
    site: str
    is_control: bool = False


@dataclass(slots=True)
class FakeHost:
    """One incarnation of a host."""

    node: Node
    timers: FakeTimers
    scope: trio.CancelScope
    nursery: trio.Nursery


class FakeHosts:
    """Hosts that share a network, upstreams and a cloud.

    `is_announcing` is False where the test renews the upstreams' leases itself.
    """

    def __init__(
        self,
        places: list[HostPlace],
        upstreams: FakeUpstreams,
        base: dict,
        *,
        cloud: Cloud | None = None,
        weights: WeightStore | None = None,
        seed: int = 1,
        policies: Policies | None = None,
        is_announcing: bool = True,
    ):
        self.places = {place.name: place for place in places}
        self.upstreams = upstreams
        self.network = FakeNetwork(random.Random(seed))
        self.disks = {place.name: FakeDisk() for place in places if place.is_control}
        self.hosts: dict[str, FakeHost] = {}
        # External steps of all hosts, and the revisions that hosts have served.
        self.steps = Steps()
        self.served: list[Served] = []
        # Number of calls in flight by host.
        self.calling: Counter[str] = Counter()
        self.network.before = self._publish_message
        self._base = base
        self._cloud = cloud
        self._weights = weights
        self._policies = policies
        self._is_announcing = is_announcing
        self._rng = random.Random(seed + 1)
        self._nursery: trio.Nursery | None = None
        self._sequence = 0

    @classmethod
    @asynccontextmanager
    async def start(cls, *args, **options) -> AsyncIterator["FakeHosts"]:
        """Run all hosts until the block ends, and enter it once they are ready."""
        hosts = cls(*args, **options)
        async with trio.open_nursery() as hosts._nursery:
            for name in hosts.places:
                await hosts.start_host(name)
            if hosts._is_announcing:
                hosts._nursery.start_soon(hosts._announce_periodically)
            await hosts._propose_base()
            await hosts.wait_ready()
            yield hosts
            hosts._nursery.cancel_scope.cancel()

    async def start_host(self, name: str) -> None:
        """Start a new incarnation of a host."""
        await self._nursery.start(self._run_host, name)

    def crash(self, name: str, torn_bytes: int = 0, is_disk_lost: bool = False) -> None:
        """Crash a host, which keeps only what is durable on its disk."""
        self.network.detach(name)
        self.hosts.pop(name).scope.cancel()
        disk = self.disks.get(name)
        if disk is not None:
            disk.crash(torn_bytes)
            if is_disk_lost:
                disk.lose()

    async def drain(self, name: str) -> None:
        """Drain a host and then stop it, unless it crashes first."""
        host = self.hosts[name]
        host.node.start_drain()
        try:
            await self.call(name, lambda node: node.drain())
            while self.calling[name] and self.hosts.get(name) is host:
                await trio.sleep(_DRAIN_POLL_SECONDS)
            await self.call(name, lambda node: node.depart())
        except HostLost:
            return
        self.crash(name)

    def pause(self, name: str) -> None:
        """Pause a host, as when its process is frozen."""
        self.hosts[name].timers.pause()

    def resume(self, name: str) -> None:
        """Resume a paused host."""
        self.hosts[name].timers.resume()

    @property
    def leader(self) -> str:
        """Name of the leading control host, "" if there is none."""
        for name, host in self.hosts.items():
            if host.node.agreement.is_leader:
                return name
        return ""

    async def wait_ready(self) -> None:
        """Return once all running hosts are ready."""
        while any(host.node.reasons_not_ready() for host in self.hosts.values()):
            await trio.sleep(0.05)

    async def change(self, host: str, change: Change):
        """Apply an operator's change at a host and return the answer."""
        return await self.hosts[host].node.store.apply_change(change, _CHANGE_SECONDS)

    async def call(self, name: str, function: Callable[[Node], Awaitable]) -> Any:
        """Run a function on a host's node and return its result.

        Raise `HostLost` if the host ends first.
        """
        host = self.hosts.get(name)
        if host is None:
            raise HostLost(name)
        results: list[Any] = []
        done = trio.Event()
        scope = trio.CancelScope()

        async def run() -> None:
            try:
                with scope:
                    await host.timers.wait_running()
                    results.append(await function(host.node))
                    await host.timers.wait_running()
            except Failure as failure:
                results.append(failure)
            finally:
                done.set()

        self.calling[name] += 1
        host.nursery.start_soon(run)
        try:
            await done.wait()
        finally:
            scope.cancel()
            self.calling[name] -= 1
        if not results or self.hosts.get(name) is not host:
            raise HostLost(name)
        if isinstance(results[0], Failure):
            raise results[0]
        return results[0]

    def request(self, host: str, number: int = 0, **changes) -> Request:
        """Return a request for `host`, with fields replaced by `changes`."""
        node = self.hosts[host].node
        target, deployment = next(iter(node.configuration.deployments.items()))
        values = {
            "id": f"{host}.{number}",
            "workspace": deployment.workspaces[0],
            "kind": RequestKind.CHAT,
            "target": target,
            "priority": Priority.INTERACTIVE,
            "deadline": node.timers.wall() + 300,
            "model_key": deployment.model_key,
            "prompt": f"Seat the guests of table {number}.",
            "max_tokens": 50,
            "seed": number,
        }
        return Request(**(values | changes))

    async def read(
        self,
        host: str,
        request_id: str,
        workspace: str,
        position: int = 0,
        limit: int | None = None,
    ) -> tuple[list[str], Outcome | None]:
        """Read an answer at `host` from `position` to its end or to `limit` tokens.

        Return the tokens, and the outcome unless the limit was reached first.
        """
        tokens: list[str] = []
        parts = self.hosts[host].node.requests.read(request_id, workspace, position)
        try:
            async for part in parts:
                tokens += part.tokens
                if part.outcome is not None:
                    return tokens, part.outcome
                if limit is not None and len(tokens) >= limit:
                    return tokens, None
        finally:
            await parts.aclose()
        raise AssertionError("The answer ended without an outcome.")

    def announce(self, fake) -> None:
        """Renew an upstream's lease at a random running host."""
        self._sequence += 1
        running = [h for h in self.hosts.values() if not h.timers.is_paused]
        if not running:
            return
        host = self._rng.choice(running)
        upstream = fake.upstream
        if hasattr(fake, "load"):
            upstream = replace(upstream, load=fake.load)
        host.node.registry.announce(upstream, self._sequence)

    async def _run_host(self, name: str, task_status) -> None:
        async with trio.open_nursery() as nursery:
            rng = random.Random(self._rng.random())
            timers = FakeTimers(rng)
            peers = FakePeers(name, self.network, timers, nursery)
            ports = self._build_ports(name, timers, peers, rng)
            node = Node(self._build_settings(self.places[name]), ports, self._policies)
            self.hosts[name] = FakeHost(node, timers, nursery.cancel_scope, nursery)
            node.store.subscribe(lambda _: self._record_served(name, node))
            await nursery.start(node.run)
            nursery.start_soon(self._record_ready, name, node)
            task_status.started()

    def _build_ports(
        self, name: str, timers: FakeTimers, peers: FakePeers, rng: random.Random
    ) -> Ports:
        storage = cloud = None
        if name in self.disks:
            storage = PublishingDisk(name, timers, self.steps, self.disks[name])
        if self._cloud is not None:
            cloud = PublishingCloud(name, timers, self.steps, self._cloud)
        upstreams = PublishingUpstreams(name, timers, self.steps, self.upstreams)
        return Ports(timers, peers, upstreams, rng, storage, cloud, self._weights)

    def _publish_message(self, sender: str, receiver: str, message: Message) -> None:
        self.steps.publish(Step(StepKind.SEND, sender, receiver, message))

    def _record_served(self, name: str, node: Node) -> None:
        store = node.store
        served = Served(trio.current_time(), name, store.revision, store.is_ready)
        self.served.append(served)

    async def _record_ready(self, name: str, node: Node) -> None:
        await node.store.wait_ready()
        self._record_served(name, node)

    def _build_settings(self, place: HostPlace) -> Settings:
        names = list(self.places)
        return Settings(
            host=HostSettings(
                name=place.name,
                zone=place.zone,
                region=place.region,
                site=place.site,
                peer_address=f"{place.name}:1",
                caller_address=f"{place.name}:2",
                roles=("entry", "control") if place.is_control else ("entry",),
            ),
            seeds=tuple(
                Seed(each, f"{each}:1") for each in names if each != place.name
            ),
            control=ControlSettings(
                voters=tuple(p.name for p in self.places.values() if p.is_control),
                data_folder="data" if place.is_control else "",
            ),
            requests=RequestSettings(drain_seconds=20.0),
        )

    async def _propose_base(self) -> None:
        base = {
            **self._base,
            "operators": {
                "root": {"key_sha256": hash_key("root"), "may_change_base": True},
                **self._base.get("operators", {}),
            },
        }
        change = Change("first-base", BASE, tomli_w.dumps(base), 0, "root", "")
        while True:
            try:
                answer = await self.change(next(iter(self.hosts)), change)
            except Failure:
                continue
            assert answer.is_accepted, answer
            return

    async def _announce_periodically(self) -> None:
        """Renew the lease of each live upstream once every heartbeat."""
        while True:
            for fake in list(self.upstreams.all.values()):
                if fake.is_alive and self.hosts:
                    self.announce(fake)
            await trio.sleep(_HEARTBEAT_SECONDS)
