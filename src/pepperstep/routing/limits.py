"""Limits on attempts in flight, fixed or adapted to measured latency."""

from collections.abc import Callable
from dataclasses import dataclass

from pepperstep.routing.settings import RoutingSettings

__all__ = ["LIMITS", "AdaptiveLimit", "LatencySample", "LimitPolicy"]

_DECREASE = 0.9


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


LIMITS: dict[str, LimitPolicy] = {
    "fixed": keep_fixed,
    "aimd": adapt_aimd,
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
