"""Views of deployments, hosts and pools as input for planning."""

from dataclasses import dataclass

from pepperstep.fleet.demand import Need
from pepperstep.fleet.history import PoolKey
from pepperstep.ports.cloud import Offer, PriceClass

__all__ = ["DeploymentView", "HostView", "PoolView"]


@dataclass(frozen=True, slots=True)
class PoolView:
    """A pool of hosts for rent: its price an hour and its recent history."""

    key: PoolKey
    price: float
    # Exponentially decayed counts of reclaims and refused starts.
    reclaims: float = 0.0
    refusals: float = 0.0
    # Whether the pool is on offer and not blocked.
    is_open: bool = True

    @property
    def is_reclaimable(self) -> bool:
        """Whether the cloud may reclaim the pool's hosts."""
        return self.key.price_class is PriceClass.RECLAIMABLE

    def to_offer(self) -> Offer:
        """Return the offer for a start in this pool."""
        return Offer(self.key.zone, self.key.machine, self.key.price_class, self.price)


@dataclass(frozen=True, slots=True)
class HostView:
    """A rented host, or one that is being started."""

    # Token of the start, "" if the fleet didn't start the host.
    token: str
    host_id: str
    key: PoolKey
    price: float
    is_ready: bool = True
    # Whether the host is being reclaimed or stopped.
    is_leaving: bool = False
    # Whether the host has been unready for longer than the start timeout.
    has_failed: bool = False
    # Requests running or waiting on the host.
    busy: int = 0

    @property
    def is_counted(self) -> bool:
        """Whether the host counts as capacity, now or soon."""
        return not self.is_leaving and not self.has_failed


@dataclass(frozen=True, slots=True)
class DeploymentView:
    """A deployment with its need, hosts and usable pools."""

    name: str
    need: Need
    hosts: tuple[HostView, ...]
    pools: tuple[PoolView, ...]
    max_replicas: int = 12
    cost_weight: float = 0.5
    # Replicas that can become ready within a reclaim notice.
    startable: int = 0
    # Whether the leader has observed enough to stop hosts.
    may_stop: bool = True

    @property
    def counted(self) -> list[HostView]:
        """Hosts that count as capacity."""
        return [host for host in self.hosts if host.is_counted]
