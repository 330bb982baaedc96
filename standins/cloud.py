"""Stand-in for the cloud API (docs/interfaces-platform.md).

It starts no processes: the program that uses it polls `GET /standin/v1/hosts` and
runs an engine for each host that is running or being reclaimed.
`POST /standin/v1/faults` with the fields of `Faults` sets the faults, and
`POST /standin/v1/reclaim` with the fields of `Reclaim` reclaims hosts.
"""

import time
from urllib.parse import parse_qs, unquote

import msgspec
import trio
from absl import app, flags

from standins.web import Application, Reply, json_reply, serve

__all__ = ["Cloud", "Faults", "Reclaim", "main"]

_ADDRESS = flags.DEFINE_string("address", "127.0.0.1:9300", "Address to listen on.")
_OFFERS = flags.DEFINE_list(
    "offers", [], "What it rents out, as ZONE:MACHINE:PRICE_CLASS:PRICE_AN_HOUR."
)
_START_SECONDS = flags.DEFINE_float("start_seconds", 2.0, "Time that a host boots.")

_HOSTS = "/cloud/v1/hosts"
_NEVER = float("inf")


class Faults(msgspec.Struct):
    """Faults that can be set while the cloud runs."""

    # Refuse starts in these availability zones, price classes or ZONE/CLASS pairs.
    refused: list[str] = []
    retry_after: float = 1.0
    # Extra seconds per call.
    slow_seconds: float = 0.0
    # Answer with status 500.
    fail: bool = False
    # Execute each call but answer with invalid JSON.
    wrong: bool = False


class Reclaim(msgspec.Struct):
    """Reclaim of a host, or of all reclaimable hosts of an availability zone."""

    seconds: float
    zone: str = ""
    host_id: str = ""


class _Offer(msgspec.Struct):
    zone: str
    machine: str
    price_class: str
    price: float


class _Start(msgspec.Struct):
    token: str
    zone: str
    machine: str
    price_class: str
    deployment: str = ""


class _Host(msgspec.Struct):
    id: str
    token: str
    zone: str
    machine: str
    price_class: str
    price: float
    deployment: str
    # Unix times.
    started_at: float
    running_at: float
    reclaimed_at: float = _NEVER
    stopped_at: float = _NEVER

    @property
    def state(self) -> str:
        """Current state."""
        now = time.time()
        if now >= min(self.stopped_at, self.reclaimed_at):
            return "stopped"
        if self.reclaimed_at != _NEVER:
            return "reclaiming"
        return "running" if now >= self.running_at else "starting"

    def to_json(self) -> dict:
        """Return the fields that the cloud API shows."""
        names = ("id", "token", "zone", "machine", "price_class", "price", "deployment")
        return {**{name: getattr(self, name) for name in names}, "state": self.state}


class Cloud:
    """Cloud with offers, hosts and reclaim notices."""

    def __init__(self, offers: list[_Offer]):
        self.offers = offers
        self.hosts: list[_Host] = []
        self.notices: list[dict] = []
        self.faults = Faults()

    def application(self) -> Application:
        """Return the HTTP interface."""
        application = Application()
        for method, prefix, route in (
            ("GET", "/cloud/v1/offers", self._list_offers),
            ("GET", _HOSTS, self._list_hosts),
            ("POST", _HOSTS, self._start_host),
            ("DELETE", f"{_HOSTS}/", self._stop_host),
            ("GET", "/cloud/v1/notices", self._list_notices),
        ):
            application.add(method, prefix, self._with_faults(route))
        application.add("POST", "/standin/v1/faults", self._set_faults)
        application.add("POST", "/standin/v1/reclaim", self._reclaim)
        application.add("GET", "/standin/v1/hosts", self._list_all_hosts)
        application.add("POST", "/standin/v1/hosts", self._add_host)
        return application

    def _with_faults(self, route):
        async def call(body: bytes, scope: dict) -> Reply:
            await trio.sleep(self.faults.slow_seconds)
            if self.faults.fail:
                return json_reply({"error": "fault"}, 500)
            reply = await route(body, scope)
            return Reply(200, b"{") if self.faults.wrong else reply

        return call

    async def _list_offers(self, body: bytes, scope: dict) -> Reply:
        return json_reply({"offers": self.offers})

    async def _list_hosts(self, body: bytes, scope: dict) -> Reply:
        hosts = [host.to_json() for host in self.hosts if host.state != "stopped"]
        return json_reply({"hosts": hosts})

    async def _list_all_hosts(self, body: bytes, scope: dict) -> Reply:
        return json_reply({"hosts": [host.to_json() for host in self.hosts]})

    async def _start_host(self, body: bytes, scope: dict) -> Reply:
        start = msgspec.json.decode(body, type=_Start)
        known = [host for host in self.hosts if host.token == start.token]
        if known:
            return json_reply(known[0].to_json())
        offer = self._find_offer(start)
        if offer is None:
            return json_reply({"error": "no such offer"}, 404)
        pool = f"{start.zone}/{start.price_class}"
        if {start.zone, start.price_class, pool} & set(self.faults.refused):
            retry_after = str(self.faults.retry_after).encode()
            error = msgspec.json.encode({"error": f"no host in {pool}"})
            headers = ((b"retry-after", retry_after),)
            return Reply(503, error, headers=headers)
        return json_reply(
            self._create_host(start, offer, _START_SECONDS.value).to_json()
        )

    async def _add_host(self, body: bytes, scope: dict) -> Reply:
        """Add a running host that wasn't started through the cloud API."""
        start = msgspec.json.decode(body, type=_Start)
        offer = self._find_offer(start)
        if offer is None:
            return json_reply({"error": "no such offer"}, 404)
        return json_reply(self._create_host(start, offer, 0.0).to_json())

    async def _stop_host(self, body: bytes, scope: dict) -> Reply:
        host_id = unquote(scope["path"].removeprefix(f"{_HOSTS}/"))
        for host in self.hosts:
            if host.id == host_id:
                host.stopped_at = min(host.stopped_at, time.time())
                return json_reply({})
        return json_reply({"error": "no such host"}, 404)

    async def _list_notices(self, body: bytes, scope: dict) -> Reply:
        query = parse_qs(scope["query_string"].decode())
        after = int(query.get("after", ["0"])[0])
        new = [notice for notice in self.notices if notice["id"] > after]
        return json_reply({"notices": new})

    async def _set_faults(self, body: bytes, scope: dict) -> Reply:
        self.faults = msgspec.json.decode(body, type=Faults)
        return json_reply({})

    async def _reclaim(self, body: bytes, scope: dict) -> Reply:
        reclaim = msgspec.json.decode(body, type=Reclaim)
        reclaimed_hosts = [host for host in self.hosts if _is_selected(host, reclaim)]
        for host in reclaimed_hosts:
            host.reclaimed_at = time.time() + reclaim.seconds
            number = len(self.notices) + 1
            self.notices.append(
                {"id": number, "host_id": host.id, "at": host.reclaimed_at}
            )
        return json_reply({"host_ids": [host.id for host in reclaimed_hosts]})

    def _find_offer(self, start: _Start) -> _Offer | None:
        wanted = (start.zone, start.machine, start.price_class)
        for offer in self.offers:
            if (offer.zone, offer.machine, offer.price_class) == wanted:
                return offer
        return None

    def _create_host(self, start: _Start, offer: _Offer, boot_seconds: float) -> _Host:
        now = time.time()
        host = _Host(
            id=f"host-{len(self.hosts) + 1}",
            token=start.token,
            zone=offer.zone,
            machine=offer.machine,
            price_class=offer.price_class,
            price=offer.price,
            deployment=start.deployment,
            started_at=now,
            running_at=now + boot_seconds,
        )
        self.hosts.append(host)
        return host


def _is_selected(host: _Host, reclaim: Reclaim) -> bool:
    if host.state not in ("starting", "running"):
        return False
    if reclaim.host_id:
        return host.id == reclaim.host_id
    return host.zone == reclaim.zone and host.price_class == "reclaimable"


def _parse_offer(text: str) -> _Offer:
    zone, machine, price_class, price = text.split(":")
    return _Offer(zone, machine, price_class, float(price))


def main(_: list[str]) -> None:
    """Run the cloud until SIGTERM."""
    cloud = Cloud([_parse_offer(text) for text in _OFFERS.value])
    trio.run(serve, cloud.application(), _ADDRESS.value)


if __name__ == "__main__":
    app.run(main)
