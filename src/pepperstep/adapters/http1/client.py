"""HTTP/1.1 connections to upstreams, each with one request at a time."""

import select
import socket
import struct
from collections.abc import AsyncIterator, Callable

import h11
import trio

from pepperstep.adapters.http1.framing import end_to_end_headers
from pepperstep.ports.exchange import AnswerHead, ConnectionFault, RequestHead
from pepperstep.tasks import run_beside

__all__ = ["Http1Connector"]

# Largest read from a socket.
_READ_BYTES = 65_536
# TCP_USER_TIMEOUT: how long sent data may stay unacknowledged. The round trip takes
# a few milliseconds and a lost packet is resent after 200 ms, so a longer silence
# means that the host or the connection is lost.
_UNACKNOWLEDGED_MILLISECONDS = 1_000
# Value of SO_LINGER with which a close discards unsent data and resets the connection.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# Largest status line and headers of an answer.
_MAX_HEAD_BYTES = 65_536
# Interim answers (RFC 9110, 15.2) that are skipped before an answer.
_MAX_INTERIM_ANSWERS = 32
# Largest body of a late answer that is skipped.
_MAX_SKIPPED_BYTES = 8_388_608


class Http1Connector:
    """Opens connections to upstreams; `now` returns the monotonic time."""

    def __init__(self, now: Callable[[], float]):
        self._now = now

    async def connect(self, address: str, timeout: float) -> "_Connection":
        """Return a new connection to `address` (host:port).

        Raise `ConnectionFault` if it isn't established within `timeout` seconds.
        """
        host, _, port = address.rpartition(":")
        sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(
                socket.IPPROTO_TCP,
                socket.TCP_USER_TIMEOUT,
                _UNACKNOWLEDGED_MILLISECONDS,
            )
            with trio.fail_after(timeout):
                await sock.connect((host, int(port)))
        except (OSError, OverflowError, trio.TooSlowError) as error:
            # Python raises OverflowError for a port that doesn't exist.
            sock.close()
            raise ConnectionFault(f"no connection: {error!r}", False) from error
        except BaseException:
            sock.close()
            raise
        return _Connection(sock, self._now)


class _Connection:
    """A persistent connection to one upstream."""

    def __init__(self, sock: trio.socket.SocketType, now: Callable[[], float]):
        self._sock = sock
        self._now = now
        self._protocol = _new_protocol()
        self._method = b""
        self._unsent = memoryview(b"")
        self._is_broken = False
        # Whether sending failed because the connection was reset or timed out.
        self._has_send_failed = False
        self.idle_since = now()

    async def send(self, head: RequestHead, body: bytes) -> AnswerHead:
        """Send a request and return the head of its answer."""
        if self._protocol.our_state is h11.IDLE and not self._has_no_input():
            self._is_broken = True
            raise ConnectionFault("data or the end came before a request", False)
        headers = [
            each for each in end_to_end_headers(head.headers) if each[0] != b"expect"
        ]
        headers = [each for each in headers if each[0] != b"content-length"]
        if body or head.first(b"content-length"):
            headers.append((b"content-length", b"%d" % len(body)))
        request = h11.Request(method=head.method, target=head.target, headers=headers)
        self._method = head.method
        if self._protocol.our_state is h11.DONE:
            self._protocol.start_next_cycle()
        data = self._protocol.send(request)
        if body:
            data += self._protocol.send(h11.Data(body))
        data += self._protocol.send(h11.EndOfMessage())
        self._unsent = memoryview(data)
        await self._send_available()
        return await self._read_head_while_sending()

    async def pieces(self) -> AsyncIterator[bytes]:
        """Yield the answer's body; raise `ConnectionFault` if it is incomplete."""
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self.idle_since = self._now()
                return
            else:
                raise self._mark_broken("the answer broke off")

    async def skip_answer(self) -> AnswerHead:
        """Discard the rest of this answer and return the head of the next one.

        No request is sent for the next answer. A placeholder request brings a new
        h11 state machine into the state in which it expects an answer. Its method is
        that of the real one, as answers to HEAD have no body.
        """
        size = 0
        async for piece in self.pieces():
            size += len(piece)
            if size > _MAX_SKIPPED_BYTES:
                raise self._mark_broken("a late answer is too long")
        # The end of the connection alone shows that no answer follows: a late answer's
        # "Connection: close" is as old as the answer itself.
        if self._protocol.their_state not in (h11.DONE, h11.MUST_CLOSE):
            raise self._mark_broken("no answer can follow")
        data, _ = self._protocol.trailing_data
        self._protocol = _new_protocol()
        request = h11.Request(
            method=self._method, target=b"/", headers=[(b"host", b"-")]
        )
        self._protocol.send(request)
        self._protocol.send(h11.EndOfMessage())
        if data:
            self._protocol.receive_data(data)
        return await self._read_head_while_sending()

    def is_reusable(self) -> bool:
        """Whether another request may be sent on this connection."""
        if self._is_broken or self._unsent or self._sock.fileno() < 0:
            return False
        protocol = self._protocol
        if protocol.our_state is h11.IDLE:
            return self._has_no_input()
        if protocol.our_state is not h11.DONE or protocol.their_state is not h11.DONE:
            return False
        return not protocol.trailing_data[0] and self._has_no_input()

    def close(self) -> None:
        """Close the connection; concurrent reads and sends raise `ConnectionFault`.

        A connection whose answer isn't complete is reset. Otherwise the kernel would
        still send the request, possibly long after it was cancelled.
        """
        self._is_broken = True
        if self._sock.fileno() >= 0 and not self._is_answered():
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        self._sock.close()

    def _is_answered(self) -> bool:
        """Whether no request waits for its answer."""
        if self._protocol.our_state is h11.IDLE:
            return True
        return not self._unsent and self._protocol.their_state is h11.DONE

    def _has_no_input(self) -> bool:
        """Whether the socket has no unread data and no end of file."""
        poll = select.poll()
        poll.register(self._sock.fileno(), select.POLLIN)
        return not poll.poll(0)

    async def _read_head_while_sending(self) -> AnswerHead:
        """Return an answer's head; the rest of the request is sent meanwhile.

        The upstream may answer before it has read the whole request.
        """
        if not self._unsent:
            return await self._read_head()
        return await run_beside(self._send_remaining, self._read_head)

    async def _send_available(self) -> None:
        try:
            sent = await self._sock.send(self._unsent)
        except (OSError, trio.ClosedResourceError) as error:
            raise self._mark_broken(f"not sent: {error!r}") from error
        self._unsent = self._unsent[sent:]

    async def _send_remaining(self) -> None:
        while self._unsent:
            try:
                sent = await self._sock.send(self._unsent)
            except (BrokenPipeError, trio.ClosedResourceError):
                # The upstream's end of the connection came before it was reset.
                return
            except OSError:
                self._has_send_failed = True
                return
            self._unsent = self._unsent[sent:]

    async def _read_head(self) -> AnswerHead:
        for _ in range(_MAX_INTERIM_ANSWERS):
            event = await self._next_event()
            if isinstance(event, h11.InformationalResponse):
                continue
            if isinstance(event, h11.Response):
                return AnswerHead(event.status_code, tuple(event.headers))
            raise self._mark_broken("the connection was closed without an answer")
        raise self._mark_broken("too many interim answers")

    async def _next_event(self):
        try:
            while True:
                event = self._protocol.next_event()
                if event is not h11.NEED_DATA:
                    return event
                data = await self._sock.recv(_READ_BYTES)
                if not data and self._has_send_failed:
                    # A socket reports its error once, to the sender or the reader.
                    raise self._mark_broken("the connection broke while sending")
                self._protocol.receive_data(data)
        except h11.RemoteProtocolError as error:
            raise self._mark_broken(f"no valid answer: {error}") from error
        except (OSError, trio.ClosedResourceError) as error:
            raise self._mark_broken(f"the connection broke: {error!r}") from error

    def _mark_broken(self, text: str) -> ConnectionFault:
        self._is_broken = True
        return ConnectionFault(text, True)


def _new_protocol() -> h11.Connection:
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES)
