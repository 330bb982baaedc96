"""History of reclaims and refused starts, by pool of hosts."""

import enum
import math
from dataclasses import dataclass, replace

from pepperstep.ports.cloud import CloudHost, Offer, PriceClass

__all__ = ["PoolEvent", "PoolEventKind", "PoolHistory", "PoolKey", "decayed_count"]

_MAX_TIMES = 16
# Reclaims within this time of the last counted one belong to the same wave.
_WAVE_SECONDS = 60.0
_HALF_LIFE_SECONDS = 3600.0


class PoolEventKind(enum.StrEnum):
    """Kind of a `PoolEvent`."""

    RECLAIMED = "reclaimed"
    REFUSED = "refused"
    STARTED = "started"


@dataclass(frozen=True, slots=True, order=True)
class PoolKey:
    """Hosts of one machine class and price class in one availability zone."""

    zone: str
    machine: str
    price_class: PriceClass

    @classmethod
    def of(cls, source: Offer | CloudHost) -> "PoolKey":
        """Return the pool of an offer or a host."""
        return cls(source.zone, source.machine, source.price_class)

    def __str__(self) -> str:
        return f"{self.zone}/{self.machine}/{self.price_class}"


@dataclass(frozen=True, slots=True)
class PoolEvent:
    """A reclaim, refusal or start; blocks starts in the pool until `blocked_until`."""

    key: PoolKey
    kind: PoolEventKind
    blocked_until: float = 0.0


@dataclass(frozen=True, slots=True)
class PoolHistory:
    """Unix times of a pool's latest reclaims and refusals."""

    reclaims: tuple[float, ...] = ()
    refusals: tuple[float, ...] = ()
    # Consecutive refusals since the last successful start.
    refusals_in_row: int = 0
    blocked_until: float = 0.0

    def with_event(self, event: PoolEvent, time: float) -> "PoolHistory":
        """Return the history with an event at Unix time `time` applied."""
        blocked_until = max(self.blocked_until, event.blocked_until)
        match event.kind:
            case PoolEventKind.STARTED if time >= self.blocked_until:
                return replace(self, refusals_in_row=0)
            case PoolEventKind.STARTED:
                return self
            case PoolEventKind.REFUSED if time < self.blocked_until:
                # One of several starts that were sent together: counts once.
                return replace(self, blocked_until=blocked_until)
            case PoolEventKind.REFUSED:
                return replace(
                    self,
                    refusals=(*self.refusals, time)[-_MAX_TIMES:],
                    refusals_in_row=self.refusals_in_row + 1,
                    blocked_until=blocked_until,
                )
        is_new_wave = not self.reclaims or time - self.reclaims[-1] > _WAVE_SECONDS
        reclaims = (*self.reclaims, time) if is_new_wave else self.reclaims
        return replace(
            self, reclaims=reclaims[-_MAX_TIMES:], blocked_until=blocked_until
        )


def decayed_count(times: tuple[float, ...], now: float) -> float:
    """Return the count of `times`, decayed with a half-life of one hour."""
    scale = math.log(2) / _HALF_LIFE_SECONDS
    return sum(math.exp(-scale * max(0.0, now - time)) for time in times)
