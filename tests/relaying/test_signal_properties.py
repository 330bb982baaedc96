"""Hosts obey the signals in upstreams' answers while hosts fail.

Guards against limits, retry-after times and leaving signals that are lost or forgotten
when hosts restart, freeze or are partitioned.
"""

import random
from contextlib import suppress
from dataclasses import dataclass, field

import pytest
import trio

from pepperstep.fakes.relaying import FakeExchange, Reply
from pepperstep.ports.exchange import AnswerHead, CallerGone, RequestHead
from tests.relaying.world import open_world, request

CONTROLS = 5
SEEDS = tuple(f"c{number}:1" for number in range(3))
UPSTREAMS = 6
SECONDS = 40.0
# Time after which a stated limit must hold for all hosts; and the times after an answer
# within which a host must obey a limit, a retry-after and a leaving signal.
LIMIT_SETTLING_SECONDS = 3.0
LIMIT_NOTICE_SECONDS = 0.5
HOLD_NOTICE_SECONDS = 0.5
LEAVE_NOTICE_SECONDS = 2.0
WINDOW = 4.0
# Additional requests that may reach an upstream in a window, and requests that may come
# from one host during a hold.
SLACK = 5
MAX_REQUESTS_DURING_HOLD = 2


@dataclass(frozen=True)
class Scale:
    """Size of a world, and how its network behaves."""

    entries: int
    requests_a_second: float
    service: str = "plain"
    # Fraction of lost messages between hosts, and the maximum delay in seconds.
    loss: float = 0.0
    delay: float = 0.0005

    def request(self, rng: random.Random) -> RequestHead:
        """Return a caller's request, with a unique prompt for engines."""
        if self.service == "plain":
            return request("/safe/1")
        part = b"%x:800" % rng.randrange(2**40)
        return request("/stream/1", (b"pepperstep-prompt-prefix", part))


FEW = Scale(9, 60.0)
# Control hosts miss hosts' messages and name different owners to each of them.
MANY = Scale(30, 150.0, "model", loss=0.02, delay=0.01)


@dataclass
class Upstream:
    """An upstream with random signals in its answers, which records all arrivals."""

    name: str
    # Requests a second from `limited_at` until `unlimited_at`.
    limit: float = 0.0
    limited_at: float = float("inf")
    unlimited_at: float = float("inf")
    leaves_at: float = float("inf")
    refusal_period: tuple[float, float] = (float("inf"), float("inf"))
    retry_after: float = 0.0
    # Times and hosts of arrivals, and of answers by their signal.
    arrivals: list[tuple[float, str]] = field(default_factory=list)
    limit_stated_at: dict[str, float] = field(default_factory=dict)
    leaving_stated_at: dict[str, float] = field(default_factory=dict)
    refusals: list[tuple[float, str]] = field(default_factory=list)

    def answer(self, sent) -> Reply:
        """Answer a request."""
        now, host = sent.time, sent.host
        self.arrivals.append((now, host))
        headers = [(b"pepperstep-attempt-id", b"id-1")]
        if self.limited_at <= now < self.unlimited_at:
            headers.append((b"server-limit", b"%.2f" % self.limit))
            self.limit_stated_at.setdefault(host, now)
        if now >= self.leaves_at:
            headers.append((b"server-leaving", b"1"))
            self.leaving_stated_at.setdefault(host, now)
        if self.refusal_period[0] <= now < self.refusal_period[1]:
            headers.append((b"retry-after", b"%.2f" % self.retry_after))
            headers.append((b"pepperstep-not-executed", b"1"))
            self.refusals.append((now, host))
            return Reply(AnswerHead(503, tuple(headers)), (b"busy",))
        return Reply(AnswerHead(200, tuple(headers)), (b"data: ok\n\n",), delay=0.01)

    def check_limit(self, excused: dict[str, list[float]]) -> None:
        """Fail if the hosts that know the limit have together exceeded it."""
        times = [
            now
            for now, host in self.arrivals
            if self.limited_at + LIMIT_SETTLING_SECONDS <= now < self.unlimited_at
            and now >= self.limit_stated_at.get(host, now) + LIMIT_NOTICE_SECONDS
            and not _is_excused(excused, host, self.limited_at, now)
        ]
        allowed = 1.5 * self.limit * WINDOW + SLACK
        for first in times:
            count = sum(first <= each < first + WINDOW for each in times)
            assert count <= allowed, (self.name, first, count, allowed)

    def check_leaving(self, excused: dict[str, list[float]]) -> None:
        """Fail if a host has sent a request after it got the leaving signal."""
        for now, host in self.arrivals:
            stated_at = self.leaving_stated_at.get(host, now)
            if now > stated_at + LEAVE_NOTICE_SECONDS and not _is_excused(
                excused, host, stated_at, now
            ):
                pytest.fail(f"{self.name} leaves, and {host} sends at {now}")

    def check_refusals(self, excused: dict[str, list[float]]) -> None:
        """Fail if a host has sent more than a few requests during a hold."""
        for stated_at, host in self.refusals:
            begin, end = stated_at + HOLD_NOTICE_SECONDS, stated_at + self.retry_after
            later = [
                now
                for now, sender in self.arrivals
                if sender == host
                and begin <= now < end
                and not _is_excused(excused, host, stated_at, now)
            ]
            assert len(later) <= MAX_REQUESTS_DURING_HOLD, (
                self.name,
                host,
                stated_at,
                later,
            )


def _is_excused(
    excused: dict[str, list[float]], host: str, begin: float, end: float
) -> bool:
    """Whether a host was restarted, frozen or isolated between two times."""
    return any(begin <= each <= end for each in excused.get(host, ()))


class FaultSchedule:
    """Random faults and load of one seed."""

    def __init__(self, world, scale: Scale, seed: int):
        self._world = world
        self._scale = scale
        self._rng = random.Random(seed)
        self.upstreams = [Upstream(f"u{number}") for number in range(UPSTREAMS)]
        # Times of faults that excuse a host, by host.
        self.excused: dict[str, list[float]] = {}
        self.statuses: list[int] = []

    async def prepare(self) -> None:
        """Announce the upstreams and draw their signals."""
        for upstream in self.upstreams:
            self._world.connector.scripts[f"{upstream.name}:80"] = upstream.answer
            await self._world.announce("c0:1", upstream.name, self._scale.service)
        await trio.sleep(2.0)
        begin = trio.current_time()
        limited, falling, refusing, leaving, _, _ = self.upstreams
        draw = self._rng.uniform
        for each in (limited, falling):
            each.limit = self._rng.choice([0.5, 1.0, 3.0, 8.0])
            each.limited_at = begin + draw(0.0, 10.0)
        falling.unlimited_at = falling.limited_at + draw(8.0, 20.0)
        refusing.refusal_period = begin + draw(0.0, 5.0), begin + draw(10.0, SECONDS)
        refusing.retry_after = self._rng.choice([0.7, 1.5, 3.0, 6.0])
        leaving.leaves_at = begin + draw(0.0, 20.0)

    async def run(self) -> None:
        """Send the load while faults are injected."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._inject_faults)
            with trio.move_on_after(SECONDS):
                async with trio.open_nursery() as callers:
                    while True:
                        callers.start_soon(self._ask)
                        rate = self._scale.requests_a_second
                        await trio.sleep(self._rng.expovariate(rate))
            nursery.cancel_scope.cancel()

    def check(self) -> None:
        """Fail if a signal of an upstream wasn't obeyed."""
        for upstream in self.upstreams:
            upstream.check_limit(self.excused)
            upstream.check_leaving(self.excused)
            upstream.check_refusals(self.excused)

    async def _ask(self) -> None:
        name = self._rng.choice(sorted(self._world.entries))
        relay = self._world.entries[name].relay
        head = self._scale.request(self._rng)
        exchange = FakeExchange(head, b"", trio.current_time())
        with suppress(CallerGone):
            await relay.handle(exchange)
        self.statuses.append(exchange.status)

    async def _inject_faults(self) -> None:
        while True:
            await trio.sleep(self._rng.uniform(1.0, 5.0))
            await self._rng.choice(
                [
                    self._kill_entry,
                    self._freeze_entry,
                    self._cut_entry,
                    self._kill_control,
                    self._cut_controls,
                ]
            )()

    async def _kill_entry(self) -> None:
        name = self._pick_entry()
        self._world.kill(name)
        await trio.sleep(self._rng.uniform(0.1, 3.0))
        await self._world.start_entry(name, SEEDS)
        self._excuse(name)

    async def _freeze_entry(self) -> None:
        name = self._pick_entry()
        self._world.timers[name].pause()
        await trio.sleep(self._rng.uniform(0.1, 3.0))
        self._world.timers[name].resume()
        self._excuse(name)

    async def _cut_entry(self) -> None:
        name = self._pick_entry()
        self._world.network.isolate(name)
        await trio.sleep(self._rng.uniform(0.1, 5.0))
        self._world.network.heal()
        self._excuse(name)

    async def _kill_control(self) -> None:
        name = self._rng.choice(sorted(self._world.controls))
        self._world.kill(name)
        await trio.sleep(self._rng.uniform(0.1, 3.0))
        await self._world.start_control(name, SEEDS, is_first=False, losses=2)

    async def _cut_controls(self) -> None:
        names = self._rng.sample(sorted(self._world.controls), CONTROLS)
        for name in names[:2]:
            self._world.cut_off(name, names[2:])
        await trio.sleep(self._rng.uniform(0.5, 6.0))
        self._world.network.heal()

    def _pick_entry(self) -> str:
        name = self._rng.choice(sorted(self._world.entries))
        self._excuse(name)
        return name

    def _excuse(self, name: str) -> None:
        self.excused.setdefault(name, []).append(trio.current_time())


@pytest.mark.parametrize(
    ("scale", "seed"),
    [
        *((FEW, seed) for seed in range(6)),
        # Seeds with which several hosts considered themselves the owner.
        *((MANY, seed) for seed in (212, 219)),
    ],
)
async def test_upstream_signals_are_obeyed_during_faults(autojump_clock, scale, seed):
    async with open_world(CONTROLS, scale.entries, seed, losses=2) as world:
        world.network.loss = scale.loss
        world.network.max_delay = scale.delay
        schedule = FaultSchedule(world, scale, seed)
        await schedule.prepare()
        await schedule.run()
        schedule.check()
        assert schedule.statuses.count(200) >= 0.8 * len(schedule.statuses)
