"""Processes of the demo: daemons of two partners, engines and services."""

import json
import time
import urllib.request
from pathlib import Path

import tomli_w

from demo.documents import overlay_document, shared_document
from demo.launcher import (
    UPSTREAM_KEY,
    DaemonPlace,
    Documents,
    EnginePlace,
    Launcher,
    Platform,
    free_ports,
)

__all__ = ["Site"]

REGIONS = {
    "dosanko": ("sapporo-hall", "asahikawa-hall", "hakodate-hall"),
    "ncr": ("makati-a", "pasig-b", "taguig-c"),
}
PARTNERS = {"dosanko": "kitahara", "ncr": "bantayog"}
DEPLOYMENTS = {"dosanko": "zaseki-model", "ncr": "pepperstep-pool"}
MODELS = {"dosanko": "zaseki-7b::1", "ncr": "annuity-13b::2"}
_PRICES = {"reclaimable": 1.0, "on_demand": 3.0}
_BOOT_SECONDS = 2.0
_HOST_PORTS = 40
_SECONDS_PER_HOUR = 3600.0


class Site:
    """All processes of the demo, with one engine per running cloud host."""

    def __init__(self, folder: Path, launcher: Launcher):
        self._folder = folder
        self._launcher = launcher
        self._ports = free_ports(20 + _HOST_PORTS)
        self._engines: set[str] = set()
        # Cost of all cloud hosts up to the last poll of the cloud.
        self.cost = 0.0
        self._polled_at = time.monotonic()
        self._cloud = f"http://127.0.0.1:{self._ports.pop()}"
        self._weights = f"http://127.0.0.1:{self._ports.pop()}"
        self.daemons = [
            DaemonPlace(
                f"{PARTNERS[region]}-{number}",
                zone,
                region,
                PARTNERS[region],
                self._ports.pop(),
                self._ports.pop(),
                ("entry", "control") if region == "dosanko" else ("entry",),
            )
            for region, zones in REGIONS.items()
            for number, zone in enumerate(zones)
        ]

    def start(self) -> None:
        """Start all processes, with one running cloud host in each zone."""
        documents = self._write_documents()
        self._start_platform()
        platform = Platform(self._cloud, self._weights)
        for place in self.daemons:
            self._launcher.start_daemon(place, self.daemons, documents, platform)
        for region, zones in REGIONS.items():
            for zone in zones:
                self._add_running_host(region, zone)
        self._start_services()
        self.follow_cloud()

    def urls(self) -> dict[str, list[str]]:
        """Return the base URLs of the daemons that serve each deployment."""
        return {
            DEPLOYMENTS[region]: [d.url for d in self.daemons if d.region == region]
            for region in REGIONS
        }

    def follow_cloud(self) -> None:
        """Start an engine on each new cloud host, and kill those of stopped hosts.

        Also add the cost of the hosts since the last call.
        """
        now = time.monotonic()
        hours = (now - self._polled_at) / _SECONDS_PER_HOUR
        self._polled_at = now
        for host in _call(f"{self._cloud}/standin/v1/hosts")["hosts"]:
            name = f"engine-on-{host['id']}"
            is_running = host["state"] in ("running", "reclaiming")
            self.cost += is_running * host["price"] * hours
            if is_running and name not in self._engines:
                self._engines.add(name)
                self._start_engine(name, host)
            elif host["state"] == "stopped" and name in self._launcher.processes:
                self._launcher.kill(name)

    def reclaim(self, zone: str, seconds: float) -> list[str]:
        """Make the cloud reclaim a zone's hosts, and return their ids."""
        body = {"zone": zone, "seconds": seconds}
        return _call(f"{self._cloud}/standin/v1/reclaim", body)["host_ids"]

    def refuse(self, zones: list[str]) -> None:
        """Make the cloud refuse starts in these zones."""
        _call(f"{self._cloud}/standin/v1/faults", {"refused": zones})

    def wait_served(self, seconds: float) -> None:
        """Wait until all daemons are ready, or raise TimeoutError after `seconds`."""
        deadline = time.monotonic() + seconds
        while not all(self._is_served(place) for place in self.daemons):
            if time.monotonic() > deadline:
                raise TimeoutError("Some daemons are not ready.")
            self.follow_cloud()
            time.sleep(0.2)

    def metric(self, name: str) -> float:
        """Return the sum of a metric over all daemons."""
        total = 0.0
        for place in self.daemons:
            with urllib.request.urlopen(f"{place.url}/metrics", timeout=5) as answer:
                lines = answer.read().decode().splitlines()
            total += sum(
                float(line.rpartition(" ")[2])
                for line in lines
                if line.startswith((f"{name}{{", f"{name} "))
            )
        return total

    def runs_of_quotes(self) -> list[str]:
        """Return the SHA-256 of the request body of each run of the plain service."""
        files = self._folder.glob("quote-api-*.runs")
        return [line for file in files for line in file.read_text().splitlines()]

    def _is_served(self, place: DaemonPlace) -> bool:
        response = urllib.request.urlopen(f"{place.url}/readyz", timeout=5)
        with response as answer:
            return answer.status == 200

    def _write_documents(self) -> Documents:
        base = self._folder / "base.toml"
        base.write_text(tomli_w.dumps(shared_document()))
        overlays = []
        for site in PARTNERS.values():
            path = self._folder / f"{site}.toml"
            path.write_text(tomli_w.dumps(overlay_document(site)))
            overlays.append(path)
        return Documents(base, tuple(overlays))

    def _start_platform(self) -> None:
        offers = [
            f"{zone}:a1:{price_class}:{price}"
            for zones in REGIONS.values()
            for zone in zones
            for price_class, price in _PRICES.items()
        ]
        self._launcher.start(
            "cloud",
            [
                "standins.cloud",
                f"--address={self._cloud.removeprefix('http://')}",
                f"--offers={','.join(offers)}",
                f"--start_seconds={_BOOT_SECONDS}",
            ],
        )
        self._launcher.start(
            "weights",
            [
                "standins.weights",
                f"--address={self._weights.removeprefix('http://')}",
                "--models=zaseki-7b:1:1000000,annuity-13b:2:1000000",
            ],
        )
        _wait_for(f"{self._cloud}/standin/v1/hosts")

    def _add_running_host(self, region: str, zone: str) -> None:
        body = {
            "token": f"first-{zone}",
            "zone": zone,
            "machine": "a1",
            "price_class": "reclaimable",
            "deployment": DEPLOYMENTS[region],
        }
        _call(f"{self._cloud}/standin/v1/hosts", body)

    def _start_engine(self, name: str, host: dict) -> None:
        region = next(r for r, zones in REGIONS.items() if host["zone"] in zones)
        is_first = host["token"].startswith("first-")
        place = EnginePlace(
            name,
            host["zone"],
            region,
            self._ports.pop(),
            (MODELS[region],) if is_first else (),
            (f"--host={host['id']}", "--slots=24"),
        )
        self._launcher.start_engine(place, [d.url for d in self.daemons])

    def _start_services(self) -> None:
        for number, zone in enumerate(REGIONS["ncr"][:2]):
            name = f"quote-api-{number}"
            self._launcher.start(
                name,
                [
                    "standins.service",
                    f"--name={name}",
                    "--service=quote-api",
                    f"--address=127.0.0.1:{self._ports.pop()}",
                    f"--zone={zone}",
                    "--region=ncr",
                    f"--key={UPSTREAM_KEY}",
                    f"--entry_hosts={','.join(d.url for d in self.daemons)}",
                    f"--runs_file={self._folder / name}.runs",
                ],
            )


def _call(url: str, body: dict | None = None) -> dict:
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(url, data=data)
    with urllib.request.urlopen(request, timeout=5) as answer:
        return json.loads(answer.read())


def _wait_for(url: str) -> None:
    for _ in range(100):
        try:
            _call(url)
        except OSError:
            time.sleep(0.1)
        else:
            return
    raise TimeoutError(url)
