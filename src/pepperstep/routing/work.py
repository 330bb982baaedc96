"""Estimates of the work of an attempt before it runs."""

from collections.abc import Hashable
from dataclasses import dataclass

from pepperstep.entities import Request, RequestKind, Upstream

__all__ = ["WorkEstimate", "pool_key", "pool_keys"]


@dataclass(frozen=True, slots=True)
class WorkEstimate:
    """Estimated work of one attempt."""

    request: Request
    # Tokens to prefill without a cache: prompt and earlier attempts' tokens.
    tokens: int
    prompt_tokens: int
    # Expected tokens to generate.
    answer_tokens: float
    # Hashes of the prompt's blocks, empty if prefixes don't matter.
    hashes: list[int]
    # Prompt tokens per block.
    block_tokens: float

    @property
    def is_engine_work(self) -> bool:
        """Whether a model engine does the work, not a plain service."""
        return self.request.kind is not RequestKind.SERVICE


def pool_key(request: Request) -> Hashable:
    """Return the key of the pool that serves a request."""
    if request.kind is RequestKind.SERVICE:
        return request.target
    return request.model_key


def pool_keys(upstream: Upstream) -> list[Hashable]:
    """Return the keys of the pools that an upstream belongs to."""
    keys: list[Hashable] = list(upstream.models)
    if upstream.service:
        keys.append(upstream.service)
    return keys
