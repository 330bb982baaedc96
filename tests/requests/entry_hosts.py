"""Entry hosts in one process, for tests of requests."""

import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import trio

from pepperstep.entities import (
    Host,
    ModelKey,
    Outcome,
    Priority,
    Request,
    RequestKind,
)
from pepperstep.fakes import (
    FakeAgreement,
    FakeDirectory,
    FakeEngine,
    FakeLog,
    FakeNetwork,
    FakePeers,
    FakeTimers,
    FakeUpstreams,
)
from pepperstep.requests import LINK_MACHINE, LinkMachine, RequestService
from pepperstep.routing import Router

KEY = ModelKey("zaseki-7b", "", "1")
ZONES = ("sapporo-hall", "asahikawa-hall", "hakodate-hall")


@dataclass
class EntryHost:
    """One entry host and what a test does to it."""

    host: Host
    timers: FakeTimers
    peers: FakePeers
    service: RequestService
    scope: trio.CancelScope


class Hosts:
    """Entry hosts that share a network, a log and upstreams."""

    def __init__(self, count: int = 3, engines: int = 3):
        self.rng = random.Random(7)
        self.network = FakeNetwork(random.Random(8))
        self.log = FakeLog()
        self.log.register(LINK_MACHINE, LinkMachine())
        self.upstreams = FakeUpstreams(
            [FakeEngine(f"engine-{n}", ZONES[n % 3], KEY) for n in range(engines)]
        )
        hosts = [
            Host(f"entry-{n}", f"entry-{n}", "", ZONES[n % 3], "region", "kitahara")
            for n in range(count)
        ]
        self.directory = FakeDirectory(hosts)
        self.all: dict[str, EntryHost] = {}
        self._nursery: trio.Nursery | None = None
        self._incarnation = 0

    @classmethod
    @asynccontextmanager
    async def start(cls, **options) -> AsyncIterator["Hosts"]:
        """Run hosts until the block ends."""
        hosts = cls(**options)
        async with trio.open_nursery() as hosts._nursery:
            for name in hosts.directory.hosts:
                await hosts.start_host(name)
            yield hosts
            hosts._nursery.cancel_scope.cancel()

    async def start_host(self, name: str) -> None:
        """Start a life of a host."""
        self._incarnation += 1
        await self._nursery.start(self._run_host, name, self._incarnation)

    async def _run_host(self, name: str, incarnation: int, task_status) -> None:
        async with trio.open_nursery() as nursery:
            timers = FakeTimers(random.Random(incarnation))
            peers = FakePeers(name, self.network, timers, nursery)
            service = RequestService(
                self.directory.hosts[name],
                incarnation,
                peers,
                timers,
                self.directory,
                FakeAgreement(name, self.log),
                Router(self.upstreams, timers),
                self.upstreams,
            )
            self.all[name] = EntryHost(
                self.directory.hosts[name], timers, peers, service, nursery.cancel_scope
            )
            await nursery.start(service.run)
            task_status.started()

    def crash(self, name: str) -> None:
        """End a host's life without notice."""
        self.network.detach(name)
        self.all.pop(name).scope.cancel()

    def declare_gone(self, name: str) -> None:
        """Let all hosts know that a host's life has ended."""
        self.directory.gone[name] = self._incarnation

    def request(self, host: str = "entry-0", number: int = 0, **changes) -> Request:
        """Return a request for the engines, to be submitted at `host`."""
        values = {
            "id": f"{host}.{number}",
            "workspace": "planners",
            "kind": RequestKind.CHAT,
            "target": "zaseki-model",
            "priority": Priority.INTERACTIVE,
            "deadline": self.all[host].timers.wall() + 300,
            "model_key": KEY,
            "prompt": f"Seat the guests of table {number}.",
            "max_tokens": 50,
            "seed": number,
        }
        return Request(**(values | changes))

    async def read(
        self, host: str, request_id: str, position: int = 0, limit: int | None = None
    ) -> tuple[list[str], Outcome | None]:
        """Read an answer at `host` to its end, or up to `limit` tokens."""
        tokens: list[str] = []
        service = self.all[host].service
        parts = service.read(request_id, "planners", position)
        try:
            async for part in parts:
                assert part.position == position + len(tokens)
                tokens += part.tokens
                if part.outcome is not None:
                    return tokens, part.outcome
                if limit is not None and len(tokens) >= limit:
                    return tokens, None
        finally:
            await parts.aclose()
        raise AssertionError("The answer has no end.")
