"""Orders that set the number of upstreams in each availability zone."""

from dataclasses import dataclass
from typing import Protocol

__all__ = ["UpstreamOrder", "UpstreamOrders"]


@dataclass(frozen=True, slots=True)
class UpstreamOrder:
    """Desired number of a service's upstreams in a zone, for one price class."""

    service: str
    zone: str
    # Whether the cloud may reclaim the upstreams, in return for a lower price.
    is_reclaimable: bool
    count: int


class UpstreamOrders(Protocol):
    """Client for orders; the newest per service, zone and price class applies."""

    async def order(self, order: UpstreamOrder, holder: str, fence: int) -> None:
        """Return once the order is accepted.

        Raise `Failure` with `FENCED` if another host has a higher fencing token,
        with `OVERLOADED` if the cloud has no capacity, and with
        `PEER_UNREACHABLE` if the result is unknown; the order may then still be
        carried out.
        """
