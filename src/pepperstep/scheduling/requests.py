"""Requests for a placement at an upstream, and the decisions on them."""

import enum
import math
from dataclasses import dataclass

from pepperstep.coordination import UpstreamKey
from pepperstep.ports.relaying import PromptPart

__all__ = ["Placement", "PlacementRequest", "Refusal", "RefusalReason", "Running"]


class RefusalReason(enum.StrEnum):
    """The limit that refused a request."""

    # No usable upstream has a free slot or a place in its queue.
    NO_UPSTREAM = "no upstream"
    # No upstream is predicted to meet the latency target.
    LATE = "late"
    # The workspace exceeds its fair share.
    SHARE = "share"
    # More urgent requests need the remaining capacity.
    PRIORITY = "priority"


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """One attempt of a caller's request that needs an upstream; times in seconds."""

    # Unique for each attempt.
    id: str
    # Peer address of the requesting host.
    host: str
    # "" on public routes.
    workspace: str = ""
    # Weight of the workspace relative to others, above 0.
    weight: float = 1.0
    # 0 is the most urgent.
    priority: int = 0
    # Empty for requests without a prompt.
    parts: tuple[PromptPart, ...] = ()
    # Expected tokens of the answer, 0 if unknown.
    answer_tokens: int = 0
    # Time left until the latency target, negative if it has passed, inf without one.
    target: float = math.inf
    # The route's whole latency target, 0 without one.
    full_target: float = 0.0
    # Time left until the caller's deadline.
    remaining: float = math.inf
    # Elapsed fraction of the time that callers of the route usually have. Above 0 for
    # callers that retry after a refusal.
    waited_share: float = 0.0
    # Whether an earlier attempt of the request was admitted.
    is_retry: bool = False
    # Ids of upstreams that the request can't be sent to.
    excluded: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Placement:
    """The upstream chosen for a request."""

    upstream: str
    incarnation: int
    # Prompt tokens that the upstream is expected to prefill.
    missing: int
    # Predicted seconds until the first token, or until the answer of a plain service.
    expected: float

    @property
    def key(self) -> UpstreamKey:
        """Identity of the upstream's incarnation."""
        return self.upstream, self.incarnation


@dataclass(frozen=True, slots=True)
class Refusal:
    """A refused request; times in seconds."""

    reason: RefusalReason
    # Time after which the caller shall retry.
    retry_after: float
    # Predicted delay of the shard's best upstream.
    delay: float


@dataclass(frozen=True, slots=True)
class Running:
    """An in-flight request, as its host reports it to a new owner of the shard."""

    id: str
    upstream: str
    incarnation: int
    workspace: str
    # Prompt tokens that the upstream hasn't prefilled yet.
    missing: int
    # Seconds since the request was sent.
    age: float
