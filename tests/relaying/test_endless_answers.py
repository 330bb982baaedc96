"""Answers of upstreams that never end: bytes without end in a head or a body."""

from collections.abc import Iterator
from contextlib import asynccontextmanager

import pytest
import trio

from pepperstep.adapters.http1 import Http1Connector
from pepperstep.errors import Failure
from pepperstep.fakes import FakeTimers
from pepperstep.fakes.relaying import FakeConnector, Reply
from pepperstep.platform import PlatformCloud
from pepperstep.ports.exchange import ConnectionFault, RequestHead
from pepperstep.ports.usage import UsageReport
from tests.relaying.test_relay import EVENTS, answers, head, serve
from tests.relaying.world import open_world, request

PIECE = b"x" * 65_536
# A fifth of the 300 MB that an entry host may use, for 120 requests at a time.
MAX_BYTES = 524_288
STREAM = (b"content-type", b"text/event-stream")
# Requests must be answered long before their deadline, which is 1.5 s.
MAX_SECONDS = 0.5
FLOOD_BYTES = 64_000_000


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


@asynccontextmanager
async def open_upstream(answer: bytes, flood: bytes):
    """Yield the address of a server that sends `answer` and then `flood` on and on.

    After `FLOOD_BYTES`, it goes on without sending anything.
    """

    async def serve_connection(stream: trio.SocketStream) -> None:
        async with stream:
            await stream.receive_some()
            try:
                await stream.send_all(answer)
                for _ in range(FLOOD_BYTES // len(flood)):
                    await stream.send_all(flood)
                await trio.sleep_forever()
            except trio.BrokenResourceError:
                return

    async with trio.open_nursery() as nursery:
        [listener] = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, serve_connection, [listener])
        yield f"127.0.0.1:{listener.socket.getsockname()[1]}"
        nursery.cancel_scope.cancel()


INTERIM = {
    "100": b"HTTP/1.1 100 Continue\r\n\r\n",
    "103": b"HTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\n\r\n",
}
NO_END = {
    "header line": (b"HTTP/1.1 200 OK\r\nA: ", b"x" * 1000),
    "header lines": (b"HTTP/1.1 200 OK\r\n", b"A: x\r\n" * 100),
    "status line": (b"HTTP/1.1 200 ", b"x" * 1000),
    **{name: (b"", answer * 100) for name, answer in INTERIM.items()},
}
GET = RequestHead(b"GET", b"/", ((b"host", b"h"),))


@pytest.mark.parametrize("name", NO_END)
async def test_head_without_end_keeps_the_request_waiting(name):
    async with open_upstream(*NO_END[name]) as address:
        connection = await Http1Connector(trio.current_time).connect(address, 1.0)
        with trio.fail_after(5.0), pytest.raises(ConnectionFault):
            await connection.send(GET, b"")
        connection.close()


@pytest.mark.parametrize("interim", INTERIM.values())
async def test_a_few_interim_answers_fail_a_request(interim):
    answer = interim * 5 + b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
    async with open_upstream(answer, PIECE) as address:
        connection = await Http1Connector(trio.current_time).connect(address, 1.0)
        assert (await connection.send(GET, b"")).status == 200
        connection.close()


CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
BODIES = {
    "late answer": (CHUNKED, b"10000\r\n" + PIECE + b"\r\n"),
    "chunk size": (CHUNKED, b"0" * 1000),
    "chunk extension": (CHUNKED + b"1;", b"x" * 1000),
    "trailers": (CHUNKED + b"0\r\n", b"A: x\r\n" * 100),
}


@pytest.mark.parametrize("name", BODIES)
async def test_late_answer_without_end_keeps_the_request_waiting(name):
    async with open_upstream(*BODIES[name]) as address:
        connection = await Http1Connector(trio.current_time).connect(address, 1.0)
        await connection.send(GET, b"")
        with trio.fail_after(5.0), pytest.raises(ConnectionFault):
            await connection.skip_answer()
        connection.close()


async def test_platform_answer_without_end_fills_memory(autojump_clock):
    flood = Flood()
    connector = FakeConnector({"cloud:1": floods(500, flood)})
    cloud = PlatformCloud("cloud:1", connector, FakeTimers())
    with pytest.raises(Failure):
        await cloud.report(UsageReport("c0:1", 1, 1, {}))
    assert flood.taken <= MAX_BYTES
