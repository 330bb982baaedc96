"""Retries as a share of first attempts, over all hosts without a message.

All hosts together may send as many retries to a service in one window as a
share of its requests and a fixed allowance. Each host takes the share of its
own requests, which no other host and no other life of it counts, and its part of
the allowance.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from pepperstep.coordination import HostShare

__all__ = ["BudgetSettings", "BudgetState", "RetryBudget"]

# Part of what requests allow that hosts use. The rest covers requests that arrive at a
# window's edge.
_USED_SHARE = 0.7
# Part of the allowance that hosts may save up, and part that they are given in each
# window: any window has both at most, as a host starts with nothing saved.
_SAVED_SHARE = 0.35
_GIVEN_SHARE = 0.6


@dataclass(frozen=True, slots=True)
class BudgetSettings:
    """What all hosts together may send; from the deployment's settings."""

    # Retries for each first attempt.
    ratio: float
    # Seconds over which both are counted.
    window: float
    # Retries in each window besides.
    allowance: float


@dataclass(frozen=True, slots=True)
class BudgetState:
    """What a service's retries are decided by."""

    # Of this host in the latest window.
    requests: int
    retries: int
    # Retries that this host may send besides its share of the requests, by now.
    saved: float
    # Hosts that share the allowance, as far as this host knows.
    hosts: int


@dataclass(slots=True)
class _Service:
    firsts: deque[float] = field(default_factory=deque)
    # Times of retries, and the part of each that the requests have paid.
    retries: deque[tuple[float, float]] = field(default_factory=deque)
    # Retries that the allowance has left, and the share's credit and joins when that
    # was worked out.
    saved: float = 0.0
    credit: float = 0.0
    joins: int = 0


class RetryBudget:
    """Counts of one host, and its part of the allowance by `share`."""

    def __init__(
        self, settings: BudgetSettings, share: HostShare, now: Callable[[], float]
    ):
        self._settings = settings
        self._share = share
        self._now = now
        self._services: dict[str, _Service] = {}

    def note_first(self, service: str) -> None:
        """Count a request's first attempt."""
        self._counts(service).firsts.append(self._now())

    def take(self, service: str) -> bool:
        """Count a retry and return True, or return False if there is no budget."""
        counts = self._counts(service)
        earned = _USED_SHARE * self._settings.ratio * len(counts.firsts)
        paid = sum(part for _, part in counts.retries)
        by_requests = min(1.0, max(0.0, earned - paid))
        by_allowance = 1.0 - by_requests
        if by_allowance and (by_allowance > counts.saved or not self._share.part):
            return False
        counts.saved -= by_allowance
        counts.retries.append((self._now(), by_requests))
        return True

    def state_of(self, service: str) -> BudgetState:
        """Return what the next retry of a service is decided by."""
        counts = self._counts(service)
        return BudgetState(
            len(counts.firsts), len(counts.retries), counts.saved, self._share.hosts
        )

    def _counts(self, service: str) -> _Service:
        counts = self._services.setdefault(service, _Service())
        limit = self._now() - self._settings.window
        while counts.firsts and counts.firsts[0] < limit:
            counts.firsts.popleft()
        while counts.retries and counts.retries[0][0] < limit:
            counts.retries.popleft()
        self._save(counts)
        return counts

    def _save(self, counts: _Service) -> None:
        """Add what the allowance has given since the last time."""
        share = self._share
        if counts.joins != share.joins:
            counts.joins = share.joins
            counts.saved = counts.credit = 0.0
        allowance = self._settings.allowance
        given = _GIVEN_SHARE * allowance / self._settings.window
        counts.saved += given * (share.credit - counts.credit)
        counts.credit = share.credit
        counts.saved = min(counts.saved, _SAVED_SHARE * allowance / share.hosts)
