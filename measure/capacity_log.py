"""The replicated log, claims and the configuration by changes and sizes."""

import random
import time

import tomli_w
import trio

from measure.capacity_lines import (
    Meter,
    Point,
    count_senders,
    run_virtual,
    trace_bytes,
)
from pepperstep.claims import (
    ClaimMachine,
    ClaimOutcome,
    Claims,
    HostIdentity,
    OutcomeKind,
)
from pepperstep.configuration import (
    BASE,
    Change,
    ConfigurationStore,
    StoreSettings,
    hash_key,
)
from pepperstep.configuration.machine import merge_texts
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

__all__ = [
    "deployment_text",
    "measure_claim_machine",
    "measure_claim_messages",
    "measure_configuration",
    "measure_log",
    "measure_reading",
]

_SECONDS = 20.0
_WARM_SECONDS = 5.0
_COMMAND_BYTES = 200
_BATCH = 100
_CHANGE_TIMEOUT = 5.0


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


def deployment_text(deployments: int, mark: int = 0) -> str:
    """Return a base with so many deployments; `mark` makes one value differ."""
    base = {
        "sites": {"kitahara": {"regions": ["dosanko"]}},
        "operators": {"root": {"key_sha256": hash_key("r"), "may_change_base": True}},
        "workspaces": {"planners": {}},
        "deployments": {
            f"model-{number:05d}": {
                "model": f"zaseki-{number:05d}",
                "version": "1",
                "workspaces": ["planners"],
                "max_replicas": 12 + (mark if not number else 0),
            }
            for number in range(deployments)
        },
    }
    return tomli_w.dumps(base)


def measure_reading(deployments: int) -> Point:
    """Return processor time and memory of a host's configuration in force."""
    text = deployment_text(deployments)
    started = time.process_time()
    merge_texts({BASE: text}, 1)
    whole = time.process_time() - started
    times = []
    for mark in range(1, 6):
        changed = deployment_text(deployments, mark)
        started = time.process_time()
        merge_texts({BASE: changed}, mark + 1)
        times.append(time.process_time() - started)
    with trace_bytes() as taken:
        kept = merge_texts({BASE: deployment_text(deployments, 9)}, 9)
    assert len(kept.deployments) == deployments
    figures = {
        "text_bytes": len(text),
        "first_seconds": whole,
        "change_seconds": sorted(times)[2],
        "memory_bytes": taken[0],
    }
    return Point("configuration read", {"deployments": deployments}, figures)


def measure_configuration(hosts: int, changes: float, loss: float = 0.0) -> Point:
    """Return the cost of `changes` a second to hosts, five of them control.

    Also the longest time from an operator's change until all hosts have it.
    """

    async def run() -> Point:
        async with trio.open_nursery() as nursery:
            network = FakeNetwork(random.Random(1))
            network.loss = loss
            network.max_delay = 0.005
            stores = await _start_stores(nursery, network, hosts)
            first = next(iter(stores.values()))
            await _change(first, 0)
            await trio.sleep(_WARM_SECONDS)
            meter = Meter(network)
            slowest = await _change_always(stores, changes)
            traffic = meter.read(hosts, _SECONDS)
            nursery.cancel_scope.cancel()
        figures = {
            "messages": traffic.messages,
            "bytes": traffic.bytes,
            "processor": traffic.processor,
            "in_force_after": slowest,
        }
        sizes = {"hosts": hosts, "changes_a_day": changes * 86_400, "loss": loss}
        return Point("configuration", sizes, figures, traffic.bytes_by_kind)

    return run_virtual(run)


async def _start_stores(nursery, network, hosts: int) -> dict[str, ConfigurationStore]:
    log = FakeLog()
    log.leader = "host-0000"
    names = [f"host-{number:04d}" for number in range(hosts)]
    controls = names[:5]
    stores = {}
    for name in names:
        rng = random.Random(name)
        timers = FakeTimers(rng)
        stores[name] = ConfigurationStore.from_config(
            StoreSettings(
                name, name in controls, lambda: names, lambda: controls
            ),
            FakeAgreement(name, log),
            FakePeers(name, network, timers, nursery),
            timers,
            rng,
            FakeDisk() if name in controls else None,
        )
        await nursery.start(stores[name].run)
    return stores


async def _change(store: ConfigurationStore, mark: int) -> int:
    change = Change(
        f"change-{mark}", BASE, deployment_text(20, mark), store.revision, "root", ""
    )
    answer = await store.apply_change(change, _CHANGE_TIMEOUT)
    if not answer.is_accepted:
        raise RuntimeError(f"The change was refused: {answer}")
    return answer.revision


async def _change_always(stores: dict, changes: float) -> float:
    """Make changes for the run's time; return the slowest one's seconds."""
    first = next(iter(stores.values()))
    slowest = 0.0
    ends_at = trio.current_time() + _SECONDS
    for mark in range(1, int(_SECONDS * changes) + 1):
        started = trio.current_time()
        revision = await _change(first, mark)
        for store in stores.values():
            await store.wait_for(revision)
        slowest = max(slowest, trio.current_time() - started)
        await trio.sleep_until(min(ends_at, started + 1 / changes))
    await trio.sleep_until(ends_at)
    return slowest
