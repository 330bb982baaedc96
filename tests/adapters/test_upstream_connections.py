"""Connections to upstreams over the loopback interface."""

from contextlib import asynccontextmanager
from functools import partial

import pytest
import trio

from pepperstep.adapters.http_upstreams import HttpUpstreams
from pepperstep.entities import (
    ModelKey,
    Priority,
    Request,
    RequestKind,
    Upstream,
    UpstreamKind,
)
from pepperstep.ports.upstreams import GenerateOrder, UpstreamLost

ORDER = GenerateOrder("a.1", ModelKey("m", "", "1"), "Seat them.", (), 3, 1, 0)
CALL = Request(
    id="a",
    workspace="planners",
    kind=RequestKind.SERVICE,
    target="venue-desk",
    priority=Priority.INTERACTIVE,
    deadline=1e9,
    is_repeatable=False,
    method="POST",
    path="/x",
    body=b"{}",
)
ENDED = b'HTTP/1.1 200 OK\r\nContent-Length: 17\r\n\r\n{"is_ended":true}'
REFUSAL = b"HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"


class Server:
    """Answers the first call with `first` and each later one with `later`."""

    def __init__(self, first: bytes, later: bytes = b""):
        self.connections = 0
        self._answers = [first]
        self._later = later

    async def serve(self, stream: trio.SocketStream) -> None:
        """Receive calls, whose bodies are JSON objects, until the connection ends."""
        self.connections += 1
        data = b""
        async with stream:
            async for received in stream:
                data += received
                if b"\r\n\r\n" in data and data.endswith(b"}"):
                    data = b""
                    answer = self._answers.pop() if self._answers else self._later
                    await stream.send_all(answer)


@asynccontextmanager
async def serving(server: Server):
    """Run a server and yield it as an upstream."""
    async with trio.open_nursery() as nursery:
        serve = partial(trio.serve_tcp, server.serve, 0, host="127.0.0.1")
        (listener,) = await nursery.start(serve)
        port = listener.socket.getsockname()[1]
        address = f"127.0.0.1:{port}"
        yield Upstream("e", 1, address, UpstreamKind.ENGINE, "h", "zone")
        nursery.cancel_scope.cancel()


async def generate(client: HttpUpstreams, upstream: Upstream) -> None:
    async with client.generate(upstream, ORDER) as chunks:
        async for _ in chunks:
            pass


async def call_service(client: HttpUpstreams, upstream: Upstream) -> None:
    await client.call_service(upstream, CALL, "a.1")


async def cancel(client: HttpUpstreams, upstream: Upstream) -> None:
    await client.cancel(upstream, "a.1")


@pytest.mark.parametrize(
    ("call", "late"),
    [(generate, REFUSAL), (call_service, REFUSAL), (cancel, ENDED)],
    ids=["generate", "service", "cancel"],
)
async def test_answer_that_came_before_its_call_is_no_statement(call, late):
    """Guards against a refusal or an end of an earlier call, told for a later one."""
    client = HttpUpstreams("key")
    async with serving(Server(ENDED + late)) as upstream:
        await client.cancel(upstream, "b.1")
        with pytest.raises(UpstreamLost), trio.fail_after(5):
            await call(client, upstream)


async def test_connection_is_used_again_after_a_whole_answer():
    """Guards against a connection for each call."""
    client = HttpUpstreams("key")
    server = Server(ENDED, ENDED)
    async with serving(server) as upstream:
        for _ in range(3):
            assert await client.cancel(upstream, "b.1")
    assert server.connections == 1
