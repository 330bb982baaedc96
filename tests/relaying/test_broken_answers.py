"""Answers of upstreams that break off, by their framing and the way they end."""

import socket
import struct
from contextlib import asynccontextmanager, suppress

import pytest
import trio

from pepperstep.adapters.http1 import Http1Connector
from pepperstep.fakes.relaying import LinkCut, Reply
from pepperstep.platform import PlatformWire
from pepperstep.ports.exchange import Answer, ConnectionFault
from pepperstep.relay.answers import AnswerForwarder
from tests.relaying.test_http1 import open_server
from tests.relaying.test_peer_forwarding import make_request
from tests.relaying.test_relay import EVENTS, head, serve
from tests.relaying.world import open_world, request

FRAMINGS = {
    "close": (),
    "chunked": ((b"transfer-encoding", b"chunked"),),
    "length": ((b"content-length", b"1000"),),
}
STREAM = (b"content-type", b"text/event-stream")


def stream(framing: str, *pieces: bytes, breaks: bool = False) -> Reply:
    """Return an upstream's stream of events."""
    return Reply(head(200, STREAM, *FRAMINGS[framing]), pieces, breaks)


@pytest.mark.parametrize("through", ["this host", "another host"])
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize(
    "pieces",
    [
        (EVENTS[0][:6],),
        (EVENTS[0], EVENTS[1][:6]),
        (EVENTS[0], EVENTS[1] + EVENTS[2][:-1]),
        (EVENTS[0], EVENTS[1][:1]),
    ],
)
async def test_stream_that_ends_inside_an_event_does_not_look_complete(
    autojump_clock, pieces, framing, through
):
    async with open_world() as world:
        await serve(world, "model", lambda sent: stream(framing, *pieces))
        if through == "another host":
            world.connector.cut("e0:1", LinkCut.RESET)
            for _ in range(5):
                await world.ask("e0:1", request("/stream/1"))
        world.connector.sent.clear()
        exchange = await world.ask("e0:1", request("/stream/1"))
        [sent] = world.connector.sent
        assert sent.host == ("e1:1" if through == "another host" else "e0:1")
        if exchange.status == 200:
            assert exchange.is_aborted and not exchange.is_complete
            assert exchange.received == b"".join(
                each for each in EVENTS if each in b"".join(pieces)
            )
        else:
            assert exchange.status == 502


async def test_stream_closed_before_its_first_event_fails(autojump_clock):
    async with open_world() as world:
        await serve(world, "model", lambda sent: stream("close"))
        exchange = await world.ask("e0:1", request("/stream/1"))
        assert exchange.status == 502


@pytest.mark.parametrize("framing", ["chunked", "length"])
async def test_empty_stream_whose_framing_is_complete_is_complete(
    autojump_clock, framing
):
    async with open_world() as world:
        await serve(world, "model", lambda sent: stream(framing))
        exchange = await world.ask("e0:1", request("/stream/1"))
        assert (exchange.status, exchange.is_complete) == (200, True)


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("partial", [EVENTS[2][:6], EVENTS[2][:-1], b""])
async def test_stream_that_ends_inside_an_event_is_resumed_after_the_last_whole_one(
    autojump_clock, framing, partial
):
    def upstream(sent) -> Reply:
        if not sent.head.first(b"last-event-id"):
            return stream(framing, *EVENTS[:2], partial, breaks=not partial)
        assert sent.head.first(b"last-event-id") == b"2"
        return stream(framing, EVENTS[2])

    async with open_world() as world:
        await serve(world, "model", upstream, upstream)
        exchange = await world.ask("e0:1", request("/resumable/1"))
        assert exchange.received == b"".join(EVENTS)
        assert exchange.is_complete


@pytest.mark.parametrize("framing", FRAMINGS)
async def test_body_that_is_no_event_stream_reaches_the_caller_whole(
    autojump_clock, framing
):
    json_body = (b"content-type", b"application/json"), *FRAMINGS[framing]
    answers = {
        status: Reply(head(status, *json_body), (b'{"error":', b'"too long"}'))
        for status in (400, 200)
    }
    async with open_world() as world:
        await serve(world, "model", lambda sent: answers[status])
        for status in answers:
            exchange = await world.ask("e0:1", request("/stream/1"))
            assert exchange.status == status
            assert exchange.received == b'{"error":"too long"}'
            assert exchange.is_complete


async def test_body_that_is_no_event_stream_does_not_continue_a_stream(autojump_clock):
    def upstream(sent) -> Reply:
        if not sent.head.first(b"last-event-id"):
            return stream("close", EVENTS[0], EVENTS[1][:6])
        return Reply(head(200, (b"content-type", b"application/json")), (b"{}",))

    async with open_world() as world:
        await serve(world, "model", upstream, upstream)
        exchange = await world.ask("e0:1", request("/resumable/1"))
        assert exchange.received == EVENTS[0]
        assert exchange.is_aborted and not exchange.is_complete


WHOLE = EVENTS[0] + EVENTS[1]
HALF = WHOLE[:-4]
HEADS = {
    "close": b"HTTP/1.1 200 OK\r\n\r\n",
    "close, HTTP/1.0": b"HTTP/1.0 200 OK\r\n\r\n",
    "length": b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(WHOLE),
    "chunked": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
}
LAST_CHUNK = b"0\r\n\r\n"


def chunk(data: bytes) -> bytes:
    """Return data as one chunk."""
    return b"%x\r\n%s\r\n" % (len(data), data)


@asynccontextmanager
async def open_ending_upstream(answer: bytes, *, is_reset: bool):
    """Open a server that sends an answer and ends the connection; yield its address."""

    async def serve_one(stream: trio.SocketStream) -> None:
        await stream.receive_some()
        await stream.send_all(answer)
        if is_reset:
            # Data that the receiver hasn't read yet would be lost with the reset.
            await trio.sleep(0.05)
            linger = struct.pack("ii", 1, 0)
            stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            stream.socket.close()

    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        nursery.start_soon(trio.serve_listeners, serve_one, listeners)
        yield f"127.0.0.1:{port}"
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("is_stream", [True, False])
@pytest.mark.parametrize(
    ("framing", "body", "is_reset", "is_whole"),
    [
        ("close", WHOLE, False, True),
        ("close", WHOLE, True, False),
        ("close", HALF, False, False),
        ("close", HALF, True, False),
        ("close", b"", True, False),
        ("close, HTTP/1.0", WHOLE, False, True),
        ("close, HTTP/1.0", HALF, False, False),
        ("close, HTTP/1.0", WHOLE, True, False),
        ("length", WHOLE, False, True),
        ("length", EVENTS[0], False, False),
        ("length", HALF, False, False),
        ("length", EVENTS[0], True, False),
        ("chunked", chunk(WHOLE) + LAST_CHUNK, False, True),
        ("chunked", chunk(WHOLE), False, False),
        ("chunked", chunk(WHOLE), True, False),
        ("chunked", chunk(WHOLE)[:-8], False, False),
        ("chunked", chunk(HALF) + LAST_CHUNK, False, False),
    ],
)
async def test_answer_counts_as_complete_only_if_its_upstream_ended_it(
    framing, body, is_reset, is_whole, is_stream
):
    if not is_stream and body in (HALF, chunk(HALF) + LAST_CHUNK) and not is_reset:
        # The framing alone marks the end of a body that isn't a stream.
        is_whole = framing != "length"
    sent = make_request(is_stream)
    answer = HEADS[framing] + body
    async with open_ending_upstream(answer, is_reset=is_reset) as address:
        connection = await Http1Connector(trio.current_time).connect(address, 1.0)
        forwarder = AnswerForwarder(PlatformWire(), lambda request: None)
        received = await connection.send(sent.exchange.head, b"body")
        if is_whole:
            await forwarder.forward(sent, connection, received)
        else:
            with pytest.raises(ConnectionFault) as caught:
                await forwarder.forward(sent, connection, received)
            assert caught.value.was_sent
        connection.close()
    assert sent.exchange.is_complete == is_whole


async def test_answer_that_never_has_a_body_is_complete(autojump_clock):
    async with open_world() as world:
        await serve(world, "model", lambda sent: Reply(head(204)))
        exchange = await world.ask("e0:1", request("/stream/1"))
        assert (exchange.status, exchange.is_complete) == (204, True)


async def test_next_answer_is_not_sent_inside_one_that_was_cut():
    """Guards against bytes of another answer, for callers that read slowly."""
    body = b"x" * 20_000_000
    forwarder = AnswerForwarder(PlatformWire(), lambda request: None)

    async def handle(exchange) -> None:
        request = make_request()
        request.exchange = exchange
        is_first = exchange.head.target == b"/first"
        await forwarder.send(request, Answer(200, body if is_first else b"next"))

    async with open_server(handle) as (address, _):
        host, _, port = address.partition(":")
        async with await trio.open_tcp_stream(host, int(port)) as stream:
            for path in (b"/first", b"/second"):
                await stream.send_all(b"GET %s HTTP/1.1\r\nHost: h\r\n\r\n" % path)
            await trio.sleep(1.5)
            received = b""
            with suppress(trio.BrokenResourceError):
                while not received.endswith(b"next"):
                    data = await stream.receive_some()
                    if not data:
                        break
                    received += data
    if received.endswith(b"next"):
        assert received.count(b"x") == len(body)
