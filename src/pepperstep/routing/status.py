"""State of the routing, as operators see it."""

from dataclasses import dataclass

from pepperstep.routing.breakers import BreakerState
from pepperstep.routing.tracked import TrackedUpstream

__all__ = ["RoutingStatus", "UpstreamStatus"]


@dataclass(frozen=True, slots=True)
class UpstreamStatus:
    """One upstream, as this host routes to it."""

    name: str
    # Attempts of this host, and those of others as estimated.
    in_flight: int
    others_in_flight: int
    limit: float
    state: BreakerState
    ejections: int

    @classmethod
    def from_tracked(cls, tracked: TrackedUpstream) -> "UpstreamStatus":
        """Return the status of an upstream."""
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
    """This host's queues, limits and upstreams."""

    in_flight: int
    host_limit: float
    waiting: int
    upstreams: list[UpstreamStatus]
