"""Upstreams that state in their answers how many requests a second they take."""

from collections.abc import Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import pytest
import trio

from pepperstep.fakes.relaying import Reply
from pepperstep.ports.exchange import AnswerHead
from tests.relaying.world import open_world, request

# Time from which a limit binds once it was first stated, in seconds.
SETTLING = 3.0
WINDOW = 4.0


@dataclass
class Upstream:
    """An upstream whose answers state `limit` at the time, None for no limit."""

    limit: Callable[[float], float | None] = lambda now: None
    # Times at which requests arrived.
    arrivals: list[float] = field(default_factory=list)

    def answer(self, sent) -> Reply:
        """Answer a request."""
        self.arrivals.append(sent.time)
        headers = [(b"pepperstep-attempt-id", b"id-1")]
        limit = self.limit(sent.time)
        if limit is not None:
            headers.append((b"server-limit", b"%.3f" % limit))
        return Reply(AnswerHead(200, tuple(headers)), (b"data: 1\n\n",), delay=0.02)

    def most_in_window(self, begin: float, end: float = float("inf")) -> int:
        """Return the most requests within any window between two times."""
        times = [each for each in self.arrivals if begin <= each <= end]
        return max(
            (sum(first <= each < first + WINDOW for each in times) for first in times),
            default=0,
        )

    def rate(self, begin: float, end: float) -> float:
        """Return the requests a second between two times."""
        return sum(begin <= each < end for each in self.arrivals) / (end - begin)


def allowed(limit: float) -> float:
    """Return the most requests in a window, by the users' rule."""
    return 1.5 * limit * WINDOW + 5


@asynccontextmanager
async def serving(upstreams: list[Upstream], hosts: int, service: str = "plain"):
    """Give a world in which upstreams of a service are known to all entry hosts."""
    async with open_world(entries=hosts) as world:
        for number, upstream in enumerate(upstreams):
            name = f"u{number}"
            world.connector.scripts[f"{name}:80"] = upstream.answer
            await world.announce("c0:1", name, service)
        await trio.sleep(3.0)
        yield world


@dataclass
class Load:
    """Requests that callers send to all hosts in turn, and what they get."""

    world: object
    path: str = "/safe/1"
    # Requests a second of all callers.
    rate: float = 40.0
    statuses: list[int] = field(default_factory=list)
    retry_after: list[float] = field(default_factory=list)
    waits: list[float] = field(default_factory=list)

    async def run(self, seconds: float) -> None:
        """Send requests for so long and wait for their answers."""
        async with trio.open_nursery() as nursery:
            for number in range(round(seconds * self.rate)):
                nursery.start_soon(self._ask, number)
                await trio.sleep(1 / self.rate)

    async def _ask(self, number: int) -> None:
        entries = sorted(self.world.entries)
        head = request(self.path)
        if self.path.startswith("/stream"):
            prompt = (b"pepperstep-prompt-prefix", b"%x:500" % number)
            head = request(self.path, prompt)
        begun = trio.current_time()
        exchange = await self.world.ask(entries[number % len(entries)], head)
        self.waits.append(trio.current_time() - begun)
        self.statuses.append(exchange.status)
        headers = dict(exchange.answer_head.headers)
        if exchange.status == 503:
            self.retry_after.append(float(headers[b"retry-after"]))


@pytest.mark.parametrize("path", ["/safe/1", "/stream/1"])
@pytest.mark.parametrize(("hosts", "limit"), [(7, 1.0), (7, 5.0), (40, 1.0)])
async def test_all_hosts_together_keep_an_upstreams_stated_limit(
    autojump_clock, hosts, limit, path
):
    limited = Upstream(lambda now: limit)
    others = [Upstream(), Upstream()]
    service = "model" if path.startswith("/stream") else "plain"
    async with serving([limited, *others], hosts, service) as world:
        load = Load(world, path)
        begin = trio.current_time()
        await load.run(20.0)
        assert limited.most_in_window(begin + SETTLING) <= allowed(limit)
        assert set(load.statuses) == {200}
