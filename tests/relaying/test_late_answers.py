"""Late answers to earlier requests, in front of the answer to the current one.

An answer belongs to the request whose id it echoes, whatever its status and its other
headers say.
"""

import json
from collections import Counter
from dataclasses import dataclass, field

import pytest
import trio
from hypothesis import HealthCheck, Phase, given, settings, strategies as st
from trio.testing import MockClock

from pepperstep.fakes.relaying import LinkCut, Reply, Sent
from pepperstep.ports.exchange import AnswerHead, Header, RequestHead
from tests.relaying.world import document, open_world, request

PROPERTY = settings(
    max_examples=25,
    derandomize=True,
    deadline=None,
    # An example takes too long to be shrunk.
    phases=(Phase.explicit, Phase.generate),
    suppress_health_check=list(HealthCheck),
)
UPSTREAMS = ("u1", "u2")
ID = b"pepperstep-attempt-id"
NOT_EXECUTED = (b"pepperstep-not-executed", b"1")
# Signals that would take an upstream out of use, if they were taken for news.
SIGNALS = (
    (b"server-leaving", b"1"),
    (b"server-limit", b"0.01"),
    (b"retry-after", b"30"),
    (b"pepperstep-replica-id", b"another"),
    (b"connection", b"close"),
    (b"keep-alive", b"timeout=1"),
)
EVENTS = (b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n")
PROMISES = (408, 421, 429, 503)


@dataclass(frozen=True)
class Kind:
    """Kind of an answer to the current request."""

    status: int
    headers: tuple[Header, ...] = ()
    has_id: bool = True
    # Whether the upstream runs the request.
    runs: bool = False

    def head(self, attempt: bytes) -> AnswerHead:
        """Return the head of the answer to an attempt."""
        echoed = ((ID, attempt),) if self.has_id else ()
        return AnswerHead(self.status, (*echoed, *self.headers))


SERVED = Kind(200, runs=True)
FAILED = Kind(500, runs=True)
REFUSALS = (
    Kind(503, (NOT_EXECUTED,)),
    Kind(429, (NOT_EXECUTED,)),
    Kind(421, (NOT_EXECUTED,)),
    Kind(421),
    Kind(400, (NOT_EXECUTED,)),
)
# May belong to an earlier request, so the current one may have run.
UNIDENTIFIED = tuple(
    Kind(status, (NOT_EXECUTED,), has_id=False) for status in (400, 421, 429, 503)
)

late_answers = st.lists(
    st.builds(
        lambda status, refused, signals: AnswerHead(
            status,
            ((ID, b"earlier"), *((NOT_EXECUTED,) if refused else ()), *signals),
        ),
        st.sampled_from((200, 400, 421, 429, 500, 503)),
        st.booleans(),
        st.sets(st.sampled_from(SIGNALS)),
    ),
    max_size=3,
)
# What an upstream sends for a request: late answers, and then its own.
replies = st.tuples(
    late_answers, st.sampled_from((SERVED, FAILED, *REFUSALS, *UNIDENTIFIED))
)
# For each request, the replies of the first and of the second upstream that gets it.
plans = st.lists(st.tuples(replies, replies), min_size=1, max_size=8)


@dataclass
class Site:
    """Two upstreams that answer each request as planned, by the order of arrival."""

    plan: dict[bytes, list] = field(default_factory=dict)
    runs: Counter[bytes] = field(default_factory=Counter)
    reached: Counter[str] = field(default_factory=Counter)

    def answer(self, sent: Sent) -> Reply:
        """Answer a request; without a plan, run it."""
        attempt = sent.head.first(ID)
        self.reached[sent.address] += 1
        planned = self.plan.get(attempt)
        strays, kind = planned.pop(0) if planned else ((), SERVED)
        self.runs[attempt] += kind.runs
        return Reply(kind.head(attempt), (b"chart",), strays=tuple(strays))

    async def serve(self, world) -> None:
        """Announce the upstreams, with two attempts for requests that run once."""
        table = json.loads(document(2))
        for route in table["routes"]:
            route["max_attempts"] = 2
        await world.put(2, json.dumps(table).encode())
        for name in UPSTREAMS:
            for service in ("plain", "model"):
                address = f"{name}-{service}"
                world.connector.scripts[f"{address}:80"] = self.answer
                await world.announce("c0:1", address, service)
        await trio.sleep(1.0)


def request_of(attempt: bytes, path: str = "/unsafe/1") -> RequestHead:
    """Return a request with an id of its own."""
    head = request(path)
    headers = [each for each in head.headers if each[0] != ID]
    return RequestHead(head.method, head.target, (*headers, (ID, attempt)))


def expected_status(planned: list) -> int:
    """Return the status that the caller gets, by the answers to its own request."""
    for _, kind in planned:
        if kind.runs:
            return kind.status
        if not kind.has_id:
            return 502
    return 503


@PROPERTY
@given(plans)
def test_late_answers_are_skipped_whatever_they_say(plan):
    """Guards against a request that runs twice as an earlier one was refused."""

    async def main() -> None:
        site = Site()
        async with open_world(entries=1) as world:
            await site.serve(world)
            for number, planned in enumerate(plan):
                attempt = b"id-%d" % number
                site.plan[attempt] = list(planned)
                exchange = await world.ask("e0:1", request_of(attempt))
                assert site.runs[attempt] <= 1
                assert not (site.runs[attempt] and exchange.status in PROMISES)
                assert exchange.status == expected_status(planned)
                # Longer than the pause after a failed attempt.
                await trio.sleep(4.0)
            await check_upstreams_are_used(world, site)

    trio.run(main, clock=MockClock(autojump_threshold=0))


async def check_upstreams_are_used(world, site: Site) -> None:
    """Check that no upstream counts as leaving, limited or on hold."""
    await trio.sleep(2.0)
    site.reached.clear()
    for number in range(30):
        exchange = await world.ask("e0:1", request_of(b"id-after-%d" % number))
        assert exchange.status == 200
    assert set(site.reached) == {f"{name}-plain:80" for name in UPSTREAMS}


@pytest.mark.parametrize("status", [400, 421, 429, 503])
@pytest.mark.parametrize("count", [1, 2, 3])
async def test_resumed_stream_skips_late_refusals(autojump_clock, status, count):
    """Guards against a stream that ends as its resumption seems to be refused."""
    late = AnswerHead(status, ((ID, b"earlier"), NOT_EXECUTED))

    def answer(sent: Sent) -> Reply:
        head = SERVED.head(sent.head.first(ID))
        if not sent.head.first(b"last-event-id"):
            return Reply(head, EVENTS[:1], breaks=True)
        return Reply(head, EVENTS[1:], strays=(late,) * count)

    site = Site()
    async with open_world(entries=1) as world:
        await site.serve(world)
        for name in UPSTREAMS:
            world.connector.scripts[f"{name}-model:80"] = answer
        exchange = await world.ask("e0:1", request_of(b"id-1", "/resumable/1"))
        assert exchange.received == b"".join(EVENTS)
        assert exchange.is_complete


@pytest.mark.parametrize("status", [400, 421, 429, 503])
async def test_forwarded_request_skips_late_refusals(autojump_clock, status):
    """Guards against a second run by way of the host that a request is forwarded to."""
    late = AnswerHead(status, ((ID, b"earlier"), NOT_EXECUTED))
    site = Site()
    async with open_world(entries=2) as world:
        await site.serve(world)
        world.connector.cut("e0:1", LinkCut.RESET)
        await world.ask("e0:1", request_of(b"id-0", "/safe/1"))
        await trio.sleep(1.5)
        for number in range(1, 9):
            attempt = b"id-%d" % number
            site.plan[attempt] = [((late,) * 3, SERVED)]
            exchange = await world.ask("e0:1", request_of(attempt))
            assert (exchange.status, site.runs[attempt]) == (200, 1)


@pytest.mark.parametrize(
    ("attempt", "status", "count"), [(b"id-1", 502, 1), (b"", 503, 2)]
)
async def test_answer_without_an_id_ends_its_connection(
    autojump_clock, attempt, status, count
):
    """Guards against a late copy that couldn't be told from the next answer."""
    site = Site()
    async with open_world(entries=1) as world:
        await site.serve(world)
        refusal = Kind(400, (NOT_EXECUTED,), has_id=False)
        site.plan[attempt] = [((), refusal), ((), refusal)]
        exchange = await world.ask("e0:1", request_of(attempt))
        assert exchange.status == status
        assert world.connector.opened == world.connector.closed == count


@pytest.mark.parametrize("status", [400, 421, 429, 503])
async def test_refusal_without_an_id_is_no_promise(autojump_clock, status):
    """Guards against the refusal of a request without an id, for one that runs."""
    late = AnswerHead(status, (NOT_EXECUTED,))
    site = Site()
    async with open_world(entries=1) as world:
        await site.serve(world)
        site.plan[b"id-1"] = [((late,), SERVED)]
        exchange = await world.ask("e0:1", request_of(b"id-1"))
    assert (site.runs[b"id-1"], exchange.status) == (1, 502)
