"""Control hosts in one process, and a checker of what must always hold."""

import random
from collections import deque
from collections.abc import Callable
from contextlib import asynccontextmanager

import trio
from absl import logging

from pepperstep.consensus import Consensus, RemoteAgreement, Tuning
from pepperstep.errors import Code, Failure
from pepperstep.fakes import FakeDisk, FakeNetwork, FakePeers, FakeTimers

SMALL = Tuning(
    snapshot_entries=40, trailing_entries=5, segment_bytes=600, snapshot_chunk_bytes=200
)


class Ledger:
    """Machine that keeps its commands; the checker compares all ledgers."""

    def __init__(self, seen: dict[int, bytes]):
        self.commands: list[bytes] = []
        self._seen = seen

    def apply(self, index: int, command: bytes) -> bytes:
        assert self._seen.setdefault(index, command) == command, "Logs differ."
        self.commands.append(command)
        return b"%d:%s" % (len(self.commands), command)

    def snapshot(self) -> bytes:
        return b"\n".join(self.commands)

    def restore(self, data: bytes) -> None:
        self.commands = data.split(b"\n") if data else []


class Crashed(Exception):
    """The host of this life has crashed."""


class LifeDisk:
    """A disk as one life of a host sees it: out of reach after the crash."""

    def __init__(self, disk: FakeDisk):
        self._disk = disk
        self.is_dead = False

    def __getattr__(self, name: str):
        method = getattr(self._disk, name)

        async def call(*arguments):
            if self.is_dead:
                raise Crashed
            await trio.sleep(self.delay if name in ("sync", "replace") else 0)
            if self.is_dead:
                raise Crashed
            return await method(*arguments)

        return call

    delay = 0.001


class LatePeers(FakePeers):
    """Peers that keep arrived messages, so that they may come once more."""

    def __init__(self, past: deque[tuple[str, bytes]], *arguments):
        super().__init__(*arguments)
        self._past = past

    def start_handling(self, data: bytes, answers: trio.MemorySendChannel) -> None:
        self._past.append((self.name, data))
        super().start_handling(data, answers)

    def repeat(self, data: bytes) -> None:
        super().start_handling(data, trio.open_memory_channel(1)[0])


class Host:
    """A control host: its disk outlives it."""

    def __init__(self, name: str, seed: int):
        self.name = name
        self.disk = FakeDisk()
        self.rng = random.Random(f"{seed} {name}")
        self.timers = FakeTimers()
        self.is_up = False
        self.is_lost = False
        self.life: LifeDisk | None = None
        self.failure: BaseException | None = None
        self.checked = 0


class Cluster:
    """Hosts on one network; `check` runs at each step of the monitor."""

    def __init__(self, nursery: trio.Nursery, count: int, tuning: Tuning, seed: int):
        self._nursery = nursery
        self._tuning = tuning
        self.network = FakeNetwork(random.Random(seed))
        self.names = tuple("abcdefg"[:count])
        self.hosts = {name: Host(name, seed) for name in self.names}
        self.seen: dict[int, bytes] = {}
        self.entries: dict[int, bytes] = {}
        self.leaders: dict[int, str] = {}
        self.acknowledged: dict[bytes, bytes] = {}
        self.proposed = 0
        self.past: deque[tuple[str, bytes]] = deque(maxlen=100)

    async def start(self, *names: str) -> None:
        for name in names or self.names:
            await self._nursery.start(
                self._live, self.hosts.setdefault(name, Host(name, 0))
            )

    def crash(self, name: str, torn_bytes: int = 0, is_disk_lost: bool = False) -> None:
        host = self.hosts[name]
        host.is_up = False
        self.network.detach(name)
        if host.life is not None:
            host.life.is_dead = True
        host.scope.cancel()
        host.timers.resume()
        host.disk.crash(torn_bytes)
        if is_disk_lost:
            host.disk.lose()

    async def restart(self, name: str, **crash) -> None:
        self.crash(name, **crash)
        await self.start(name)

    def crash_at(self, name: str, count: int, torn_bytes: int = 0) -> None:
        """Crash a host right before the write that comes after `count` others."""
        host = self.hosts[name]
        life = host.life

        def before(operation: str, file: str) -> None:
            nonlocal count
            count -= 1
            if count < 0 and host.life is life and host.is_up:
                host.disk.before = lambda operation, file: None
                self.crash(name, torn_bytes)
                raise Crashed

        host.disk.before = before

    def repeat_late(self, place: int) -> None:
        """Let a message of the past come once more."""
        if self.past:
            name, data = self.past[place % len(self.past)]
            if self.hosts[name].is_up:
                self.hosts[name].peers.repeat(data)

    def consensus(self, name: str) -> Consensus:
        return self.hosts[name].consensus

    @property
    def up(self) -> list[Host]:
        return [host for host in self.hosts.values() if host.is_up]

    @property
    def leader(self) -> str:
        found = [host.name for host in self.up if host.consensus.is_leader]
        assert len(found) <= 1, f"Two leases at once: {found}"
        return found[0] if found else ""

    async def wait_until(self, condition: Callable[[], object], seconds: float = 60):
        with trio.move_on_after(seconds):
            while True:
                result = condition()
                if result:
                    return result
                await trio.sleep(0.05)
        states = [host.consensus.status() for host in self.up]
        raise AssertionError(f"Not within {seconds} s: {states}")

    async def wait_leader(self, seconds: float = 60) -> str:
        return await self.wait_until(lambda: self.leader, seconds)

    async def propose(self, name: str, timeout: float = 10.0) -> bytes:
        """Propose the next command on a host and note its answer."""
        self.proposed += 1
        command = b"c%d" % self.proposed
        answer = await self.consensus(name).propose("ledger", command, timeout)
        self.acknowledged[command] = answer
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

    def check(self) -> None:
        """Check leaders, leases and committed entries of all hosts."""
        assert self.leader is not None
        for host in self.up:
            leadership = host.consensus._leadership
            if leadership is not None:
                first = self.leaders.setdefault(leadership.term, host.name)
                assert first == host.name, f"Two leaders in term {leadership.term}."
            self._check_entries(host)

    def _check_entries(self, host: Host) -> None:
        replica = host.consensus._replica
        start = max(host.checked, replica.log.base_index) + 1
        for index in range(start, replica.commit_index + 1):
            data = replica.log.entry(index).SerializeToString(deterministic=True)
            assert self.entries.setdefault(index, data) == data, "Logs differ."
        host.checked = replica.commit_index

    async def settle(self, seconds: float = 120) -> None:
        """Heal all, wait for full redundancy, and compare all hosts."""
        self.network.heal()
        self.network.loss = self.network.duplication = 0.0
        self.network.max_delay = self.network.min_delay
        for host in self.hosts.values():
            host.disk.before = lambda operation, file: None
            host.life.delay = LifeDisk.delay
            host.timers.resume()
            if not host.is_up:
                await self.start(host.name)
        await self.wait_until(self.is_redundant, seconds)
        await self.propose(self.leader)
        for host in self.up:
            await host.consensus.barrier(10)
        self.check()
        self._compare()

    def is_redundant(self) -> bool:
        """Whether the leader says so, of the disks that the hosts have now."""
        if not self.leader:
            return False
        status = self.consensus(self.leader).status()
        disks = {host.name: host.consensus.status().disk_id for host in self.up}
        is_known = all(disks.get(v.name) == v.disk_id for v in status.voters)
        return bool(status.is_redundant) and is_known

    def _compare(self) -> None:
        ledgers = [host.ledger.commands for host in self.up]
        assert all(ledger == ledgers[0] for ledger in ledgers), "States differ."
        assert len(set(ledgers[0])) == len(ledgers[0]), "Applied twice."
        for command, answer in self.acknowledged.items():
            place = int(answer.split(b":")[0]) - 1
            assert ledgers[0][place] == command, f"Lost {command}."

    async def monitor(self) -> None:
        while True:
            await trio.sleep(0.02)
            self.check()

    async def _live(self, host: Host, task_status) -> None:
        life = host.life = LifeDisk(host.disk)
        host.failure = None
        host.checked = 0
        host.timers = FakeTimers()
        with trio.CancelScope() as host.scope:
            try:
                async with trio.open_nursery() as nursery:
                    self._build(host, life, nursery)
                    task_status.started()
                    await host.consensus.run()
            except* (Crashed, OSError, Failure) as group:
                host.failure = group
                if host.life is life and not life.is_dead:
                    logging.error("Host %s ended: %r", host.name, group.exceptions)
                    host.is_up = False
                    self.network.detach(host.name)

    def _build(self, host: Host, life: LifeDisk, nursery: trio.Nursery) -> None:
        host.peers = LatePeers(self.past, host.name, self.network, host.timers, nursery)
        host.ledger = Ledger(self.seen)
        host.consensus = Consensus.from_config(
            name=host.name,
            voters=self.names,
            storage=life,
            peers=host.peers,
            timers=host.timers,
            rng=host.rng,
            tuning=self._tuning,
        )
        host.consensus.register("ledger", host.ledger)
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
async def open_cluster(count: int = 3, tuning: Tuning = SMALL, seed: int = 0):
    """Yield a cluster whose hosts are not started yet."""
    async with trio.open_nursery() as nursery:
        cluster = Cluster(nursery, count, tuning, seed)
        nursery.start_soon(cluster.monitor)
        yield cluster
        cluster.check()
        nursery.cancel_scope.cancel()
