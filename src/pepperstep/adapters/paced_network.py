"""Network backend for httpcore that batches the reads of all token streams.

The tokens of many streams arrive at different times, and a wakeup for each costs
more than processing its bytes. Reads therefore wait for the next tick of a clock
that all connections share, and return all data received by then. Streams of fast
engines are read at every second tick, with two or more tokens each time.
"""

import select
import ssl
from collections.abc import Iterable
from typing import Any

import httpcore
import trio

__all__ = ["NOTHING_READ", "PacedBackend", "read_period_for"]

# Metadata of a connection: whether nothing was read since the last write.
NOTHING_READ = "nothing_read"

# Interval of the shared clock. The time between tokens is rounded up to a multiple of
# the read period; two ticks stay a few milliseconds below the target of 53 ms.
TICK_SECONDS = 0.024


def read_period_for(decode_seconds: float) -> float:
    """Return the read period in seconds, given an engine's time per token."""
    return 2 * TICK_SECONDS if decode_seconds <= TICK_SECONDS else TICK_SECONDS


class PacedBackend(httpcore.AsyncNetworkBackend):
    """Opens connections whose reads can be aligned to ticks."""

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Open a TCP connection; raise httpcore's errors."""
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
        """Sleep; httpcore calls this between its connection attempts."""
        await trio.sleep(seconds)


class _PacedStream(httpcore.AsyncNetworkStream):
    """A connection whose reads wait for a multiple of `period` seconds.

    With a period of 0 reads return as soon as data arrives. A write starts a new
    request and resets the period to 0.
    """

    def __init__(self, stream: trio.abc.Stream):
        self._stream = stream
        self.period = 0.0
        self._has_read = False
        # Whether a write failed because the connection was reset or timed out.
        self._has_write_failed = False

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return the received data, b"" at the end of the stream.

        `timeout` applies only while `period` is 0. The reader of a paced stream
        detects silence with one cancel scope for all reads, which costs less.
        """
        self._has_read = True
        data = await self._receive(max_bytes, timeout)
        if not data and self._has_write_failed:
            # A socket reports its error once, and httpcore reads on after a failed
            # write.
            raise httpcore.ReadError("The connection broke during a write.")
        return data

    async def _receive(self, max_bytes: int, timeout: float | None) -> bytes:
        try:
            if self.period:
                await self._wait_for_tick()
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
        self._has_read = False
        if not buffer:
            return
        try:
            with trio.fail_after(timeout or float("inf")):
                await self._stream.send_all(buffer)
        except trio.TooSlowError as error:
            raise httpcore.WriteTimeout from error
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            # A broken pipe means that the end of the answer came before the reset.
            is_end = isinstance(error.__cause__, BrokenPipeError)
            self._has_write_failed = not is_end
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
        """Return the connection wrapped in TLS."""
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
        """Return connection metadata for httpcore, None for unknown keys."""
        if info == "ssl_object" and isinstance(self._stream, trio.SSLStream):
            return self._stream
        if info == "is_readable":
            return self._is_readable()
        if info == NOTHING_READ:
            return not self._has_read
        return None

    def _is_readable(self) -> bool:
        """Whether an idle connection has input, which means that it was closed.

        httpcore checks this before it reuses a connection.
        """
        stream = self._stream
        while isinstance(stream, trio.SSLStream):
            stream = stream.transport_stream
        return _has_input(stream.socket)

    async def _wait_for_tick(self) -> None:
        now = trio.current_time()
        due = (now // self.period + 1) * self.period
        await trio.sleep_until(due)


def _has_input(sock: trio.socket.SocketType) -> bool:
    poller = select.poll()
    poller.register(sock.fileno(), select.POLLIN)
    return bool(poller.poll(0))
