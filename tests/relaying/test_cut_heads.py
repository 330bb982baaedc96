"""Answers of upstreams and other entry hosts that are cut at each byte, over sockets.

A caller must get the whole answer, a visibly broken one, or a true failure.
"""

import socket
import struct
from contextlib import asynccontextmanager

import pytest
import trio

from pepperstep.adapters.http1 import Http1Connector
from pepperstep.ports.exchange import ConnectionFault, RequestHead

# Larger than what sockets buffer, so that the request is still being sent.
LARGE_BODY = b"x" * 8_000_000
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@asynccontextmanager
async def open_early_upstream(answer: bytes, ending: str):
    """Open a server that answers before it has read the request; yield its address."""
    listener = socket.create_server(("127.0.0.1", 0))
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    listener.setblocking(False)

    async def serve() -> None:
        while True:
            await trio.lowlevel.wait_readable(listener)
            sock, _ = listener.accept()
            await trio.lowlevel.wait_readable(sock)
            await trio.sleep(0.02)
            # The answer and the end of the connection arrive together.
            sock.send(answer)
            if ending == "end, then reset":
                sock.shutdown(socket.SHUT_WR)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            sock.close()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(serve)
        yield f"127.0.0.1:{listener.getsockname()[1]}"
        nursery.cancel_scope.cancel()
    listener.close()


@pytest.mark.parametrize("ending", ["reset", "end, then reset"])
async def test_reset_while_a_request_is_sent_does_not_look_like_an_end(ending):
    """Guards against a short body taken for whole: the sender alone saw the reset."""
    head = RequestHead(b"POST", b"/a", ((b"host", b"h"),))
    answer = b"HTTP/1.1 200 OK\r\n\r\nbody"
    async with open_early_upstream(answer, ending) as address:
        connector = Http1Connector(trio.current_time)
        for _ in range(10):
            connection = await connector.connect(address, 1.0)
            received = b""
            try:
                await connection.send(head, LARGE_BODY)
                async for piece in connection.pieces():
                    received += piece
                is_whole = True
            except ConnectionFault as fault:
                is_whole = False
                assert fault.was_sent
            connection.close()
            assert is_whole == (ending == "end, then reset")
            assert received == b"body" or not is_whole
