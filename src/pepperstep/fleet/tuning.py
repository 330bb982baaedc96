"""Tuning parameters of the fleet's control loop."""

from dataclasses import dataclass

__all__ = ["FleetTuning"]


@dataclass(frozen=True, slots=True)
class FleetTuning:
    """Tuning parameters; times are in seconds."""

    # Interval between decisions, and between polls of reclaim notices.
    period: float = 5.0
    notice_period: float = 1.0
    # Longest time for the delivery of reclaim notices.
    delivery_timeout: float = 5.0
    # Longest wait for a commit.
    commit_timeout: float = 3.0
    # Longest lease that an earlier leader may hold.
    lease: float = 1.0
    # Largest relative difference between the rates of two hosts' clocks.
    clock_drift: float = 0.01
    # Time after which the sender of an order stops waiting for the answer.
    order_ttl: float = 0.4
    # Longest time after `order_ttl` at which an order may still arrive.
    max_order_delay: float = 5.0
    # Timeout of one call to the cloud. It may exceed the lease, as starts are
    # idempotent by their token and stops are idempotent.
    cloud_timeout: float = 10.0
    # Limits of concurrent calls to the cloud, and of upstreams sent orders at once.
    cloud_calls: int = 16
    order_calls: int = 64
    # Pause after an upstream refuses an order.
    refused_pause: float = 5.0
    # Upper limit and first value of the backoff after refused starts.
    max_backoff: float = 300.0
    first_backoff: float = 5.0
    # Time after which a start is cancelled, or an unready host is replaced.
    start_timeout: float = 600.0
    # Time after which an orphaned host is stopped.
    orphan_grace: float = 60.0
    # Longest time for requests to end on a host before it is stopped, and time until
    # all entry hosts know that its engines are leaving.
    drain_timeout: float = 300.0
    drain_settle: float = 10.0
    # Window over which the peak demand is taken; a new leader stops no host until it
    # has observed one whole window.
    peak_window: float = 300.0
    # Shortest reclaim notice, and boot time of a host.
    notice_seconds: float = 30.0
    boot_seconds: float = 60.0
    # Limit of concurrent loads, in seconds at the weight store's full rate, and time
    # after which a load without its model may be ordered again.
    load_window: float = 30.0
    load_timeout: float = 300.0
    # Time that an old version stays loaded once enough engines have the new one.
    unload_grace: float = 60.0
    # Longest interval between commits of costs.
    cost_period: float = 60.0

    @property
    def old_order_expiry_seconds(self) -> float:
        """Time after which no order of an earlier leader can arrive."""
        lease = self.lease * (1 + 2 * self.clock_drift)
        return lease + self.order_ttl + self.max_order_delay
