"""Callers that keep using open connections to a host until its process is gone."""

import itertools
from collections.abc import Callable
from dataclasses import dataclass

import trio

from pepperstep.adapters.http1 import Http1Connector
from pepperstep.ports.exchange import ConnectionFault, Header, RequestHead

__all__ = ["Callers", "Sent"]

_CONNECT_SECONDS = 1.0
# Time beyond a request's deadline after which a caller gives up.
_PATIENCE_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class Sent:
    """A request and how it ended; times are trio's."""

    attempt: bytes
    sent_at: float
    ended_at: float
    # Status of a complete answer, 0 if the connection ended without one.
    status: int

    @property
    def was_cut(self) -> bool:
        """Whether the connection ended without a complete answer."""
        return not self.status


class Callers:
    """Callers with one connection each, which send in turn at a total rate.

    `address` returns the host's address at which a caller opens its connections.
    `seconds` is the deadline that requests state.
    """

    def __init__(
        self,
        address: Callable[[], str],
        path: str,
        headers: tuple[Header, ...],
        *,
        count: int,
        rate: float,
        seconds: float,
        prefix: str = "r",
    ):
        self._address = address
        self._path = path
        self._headers = headers
        self._count = count
        self._rate = rate
        self._seconds = seconds
        self._prefix = prefix
        self._numbers = itertools.count()
        self._connector = Http1Connector(trio.current_time)
        self._is_ending = False
        self.sent: list[Sent] = []
        # Times at which a connection was refused.
        self.refused_connections: list[float] = []

    async def run(self) -> None:
        """Send requests until `end` was called and all of them have ended."""
        async with trio.open_nursery() as nursery:
            for number in range(self._count):
                nursery.start_soon(self._call_repeatedly, number)

    def end(self) -> None:
        """Send no further requests."""
        self._is_ending = True

    async def _call_repeatedly(self, number: int) -> None:
        connection = None
        period = self._count / self._rate
        due = trio.current_time() + number / self._rate
        try:
            while True:
                await trio.sleep_until(due)
                if self._is_ending:
                    return
                connection = await self._call(connection)
                due = max(due + period, trio.current_time())
        finally:
            if connection is not None:
                connection.close()

    async def _call(self, connection):
        """Send a request; return the connection if the next one may use it."""
        if connection is None or not connection.is_reusable():
            if connection is not None:
                connection.close()
            try:
                connection = await self._connector.connect(
                    self._address(), _CONNECT_SECONDS
                )
            except ConnectionFault:
                self.refused_connections.append(trio.current_time())
                return None
        attempt = b"%s%d" % (self._prefix.encode(), next(self._numbers))
        own = (
            (b"host", b"a.example"),
            (b"pepperstep-attempt-id", attempt),
            (b"pepperstep-deadline-ms", b"%d" % round(1000 * self._seconds)),
        )
        head = RequestHead(b"POST", self._path.encode(), (*own, *self._headers))
        sent_at = trio.current_time()
        status = 0
        is_kept = False
        try:
            with trio.move_on_after(self._seconds + _PATIENCE_SECONDS):
                answer = await connection.send(head, b"request")
                async for _ in connection.pieces():
                    pass
                status = answer.status
                is_kept = answer.first(b"connection") != b"close"
        except ConnectionFault:
            pass
        self.sent.append(Sent(attempt, sent_at, trio.current_time(), status))
        if is_kept:
            return connection
        connection.close()
        return None
