"""Updates limits, breakers and statistics of upstreams from attempts."""

from typing import TYPE_CHECKING

from pepperstep.ports.upstreams import EndMark
from pepperstep.routing.breakers import BREAKERS
from pepperstep.routing.limits import LatencySample
from pepperstep.routing.prefixes import PrefixIndex
from pepperstep.routing.settings import RoutingSettings

if TYPE_CHECKING:
    from pepperstep.routing.placement import Placement

__all__ = ["Feedback"]

# Share of a limit in use from which a higher limit would be used.
_NEAR_LIMIT_SHARE = 0.8
# Share of the first-token target that queueing at the upstream may take.
_QUEUEING_TARGET_SHARE = 0.5
# Factor above the least time between tokens that batching alone may explain.
_GAP_TOLERANCE = 1.1


class Feedback:
    """Updates limits, breakers and averages as attempts progress."""

    def __init__(self, settings: RoutingSettings, prefixes: PrefixIndex):
        self._settings = settings
        self._record_result = BREAKERS[settings.breaker]
        self._prefixes = prefixes

    def record_first_token(self, placement: "Placement", now: float) -> None:
        """Record the time to an attempt's first token."""
        tracked = placement.tracked
        load = placement.upstream.load
        measured = now - placement.started_at
        unloaded = placement.uncached_tokens * load.prefill_seconds
        unloaded += load.decode_seconds
        overhead = max(0.0, measured - unloaded)
        tracked.record_liveness(placement.started_at, now)
        tracked.overhead.add(overhead)
        placement.pool.first_token.add(measured)
        if placement.predicted is not None:
            excess = measured - placement.predicted - load.decode_seconds
            tracked.excess.add(max(0.0, excess), now)
        expected = unloaded + tracked.least_overhead.add(overhead, now)
        slack = _QUEUEING_TARGET_SHARE * placement.targets.first_token
        self._adapt_limit(placement, measured, expected, slack, now)
        typical, _ = placement.pool.lower_quartiles(now)
        self._compare_with_pool(
            placement, overhead, typical, self._settings.slow_seconds, now
        )

    def record_gap(self, placement: "Placement", gap: float, now: float) -> None:
        """Record a mean time between tokens."""
        tracked = placement.tracked
        tracked.gap.add(gap)
        minimum = tracked.least_gap.add(gap, now) * _GAP_TOLERANCE
        target = placement.targets.between_tokens
        expected = max(target, minimum) / self._settings.limit_tolerance
        self._adapt_limit(placement, gap, expected, 0.0, now)
        _, typical = placement.pool.lower_quartiles(now)
        self._compare_with_pool(placement, gap, typical, target, now)

    def record_answer(
        self, placement: "Placement", mark: EndMark | None, now: float
    ) -> None:
        """Record a complete answer; `mark` is None for a plain service's."""
        tracked = placement.tracked
        held = now - placement.started_at
        tracked.record_liveness(placement.started_at, now)
        tracked.failures.add(0.0, now)
        tracked.hold_time.add(held)
        request = placement.waiter.work.request
        placement.pool.hold_time.add(held)
        placement.pool.hold_times[request.priority].add(held)
        if mark is None:
            placement.pool.first_token.add(held)
        else:
            self._record_token_counts(placement, mark)
        if not placement.is_slow:
            self._record_result(tracked.breaker, True, now)

    def record_refusal(self, placement: "Placement", is_busy: bool, now: float) -> None:
        """Record a refusal, which counts as a failure unless the upstream is busy."""
        if not is_busy:
            self.record_loss(placement, now)
            return
        placement.tracked.record_liveness(placement.started_at, now)
        self._adapt_limit(placement, 1.0, 0.0, 0.0, now)

    def record_loss(self, placement: "Placement", now: float) -> None:
        """Record a failed attempt."""
        tracked = placement.tracked
        tracked.record_failure(now)
        tracked.failures.add(1.0, now)
        self._record_result(tracked.breaker, False, now)

    def _adapt_limit(
        self,
        placement: "Placement",
        measured: float,
        expected: float,
        slack: float,
        now: float,
    ) -> None:
        tracked = placement.tracked
        is_limited = tracked.total >= _NEAR_LIMIT_SHARE * tracked.limit.value
        sample = LatencySample(measured, expected, slack, is_limited)
        tracked.limit.update(sample, self._settings.limit_tolerance, now)

    def _compare_with_pool(
        self,
        placement: "Placement",
        measured: float,
        typical: float,
        minimum: float,
        now: float,
    ) -> None:
        """Count an attempt as failed if it is slow compared to other upstreams."""
        if placement.is_slow or typical == 0.0 and minimum == 0.0:
            return
        if measured > max(minimum, self._settings.slow_factor * typical):
            placement.is_slow = True
            self._record_result(placement.tracked.breaker, False, now)

    def _record_token_counts(self, placement: "Placement", mark: EndMark) -> None:
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
            self._prefixes.record_hits(name, placement.expected_blocks, found)
