"""Concurrency limits, fixed or adapted to measured latency."""

from collections.abc import Callable
from dataclasses import dataclass

from pepperstep.routing.settings import RoutingSettings

__all__ = ["LIMITS", "AdaptiveLimit", "LatencySample", "LimitPolicy"]

_DECREASE_FACTOR = 0.9


@dataclass(frozen=True, slots=True)
class LatencySample:
    """A measured latency and the latency expected without queueing, in seconds."""

    measured: float
    expected: float
    # Latency above the tolerated one that does not count as queueing yet.
    slack: float = 0.0
    # Whether the limit was nearly reached, so that a higher one would be used.
    is_limited: bool = True


LimitPolicy = Callable[[float, LatencySample, float], float]


def keep_fixed(limit: float, sample: LatencySample, tolerance: float) -> float:
    """Keep the limit."""
    return limit


def adapt_aimd(limit: float, sample: LatencySample, tolerance: float) -> float:
    """Increase by one per round of samples, or decrease by a tenth if slow."""
    if sample.measured > sample.expected * tolerance + sample.slack:
        return limit * _DECREASE_FACTOR
    return limit + 1 / limit if sample.is_limited else limit


LIMITS: dict[str, LimitPolicy] = {
    "fixed": keep_fixed,
    "aimd": adapt_aimd,
}


class AdaptiveLimit:
    """A limit between two bounds, decreased at most once per period."""

    __slots__ = (
        "_maximum",
        "_minimum",
        "_decreased_at",
        "_decrease_period",
        "_policy",
        "value",
    )

    def __init__(
        self, policy: LimitPolicy, minimum: float, maximum: float, period: float
    ):
        self.value = maximum
        self._policy = policy
        self._minimum = minimum
        self._maximum = maximum
        self._decrease_period = period
        self._decreased_at = float("-inf")

    @classmethod
    def from_slots(cls, slots: int, settings: RoutingSettings) -> "AdaptiveLimit":
        """Return an upstream's limit, which starts at its number of slots."""
        minimum = max(1.0, settings.min_limit_share * slots)
        return cls(LIMITS[settings.limit], minimum, slots, settings.limit_period)

    @classmethod
    def from_host(cls, settings: RoutingSettings) -> "AdaptiveLimit":
        """Return the limit on all attempts of this host."""
        maximum = settings.max_host_in_flight
        minimum = min(settings.min_host_in_flight, maximum)
        return cls(LIMITS[settings.host_limit], minimum, maximum, settings.limit_period)

    def update(self, sample: LatencySample, tolerance: float, now: float) -> None:
        """Adapt to a sample; only one decrease per period takes effect.

        Samples soon after a decrease come from attempts started before it.
        """
        value = self._policy(self.value, sample, tolerance)
        value = max(self._minimum, min(self._maximum, value))
        if value < self.value:
            if now - self._decreased_at < self._decrease_period:
                return
            self._decreased_at = now
        self.value = value
