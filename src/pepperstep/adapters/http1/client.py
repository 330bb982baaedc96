"""Connections to upstreams, each of which carries one request at a time."""

import select
import socket
from collections.abc import AsyncIterator, Callable

import h11
import trio

from pepperstep.adapters.http1.framing import end_to_end
from pepperstep.ports.exchange import AnswerHead, ConnectionFault, RequestHead
from pepperstep.tasks import run_beside

__all__ = ["Http1Connector"]

# One read of a connection, in bytes.
_READ_BYTES = 65_536
# Time for the upstream's host to acknowledge what was sent, in milliseconds. It
# is some milliseconds away, and a lost packet is sent again after 200 ms: more
# silence means that the host, or the connection, is gone.
_SILENCE_MILLISECONDS = 1_000
# Head of an answer, in bytes.
_MAX_HEAD_BYTES = 65_536


class Http1Connector:
    """Opens connections; `now` gives the monotonic time."""

    def __init__(self, now: Callable[[], float]):
        self._now = now

    async def connect(self, address: str, timeout: float) -> "_Connection":
        """Return a new connection to host:port."""
        host, _, port = address.rpartition(":")
        sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _SILENCE_MILLISECONDS
            )
            with trio.fail_after(timeout):
                await sock.connect((host, int(port)))
        except (OSError, trio.TooSlowError) as error:
            sock.close()
            raise ConnectionFault(f"no connection: {error!r}", False) from error
        except BaseException:
            sock.close()
            raise
        return _Connection(sock, self._now)


class _Connection:
    """A connection to one upstream."""

    def __init__(self, sock: trio.socket.SocketType, now: Callable[[], float]):
        self._sock = sock
        self._now = now
        self._protocol = _new_protocol()
        self._rest = memoryview(b"")
        self._is_broken = False
        self.idle_since = now()

    async def send(self, head: RequestHead, body: bytes) -> AnswerHead:
        """Send a request and return the head of its answer."""
        headers = [each for each in end_to_end(head.headers) if each[0] != b"expect"]
        headers = [each for each in headers if each[0] != b"content-length"]
        if body or head.first(b"content-length"):
            headers.append((b"content-length", b"%d" % len(body)))
        request = h11.Request(method=head.method, target=head.target, headers=headers)
        if self._protocol.our_state is h11.DONE:
            self._protocol.start_next_cycle()
        data = self._protocol.send(request)
        if body:
            data += self._protocol.send(h11.Data(body))
        data += self._protocol.send(h11.EndOfMessage())
        self._rest = memoryview(data)
        await self._send_now()
        if not self._rest:
            return await self._read_head()
        # The upstream may answer before it has read all.
        return await run_beside(self._send_rest, self._read_head)

    async def pieces(self) -> AsyncIterator[bytes]:
        """Yield the answer's body."""
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self.idle_since = self._now()
                return
            else:
                raise self._fault("the answer broke off")

    async def skip_answer(self) -> AnswerHead:
        """Read over the present answer and return the head of the next."""
        async for _ in self.pieces():
            pass
        if self._protocol.their_state is not h11.DONE or self._rest:
            raise self._fault("no answer can follow")
        data, _ = self._protocol.trailing_data
        self._protocol = _new_protocol()
        request = h11.Request(method=b"GET", target=b"/", headers=[(b"host", b"-")])
        self._protocol.send(request)
        self._protocol.send(h11.EndOfMessage())
        if data:
            self._protocol.receive_data(data)
        return await self._read_head()

    def is_reusable(self) -> bool:
        """Whether another request may be sent."""
        if self._is_broken or self._rest or self._sock.fileno() < 0:
            return False
        protocol = self._protocol
        if protocol.our_state is h11.IDLE:
            return self._is_quiet()
        if protocol.our_state is not h11.DONE or protocol.their_state is not h11.DONE:
            return False
        return not protocol.trailing_data[0] and self._is_quiet()

    def close(self) -> None:
        """Close the connection; a task that uses it gets a `ConnectionFault`."""
        self._is_broken = True
        self._sock.close()

    def _is_quiet(self) -> bool:
        """Whether the connection is open with nothing to read."""
        poll = select.poll()
        poll.register(self._sock.fileno(), select.POLLIN)
        return not poll.poll(0)

    async def _send_now(self) -> None:
        try:
            sent = await self._sock.send(self._rest)
        except (OSError, trio.ClosedResourceError) as error:
            raise self._fault(f"not sent: {error!r}") from error
        self._rest = self._rest[sent:]

    async def _send_rest(self) -> None:
        while self._rest:
            try:
                sent = await self._sock.send(self._rest)
            except (OSError, trio.ClosedResourceError):
                # Its answer, or the lack of one, tells more than this error.
                return
            self._rest = self._rest[sent:]

    async def _read_head(self) -> AnswerHead:
        while True:
            event = await self._next_event()
            if isinstance(event, h11.InformationalResponse):
                continue
            if isinstance(event, h11.Response):
                return AnswerHead(event.status_code, tuple(event.headers))
            raise self._fault("the connection was closed without an answer")

    async def _next_event(self):
        try:
            while True:
                event = self._protocol.next_event()
                if event is not h11.NEED_DATA:
                    return event
                data = await self._sock.recv(_READ_BYTES)
                self._protocol.receive_data(data)
        except h11.RemoteProtocolError as error:
            raise self._fault(f"no valid answer: {error}") from error
        except (OSError, trio.ClosedResourceError) as error:
            raise self._fault(f"the connection broke: {error!r}") from error

    def _fault(self, text: str) -> ConnectionFault:
        self._is_broken = True
        return ConnectionFault(text, True)


def _new_protocol() -> h11.Connection:
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES)
