"""Work of model engines that comes before the first token, as one host sees it.

An engine reads a prompt before it answers, but for the leading parts that it
still keeps. What a host has sent to an engine lately tells which parts these
are, and what it has sent without a first token yet how much others wait for.
"""

from collections import OrderedDict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from pepperstep.coordination import UpstreamKey
from pepperstep.ports.relaying import PromptPart

__all__ = ["PrefillTracker", "ReadingSpeed"]

# Parts that are remembered for each engine. With engines of 350,000 tokens and
# parts of 2,000, as many as an engine holds with some to spare.
_MAX_PARTS = 512
# Time for which an engine is believed to keep a part, in seconds: the bound up
# to which reading a part again is counted as waste.
_KEPT_SECONDS = 10.0
# Tokens that an engine reads in a second, before any first token has told.
_TOKENS_PER_SECOND = 36_000.0
# Prompts under so many tokens tell more of other delays than of reading.
_MEASURED_TOKENS = 2_000
# Time to the first token besides reading, in seconds.
_OVERHEAD_SECONDS = 0.02
# Part of the prompts that are read slower than the speed that is expected. Most have
# waited behind others, and some were kept by the engine without this host's knowledge
# and seem to be read many times as fast.
_SLOWER_PART = 0.8
# Change with each prompt, as a share of the speed.
_STEP = 0.05
_SLOWEST = 1_000.0


@dataclass(slots=True)
class _Engine:
    # Part and when it was used last, the latest at the end.
    parts: OrderedDict[str, float] = field(default_factory=OrderedDict)
    # Tokens sent that no first token has come of.
    unread: int = 0


class PrefillTracker:
    """Engines by the upstream's key."""

    def __init__(self, now: Callable[[], float]):
        self._now = now
        self._engines: dict[UpstreamKey, _Engine] = {}
        self.unread = 0

    def missing_tokens(self, upstream: UpstreamKey, parts: Sequence[PromptPart]) -> int:
        """Return the tokens that an engine has to read of a prompt."""
        engine = self._engines.get(upstream)
        total = sum(part.tokens for part in parts)
        if engine is None:
            return total
        oldest = self._now() - _KEPT_SECONDS
        for part in parts:
            if engine.parts.get(part.id, 0.0) < oldest:
                break
            total -= part.tokens
        return total

    def unread_of(self, upstream: UpstreamKey) -> int:
        """Return the tokens that were sent there and aren't read yet."""
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
        while len(engine.parts) > _MAX_PARTS:
            engine.parts.popitem(last=False)

    def end(self, upstream: UpstreamKey, missing: int) -> None:
        """Count a prompt that was read, or given up."""
        self.unread -= missing
        engine = self._engines.get(upstream)
        if engine is not None:
            engine.unread -= missing

    def forget(self, upstream: UpstreamKey) -> None:
        """Drop what is known of an engine that is gone, but for what is unread."""
        engine = self._engines.get(upstream)
        if engine is None:
            return
        engine.parts.clear()
        if not engine.unread:
            del self._engines[upstream]


class ReadingSpeed:
    """Tokens a second that engines read, from prompts and their first tokens."""

    def __init__(self) -> None:
        self.tokens_per_second = _TOKENS_PER_SECOND

    def note(self, tokens: int, seconds: float) -> None:
        """Take in that a prompt of `tokens` had its first token after `seconds`."""
        if tokens < _MEASURED_TOKENS:
            return
        speed = tokens / max(0.001, seconds - _OVERHEAD_SECONDS)
        if speed > self.tokens_per_second:
            self.tokens_per_second *= 1 + _STEP * _SLOWER_PART
        else:
            slower = self.tokens_per_second * (1 - _STEP * (1 - _SLOWER_PART))
            self.tokens_per_second = max(_SLOWEST, slower)

    def seconds_for(self, tokens: float) -> float:
        """Return the time to the first token behind so many unread tokens."""
        return _OVERHEAD_SECONDS + tokens / self.tokens_per_second
