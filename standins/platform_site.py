"""Small deployment of real daemons on loopback, with a stand-in for the platform.

Each host has its own address in 127.0.0.0/8, so that all hosts can use the same
ports, as on the platform's machines. The stand-in sends the published messages of
operators, callers and upstreams.
"""

import json
import os
import signal
import socket
import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

import trio

from pepperstep.adapters.http1 import Http1Connector, Http1Server
from pepperstep.entities.routes import CallerLimits
from pepperstep.ports.exchange import (
    Answer,
    AnswerHead,
    ConnectionFault,
    Exchange,
    RequestHead,
)
from pepperstep.programs.relay_daemon import METRICS_PORT

__all__ = ["Daemon", "Received", "Site", "StandInUpstream"]

_DAEMON = Path(__file__).resolve().parent.parent / "deploy" / "pepperstepd.py"
_NETWORK = "127.53"
_NETWORK_COUNT = 250
# Address number and port of the socket that reserves a site's network for it.
_RESERVED_NUMBER = 254
_RESERVED_PORT = 9_463
# Period of polls of an awaited condition, and the timeout of the wait.
_POLL_SECONDS = 0.05
_WAIT_SECONDS = 30.0
_STOP_SECONDS = 20.0
# Time after which an upstream tries the next control host.
_ANNOUNCE_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class Received:
    """Answer received by a caller or operator."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes


@dataclass(slots=True)
class Daemon:
    """Process of a host, with its address and log file."""

    name: str
    ip: str
    process: subprocess.Popen
    log: Path

    def stop(self, number: signal.Signals = signal.SIGTERM) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)


class StandInUpstream:
    """Upstream that answers requests and announces itself as on the platform."""

    def __init__(self, name: str, service: str, address: str):
        self.name = name
        self.service = service
        self.address = address
        self.seen: list[RequestHead] = []
        self.sequence = 0
        # Announced state, "" to send no announcements.
        self.state = "ready"
        # Announced states that a control host has acknowledged.
        self.acknowledged: set[str] = set()
        # Announced software version.
        self.version = "v1"
        # Seconds between two events of a stream.
        self.pause = 0.2

    async def handle(self, exchange: Exchange) -> None:
        """Answer with a stream of three events, or with the body of the request.

        A request meant for another upstream gets status 421.
        """
        self.seen.append(exchange.head)
        attempt = exchange.head.first(b"pepperstep-attempt-id")
        headers = (
            (b"pepperstep-attempt-id", attempt),
            (b"pepperstep-replica-seal", self.name.encode()),
        )
        if exchange.head.first(b"pepperstep-expect-replica") != self.name.encode():
            await exchange.answer(Answer(421, b"", headers))
        elif b"stream" not in exchange.head.target:
            await exchange.answer(Answer(200, exchange.body, headers))
        else:
            await exchange.begin(AnswerHead(200, headers), b"id: 1\ndata: a\n\n")
            for number in (2, 3):
                await trio.sleep(self.pause)
                await exchange.send(b"id: %d\ndata: b\n\n" % number)
            await exchange.finish()

    def beat(self) -> bytes:
        """Return the body of the next announcement."""
        self.sequence += 1
        return json.dumps(
            {
                "service": self.service,
                "address": self.address,
                "zone": "z1",
                "slots": 4,
                "state": self.state,
                "version": self.version,
                "sequence": self.sequence,
            }
        ).encode()


class Site:
    """Deployment whose settings, data and logs are in `folder`.

    `port` is the first of five consecutive free ports. `daemon` is the program of the
    hosts, and `bounds` are fields of their settings.
    """

    def __init__(
        self,
        folder: Path,
        port: int,
        nursery: trio.Nursery,
        daemon: Path = _DAEMON,
        bounds: dict[str, float] | None = None,
    ):
        self._folder = folder
        self._port = port
        self._nursery = nursery
        self._daemon = daemon
        self._bounds = {"grace_s": 6} | (bounds or {})
        self._network, self._reservation = _reserve_network()
        self._upstream_scopes: dict[str, trio.CancelScope] = {}
        self._connector = Http1Connector(trio.current_time)
        self.daemons: dict[str, Daemon] = {}
        self.controls: list[str] = []

    @classmethod
    @asynccontextmanager
    async def open(
        cls,
        folder: Path,
        daemon: Path = _DAEMON,
        bounds: dict[str, float] | None = None,
    ) -> AsyncIterator["Site"]:
        """Yield a site, and kill its remaining daemons at the end of the block."""
        async with trio.open_nursery() as nursery:
            site = cls(folder, _free_port(), nursery, daemon, bounds)
            try:
                yield site
            finally:
                site.end()
                site._reservation.close()
                nursery.cancel_scope.cancel()

    def start(self, name: str, number: int, *, is_first: bool, seeds: list[int]):
        """Start a daemon: a control host if `name` starts with "control".

        Any other name starts an entry host.
        """
        ip = self._ip(number)
        is_control = name.startswith("control")
        settings = self._settings(name, ip, is_control, is_first, seeds)
        path = self._folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        log = self._folder / f"{name}.log"
        with log.open("ab") as stream:
            process = subprocess.Popen(
                [sys.executable, str(self._daemon)],
                env=os.environ | {"PEPPERSTEP_SETTINGS": str(path)},
                stdout=stream,
                stderr=subprocess.STDOUT,
            )
        self.daemons[name] = Daemon(name, ip, process, log)
        if is_control and ip not in self.controls:
            self.controls.append(ip)

    def address(self, name: str) -> str:
        """Return the address at which an entry host accepts callers' requests."""
        return f"{self.daemons[name].ip}:{self._port + 3}"

    def record(self, name: str) -> Path:
        """Return the file in which `standins.recording_daemon` records calls."""
        return self._folder / f"{name}.calls"

    def control_address(self, name: str, port: int) -> str:
        """Return a control host's address, for directory queries with port 2.

        Port 1 is for operators and upstreams.
        """
        return f"{self.daemons[name].ip}:{self._port + port}"

    async def leads(self, name: str) -> bool:
        """Whether a control host says that it leads the group."""
        address = f"{self.daemons[name].ip}:{METRICS_PORT}"
        received = await self._send_to(address, b"GET", "/metrics")
        return received is not None and b"\npepperstep_is_leader 1.0\n" in received.body

    async def upstream(
        self,
        name: str,
        service: str,
        number: int,
        kind: type[StandInUpstream] = StandInUpstream,
    ) -> StandInUpstream:
        """Start an upstream that announces itself until it crashes."""
        address = f"{self._ip(number)}:{self._port}"
        upstream = kind(name, service, address)
        await self._nursery.start(self._run_upstream, upstream)
        return upstream

    def crash(self, name: str) -> None:
        """Close an upstream's listener and connections, and end its announcements."""
        self._upstream_scopes.pop(name).cancel()

    async def operate(self, method: bytes, path: str, body: bytes = b"") -> Received:
        """Send a call to each control host in turn until a status is below 500."""
        with trio.fail_after(_WAIT_SECONDS):
            while True:
                for ip in self.controls:
                    received = await self._send(ip, 1, method, path, body)
                    if received is not None and received.status < 500:
                        return received
                await trio.sleep(_POLL_SECONDS)

    async def call_control(
        self, name: str, method: bytes, path: str, body: bytes, timeout: float
    ) -> Received | None:
        """Send a call to one control host.

        Return None if the connection fails or no answer arrives in `timeout` seconds.
        """
        ip = self.daemons[name].ip
        return await self._send(ip, 1, method, path, body, timeout=timeout)

    async def resolve(self) -> list[str]:
        """Return the entry hosts' addresses from the first control host's directory."""
        path = "/-/resolve?name=a.example&region=r1&zone=z1"
        received = await self._send(self.controls[0], 2, b"GET", path)
        if received is None or received.status != 200:
            return []
        return json.loads(received.body)["addresses"]

    async def request(
        self, name: str, path: str, *headers: tuple[bytes, bytes], body: bytes = b""
    ) -> Received | None:
        """Send a caller's request to an entry host.

        Return None if the connection fails or no answer arrives in time.
        """
        common = {
            b"pepperstep-attempt-id": b"9c41",
            b"pepperstep-deadline-ms": b"10000",
        }
        ip = self.daemons[name].ip
        all_headers = tuple((common | dict(headers)).items())
        return await self._send(ip, 3, b"POST", path, body, all_headers)

    async def forward(
        self, name: str, path: str, *headers: tuple[bytes, bytes]
    ) -> Received | None:
        """Send a request to an entry host as another entry host forwards it.

        Return None if the connection fails or no answer arrives in time.
        """
        own = (
            (b"pepperstep-attempt-id", b"9c41"),
            (b"pepperstep-deadline-ms", b"10000"),
            (b"forwarded-routes-version", b"0"),
        )
        ip = self.daemons[name].ip
        return await self._send(ip, 1, b"POST", path, b"", (*own, *headers))

    async def is_ready(self, name: str) -> bool:
        """Whether an entry host reports that it is ready."""
        received = await self._send(self.daemons[name].ip, 4, b"GET", "/-/ready")
        return received is not None and received.status == 200

    async def wait(self, condition) -> None:
        """Poll an asynchronous condition and return once it holds."""
        with trio.fail_after(_WAIT_SECONDS):
            while not await condition():
                await trio.sleep(_POLL_SECONDS)

    async def wait_end(self, name: str) -> int:
        """Wait until a stopping daemon exits, and return its exit code."""
        process = self.daemons[name].process
        with trio.fail_after(_STOP_SECONDS):
            while process.poll() is None:
                await trio.sleep(_POLL_SECONDS)
        return process.returncode

    def end(self) -> None:
        """Kill all daemons that still run."""
        for daemon in self.daemons.values():
            if daemon.process.poll() is None:
                daemon.process.kill()
            daemon.process.wait()

    async def _run_upstream(
        self, upstream: StandInUpstream, task_status=trio.TASK_STATUS_IGNORED
    ) -> None:
        server = Http1Server(
            upstream.address, upstream.handle, CallerLimits, trio.current_time
        )
        with trio.CancelScope() as scope:
            self._upstream_scopes[upstream.name] = scope
            async with trio.open_nursery() as nursery:
                await nursery.start(server.run)
                nursery.start_soon(self._announce, upstream)
                task_status.started()

    async def _announce(self, upstream: StandInUpstream) -> None:
        while True:
            if upstream.state:
                await self._announce_once(upstream)
            await trio.sleep(0.3)

    async def _announce_once(self, upstream: StandInUpstream) -> None:
        path = f"/-/Replicas.Heartbeat/{upstream.name}"
        state = upstream.state
        for ip in list(self.controls):
            received = await self._send(
                ip, 1, b"POST", path, upstream.beat(), timeout=_ANNOUNCE_SECONDS
            )
            if received is None:
                continue
            if received.status == 200:
                upstream.acknowledged.add(state)
            return

    async def _send(
        self,
        ip: str,
        port: int,
        method: bytes,
        path: str,
        body: bytes = b"",
        headers: tuple[tuple[bytes, bytes], ...] = (),
        timeout: float = _WAIT_SECONDS,
    ) -> Received | None:
        address = f"{ip}:{self._port + port}"
        return await self._send_to(address, method, path, body, headers, timeout)

    async def _send_to(
        self,
        address: str,
        method: bytes,
        path: str,
        body: bytes = b"",
        headers: tuple[tuple[bytes, bytes], ...] = (),
        timeout: float = _WAIT_SECONDS,
    ) -> Received | None:
        head = RequestHead(method, path.encode(), ((b"host", b"a.example"), *headers))
        try:
            connection = await self._connector.connect(address, min(2.0, timeout))
        except ConnectionFault:
            return None
        try:
            with trio.move_on_after(timeout):
                answer = await connection.send(head, body)
                pieces = [piece async for piece in connection.pieces()]
                return Received(answer.status, dict(answer.headers), b"".join(pieces))
        except ConnectionFault:
            return None
        finally:
            connection.close()
        return None

    def _settings(
        self, name: str, ip: str, is_control: bool, is_first: bool, seeds: list[int]
    ) -> dict:
        port = self._port
        if is_control:
            listen = {"control": f"{ip}:{port + 1}", "directory": f"{ip}:{port + 2}"}
        else:
            listen = {"frontend": f"{ip}:{port + 3}", "readiness": f"{ip}:{port + 4}"}
        return {
            "node_name": name,
            "ip": ip,
            "zone": "z1",
            "region": "r1",
            "zones": {"z1": "r1"},
            "listen": listen,
            "internal_ports": [port, port if is_control else port + 1],
            "seed_nodes": [f"{self._ip(seed)}:{port + 1}" for seed in seeds],
            "bootstrap": is_first,
            "data_dir": str(self._folder / f"{name}-data") if is_control else None,
            "bounds": self._bounds,
            "cloud": None,
        }

    def _ip(self, number: int) -> str:
        return f"{self._network}.{number}"


def _reserve_network() -> tuple[str, socket.socket]:
    """Return a network that no other site uses, and the socket that reserves it."""
    for offset in range(_NETWORK_COUNT):
        network = f"{_NETWORK}.{(os.getpid() + offset) % _NETWORK_COUNT + 1}"
        reservation = socket.socket()
        try:
            reservation.bind((f"{network}.{_RESERVED_NUMBER}", _RESERVED_PORT))
        except OSError:
            reservation.close()
        else:
            return network, reservation
    raise OSError("All networks of sites are in use.")


def _free_port() -> int:
    """Return a port that was just free. The four ports after it are probably free."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return min(probe.getsockname()[1], 65_000)
