"""This host's own state of an upstream, beside its announcement."""

from collections import deque

from pepperstep.entities import Upstream
from pepperstep.routing.averages import DecayingAverage, MovingAverage, WindowedMinimum
from pepperstep.routing.breakers import Breaker
from pepperstep.routing.limits import AdaptiveLimit
from pepperstep.routing.settings import RoutingSettings

__all__ = ["TrackedUpstream"]

_MINIMUM_WINDOW_SECONDS = 60.0
_FAILING_SECONDS = 30.0
# Share of the slots in use below which a host may exceed its own part of them.
_LOW_LOAD_SHARE = 0.75
# The low-load share for classes that leave slots free for higher classes.
_LOWER_CLASS_LOW_LOAD_SHARE = 0.5


class TrackedUpstream:
    """One epoch of an upstream: this host's attempts on it and their history."""

    def __init__(self, upstream: Upstream, settings: RoutingSettings, now: float):
        self.upstream = upstream
        self.in_flight = 0
        # Tokens to prefill of this host's attempts that await their first token.
        self.pending_tokens = 0
        # Attempts of other hosts, estimated from the last load report.
        self.others_in_flight = 0
        # Number of other hosts that use the upstream.
        self.peer_count = 0
        self._reported_in_flight = 0
        self.limit = AdaptiveLimit.from_slots(upstream.slots, settings)
        self.breaker = Breaker(settings)
        # Seconds that an attempt holds its slot.
        self.hold_time = MovingAverage()
        # Seconds to the first token beyond the prefill, and between tokens.
        self.overhead = MovingAverage(0.2)
        self.gap = MovingAverage(0.2)
        self.least_overhead = WindowedMinimum(_MINIMUM_WINDOW_SECONDS)
        self.least_gap = WindowedMinimum(_MINIMUM_WINDOW_SECONDS)
        # Seconds to the first token beyond the prediction.
        self.excess = DecayingAverage(settings.history_half_life)
        # Share of attempts that failed.
        self.failures = DecayingAverage(settings.history_half_life)
        # Time of the first failure since the upstream last showed it is alive.
        self.failing_since: float | None = None
        self._failing_until = float("-inf")
        self._death_seconds = settings.death_seconds
        self._report_lag = settings.report_lag
        # Times and counts of this host's attempts in flight, for `report_lag`.
        self._changes: deque[tuple[float, int]] = deque([(now, 0)])
        self._estimate_others(now)

    @property
    def total(self) -> int:
        """Estimated attempts that run or wait on the upstream, from all hosts.

        Each other host is assumed to have started as many attempts since the
        report as this one; otherwise all hosts would claim the same free slot.
        """
        started = self.in_flight - self._reported_in_flight
        unseen = started * self.peer_count if started > 0 else 0
        return self.others_in_flight + self.in_flight + unseen

    def update(self, upstream: Upstream, now: float) -> None:
        """Apply a newer announcement of the same epoch."""
        if upstream is self.upstream:
            return
        self.upstream = upstream
        self._estimate_others(now)

    def has_room(self, share: float) -> bool:
        """Whether an attempt of a class with this share of the slots may start.

        A host may always use its own part of the slots, since it learns too late
        what other hosts have started and ended. It may exceed that part only
        while the upstream is known to be far from full.
        """
        class_slots = self.limit.value * share
        own_slots = class_slots / (self.peer_count + 1)
        low_load_share = _LOW_LOAD_SHARE
        if share < 1.0:
            # Rounding up would use slots kept free for higher classes.
            own_slots = max(1, int(own_slots))
            low_load_share = _LOWER_CLASS_LOW_LOAD_SHARE
        if self.in_flight < own_slots:
            return True
        return self.peer_count > 0 and self.total < low_load_share * class_slots

    def record_start(self, tokens: int, now: float) -> None:
        """Count a started attempt of this host with its tokens to prefill."""
        self.in_flight += 1
        self.pending_tokens += tokens
        self._record_change(now)

    def record_end(self, now: float) -> None:
        """Remove an ended attempt of this host from the count."""
        self.in_flight -= 1
        self._record_change(now)

    def record_liveness(self, started_at: float, now: float) -> None:
        """Record an answer to an attempt, which shows that the upstream is alive.

        If the attempt started after earlier ones failed, the upstream failed them
        while alive.
        """
        if self.failing_since is not None and started_at > self.failing_since:
            self._failing_until = now + _FAILING_SECONDS
            self.failing_since = None

    def record_failure(self, now: float) -> None:
        """Record an attempt that was lost or refused."""
        if self.failing_since is None:
            self.failing_since = now

    def is_failing(self, now: float) -> bool:
        """Whether the upstream fails attempts although it is alive.

        An upstream that is still announced after `death_seconds` of failures
        counts as alive.
        """
        if now < self._failing_until:
            return True
        since = self.failing_since
        return since is not None and now - since > self._death_seconds

    def _estimate_others(self, now: float) -> None:
        """Subtract this host's attempts from the load report.

        The report may be as old as `report_lag`, so the highest count of that
        time is subtracted.
        """
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
