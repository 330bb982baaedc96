"""Connections of callers that send a request in pieces, with pauses between them."""

from collections.abc import AsyncIterator

import h11
import trio

from pepperstep.ports.exchange import AnswerHead, ConnectionFault, RequestHead

__all__ = ["SlowConnection"]

_READ_BYTES = 65_536
_PIECES = 3
_BREAKS = (OSError, trio.BrokenResourceError, trio.ClosedResourceError)


class SlowConnection:
    """A connection with one request at a time; `pause` is in seconds."""

    def __init__(self, stream: trio.SocketStream, pause: float):
        self._stream = stream
        self._pause = pause
        self._protocol = h11.Connection(h11.CLIENT)

    @classmethod
    async def open(cls, address: str, pause: float, timeout: float) -> "SlowConnection":
        """Return a new connection; raise `ConnectionFault` after `timeout` seconds."""
        host, _, port = address.rpartition(":")
        try:
            with trio.fail_after(timeout):
                return cls(await trio.open_tcp_stream(host, int(port)), pause)
        except (OSError, trio.TooSlowError) as error:
            raise ConnectionFault(f"no connection: {error!r}", False) from error

    async def send(self, head: RequestHead, body: bytes) -> AnswerHead:
        """Send a request and return the head of its answer."""
        if self._protocol.our_state is h11.DONE:
            self._protocol.start_next_cycle()
        headers = [*head.headers, (b"content-length", b"%d" % len(body))]
        request = h11.Request(method=head.method, target=head.target, headers=headers)
        data = self._protocol.send(request)
        if body:
            data += self._protocol.send(h11.Data(body))
        data += self._protocol.send(h11.EndOfMessage())
        size = len(data) // _PIECES + 1
        try:
            for begin in range(0, len(data), size):
                if begin:
                    await trio.sleep(self._pause)
                await self._stream.send_all(data[begin : begin + size])
        except _BREAKS:
            # The host may have answered before it closed the connection.
            pass
        event = await self._next_event()
        if not isinstance(event, h11.Response):
            raise ConnectionFault("no answer", True)
        return AnswerHead(event.status_code, tuple(event.headers))

    async def pieces(self) -> AsyncIterator[bytes]:
        """Yield the answer's body; raise `ConnectionFault` if it is incomplete."""
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return
            if not isinstance(event, h11.Data):
                raise ConnectionFault("the answer broke off", True)
            yield bytes(event.data)

    def is_reusable(self) -> bool:
        """Whether another request may be sent on this connection."""
        states = self._protocol.our_state, self._protocol.their_state
        return states in ((h11.IDLE, h11.IDLE), (h11.DONE, h11.DONE))

    def close(self) -> None:
        """Close the connection."""
        self._stream.socket.close()

    async def _next_event(self):
        try:
            while (event := self._protocol.next_event()) is h11.NEED_DATA:
                self._protocol.receive_data(
                    await self._stream.receive_some(_READ_BYTES)
                )
        except (h11.RemoteProtocolError, *_BREAKS) as error:
            raise ConnectionFault(f"the connection broke: {error!r}", True) from error
        return event
