"""One voter of a replicated log as a process, which a measurement steers.

Reads one order a line from standard input, as JSON, and writes one answer a
line to standard output.
"""

import os
import random
import resource
import sys
from pathlib import Path

import msgspec
import trio
from absl import app, flags

from measure.accounts import Percentiles
from pepperstep.adapters.files import FolderStorage
from pepperstep.adapters.grpc_peers import GrpcPeers
from pepperstep.adapters.timers import TrioTimers
from pepperstep.consensus import Consensus
from pepperstep.errors import Failure

__all__ = ["Load", "LoadAnswer", "Order", "StateAnswer"]

_NAME = flags.DEFINE_string("name", "", "Name of the voter.")
_VOTERS = flags.DEFINE_list("voters", [], "All voters, as NAME=HOST:PORT.")
_FOLDER = flags.DEFINE_string("data_folder", "", "Folder of its files.")
_MACHINE = "measured"
_PROPOSE_SECONDS = 10.0
# While there is no leader a proposal is given up and repeated after this time.
_SHORT_SECONDS = 0.25


class Load(msgspec.Struct, tag="load"):
    """Propose with `writers` tasks for `seconds`, or `count` times."""

    writers: int = 1
    seconds: float = 0.0
    count: int = 0
    # Changes a second in all, 0 for as many as can be.
    rate: float = 0.0
    size_bytes: int = 200


class State(msgspec.Struct, tag="state"):
    """Tell the state of the log, and what the process has used."""


class Gap(msgspec.Struct, tag="gap"):
    """Propose one after another for `seconds`; tell the longest pause."""

    seconds: float


Order = Load | State | Gap


class LoadAnswer(msgspec.Struct):
    """Commits, in how many seconds, and their times in milliseconds."""

    commits: int
    seconds: float
    times: dict[str, float]


class StateAnswer(msgspec.Struct):
    """State of the log, and the use of processor, memory and network."""

    is_leader: bool
    leader: str
    applied_index: int
    commit_index: int
    processor_seconds: float
    megabytes: float
    # Messages and answers that this process sent, without gRPC's frames.
    sent_bytes: int
    sent_messages: int


class GapAnswer(msgspec.Struct):
    """Commits, and the longest pause between two of them in seconds."""

    commits: int
    longest: float


class CountingPeers:
    """A peer network that counts what is sent."""

    def __init__(self, peers: GrpcPeers):
        self._peers = peers
        self.sent_bytes = 0
        self.sent_messages = 0

    def handle(self, message_type, handler) -> None:
        """Register a handler whose answers are counted."""

        async def count(message, sender):
            answer = await handler(message, sender)
            self._count(answer)
            return answer

        self._peers.handle(message_type, count)

    async def call(self, peer: str, message, timeout: float):
        """Count a message and send it."""
        self._count(message)
        return await self._peers.call(peer, message, timeout)

    def _count(self, message) -> None:
        self.sent_bytes += message.ByteSize()
        self.sent_messages += 1


class _Machine:
    """Counts commands."""

    def __init__(self) -> None:
        self.count = 0

    def apply(self, index: int, command: bytes) -> bytes:
        self.count += 1
        return b""

    def snapshot(self) -> bytes:
        return str(self.count).encode()

    def restore(self, data: bytes) -> None:
        self.count = int(data)


class Voter:
    """A voter that carries out orders."""

    def __init__(self, consensus: Consensus, peers: CountingPeers):
        self._consensus = consensus
        self._peers = peers

    async def answer(self, order: Order) -> LoadAnswer | StateAnswer | GapAnswer:
        """Carry an order out."""
        match order:
            case Load():
                return await self._load(order)
            case Gap():
                return await self._measure_gap(order.seconds)
            case State():
                return self._tell()

    async def _load(self, load: Load) -> LoadAnswer:
        started = trio.current_time()
        end = started + load.seconds if load.seconds else float("inf")
        left = load.count or sys.maxsize
        times: list[float] = []

        async def write() -> None:
            nonlocal left
            while trio.current_time() < end and left > 0:
                left -= 1
                begun = trio.current_time()
                await self._propose(bytes(load.size_bytes), _PROPOSE_SECONDS)
                times.append(trio.current_time() - begun)
                if load.rate:
                    await trio.sleep(load.writers / load.rate)

        async with trio.open_nursery() as nursery:
            for _ in range(load.writers):
                nursery.start_soon(write)
        seconds = trio.current_time() - started
        return LoadAnswer(len(times), seconds, Percentiles.from_values(times).to_dict())

    async def _measure_gap(self, seconds: float) -> GapAnswer:
        started = last = trio.current_time()
        commits, longest = 0, 0.0
        while trio.current_time() < started + seconds:
            try:
                await self._propose(b"gap", _SHORT_SECONDS)
            except Failure:
                continue
            now = trio.current_time()
            longest = max(longest, now - last)
            last = now
            commits += 1
        return GapAnswer(commits, max(longest, trio.current_time() - last))

    async def _propose(self, command: bytes, timeout: float) -> None:
        await self._consensus.propose(_MACHINE, command, timeout)

    def _tell(self) -> StateAnswer:
        status = self._consensus.status()
        usage = resource.getrusage(resource.RUSAGE_SELF)
        return StateAnswer(
            status.is_leader,
            status.leader,
            status.applied_index,
            status.commit_index,
            usage.ru_utime + usage.ru_stime,
            usage.ru_maxrss / 1024,
            self._peers.sent_bytes,
            self._peers.sent_messages,
        )


async def _run(name: str, addresses: dict[str, str], folder: Path) -> None:
    rng = random.Random(os.getpid())
    grpc_peers = GrpcPeers(name, addresses[name])
    for other, address in addresses.items():
        if other != name:
            grpc_peers.set_address(other, address)
    peers = CountingPeers(grpc_peers)
    consensus = Consensus.from_config(
        name=name,
        voters=tuple(addresses),
        storage=FolderStorage(folder),
        peers=peers,
        timers=TrioTimers(rng),
        rng=rng,
    )
    consensus.register(_MACHINE, _Machine())
    async with trio.open_nursery() as nursery:
        await nursery.start(grpc_peers.serve)
        await nursery.start(consensus.run)
        await _answer_orders(Voter(consensus, peers))
        nursery.cancel_scope.cancel()


async def _answer_orders(voter: Voter) -> None:
    """Answer until standard input ends."""
    decoder = msgspec.json.Decoder(Order)
    while True:
        line = await trio.to_thread.run_sync(sys.stdin.buffer.readline)
        if not line:
            return
        answer = await voter.answer(decoder.decode(line))
        sys.stdout.buffer.write(msgspec.json.encode(answer) + b"\n")
        sys.stdout.buffer.flush()


def _main(_: list[str]) -> None:
    addresses = dict(each.split("=") for each in _VOTERS.value)
    trio.run(_run, _NAME.value, addresses, Path(_FOLDER.value))


if __name__ == "__main__":
    app.run(_main)
