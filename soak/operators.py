"""Operators of a run: they change the configuration and look where it's in force."""

import itertools
import json
from dataclasses import dataclass

import trio

from pepperstep.adapters.http1 import Http1Connector
from pepperstep.ports.exchange import ConnectionFault, RequestHead
from soak.plan import SERVICES, ConfigChange
from standins.platform_site import Site

__all__ = ["Operators", "Probe", "Version"]

_CALL_SECONDS = 3.0
_PROBE_SECONDS = 0.5
_PROBE_PAUSE_SECONDS = 0.15
_PAUSE_SECONDS = 0.1
_FORBIDDEN = 401
_UNKNOWN = 404


@dataclass(slots=True)
class Version:
    """A version of the configuration; times are trio's."""

    number: int
    timeout: float
    asked_at: float
    acknowledged_at: float = float("inf")


@dataclass(frozen=True, slots=True)
class Probe:
    """Whether a version was in force at an entry host."""

    host: str
    version: int
    sent_at: float
    ended_at: float
    is_in_force: bool


class Operators:
    """Changes the configuration, reads it, and probes entry hosts for it."""

    def __init__(self, site: Site, controls: tuple[str, ...], entries: tuple[str, ...]):
        self._site = site
        self._controls = controls
        self._entries = entries
        self._connector = Http1Connector(trio.current_time)
        self._lock = trio.Lock()
        self.versions: list[Version] = []
        self.probes: list[Probe] = []
        # Versions that were read, with the one that was acknowledged before.
        self.reads: list[tuple[int, int]] = []

    async def change(self, change: ConfigChange, seconds: float) -> Version | None:
        """Put a new version until it's acknowledged; return None if it never is."""
        async with self._lock:
            version = Version(
                len(self.versions) + 1, change.timeout_ms / 1000, trio.current_time()
            )
            self.versions.append(version)
            document = _document(version.number, change)
            with trio.move_on_after(seconds):
                for name in itertools.cycle(self._controls):
                    received = await self._site.call_control(
                        name, b"POST", "/-/Config.Replace", document, _CALL_SECONDS
                    )
                    if received is not None and received.status == 200:
                        version.acknowledged_at = trio.current_time()
                        return version
                    await trio.sleep(_PAUSE_SECONDS)
            return None

    async def read(self) -> bool:
        """Read the version from each control host; return whether one answered."""
        before = self.acknowledged
        has_read = False
        for name in self._controls:
            received = await self._site.call_control(
                name, b"GET", "/-/Config.Read", b"", _CALL_SECONDS
            )
            if received is not None and received.status == 200:
                self.reads.append((json.loads(received.body)["version"], before))
                has_read = True
        return has_read

    @property
    def acknowledged(self) -> int:
        """Latest version that was acknowledged, 0 without one."""
        done = [each for each in self.versions if each.acknowledged_at < float("inf")]
        return done[-1].number if done else 0

    async def read_repeatedly(self) -> None:
        """Read the version now and then, until cancelled."""
        while True:
            await self.read()
            await trio.sleep(1.0)

    async def watch(self) -> None:
        """Probe all entry hosts for the latest two versions, until cancelled."""
        async with trio.open_nursery() as nursery:
            for host in self._entries:
                nursery.start_soon(self._watch_host, host)

    async def _watch_host(self, host: str) -> None:
        while True:
            await trio.sleep(_PROBE_PAUSE_SECONDS)
            latest = self.acknowledged
            for version in range(max(1, latest - 1), latest + 1):
                await self._probe(host, version)

    async def _probe(self, host: str, version: int) -> None:
        """Ask for a route that only one version has, without the key that it needs."""
        head = RequestHead(
            b"GET", b"/version-%d/" % version, ((b"host", b"a.example"),)
        )
        sent_at = trio.current_time()
        with trio.move_on_after(_PROBE_SECONDS):
            try:
                connection = await self._connector.connect(
                    self._site.address(host), _PROBE_SECONDS
                )
            except ConnectionFault:
                return
            try:
                answer = await connection.send(head, b"")
            except ConnectionFault:
                return
            finally:
                connection.close()
            if answer.status in (_FORBIDDEN, _UNKNOWN):
                is_in_force = answer.status == _FORBIDDEN
                now = trio.current_time()
                self.probes.append(Probe(host, version, sent_at, now, is_in_force))


def _document(version: int, change: ConfigChange) -> bytes:
    base = {"host": "a.example", "timeout_ms": change.timeout_ms}
    routes = [
        base
        | {
            "name": f"{kind}-{service}",
            "path_prefix": f"/{kind}-{service}/",
            "kind": kind,
            "service": service,
            "max_attempts": 3 if kind == "safe" else 2,
        }
        for kind in ("unsafe", "safe", "stream")
        for service in SERVICES
    ]
    mark = {"name": "version", "path_prefix": f"/version-{version}/"}
    routes.append(base | mark | {"kind": "unsafe", "service": SERVICES[0]})
    return json.dumps(
        {
            "version": version,
            "routes": routes,
            "services": [{"name": service} for service in SERVICES],
            "tenants": [{"name": "desk", "api_keys": ["key-of-desk"]}],
            "limits": {"idle_timeout_ms": change.idle_ms},
        }
    ).encode()
