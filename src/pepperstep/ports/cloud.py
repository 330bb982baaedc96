"""The cloud API: hosts to rent, and notices of their reclaim."""

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
    """How a host is paid for."""

    RECLAIMABLE = "reclaimable"
    ON_DEMAND = "on_demand"


class HostState(enum.StrEnum):
    """Life of a rented host."""

    STARTING = "starting"
    RUNNING = "running"
    RECLAIMING = "reclaiming"
    STOPPED = "stopped"


class StartRefused(Exception):
    """The cloud has no such host now; `retry_after` is in seconds."""

    def __init__(self, text: str, retry_after: float):
        super().__init__(text)
        self.retry_after = retry_after


@dataclass(frozen=True, slots=True)
class Offer:
    """Price of a machine class in an availability zone, in money an hour."""

    zone: str
    machine: str
    price_class: PriceClass
    price: float


@dataclass(frozen=True, slots=True)
class CloudHost:
    """A rented host; `token` is the one its start was asked with."""

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
    """The cloud takes `host_id` back at Unix time `at`."""

    id: int
    host_id: str
    at: float


class Cloud(Protocol):
    """Client of the cloud API; raises OSError where it can't be reached."""

    async def list_offers(self) -> list[Offer]:
        """Return what can be asked for; an offer may still be refused."""

    async def list_hosts(self) -> list[CloudHost]:
        """Return all hosts that are not stopped."""

    async def start_host(self, token: str, offer: Offer, deployment: str) -> CloudHost:
        """Start a host; a repeat with the same token returns the same host.

        Raise `StartRefused` if there is none.
        """

    async def stop_host(self, host_id: str) -> None:
        """Stop a host; no error if it has stopped."""

    async def list_notices(self, after: int) -> list[ReclaimNotice]:
        """Return the reclaim notices with an id above `after`, in order."""
