"""Real processes: idle daemons, and messages and streams over gRPC."""

import os
import random
import tempfile
import threading
import time
from pathlib import Path

import tomli_w
import trio

from demo.documents import base_document
from demo.launcher import DaemonPlace, Documents, Launcher, free_ports, wait_ready
from measure.capacity_lines import Point
from pepperstep.adapters.grpc_peers import GrpcPeers
from pepperstep.errors import Failure
from pepperstep.proto.membership_pb2 import Ping, PingAck

__all__ = ["measure_daemons", "measure_messages", "measure_streams"]

_PAGE = 4096
_TICKS = os.sysconf("SC_CLK_TCK")
_WARM_SECONDS = 5.0
_SECONDS = 10.0
_CALLS = 400
_TIMEOUT = 5.0


def measure_daemons(count: int) -> Point:
    """Return an idle daemon's share of a core and resident set.

    Three of the daemons are control hosts; there are no upstreams.
    """
    ports = free_ports(2 * count)
    places = [
        DaemonPlace(
            f"entry-{n}",
            f"zone-{n % 3}",
            "region",
            "kitahara",
            ports.pop(),
            ports.pop(),
            ("entry", "control") if n < 3 else ("entry",),
        )
        for n in range(count)
    ]
    with tempfile.TemporaryDirectory() as name, Launcher(Path(name)) as launcher:
        base = Path(name) / "base.toml"
        base.write_text(tomli_w.dumps(base_document()))
        for place in places:
            launcher.start_daemon(place, places, Documents(base))
        wait_ready(places)
        time.sleep(_WARM_SECONDS)
        pids = [launcher.processes[place.name].pid for place in places]
        before = [_processor_seconds(pid) for pid in pids]
        time.sleep(_SECONDS)
        shares = [
            (_processor_seconds(pid) - old) / _SECONDS
            for pid, old in zip(pids, before, strict=True)
        ]
        sizes = [_resident_bytes(pid) for pid in pids]
    entries = range(3, count) or range(count)
    figures = {
        "control_processor": sum(shares[:3]) / 3,
        "control_resident_bytes": max(sizes[:3]),
        "entry_processor": sum(shares[n] for n in entries) / len(entries),
        "entry_resident_bytes": max(sizes[n] for n in entries),
    }
    return Point("daemons idle", {"daemons": count}, figures)


def measure_messages(at_a_time: int, pause: float) -> Point:
    """Return processor time of a call over gRPC, both ends and trio included."""

    async def run() -> Point:
        async with _Pair() as pair:
            await pair.call("a")
            started = time.process_time()
            for _ in range(_CALLS // at_a_time):
                async with trio.open_nursery() as nursery:
                    for _ in range(at_a_time):
                        nursery.start_soon(pair.call, "a")
                await trio.sleep(pause)
            seconds = time.process_time() - started
        sizes = {"at_a_time": at_a_time}
        return Point("gRPC calls", sizes, {"processor": seconds / _CALLS})

    return trio.run(run)


def measure_streams(streams: int) -> Point:
    """Return memory and threads of as many streams out and in.

    Also how many peers were answered, each over a stream of its own.
    """

    async def run() -> Point:
        async with _Pair() as pair:
            await pair.call("first")
            memory = _resident_bytes(os.getpid())
            threads = _thread_count()
            answered = 0
            started = time.process_time()
            for number in range(streams):
                answered += await pair.call(f"peer-{number}")
            figures = {
                "resident_bytes": _resident_bytes(os.getpid()) - memory,
                "threads": _thread_count() - threads,
                "python_threads": threading.active_count(),
                "unanswered": streams - answered,
                "processor": time.process_time() - started,
            }
        return Point("gRPC streams", {"streams": streams}, figures)

    return trio.run(run)


class _Pair:
    """A host that is called and one that calls, in this process."""

    def __init__(self) -> None:
        self._address = f"127.0.0.1:{free_ports(1)[0]}"
        self._callee = GrpcPeers("callee", self._address)
        self._caller = GrpcPeers("caller", f"127.0.0.1:{free_ports(1)[0]}")
        self._callee.handle(Ping, self._answer)
        self._rng = random.Random(1)

    async def __aenter__(self) -> "_Pair":
        self._manager = trio.open_nursery()
        self._nursery = await self._manager.__aenter__()
        for peers in (self._callee, self._caller):
            await self._nursery.start(peers.serve)
        return self

    async def __aexit__(self, *exc_info) -> None:
        self._nursery.cancel_scope.cancel()
        await self._manager.__aexit__(*exc_info)

    async def call(self, peer: str) -> bool:
        """Return whether the callee answers by this name."""
        self._caller.set_address(peer, self._address)
        try:
            await self._caller.call(peer, Ping(), _TIMEOUT)
        except Failure:
            return False
        return True

    async def _answer(self, message: Ping, sender: str) -> PingAck:
        return PingAck()


def _processor_seconds(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS


def _resident_bytes(pid: int) -> int:
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * _PAGE


def _thread_count() -> int:
    return len(list(Path("/proc/self/task").iterdir()))
