"""What callers are told of their requests holds, whatever fails meanwhile.

A request that must run once runs once at most, and never before or after a status that
promises that it doesn't run. Upstreams answer as drawn, while hosts, upstreams, links,
routes and callers change.
"""

import json
from collections import Counter, defaultdict
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field

import trio
from hypothesis import HealthCheck, Phase, given, settings, strategies as st
from trio.testing import MockClock

from pepperstep.errors import Failure
from pepperstep.fakes.relaying import FakeExchange, LinkCut, Reply, Sent
from pepperstep.ports.exchange import AnswerHead, CallerGone, Header, RequestHead
from pepperstep.scheduling import SchedulingSettings
from tests.relaying.world import World, document, open_world, request

PROPERTY = settings(
    max_examples=50,
    derandomize=True,
    deadline=None,
    # An example takes too long to be shrunk.
    phases=(Phase.explicit, Phase.generate),
    suppress_health_check=list(HealthCheck),
)
ID = b"pepperstep-attempt-id"
SEAL = b"pepperstep-replica-seal"
NOT_EXECUTED = (b"pepperstep-not-executed", b"1")
PROMISES = (408, 421, 429, 503)
RUN_ONCE = ("unsafe", "stream")
STREAMS = ("stream", "resumable")
SERVICES = ("plain", "model")
SEEDS = ("c0:1", "c1:1", "c2:1")
EVENTS = (b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n")
SIGNALS = (
    (b"retry-after", b"0.4"),
    (b"server-leaving", b"1"),
    (b"server-limit", b"2"),
    (b"connection", b"close"),
    (b"keep-alive", b"timeout=1"),
    (b"forwarded-refused", b"1"),
)
# Pieces of an answer's body, and whether the connection breaks after them.
WHOLE = (EVENTS, False)
BREAKS = (
    ((), True),
    (EVENTS[:1], True),
    ((EVENTS[0], EVENTS[1][:5]), True),
    ((EVENTS[0], EVENTS[1][:5]), False),
)
UPSTREAMS = 3
# Time over which requests and changes are spread, and time until all have ended.
SECONDS = 4.0
END_SECONDS = 3.0
HANG_SECONDS = 30.0


@dataclass(frozen=True)
class Behaviour:
    """What an upstream does with a request."""

    # 0 closes the connection in place of an answer.
    status: int = 200
    states_not_run: bool = False
    signals: frozenset[Header] = frozenset()
    has_id: bool = True
    body: tuple[tuple[bytes, ...], bool] = WHOLE
    delay: float = 0.0
    strays: tuple[AnswerHead, ...] = ()

    @property
    def runs(self) -> bool:
        """Whether the upstream runs the request."""
        return not self.states_not_run and self.status != 421

    @property
    def is_prompt_refusal(self) -> bool:
        """Whether a refusal's head with an id arrives at once; its body may be cut."""
        return self.has_id and not (self.runs or self.delay)

    def reply(self, sent: Sent) -> Reply:
        """Return the reply to a request."""
        pieces, breaks = self.body
        if sent.head.first(b"last-event-id"):
            pieces = pieces[1:]
        head = None
        if self.status:
            head = _head(sent.head.first(ID), self)
        return Reply(head, pieces, breaks, self.delay, 0.05, self.strays)


def _head(attempt: bytes, behaviour: Behaviour) -> AnswerHead:
    """Return a head with a seal that tells its request and its status."""
    echoed = ((ID, attempt),) if behaviour.has_id else ()
    seal = (SEAL, b"%s %d" % (attempt, behaviour.status))
    stated = (NOT_EXECUTED,) if behaviour.states_not_run else ()
    headers = (*echoed, seal, *stated, *sorted(behaviour.signals))
    return AnswerHead(behaviour.status, headers)


signals = st.frozensets(st.sampled_from(SIGNALS), max_size=2)
strays = st.lists(
    st.builds(
        lambda status, stated: _head(b"earlier", Behaviour(status, stated)),
        st.sampled_from((200, 400, 421, 429, 503)),
        st.booleans(),
    ),
    max_size=2,
).map(tuple)
delays = st.sampled_from((0.0,) * 6 + (0.3, 2.0, HANG_SECONDS))
bodies = st.sampled_from((WHOLE,) * 8 + BREAKS)
runs = st.builds(
    Behaviour,
    st.sampled_from((0, 200, 200, 400, 404, 408, 429, 429, 500, 502, 503, 503, 504)),
    signals=signals,
    has_id=st.sampled_from((True,) * 9 + (False,)),
    body=bodies,
    delay=delays,
    strays=strays,
)
refusals = st.builds(
    Behaviour,
    st.sampled_from((400, 408, 421, 429, 503)),
    st.just(True),
    signals=signals,
    body=bodies,
    delay=delays,
    strays=strays,
)
unstated_refusals = st.builds(Behaviour, st.just(421), strays=strays)
unidentified = st.builds(Behaviour, st.just(400), st.just(True), has_id=st.just(False))
rare = st.one_of(unstated_refusals, unidentified)
kinds = st.sampled_from((runs,) * 5 + (refusals,) * 4 + (rare,))
behaviours = kinds.flatmap(lambda kind: kind)


@dataclass(frozen=True)
class Asked:
    """A caller's request: when and where it is sent, and how each upstream acts."""

    at: float
    entry: int
    route: str
    deadline_ms: int
    # Seconds until the caller leaves, 0 if it stays.
    leaves_after: float
    plan: list[Behaviour]

    def head(self, attempt: bytes) -> RequestHead:
        """Return the request with its own id and deadline."""
        head = request(f"/{self.route}/1")
        own = {ID: attempt, b"pepperstep-deadline-ms": b"%d" % self.deadline_ms}
        headers = tuple((name, own.get(name, value)) for name, value in head.headers)
        return RequestHead(head.method, head.target, headers)


times = st.sampled_from([SECONDS * step / 20 for step in range(20)])
asked_requests = st.builds(
    Asked,
    times,
    st.integers(0, 2),
    st.sampled_from(("unsafe", "stream", "unsafe", "stream", "safe", "resumable")),
    st.sampled_from((250, 900, 1500)),
    st.sampled_from((0.0,) * 10 + (0.1, 0.5)),
    st.lists(behaviours, min_size=1, max_size=4),
)


@dataclass
class Site:
    """A world with upstreams, whose hosts end their requests when they are killed."""

    world: World
    attempts: int
    plans: dict[bytes, list[Behaviour]] = field(default_factory=dict)
    given: dict[bytes, list[Behaviour]] = field(
        default_factory=lambda: defaultdict(list)
    )
    run_counts: Counter[bytes] = field(default_factory=Counter)
    version: int = 1
    _works: dict[str, set[trio.CancelScope]] = field(
        default_factory=lambda: defaultdict(set)
    )

    def answer(self, sent: Sent) -> Reply:
        """Answer a request as planned, by the order of arrival; then serve it."""
        attempt = sent.head.first(ID)
        planned = self.plans.get(attempt)
        behaviour = planned.pop(0) if planned else Behaviour()
        self.given[attempt].append(behaviour)
        self.run_counts[attempt] += behaviour.runs
        return behaviour.reply(sent)

    async def put_routes(self, removed: str = "", services: dict | None = None) -> None:
        """Put routes with the drawn number of attempts in force."""
        self.version += 1
        table = json.loads(document(self.version))
        table["routes"] = [each for each in table["routes"] if each["name"] != removed]
        for route in table["routes"]:
            route["max_attempts"] = self.attempts
            route["service"] = (services or {}).get(route["name"], route["service"])
        with trio.move_on_after(END_SECONDS):
            await self.world.put(self.version, json.dumps(table).encode())

    async def announce(self, service: str, number: int, **facts) -> None:
        """Announce an upstream at the first control host that accepts it."""
        name = f"{service}{number}"
        for host in sorted(self.world.controls):
            with suppress(Failure):
                await self.world.announce(host, name, service, **facts)
                return

    async def start(self) -> None:
        """Start the upstreams and serve forwarded requests."""
        await self.put_routes()
        for service in SERVICES:
            for number in range(UPSTREAMS):
                self.world.connector.scripts[f"{service}{number}:80"] = self.answer
                await self.announce(service, number)
        for name in self.world.entries:
            self.bind(name)
        await trio.sleep(1.0)

    def bind(self, name: str) -> None:
        """Let a host's forwarded requests end when it is killed."""
        servers, address = self.world.connector.servers, f"{name}:forwarded"
        handle = servers[address]
        servers[address] = lambda exchange: self.work(name, handle, exchange)

    async def work(
        self,
        name: str,
        handle: Callable[[FakeExchange], Awaitable[None]],
        exchange: FakeExchange,
    ) -> None:
        """Let a host handle a request until it is killed."""
        with trio.CancelScope() as scope:
            self._works[name].add(scope)
            await handle(exchange)
        self._works[name].discard(scope)
        if scope.cancelled_caught:
            exchange.abort()

    async def ask(self, attempt: bytes, asked: Asked, exchange: FakeExchange) -> None:
        """Send a caller's request, unless its host is down."""
        names = sorted(self.world.entries)
        if not names:
            return
        name = names[asked.entry % len(names)]
        handle = self.world.entries[name].relay.handle
        async with trio.open_nursery() as nursery:
            if asked.leaves_after:
                nursery.start_soon(_leave, exchange, asked.leaves_after)
            with suppress(CallerGone):
                await self.work(name, handle, exchange)
            nursery.cancel_scope.cancel()

    async def kill(self, name: str) -> None:
        """Kill a host with all that it works on, and start it again."""
        if name in self.world.entries:
            self.world.kill(name)
            for scope in self._works.pop(name, set()):
                scope.cancel()
            await trio.sleep(0.4)
            await self.world.start_entry(name, SEEDS)
            self.bind(name)
        elif name in self.world.controls:
            self.world.kill(name)
            await trio.sleep(0.4)
            await self.world.start_control(name, SEEDS, is_first=False)


async def _leave(exchange: FakeExchange, seconds: float) -> None:
    await trio.sleep(seconds)
    exchange.leave()


Change = Callable[[Site], Awaitable[None]]


def _cut(entry: int, how: LinkCut, seconds: float) -> Change:
    async def cut(site: Site) -> None:
        connector, name = site.world.connector, f"e{entry}:1"
        connector.cut(name, how)
        await trio.sleep(seconds)
        connector.heal(name)

    return cut


def _announce(service: str, number: int, fact: str) -> Change:
    async def announce(site: Site) -> None:
        await site.announce(service, number, sequence=2, **{fact: True})

    return announce


def _crash(service: str, number: int, is_noticed: bool) -> Change:
    async def crash(site: Site) -> None:
        site.world.connector.crash(f"{service}{number}:80")
        if is_noticed:
            await site.announce(service, number, sequence=2, is_gone=True)

    return crash


def _restart(service: str, number: int) -> Change:
    async def restart(site: Site) -> None:
        address = f"{service}{number}:80"
        site.world.connector.crash(address)
        site.world.connector.scripts[address] = site.answer
        await site.announce(service, number, incarnation=1)

    return restart


def _kill(name: str) -> Change:
    return lambda site: site.kill(name)


def _isolate(name: str, seconds: float) -> Change:
    async def isolate(site: Site) -> None:
        site.world.network.isolate(name)
        await trio.sleep(seconds)
        site.world.network.heal()

    return isolate


def _drain(name: str) -> Change:
    async def drain(site: Site) -> None:
        if name in site.world.entries:
            site.world.entries[name].leave(site.world.timers[name].now())

    return drain


def _remove(route: str) -> Change:
    return lambda site: site.put_routes(removed=route)


def _move(route: str, service: str) -> Change:
    return lambda site: site.put_routes(services={route: service})


services, numbers = st.sampled_from(SERVICES), st.integers(0, UPSTREAMS - 1)
routes = st.sampled_from(("unsafe", "stream", "resumable"))
hosts = st.sampled_from(("e0:1", "e1:1", "c0:1", "c1:1"))
cuts = st.builds(
    _cut,
    st.integers(0, 2),
    st.sampled_from(LinkCut),
    st.sampled_from((0.5, SECONDS)),
)
changes = st.one_of(
    cuts,
    st.builds(_announce, services, numbers, st.sampled_from(("is_leaving", "is_gone"))),
    st.builds(_crash, services, numbers, st.booleans()),
    st.builds(_restart, services, numbers),
    st.builds(_kill, hosts),
    st.builds(_isolate, hosts, st.sampled_from((0.5, SECONDS))),
    st.builds(_drain, hosts),
    st.builds(_remove, routes),
    st.builds(_move, routes, services),
)
# Many sites have a host that forwards requests to others from the beginning.
disturbances = st.builds(
    lambda early, later: [*((0.0, each) for each in early), *later],
    st.lists(cuts, max_size=2),
    st.lists(st.tuples(times, changes), max_size=3),
)


async def _run_at(seconds: float, work: Callable, *arguments) -> None:
    await trio.sleep(seconds)
    await work(*arguments)


def check(site: Site, attempt: bytes, asked: Asked, exchange: FakeExchange) -> None:
    """Fail if a request has run too often, or its caller was told otherwise."""
    seen = attempt, asked, exchange.status, site.given[attempt]
    assert not (exchange.is_complete and exchange.is_aborted), seen
    head = exchange.answer_head
    if head is not None and head.first(SEAL):
        assert head.first(SEAL) == b"%s %d" % (attempt, exchange.status), seen
    if exchange.is_complete and exchange.status == 200 and asked.route in STREAMS:
        assert exchange.received == b"".join(EVENTS), seen
    if asked.route in RUN_ONCE:
        assert site.run_counts[attempt] <= 1, seen
        assert not (site.run_counts[attempt] and exchange.status in PROMISES), seen


def check_undisturbed(
    site: Site, attempt: bytes, asked: Asked, exchange: FakeExchange
) -> None:
    """Fail if a request that was refused only gets no promise."""
    if asked.leaves_after or not all(
        each.is_prompt_refusal for each in site.given[attempt]
    ):
        return
    assert exchange.status in PROMISES, (attempt, asked, exchange.status)


@PROPERTY
@given(
    st.integers(1, 3),
    st.integers(1, 3),
    st.booleans(),
    st.lists(asked_requests, min_size=12, max_size=24),
    disturbances,
)
def test_callers_are_told_the_truth(entries, attempts, is_scheduled, asked, disturbed):
    """Guards against requests that run although their callers were told otherwise."""
    exchanges = {}
    scheduling = SchedulingSettings() if is_scheduled else None

    async def main() -> None:
        async with open_world(entries=entries, scheduling=scheduling) as world:
            site = Site(world, attempts)
            await site.start()
            async with trio.open_nursery() as nursery:
                for at, change in disturbed:
                    nursery.start_soon(_run_at, at, change, site)
                for number, each in enumerate(asked):
                    attempt = b"id-%d" % number
                    site.plans[attempt] = list(each.plan)
                    start = trio.current_time() + each.at
                    exchange = FakeExchange(each.head(attempt), b"", start)
                    exchanges[attempt] = exchange
                    nursery.start_soon(
                        _run_at, each.at, site.ask, attempt, each, exchange
                    )
            await trio.sleep(END_SECONDS)
            for (attempt, exchange), each in zip(exchanges.items(), asked, strict=True):
                check(site, attempt, each, exchange)
                if not disturbed:
                    check_undisturbed(site, attempt, each, exchange)

    trio.run(main, clock=MockClock(autojump_threshold=0))
