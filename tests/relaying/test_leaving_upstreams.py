"""Upstreams that say in their answers that they leave."""

from dataclasses import dataclass, field

import pytest
import trio

from pepperstep.fakes.relaying import Reply
from pepperstep.ports.exchange import AnswerHead
from tests.relaying.upstreams import serving
from tests.relaying.world import request

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
    async with serving([leaving, Upstream()]) as world:
        await trio.sleep_until(LEAVES_AT)
        statuses = await ask_all(world, 10.0, path)
        assert leaving.since(LEAVES_AT) > 0
        assert leaving.since(LEAVES_AT + NOTICE) == 0
        assert set(statuses) == {200}


async def test_leaving_in_one_answer_reaches_all_hosts(autojump_clock):
    leaving = Upstream(LEAVES_AT)
    async with serving([leaving, Upstream()]) as world:
        await trio.sleep_until(LEAVES_AT)
        while not leaving.since(LEAVES_AT):
            await world.ask("e0:1", request("/safe/1"))
        await trio.sleep(0.3)
        told = leaving.since(LEAVES_AT)
        await ask_all(world, 3.0)
        assert leaving.since(LEAVES_AT) == told


async def test_isolated_host_applies_leaving_in_an_answer(
    autojump_clock,
):
    leaving = Upstream(LEAVES_AT)
    async with serving([leaving, Upstream()], entries=1) as world:
        world.cut_off("e0:1")
        await trio.sleep_until(LEAVES_AT)
        statuses = await ask_all(world, 10.0)
        assert leaving.since(LEAVES_AT) == 1
        assert set(statuses) == {200}


async def test_announcement_across_a_cut_resets_nothing(
    autojump_clock,
):
    """The control hosts that miss its word hear on of the upstream as working."""
    leaving = Upstream(LEAVES_AT)
    async with serving([leaving, Upstream()], controls=5) as world:
        for name in ("c0:1", "c1:1"):
            world.cut_off(name, ("c2:1", "c3:1", "c4:1"))
        await trio.sleep_until(LEAVES_AT)
        await ask_all(world, 2.0)
        for sequence in range(2, 6):
            await world.announce("c3:1", "plain0", "plain", sequence=sequence)
            await ask_all(world, 1.0)
        assert leaving.since(LEAVES_AT + NOTICE) == 0


async def test_last_upstream_that_leaves_gets_nothing_more(autojump_clock):
    leaving = Upstream(LEAVES_AT)
    async with serving([leaving]) as world:
        await trio.sleep_until(LEAVES_AT)
        statuses = await ask_all(world, 5.0)
        assert leaving.since(LEAVES_AT + NOTICE) == 0
        assert set(statuses) == {200, 503}


async def test_refusal_that_says_that_its_upstream_leaves_counts(autojump_clock):
    leaving = Upstream(LEAVES_AT, status=503)
    async with serving([leaving, Upstream()]) as world:
        await trio.sleep_until(LEAVES_AT)
        await ask_all(world, 5.0)
        assert leaving.since(LEAVES_AT + NOTICE) == 0


async def test_next_start_of_an_upstream_that_left_is_used(autojump_clock):
    leaving = Upstream(LEAVES_AT)
    async with serving([leaving, Upstream()]) as world:
        await trio.sleep_until(LEAVES_AT)
        await ask_all(world, 2.0)
        leaving.leaves_at = float("inf")
        await world.announce("c1:1", "plain0", "plain", incarnation=9)
        begin = trio.current_time() + 1.0
        await ask_all(world, 3.0)
        assert leaving.since(begin) > 0


async def test_answer_of_other_upstream_at_address_is_ignored(
    autojump_clock,
):
    head = AnswerHead(
        421,
        (
            (b"pepperstep-attempt-id", b"id-1"),
            (b"pepperstep-not-executed", b"1"),
            (b"pepperstep-replica-id", b"other"),
            (b"server-leaving", b"1"),
        ),
    )
    async with serving([Upstream()], entries=1) as world:
        world.connector.scripts["plain0:80"] = lambda sent: Reply(head)
        await world.ask("e0:1", request("/safe/1"))
        assert not world.entries["e0:1"].catalog.get("plain0").is_leaving
