"""The slot of an upstream that one attempt occupies."""

from collections.abc import Callable
from dataclasses import dataclass

from pepperstep.entities import Upstream
from pepperstep.ports import Timers
from pepperstep.ports.upstreams import EndMark
from pepperstep.routing.feedback import Feedback
from pepperstep.routing.pools import Pool
from pepperstep.routing.queue import Waiter
from pepperstep.routing.service_levels import Targets
from pepperstep.routing.tracked import TrackedUpstream

__all__ = ["AttemptFailure", "Placement"]

# Number of tokens over which the time between tokens is averaged.
_GAP_TOKENS = 16
# A cancelled attempt counts as failed if its upstream was silent for at least
# this long; the time allowed also grows with the predicted first token.
_STALL_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class AttemptFailure:
    """How an attempt failed; kept until the request's next attempt."""

    upstream: str
    epoch: int
    is_refused: bool = False
    # Whether the upstream refused with a time to retry after, so is only busy.
    is_busy: bool = False


class Placement:
    """A slot held by one attempt; a context manager that releases it on exit."""

    def __init__(
        self,
        tracked: TrackedUpstream,
        pool: Pool,
        waiter: Waiter,
        feedback: Feedback,
        timers: Timers,
        on_release: Callable[["Placement"], None],
    ):
        self.upstream: Upstream = tracked.upstream
        self.tracked = tracked
        self.pool = pool
        self.waiter = waiter
        self.failure: AttemptFailure | None = None
        self.started_at = timers.now()
        # Tokens predicted to need prefill.
        self.uncached_tokens = float(waiter.work.tokens)
        # Prompt blocks predicted to be in the prefix cache.
        self.expected_blocks = 0.0
        # Predicted seconds to the first token, without the penalty for history.
        self.predicted: float | None = None
        self.targets = Targets()
        self.is_slow = False
        self.is_probe = False
        self._feedback = feedback
        self._timers = timers
        self._on_release = on_release
        self._tokens = 0
        self._last_token_at = self.started_at
        self._gap_started_at = self.started_at
        self._gap_tokens = 0
        self._is_recorded = False

    def __enter__(self) -> "Placement":
        return self

    def __exit__(self, error_type, error, traceback) -> None:
        if not self._is_recorded:
            self._infer_outcome(is_whole=error_type is None)
        self._on_release(self)

    def record_tokens(self, count: int) -> None:
        """Record the arrival of tokens."""
        now = self._timers.now()
        if not self._tokens:
            self._end_prefill()
            self._feedback.record_first_token(self, now)
            self._gap_started_at = now
            self._gap_tokens = -count
        self._tokens += count
        self._gap_tokens += count
        self._last_token_at = now
        if self._gap_tokens >= _GAP_TOKENS:
            gap = (now - self._gap_started_at) / self._gap_tokens
            self._feedback.record_gap(self, gap, now)
            self._gap_started_at = now
            self._gap_tokens = 0

    def record_answer(self, mark: EndMark | None = None) -> None:
        """Record that the answer is complete."""
        self._is_recorded = True
        self._feedback.record_answer(self, mark, self._timers.now())

    def record_refusal(self, retry_after: float | None) -> None:
        """Record that the upstream refused the attempt, which did not run."""
        self._is_recorded = True
        is_busy = retry_after is not None
        self.failure = AttemptFailure(
            self.upstream.name, self.upstream.epoch, True, is_busy
        )
        self._feedback.record_refusal(self, is_busy, self._timers.now())

    def record_loss(self) -> None:
        """Record that the connection broke or the answer was damaged."""
        self._is_recorded = True
        self.failure = AttemptFailure(self.upstream.name, self.upstream.epoch)
        self._feedback.record_loss(self, self._timers.now())

    def release(self) -> None:
        """Release a slot on which no attempt was started."""
        self._is_recorded = True
        self._on_release(self)

    def end(self, now: float) -> None:
        """Remove the attempt from its upstream's counts."""
        if not self._tokens:
            self._end_prefill()
        if self.is_probe:
            self.tracked.breaker.probes -= 1
        self.tracked.record_end(now)

    def _end_prefill(self) -> None:
        self.tracked.pending_tokens -= round(self.uncached_tokens)

    def _infer_outcome(self, is_whole: bool) -> None:
        """Record an outcome that the caller did not record.

        A block that ends without an error is an answered call of a service. An
        attempt cut off while its upstream was silent is a failure; any other is a
        cancellation and counts neither way.
        """
        now = self._timers.now()
        if is_whole:
            self._feedback.record_answer(self, None, now)
        elif now - self._last_token_at > _STALL_SECONDS + 2 * (self.predicted or 0.0):
            self._feedback.record_loss(self, now)
