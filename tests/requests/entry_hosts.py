"""Entry hosts in one process, for tests of request handling."""

import random
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass

import trio

from pepperstep.claims import MACHINE_NAME, ClaimMachine, Claims, HostIdentity
from pepperstep.entities import (
    Host,
    ModelKey,
    Outcome,
    Priority,
    Request,
    RequestKind,
)
from pepperstep.errors import Failure
from pepperstep.fakes import (
    FakeAgreement,
    FakeDirectory,
    FakeEngine,
    FakeLog,
    FakeNetwork,
    FakePeers,
    FakeService,
    FakeTimers,
    FakeUpstreams,
)
from pepperstep.requests import LINK_MACHINE, LinkMachine, RequestService
from pepperstep.routing import Router

KEY = ModelKey("zaseki-7b", "", "1")
ZONES = ("sapporo-hall", "asahikawa-hall", "hakodate-hall")


@dataclass
class EntryHost:
    """One running entry host and the handles with which a test controls it."""

    host: Host
    timers: FakeTimers
    peers: FakePeers
    service: RequestService
    scope: trio.CancelScope
    nursery: trio.Nursery | None = None


class HostCrashed(Exception):
    """Raised if a host crashes before it answers a call."""


class Directory(FakeDirectory):
    """Directory in which a failed host can come back as a new incarnation."""

    def __init__(self, hosts: list[Host]):
        super().__init__(hosts)
        self.incarnations: dict[str, int] = {}

    def entry_hosts(self) -> list[Host]:
        """Return the hosts whose current incarnation is neither gone nor leaving."""
        return [
            host
            for name, host in self.hosts.items()
            if not self.is_gone(name, self.incarnations.get(name, 0))
            and name not in self.leaving
        ]


class Hosts:
    """Entry hosts that share a network, a replicated log and upstreams.

    Every read checks that all readers see the same token at the same position.
    """

    def __init__(self, count: int = 3, engines: int = 3):
        self.rng = random.Random(7)
        self.network = FakeNetwork(random.Random(8))
        self.log = FakeLog()
        self.log.register(LINK_MACHINE, LinkMachine())
        self.log.register(MACHINE_NAME, ClaimMachine())
        self.upstreams = FakeUpstreams(
            [FakeEngine(f"engine-{n}", ZONES[n % 3], KEY) for n in range(engines)]
        )
        hosts = [
            Host(f"entry-{n}", f"entry-{n}", "", ZONES[n % 3], "region", "kitahara")
            for n in range(count)
        ]
        self.upstreams.add(FakeService("quote-0", "quote-api", ZONES[0]))
        self.upstreams.add(FakeService("quote-1", "quote-api", ZONES[1]))
        self.directory = Directory(hosts)
        self.token_at: dict[tuple[str, int], str] = {}
        self.all: dict[str, EntryHost] = {}
        self._nursery: trio.Nursery | None = None
        self._incarnation = 0

    @classmethod
    @asynccontextmanager
    async def start(cls, **options) -> AsyncIterator["Hosts"]:
        """Run hosts until the context exits."""
        hosts = cls(**options)
        async with trio.open_nursery() as hosts._nursery:
            for name in hosts.directory.hosts:
                await hosts.start_host(name)
            yield hosts
            hosts._nursery.cancel_scope.cancel()

    async def start_host(self, name: str) -> None:
        """Start a new incarnation of a host."""
        self._incarnation += 1
        self.directory.incarnations[name] = self._incarnation
        await self._nursery.start(self._run_host, name, self._incarnation)

    async def _run_host(self, name: str, incarnation: int, task_status) -> None:
        async with trio.open_nursery() as nursery:
            timers = FakeTimers(random.Random(incarnation))
            peers = FakePeers(name, self.network, timers, nursery)
            agreement = FakeAgreement(name, self.log)
            identity = HostIdentity(name, incarnation)
            claims = Claims(lambda: identity, agreement, timers, lambda: 1000.0)
            view, options = self.service_options(name, incarnation, peers, timers)
            service = RequestService(
                self.directory.hosts[name],
                incarnation,
                peers,
                timers,
                self.directory,
                agreement,
                Router(view, timers),
                self.upstreams,
                claims=claims,
                **options,
            )
            await nursery.start(claims.run)
            await nursery.start(service.run)
            self.all[name] = EntryHost(
                self.directory.hosts[name],
                timers,
                peers,
                service,
                nursery.cancel_scope,
                nursery,
            )
            task_status.started()

    def service_options(
        self, name: str, incarnation: int, peers: FakePeers, timers: FakeTimers
    ):
        """Return the router's view and further options of a host's service."""
        return self.upstreams, {}

    def crash(self, name: str) -> None:
        """Stop a host without notice to the others."""
        self.network.detach(name)
        self.all.pop(name).scope.cancel()

    def declare_gone(self, name: str) -> None:
        """Report a host's current incarnation as gone to all hosts."""
        self.directory.gone[name] = self.directory.incarnations[name]

    def fail_host(self, name: str) -> None:
        """Crash a host and report it as gone to all others."""
        self.crash(name)
        self.declare_gone(name)

    def backup_of(self, request_id: str) -> str:
        """Return the host that keeps the backup record of a request."""
        return next(
            name
            for name, entry in self.all.items()
            if entry.service._backup_records.owner_of(request_id)
        )

    def owner_of(self, request_id: str) -> str:
        """Return the host that owns a request."""
        return next(
            name
            for name, entry in self.all.items()
            if (run := entry.service._owned.get(request_id)) and not run.is_lost
        )

    async def call(
        self, name: str, function: Callable[[RequestService], Awaitable]
    ) -> object:
        """Return the result of a call at a host; raise `HostCrashed` if it crashes."""
        if name not in self.all:
            raise HostCrashed
        entry = self.all[name]
        results: list[object] = []
        done = trio.Event()
        scope = trio.CancelScope()

        async def run() -> None:
            try:
                with scope:
                    results.append(await function(entry.service))
            except Failure as failure:
                results.append(failure)
            finally:
                done.set()

        entry.nursery.start_soon(run)
        try:
            await done.wait()
        finally:
            scope.cancel()
        if not results:
            raise HostCrashed
        if isinstance(results[0], Failure):
            raise results[0]
        return results[0]

    def request(self, host: str = "entry-0", number: int = 0, **changes) -> Request:
        """Return a request for the engines, with an id of `host`."""
        values = {
            "id": f"{host}.{number}",
            "workspace": "planners",
            "kind": RequestKind.CHAT,
            "target": "zaseki-model",
            "priority": Priority.INTERACTIVE,
            "deadline": FakeTimers().wall() + 300,
            "model_key": KEY,
            "prompt": f"Seat the guests of table {number}.",
            "max_tokens": 50,
            "seed": number,
        }
        return Request(**(values | changes))

    def quote(self, host: str = "entry-0", number: int = 0, **changes) -> Request:
        """Return a non-repeatable request for the plain service."""
        body = changes.pop("body", f"quote {number}".encode())
        values = {
            "kind": RequestKind.SERVICE,
            "target": "quote-api",
            "is_repeatable": False,
            "idempotency_key": f"key-{number}",
            "fingerprint": body.decode(),
            "body": body,
        }
        return self.request(host, number, **(values | changes))

    def runs_of(self, request: Request) -> int:
        """Return how often the plain services executed a request's body."""
        services = (each for each in self.upstreams.all.values())
        return sum(
            each.runs[request.body]
            for each in services
            if isinstance(each, FakeService)
        )

    async def outcome_of(self, host: str, request: Request) -> Outcome:
        """Submit a request and return its outcome, also if it is refused."""
        try:
            submitted = await self.all[host].service.submit(request)
            return (await self.read(host, submitted.id))[1]
        except Failure as failure:
            return Outcome(code=failure.code, execution=failure.execution)

    async def read(
        self, host: str, request_id: str, position: int = 0, limit: int | None = None
    ) -> tuple[list[str], Outcome | None]:
        """Read an answer at `host` to its end, or until `limit` tokens."""
        tokens: list[str] = []
        outcome = await self.read_into(
            tokens, self.all[host].service, request_id, position, limit
        )
        return tokens, outcome

    async def read_into(
        self,
        tokens: list[str],
        service: RequestService,
        request_id: str,
        position: int,
        limit: int | None = None,
    ) -> Outcome | None:
        """Append an answer's tokens from `position` on as they arrive."""
        parts = service.read(request_id, "planners", position)
        try:
            async for part in parts:
                assert part.position == position
                self._check_consistency(request_id, part.position, part.tokens)
                tokens += part.tokens
                position += len(part.tokens)
                is_limit_reached = limit is not None and len(tokens) >= limit
                if part.outcome is not None or is_limit_reached:
                    return part.outcome
        finally:
            await parts.aclose()
        raise AssertionError("The stream ended without an outcome.")

    def _check_consistency(
        self, request_id: str, position: int, tokens: list[str]
    ) -> None:
        for offset, token in enumerate(tokens):
            key = (request_id, position + offset)
            assert self.token_at.setdefault(key, token) == token, key
