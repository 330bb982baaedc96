"""Limits of a quota: its token bucket with the tolerance, and its total in a window."""

from collections import deque
from dataclasses import dataclass

from pepperstep.entities.routes import Quota

__all__ = ["BucketSize", "QuotaTolerance", "SlidingTotal"]

# Fraction of the tolerated excess that is added to the quota. Hosts that keep to equal
# shares refuse callers while another host has tokens left; the addition compensates for
# this, and the rest of the tolerance covers counts that arrive late.
_USED_FRACTION = 0.4
# What isn't admitted in a window, as counts arrive late: a fraction of the tolerated
# excess, but at least this fraction of the quota's amount.
_LATE_EXCESS_FRACTION = 0.2
_LATE_AMOUNT_FRACTION = 0.02
# Least burst of a bucket: the larger of some seconds of its rate and some requests, the
# latter up to a limit in seconds. Callers within the rate send requests in clumps, also
# if the quota has no burst.
_LEAST_BURST_SECONDS = 1.0
_LEAST_BURST_REQUESTS = 8
_MAX_LEAST_BURST_SECONDS = 2.0
# Fraction of the burst that isn't granted, for hosts that can't reach the owner and
# spend from their shares; and its limit in seconds of the rate, since new buckets start
# almost empty.
_UNGRANTED_FRACTION = 0.4
_MAX_UNGRANTED_SECONDS = 1.0
# Number of parts of a window whose amounts are kept apart.
_BINS = 32


@dataclass(frozen=True, slots=True)
class BucketSize:
    """Size of a token bucket, in the unit of its quota."""

    # Added each second.
    rate: float
    # Largest level.
    burst: float
    # Level from which on nothing is granted to other hosts.
    ungranted: float
    # Most that is in it after a restart of all hosts, which forget what they spent.
    refill: float


@dataclass(frozen=True, slots=True)
class QuotaTolerance:
    """Tolerated excess over a quota, from the deployment's settings."""

    # Fraction of the quota's amount in a window.
    overage: float = 0.0
    # Additional amount in a window, for quotas in tokens.
    allowance: float = 0.0
    # Length of the window in seconds, 0 for no limit on the total in a window.
    window: float = 0.0

    def bucket_for(self, quota: Quota, mean_cost: float) -> BucketSize:
        """Return the size of a quota's bucket; `mean_cost` is that of its requests.

        A bucket that is larger than the quota's burst fills at the quota's own rate,
        and may be granted whole: what hosts spend besides is limited by the window.
        """
        factor = 1 + _USED_FRACTION * self.overage
        burst = quota.burst * factor + _USED_FRACTION * self._allowance_for(quota)
        least = max(
            _LEAST_BURST_SECONDS * quota.rate,
            min(
                _LEAST_BURST_REQUESTS * mean_cost, _MAX_LEAST_BURST_SECONDS * quota.rate
            ),
        )
        if self.window and burst < least:
            return BucketSize(quota.rate, least, ungranted=0.0, refill=burst)
        ungranted = min(
            _UNGRANTED_FRACTION * burst, _MAX_UNGRANTED_SECONDS * quota.rate
        )
        return BucketSize(quota.rate * factor, burst, ungranted, refill=burst)

    def window_limit(self, quota: Quota) -> float:
        """Return the amount that may be admitted in any window."""
        amount = quota.rate * self.window + quota.burst
        excess = self.overage * amount + self._allowance_for(quota)
        late = max(_LATE_EXCESS_FRACTION * excess, _LATE_AMOUNT_FRACTION * amount)
        return amount + excess - late

    def _allowance_for(self, quota: Quota) -> float:
        return self.allowance if quota.counts_tokens else 0.0


class SlidingTotal:
    """Total of the amounts of the latest `window` seconds.

    An amount may count for longer by a small part of the window.
    """

    def __init__(self, window: float):
        self._window = window
        # Times from which bins take no further amounts, and the bins' amounts.
        self._bins: deque[tuple[float, float]] = deque()
        self._total = 0.0

    def add(self, amount: float, now: float) -> None:
        """Add an amount at the monotonic time `now`."""
        self._expire(now)
        self._total += amount
        if self._bins and now < self._bins[-1][0]:
            until, earlier = self._bins.pop()
            self._bins.append((until, earlier + amount))
        else:
            self._bins.append((now + self._window / _BINS, amount))

    def total(self, now: float) -> float:
        """Return the total at the monotonic time `now`."""
        self._expire(now)
        return self._total

    def seconds_until(self, total: float, now: float) -> float:
        """Return the seconds until no more than `total` is left, 0 if that's so now."""
        left = self.total(now)
        wait = 0.0
        for until, amount in self._bins:
            if left <= total:
                break
            left -= amount
            wait = until + self._window - now
        return wait

    def _expire(self, now: float) -> None:
        while self._bins and self._bins[0][0] + self._window <= now:
            self._total -= self._bins.popleft()[1]
        if not self._bins:
            # Without the rounding errors of the additions.
            self._total = 0.0
