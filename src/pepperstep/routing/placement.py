"""One attempt's place on an upstream."""

from collections.abc import Callable
from dataclasses import dataclass

from pepperstep.entities import Upstream
from pepperstep.ports import Timers
from pepperstep.ports.upstreams import EndMark
from pepperstep.routing.feedback import Feedback
from pepperstep.routing.pools import Pool
from pepperstep.routing.queue import Waiter
from pepperstep.routing.terms import Targets
from pepperstep.routing.tracked import TrackedUpstream

__all__ = ["Ending", "Placement"]

# Tokens over which the time between tokens is a mean.
_GAP_TOKENS = 16
# An attempt cut off after this long a silence counts as failed.
_STALL_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class Ending:
    """How an attempt failed, kept until the request's next one."""

    upstream: str
    epoch: int
    is_refused: bool = False
    # Whether the upstream said that it is only busy.
    is_busy: bool = False


class Placement:
    """One attempt's place on an upstream, given back at the end of its block."""

    def __init__(
        self,
        tracked: TrackedUpstream,
        pool: Pool,
        waiter: Waiter,
        feedback: Feedback,
        timers: Timers,
        release: Callable[["Placement"], None],
    ):
        self.upstream: Upstream = tracked.upstream
        self.tracked = tracked
        self.pool = pool
        self.waiter = waiter
        self.ending: Ending | None = None
        self.started_at = timers.now()
        # Tokens that it was thought to prefill, and the whole prediction.
        self.uncached_tokens = float(waiter.work.tokens)
        self.expected_blocks = 0.0
        self.predicted: float | None = None
        self.targets = Targets()
        self.is_slow = False
        self.is_probe = False
        self._feedback = feedback
        self._timers = timers
        self._release = release
        self._tokens = 0
        self._last_token_at = self.started_at
        self._gap_started_at = self.started_at
        self._gap_tokens = 0
        self._is_noted = False

    def __enter__(self) -> "Placement":
        return self

    def __exit__(self, error_type, error, traceback) -> None:
        if not self._is_noted:
            self._note_end_without_word(is_whole=error_type is None)
        self._release(self)

    def record_tokens(self, count: int) -> None:
        """Note that tokens arrived."""
        now = self._timers.now()
        if not self._tokens:
            self._end_prefill()
            self._feedback.note_first_token(self, now)
            self._gap_started_at = now
            self._gap_tokens = -count
        self._tokens += count
        self._gap_tokens += count
        self._last_token_at = now
        if self._gap_tokens >= _GAP_TOKENS:
            gap = (now - self._gap_started_at) / self._gap_tokens
            self._feedback.note_gap(self, gap, now)
            self._gap_started_at = now
            self._gap_tokens = 0

    def record_answer(self, mark: EndMark | None = None) -> None:
        """Note that the answer is whole."""
        self._is_noted = True
        self._feedback.record_answer(self, mark, self._timers.now())

    def record_refusal(self, retry_after: float | None) -> None:
        """Note that the upstream refused the attempt, which didn't run."""
        self._is_noted = True
        is_busy = retry_after is not None
        self.ending = Ending(self.upstream.name, self.upstream.epoch, True, is_busy)
        self._feedback.record_refusal(self, is_busy, self._timers.now())

    def record_loss(self) -> None:
        """Note that the connection broke or the answer was damaged."""
        self._is_noted = True
        self.ending = Ending(self.upstream.name, self.upstream.epoch)
        self._feedback.record_loss(self, self._timers.now())

    def release(self) -> None:
        """Give back a place that no attempt was started at."""
        self._is_noted = True
        self._release(self)

    def end(self, now: float) -> None:
        """Take the attempt out of its upstream's counts."""
        if not self._tokens:
            self._end_prefill()
        if self.is_probe:
            self.tracked.breaker.probes -= 1
        self.tracked.note_ended(now)

    def _end_prefill(self) -> None:
        self.tracked.pending_tokens -= round(self.uncached_tokens)

    def _note_end_without_word(self, is_whole: bool) -> None:
        """Tell an answered call of a service from a stalled or cancelled attempt."""
        now = self._timers.now()
        if is_whole:
            self._feedback.record_answer(self, None, now)
        elif now - self._last_token_at > _STALL_SECONDS + 2 * (self.predicted or 0.0):
            self._feedback.record_loss(self, now)
