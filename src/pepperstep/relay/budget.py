"""Retries as a share of first attempts, over all hosts without a message.

All hosts together may send as many retries to a service in one window as a
share of its requests and a fixed allowance. Each host takes the share of its
own requests, and an equal part of the allowance.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

__all__ = ["BudgetSettings", "BudgetState", "RetryBudget"]

# Part of what is allowed that hosts use. The rest covers hosts that start
# again with an empty memory, and requests that arrive at a window's edge.
_USED_SHARE = 0.7


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
    # Retries that this host may send in a window besides its share of the requests.
    own_allowance: float
    # Hosts that the allowance is divided by.
    hosts: int


@dataclass(slots=True)
class _Service:
    firsts: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)


class RetryBudget:
    """Counts of one host; `host_count` gives the number of hosts that share."""

    def __init__(
        self,
        settings: BudgetSettings,
        host_count: Callable[[], int],
        now: Callable[[], float],
    ):
        self._settings = settings
        self._host_count = host_count
        self._now = now
        self._services: dict[str, _Service] = {}

    def note_first(self, service: str) -> None:
        """Count a request's first attempt."""
        self._counts(service).firsts.append(self._now())

    def take(self, service: str) -> bool:
        """Count a retry and return True, or return False if there is no budget."""
        state = self.state_of(service)
        earned = _USED_SHARE * self._settings.ratio * state.requests
        if state.retries + 1 > earned + state.own_allowance:
            return False
        self._counts(service).retries.append(self._now())
        return True

    def state_of(self, service: str) -> BudgetState:
        """Return what the next retry of a service is decided by."""
        counts = self._counts(service)
        hosts = max(1, self._host_count())
        own_allowance = _USED_SHARE * self._settings.allowance / hosts
        return BudgetState(
            len(counts.firsts), len(counts.retries), own_allowance, hosts
        )

    def _counts(self, service: str) -> _Service:
        counts = self._services.setdefault(service, _Service())
        limit = self._now() - self._settings.window
        for times in (counts.firsts, counts.retries):
            while times and times[0] < limit:
                times.popleft()
        return counts
