"""Client interface of model engines and plain services (docs/INTERFACES.md)."""

import enum
from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass
from typing import Protocol

from pepperstep.entities import ModelKey, Request, Role, ServiceAnswer, Upstream

__all__ = [
    "CacheExport",
    "EndMark",
    "GenerateOrder",
    "OrderKind",
    "TokenChunk",
    "UpstreamClient",
    "UpstreamFault",
    "UpstreamLost",
    "UpstreamOrder",
    "UpstreamRefused",
    "UpstreamState",
]


class UpstreamFault(Exception):
    """Base class of failed calls to an upstream.

    `has_answered` is true if the upstream answered, which shows that it is alive.
    """

    has_answered = False


class UpstreamRefused(UpstreamFault):
    """The request did not run: no byte was sent, or the upstream refused it.

    `retry_after` is in seconds, None if the upstream stated no time.
    """

    def __init__(self, text: str, retry_after: float | None = None):
        super().__init__(text)
        self.retry_after = retry_after


class UpstreamLost(UpstreamFault):
    """The connection broke or the answer is invalid; the request may have run."""


@dataclass(frozen=True, slots=True)
class GenerateOrder:
    """One attempt to generate tokens, starting at position len(prefix)."""

    attempt_id: str
    model_key: ModelKey
    prompt: str
    # Tokens that earlier attempts generated.
    prefix: tuple[str, ...]
    # Maximum length of the whole answer, including the prefix.
    max_tokens: int
    seed: int
    priority: int
    # Attempt whose KV cache was imported into this engine, "" for none.
    imported_attempt: str = ""


@dataclass(frozen=True, slots=True)
class TokenChunk:
    """Consecutive tokens of an answer, starting at `position`."""

    attempt_id: str
    position: int
    tokens: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class EndMark:
    """End of an answer; `count` is its number of tokens, including the prefix."""

    attempt_id: str
    count: int
    # "stop" or "length".
    finish: str
    # Prompt and prefix tokens that were computed, and those found in the cache.
    computed_tokens: int = 0
    cached_tokens: int = 0


@dataclass(frozen=True, slots=True)
class CacheExport:
    """Size of a KV cache that was transferred to its target."""

    tokens: int
    size_bytes: int


class OrderKind(enum.StrEnum):
    """Operation that an upstream is told to perform."""

    LOAD = "load"
    UNLOAD = "unload"
    SET_ROLE = "set_role"
    DRAIN = "drain"


@dataclass(frozen=True, slots=True)
class UpstreamOrder:
    """An order with its fencing token, which increases with each order."""

    id: str
    kind: OrderKind
    fence: int
    model_key: ModelKey | None = None
    role: Role | None = None


@dataclass(frozen=True, slots=True)
class UpstreamState:
    """State that an upstream reports on request."""

    epoch: int
    models: frozenset[ModelKey]
    role: Role
    is_leaving: bool
    # Highest fencing token and last order that the upstream has accepted.
    fence: int
    last_order: str


class UpstreamClient(Protocol):
    """Client of upstreams; a broken connection is never reused."""

    def generate(
        self, upstream: Upstream, order: GenerateOrder
    ) -> AbstractAsyncContextManager[AsyncIterator[TokenChunk | EndMark]]:
        """Start an attempt and yield its chunks, then the end mark.

        Raise `UpstreamRefused` or `UpstreamLost` on entry or between chunks.
        Leaving the block early cancels the attempt.
        """

    async def cancel(self, upstream: Upstream, attempt_id: str) -> bool:
        """Cancel an attempt; return whether the upstream confirmed its end."""

    async def export_cache(
        self, upstream: Upstream, attempt_id: str, target: Upstream
    ) -> CacheExport:
        """Stop the attempt and transfer its KV cache to `target`."""

    async def call_service(
        self, upstream: Upstream, request: Request, attempt_id: str
    ) -> ServiceAnswer:
        """Send a request to a plain service and return the complete answer."""

    async def send_order(self, upstream: Upstream, order: UpstreamOrder) -> None:
        """Return once the upstream has accepted the order.

        Raise `UpstreamRefused` if its fencing token is outdated.
        """

    async def read_state(self, upstream: Upstream) -> UpstreamState:
        """Return the upstream's current state."""
