"""A caller's connection, which carries requests and answers one at a time."""

import os
import select
import socket
import struct
from collections.abc import Callable

import h11
import trio
from absl import logging

from pepperstep.adapters.http1.body_budget import BodyBudget
from pepperstep.adapters.http1.framing import has_conflicting_framing
from pepperstep.entities.routes import CallerLimits
from pepperstep.ports.exchange import (
    Answer,
    AnswerHead,
    CallerGone,
    ExchangeHandler,
    RequestHead,
)
from pepperstep.tasks import run_beside

__all__ = ["CallerConnection"]

# Largest read from a socket; most requests fit into one.
_READ_BYTES = 65_536
# Data that is buffered before it is parsed, for example pipelined requests while one
# is answered. Reading stops at this size.
_MAX_UNPARSED_BYTES = 262_144
# Time after which a caller that has opened a connection has sent a request.
_FIRST_REQUEST_SECONDS = 0.1
# Limits on reading the rest of a refused request. Callers need some milliseconds to
# receive the refusal.
_LINGER_SECONDS = 0.5
_LINGER_BYTES = 8_388_608
# Values of SO_LINGER: a close resets the connection, or ends it after all data.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_END_ON_CLOSE = struct.pack("ii", 0, 0)
# Poll events of a connection that its caller has closed.
_CALLER_GONE = select.POLLRDHUP | select.POLLHUP | select.POLLERR

_VERSION_WITHOUT_CHUNKS = b"1.0"
# Method whose answers have no body.
_METHOD_WITHOUT_BODY = b"HEAD"

_REASONS = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    421: b"Misdirected Request",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


class CallerConnection:
    """Reads a caller's requests and passes each to `handler` as an exchange.

    One task reads the socket for as long as the connection lasts, so it also detects
    the caller's disconnect while a request is being answered.
    """

    def __init__(
        self,
        sock: trio.socket.SocketType,
        handler: ExchangeHandler,
        limits: Callable[[], CallerLimits],
        now: Callable[[], float],
        is_closing: Callable[[], bool],
        body_budget: BodyBudget,
    ):
        self._is_closing = is_closing
        self._body_budget = body_budget
        # Bytes of the current request's body, as taken from the budget.
        self._body_bytes = 0
        self._sock = sock
        self._opened_at = now()
        self._handler = handler
        self._limits = limits
        self._now = now
        self._protocol = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits().header_bytes
        )
        self._disconnected = trio.Event()
        # Cancelled when the caller disconnects.
        self._request_scope: trio.CancelScope | None = None
        # Whether data was received since h11 was last asked for an event.
        self._has_input = False
        self._input_received = trio.Event()
        self._unparsed_bytes = 0
        self._input_parsed = trio.Event()
        self._is_discarding = False
        self._has_served = False
        # Whether a request is being read.
        self._is_reading = False
        self.is_busy = False
        self.head: RequestHead | None = None
        self.body = b""
        self.arrived_at = 0.0
        self.has_begun = False

    @property
    def has_unread_request(self) -> bool:
        """Whether a request has arrived, or a part of it, that isn't handled yet."""
        if self.is_busy:
            return False
        return self._is_reading or self._unparsed_bytes > 0 or self._is_readable()

    def close_if_idle(self) -> None:
        """Close the connection if no request is in progress, unread or on its way.

        A caller's first request is on its way for a moment after the connection has
        been opened.
        """
        age = self._now() - self._opened_at
        if self.is_busy or not self._has_served and age < _FIRST_REQUEST_SECONDS:
            return
        if not self.has_unread_request:
            self._sock.close()

    async def run(self) -> None:
        """Serve requests until the connection ends."""
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await run_beside(self._read_socket, self._serve_requests)

    async def _serve_requests(self) -> None:
        while True:
            is_read = await self._read_request()
            self._is_reading = False
            if not is_read:
                return
            self.is_busy = True
            await self._handler(self)
            self.is_busy = False
            self._request_scope = None
            self._has_served = True
            if self._protocol.our_state is not h11.DONE:
                return
            if (
                self._protocol.their_state is not h11.DONE
                or self._disconnected.is_set()
            ):
                return
            self._protocol.start_next_cycle()

    async def answer(self, answer: Answer) -> None:
        """Send a whole answer, without its body to a HEAD request."""
        length = (b"content-length", b"%d" % len(answer.body))
        headers = (*answer.headers, length)
        data = self._encode_head(AnswerHead(answer.status, headers))
        if answer.body and self._request_method != _METHOD_WITHOUT_BODY:
            data += self._protocol.send(h11.Data(answer.body))
        data += self._protocol.send(h11.EndOfMessage())
        await self._send(data)

    async def begin(self, head: AnswerHead, data: bytes) -> None:
        """Send an answer's head with the first piece of its body."""
        encoded = self._encode_head(head)
        if data:
            encoded += self._protocol.send(h11.Data(data))
        if self._protocol.their_http_version == _VERSION_WITHOUT_CHUNKS:
            # Only the close marks the end, also one by the kernel if this process ends.
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        await self._send(encoded)

    async def send(self, data: bytes) -> None:
        """Send another piece of the answer's body."""
        await self._send(self._protocol.send(h11.Data(data)))

    async def finish(self) -> None:
        """Complete the answer."""
        data = self._protocol.send(h11.EndOfMessage())
        if data:
            await self._send(data)
        elif self._sock.fileno() >= 0:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _END_ON_CLOSE)

    def abort(self) -> None:
        """Reset the connection, so that a partial answer can't look complete."""
        if self._sock.fileno() < 0:
            return
        try:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        except OSError as error:
            logging.info("http: Connection closed before it could be reset: %s.", error)
        self._sock.close()

    def drop_body(self) -> None:
        """Drop the current request's body."""
        self.body = b""
        self._body_budget.give_back(self._body_bytes)
        self._body_bytes = 0

    async def wait_disconnected(self) -> None:
        """Return once the caller has closed the connection."""
        await self._disconnected.wait()

    def cancel_when_disconnected(self, scope: trio.CancelScope) -> None:
        """Cancel `scope` once the caller has closed the connection."""
        self._request_scope = scope
        # A busy host may read a request together with its caller's close.
        if self._disconnected.is_set() or self._is_hung_up():
            scope.cancel()

    @property
    def _request_method(self) -> bytes:
        """Method of the current request, b"" before its head is read."""
        return b"" if self.head is None else self.head.method

    async def _read_request(self) -> bool:
        """Read a request; return False if the connection must be closed."""
        self.has_begun = False
        self.head = None
        self.drop_body()
        if not await self._wait_first_byte():
            return False
        self._is_reading = True
        limits = self._limits()
        try:
            with trio.fail_after(limits.header_seconds):
                return await self._read_whole(limits)
        except trio.TooSlowError:
            await self._refuse(408)
        except h11.RemoteProtocolError as error:
            await self._refuse(error.error_status_hint)
        return False

    def _is_hung_up(self) -> bool:
        """Whether the caller has closed the connection, even if data is unread."""
        poll = select.poll()
        poll.register(self._sock.fileno(), select.POLLRDHUP)
        return bool(poll.poll(0))

    def _is_readable(self) -> bool:
        """Whether data is unread, and the caller hasn't closed its side."""
        if self._sock.fileno() < 0:
            return False
        poll = select.poll()
        poll.register(self._sock.fileno(), select.POLLIN | select.POLLRDHUP)
        return any(not events & _CALLER_GONE for _, events in poll.poll(0))

    async def _wait_first_byte(self) -> bool:
        if self._protocol.trailing_data[0]:
            self.arrived_at = self._now()
            return True
        self._has_input = False
        with trio.move_on_after(self._limits().idle_seconds):
            await self._wait_for_input()
        if not self._has_input and self._is_readable():
            # A busy host sees a request only after the time-out.
            await self._wait_for_input()
        self.arrived_at = self._now()
        return self._has_input

    async def _wait_for_input(self) -> None:
        """Return once data was received that isn't parsed, or the caller is gone."""
        self._unparsed_bytes = 0
        self._input_parsed.set()
        while not self._has_input and not self._disconnected.is_set():
            self._input_received = trio.Event()
            await self._input_received.wait()

    async def _read_whole(self, limits: CallerLimits) -> bool:
        pieces = []
        while True:
            self._has_input = False
            event = self._protocol.next_event()
            if event is h11.NEED_DATA:
                if self._protocol.they_are_waiting_for_100_continue:
                    await self._send_continue()
                await self._wait_for_input()
                if not self._has_input:
                    # Tells h11 that the caller has closed the connection.
                    self._protocol.receive_data(b"")
                continue
            if isinstance(event, h11.Request):
                # h11 limits only heads that take several reads.
                if _head_size(event) > limits.header_bytes:
                    await self._refuse(431)
                    return False
                if has_conflicting_framing(event.headers):
                    await self._refuse(400)
                    return False
                self.head = RequestHead(
                    event.method, event.target, tuple(event.headers)
                )
            elif isinstance(event, h11.Data):
                size = len(event.data)
                if self._body_bytes + size > limits.body_bytes:
                    await self._refuse(413)
                    return False
                if not self._body_budget.take(size):
                    await self._refuse(503)
                    return False
                self._body_bytes += size
                pieces.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self.body = b"".join(pieces)
                return True
            else:
                return False

    async def _send_continue(self) -> None:
        response = h11.InformationalResponse(status_code=100, headers=[])
        await self._send(self._protocol.send(response))

    async def _refuse(self, status: int) -> None:
        """Refuse a request that wasn't read completely, and close the connection."""
        if self._protocol.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        close = ((b"connection", b"close"),)
        try:
            await self.answer(Answer(status, b"", close))
            await self._discard_request()
        except (OSError, CallerGone, h11.LocalProtocolError) as error:
            logging.info(
                "http: Failed to send refusal with status %d: %s.", status, error
            )

    async def _discard_request(self) -> None:
        """Read and discard the rest of a refused request, within limits.

        Closing a socket with unread data resets the connection, and the caller
        would lose a refusal that it hasn't received yet.
        """
        self._sock.shutdown(socket.SHUT_WR)
        self._is_discarding = True
        self._input_parsed.set()
        with trio.move_on_after(_LINGER_SECONDS):
            await self._disconnected.wait()

    def _encode_head(self, head: AnswerHead) -> bytes:
        headers = list(head.headers)
        if self._is_closing():
            headers = [each for each in headers if each[0] != b"connection"]
            headers.append((b"connection", b"close"))
        self.has_begun = True
        response = h11.Response(
            status_code=head.status,
            headers=headers,
            reason=_REASONS.get(head.status, b""),
        )
        return self._protocol.send(response)

    async def _send(self, data: bytes) -> None:
        try:
            view = memoryview(data)
            while view:
                view = view[await self._sock.send(view) :]
        except OSError as error:
            raise CallerGone from error

    async def _read_socket(self) -> None:
        """Pass the data from the socket to h11 and detect the caller's disconnect."""
        while True:
            if self._unparsed_bytes > _MAX_UNPARSED_BYTES and not self._is_discarding:
                self._input_parsed = trio.Event()
                await self._input_parsed.wait()
            data = await self._receive()
            if self._is_discarding and data:
                data = await self._receive_rest()
            if not data:
                self._disconnected.set()
                if self._request_scope is not None:
                    self._request_scope.cancel()
                self._input_received.set()
                return
            self._unparsed_bytes += len(data)
            self._protocol.receive_data(data)
            self._has_input = True
            self._input_received.set()

    async def _receive(self) -> bytes:
        """Return data from the socket, b"" once the connection is closed.

        The data is in the socket until the step that returns it. `recv` of trio lets
        other tasks run in between, to which the connection would seem idle.
        """
        while self._sock.fileno() >= 0:
            try:
                await trio.lowlevel.wait_readable(self._sock)
                return os.read(self._sock.fileno(), _READ_BYTES)
            except BlockingIOError:
                continue
            except (OSError, trio.ClosedResourceError):
                break
        return b""

    async def _receive_rest(self) -> bytes:
        """Discard data until the caller's end, or the limit, and return b""."""
        size = 0
        while size < _LINGER_BYTES:
            data = await self._receive()
            if not data:
                break
            size += len(data)
        return b""


def _head_size(request: h11.Request) -> int:
    """Return the size in bytes of a request line and its headers."""
    size = len(request.method) + len(request.target) + len(b"  HTTP/1.1\r\n\r\n")
    for name, value in request.headers:
        size += len(name) + len(value) + len(b": \r\n")
    return size
