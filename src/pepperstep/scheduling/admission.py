"""Admission of requests by priority, fair share and predicted delay."""

import math
import random

from pepperstep.scheduling.fair_shares import FairShares
from pepperstep.scheduling.requests import PlacementRequest, RefusalReason
from pepperstep.scheduling.settings import SchedulingSettings

__all__ = ["Admission"]

# Seconds for which a priority counts after it was last requested.
_PRIORITY_SECONDS = 2.0
# Priorities remembered; configurations use fewer.
_MAX_PRIORITIES = 64
# Seconds after the first request in which nothing is refused because of shares or
# priority, as the averages know little yet.
_GRACE_SECONDS = 1.0
# Multiple of the tolerated surplus that returning callers may use beyond new ones.
_RETURN_TOLERANCE = 1.0
# Window of the pressure's average, as a fraction of the mean target. Single predictions
# vary too much to scale shares by them.
_PRESSURE_WINDOW = 0.1
# Fraction of the unsmoothed pressure that counts at once. A burst within the window
# would otherwise fill the queue unnoticed.
_BURST_SHARE = 0.5
# Upper bound of the pressure, as predicted delays may be infinite.
_MAX_PRESSURE = 4.0
# Costs above this count as this many seconds, so that a wrong one can't decide shares.
_MAX_COST_SECONDS = 60.0
# Targets below this count as this many seconds.
_MIN_TARGET_SECONDS = 0.001


class Admission:
    """Decides which requests a shard admits."""

    def __init__(self, settings: SchedulingSettings, rng: random.Random) -> None:
        self._settings = settings
        self._shares = FairShares(settings, rng)
        self._rng = rng
        self._seen: dict[int, float] = {}
        self._started: float | None = None
        self._smooth = 0.0
        self._pressure_time = -math.inf
        self._urgency = _MeanUrgency(settings.share_window)

    def decide(
        self, request: PlacementRequest, cost: float, delay: float, now: float
    ) -> RefusalReason | None:
        """Return why the request is refused, or None if it's admitted.

        `cost` is the upstream seconds that the request needs, and `delay` the predicted
        seconds of work ahead of it. The request is recorded as asked and, if it's
        admitted, as such.
        """
        cost = self._record_asked(request, cost, delay, now)
        reason = self._refusal(request, cost, delay, now)
        if reason is None:
            self._shares.admit(request.workspace, cost)
        return reason

    def record_full(
        self, request: PlacementRequest, cost: float, delay: float, now: float
    ) -> None:
        """Record a request as asked that no upstream has room for."""
        self._record_asked(request, cost, delay, now)

    def limit_of(self, request: PlacementRequest, now: float) -> float:
        """Return the delay in seconds up to which the request is admitted for certain.

        That's the least pressure. A limit relative to the time left until the target
        falls about as fast as the delay, and a workspace above its share has none.
        """
        if not _is_checked(request):
            return math.inf
        if request.target > 0 or self._shares.is_above(request.workspace):
            return self._settings.min_pressure * request.full_target
        return self._limit(request, self.rank_of(request.priority, now), now)

    def rank_of(self, priority: int, now: float) -> int:
        """Return 0 for the most urgent priority among the recently requested ones."""
        oldest = now - _PRIORITY_SECONDS
        return sum(p < priority and t >= oldest for p, t in self._seen.items())

    def work_rate(self, now: float) -> float:
        """Return the admitted upstream seconds per second, averaged."""
        return self._shares.work_rate

    def _record_asked(
        self, request: PlacementRequest, cost: float, delay: float, now: float
    ) -> float:
        """Record a request, and return its cost without invalid values."""
        if self._started is None:
            self._started = now
        cost = min(cost, _MAX_COST_SECONDS) if cost > 0 else 0.0
        self._see(request.priority, now)
        if _has_target(request):
            self._urgency.add(cost, request.full_target, now)
        self._shares.advance(delay, self._pressure(delay, now), now)
        self._shares.ask(request.workspace, request.weight, cost)
        return cost

    def _pressure(self, delay: float, now: float) -> float:
        """Return the smoothed pressure on the shard, or more in a sudden burst."""
        urgency = self._urgency.mean
        if not urgency:
            return 0.0
        dt = max(now - self._pressure_time, 0.0)
        self._pressure_time = now
        weight = 1 - math.exp(-dt * urgency / _PRESSURE_WINDOW)
        pressure = min(delay * urgency, _MAX_PRESSURE)
        self._smooth += weight * (pressure - self._smooth)
        return max(self._smooth, _BURST_SHARE * pressure)

    def _see(self, priority: int, now: float) -> None:
        if priority not in self._seen and len(self._seen) >= _MAX_PRIORITIES:
            del self._seen[min(self._seen, key=self._seen.__getitem__)]
        self._seen[priority] = now

    def _refusal(
        self, request: PlacementRequest, cost: float, delay: float, now: float
    ) -> RefusalReason | None:
        if not _is_checked(request):
            return None
        if request.target <= 0:
            is_in_time = delay <= self._limit(request, 0, now)
            return None if is_in_time else RefusalReason.LATE
        if delay < self._settings.min_pressure * request.full_target:
            return None
        rank = self.rank_of(request.priority, now)
        reason = self._reason(request, rank, delay, now)
        if reason is None or reason is RefusalReason.LATE:
            return reason
        if rank and delay <= request.target:
            shares = self._shares
            if shares.take_floor(request.workspace, request.priority, cost):
                return None
        return reason

    def _reason(
        self, request: PlacementRequest, rank: int, delay: float, now: float
    ) -> RefusalReason | None:
        surplus = 0.0
        if not self._is_new(now):
            surplus = self._surplus(request)
        is_in_time = delay <= self._limit(request, rank, now)
        if is_in_time and surplus <= self._tolerance(request, rank):
            return None
        if is_in_time:
            return RefusalReason.SHARE
        if delay <= self._limit(request, 0, now) and surplus <= self._tolerance(
            request, 0
        ):
            return RefusalReason.PRIORITY
        return RefusalReason.LATE

    def _limit(self, request: PlacementRequest, rank: int, now: float) -> float:
        """Return the limit on the delay in seconds for a rank.

        Requests past their target only get what is nearly free, as they would otherwise
        take the place of requests that still meet their target.
        """
        if request.target <= 0:
            return self._settings.late_pressure * request.full_target
        rank = 0 if self._is_new(now) else rank
        limit = self._fraction(request, rank) * request.target
        return max(limit, self._settings.min_pressure * request.full_target)

    def _surplus(self, request: PlacementRequest) -> float:
        """Return the workspace's surplus as a multiple of the tolerated one."""
        return self._shares.surplus(request.workspace, self._rng.random())

    def _tolerance(self, request: PlacementRequest, rank: int) -> float:
        """Return the surplus up to which a rank is admitted, as a multiple."""
        bonus = _RETURN_TOLERANCE if request.waited_share > 0 else 0.0
        return self._fraction(request, rank) + bonus

    def _fraction(self, request: PlacementRequest, rank: int) -> float:
        limits = self._settings.rank_limits
        limit = limits[min(rank, len(limits) - 1)]
        waited = min(max(request.waited_share, 0.0), 1.0)
        return limit + self._settings.waited_bonus * waited

    def _is_new(self, now: float) -> bool:
        return self._started is None or now - self._started < _GRACE_SECONDS


class _MeanUrgency:
    """Mean of 1 / target of the recent work; routes with little work count little."""

    def __init__(self, window: float) -> None:
        self._window = window
        self._time = -math.inf
        self._work = 0.0
        self._sum = 0.0

    @property
    def mean(self) -> float:
        """Per second; 0 if no request had a target."""
        return self._sum / self._work if self._work else 0.0

    def add(self, cost: float, target: float, now: float) -> None:
        """Add a request with a whole latency target in seconds."""
        factor = math.exp(min(self._time - now, 0.0) / self._window)
        self._time = max(now, self._time)
        cost = max(cost, 1e-6)
        self._work = self._work * factor + cost
        self._sum = self._sum * factor + cost / max(target, _MIN_TARGET_SECONDS)


def _has_target(request: PlacementRequest) -> bool:
    return request.full_target > 0 and request.target < math.inf


def _is_checked(request: PlacementRequest) -> bool:
    """Return whether admission may refuse the request."""
    return _has_target(request) and not request.is_retry
