"""A caller's connection: hypercorn's protocol with fewer system calls for sending."""

import socket
from collections.abc import Awaitable, Callable

import h11
import hypercorn.config
import trio
from hypercorn.events import Event, RawData
from hypercorn.protocol.h11 import H11Protocol
from hypercorn.trio.tcp_server import TCPServer
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.typing import ConnectionState

__all__ = ["Application", "Connection"]

# How long a connection that would be closed waits for the rest of a request's head.
_HEAD_SECONDS = 5.0
# How long a new connection stays open for its first request.
_FIRST_REQUEST_SECONDS = 1.0
_ARRIVAL_POLL_SECONDS = 0.01
_CLOSE_HEADER = (b"connection", b"close")
_HTTP_1_VERSIONS = frozenset({"1.0", "1.1"})

# ASGI application.
Application = Callable[[dict, Callable, Callable], Awaitable[None]]


class Connection(TCPServer):
    """Connection that batches writes and sends without blocking where possible.

    For each piece of an answer hypercorn makes a system call, acquires a lock and
    opens a cancel scope, which costs as much as the rest of relaying a token. This
    class sends the head with the first piece and the last piece with the end of
    the body, and skips lock and cancel scope if the kernel accepts all the data.

    A connection without a request in progress is closed only if no request has
    arrived, even in part. Answers announce the close while `is_closing` returns True.
    """

    def __init__(
        self,
        application: Application,
        config: hypercorn.config.Config,
        context: WorkerContext,
        stream: trio.abc.Stream,
        is_closing: Callable[[], bool],
    ):
        super().__init__(
            self._run_application, config, context, ConnectionState({}), stream
        )
        self._application = application
        self._is_closing = is_closing
        self._opened_at = trio.current_time()
        self._raw_socket: socket.socket | None = None
        # Data to be sent with the next flush, None while sends go out directly.
        self._buffered: list[bytes] | None = None

    async def run(self) -> None:
        """Serve requests until the connection ends."""
        if not isinstance(self.stream, trio.SocketStream):
            await super().run()
            return
        # Shares the descriptor with the stream, which keeps its ownership.
        self._raw_socket = socket.socket(fileno=self.stream.socket.fileno())
        try:
            await super().run()
        finally:
            self._raw_socket.detach()
            self._raw_socket = None

    async def protocol_send(self, event: Event) -> None:
        """Handle an event of the protocol; data is buffered or sent at once."""
        if not isinstance(event, RawData):
            await self._flush()
            await super().protocol_send(event)
        elif self._buffered is not None:
            self._buffered.append(event.data)
        else:
            await self._send(event.data)

    async def _run_application(
        self, scope: dict, receive: Callable, send: Callable, *_: Callable
    ) -> None:
        """Run the application for one request, as hypercorn's callback."""

        async def send_batched(event: dict) -> None:
            if self._buffered is None:
                self._buffered = []
            if event["type"] == "http.response.start":
                event = self._announce_close(scope, event)
            if event.get("more_body") or event["type"] == "http.response.start":
                await send(event)
            else:
                await self._send_end(send, event)
            if event["type"] != "http.response.start":
                await self._flush()

        await self._application(scope, receive, send_batched)

    def _announce_close(self, scope: dict, start: dict) -> dict:
        """Return the start of an answer, with a header if the server is closing."""
        if scope["http_version"] not in _HTTP_1_VERSIONS or not self._is_closing():
            return start
        return {**start, "headers": [*start["headers"], _CLOSE_HEADER]}

    async def _idle_timeout(self) -> None:
        """Close the connection after its idle time, or once the server closes.

        Hypercorn cancels this when it has read the head of a request.
        """
        with trio.move_on_after(self.config.keep_alive_timeout):
            await self.context.terminated.wait()
        with trio.move_on_after(_HEAD_SECONDS):
            while self._is_request_arriving():
                await trio.sleep(_ARRIVAL_POLL_SECONDS)
        with trio.CancelScope(shield=True):
            await self._initiate_server_close()

    def _is_request_arriving(self) -> bool:
        """Whether a request has arrived, even in part, or is likely to."""
        protocol = self.protocol.protocol
        if isinstance(protocol, H11Protocol):
            is_begun = protocol.connection.their_state in (h11.SEND_BODY, h11.DONE)
            if is_begun or protocol.stream is not None:
                return True
            data, is_ended = protocol.connection.trailing_data
            if data:
                return not is_ended
            is_new = trio.current_time() < self._opened_at + _FIRST_REQUEST_SECONDS
            if is_new and not protocol.keep_alive_requests and not is_ended:
                return True
        return self._has_unread_data()

    def _has_unread_data(self) -> bool:
        stream = self.stream
        if isinstance(stream, trio.SSLStream):
            stream = stream.transport_stream
        if stream.socket.fileno() < 0:
            return False
        # Shares the descriptor with the stream, which keeps its ownership.
        raw_socket = socket.socket(fileno=stream.socket.fileno())
        try:
            return raw_socket.recv(1, socket.MSG_PEEK) != b""
        except OSError:
            return False
        finally:
            raw_socket.detach()

    async def _send_end(self, send: Callable, event: dict) -> None:
        """Send an answer's last piece, shielded from cancellation.

        Hypercorn signals a disconnect to the application before the piece has been
        sent, and the application then cancels its work on the answer.
        """
        with trio.CancelScope(shield=True):
            await send(event)
            await self._flush()

    async def _flush(self) -> None:
        buffered = self._buffered
        self._buffered = None
        if buffered:
            await self._send(b"".join(buffered))

    async def _send(self, data: bytes) -> None:
        if self._can_send_nonblocking():
            data = self._send_nonblocking(data)
        if data:
            await super().protocol_send(RawData(data=data))

    def _can_send_nonblocking(self) -> bool:
        """Whether the socket is open and no other send is in progress."""
        if self._raw_socket is None or self.send_lock.locked():
            return False
        return self.stream.socket.fileno() >= 0

    def _send_nonblocking(self, data: bytes) -> bytes:
        """Send without blocking; return the data that the kernel didn't accept."""
        try:
            count = self._raw_socket.send(data)
        except OSError:
            # Blocking sends and errors are left to hypercorn.
            return data
        return data[count:]
