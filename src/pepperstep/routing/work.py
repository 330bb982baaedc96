"""What a request asks of an upstream, as far as it can be told before."""

from collections.abc import Hashable
from dataclasses import dataclass

from pepperstep.entities import Request, RequestKind, Upstream

__all__ = ["WorkEstimate", "pool_key", "pool_keys"]


@dataclass(frozen=True, slots=True)
class WorkEstimate:
    """One attempt's work."""

    request: Request
    # Tokens to prefill without a cache, and those of them in the prompt.
    tokens: int
    prompt_tokens: int
    # Tokens that it will probably generate.
    answer_tokens: float
    # Hashes of the prompt's blocks, and the share of it that each covers.
    hashes: list[int]
    block_tokens: float

    @property
    def is_engine_work(self) -> bool:
        """Whether a model engine does it."""
        return self.request.kind is not RequestKind.SERVICE


def pool_key(request: Request) -> Hashable:
    """Return the key of the upstreams that serve a request."""
    if request.kind is RequestKind.SERVICE:
        return request.target
    return request.model_key


def pool_keys(upstream: Upstream) -> list[Hashable]:
    """Return the keys of all requests that an upstream serves."""
    keys: list[Hashable] = list(upstream.models)
    if upstream.service:
        keys.append(upstream.service)
    return keys
