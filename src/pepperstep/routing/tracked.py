"""What this host knows of one upstream beyond what it announced."""

from collections import deque

from pepperstep.entities import Upstream
from pepperstep.routing.averages import DecayingAverage, MovingAverage, WindowedMinimum
from pepperstep.routing.breakers import Breaker
from pepperstep.routing.limits import AdaptiveLimit
from pepperstep.routing.settings import RoutingSettings

__all__ = ["TrackedUpstream"]

_MINIMUM_WINDOW_SECONDS = 60.0
_FAILING_SECONDS = 30.0
# Below this part of the places hosts don't divide them; the second is for
# classes for which places are kept free.
_LOW_LOAD_SHARE = 0.75
_LOWER_CLASS_LOW_LOAD_SHARE = 0.5


class TrackedUpstream:
    """One start of an upstream, with this host's work on it and its history."""

    def __init__(self, upstream: Upstream, settings: RoutingSettings, now: float):
        self.upstream = upstream
        self.in_flight = 0
        # Prompt tokens in flight here whose first token hasn't come.
        self.pending_tokens = 0
        # Other hosts' work, as estimated from the last report, and their number.
        self.others_in_flight = 0
        self.peer_count = 0
        self._reported_in_flight = 0
        self.limit = AdaptiveLimit.from_slots(upstream.slots, settings)
        self.breaker = Breaker(settings)
        # Seconds that an attempt holds its place.
        self.hold_time = MovingAverage()
        # Seconds to the first token beyond the prefill, and between tokens.
        self.overhead = MovingAverage(0.2)
        self.gap = MovingAverage(0.2)
        self.least_overhead = WindowedMinimum(_MINIMUM_WINDOW_SECONDS)
        self.least_gap = WindowedMinimum(_MINIMUM_WINDOW_SECONDS)
        # Seconds beyond the prediction, and the share of attempts that failed.
        self.excess = DecayingAverage(settings.history_half_life)
        self.failures = DecayingAverage(settings.history_half_life)
        # Since when attempts have failed without a sign of life.
        self.failing_since: float | None = None
        self._failing_until = float("-inf")
        self._death_seconds = settings.death_seconds
        self._report_lag = settings.report_lag
        # Times and numbers of own attempts in flight, as far back as a report.
        self._changes: deque[tuple[float, int]] = deque([(now, 0)])
        self._estimate_others(now)

    @property
    def total(self) -> int:
        """Attempts believed to run or wait there, from all hosts.

        Each other host is taken to have started as much as this one since the
        report, or all of them would take the same place that became free.
        """
        started = self.in_flight - self._reported_in_flight
        unseen = started * self.peer_count if started > 0 else 0
        return self.others_in_flight + self.in_flight + unseen

    def update(self, upstream: Upstream, now: float) -> None:
        """Take a newer announcement of the same start."""
        if upstream is self.upstream:
            return
        self.upstream = upstream
        self._estimate_others(now)

    def has_room(self, share: float) -> bool:
        """Whether an attempt may start, of a class with this share of places.

        Each host may always fill its part of the places, as it sees too late
        what the others have started and ended; it goes beyond only where the
        upstream is known to be far from full.
        """
        slots = self.limit.value * share
        own_slots = slots / (self.peer_count + 1)
        low_load_share = _LOW_LOAD_SHARE
        if share < 1.0:
            # Lest the rounding take what is kept free for higher classes.
            own_slots = max(1, int(own_slots))
            low_load_share = _LOWER_CLASS_LOW_LOAD_SHARE
        if self.in_flight < own_slots:
            return True
        return self.peer_count > 0 and self.total < low_load_share * slots

    def record_start(self, tokens: int, now: float) -> None:
        """Count an attempt of this host that starts."""
        self.in_flight += 1
        self.pending_tokens += tokens
        self._record_change(now)

    def record_end(self, now: float) -> None:
        """Count an attempt of this host that has ended."""
        self.in_flight -= 1
        self._record_change(now)

    def record_liveness(self, started_at: float, now: float) -> None:
        """Note an answer to an attempt, which shows that the upstream lives.

        An attempt begun after others were lost shows that it had not died.
        """
        if self.failing_since is not None and started_at > self.failing_since:
            self._failing_until = now + _FAILING_SECONDS
            self.failing_since = None

    def record_failure(self, now: float) -> None:
        """Note an attempt that was lost or refused."""
        if self.failing_since is None:
            self.failing_since = now

    def is_failing(self, now: float) -> bool:
        """Whether it fails although it lives."""
        if now < self._failing_until:
            return True
        since = self.failing_since
        return since is not None and now - since > self._death_seconds

    def _estimate_others(self, now: float) -> None:
        """Subtract own work from the report, whatever its age in the lag."""
        self._prune(now)
        own = max(number for _, number in self._changes)
        load = self.upstream.load
        self.others_in_flight = max(0, load.running + load.waiting - own)
        self._reported_in_flight = self.in_flight

    def _record_change(self, now: float) -> None:
        self._changes.append((now, self.in_flight))
        if len(self._changes) > 64:
            self._prune(now)

    def _prune(self, now: float) -> None:
        changes = self._changes
        while len(changes) > 1 and changes[1][0] < now - self._report_lag:
            changes.popleft()
