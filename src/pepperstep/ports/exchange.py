"""HTTP messages as they cross the edges of a host, whole and unchanged."""

from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from typing import Protocol

__all__ = [
    "Answer",
    "AnswerHead",
    "CallerGone",
    "ConnectionFault",
    "Exchange",
    "Header",
    "RequestHead",
    "UpstreamConnection",
    "UpstreamConnector",
]

# Name and value, the name in lower case.
Header = tuple[bytes, bytes]


@dataclass(frozen=True, slots=True)
class RequestHead:
    """A request without its body; `target` is the path with its query."""

    method: bytes
    target: bytes
    headers: tuple[Header, ...]

    def first(self, name: bytes) -> bytes:
        """Return the first value of a header, b"" if there is none."""
        return _first(self.headers, name)


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """An answer without its body."""

    status: int
    headers: tuple[Header, ...]

    def first(self, name: bytes) -> bytes:
        """Return the first value of a header, b"" if there is none."""
        return _first(self.headers, name)


@dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer."""

    status: int
    body: bytes = b""
    headers: tuple[Header, ...] = field(default=())


class CallerGone(Exception):
    """The caller's connection has ended."""


class ConnectionFault(Exception):
    """A connection to an upstream failed.

    `was_sent` tells whether any byte of the request may have arrived.
    """

    def __init__(self, text: str, was_sent: bool):
        super().__init__(text)
        self.text = text
        self.was_sent = was_sent


class Exchange(Protocol):
    """One request of a caller, which gets one answer.

    Each sending method raises `CallerGone` once the connection has ended.
    """

    head: RequestHead
    body: bytes
    # Monotonic time at which the request's first byte was seen.
    arrived_at: float
    # Whether any byte of the answer was sent.
    has_begun: bool

    async def answer(self, answer: Answer) -> None:
        """Send a whole answer."""

    async def begin(self, head: AnswerHead, data: bytes) -> None:
        """Send an answer's head with the first piece of its body."""

    async def send(self, data: bytes) -> None:
        """Send a further piece."""

    async def finish(self) -> None:
        """End the answer as complete."""

    def abort(self) -> None:
        """Break the connection off, so that the answer can't look complete."""

    async def wait_disconnected(self) -> None:
        """Return once the caller has closed the connection."""


class UpstreamConnection(Protocol):
    """A connection that carries one request at a time."""

    # Monotonic time at which the latest answer was complete.
    idle_since: float

    async def send(self, head: RequestHead, body: bytes) -> AnswerHead:
        """Send a request and return the head of its answer.

        Raise `ConnectionFault`.
        """

    def pieces(self) -> AsyncIterator[bytes]:
        """Yield the answer's body; raise `ConnectionFault` if it broke off."""

    async def skip_answer(self) -> AnswerHead:
        """Read over the present answer and return the head of the next.

        Raise `ConnectionFault`.
        """

    def is_reusable(self) -> bool:
        """Whether another request may be sent: all is read and nothing more came."""

    def close(self) -> None:
        """Close the connection, which ends what the upstream does for it.

        A task that sends or reads at the same time gets a `ConnectionFault`.
        """


class UpstreamConnector(Protocol):
    """Opens connections to upstreams."""

    async def connect(self, address: str, timeout: float) -> UpstreamConnection:
        """Return a new connection to host:port.

        Raise `ConnectionFault` after `timeout` seconds, or if it's refused.
        """


# Answers a caller's request.
ExchangeHandler = Callable[[Exchange], Awaitable[None]]


def _first(headers: tuple[Header, ...], name: bytes) -> bytes:
    for key, value in headers:
        if key == name:
            return value
    return b""
