"""Launcher for daemons and stand-ins as processes on loopback."""

import hashlib
import os
import socket
import subprocess
import sys
import time
import urllib.request
from dataclasses import dataclass, field
from pathlib import Path

import tomli_w

__all__ = [
    "DaemonPlace",
    "Documents",
    "EnginePlace",
    "Launcher",
    "Platform",
    "free_ports",
    "key_hash",
    "wait_ready",
]

UPSTREAM_KEY = "demo-upstream-key"
_STOP_SECONDS = 10
_DRAIN_SECONDS = 5.0


def key_hash(key: str) -> str:
    """Return the SHA-256 of a key in hexadecimal, as the configuration stores it."""
    return hashlib.sha256(key.encode()).hexdigest()


def free_ports(count: int) -> list[int]:
    """Return TCP ports on loopback that are currently free."""
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


def wait_ready(daemons: list["DaemonPlace"], seconds: float = 20.0) -> None:
    """Wait until all daemons are ready, or raise TimeoutError after `seconds`."""
    deadline = time.monotonic() + seconds
    for place in daemons:
        while not _is_ready(place.url):
            if time.monotonic() > deadline:
                raise TimeoutError(f"{place.name} is not ready.")
            time.sleep(0.1)


def _is_ready(url: str) -> bool:
    try:
        with urllib.request.urlopen(f"{url}/readyz", timeout=1) as answer:
            return answer.status == 200
    except OSError:
        return False


@dataclass(frozen=True)
class DaemonPlace:
    """Name, location, ports and roles of a daemon."""

    name: str
    zone: str
    region: str
    site: str
    caller_port: int
    peer_port: int
    roles: tuple[str, ...] = ("entry",)

    @property
    def url(self) -> str:
        """Base URL for callers."""
        return f"http://127.0.0.1:{self.caller_port}"


@dataclass(frozen=True)
class EnginePlace:
    """Name, location, port and models of a stand-in engine."""

    name: str
    zone: str
    region: str
    port: int
    models: tuple[str, ...]
    flags: tuple[str, ...] = ()

    @property
    def address(self) -> str:
        """Address at which hosts reach the engine."""
        return f"127.0.0.1:{self.port}"


@dataclass(frozen=True)
class Documents:
    """Files of the initial configuration."""

    base: Path
    overlays: tuple[Path, ...] = ()


@dataclass(frozen=True)
class Platform:
    """URLs of the cloud API and the weight store."""

    cloud_url: str
    weight_store_url: str


@dataclass
class Launcher:
    """Processes whose settings and logs are kept in `folder`.

    Leaving the context stops all processes.
    """

    folder: Path
    processes: dict[str, subprocess.Popen] = field(default_factory=dict)

    def __enter__(self) -> "Launcher":
        self.folder.mkdir(parents=True, exist_ok=True)
        return self

    def __exit__(self, *exc_info) -> None:
        for process in self.processes.values():
            process.terminate()
        for name in list(self.processes):
            self.stop(name)

    def start_daemon(
        self,
        place: DaemonPlace,
        all_places: list[DaemonPlace],
        documents: Documents,
        platform: Platform | None = None,
    ) -> None:
        """Start a daemon with the other places as its seeds."""
        settings = {
            "host": {
                "name": place.name,
                "zone": place.zone,
                "region": place.region,
                "site": place.site,
                "peer_address": f"127.0.0.1:{place.peer_port}",
                "caller_address": f"127.0.0.1:{place.caller_port}",
                "roles": list(place.roles),
            },
            "seeds": [
                {"name": each.name, "peer_address": f"127.0.0.1:{each.peer_port}"}
                for each in all_places
                if each.name != place.name
            ],
            "control": {
                "voters": [p.name for p in all_places if "control" in p.roles],
                "data_folder": (
                    str(self.folder / f"{place.name}-data")
                    if "control" in place.roles
                    else ""
                ),
            },
            "documents": {
                "base": str(documents.base),
                "overlays": [str(path) for path in documents.overlays],
            },
            "requests": {"drain_seconds": _DRAIN_SECONDS},
            "upstream_key": UPSTREAM_KEY,
        }
        if platform is not None:
            settings["cloud"] = {
                "cloud_url": platform.cloud_url,
                "weight_store_url": platform.weight_store_url,
            }
        path = self.folder / f"{place.name}.toml"
        path.write_text(tomli_w.dumps(settings))
        self.start(place.name, ["pepperstep.daemon", "--config", str(path)])

    def start_engine(self, place: EnginePlace, urls: list[str]) -> None:
        """Start a stand-in engine that announces itself at `urls`."""
        arguments = [
            "standins.engine",
            f"--name={place.name}",
            f"--address={place.address}",
            f"--zone={place.zone}",
            f"--region={place.region}",
            f"--models={','.join(place.models)}",
            f"--entry_hosts={','.join(urls)}",
            f"--key={UPSTREAM_KEY}",
            *place.flags,
        ]
        self.start(place.name, arguments)

    def stop(self, name: str) -> None:
        """Stop a process by SIGTERM, and by SIGKILL if it doesn't exit in time."""
        process = self.processes.pop(name)
        process.terminate()
        try:
            process.wait(_STOP_SECONDS)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()

    def kill(self, name: str) -> None:
        """Kill a process by SIGKILL."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def start(self, name: str, arguments: list[str]) -> None:
        """Start a Python module; the first argument is its name."""
        log = (self.folder / f"{name}.log").open("w")
        self.processes[name] = subprocess.Popen(
            [sys.executable, "-m", *arguments],
            stdout=log,
            stderr=log,
            env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
        )
        log.close()
