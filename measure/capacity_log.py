"""The replicated log by commands and voters, and claims by their number."""

import random
import time

import trio

from measure.capacity_lines import Meter, Point, count_senders, run_virtual
from pepperstep.claims import (
    ClaimMachine,
    ClaimOutcome,
    Claims,
    HostIdentity,
    OutcomeKind,
)
from pepperstep.consensus import Consensus, Tuning
from pepperstep.fakes import (
    FakeAgreement,
    FakeDisk,
    FakeLog,
    FakeNetwork,
    FakePeers,
    FakeTimers,
)
from pepperstep.proto.claims_pb2 import ClaimBatch, ClaimRecord, ClaimsCommand

__all__ = ["measure_claim_machine", "measure_claim_messages", "measure_log"]

_SECONDS = 20.0
_WARM_SECONDS = 5.0
_COMMAND_BYTES = 200
_BATCH = 100


class _Sink:
    """Machine that keeps nothing but a count."""

    def __init__(self) -> None:
        self.count = 0

    def apply(self, index: int, command: bytes) -> bytes:
        self.count += 1
        return b""

    def snapshot(self) -> bytes:
        return b"%d" % self.count

    def restore(self, data: bytes) -> None:
        self.count = int(data or b"0")


def measure_log(voters: int, commands: float) -> Point:
    """Return what `commands` a second of 200 bytes cost a control host."""

    async def run() -> Point:
        async with trio.open_nursery() as nursery:
            network = FakeNetwork(random.Random(1))
            names = tuple(f"control-{number}" for number in range(voters))
            logs = [_start_log(nursery, network, name, names) for name in names]
            while not any(log.is_leader for log in logs):
                await trio.sleep(0.1)
            leader = next(log for log in logs if log.is_leader)
            nursery.start_soon(_propose_always, leader, commands)
            await trio.sleep(_WARM_SECONDS)
            meter = Meter(network)
            await trio.sleep(_SECONDS)
            traffic = meter.read(voters, _SECONDS)
            with count_senders(network) as sent:
                await trio.sleep(_SECONDS)
            nursery.cancel_scope.cancel()
        most = max(sent.values()) / _SECONDS
        rest = (sum(sent.values()) / _SECONDS - most) / (voters - 1)
        figures = {
            "leader_bytes": most,
            "follower_bytes": rest,
            "messages": traffic.messages,
            "processor": traffic.processor,
        }
        return Point("log", {"voters": voters, "commands": commands}, figures)

    return run_virtual(run)


def _start_log(nursery, network, name: str, names: tuple[str, ...]) -> Consensus:
    rng = random.Random(name)
    timers = FakeTimers(rng)
    log = Consensus.from_config(
        name=name,
        voters=names,
        storage=FakeDisk(),
        peers=FakePeers(name, network, timers, nursery),
        timers=timers,
        rng=rng,
        tuning=Tuning(),
    )
    log.register("sink", _Sink())
    nursery.start_soon(log.run)
    return log


async def _propose_always(log: Consensus, commands: float) -> None:
    if not commands:
        return
    async with trio.open_nursery() as nursery:
        while True:
            nursery.start_soon(log.propose, "sink", bytes(_COMMAND_BYTES), 5.0)
            await trio.sleep(1 / commands)


def measure_claim_machine(claims: int) -> Point:
    """Return processor time, snapshot and memory of claims that are kept."""
    # Made first, so that only what the machine keeps counts as its memory.
    commands = [
        _claims_command(range(first, first + _BATCH))
        for first in range(0, claims, _BATCH)
    ]
    machine = ClaimMachine()
    started = time.process_time()
    for index, command in enumerate(commands):
        machine.apply(index, command)
    applied = time.process_time() - started
    started = time.process_time()
    data = machine.snapshot()
    saved = time.process_time() - started
    started = time.process_time()
    ClaimMachine().restore(data)
    restored = time.process_time() - started
    figures = {
        "apply_seconds": applied / claims,
        "snapshot_seconds": saved,
        "restore_seconds": restored,
        "snapshot_bytes": len(data),
        "memory_bytes": _claims_memory(commands),
        "command_bytes": sum(map(len, commands)) / claims,
    }
    return Point("claims kept", {"claims": claims}, figures)


def _claims_memory(commands: list[bytes]) -> int:
    """Return the growth of the resident set, as protobuf keeps its own memory."""
    before = _resident_bytes()
    machine = ClaimMachine()
    for index, command in enumerate(commands):
        machine.apply(index, command)
    return _resident_bytes() - before


def _resident_bytes() -> int:
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * 4096


def _claims_command(numbers: range) -> bytes:
    records = [
        ClaimRecord(
            workspace="venue-desks",
            key=f"booking-{number:016x}",
            claim_id=f"entry-0001.1800000000000.{number}",
            request_id=f"entry-0001.{number:016x}",
            owner="entry-0001",
            incarnation=1,
            fingerprint=f"{number:032x}",
            claimed_at=1.8e9,
            expires_at=1.8e9 + 86_400,
            epoch=1,
        )
        for number in numbers
    ]
    batch = ClaimBatch(sent_at=1.8e9, claims=records)
    return ClaimsCommand(batch=batch).SerializeToString()


def measure_claim_messages(rate: float) -> Point:
    """Return the log's commands and bytes for `rate` claims a second of a host."""

    async def run() -> Point:
        log = FakeLog()
        log.register("claims", ClaimMachine())
        identity = HostIdentity("entry-0001", 1)
        claims = Claims.from_config(
            lambda: identity, FakeAgreement("c", log), FakeTimers(), lambda: 86_400.0
        )
        async with trio.open_nursery() as nursery:
            await nursery.start(claims.run)
            for number in range(int(rate * _WARM_SECONDS)):
                nursery.start_soon(_claim, claims, number)
                await trio.sleep(1 / rate)
            await trio.sleep(1.0)
            nursery.cancel_scope.cancel()
        count = rate * _WARM_SECONDS
        size = sum(len(command) for _, command in log.entries)
        figures = {
            "commands_a_claim": len(log.entries) / count,
            "bytes_a_claim": size / count,
        }
        return Point("claims", {"rate": rate}, figures)

    return run_virtual(run)


async def _claim(claims: Claims, number: int) -> None:
    key = f"booking-{number:016x}"
    answer = await claims.claim("desks", key, key, f"{number:032x}", 2.0)
    await trio.sleep(0.2)
    outcome = ClaimOutcome(OutcomeKind.MAY_HAVE_RUN)
    await claims.finish(answer.claim, outcome, 2.0)
