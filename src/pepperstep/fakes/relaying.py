"""Fakes of what the relay meets outside: callers and upstreams over HTTP."""

from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field

import trio

from pepperstep.ports.exchange import (
    Answer,
    AnswerHead,
    CallerGone,
    ConnectionFault,
    RequestHead,
)

__all__ = ["FakeConnector", "FakeExchange", "Reply", "Sent"]


@dataclass(frozen=True, slots=True)
class Reply:
    """What a scripted upstream does with a request."""

    head: AnswerHead | None = None
    pieces: tuple[bytes, ...] = ()
    # Whether the connection breaks behind the pieces.
    breaks: bool = False
    # Seconds before the head, and between two pieces.
    delay: float = 0.0
    pause: float = 0.0
    # Another request's answer that stands before this one.
    stray: AnswerHead | None = None


@dataclass(frozen=True, slots=True)
class Sent:
    """A request as an upstream has received it."""

    address: str
    head: RequestHead
    body: bytes
    time: float
    # The host that sent it, "" where hosts share a connector.
    host: str = ""


Script = Callable[[Sent], Reply | Awaitable[Reply]]


@dataclass
class FakeConnector:
    """Upstreams by address; each answers by its script.

    An address without a script refuses connections.
    """

    scripts: dict[str, Script] = field(default_factory=dict)
    sent: list[Sent] = field(default_factory=list)
    opened: int = 0
    closed: int = 0

    async def connect(
        self, address: str, timeout: float, host: str = ""
    ) -> "_FakeConnection":
        """Return a new connection."""
        await trio.sleep(0.0005)
        if address not in self.scripts:
            raise ConnectionFault("refused", False)
        self.opened += 1
        return _FakeConnection(self, address, host)

    def for_host(self, host: str) -> "_HostConnector":
        """Return a connector to the same upstreams that names the sending host."""
        return _HostConnector(self, host)


@dataclass(frozen=True)
class _HostConnector:
    """One host's connector."""

    _connector: FakeConnector
    _host: str

    async def connect(self, address: str, timeout: float) -> "_FakeConnection":
        """Return a new connection."""
        return await self._connector.connect(address, timeout, self._host)


class _FakeConnection:
    """A connection to a scripted upstream."""

    def __init__(self, connector: FakeConnector, address: str, host: str):
        self._connector = connector
        self._host = host
        self._address = address
        self._reply = Reply()
        self._is_whole = True
        self._closed = trio.Event()
        self.idle_since = trio.current_time()

    async def send(self, head: RequestHead, body: bytes) -> AnswerHead:
        """Hand the request to the script and return the head of its answer."""
        now = trio.current_time()
        sent = Sent(self._address, head, body, now, self._host)
        self._connector.sent.append(sent)
        self._is_whole = False
        script = self._connector.scripts.get(self._address)
        if script is None:
            raise ConnectionFault("reset", True)
        self._reply = script(sent)
        await self._wait(self._reply.delay)
        if self._reply.stray is not None:
            return self._reply.stray
        return self._own_head()

    async def pieces(self) -> AsyncIterator[bytes]:
        """Yield the answer's body."""
        for piece in self._reply.pieces:
            await self._wait(self._reply.pause)
            yield piece
        if self._reply.breaks:
            raise ConnectionFault("broke off", True)
        self._is_whole = True
        self.idle_since = trio.current_time()

    async def skip_answer(self) -> AnswerHead:
        """Return the head of the awaited answer behind the stray one."""
        return self._own_head()

    def is_reusable(self) -> bool:
        """Whether another request may be sent."""
        return self._is_whole and not self._closed.is_set()

    def close(self) -> None:
        """Close the connection."""
        if not self._closed.is_set():
            self._closed.set()
            self._connector.closed += 1

    async def _wait(self, seconds: float) -> None:
        with trio.move_on_after(seconds):
            await self._closed.wait()
            raise ConnectionFault("closed meanwhile", True)

    def _own_head(self) -> AnswerHead:
        if self._reply.head is None:
            raise ConnectionFault("closed without an answer", True)
        return self._reply.head


class FakeExchange:
    """A caller's request, and what the caller gets."""

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

    @property
    def status(self) -> int:
        """Status that the caller got, 0 for none."""
        return 0 if self.answer_head is None else self.answer_head.status

    @property
    def received(self) -> bytes:
        """All of the body that the caller got."""
        return b"".join(self.pieces)

    def leave(self) -> None:
        """Close the caller's connection."""
        self._gone.set()

    async def answer(self, answer: Answer) -> None:
        """Take a whole answer."""
        await self.begin(AnswerHead(answer.status, answer.headers), answer.body)
        await self.finish()

    async def begin(self, head: AnswerHead, data: bytes) -> None:
        """Take an answer's head with the first piece."""
        self.answer_head = head
        self.has_begun = True
        await self.send(data)

    async def send(self, data: bytes) -> None:
        """Take a further piece."""
        if self._gone.is_set():
            raise CallerGone
        self.pieces.append(data)

    async def finish(self) -> None:
        """Take the answer's end."""
        self.is_complete = True

    def abort(self) -> None:
        """Take the connection's reset."""
        self.is_aborted = True

    async def wait_disconnected(self) -> None:
        """Return once the caller has left."""
        await self._gone.wait()
