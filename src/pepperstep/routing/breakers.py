"""Ejects upstreams that fail or are slow, and lets them return."""

import enum
from collections.abc import Callable, Sequence

from pepperstep.routing.settings import RoutingSettings

__all__ = ["BREAKERS", "Breaker", "BreakerPolicy", "BreakerState", "limit_ejected"]


class BreakerState(enum.StrEnum):
    """Whether an upstream is trusted with requests."""

    HEALTHY = "healthy"
    EJECTED = "ejected"
    # Gets one request at a time, which decides.
    RECOVERING = "recovering"


class Breaker:
    """State of one upstream; a policy decides on it after each attempt."""

    def __init__(self, settings: RoutingSettings):
        self.settings = settings
        self.state = BreakerState.HEALTHY
        self.ejected_at = 0.0
        self.ejections = 0
        # Failures in a row while healthy.
        self.failures = 0
        # Requests in flight that test a recovering upstream.
        self.probes = 0
        self._backoff = settings.ejection_base
        self._return_at = 0.0
        self._healthy_since = 0.0

    def refresh(self, now: float) -> BreakerState:
        """Return the state, which turns to recovering once the time is over."""
        if self.state is BreakerState.EJECTED and now >= self._return_at:
            self.state = BreakerState.RECOVERING
        return self.state

    def eject(self, now: float) -> None:
        """Eject for a time that doubles with each ejection that follows soon."""
        is_healthy = self.state is BreakerState.HEALTHY
        if is_healthy and now - self._healthy_since > 2 * self._backoff:
            self._backoff = self.settings.ejection_base
        self.state = BreakerState.EJECTED
        self.ejected_at = now
        self.ejections += 1
        self._return_at = now + self._backoff
        self._backoff = min(2 * self._backoff, self.settings.ejection_cap)
        self.failures = 0

    def restore(self, now: float) -> None:
        """End an ejection."""
        self.state = BreakerState.HEALTHY
        self._healthy_since = now
        self.failures = 0


BreakerPolicy = Callable[[Breaker, bool, float], None]


def never_eject(breaker: Breaker, is_success: bool, now: float) -> None:
    """Never eject."""


def count_consecutive(breaker: Breaker, is_success: bool, now: float) -> None:
    """Eject after some failures in a row; one success ends it."""
    if is_success:
        breaker.failures = 0
        if breaker.state is BreakerState.RECOVERING:
            breaker.restore(now)
        return
    breaker.failures += 1
    if breaker.state is BreakerState.RECOVERING:
        breaker.eject(now)
        return
    is_enough = breaker.failures >= breaker.settings.breaker_failures
    if is_enough and breaker.state is BreakerState.HEALTHY:
        breaker.eject(now)


BREAKERS: dict[str, BreakerPolicy] = {
    "none": never_eject,
    "consecutive": count_consecutive,
}


def limit_ejected(
    breakers: Sequence[Breaker], now: float, max_ejected_share: float
) -> set[Breaker]:
    """Return the breakers whose upstreams get nothing, or only probes.

    Those ejected last count as healthy where more than the share are, so at
    least one of several can be ejected and never all.
    """
    unhealthy = [
        each for each in breakers if each.refresh(now) is not BreakerState.HEALTHY
    ]
    max_ejected = min(max(1, int(max_ejected_share * len(breakers))), len(breakers) - 1)
    if len(unhealthy) > max_ejected:
        unhealthy.sort(key=lambda breaker: breaker.ejected_at)
        del unhealthy[max_ejected:]
    return set(unhealthy)
