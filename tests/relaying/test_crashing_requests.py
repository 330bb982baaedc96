"""A content that crashes upstreams must not reach ever more of them.

Guards against hosts that take each copy of it for a new request, also after hosts have
restarted or were cut off.
"""

import itertools
from contextlib import asynccontextmanager

import pytest
import trio

from pepperstep.fakes.relaying import FakeExchange, Reply, Sent
from pepperstep.ports.exchange import AnswerHead, CallerGone, RequestHead
from standins.arrivals import Arrival, ArrivalLog, Sending
from tests.relaying.world import KEY, open_world, request

CRASHING = b"crash"
CHART = b"chart"
SEEDS = ("c0:1", "c1:1", "c2:1")
ENTRY_COUNTS = [6, 12, 55]
# Mean seconds until the content comes again.
PAUSES = [0.1, 0.8, 3.0]
UPSTREAM_COUNT = 8
RUN_SECONDS = 0.05
# From a crash until the upstream is back as a new one.
BACK_SECONDS = 3.0
# Sum of the blocks after three and four losses, at most.
LONGEST_BLOCKS_SECONDS = 10 * (80.0 + 300.0)
WAIT_SECONDS = 1.5
# Longer than a window in which a host is out of contact.
SETTLING_SECONDS = 5.0


class Service:
    """Upstreams that crash when they run a certain content, and log all arrivals."""

    def __init__(self, world):
        self.log = ArrivalLog()
        self.is_refusing = False
        self._world = world
        self._numbers = itertools.count()
        self._ids = itertools.count()
        self._nursery: trio.Nursery | None = None

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Start the upstreams, and replace those that crash until cancelled."""
        async with trio.open_nursery() as self._nursery:
            for _ in range(UPSTREAM_COUNT):
                await self._add_upstream()
            await trio.sleep(1.0)
            task_status.started()
            await trio.sleep_forever()

    async def ask(self, body: bytes, path: str = "/safe/1") -> FakeExchange:
        """Send a request with its own id to a random entry host."""
        now = trio.current_time()
        attempt = b"id-%d" % next(self._ids)
        crashing = body.decode() if body.startswith(CRASHING) else ""
        self.log.sendings[attempt] = Sending(
            attempt, "plain", now, WAIT_SECONDS, 2, crashing
        )
        headers = (
            (b"host", b"a.example"),
            (b"pepperstep-attempt-id", attempt),
            (b"pepperstep-deadline-ms", b"%d" % (1000 * WAIT_SECONDS)),
            (b"authorization", f"Bearer {KEY}".encode()),
        )
        exchange = FakeExchange(RequestHead(b"POST", path.encode(), headers), body, now)
        if self._world.entries:
            entry = self._world.rng.choice(sorted(self._world.entries))
            try:
                await self._world.entries[entry].relay.handle(exchange)
            except CallerGone:
                exchange.abort()
        return exchange

    async def ask_forever(self, body: bytes, pause: float, copies: int = 1) -> None:
        """Send copies of a content again after exponentially distributed pauses.

        Single ones may be sent to two upstreams.
        """
        path = "/safe/1" if copies == 1 else "/unsafe/1"
        while True:
            for _ in range(copies):
                self._nursery.start_soon(self.ask, body, path)
            await trio.sleep(self._world.rng.expovariate(1 / pause))

    def answer(self, sent: Sent) -> Reply:
        """Answer a request, or crash."""
        attempt = sent.head.first(b"pepperstep-attempt-id")
        crashes = sent.body.startswith(CRASHING) and not self.is_refusing
        self.log.arrivals.append(
            Arrival(attempt, "plain", sent.address, sent.time, 0.0, True, crashes)
        )
        if crashes:
            self._crash(sent.address)
            return Reply(delay=RUN_SECONDS)
        headers = ((b"pepperstep-attempt-id", attempt),)
        if self.is_refusing:
            not_executed = (b"pepperstep-not-executed", b"1")
            return Reply(AnswerHead(503, (*headers, not_executed)))
        return Reply(AnswerHead(200, headers), (sent.body,), delay=RUN_SECONDS)

    def _crash(self, address: str) -> None:
        if self._world.connector.scripts.pop(address, None) is not None:
            self._nursery.start_soon(self._replace)

    async def _replace(self) -> None:
        await trio.sleep(BACK_SECONDS)
        await self._add_upstream()

    async def _add_upstream(self) -> None:
        name = f"u{next(self._numbers)}"
        self._world.connector.scripts[f"{name}:80"] = self.answer
        while not self._world.controls:
            await trio.sleep(0.1)
        host = self._world.rng.choice(sorted(self._world.controls))
        await self._world.announce(host, name, "plain")


async def calm(world) -> None:
    """Leave all hosts as they are."""
    await trio.sleep(SETTLING_SECONDS)


async def restart_entry_hosts(world) -> None:
    """Restart half of the entry hosts, then the others."""
    names = sorted(world.entries)
    for half in (names[::2], names[1::2]):
        for name in half:
            world.kill(name)
        await trio.sleep(0.5)
        for name in half:
            await world.start_entry(name, SEEDS)
        await trio.sleep(SETTLING_SECONDS)


async def restart_control_hosts(world) -> None:
    """Restart all control hosts at once."""
    names = sorted(world.controls)
    for name in names:
        world.kill(name)
    await trio.sleep(0.5)
    for name in names:
        await world.start_control(name, SEEDS, is_first=False)
    await trio.sleep(SETTLING_SECONDS)


async def lose_power_everywhere(world) -> None:
    """Restart all hosts at once."""
    entries = sorted(world.entries)
    for name in entries:
        world.kill(name)
    await restart_control_hosts(world)
    for name in entries:
        await world.start_entry(name, SEEDS)
    await trio.sleep(SETTLING_SECONDS)


async def cut_off_entry_hosts(world) -> None:
    """Cut a third of the entry hosts off from the control hosts for a while."""
    for name in sorted(world.entries)[::3]:
        world.cut_off(name)
    await trio.sleep(SETTLING_SECONDS)
    world.network.heal()
    await trio.sleep(SETTLING_SECONDS)


FAULTS = [
    restart_entry_hosts,
    restart_control_hosts,
    lose_power_everywhere,
    cut_off_entry_hosts,
]


@pytest.mark.parametrize(
    ("fault", "entries", "pause", "copies"),
    [
        *((calm, *each, 1) for each in itertools.product(ENTRY_COUNTS, PAUSES)),
        *((calm, entries, 4.0, 3) for entries in ENTRY_COUNTS),
        *((fault, *each, 1) for fault in FAULTS for each in ((6, 0.8), (12, 0.8))),
    ],
    ids=lambda value: getattr(value, "__name__", None),
)
async def test_content_that_crashed_three_upstreams_hardly_reaches_any_more(
    autojump_clock, fault, entries, pause, copies
):
    async with open_world(3, entries) as world:
        service = Service(world)
        async with trio.open_nursery() as nursery:
            await nursery.start(service.run)
            for number in range(20):
                nursery.start_soon(service.ask_forever, b"other %d" % number, 0.5)
            nursery.start_soon(service.ask_forever, CRASHING, pause, copies)
            await trio.sleep(5 * pause + SETTLING_SECONDS)
            await fault(world)
            await trio.sleep(8 * pause + SETTLING_SECONDS)
            nursery.cancel_scope.cancel()
        assert any(arrival.has_crashed for arrival in service.log.arrivals)
        assert not service.log.has_crashing_excess()


@asynccontextmanager
async def open_crashed_world():
    """Open a world in which a content has just crashed three upstreams."""
    async with open_world(3, 6) as world:
        service = Service(world)
        async with trio.open_nursery() as nursery:
            await nursery.start(service.run)
            for _ in range(3):
                await world.ask("e0:1", request("/unsafe/1"), CRASHING)
            await trio.sleep(1.0)
            yield world, service
            nursery.cancel_scope.cancel()


async def test_blocked_content_is_refused_at_once_by_hosts_that_never_sent_it(
    autojump_clock,
):
    async with open_crashed_world() as (world, service):
        arrived = len(service.log.arrivals)
        refused = [
            await world.ask(name, request("/unsafe/1"), CRASHING)
            for name in world.entries
        ]
        other = await world.ask("e5:1", request("/unsafe/1"), b"other")
    assert {exchange.status for exchange in refused} == {503}
    headers = dict(refused[0].answer_head.headers)
    assert float(headers[b"retry-after"]) > 30
    assert other.status == 200
    assert len(service.log.arrivals) == arrived + 1


async def test_blocked_content_stays_blocked_after_a_loss_of_all_power(autojump_clock):
    async with open_crashed_world() as (world, service):
        arrived = len(service.log.arrivals)
        await lose_power_everywhere(world)
        exchange = await world.ask("e1:1", request("/unsafe/1"), CRASHING)
    assert exchange.status == 503
    assert len(service.log.arrivals) == arrived


async def test_trials_of_a_blocked_content_that_upstreams_refuse_are_few(
    autojump_clock,
):
    async with open_world(3, 6) as world:
        service = Service(world)
        async with trio.open_nursery() as nursery:
            await nursery.start(service.run)
            for name in sorted(world.entries)[:3]:
                nursery.start_soon(world.ask, name, request("/unsafe/1"), CRASHING)
            await trio.sleep(0.1)
            service.is_refusing = True
            arrived = len(service.log.arrivals)
            for _ in range(200):
                name = world.rng.choice(sorted(world.entries))
                await world.ask(name, request("/unsafe/1"), CRASHING)
                await trio.sleep(0.3)
            nursery.cancel_scope.cancel()
    assert 0 < len(service.log.arrivals) - arrived <= 3


class BreakingService:
    """Upstreams that break the first runs of one content, and answer all others."""

    def __init__(self, losses: int):
        self.broken: list[Sent] = []
        self._losses = losses

    def answer(self, sent: Sent) -> Reply:
        """Answer a request, or break its connection."""
        if sent.body == CHART and len(self.broken) < self._losses:
            self.broken.append(sent)
            return Reply(delay=RUN_SECONDS)
        headers = ((b"pepperstep-attempt-id", b"id-1"),)
        return Reply(AnswerHead(200, headers), (sent.body,))


@asynccontextmanager
async def open_breaking_world(losses: int):
    """Open a world with six hosts and six upstreams that break some runs."""
    service = BreakingService(losses)
    async with open_world(3, 6) as world:
        for number in range(6):
            world.connector.scripts[f"u{number}:80"] = service.answer
            await world.announce("c0:1", f"u{number}", "plain")
        await trio.sleep(1.0)
        yield world, service


async def ask_chart(world) -> int:
    """Send the content to a random host and return the status."""
    name = world.rng.choice(sorted(world.entries))
    return (await world.ask(name, request("/unsafe/1"), CHART)).status


@pytest.mark.parametrize("losses", [2, 4])
async def test_content_that_broke_off_by_chance_is_served_again(autojump_clock, losses):
    async with open_breaking_world(losses) as (world, service):
        begun = trio.current_time()
        while await ask_chart(world) != 200:
            assert trio.current_time() - begun < LONGEST_BLOCKS_SECONDS
            await trio.sleep(1.0)
        await trio.sleep(1.0)
        for name in world.entries:
            again = await world.ask(name, request("/unsafe/1"), CHART)
            assert again.status == 200
    assert len(service.broken) == losses


async def test_content_is_not_blocked_while_its_upstreams_answer_others(autojump_clock):
    async with open_breaking_world(8) as (world, service):
        statuses = []
        for _ in range(9):
            statuses.append(await ask_chart(world))
            for number in range(40):
                name = f"e{number % 6}:1"
                await world.ask(name, request("/unsafe/1"), b"other %d" % number)
            await trio.sleep(1.0)
    assert statuses == [502] * 8 + [200]
