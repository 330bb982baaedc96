"""Retries that all hosts together send in any window, while hosts fail.

Guards against hosts that use the retry allowance twice: after a restart, or because a
partitioned group of hosts counts fewer hosts than share the allowance.
"""

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
from standins.retry_rule import RetryRule
from tests.relaying.world import KEY, document, open_world

BOUNDS = RelayBounds(retry_ratio=0.2, retry_window=10.0, retry_allowance=180.0)
RULE = RetryRule(BOUNDS.retry_ratio, BOUNDS.retry_allowance, BOUNDS.retry_window)
SEEDS = ("c0:1", "c1:1", "c2:1")
# Few requests a second, so that most of the permitted retries are the allowance.
REQUESTS_PER_SECOND = 20.0
ENTRY_COUNTS = [5, 12, 55]
# Longer than a window, and than silent hosts are still counted.
LONG_SECONDS = 30.0


@dataclass
class Service:
    """Upstreams that refuse all requests, with the times of requests and retries."""

    # Times of callers' requests, and of every arrival after a request's first.
    asked: list[float] = field(default_factory=list)
    repeats: list[float] = field(default_factory=list)
    _arrivals: Counter[bytes] = field(default_factory=Counter)

    def answer(self, sent: Sent) -> Reply:
        """Refuse a request."""
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
    """Callers that send requests to random entry hosts."""

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
                await trio.sleep(self._world.rng.expovariate(REQUESTS_PER_SECOND))

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
    """Return a document whose routes permit up to six attempts."""
    table = json.loads(document(version))
    for route in table["routes"]:
        route["max_attempts"] = 6
    return json.dumps(table).encode()


@asynccontextmanager
async def open_refusing_world(entries: int, controls: int = 3, seed: int = 0):
    """Open a world under load whose upstreams refuse all requests."""
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
    """Restart all entry hosts several times within a window."""
    for _ in range(3):
        names = sorted(world.entries)
        for name in names:
            world.kill(name)
        await trio.sleep(0.5)
        for name in names:
            await world.start_entry(name, SEEDS)
        await trio.sleep(2.5)


async def start_entry_hosts_one_by_one(world) -> None:
    """Stop all entry hosts for a long time, then start them one by one."""
    names = sorted(world.entries)
    for name in names:
        world.kill(name)
    await trio.sleep(LONG_SECONDS)
    for name in names:
        await world.start_entry(name, SEEDS)
        await trio.sleep(LONG_SECONDS / len(names))


async def cut_in_unequal_parts(world) -> None:
    """Isolate a minority of the control hosts with a third of the entry hosts."""
    minority = (len(world.controls) - 1) // 2
    cut_off = sorted(world.controls)[:minority] + sorted(world.entries)[::3]
    others = sorted({*world.controls, *world.entries} - set(cut_off))
    for name in cut_off:
        world.cut_off(name, others)
    await trio.sleep(2 * LONG_SECONDS)
    world.network.heal()


async def forget_entry_hosts(world) -> None:
    """Restart control hosts with empty disks that hear from only one entry host."""
    first, *others = sorted(world.controls)
    world.cut_off(first, list(world.entries))
    for name in others:
        world.cut_off(name, [first, *sorted(world.entries)[1:]])
        world.kill(name, is_disk_lost=True)
        await world.start_control(name, SEEDS, is_first=False)
    await trio.sleep(LONG_SECONDS)


class FaultSchedule:
    """Random faults of one seed."""

    def __init__(self, world, seed: int):
        self._world = world
        self._rng = random.Random(seed)
        self._names = sorted(world.entries)
        self._controls = sorted(world.controls)
        self._losses = (len(self._controls) - 1) // 2

    async def run(self, seconds: float) -> None:
        """Inject faults that follow each other and overlap."""
        with trio.move_on_after(seconds):
            async with trio.open_nursery() as nursery:
                while True:
                    fault = self._rng.choice(
                        [
                            self._restart_entries,
                            self._restart_controls,
                            self._cut,
                            self._cut_entries,
                        ]
                    )
                    nursery.start_soon(fault)
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
        """Partition all hosts into two parts of random sizes."""
        everyone = [*self._controls, *self._names]
        share = self._rng.uniform(0.1, 0.9)
        part = {name for name in everyone if self._rng.random() < share}
        for name in part:
            self._world.cut_off(name, [each for each in everyone if each not in part])
        await trio.sleep(self._rng.uniform(1.0, 25.0))
        self._world.network.heal()

    async def _cut_entries(self) -> None:
        """Isolate some entry hosts from all control hosts."""
        for name in self._rng.sample(self._names, max(1, len(self._names) // 3)):
            self._world.cut_off(name, self._controls)
        await trio.sleep(self._rng.uniform(1.0, 25.0))
        self._world.network.heal()


def random_faults(seed: int):
    """Return a function that injects the faults of a seed."""

    async def inject_faults(world) -> None:
        await FaultSchedule(world, seed).run(60.0)

    inject_faults.__name__ = f"seed {seed}"
    return inject_faults


@pytest.mark.parametrize(
    ("fault", "entries", "controls"),
    [
        *((restart_entry_hosts, entries, 3) for entries in ENTRY_COUNTS),
        *((start_entry_hosts_one_by_one, entries, 3) for entries in ENTRY_COUNTS),
        *((cut_in_unequal_parts, entries, 5) for entries in ENTRY_COUNTS),
        *((forget_entry_hosts, entries, 3) for entries in ENTRY_COUNTS[:2]),
        *((random_faults(seed), 5, 3) for seed in range(3)),
        *((random_faults(seed), 12, 5) for seed in range(3)),
        (random_faults(0), 55, 5),
    ],
    ids=lambda value: getattr(value, "__name__", None),
)
async def test_no_window_exceeds_the_retry_budget_during_faults(
    autojump_clock, fault, entries, controls
):
    async with open_refusing_world(entries, controls) as (world, service):
        await trio.sleep(2 * BOUNDS.retry_window)
        assert service.repeats
        await fault(world)
        await trio.sleep(2 * BOUNDS.retry_window)
