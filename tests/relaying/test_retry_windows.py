"""What all hosts together retry in any window, through troubles of hosts."""

import json
import random
from collections import Counter
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field

import pytest
import trio

from pepperstep.fakes.relaying import FakeExchange, Reply, Sent
from pepperstep.ports.exchange import AnswerHead, CallerGone, RequestHead
from pepperstep.programs.relay_settings import RelayBounds
from tests.relaying.world import KEY, document, open_world
from tests.retry_rule import RetryRule

BOUNDS = RelayBounds(retry_ratio=0.2, retry_window=10.0, retry_allowance=180.0)
RULE = RetryRule(BOUNDS.retry_ratio, BOUNDS.retry_allowance, BOUNDS.retry_window)
SEEDS = ("c0:1", "c1:1", "c2:1")
# Requests a second: few, so that most of what may be sent is the allowance.
RATE = 20.0
ENTRIES = [5, 12, 55]
# Longer than a window, and than hosts that are silent are counted.
LONG_SECONDS = 30.0


@dataclass
class Service:
    """Upstreams that turn all requests away, and what callers and hosts send there."""

    # Times of callers' requests, and of arrivals beyond the first of each.
    asked: list[float] = field(default_factory=list)
    repeats: list[float] = field(default_factory=list)
    _arrivals: Counter[bytes] = field(default_factory=Counter)

    def answer(self, sent: Sent) -> Reply:
        """Turn a request away."""
        attempt = sent.head.first(b"pepperstep-attempt-id")
        self._arrivals[attempt] += 1
        if self._arrivals[attempt] > 1:
            self.repeats.append(sent.time)
        headers = (
            (b"pepperstep-attempt-id", attempt),
            (b"pepperstep-not-executed", b"1"),
        )
        return Reply(AnswerHead(503, headers))


class Callers:
    """Callers that send requests to entry hosts drawn by lot."""

    def __init__(self, world, service: Service):
        self._world = world
        self._service = service
        self._sent = 0

    async def run(self) -> None:
        """Send requests until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                if self._world.entries:
                    name = self._world.rng.choice(sorted(self._world.entries))
                    nursery.start_soon(self._ask, name)
                await trio.sleep(self._world.rng.expovariate(RATE))

    async def _ask(self, name: str) -> None:
        self._sent += 1
        self._service.asked.append(trio.current_time())
        head = RequestHead(
            b"POST",
            b"/safe/1",
            (
                (b"host", b"a.example"),
                (b"pepperstep-attempt-id", b"id-%d" % self._sent),
                (b"pepperstep-deadline-ms", b"1500"),
                (b"authorization", f"Bearer {KEY}".encode()),
            ),
        )
        with suppress(CallerGone):
            exchange = FakeExchange(head, b"", trio.current_time())
            await self._world.entries[name].relay.handle(exchange)


def routes(version: int) -> bytes:
    """Return a document whose requests may be sent many times."""
    table = json.loads(document(version))
    for route in table["routes"]:
        route["max_attempts"] = 6
    return json.dumps(table).encode()


@asynccontextmanager
async def refusing(entries: int, controls: int = 3, seed: int = 0):
    """Give a world whose upstreams turn all away, with its service, under load."""
    losses = (controls - 1) // 2
    service = Service()
    async with open_world(controls, entries, seed, losses, BOUNDS) as world:
        await world.put(2, routes(2))
        for number in range(8):
            world.connector.scripts[f"u{number}:80"] = service.answer
            await world.announce("c0:1", f"u{number}", "plain")
        await trio.sleep(1.0)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(Callers(world, service).run)
            yield world, service
            nursery.cancel_scope.cancel()
    RULE.check(service.asked, service.repeats)


async def restart_entry_hosts(world) -> None:
    """Start all entry hosts anew, several times within a window."""
    for _ in range(3):
        names = sorted(world.entries)
        for name in names:
            world.kill(name)
        await trio.sleep(0.5)
        for name in names:
            await world.start_entry(name, SEEDS)
        await trio.sleep(2.5)


async def start_entry_hosts_one_by_one(world) -> None:
    """Let all entry hosts be gone for long, and come back one after the other."""
    names = sorted(world.entries)
    for name in names:
        world.kill(name)
    await trio.sleep(LONG_SECONDS)
    for name in names:
        await world.start_entry(name, SEEDS)
        await trio.sleep(LONG_SECONDS / len(names))


async def cut_in_unequal_parts(world) -> None:
    """Cut a minority of the control hosts off, with a third of the entry hosts."""
    minority = (len(world.controls) - 1) // 2
    cut_off = sorted(world.controls)[:minority] + sorted(world.entries)[::3]
    others = sorted({*world.controls, *world.entries} - set(cut_off))
    for name in cut_off:
        world.cut_off(name, others)
    await trio.sleep(2 * LONG_SECONDS)
    world.network.heal()


async def forget_entry_hosts(world) -> None:
    """Start control hosts on empty disks, which then hear of one entry host only."""
    first, *others = sorted(world.controls)
    world.cut_off(first, list(world.entries))
    for name in others:
        world.cut_off(name, [first, *sorted(world.entries)[1:]])
        world.kill(name, is_disk_lost=True)
        await world.start_control(name, SEEDS, is_first=False)
    await trio.sleep(LONG_SECONDS)


class Day:
    """Troubles of one seed."""

    def __init__(self, world, seed: int):
        self._world = world
        self._rng = random.Random(seed)
        self._names = sorted(world.entries)
        self._controls = sorted(world.controls)
        self._losses = (len(self._controls) - 1) // 2

    async def run(self, seconds: float) -> None:
        """Make troubles one after the other and overlapping."""
        with trio.move_on_after(seconds):
            async with trio.open_nursery() as nursery:
                while True:
                    trouble = self._rng.choice(
                        [
                            self._restart_entries,
                            self._restart_controls,
                            self._cut,
                            self._cut_entries,
                        ]
                    )
                    nursery.start_soon(trouble)
                    await trio.sleep(self._rng.uniform(0.5, 6.0))

    async def _restart_entries(self) -> None:
        share = self._rng.choice([0.1, 0.5, 1.0])
        gap = self._rng.choice([0.0, 0.3])
        names = self._rng.sample(self._names, max(1, round(share * len(self._names))))
        for name in names:
            if name not in self._world.entries:
                continue
            self._world.kill(name)
            await trio.sleep(gap)
            await self._world.start_entry(name, SEEDS)

    async def _restart_controls(self) -> None:
        count = self._rng.randint(1, len(self._controls))
        names = self._rng.sample(self._controls, count)
        names = [name for name in names if name in self._world.controls]
        for name in names:
            self._world.kill(name)
        await trio.sleep(self._rng.uniform(0.1, 4.0))
        for name in names:
            await self._world.start_control(
                name, SEEDS, is_first=False, losses=self._losses
            )

    async def _cut(self) -> None:
        """Cut all hosts into two parts of drawn sizes."""
        everyone = [*self._controls, *self._names]
        share = self._rng.uniform(0.1, 0.9)
        part = {name for name in everyone if self._rng.random() < share}
        for name in part:
            self._world.cut_off(name, [each for each in everyone if each not in part])
        await trio.sleep(self._rng.uniform(1.0, 25.0))
        self._world.network.heal()

    async def _cut_entries(self) -> None:
        """Cut some entry hosts off from all control hosts."""
        for name in self._rng.sample(self._names, max(1, len(self._names) // 3)):
            self._world.cut_off(name, self._controls)
        await trio.sleep(self._rng.uniform(1.0, 25.0))
        self._world.network.heal()


def drawn_by(seed: int):
    """Return the troubles of a seed."""

    async def make_troubles(world) -> None:
        await Day(world, seed).run(60.0)

    make_troubles.__name__ = f"seed {seed}"
    return make_troubles


@pytest.mark.parametrize(
    ("trouble", "entries", "controls"),
    [
        *((restart_entry_hosts, entries, 3) for entries in ENTRIES),
        *((start_entry_hosts_one_by_one, entries, 3) for entries in ENTRIES),
        *((cut_in_unequal_parts, entries, 5) for entries in ENTRIES),
        *((forget_entry_hosts, entries, 3) for entries in ENTRIES[:2]),
        *((drawn_by(seed), 5, 3) for seed in range(3)),
        *((drawn_by(seed), 12, 5) for seed in range(3)),
        (drawn_by(0), 55, 5),
    ],
    ids=lambda value: getattr(value, "__name__", None),
)
async def test_hosts_that_forget_or_are_cut_off_send_no_allowance_twice(
    autojump_clock, trouble, entries, controls
):
    async with refusing(entries, controls) as (world, service):
        await trio.sleep(2 * BOUNDS.retry_window)
        assert service.repeats
        await trouble(world)
        await trio.sleep(2 * BOUNDS.retry_window)
