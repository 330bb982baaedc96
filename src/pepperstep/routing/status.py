"""Routing state reported to operators."""

from dataclasses import dataclass

from pepperstep.routing.breakers import BreakerState
from pepperstep.routing.tracked import TrackedUpstream

__all__ = ["RoutingStatus", "UpstreamStatus"]


@dataclass(frozen=True, slots=True)
class UpstreamStatus:
    """This host's routing state of one upstream."""

    name: str
    # Attempts of this host.
    in_flight: int
    # Estimated attempts of other hosts.
    others_in_flight: int
    limit: float
    state: BreakerState
    ejections: int

    @classmethod
    def from_tracked(cls, tracked: TrackedUpstream) -> "UpstreamStatus":
        """Return the status of a tracked upstream."""
        return cls(
            tracked.upstream.name,
            tracked.in_flight,
            tracked.others_in_flight,
            tracked.limit.value,
            tracked.breaker.state,
            tracked.breaker.ejections,
        )


@dataclass(frozen=True, slots=True)
class RoutingStatus:
    """Routing state of this host."""

    in_flight: int
    host_limit: float
    waiting: int
    upstreams: list[UpstreamStatus]
