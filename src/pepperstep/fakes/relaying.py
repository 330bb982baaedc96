"""Fakes of the relay's HTTP peers: callers and upstreams."""

import enum
import math
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field

import trio

from pepperstep.ports.exchange import (
    Answer,
    AnswerHead,
    CallerGone,
    ConnectionFault,
    ExchangeHandler,
    RequestHead,
)

__all__ = ["FakeConnector", "FakeExchange", "LinkCut", "Reply", "Sent"]

# Time after which a connection breaks whose data isn't acknowledged.
_UNACKNOWLEDGED_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class Reply:
    """Scripted response of an upstream to one request."""

    head: AnswerHead | None = None
    pieces: tuple[bytes, ...] = ()
    # Whether the connection breaks after the last piece.
    breaks: bool = False
    # Seconds before the head, and before each piece.
    delay: float = 0.0
    pause: float = 0.0
    # Heads of other requests' answers, sent before this one.
    strays: tuple[AnswerHead, ...] = ()


@dataclass(frozen=True, slots=True)
class Sent:
    """Request that an upstream received."""

    address: str
    head: RequestHead
    body: bytes
    time: float
    # Name of the sending host, "" where hosts share a connector.
    host: str = ""


class LinkCut(enum.StrEnum):
    """How a host is cut off from all upstreams."""

    # Connections hang, and new ones get no answer.
    HANG = "hang"
    # Connections are reset, and new ones are refused.
    RESET = "reset"
    # Connections live on, and new ones are refused.
    REFUSE_NEW = "refuse new"


Script = Callable[[Sent], Reply | Awaitable[Reply]]


@dataclass
class FakeConnector:
    """Connector to scripted upstreams, by address.

    An address without a script refuses connections.
    """

    scripts: dict[str, Script] = field(default_factory=dict)
    sent: list[Sent] = field(default_factory=list)
    opened: int = 0
    closed: int = 0
    # Entry hosts' handlers of forwarded requests, by address, and where they run.
    servers: dict[str, ExchangeHandler] = field(default_factory=dict)
    nursery: trio.Nursery | None = None
    # Hosts that are cut off from all upstreams.
    cuts: dict[str, LinkCut] = field(default_factory=dict)
    _open: "set[_FakeConnection]" = field(default_factory=set)

    def cut(self, host: str, how: LinkCut) -> None:
        """Cut a host off from all upstreams."""
        self.cuts[host] = how
        for connection in list(self._open):
            if connection.host == host and how is LinkCut.RESET:
                connection.close()

    def crash(self, address: str) -> None:
        """End the upstream at an address with all its connections."""
        self.scripts.pop(address, None)
        for connection in list(self._open):
            if connection._address == address:
                connection.close()

    def heal(self, host: str) -> None:
        """Restore a host's paths to upstreams."""
        self.cuts.pop(host, None)

    async def connect(
        self, address: str, timeout: float, host: str = ""
    ) -> "_FakeConnection":
        """Return a new connection."""
        await trio.sleep(0.0005)
        if address in self.servers:
            return _HostConnection(self.servers[address], self.nursery)
        if self.cuts.get(host) is LinkCut.HANG:
            await trio.sleep(timeout)
            raise ConnectionFault("timed out", False)
        if address not in self.scripts or host in self.cuts:
            raise ConnectionFault("refused", False)
        self.opened += 1
        connection = _FakeConnection(self, address, host)
        self._open.add(connection)
        return connection

    def for_host(self, host: str) -> "_HostConnector":
        """Return a connector to the same upstreams that records `host` as sender."""
        return _HostConnector(self, host)


@dataclass(frozen=True)
class _HostConnector:
    """Connector that records its host as the sender."""

    _connector: FakeConnector
    _host: str

    async def connect(self, address: str, timeout: float) -> "_FakeConnection":
        """Return a new connection."""
        return await self._connector.connect(address, timeout, self._host)


class _FakeConnection:
    """Connection to a scripted upstream."""

    def __init__(self, connector: FakeConnector, address: str, host: str):
        self._connector = connector
        self.host = host
        self._address = address
        self._reply = Reply()
        self._strays: list[AnswerHead] = []
        self._is_answered = False
        self._is_idle = True
        self._closed = trio.Event()
        self.idle_since = trio.current_time()

    async def send(self, head: RequestHead, body: bytes) -> AnswerHead:
        """Pass the request to the script and return the head of its answer."""
        await self._check_link()
        now = trio.current_time()
        sent = Sent(self._address, head, body, now, self.host)
        self._connector.sent.append(sent)
        self._is_idle = False
        script = self._connector.scripts.get(self._address)
        if script is None:
            raise ConnectionFault("reset", True)
        self._reply = script(sent)
        await self._wait(self._reply.delay)
        await self._check_link()
        self._strays = list(self._reply.strays)
        self._is_answered = False
        return self._next_head()

    async def pieces(self) -> AsyncIterator[bytes]:
        """Yield the pieces of the answer's body."""
        for piece in self._reply.pieces:
            await self._wait(self._reply.pause)
            await self._check_link()
            yield piece
        if self._reply.breaks:
            raise ConnectionFault("broke off", True)
        self._is_idle = True
        self.idle_since = trio.current_time()

    async def skip_answer(self) -> AnswerHead:
        """Skip a stray answer and return the head of the next one.

        After the scripted answer, none follows until the connection is closed.
        """
        if self._is_answered:
            await self._wait(math.inf)
        return self._next_head()

    def is_reusable(self) -> bool:
        """Whether the connection can carry another request."""
        return self._is_idle and not self._closed.is_set()

    def close(self) -> None:
        """Close the connection."""
        if not self._closed.is_set():
            self._closed.set()
            self._connector.closed += 1
            self._connector._open.discard(self)

    async def _check_link(self) -> None:
        """Break the connection if its host is cut off and it doesn't live on."""
        cut = self._connector.cuts.get(self.host)
        if cut is LinkCut.HANG:
            await self._wait(_UNACKNOWLEDGED_SECONDS)
            self.close()
            raise ConnectionFault("timed out", True)
        if cut is LinkCut.RESET:
            self.close()
            raise ConnectionFault("reset", True)

    async def _wait(self, seconds: float) -> None:
        with trio.move_on_after(seconds):
            await self._closed.wait()
            raise ConnectionFault("closed meanwhile", True)

    def _next_head(self) -> AnswerHead:
        if self._strays:
            return self._strays.pop(0)
        self._is_answered = True
        if self._reply.head is None:
            raise ConnectionFault("closed without an answer", True)
        return self._reply.head


class _HostConnection:
    """Connection to another entry host, for one request."""

    def __init__(self, handler: ExchangeHandler, nursery: trio.Nursery):
        self._handler = handler
        self._nursery = nursery
        self._exchange: FakeExchange | None = None

    async def send(self, head: RequestHead, body: bytes) -> AnswerHead:
        """Pass the request to the host and return the head of its answer."""
        self._exchange = FakeExchange(head, body, trio.current_time())
        self._nursery.start_soon(self._handle, self._exchange)
        await self._exchange.wait_change(lambda each: each.has_begun)
        if not self._exchange.has_begun:
            raise ConnectionFault("closed without an answer", True)
        return self._exchange.answer_head

    async def pieces(self) -> AsyncIterator[bytes]:
        """Yield the pieces of the answer's body."""
        exchange = self._exchange
        count = 0
        while True:
            for piece in exchange.pieces[count:]:
                count += 1
                yield piece
            if exchange.is_complete:
                return
            if exchange.is_aborted:
                raise ConnectionFault("broke off", True)
            await exchange.wait_change(
                lambda each, known=count: len(each.pieces) > known
            )

    def close(self) -> None:
        """Close the connection, as when the caller leaves."""
        if self._exchange is not None and not self._exchange.is_complete:
            self._exchange.leave()

    async def _handle(self, exchange: "FakeExchange") -> None:
        try:
            await self._handler(exchange)
        except CallerGone:
            exchange.abort()


class FakeExchange:
    """A caller's request and the answer sent to the caller."""

    def __init__(self, head: RequestHead, body: bytes = b"", now: float = 0.0):
        self.head = head
        self.body = body
        self.arrived_at = now
        self.has_begun = False
        self.is_complete = False
        self.is_aborted = False
        self.answer_head: AnswerHead | None = None
        self.pieces: list[bytes] = []
        self._gone = trio.Event()
        self._changed = trio.Event()
        self._scope: trio.CancelScope | None = None

    @property
    def status(self) -> int:
        """Status sent to the caller, 0 if no answer has begun."""
        return 0 if self.answer_head is None else self.answer_head.status

    @property
    def received(self) -> bytes:
        """Body sent to the caller so far."""
        return b"".join(self.pieces)

    def leave(self) -> None:
        """Close the caller's connection."""
        self._gone.set()
        if self._scope is not None:
            self._scope.cancel()

    async def answer(self, answer: Answer) -> None:
        """Send a complete answer."""
        await self.begin(AnswerHead(answer.status, answer.headers), answer.body)
        await self.finish()

    async def begin(self, head: AnswerHead, data: bytes) -> None:
        """Send the head of an answer with the first piece of its body."""
        self.answer_head = head
        self.has_begun = True
        await self.send(data)

    async def send(self, data: bytes) -> None:
        """Send another piece, or raise `CallerGone` if the caller has left."""
        if self._gone.is_set():
            raise CallerGone
        self.pieces.append(data)
        self._notify()

    async def finish(self) -> None:
        """Mark the answer as complete."""
        self.is_complete = True
        self._notify()

    def abort(self) -> None:
        """Reset the caller's connection."""
        self.is_aborted = True
        self._notify()

    async def wait_change(self, is_met: "Callable[[FakeExchange], bool]") -> None:
        """Return once a condition is met or the answer has ended."""
        while not (is_met(self) or self.is_complete or self.is_aborted):
            await self._changed.wait()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    async def wait_disconnected(self) -> None:
        """Return once the caller has closed the connection."""
        await self._gone.wait()

    def cancel_when_disconnected(self, scope: trio.CancelScope) -> None:
        """Cancel `scope` once the caller has closed the connection."""
        self._scope = scope
        if self._gone.is_set():
            scope.cancel()
