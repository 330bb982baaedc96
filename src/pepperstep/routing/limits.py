"""Limits on attempts in flight, fixed or adapted to measured latency."""

import math
from collections.abc import Callable
from dataclasses import dataclass

from pepperstep.routing.settings import RoutingSettings

__all__ = ["LIMITS", "AdaptiveLimit", "LatencySample", "LimitPolicy"]

_DECREASE = 0.9
_LEAST_GRADIENT = 0.5
_SMOOTHING = 0.2


@dataclass(frozen=True, slots=True)
class LatencySample:
    """A measured latency against what it would be without queueing."""

    measured: float
    expected: float
    # Measured latency may be this much above before it counts as queueing.
    slack: float = 0.0
    # Whether the limit was nearly reached, so that more could be of use.
    is_limited: bool = True


LimitPolicy = Callable[[float, LatencySample, float], float]


def keep_fixed(limit: float, sample: LatencySample, tolerance: float) -> float:
    """Return the same limit."""
    return limit


def adapt_aimd(limit: float, sample: LatencySample, tolerance: float) -> float:
    """Return one more a round, or a tenth less where the latency is high."""
    if sample.measured > sample.expected * tolerance + sample.slack:
        return limit * _DECREASE
    return limit + 1 / limit if sample.is_limited else limit


def adapt_gradient(limit: float, sample: LatencySample, tolerance: float) -> float:
    """Return a limit scaled by expected over measured latency, plus a root."""
    expected = sample.expected * tolerance + sample.slack
    gradient = expected / max(sample.measured, 1e-9)
    gradient = max(_LEAST_GRADIENT, min(1.0, gradient))
    if gradient == 1.0 and not sample.is_limited:
        return limit
    target = limit * gradient + math.sqrt(limit)
    return limit + _SMOOTHING * (target - limit)


LIMITS: dict[str, LimitPolicy] = {
    "fixed": keep_fixed,
    "aimd": adapt_aimd,
    "gradient": adapt_gradient,
}


class AdaptiveLimit:
    """A limit between two bounds, lowered at most once a period."""

    __slots__ = ("_largest", "_least", "_lowered_at", "_period", "_policy", "value")

    def __init__(
        self, policy: LimitPolicy, least: float, largest: float, period: float
    ):
        self.value = largest
        self._policy = policy
        self._least = least
        self._largest = largest
        self._period = period
        self._lowered_at = float("-inf")

    @classmethod
    def from_slots(cls, slots: int, settings: RoutingSettings) -> "AdaptiveLimit":
        """Return an upstream's limit, which starts at its slots."""
        least = max(1.0, settings.min_limit_share * slots)
        return cls(LIMITS[settings.limit], least, slots, settings.limit_period)

    @classmethod
    def from_host(cls, settings: RoutingSettings) -> "AdaptiveLimit":
        """Return this host's limit."""
        largest = settings.max_host_in_flight
        least = min(settings.min_host_in_flight, largest)
        return cls(LIMITS[settings.host_limit], least, largest, settings.limit_period)

    def note(self, sample: LatencySample, tolerance: float, now: float) -> None:
        """Adapt to a sample; those of attempts begun before a cut are kept out."""
        value = self._policy(self.value, sample, tolerance)
        value = max(self._least, min(self._largest, value))
        if value < self.value:
            if now - self._lowered_at < self._period:
                return
            self._lowered_at = now
        self.value = value
