"""Times and shares of the fleet loop."""

from dataclasses import dataclass

__all__ = ["FleetTuning"]


@dataclass(frozen=True, slots=True)
class FleetTuning:
    """Times in seconds."""

    # Between two decisions, and between two polls of reclaim notices.
    period: float = 5.0
    notice_period: float = 1.0
    # Longest time that reclaim notices take to be handed on.
    hand_on_timeout: float = 5.0
    # Longest wait for a commit.
    commit_timeout: float = 3.0
    # Longest lease of an earlier leader.
    lease: float = 1.0
    # Share by which two hosts' clocks may run apart.
    clock_drift: float = 0.01
    # After this time an order is given up by its sender.
    order_ttl: float = 0.4
    # Longest time that an order may be under way after that.
    order_under_way: float = 5.0
    # One call to the cloud; it may outlast the lease, since a start is found
    # again by its token and a stop has no second effect.
    cloud_timeout: float = 10.0
    # Calls at the same time: to the cloud, and upstreams that get orders.
    cloud_calls: int = 16
    order_calls: int = 64
    # An order refused by an upstream isn't given again before this time.
    refused_pause: float = 5.0
    # Longest back-off after refused starts, and the first one.
    max_backoff: float = 300.0
    first_backoff: float = 5.0
    # A host that hasn't become ready by then is given up.
    start_timeout: float = 600.0
    # A host without a record is stopped after this time.
    orphan_grace: float = 60.0
    # Time for requests to end on a host that is to be stopped, and time in which
    # all entry hosts have heard that its engines leave.
    drain_timeout: float = 300.0
    drain_settle: float = 10.0
    # Demand counts as high as its peak in this time; a new leader stops no
    # host before it has seen that much.
    peak_window: float = 300.0
    # Shortest notice of a reclaim, and time that a host takes to boot.
    notice_seconds: float = 30.0
    boot_seconds: float = 60.0
    # Weights that may be on order at the same time, in seconds of the store's rate.
    load_window: float = 30.0
    load_timeout: float = 300.0
    # Time that an old version stays loaded once the new one is ready everywhere.
    unload_grace: float = 60.0
    # Longest time between two commits of costs.
    cost_period: float = 60.0

    @property
    def quiet_seconds(self) -> float:
        """Time after which no order of an earlier leader can arrive."""
        lease = self.lease * (1 + 2 * self.clock_drift)
        return lease + self.order_ttl + self.order_under_way
