"""Operators and upstreams that keep using open connections to one control host."""

import itertools
from collections.abc import Callable
from dataclasses import dataclass

import trio

from pepperstep.adapters.http1 import Http1Connector
from pepperstep.ports.exchange import ConnectionFault, RequestHead

__all__ = ["Call", "ControlCallers", "Order"]

_CONNECT_SECONDS = 1.0
# Operators and upstreams give a call up after a second; these wait for the answer.
_PATIENCE_SECONDS = 6.0
_RECONNECT_SECONDS = 0.05


@dataclass(frozen=True, slots=True)
class Order:
    """A call to make, and the version that it carries, 0 for none."""

    method: bytes
    path: str
    body: bytes = b""
    version: int = 0


@dataclass(frozen=True, slots=True)
class Call:
    """A call and how it ended; times are trio's."""

    id: str
    order: Order
    sent_at: float
    ended_at: float
    # Status of a complete answer, 0 if the connection ended without one.
    status: int
    headers: dict[bytes, bytes]
    body: bytes

    @property
    def seconds(self) -> float:
        """Time until the answer, or until the connection's end."""
        return self.ended_at - self.sent_at


class ControlCallers:
    """Callers with one connection each to `address`.

    `kinds` has a function for each caller, which returns its next order. A caller
    pauses for `pause` seconds between its calls.
    """

    def __init__(
        self,
        address: str,
        kinds: list[Callable[[], Order]],
        *,
        pause: float,
        prefix: str = "c",
    ):
        self._address = address
        self._kinds = kinds
        self._pause = pause
        self._prefix = prefix
        self._numbers = itertools.count()
        self._connector = Http1Connector(trio.current_time)
        self._is_ending = False
        self.calls: list[Call] = []

    async def run(self) -> None:
        """Call until `end` was called and all calls have ended."""
        async with trio.open_nursery() as nursery:
            for kind in self._kinds:
                nursery.start_soon(self._call_repeatedly, kind)

    def end(self) -> None:
        """Make no further calls."""
        self._is_ending = True

    async def _call_repeatedly(self, kind: Callable[[], Order]) -> None:
        connection = None
        while not self._is_ending:
            if connection is None or not connection.is_reusable():
                connection = await self._connect(connection)
            if connection is not None:
                await self._call(connection, kind())
            await trio.sleep(self._pause)
        if connection is not None:
            connection.close()

    async def _connect(self, old):
        if old is not None:
            old.close()
        try:
            return await self._connector.connect(self._address, _CONNECT_SECONDS)
        except ConnectionFault:
            await trio.sleep(_RECONNECT_SECONDS)
            return None

    async def _call(self, connection, order: Order) -> None:
        name = f"{self._prefix}{next(self._numbers)}"
        mark = "&" if "?" in order.path else "?"
        target = f"{order.path}{mark}call={name}".encode()
        head = RequestHead(order.method, target, ((b"host", b"a.example"),))
        sent_at = trio.current_time()
        status, headers, body = 0, {}, b""
        is_whole = False
        try:
            with trio.move_on_after(_PATIENCE_SECONDS):
                answer = await connection.send(head, order.body)
                pieces = [each async for each in connection.pieces()]
                status, headers = answer.status, dict(answer.headers)
                body = b"".join(pieces)
                is_whole = headers.get(b"connection") != b"close"
        except ConnectionFault:
            pass
        ended_at = trio.current_time()
        self.calls.append(Call(name, order, sent_at, ended_at, status, headers, body))
        if not is_whole:
            connection.close()
