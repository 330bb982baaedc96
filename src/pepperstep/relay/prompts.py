"""Estimates of engines' prefill work: cached prompt parts, pending tokens and speed.

An engine prefills a prompt before the first token, except for the leading parts that
are in its prefix cache. A host infers the cached parts from the prompts that it sent to
the engine recently. Prompts without a first token yet are pending: new prompts wait
for them.
"""

from collections import OrderedDict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from pepperstep.coordination import UpstreamKey
from pepperstep.ports.relaying import PromptPart

__all__ = ["PrefillTracker", "PrefillRate"]

# Prompt parts remembered for each engine. An engine that caches 350,000 tokens in parts
# of 2,000 holds fewer.
_MAX_CACHED_PARTS = 512
# Time for which a part is assumed to stay cached. Prefilling a part again within this
# time counts as waste.
_CACHED_SECONDS = 10.0
# Prefill rate that is assumed before the first measurement.
_INITIAL_TOKENS_PER_SECOND = 36_000.0
# Smaller prompts aren't measured, as other delays dominate their time to first token.
_MIN_MEASURED_TOKENS = 2_000
# Part of the time to first token that isn't prefill.
_FIRST_TOKEN_OVERHEAD_SECONDS = 0.02
# Fraction of prompts that are slower than the estimated rate. Most prompts have waited
# behind others, and some were cached without this host's knowledge, which makes them
# appear many times as fast.
_SLOWER_QUANTILE = 0.8
# Relative change of the estimated rate with each prompt.
_ADJUSTMENT_STEP = 0.05
_MIN_TOKENS_PER_SECOND = 1_000.0


@dataclass(slots=True)
class _Engine:
    # Time of last use by prompt part, least recently used first.
    parts: OrderedDict[str, float] = field(default_factory=OrderedDict)
    # Tokens of prompts that were sent and have no first token yet.
    unread: int = 0


class PrefillTracker:
    """Cached prompt parts and unread tokens of engines, by the upstream's key.

    `unread` is the number of unread tokens at all engines.
    """

    def __init__(self, now: Callable[[], float]):
        self._now = now
        self._engines: dict[UpstreamKey, _Engine] = {}
        self.unread = 0

    def missing_tokens(self, upstream: UpstreamKey, parts: Sequence[PromptPart]) -> int:
        """Return the tokens of a prompt that an engine has to prefill."""
        engine = self._engines.get(upstream)
        total = sum(part.tokens for part in parts)
        if engine is None:
            return total
        oldest = self._now() - _CACHED_SECONDS
        for part in parts:
            if engine.parts.get(part.id, 0.0) < oldest:
                break
            total -= part.tokens
        return total

    def unread_of(self, upstream: UpstreamKey) -> int:
        """Return the tokens that an engine was sent and hasn't prefilled yet."""
        engine = self._engines.get(upstream)
        return 0 if engine is None else engine.unread

    def begin(
        self, upstream: UpstreamKey, parts: Sequence[PromptPart], missing: int
    ) -> None:
        """Count a prompt that is sent to an engine."""
        engine = self._engines.setdefault(upstream, _Engine())
        engine.unread += missing
        self.unread += missing
        now = self._now()
        for part in parts:
            engine.parts[part.id] = now
            engine.parts.move_to_end(part.id)
        while len(engine.parts) > _MAX_CACHED_PARTS:
            engine.parts.popitem(last=False)

    def end(self, upstream: UpstreamKey, missing: int) -> None:
        """Count a prompt as prefilled or abandoned."""
        self.unread -= missing
        engine = self._engines.get(upstream)
        if engine is not None:
            engine.unread -= missing

    def forget(self, upstream: UpstreamKey) -> None:
        """Drop the cached parts of an engine that is gone; keep its unread tokens."""
        engine = self._engines.get(upstream)
        if engine is None:
            return
        engine.parts.clear()
        if not engine.unread:
            del self._engines[upstream]


class PrefillRate:
    """Estimated prefill rate of engines, from the prompts' time to first token."""

    def __init__(self) -> None:
        self.tokens_per_second = _INITIAL_TOKENS_PER_SECOND

    def update(self, tokens: int, seconds: float) -> None:
        """Update the estimate with a prompt's tokens and time to first token."""
        if tokens < _MIN_MEASURED_TOKENS:
            return
        observed = tokens / max(0.001, seconds - _FIRST_TOKEN_OVERHEAD_SECONDS)
        if observed > self.tokens_per_second:
            self.tokens_per_second *= 1 + _ADJUSTMENT_STEP * _SLOWER_QUANTILE
        else:
            reduced = self.tokens_per_second * (
                1 - _ADJUSTMENT_STEP * (1 - _SLOWER_QUANTILE)
            )
            self.tokens_per_second = max(_MIN_TOKENS_PER_SECOND, reduced)

    def seconds_for(self, tokens: float) -> float:
        """Return the predicted time to first token after prefilling `tokens`."""
        return _FIRST_TOKEN_OVERHEAD_SECONDS + tokens / self.tokens_per_second
