"""Calls to model engines and plain services (docs/INTERFACES.md)."""

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
    """An upstream did not do its work; see the subclasses.

    `has_answered` tells that it answered, and so lives.
    """

    has_answered = False


class UpstreamRefused(UpstreamFault):
    """The request surely did not run: no byte was sent, or it was refused.

    `retry_after` is in seconds, None if the upstream named no time.
    """

    def __init__(self, text: str, retry_after: float | None = None):
        super().__init__(text)
        self.retry_after = retry_after


class UpstreamLost(UpstreamFault):
    """The connection broke or the answer is damaged: it may have run."""


@dataclass(frozen=True, slots=True)
class GenerateOrder:
    """One attempt to generate tokens, from the position len(prefix) on."""

    attempt_id: str
    model_key: ModelKey
    prompt: str
    # Tokens that earlier attempts have generated.
    prefix: tuple[str, ...]
    # Tokens of the whole answer, prefix included.
    max_tokens: int
    seed: int
    priority: int
    # Attempt whose KV cache was imported here, "" for none.
    imported_attempt: str = ""


@dataclass(frozen=True, slots=True)
class TokenChunk:
    """Tokens in a row, the first of which stands at `position`."""

    attempt_id: str
    position: int
    tokens: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class EndMark:
    """End of an answer with the count of its tokens, prefix included."""

    attempt_id: str
    count: int
    # "stop" or "length".
    finish: str
    # Tokens of prompt and prefix that were computed, and found in the cache.
    computed_tokens: int = 0
    cached_tokens: int = 0


@dataclass(frozen=True, slots=True)
class CacheExport:
    """Size of a KV cache that has arrived at its target."""

    tokens: int
    size_bytes: int


class OrderKind(enum.StrEnum):
    """What an order tells an upstream to do."""

    LOAD = "load"
    UNLOAD = "unload"
    SET_ROLE = "set_role"
    DRAIN = "drain"


@dataclass(frozen=True, slots=True)
class UpstreamOrder:
    """An order with its fencing number, which grows with each order."""

    id: str
    kind: OrderKind
    fence: int
    model_key: ModelKey | None = None
    role: Role | None = None


@dataclass(frozen=True, slots=True)
class UpstreamState:
    """What an upstream answers when its state is read back."""

    epoch: int
    models: frozenset[ModelKey]
    role: Role
    is_leaving: bool
    # Highest fencing number and last order that it has accepted.
    fence: int
    last_order: str


class UpstreamClient(Protocol):
    """Client of upstreams; a connection that broke is never used again."""

    def generate(
        self, upstream: Upstream, order: GenerateOrder
    ) -> AbstractAsyncContextManager[AsyncIterator[TokenChunk | EndMark]]:
        """Open an attempt and yield its chunks up to the end mark.

        Raise `UpstreamRefused` or `UpstreamLost` at entry or between chunks.
        Leaving the block early cancels the attempt.
        """

    async def cancel(self, upstream: Upstream, attempt_id: str) -> bool:
        """Return whether the upstream confirmed that the attempt has ended."""

    async def export_cache(
        self, upstream: Upstream, attempt_id: str, target: Upstream
    ) -> CacheExport:
        """Stop the attempt and send its KV cache to `target`."""

    async def call_service(
        self, upstream: Upstream, request: Request, attempt_id: str
    ) -> ServiceAnswer:
        """Return the whole answer of a plain service."""

    async def send_order(self, upstream: Upstream, order: UpstreamOrder) -> None:
        """Return once the upstream has accepted the order.

        Raise `UpstreamRefused` if its fencing number is old.
        """

    async def read_state(self, upstream: Upstream) -> UpstreamState:
        """Return the state as the upstream has it now."""
