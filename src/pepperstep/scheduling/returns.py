"""Times at which refused callers return."""

import math
import random

from pepperstep.scheduling.requests import PlacementRequest
from pepperstep.scheduling.settings import SchedulingSettings

__all__ = ["ReturnSchedule"]

# Seconds per bucket.
_BUCKET_SECONDS = 0.05
# Number of buckets: 20 s. A thousand callers refused at once by 18 slots with 90 ms of
# work need half of this time at half of the work rate, after the queue has shortened.
_BUCKET_COUNT = 400
# Least seconds before a caller returns.
_MIN_WAIT_SECONDS = 0.05
# A caller's remaining time is divided by this for the longest wait.
_REMAINING_PARTS = 3
# Waited share from which a caller searches from the first bucket.
_URGENT_WAITED_SHARE = 0.3
# Ranks with an own place to search from.
_MAX_RANKS = 16


class ReturnSchedule:
    """Reserves work for refused callers in buckets of time."""

    def __init__(self, settings: SchedulingSettings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng
        # Index of the first bucket since time 0, and reserved upstream seconds.
        self._first = 0
        self._reserved = [0.0] * _BUCKET_COUNT
        # Bucket that the last request of each rank was given.
        self._last: dict[int, int] = {}

    def retry_after(
        self,
        request: PlacementRequest,
        rank: int,
        cost: float,
        work_rate: float,
        wait: float,
        now: float,
    ) -> float:
        """Reserve work and return the seconds after which the caller shall retry.

        `cost` is in upstream seconds, `work_rate` in upstream seconds per second, and
        `wait` is the predicted seconds until the request meets its limit.
        """
        bound = _bound(request.remaining)
        if bound <= _MIN_WAIT_SECONDS:
            return bound
        self._move(now)
        capacity = _positive(work_rate) * self._settings.return_share * _BUCKET_SECONDS
        cost = _positive(cost)
        low = self._index(now + _MIN_WAIT_SECONDS)
        high = max(self._index(now + bound - _BUCKET_SECONDS), low)
        # New callers may use the rest of the work rate while the delay falls.
        wait = _positive(wait, math.inf) / self._settings.return_share
        start = self._index(now + min(wait, bound))
        start = min(max(start, low), high)
        is_urgent = rank == 0 or request.waited_share >= _URGENT_WAITED_SHARE
        if not is_urgent:
            start = max(start, self._last.get(rank, start))
        index = self._find(start, high, cost, capacity)
        if index is None:
            # Callers would be refused again before `start`, but a few buckets at the
            # end would get too many of them.
            index = self._least_reserved(min(start, (low + high) // 2), high)
            capacity = math.inf
        self._reserve(index, cost, capacity)
        self._last[min(rank, _MAX_RANKS)] = index
        return self._time_within(index, bound, now)

    def _move(self, now: float) -> None:
        """Drop the buckets before `now`."""
        passed = int(now / _BUCKET_SECONDS) - self._first
        if passed <= 0:
            return
        self._first += passed
        kept = self._reserved[passed:]
        self._reserved = kept + [0.0] * (_BUCKET_COUNT - len(kept))

    def _index(self, time: float) -> int:
        """Return the index since time 0 of the bucket of a time."""
        last = self._first + _BUCKET_COUNT - 1
        return min(max(int(time / _BUCKET_SECONDS), self._first), last)

    def _find(self, start: int, high: int, cost: float, capacity: float) -> int | None:
        """Return the first bucket with capacity for half of the work.

        Any free capacity isn't enough: while the work rate grows, it would free a small
        part of a full bucket for each request.
        """
        if not capacity:
            return None
        most = capacity - min(cost, capacity) / 2
        for index in range(start, high + 1):
            if self._reserved[index - self._first] <= most:
                return index
        return None

    def _least_reserved(self, low: int, high: int) -> int:
        """Return the bucket with the least work, so that callers spread evenly."""
        reserved = self._reserved[low - self._first : high + 1 - self._first]
        return low + reserved.index(min(reserved))

    def _reserve(self, index: int, cost: float, capacity: float) -> None:
        """Reserve work; what exceeds the bucket's capacity goes to the next ones."""
        place = index - self._first
        while cost > 0 and place < _BUCKET_COUNT - 1:
            part = min(cost, capacity - self._reserved[place])
            if part <= 0:
                break
            self._reserved[place] += part
            cost -= part
            place += 1
        self._reserved[place] += cost

    def _time_within(self, index: int, bound: float, now: float) -> float:
        """Return a random time in a bucket, in seconds from `now`."""
        low = max(index * _BUCKET_SECONDS - now, _MIN_WAIT_SECONDS)
        high = min((index + 1) * _BUCKET_SECONDS - now, bound)
        if high <= low:
            return min(low, bound)
        return low + self._rng.random() * (high - low)


def _bound(remaining: float) -> float:
    """Return the longest allowed wait in seconds."""
    horizon = (_BUCKET_COUNT - 1) * _BUCKET_SECONDS
    if math.isnan(remaining):
        return horizon
    return min(max(remaining, 0.0) / _REMAINING_PARTS, horizon)


def _positive(value: float, default: float = 0.0) -> float:
    """Return the value, or `default` if it isn't a number, but at least 0."""
    return default if math.isnan(value) else max(value, 0.0)
