"""Answers of the project's own upstreams that are cut, over loopback sockets."""

import socket
import ssl
from collections.abc import Awaitable, Callable
from dataclasses import replace

import pytest
import trio
import trustme

from pepperstep.adapters import http_upstreams
from pepperstep.adapters.http_cloud import HttpCloud
from pepperstep.adapters.http_upstreams import HttpUpstreams
from pepperstep.entities import Upstream, UpstreamKind
from pepperstep.ports.cloud import Offer, PriceClass, StartRefused
from pepperstep.ports.upstreams import (
    EndMark,
    OrderKind,
    UpstreamLost,
    UpstreamOrder,
    UpstreamRefused,
)
from tests.adapters.test_upstream_connections import CALL, ORDER
from tests.relaying.socket_hosts import RawServer, receive, send_all, set_reset
from tests.relaying.test_broken_answers import LAST_CHUNK, chunk
from tests.relaying.test_cut_heads import LARGE_BODY, open_early_upstream

OFFER = Offer("hall", "a1", PriceClass.RECLAIMABLE, 1.0)
EVENTS = (
    b'data: {"attempt_id":"a.1","position":0,"tokens":["a"]}\n\n',
    b'data: {"attempt_id":"a.1","count":1,"finish":"stop"}\n\n',
)
STATE = (
    b'{"epoch":1,"models":[],"role":"mixed","is_leaving":false,"fence":4,'
    b'"last_order":"o"}'
)
HOST = (
    b'{"id":"h","token":"t","zone":"hall","machine":"a1","price":1.0,'
    b'"price_class":"reclaimable","state":"running"}'
)
# Resets are played after each of these many bytes, closes after each byte.
RESET_STEP = 3
FAULTS = (UpstreamLost, UpstreamRefused, StartRefused, OSError)


def engine_at(address: str) -> Upstream:
    """Return an upstream at an address."""
    return Upstream("e", 1, address, UpstreamKind.ENGINE, "h", "zone")


@pytest.mark.parametrize("ending", ["reset", "end, then reset"])
async def test_reset_while_a_call_is_sent_does_not_look_like_an_end(ending):
    """Guards against a short body taken for whole: the sender alone saw the reset."""
    call = replace(CALL, body=LARGE_BODY)
    async with open_early_upstream(b"HTTP/1.1 200 OK\r\n\r\nbody", ending) as address:
        for _ in range(5):
            asked = HttpUpstreams("key").call_service(engine_at(address), call, "a.1")
            if ending == "reset":
                with pytest.raises(UpstreamLost):
                    await asked
            else:
                assert (await asked).body == b"body"


async def generate(address: str) -> bool | None:
    """Return True if a stream brings its end mark, else None."""
    async with HttpUpstreams("key").generate(engine_at(address), ORDER) as chunks:
        return any([isinstance(each, EndMark) async for each in chunks]) or None


async def call_service(address: str) -> bytes:
    """Return the body of a service's answer."""
    answer = await HttpUpstreams("key").call_service(engine_at(address), CALL, "a.1")
    return answer.body


async def cancel(address: str) -> bool:
    """Return whether an upstream confirms the end of an attempt."""
    return await HttpUpstreams("key").cancel(engine_at(address), "a.1")


async def read_state(address: str) -> bool:
    """Return whether an upstream tells its state."""
    return bool(await HttpUpstreams("key").read_state(engine_at(address)))


async def send_order(address: str) -> bool:
    """Return whether an upstream accepts an order."""
    order = UpstreamOrder("o", OrderKind.DRAIN, 4)
    await HttpUpstreams("key").send_order(engine_at(address), order)
    return True


async def start_host(address: str) -> bool:
    """Return whether the cloud starts a host."""
    return bool(await HttpCloud(f"http://{address}").start_host("t", OFFER, "d"))


async def stop_host(address: str) -> bool:
    """Return whether the cloud stops a host."""
    await HttpCloud(f"http://{address}").stop_host("h")
    return True


CALLS = {
    "generate": (generate, b"".join(EVENTS)),
    "service": (call_service, b'{"a":1}'),
    "cancel": (cancel, b'{"is_ended":true}'),
    "state": (read_state, STATE),
    "order": (send_order, b"{}"),
    "start": (start_host, HOST),
    "stop": (stop_host, b"{}"),
}
HEADS = {
    "length": b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n",
    "chunked": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    "close": b"HTTP/1.1 200 OK\r\n\r\n",
}


def split_answer(framing: str, body: bytes) -> tuple[bytes, bytes]:
    """Return the head and the framed body of an answer."""
    head = HEADS[framing]
    if framing == "chunked":
        return head, chunk(body) + LAST_CHUNK
    return head % len(body) if b"%d" in head else head, body


async def outcome(call: Callable[[str], Awaitable], address: str) -> object:
    """Return the result of a call, None if it failed."""
    try:
        with trio.fail_after(30):
            return await call(address)
    except FAULTS:
        return None


@pytest.mark.parametrize("framing", HEADS)
@pytest.mark.parametrize("name", CALLS)
async def test_answer_cut_at_any_byte_does_not_look_whole(name, framing, monkeypatch):
    """Guards against an order acknowledged, or a body taken for whole, by a part."""
    monkeypatch.setattr(http_upstreams, "read_period_for", lambda seconds: 0.001)
    call, body = CALLS[name]
    head, framed = split_answer(framing, body)
    answer = head + framed
    cuts = [(at, False) for at in range(len(answer) + 1)]
    cuts += [(at, True) for at in range(0, len(answer), RESET_STEP)]
    sent = b""
    is_reset = False

    async def serve(sock: socket.socket) -> None:
        data = b""
        while b"\r\n\r\n" not in data or b"POST" in data and data[-1:] != b"}":
            data += await receive(sock)
        await send_all(sock, sent)
        if is_reset:
            set_reset(sock)

    server = RawServer(serve)
    async with trio.open_nursery() as nursery:
        await nursery.start(server.run)
        for at, is_reset in cuts:
            sent = answer[:at]
            got = await outcome(call, server.address)
            wanted = ends(name, framing, at - len(head), framed, is_reset)
            assert got in wanted, (at, is_reset, got)
        nursery.cancel_scope.cancel()


def ends(name: str, framing: str, size: int, framed: bytes, is_reset: bool) -> tuple:
    """Return the results that a call may have, by what came behind the head."""
    if size == len(framed):
        return (CALLS[name][1],) if name == "service" else (True,)
    if framing != "close" or size < 0 or is_reset:
        return (None,)
    if name == "service":
        # Nothing tells a service's close inside its body from its end.
        return (framed[:size],) if size else (None,)
    # The status alone acknowledges an order.
    return (True,) if name == "order" else (None,)


async def test_end_of_tls_without_notice_does_not_look_like_an_end(tmp_path):
    """Guards against a short body: TLS tells a cut connection from one that ended."""
    authority = trustme.CA()
    authority.cert_pem.write_to_path(tmp_path / "authority.pem")
    served = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    authority.issue_cert("127.0.0.1").configure_cert(served)
    trusted = ssl.create_default_context(cafile=str(tmp_path / "authority.pem"))

    async def serve(stream: trio.SSLStream) -> None:
        await stream.receive_some(10_000)
        await stream.send_all(HEADS["close"] + b"body")
        await stream.transport_stream.send_eof()
        await trio.sleep_forever()

    async with trio.open_nursery() as nursery:
        (listener,) = await trio.open_ssl_over_tcp_listeners(
            0, served, host="127.0.0.1"
        )
        port = listener.transport_listener.socket.getsockname()[1]
        nursery.start_soon(trio.serve_listeners, serve, [listener])
        client = HttpUpstreams("key", trusted)
        with pytest.raises(UpstreamLost):
            await client.call_service(engine_at(f"127.0.0.1:{port}"), CALL, "a.1")
        nursery.cancel_scope.cancel()
