"""Control hosts in one process and checks of Raft's safety properties."""

import random
from collections import deque
from collections.abc import Callable
from contextlib import asynccontextmanager

import trio
from absl import logging

from pepperstep.consensus import Consensus, RemoteAgreement, Tuning
from pepperstep.errors import Code, Failure
from pepperstep.fakes import FakeDisk, FakeNetwork, FakePeers, FakeTimers
from tests.consensus.safety import SafetyCheck

SMALL_LIMITS = Tuning(
    snapshot_entries=40, trailing_entries=5, segment_bytes=600, snapshot_chunk_bytes=200
)


class RecordingMachine:
    """State machine that records its commands, which `Cluster` compares."""

    def __init__(self, applied_commands: dict[int, bytes]):
        self.commands: list[bytes] = []
        self._applied_commands = applied_commands

    def apply(self, index: int, command: bytes) -> bytes:
        assert self._applied_commands.setdefault(index, command) == command, (
            "Logs differ."
        )
        self.commands.append(command)
        return b"%d:%s" % (len(self.commands), command)

    def snapshot(self) -> bytes:
        return b"\n".join(self.commands)

    def restore(self, data: bytes) -> None:
        self.commands = data.split(b"\n") if data else []


class Crashed(Exception):
    """Raised by the disk of a host that has crashed."""


class LiveDisk:
    """Disk access of a running host, which fails once that host crashes."""

    def __init__(self, disk: FakeDisk):
        self._disk = disk
        self.is_crashed = False

    def __getattr__(self, name: str):
        method = getattr(self._disk, name)

        async def call(*arguments):
            if self.is_crashed:
                raise Crashed
            await trio.sleep(self.sync_delay if name in ("sync", "replace") else 0)
            if self.is_crashed:
                raise Crashed
            return await method(*arguments)

        return call

    sync_delay = 0.001


class ReplayingPeers(FakePeers):
    """Peers that record received messages, so that they can be replayed."""

    def __init__(self, received_messages: deque[tuple[str, bytes]], *arguments):
        super().__init__(*arguments)
        self._received_messages = received_messages

    def start_handling(self, data: bytes, answers: trio.MemorySendChannel) -> None:
        self._received_messages.append((self.name, data))
        super().start_handling(data, answers)

    def replay(self, data: bytes) -> None:
        super().start_handling(data, trio.open_memory_channel(1)[0])


class Host:
    """A control host; its disk survives a crash."""

    def __init__(self, name: str, seed: int):
        self.name = name
        self.disk = FakeDisk()
        self.rng = random.Random(f"{seed} {name}")
        self.timers = FakeTimers()
        self.is_up = False
        self.is_lost = False
        self.live_disk: LiveDisk | None = None
        self.failure: BaseException | None = None


class Cluster:
    """Hosts on one network, with `check_invariants` called periodically."""

    def __init__(self, nursery: trio.Nursery, count: int, tuning: Tuning, seed: int):
        self._nursery = nursery
        self._tuning = tuning
        self.network = FakeNetwork(random.Random(seed))
        self.names = tuple("abcdefg"[:count])
        self.hosts = {name: Host(name, seed) for name in self.names}
        self.applied_commands: dict[int, bytes] = {}
        self._safety = SafetyCheck()
        self.results_by_command: dict[bytes, bytes] = {}
        self.proposal_count = 0
        self.received_messages: deque[tuple[str, bytes]] = deque(maxlen=100)

    async def start(self, *names: str) -> None:
        for name in names or self.names:
            await self._nursery.start(
                self._run_host, self.hosts.setdefault(name, Host(name, 0))
            )

    def crash(self, name: str, torn_bytes: int = 0, is_disk_lost: bool = False) -> None:
        host = self.hosts[name]
        host.is_up = False
        self.network.detach(name)
        if host.live_disk is not None:
            host.live_disk.is_crashed = True
        host.scope.cancel()
        host.timers.resume()
        host.disk.crash(torn_bytes)
        if is_disk_lost:
            host.disk.lose()

    async def restart(self, name: str, **crash) -> None:
        self.crash(name, **crash)
        await self.start(name)

    def crash_before_write(self, name: str, count: int, torn_bytes: int = 0) -> None:
        """Crash a host right before its write number `count`, counted from 0."""
        host = self.hosts[name]
        live_disk = host.live_disk

        def before(operation: str, file: str) -> None:
            nonlocal count
            count -= 1
            if count < 0 and host.live_disk is live_disk and host.is_up:
                host.disk.before = lambda operation, file: None
                self.crash(name, torn_bytes)
                raise Crashed

        host.disk.before = before

    def replay_message(self, position: int) -> None:
        """Deliver a message that was received earlier once more."""
        if self.received_messages:
            name, data = self.received_messages[position % len(self.received_messages)]
            if self.hosts[name].is_up:
                self.hosts[name].peers.replay(data)

    def consensus(self, name: str) -> Consensus:
        return self.hosts[name].consensus

    @property
    def running_hosts(self) -> list[Host]:
        return [host for host in self.hosts.values() if host.is_up]

    @property
    def leader(self) -> str:
        found = [host.name for host in self.running_hosts if host.consensus.is_leader]
        assert len(found) <= 1, f"Two leases at once: {found}"
        return found[0] if found else ""

    async def wait_until(self, condition: Callable[[], object], seconds: float = 60):
        with trio.move_on_after(seconds):
            while True:
                result = condition()
                if result:
                    return result
                await trio.sleep(0.05)
        states = [host.consensus.status() for host in self.running_hosts]
        raise AssertionError(f"Not within {seconds} s: {states}")

    async def wait_leader(self, seconds: float = 60) -> str:
        return await self.wait_until(lambda: self.leader, seconds)

    async def propose(self, name: str, timeout: float = 10.0) -> bytes:
        """Propose the next command on a host and record its result."""
        self.proposal_count += 1
        command = b"c%d" % self.proposal_count
        answer = await self.consensus(name).propose("ledger", command, timeout)
        self.results_by_command[command] = answer
        return answer

    async def try_propose(self, name: str, timeout: float = 3.0) -> None:
        try:
            await self.propose(name, timeout)
        except Failure as failure:
            assert failure.code in (Code.NO_QUORUM, Code.OVERLOADED), failure

    async def propose_many(self, count: int, name: str = "") -> None:
        name = name or await self.wait_leader()
        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(self.propose, name)

    def check_invariants(self) -> None:
        """Check terms, leases and committed entries of all running hosts."""
        members = {host.name: host.consensus for host in self.running_hosts}
        self._safety.check(members)

    async def heal_and_compare(self, seconds: float = 120) -> None:
        """Remove all faults, wait until the group is redundant, and compare hosts."""
        self.network.heal()
        self.network.loss = self.network.duplication = 0.0
        self.network.max_delay = self.network.min_delay
        for host in self.hosts.values():
            host.disk.before = lambda operation, file: None
            host.disk.free_bytes = None
            host.live_disk.sync_delay = LiveDisk.sync_delay
            host.timers.resume()
            if not host.is_up:
                await self.start(host.name)
        await self.wait_until(self.is_redundant, seconds)
        await self.propose(self.leader)
        for host in self.running_hosts:
            await host.consensus.barrier(10)
        self.check_invariants()
        self._compare_hosts()

    def is_redundant(self) -> bool:
        """Whether the leader reports redundancy for the current disks of the hosts."""
        if not self.leader:
            return False
        status = self.consensus(self.leader).status()
        disks = {
            host.name: host.consensus.status().disk_id for host in self.running_hosts
        }
        is_known = all(disks.get(v.name) == v.disk_id for v in status.voters)
        return bool(status.is_redundant) and is_known

    def _compare_hosts(self) -> None:
        command_lists = [host.machine.commands for host in self.running_hosts]
        assert all(recorded == command_lists[0] for recorded in command_lists), (
            "States differ."
        )
        assert len(set(command_lists[0])) == len(command_lists[0]), "Applied twice."
        for command, answer in self.results_by_command.items():
            position = int(answer.split(b":")[0]) - 1
            assert command_lists[0][position] == command, f"Lost {command}."

    async def check_periodically(self) -> None:
        while True:
            await trio.sleep(0.02)
            self.check_invariants()

    async def _run_host(self, host: Host, task_status) -> None:
        live_disk = host.live_disk = LiveDisk(host.disk)
        host.failure = None
        host.timers = FakeTimers()
        with trio.CancelScope() as host.scope:
            try:
                async with trio.open_nursery() as nursery:
                    self._create_consensus(host, live_disk, nursery)
                    task_status.started()
                    await host.consensus.run()
            except* (Crashed, OSError, Failure) as group:
                host.failure = group
                if host.live_disk is live_disk and not live_disk.is_crashed:
                    logging.error("Host %s ended: %r", host.name, group.exceptions)
                    host.is_up = False
                    self.network.detach(host.name)

    def _create_consensus(
        self, host: Host, live_disk: LiveDisk, nursery: trio.Nursery
    ) -> None:
        host.peers = ReplayingPeers(
            self.received_messages, host.name, self.network, host.timers, nursery
        )
        host.machine = RecordingMachine(self.applied_commands)
        host.consensus = Consensus.from_config(
            name=host.name,
            voters=self.names,
            storage=live_disk,
            peers=host.peers,
            timers=host.timers,
            rng=host.rng,
            tuning=self._tuning,
        )
        host.consensus.register("ledger", host.machine)
        host.is_up = True

    async def add_remote(self, name: str = "entry") -> RemoteAgreement:
        timers = FakeTimers()
        peers = FakePeers(name, self.network, timers, self._nursery)
        remote = RemoteAgreement.from_config(
            voters=self.names,
            peers=peers,
            timers=timers,
            rng=random.Random(name),
            tuning=self._tuning,
        )
        await self._nursery.start(remote.run)
        return remote


@asynccontextmanager
async def open_cluster(count: int = 3, tuning: Tuning = SMALL_LIMITS, seed: int = 0):
    """Yield a cluster whose hosts aren't started."""
    async with trio.open_nursery() as nursery:
        cluster = Cluster(nursery, count, tuning, seed)
        nursery.start_soon(cluster.check_periodically)
        yield cluster
        cluster.check_invariants()
        nursery.cancel_scope.cancel()
