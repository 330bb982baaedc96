"""Upstreams that say in their answers that they leave."""

from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import pytest
import trio

from pepperstep.fakes.relaying import Reply
from pepperstep.ports.exchange import AnswerHead
from tests.relaying.world import open_world, request

# Time after an answer that says so in which a request may still follow, in seconds.
NOTICE = 2.0
LEAVES_AT = 10.0


@dataclass
class Upstream:
    """An upstream whose answers say from a time on that it leaves."""

    leaves_at: float = float("inf")
    status: int = 200
    arrivals: list[float] = field(default_factory=list)

    def answer(self, sent) -> Reply:
        """Answer a request."""
        self.arrivals.append(sent.time)
        headers = [(b"pepperstep-attempt-id", b"id-1")]
        if sent.time >= self.leaves_at:
            headers.append((b"server-leaving", b"1"))
        if self.status == 503:
            headers.append((b"pepperstep-not-executed", b"1"))
        return Reply(AnswerHead(self.status, tuple(headers)), (b"data: 1\n\n",))

    def since(self, begin: float) -> int:
        """Return the requests that arrived since a time."""
        return sum(each >= begin for each in self.arrivals)


@asynccontextmanager
async def serving(*upstreams: Upstream, controls: int = 3, entries: int = 5):
    """Give a world in which upstreams of both services are known to all hosts."""
    async with open_world(controls=controls, entries=entries) as world:
        for number, upstream in enumerate(upstreams):
            for service in ("plain", "model"):
                name = f"{service}{number}"
                world.connector.scripts[f"{name}:80"] = upstream.answer
                await world.announce("c0:1", name, service)
        await trio.sleep(2.0)
        yield world


async def ask_all(world, seconds: float, path: str = "/safe/1") -> list[int]:
    """Send requests to all entry hosts in turn, and return what callers got."""
    statuses = []
    end = trio.current_time() + seconds
    while trio.current_time() < end:
        for name in sorted(world.entries):
            exchange = await world.ask(name, request(path))
            statuses.append(exchange.status)
            await trio.sleep(0.02)
    return statuses


@pytest.mark.parametrize("path", ["/safe/1", "/unsafe/1", "/stream/1"])
async def test_answer_alone_keeps_requests_from_an_upstream_that_leaves(
    autojump_clock, path
):
    leaving = Upstream(LEAVES_AT)
    async with serving(leaving, Upstream()) as world:
        await trio.sleep_until(LEAVES_AT)
        statuses = await ask_all(world, 10.0, path)
        assert leaving.since(LEAVES_AT) > 0
        assert leaving.since(LEAVES_AT + NOTICE) == 0
        assert set(statuses) == {200}
