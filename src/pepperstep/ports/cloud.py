"""Cloud API: hosts for rent, and notices that the cloud reclaims them."""

import enum
from dataclasses import dataclass
from typing import Protocol

__all__ = [
    "Cloud",
    "CloudHost",
    "HostState",
    "Offer",
    "PriceClass",
    "ReclaimNotice",
    "StartRefused",
]


class PriceClass(enum.StrEnum):
    """Pricing model of a host."""

    RECLAIMABLE = "reclaimable"
    ON_DEMAND = "on_demand"


class HostState(enum.StrEnum):
    """Lifecycle state of a rented host."""

    STARTING = "starting"
    RUNNING = "running"
    RECLAIMING = "reclaiming"
    STOPPED = "stopped"


class StartRefused(Exception):
    """The cloud has no capacity for the host; `retry_after` is in seconds."""

    def __init__(self, text: str, retry_after: float):
        super().__init__(text)
        self.retry_after = retry_after


@dataclass(frozen=True, slots=True)
class Offer:
    """Price of a machine class in an availability zone, per hour."""

    zone: str
    machine: str
    price_class: PriceClass
    price: float


@dataclass(frozen=True, slots=True)
class CloudHost:
    """A rented host; `token` is the idempotency token of its start."""

    id: str
    token: str
    zone: str
    machine: str
    price_class: PriceClass
    price: float
    state: HostState
    deployment: str


@dataclass(frozen=True, slots=True)
class ReclaimNotice:
    """The cloud reclaims the host `host_id` at Unix time `at`."""

    id: int
    host_id: str
    at: float


class Cloud(Protocol):
    """Client of the cloud API; raises OSError if the API is unreachable."""

    async def list_offers(self) -> list[Offer]:
        """Return the current offers; a start from an offer may still be refused."""

    async def list_hosts(self) -> list[CloudHost]:
        """Return all hosts that are not stopped."""

    async def start_host(self, token: str, offer: Offer, deployment: str) -> CloudHost:
        """Start a host; a repeat with the same token returns the same host.

        Raise `StartRefused` if the cloud has no capacity.
        """

    async def stop_host(self, host_id: str) -> None:
        """Stop a host; no error if it is already stopped."""

    async def list_notices(self, after: int) -> list[ReclaimNotice]:
        """Return the reclaim notices with an id above `after`, sorted by id."""
