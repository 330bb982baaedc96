"""Answers of upstreams that never end: bytes without end in a head or a body."""

from collections.abc import Iterator

import pytest
import trio

from pepperstep.fakes.relaying import Reply
from tests.relaying.test_relay import EVENTS, answers, head, serve
from tests.relaying.world import open_world, request

PIECE = b"x" * 65_536
# A fifth of the 300 MB that an entry host may use, for 120 requests at a time.
MAX_BYTES = 524_288
STREAM = (b"content-type", b"text/event-stream")
# Requests must be answered long before their deadline, which is 1.5 s.
MAX_SECONDS = 0.5


class Flood:
    """Pieces of a body without end; counts the bytes that were taken."""

    def __init__(self, piece: bytes = PIECE):
        self._piece = piece
        self.taken = 0

    def __iter__(self) -> Iterator[bytes]:
        while True:
            self.taken += len(self._piece)
            yield self._piece


def floods(status: int, flood: Flood, *headers):
    """Return the script of an upstream whose answer's body doesn't end."""
    return lambda sent: Reply(head(status, *headers), flood, pause=0.0002)


# The status of a repeatable request is passed on, unless it is a server error.
STATUSES = {"/safe/1": [500, 502, 503], "/unsafe/1": [500, 502, 503, 429, 408]}


@pytest.mark.parametrize(
    ("path", "status"),
    [(path, status) for path, statuses in STATUSES.items() for status in statuses],
)
async def test_failure_without_end_fills_memory_or_delays_the_answer(
    autojump_clock, path, status
):
    flood = Flood()
    async with open_world() as world:
        await serve(world, "plain", floods(status, flood))
        started_at = trio.current_time()
        exchange = await world.ask("e0:1", request(path))
        assert trio.current_time() - started_at < MAX_SECONDS
        assert exchange.status == 502
    assert flood.taken <= MAX_BYTES


async def test_failure_that_trickles_delays_the_next_attempt(autojump_clock):
    def trickles(sent) -> Reply:
        return Reply(head(500), Flood(b"x"), pause=0.1)

    async with open_world() as world:
        await serve(world, "plain", trickles, answers(b"chart"))
        statuses = {
            (await world.ask("e0:1", request("/safe/1"))).status for _ in range(10)
        }
        assert statuses == {200}


async def test_failure_without_end_interrupts_a_stream_until_the_deadline(
    autojump_clock,
):
    flood = Flood()

    def upstream(sent) -> Reply:
        if sent.head.first(b"last-event-id"):
            return floods(500, flood)(sent)
        return Reply(head(200, STREAM), EVENTS[:1], breaks=True)

    async with open_world() as world:
        await serve(world, "model", upstream, upstream)
        started_at = trio.current_time()
        exchange = await world.ask("e0:1", request("/resumable/1"))
        assert trio.current_time() - started_at < MAX_SECONDS
        assert exchange.is_aborted and exchange.received == EVENTS[0]
    assert flood.taken <= MAX_BYTES


@pytest.mark.parametrize("begin", [b"", EVENTS[0]])
@pytest.mark.parametrize("piece", [PIECE, b": " + PIECE[:1000] + b"\n"])
async def test_event_without_end_fills_memory_or_delays_the_answer(
    autojump_clock, piece, begin
):
    flood = Flood(piece)

    def upstream(sent) -> Reply:
        return Reply(head(200, STREAM), _after(begin, flood), pause=0.0002)

    async with open_world() as world:
        await serve(world, "model", upstream)
        started_at = trio.current_time()
        exchange = await world.ask("e0:1", request("/stream/1"))
        assert trio.current_time() - started_at < MAX_SECONDS
        if begin:
            assert exchange.is_aborted and exchange.received == begin
        else:
            assert exchange.status == 502
    assert flood.taken <= MAX_BYTES


def _after(begin: bytes, flood: Flood) -> Iterator[bytes]:
    if begin:
        yield begin
    yield from flood
