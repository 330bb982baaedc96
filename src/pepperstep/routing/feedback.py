"""What attempts teach about their upstreams."""

from typing import TYPE_CHECKING

from pepperstep.ports.upstreams import EndMark
from pepperstep.routing.breakers import BREAKERS
from pepperstep.routing.limits import LatencySample
from pepperstep.routing.prefixes import PrefixIndex
from pepperstep.routing.settings import RoutingSettings

if TYPE_CHECKING:
    from pepperstep.routing.placement import Placement

__all__ = ["Feedback"]

# Part of a limit from which on more would be of use.
_NEARLY = 0.8
# Part of the first token's target that may go to queueing at the upstream.
_TARGET_PART = 0.5
# A time between tokens above the least one by this may be the batch's size.
_GAP_MARGIN = 1.1


class Feedback:
    """Feeds limits, breakers and averages with the course of attempts."""

    def __init__(self, settings: RoutingSettings, prefixes: PrefixIndex):
        self._settings = settings
        self._note_breaker = BREAKERS[settings.breaker]
        self._prefixes = prefixes

    def note_first_token(self, placement: "Placement", now: float) -> None:
        """Note the time to an attempt's first token."""
        tracked = placement.tracked
        load = placement.upstream.load
        measured = now - placement.started_at
        unloaded = placement.uncached_tokens * load.prefill_seconds
        unloaded += load.decode_seconds
        overhead = max(0.0, measured - unloaded)
        tracked.note_alive(placement.started_at, now)
        tracked.overhead.add(overhead)
        placement.pool.first_token.add(measured)
        if placement.predicted is not None:
            excess = measured - placement.predicted - load.decode_seconds
            tracked.excess.add(max(0.0, excess), now)
        expected = unloaded + tracked.least_overhead.add(overhead, now)
        slack = _TARGET_PART * placement.targets.first_token
        self._adapt(placement, measured, expected, slack, now)
        typical, _ = placement.pool.typical(now)
        self._judge(placement, overhead, typical, self._settings.slow_seconds, now)

    def note_gap(self, placement: "Placement", gap: float, now: float) -> None:
        """Note the time between tokens over some of them."""
        tracked = placement.tracked
        tracked.gap.add(gap)
        least = tracked.least_gap.add(gap, now) * _GAP_MARGIN
        target = placement.targets.between_tokens
        expected = max(target, least) / self._settings.limit_tolerance
        self._adapt(placement, gap, expected, 0.0, now)
        _, typical = placement.pool.typical(now)
        self._judge(placement, gap, typical, target, now)

    def record_answer(
        self, placement: "Placement", mark: EndMark | None, now: float
    ) -> None:
        """Note a whole answer; `mark` is None for a plain service's."""
        tracked = placement.tracked
        held = now - placement.started_at
        tracked.note_alive(placement.started_at, now)
        tracked.failures.add(0.0, now)
        tracked.hold.add(held)
        request = placement.waiter.work.request
        placement.pool.hold.add(held)
        placement.pool.holds[request.priority].add(held)
        if mark is None:
            placement.pool.first_token.add(held)
        else:
            self._note_counts(placement, mark)
        if not placement.is_slow:
            self._note_breaker(tracked.breaker, True, now)

    def record_refusal(self, placement: "Placement", is_busy: bool, now: float) -> None:
        """Note a refusal, which is no fault if the upstream is only busy."""
        if not is_busy:
            self.record_loss(placement, now)
            return
        placement.tracked.note_alive(placement.started_at, now)
        self._adapt(placement, 1.0, 0.0, 0.0, now)

    def record_loss(self, placement: "Placement", now: float) -> None:
        """Note an attempt that failed."""
        tracked = placement.tracked
        tracked.note_failed(now)
        tracked.failures.add(1.0, now)
        self._note_breaker(tracked.breaker, False, now)

    def _adapt(
        self,
        placement: "Placement",
        measured: float,
        expected: float,
        slack: float,
        now: float,
    ) -> None:
        tracked = placement.tracked
        is_limited = tracked.total >= _NEARLY * tracked.limit.value
        sample = LatencySample(measured, expected, slack, is_limited)
        tracked.limit.note(sample, self._settings.limit_tolerance, now)

    def _judge(
        self,
        placement: "Placement",
        measured: float,
        typical: float,
        least: float,
        now: float,
    ) -> None:
        """Count an attempt as failed that is slow next to the other upstreams."""
        if placement.is_slow or typical == 0.0 and least == 0.0:
            return
        if measured > max(least, self._settings.slow_factor * typical):
            placement.is_slow = True
            self._note_breaker(placement.tracked.breaker, False, now)

    def _note_counts(self, placement: "Placement", mark: EndMark) -> None:
        work = placement.waiter.work
        request = work.request
        if request.max_tokens:
            share = min(1.0, mark.count / request.max_tokens)
            placement.pool.answer_shares[request.priority].add(share)
        counted = mark.computed_tokens + mark.cached_tokens
        prompt_tokens = counted - (work.tokens - work.prompt_tokens)
        if request.prompt and prompt_tokens > 0:
            ratio = prompt_tokens / len(request.prompt)
            placement.pool.tokens_per_character.add(ratio)
        if counted and work.block_tokens:
            found = mark.cached_tokens / work.block_tokens
            name = placement.upstream.name
            self._prefixes.note_found(name, placement.expected_blocks, found)
