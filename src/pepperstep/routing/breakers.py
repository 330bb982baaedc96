"""Circuit breakers that eject failing or slow upstreams and let them recover."""

import enum
from collections.abc import Callable, Sequence

from pepperstep.routing.settings import RoutingSettings

__all__ = ["BREAKERS", "Breaker", "BreakerPolicy", "BreakerState", "limit_ejected"]


class BreakerState(enum.StrEnum):
    """Whether an upstream receives requests."""

    HEALTHY = "healthy"
    EJECTED = "ejected"
    # Receives one probe request at a time, whose result decides.
    RECOVERING = "recovering"


class Breaker:
    """Circuit breaker of one upstream; a policy updates it after each attempt."""

    def __init__(self, settings: RoutingSettings):
        self.settings = settings
        self.state = BreakerState.HEALTHY
        self.ejected_at = 0.0
        self.ejections = 0
        self.consecutive_failures = 0
        # Probe requests in flight to a recovering upstream.
        self.probes = 0
        self._backoff = settings.ejection_base
        self._return_at = 0.0
        self._healthy_since = 0.0

    def refresh(self, now: float) -> BreakerState:
        """Return the state, after turning an expired ejection into recovery."""
        if self.state is BreakerState.EJECTED and now >= self._return_at:
            self.state = BreakerState.RECOVERING
        return self.state

    def eject(self, now: float) -> None:
        """Eject the upstream; the duration doubles with each ejection soon after."""
        is_healthy = self.state is BreakerState.HEALTHY
        if is_healthy and now - self._healthy_since > 2 * self._backoff:
            self._backoff = self.settings.ejection_base
        self.state = BreakerState.EJECTED
        self.ejected_at = now
        self.ejections += 1
        self._return_at = now + self._backoff
        self._backoff = min(2 * self._backoff, self.settings.ejection_cap)
        self.consecutive_failures = 0

    def restore(self, now: float) -> None:
        """End an ejection after a successful probe."""
        self.state = BreakerState.HEALTHY
        self._healthy_since = now
        self.consecutive_failures = 0


BreakerPolicy = Callable[[Breaker, bool, float], None]


def never_eject(breaker: Breaker, is_success: bool, now: float) -> None:
    """Never eject."""


def count_consecutive(breaker: Breaker, is_success: bool, now: float) -> None:
    """Eject after consecutive failures or a failed probe; a success restores."""
    if is_success:
        breaker.consecutive_failures = 0
        if breaker.state is BreakerState.RECOVERING:
            breaker.restore(now)
        return
    breaker.consecutive_failures += 1
    if breaker.state is BreakerState.RECOVERING:
        breaker.eject(now)
        return
    is_enough = breaker.consecutive_failures >= breaker.settings.breaker_failures
    if is_enough and breaker.state is BreakerState.HEALTHY:
        breaker.eject(now)


BREAKERS: dict[str, BreakerPolicy] = {
    "none": never_eject,
    "consecutive": count_consecutive,
}


def limit_ejected(
    breakers: Sequence[Breaker], now: float, max_ejected_share: float
) -> set[Breaker]:
    """Return the breakers whose upstreams get no requests but probes.

    The number is limited to `max_ejected_share` of all, but to no less than one and
    never all; upstreams ejected last beyond that limit count as healthy.
    """
    unhealthy = [
        each for each in breakers if each.refresh(now) is not BreakerState.HEALTHY
    ]
    max_ejected = min(max(1, int(max_ejected_share * len(breakers))), len(breakers) - 1)
    if len(unhealthy) > max_ejected:
        unhealthy.sort(key=lambda breaker: breaker.ejected_at)
        del unhealthy[max_ejected:]
    return set(unhealthy)
