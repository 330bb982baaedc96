"""HTTP client for the cloud API (docs/interfaces-platform.md)."""

from typing import Annotated
from urllib.parse import quote

import msgspec

from pepperstep.adapters.http_platform import PlatformClient
from pepperstep.ports.cloud import (
    CloudHost,
    HostState,
    Offer,
    PriceClass,
    ReclaimNotice,
    StartRefused,
)

__all__ = ["HttpCloud"]

# Statuses with which the cloud refuses to start a host because none is available.
_REFUSALS = frozenset({409, 429, 503})

_Price = Annotated[float, msgspec.Meta(ge=0)]


class _Offer(msgspec.Struct):
    zone: str
    machine: str
    price_class: PriceClass
    price: _Price


class _Host(msgspec.Struct):
    id: Annotated[str, msgspec.Meta(min_length=1)]
    token: str
    zone: str
    machine: str
    price_class: PriceClass
    price: _Price
    state: HostState
    deployment: str = ""

    def to_host(self) -> CloudHost:
        return CloudHost(**msgspec.structs.asdict(self))


class _Notice(msgspec.Struct):
    id: Annotated[int, msgspec.Meta(ge=1, le=2**63 - 1)]
    host_id: str
    at: float


class _Offers(msgspec.Struct):
    offers: list[_Offer]


class _Hosts(msgspec.Struct):
    hosts: list[_Host]


class _Notices(msgspec.Struct):
    notices: list[_Notice]


class _Start(msgspec.Struct):
    token: str
    zone: str
    machine: str
    price_class: PriceClass
    deployment: str


class HttpCloud:
    """Client of the cloud API at a base URL."""

    def __init__(self, url: str, key: str = "", ssl_context=None):
        self._client = PlatformClient(url, key, ssl_context)

    async def list_offers(self) -> list[Offer]:
        """Return the offered machines with their prices."""
        answer = await self._client.call("GET", "/cloud/v1/offers")
        return [
            Offer(each.zone, each.machine, each.price_class, each.price)
            for each in answer.decode(_Offers).offers
        ]

    async def list_hosts(self) -> list[CloudHost]:
        """Return all hosts that are not stopped."""
        answer = await self._client.call("GET", "/cloud/v1/hosts")
        hosts = [each.to_host() for each in answer.decode(_Hosts).hosts]
        return [host for host in hosts if host.state is not HostState.STOPPED]

    async def start_host(self, token: str, offer: Offer, deployment: str) -> CloudHost:
        """Start a host, or return the one already started with this token.

        Raise `StartRefused` if the cloud refuses to start it.
        """
        content = _Start(
            token, offer.zone, offer.machine, offer.price_class, deployment
        )
        answer = await self._client.call("POST", "/cloud/v1/hosts", content)
        if answer.status in _REFUSALS:
            raise StartRefused(answer.text, answer.retry_after)
        return answer.decode(_Host).to_host()

    async def stop_host(self, host_id: str) -> None:
        """Stop a host; an unknown host counts as stopped."""
        path = f"/cloud/v1/hosts/{quote(host_id, safe='')}"
        answer = await self._client.call("DELETE", path)
        if answer.status != 404:
            answer.decode(msgspec.Raw)

    async def list_notices(self, after: int) -> list[ReclaimNotice]:
        """Return the reclaim notices with an id above `after`, ordered by id."""
        answer = await self._client.call("GET", f"/cloud/v1/notices?after={after}")
        notices = [
            ReclaimNotice(each.id, each.host_id, each.at)
            for each in answer.decode(_Notices).notices
            if each.id > after
        ]
        return sorted(notices, key=lambda notice: notice.id)
