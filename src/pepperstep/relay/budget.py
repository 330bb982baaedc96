"""Retry budgets that hold across all hosts without messages between them.

In each window, all hosts together may send a service a fraction of its requests plus a
fixed allowance as retries. Each host uses the fraction of its own requests, which no
other host or earlier incarnation counts, and its share of the allowance.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from pepperstep.coordination import HostShare

__all__ = ["BudgetSettings", "BudgetState", "RetryBudget"]

# Fraction of the retries earned by requests that hosts use. The rest covers requests
# that arrive at a window's edge.
_USED_FRACTION = 0.7
# Fraction of the allowance that hosts may save up, and fraction that accrues in each
# window. No window can exceed the sum of both, as a host starts with nothing saved.
_MAX_SAVED_FRACTION = 0.35
_GRANTED_FRACTION = 0.6


@dataclass(frozen=True, slots=True)
class BudgetSettings:
    """Limits on the retries of all hosts together, from the deployment's settings."""

    # Retries per first attempt.
    ratio: float
    # Seconds over which first attempts and retries are counted.
    window: float
    # Additional retries in each window.
    allowance: float


@dataclass(frozen=True, slots=True)
class BudgetState:
    """Inputs of the decision on a service's next retry."""

    # First attempts and retries of this host in the latest window.
    requests: int
    retries: int
    # Retries that this host may send from its share of the allowance.
    saved: float
    # Number of hosts that share the allowance, as known to this host.
    hosts: int


@dataclass(slots=True)
class _ServiceCounts:
    first_attempts: deque[float] = field(default_factory=deque)
    # Times of retries, and the fraction of each that was charged to requests.
    retries: deque[tuple[float, float]] = field(default_factory=deque)
    # Retries saved from the allowance, and the host share's credit and joins at the
    # latest accrual.
    saved: float = 0.0
    credit: float = 0.0
    joins: int = 0


class RetryBudget:
    """Retry budget of one host, which gets the fraction `share` of the allowance."""

    def __init__(
        self, settings: BudgetSettings, share: HostShare, now: Callable[[], float]
    ):
        self._settings = settings
        self._share = share
        self._now = now
        self._services: dict[str, _ServiceCounts] = {}

    def record_first_attempt(self, service: str) -> None:
        """Count a request's first attempt."""
        self._counts(service).first_attempts.append(self._now())

    def try_spend(self, service: str) -> bool:
        """Spend a retry and return True, or return False if the budget is exhausted."""
        counts = self._counts(service)
        earned = _USED_FRACTION * self._settings.ratio * len(counts.first_attempts)
        paid_by_requests = sum(part for _, part in counts.retries)
        by_requests = min(1.0, max(0.0, earned - paid_by_requests))
        by_allowance = 1.0 - by_requests
        if by_allowance and (by_allowance > counts.saved or not self._share.part):
            return False
        counts.saved -= by_allowance
        counts.retries.append((self._now(), by_requests))
        return True

    def state_of(self, service: str) -> BudgetState:
        """Return the inputs of the decision on a service's next retry."""
        counts = self._counts(service)
        return BudgetState(
            len(counts.first_attempts),
            len(counts.retries),
            counts.saved,
            self._share.hosts,
        )

    def _counts(self, service: str) -> _ServiceCounts:
        counts = self._services.setdefault(service, _ServiceCounts())
        oldest = self._now() - self._settings.window
        while counts.first_attempts and counts.first_attempts[0] < oldest:
            counts.first_attempts.popleft()
        while counts.retries and counts.retries[0][0] < oldest:
            counts.retries.popleft()
        self._accrue_allowance(counts)
        return counts

    def _accrue_allowance(self, counts: _ServiceCounts) -> None:
        """Add the retries that the allowance has yielded since the latest accrual."""
        share = self._share
        if counts.joins != share.joins:
            counts.joins = share.joins
            counts.saved = counts.credit = 0.0
        allowance = self._settings.allowance
        granted_per_second = _GRANTED_FRACTION * allowance / self._settings.window
        counts.saved += granted_per_second * (share.credit - counts.credit)
        counts.credit = share.credit
        counts.saved = min(counts.saved, _MAX_SAVED_FRACTION * allowance / share.hosts)
