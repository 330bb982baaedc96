"""Learned capacity of upstreams, and the predicted delay of requests sent to them.

An upstream runs as many requests as it has slots, and queues the others in the order of
their arrival. An engine prefills the prompts of its running requests one after the
other. From the times that hosts report, the owner of a shard learns how long a request
occupies a slot, how fast an engine prefills, and how much later than its prefill the
first token comes.

Memory is bounded: three estimates per upstream, and one record per request in flight.
"""

import math
from dataclasses import dataclass

from pepperstep.scheduling.estimates import ShardEstimates

__all__ = ["MIN_REPORTED_TOKENS", "UpstreamCapacity"]

# Longest reported time that is believed, in seconds.
_MAX_REPORTED_SECONDS = 60.0
# Prompts with fewer missing tokens don't measure the prefill speed, as the lag
# dominates their time to first token.
_MIN_MEASURED_TOKENS = 2_000
# Hosts report the first token of prompts with fewer missing tokens only with the end of
# the request, so that a missing report doesn't mean that the prefill is late. An engine
# needs less than a tenth of a second to prefill this many.
MIN_REPORTED_TOKENS = 3_000
# Smallest observed time in seconds; the clocks of hosts aren't finer.
_MIN_SECONDS = 0.0001


@dataclass(slots=True)
class _Work:
    """A request at the upstream."""

    # Monotonic time at which it was sent.
    sent_at: float
    missing: int
    # Predicted time at which it got a slot, None while it waits for one.
    started_at: float | None = None
    is_read: bool = False


class UpstreamCapacity:
    """Learned speed, requests in flight and predicted delay of one upstream.

    `now` is the monotonic time in seconds, as in all modules of this package.
    """

    def __init__(self, slots: int, estimates: ShardEstimates, now: float):
        self.slots = slots
        self._estimates = estimates
        self._token = estimates.token.add(now)
        self._occupancy = estimates.occupancy.add(now)
        self._lag = estimates.lag.add(now)
        # Requests in flight by id, in the order in which they were sent.
        self._works: dict[str, _Work] = {}
        self._started = 0
        self._waiting_tokens = 0
        # Unread prompts whose first token is reported when it comes.
        self._reported_unread = 0
        # Predicted time at which the pending prefills end.
        self._prefilled_at = now
        # Time of the latest known first token.
        self._first_token_at = -math.inf
        # Time of the latest end, or of the first request after the upstream was idle.
        self._progress_at = now

    @property
    def in_flight(self) -> int:
        """Number of requests at the upstream."""
        return len(self._works)

    def close(self) -> None:
        """Drop what was learned; the upstream is gone."""
        self._estimates.token.remove(self._token)
        self._estimates.occupancy.remove(self._occupancy)
        self._estimates.lag.remove(self._lag)

    def delay(self, now: float) -> float:
        """Return the predicted seconds of work ahead of a new request."""
        delay = self._prefill_delay(now) if self._estimates.is_engine else 0.0
        if len(self._works) < self.slots:
            return delay
        waiting = len(self._works) - self._started
        return max(delay, (waiting + 1) * self.slot_seconds(now))

    def own_seconds(self, missing: int, now: float) -> float:
        """Return the predicted seconds of a request without work ahead of it.

        They end with the first token, or with the answer of a plain service.
        """
        if not self._estimates.is_engine:
            return self._occupancy.value(now)
        return self._lag.value(now) + self.prefill_seconds(missing, now)

    def prefill_seconds(self, missing: int, now: float) -> float:
        """Return the predicted seconds to prefill `missing` tokens."""
        return missing * self._token.value(now)

    def slot_seconds(self, now: float) -> float:
        """Return the predicted seconds between two ends while all slots are busy."""
        return self._occupancy.value(now) / self.slots

    def overdue(self, now: float) -> float:
        """Return for how many seconds a plain upstream's next answer is overdue.

        A frozen upstream with free slots thus becomes less attractive the longer it
        doesn't answer.
        """
        if self._estimates.is_engine or not self._works:
            return 0.0
        return max(0.0, now - self._progress_at - self._occupancy.value(now))

    def begin(self, id: str, missing: int, sent_at: float, now: float) -> None:
        """Count a request that was sent to the upstream."""
        if not self._works:
            self._progress_at = now
        work = self._works[id] = _Work(sent_at, missing)
        self._waiting_tokens += missing
        if missing >= MIN_REPORTED_TOKENS:
            self._reported_unread += 1
        if self._started < self.slots:
            self._start(work, sent_at, now)

    def record_first_token(self, id: str, seconds: float, now: float) -> None:
        """Learn from the first token of a request, which came after `seconds`.

        Ignore times that can't be right.
        """
        work = self._works.get(id)
        if work is None or work.is_read or not _is_plausible(seconds):
            return
        first_at = min(now, work.sent_at + seconds)
        if work.started_at is not None:
            self._learn_prefill(work, first_at, now)
        self._mark_read(work)
        self._first_token_at = max(self._first_token_at, first_at)
        self._predict_prefills(now)

    def end(self, id: str, seconds: float | None, now: float) -> None:
        """Count a request as ended, and learn from its time unless it's None.

        Don't learn from times that can't be right.
        """
        work = self._works.get(id)
        if work is None:
            return
        ended_at = now
        if seconds is None and not work.is_read:
            self._learn_abandoned(work, now)
        if seconds is not None and _is_plausible(seconds):
            ended_at = min(now, work.sent_at + seconds)
            if work.started_at is not None:
                occupied = max(_MIN_SECONDS, ended_at - work.started_at)
                self._occupancy.observe(occupied, now)
        self._remove(id, ended_at, now)

    def drop(self, id: str, now: float) -> None:
        """Remove a request whose end isn't known, and learn nothing."""
        if id in self._works:
            self._remove(id, now, now)

    def _remove(self, id: str, ended_at: float, now: float) -> None:
        work = self._works.pop(id)
        if not work.is_read:
            self._drop_prefill(work, now)
        self._progress_at = max(self._progress_at, ended_at)
        if work.started_at is not None:
            self._started -= 1
            self._start_next(ended_at, now)

    def _prefill_delay(self, now: float) -> float:
        """Return the predicted seconds until the prompts that were sent are prefilled.

        A prefill that is overdue is expected to take as long as it is overdue.
        """
        waiting = self.prefill_seconds(self._waiting_tokens, now)
        if self._prefilled_at >= now:
            return self._prefilled_at - now + waiting
        overdue = now - self._prefilled_at if self._reported_unread else 0.0
        return overdue + waiting

    def _predict_prefills(self, now: float) -> None:
        """Predict the end of the pending prefills from the latest first token."""
        ends_at = self._first_token_at
        for work in self._works.values():
            if work.started_at is not None and not work.is_read:
                seconds = self.prefill_seconds(work.missing, now)
                ends_at = max(ends_at, work.started_at) + seconds
        self._prefilled_at = ends_at

    def _start(self, work: _Work, started_at: float, now: float) -> None:
        work.started_at = max(work.sent_at, started_at)
        self._started += 1
        if work.is_read:
            return
        self._waiting_tokens -= work.missing
        begins_at = max(self._prefilled_at, work.started_at)
        self._prefilled_at = begins_at + self.prefill_seconds(work.missing, now)

    def _start_next(self, started_at: float, now: float) -> None:
        if len(self._works) <= self._started:
            return
        for work in self._works.values():
            if work.started_at is None:
                self._start(work, started_at, now)
                return

    def _mark_read(self, work: _Work) -> None:
        work.is_read = True
        if work.started_at is None:
            self._waiting_tokens -= work.missing
        if work.missing >= MIN_REPORTED_TOKENS:
            self._reported_unread -= 1

    def _drop_prefill(self, work: _Work, now: float) -> None:
        """Remove a prefill that ended without a first token, or was abandoned."""
        self._mark_read(work)
        if work.started_at is None or self._prefilled_at <= now:
            return
        seconds = self.prefill_seconds(work.missing, now)
        self._prefilled_at = max(now, self._prefilled_at - seconds)

    def _learn_prefill(self, work: _Work, first_at: float, now: float) -> None:
        """Compare the time since the previous first token with the tokens read in it.

        Prompts that were sent before this one and whose first tokens aren't reported at
        once were read in the same time.
        """
        begun_at = max(work.started_at, self._first_token_at)
        span = max(_MIN_SECONDS, first_at - begun_at)
        was_idle = begun_at == work.started_at
        tokens = self._read_unreported(work) + work.missing
        if tokens >= _MIN_MEASURED_TOKENS:
            if was_idle:
                # At most half of the time is taken for lag, as the lag may be wrong.
                span = max(span / 2, span - self._lag.value(now))
            self._token.observe(span / tokens, now)
        elif was_idle:
            span -= self.prefill_seconds(tokens, now)
            self._lag.observe(max(_MIN_SECONDS, span), now)

    def _learn_abandoned(self, work: _Work, now: float) -> None:
        """Learn from a prefill that was abandoned later than its predicted end.

        If callers leave a slow engine before each first token, its speed would
        otherwise never be learned. It's at least as slow as the time so far shows.
        """
        if work.missing < MIN_REPORTED_TOKENS or work is not self._oldest_unread():
            return
        span = now - max(work.started_at, self._first_token_at)
        if span <= self.prefill_seconds(work.missing, now):
            return
        self._token.observe(span / work.missing, now)
        # The next prefill begins no earlier.
        self._first_token_at = now

    def _oldest_unread(self) -> _Work | None:
        """Return the request whose prompt the engine is prefilling."""
        started = (each for each in self._works.values() if each.started_at is not None)
        return next((each for each in started if not each.is_read), None)

    def _read_unreported(self, work: _Work) -> int:
        """Mark small prompts sent before `work` as read, and return their tokens."""
        tokens = 0
        for each in self._works.values():
            if each is work:
                break
            is_small = each.missing < MIN_REPORTED_TOKENS
            if is_small and not each.is_read and each.started_at is not None:
                self._mark_read(each)
                tokens += each.missing
        return tokens


def _is_plausible(seconds: float) -> bool:
    """Whether a reported time is finite, not negative and not huge."""
    return 0.0 <= seconds <= _MAX_REPORTED_SECONDS
