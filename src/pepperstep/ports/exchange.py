"""HTTP messages between callers, a host and upstreams, passed on unmodified."""

import enum
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from typing import Protocol

import trio

__all__ = [
    "Answer",
    "AnswerHead",
    "CallerGone",
    "ConnectionFault",
    "Exchange",
    "Framing",
    "Header",
    "RequestHead",
    "UpstreamConnection",
    "UpstreamConnector",
]

_STATUSES_WITHOUT_BODY = frozenset((204, 205, 304))

# Name and value, the name in lower case.
Header = tuple[bytes, bytes]


@dataclass(frozen=True, slots=True)
class RequestHead:
    """Request line and headers; `target` is the path with the query string."""

    method: bytes
    target: bytes
    headers: tuple[Header, ...]

    def first(self, name: bytes) -> bytes:
        """Return the first value of a header, b"" if there is none."""
        return _first_value(self.headers, name)


class Framing(enum.StrEnum):
    """What marks the end of an answer's body (RFC 9112, section 6)."""

    LENGTH = "length"
    CHUNKED = "chunked"
    # The end of the connection, which a break may bring about as well.
    CLOSE = "close"


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and headers of an answer."""

    status: int
    headers: tuple[Header, ...]

    @property
    def framing(self) -> Framing:
        """How the body is framed; one that can't be there has the length 0."""
        if self.status in _STATUSES_WITHOUT_BODY:
            return Framing.LENGTH
        if self.first(b"transfer-encoding"):
            return Framing.CHUNKED
        if self.first(b"content-length"):
            return Framing.LENGTH
        return Framing.CLOSE

    def first(self, name: bytes) -> bytes:
        """Return the first value of a header, b"" if there is none."""
        return _first_value(self.headers, name)


@dataclass(frozen=True, slots=True)
class Answer:
    """A complete answer."""

    status: int
    body: bytes = b""
    headers: tuple[Header, ...] = field(default=())


class CallerGone(Exception):
    """The caller has closed its connection."""


class ConnectionFault(Exception):
    """A connection to an upstream failed.

    `was_sent` is true if any byte of the request may have reached the upstream.
    """

    def __init__(self, text: str, was_sent: bool):
        super().__init__(text)
        self.text = text
        self.was_sent = was_sent


class Exchange(Protocol):
    """One request of a caller and its answer.

    Each sending method raises `CallerGone` once the connection is closed.
    """

    head: RequestHead
    body: bytes
    # Monotonic time at which the request's first byte arrived.
    arrived_at: float
    # Whether any byte of the answer has been sent.
    has_begun: bool

    async def answer(self, answer: Answer) -> None:
        """Send a complete answer."""

    async def begin(self, head: AnswerHead, data: bytes) -> None:
        """Send the head of a streamed answer with the first chunk of its body."""

    async def send(self, data: bytes) -> None:
        """Send the next chunk of the body."""

    async def finish(self) -> None:
        """Complete a streamed answer."""

    def abort(self) -> None:
        """Abort the connection, so that a partial answer can't look complete."""

    async def wait_disconnected(self) -> None:
        """Return once the caller has closed the connection."""

    def cancel_when_disconnected(self, scope: trio.CancelScope) -> None:
        """Cancel `scope` once the caller has closed the connection.

        This replaces the scope of an earlier call.
        """


class UpstreamConnection(Protocol):
    """A connection that carries one request at a time."""

    # Monotonic time at which the latest answer was completely read.
    idle_since: float

    async def send(self, head: RequestHead, body: bytes) -> AnswerHead:
        """Send a request and return the head of its answer.

        Raise `ConnectionFault`.
        """

    def pieces(self) -> AsyncIterator[bytes]:
        """Yield the body in chunks; raise `ConnectionFault` if it is truncated."""

    async def skip_answer(self) -> AnswerHead:
        """Discard the current answer and return the head of the next one.

        Raise `ConnectionFault`.
        """

    def is_reusable(self) -> bool:
        """Whether the answer is fully read and no unexpected bytes followed it."""

    def close(self) -> None:
        """Close the connection, which cancels the request at the upstream.

        A task that is sending or reading then gets a `ConnectionFault`.
        """


class UpstreamConnector(Protocol):
    """Opens connections to upstreams."""

    async def connect(self, address: str, timeout: float) -> UpstreamConnection:
        """Return a new connection to host:port.

        Raise `ConnectionFault` after `timeout` seconds or on a refused connection.
        """


# Answers a caller's request.
ExchangeHandler = Callable[[Exchange], Awaitable[None]]


def _first_value(headers: tuple[Header, ...], name: bytes) -> bytes:
    for key, value in headers:
        if key == name:
            return value
    return b""
