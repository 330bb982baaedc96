"""Fakes of the cloud API and the weight store in virtual time."""

from collections import Counter
from dataclasses import dataclass, replace

import trio

from pepperstep.fakes.timers import EPOCH
from pepperstep.ports.cloud import (
    CloudHost,
    HostState,
    Offer,
    PriceClass,
    ReclaimNotice,
    StartRefused,
)

__all__ = ["FakeCloud", "FakeWeightStore"]

_LATENCY_SECONDS = 0.01


@dataclass(slots=True)
class _StartedHost:
    """A started host and when it becomes running and is reclaimed.

    Times are on trio's clock.
    """

    host: CloudHost
    running_at: float
    reclaimed_at: float = float("inf")
    is_stopped: bool = False

    def at(self, now: float) -> CloudHost:
        """Return the host with its state at time `now`."""
        if self.is_stopped or now >= self.reclaimed_at:
            return replace(self.host, state=HostState.STOPPED)
        if self.reclaimed_at != float("inf"):
            return replace(self.host, state=HostState.RECLAIMING)
        is_starting = now < self.running_at
        state = HostState.STARTING if is_starting else HostState.RUNNING
        return replace(self.host, state=state)


class FakeCloud:
    """Cloud API with refusals, reclaims and faults set by the test."""

    def __init__(self, offers: list[Offer], start_seconds: float = 20.0):
        self.offers = offers
        self.start_seconds = start_seconds
        # Availability zones and price classes in which starts are refused.
        self.refused: set[str] = set()
        self.retry_after = 1.0
        # While True, every call fails with OSError.
        self.is_down = False
        # Number of next starts and stops that succeed but whose reply is lost.
        self.lost_replies = 0
        # Duration of each call in seconds.
        self.delay = _LATENCY_SECONDS
        # Number of start requests by idempotency token.
        self.asked: Counter[str] = Counter()
        self.refusals = 0
        # Peak number of concurrent calls.
        self.most_calls = 0
        self._calls = 0
        self._started: dict[str, _StartedHost] = {}
        self._notices: list[ReclaimNotice] = []

    @property
    def hosts(self) -> list[CloudHost]:
        """All hosts ever started, with their current states."""
        now = trio.current_time()
        return [started.at(now) for started in self._started.values()]

    @property
    def living(self) -> list[CloudHost]:
        """Hosts that aren't stopped."""
        return [host for host in self.hosts if host.state is not HostState.STOPPED]

    def reclaim(self, seconds: float, *, zone: str = "", host_id: str = "") -> None:
        """Give a reclaim notice to a host, or to all reclaimable hosts of a zone.

        The hosts stop `seconds` after the notice.
        """
        now = trio.current_time()
        for started in self._started.values():
            host = started.at(now)
            is_selected = host.id == host_id or (
                host.zone == zone and host.price_class is PriceClass.RECLAIMABLE
            )
            if is_selected and host.state in (HostState.STARTING, HostState.RUNNING):
                started.reclaimed_at = now + seconds
                number = len(self._notices) + 1
                at = EPOCH + started.reclaimed_at
                self._notices.append(ReclaimNotice(number, host.id, at))

    def add_host(self, host: CloudHost) -> None:
        """Add a running host that wasn't started through this API."""
        self._started[host.token] = _StartedHost(host, trio.current_time())

    async def list_offers(self) -> list[Offer]:
        """Return the offered machines with their prices."""
        await self._delay_call()
        return list(self.offers)

    async def list_hosts(self) -> list[CloudHost]:
        """Return the hosts that aren't stopped."""
        await self._delay_call()
        return self.living

    async def start_host(self, token: str, offer: Offer, deployment: str) -> CloudHost:
        """Start a host, or return the existing one for the same idempotency token."""
        await self._delay_call()
        self.asked[token] += 1
        if token not in self._started:
            self._check_refusal(offer)
            number = len(self._started) + 1
            host = CloudHost(
                f"host-{number}",
                token,
                offer.zone,
                offer.machine,
                offer.price_class,
                offer.price,
                HostState.STARTING,
                deployment,
            )
            running_at = trio.current_time() + self.start_seconds
            self._started[token] = _StartedHost(host, running_at)
        self._lose_reply()
        return self._started[token].at(trio.current_time())

    async def stop_host(self, host_id: str) -> None:
        """Stop a host; an unknown id is ignored."""
        await self._delay_call()
        for started in self._started.values():
            if started.host.id == host_id:
                started.is_stopped = True
        self._lose_reply()

    async def list_notices(self, after: int) -> list[ReclaimNotice]:
        """Return the notices with an id greater than `after`."""
        await self._delay_call()
        return [notice for notice in self._notices if notice.id > after]

    def _check_refusal(self, offer: Offer) -> None:
        if offer.zone in self.refused or offer.price_class in self.refused:
            self.refusals += 1
            raise StartRefused(f"No host in {offer.zone}.", self.retry_after)

    def _lose_reply(self) -> None:
        if self.lost_replies > 0:
            self.lost_replies -= 1
            raise OSError("The reply is lost.")

    async def _delay_call(self) -> None:
        self._calls += 1
        self.most_calls = max(self.most_calls, self._calls)
        try:
            await trio.sleep(self.delay)
        finally:
            self._calls -= 1
        if self.is_down:
            raise OSError("No connection.")


class FakeWeightStore:
    """Weight store with model sizes and a download rate set by the test."""

    def __init__(self, sizes: dict[tuple[str, str], int], rate: float):
        self.sizes = sizes
        self.bytes_per_second = rate
        self.is_down = False

    async def size_bytes(self, model: str, version: str) -> int:
        """Return the size of a model version, or raise KeyError."""
        await self._delay_call()
        return self.sizes[model, version]

    async def rate(self) -> float:
        """Return the download rate in bytes per second."""
        await self._delay_call()
        return self.bytes_per_second

    async def _delay_call(self) -> None:
        await trio.sleep(_LATENCY_SECONDS)
        if self.is_down:
            raise OSError("No connection.")
