"""Network backend for httpcore that reads all streams at common moments.

Tokens of many streams come in at different moments; a wakeup for each costs
more than its bytes. So reads wait for the next tick of a clock that all
connections share, and what has come in by then is read at once. Fast engines
are read at every second tick, which brings two tokens or more each time.
"""

import select
import ssl
from collections.abc import Iterable
from typing import Any

import httpcore
import trio

__all__ = ["PacedBackend", "pace_for"]

# A gap between tokens becomes the next multiple of the period. Two ticks leave
# some milliseconds to the target of 53 ms a token.
TICK_SECONDS = 0.024


def pace_for(decode_seconds: float) -> float:
    """Return the period in seconds for an engine's time between two tokens."""
    return 2 * TICK_SECONDS if decode_seconds <= TICK_SECONDS else TICK_SECONDS


class PacedBackend(httpcore.AsyncNetworkBackend):
    """Opens connections whose reads can be paced."""

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Open a connection."""
        try:
            with trio.fail_after(timeout or float("inf")):
                stream = await trio.open_tcp_stream(
                    host, port, local_address=local_address
                )
        except trio.TooSlowError as error:
            raise httpcore.ConnectTimeout from error
        except OSError as error:
            raise httpcore.ConnectError(str(error)) from error
        return _PacedStream(stream)

    async def sleep(self, seconds: float) -> None:
        """Sleep, as httpcore asks between its own attempts to connect."""
        await trio.sleep(seconds)


class _PacedStream(httpcore.AsyncNetworkStream):
    """A connection whose reads wait for a multiple of `period`, unless it's 0.

    A write begins a new exchange, with prompt reads.
    """

    def __init__(self, stream: trio.abc.Stream):
        self._stream = stream
        self.period = 0.0

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return what has come in, b"" at the end.

        `timeout` holds while reads aren't paced; who reads a paced stream
        watches for its silence with one scope, which costs less.
        """
        try:
            if self.period:
                await self._wait_tick()
                return await self._stream.receive_some(max_bytes)
            with trio.fail_after(timeout or float("inf")):
                return await self._stream.receive_some(max_bytes)
        except trio.TooSlowError as error:
            raise httpcore.ReadTimeout from error
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise httpcore.ReadError(str(error)) from error

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send all of `buffer`."""
        self.period = 0.0
        if not buffer:
            return
        try:
            with trio.fail_after(timeout or float("inf")):
                await self._stream.send_all(buffer)
        except trio.TooSlowError as error:
            raise httpcore.WriteTimeout from error
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise httpcore.WriteError(str(error)) from error

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Return the connection with TLS."""
        secure = trio.SSLStream(
            self._stream,
            ssl_context,
            server_hostname=server_hostname,
            https_compatible=True,
        )
        try:
            with trio.fail_after(timeout or float("inf")):
                await secure.do_handshake()
        except trio.TooSlowError as error:
            raise httpcore.ConnectTimeout from error
        except (trio.BrokenResourceError, ssl.SSLError) as error:
            raise httpcore.ConnectError(str(error)) from error
        return _PacedStream(secure)

    def get_extra_info(self, info: str) -> Any:
        """Return what httpcore asks of a connection, None for the unknown."""
        if info == "ssl_object" and isinstance(self._stream, trio.SSLStream):
            return self._stream
        if info == "is_readable":
            return self._is_readable()
        return None

    def _is_readable(self) -> bool:
        """Whether an idle connection has ended; httpcore asks before a reuse."""
        stream = self._stream
        while isinstance(stream, trio.SSLStream):
            stream = stream.transport_stream
        return _has_input(stream.socket)

    async def _wait_tick(self) -> None:
        now = trio.current_time()
        due = (now // self.period + 1) * self.period
        await trio.sleep_until(due)


def _has_input(sock: trio.socket.SocketType) -> bool:
    poller = select.poll()
    poller.register(sock.fileno(), select.POLLIN)
    return bool(poller.poll(0))
