"""Fake of the agreement port without a replicated log."""

import trio

from pepperstep.errors import Code, Failure
from pepperstep.ports.agreement import Machine

__all__ = ["FakeAgreement", "FakeLog"]

_COMMIT_SECONDS = 0.002


class FakeLog:
    """Ordered list of committed commands, applied to every control host's machines.

    Tests set the attributes to choose the leader and to inject failures.
    """

    def __init__(self) -> None:
        self.entries: list[tuple[str, bytes]] = []
        self.leader = ""
        self.term = 1
        self.lease = 1.0
        # False makes every proposal and barrier fail without a quorum.
        self.has_quorum = True
        # Commits per proposal. More than 1 acts like a retry after a lost reply.
        self.copies = 1
        # Number of next proposals that are committed but whose reply is lost.
        self.lost_replies = 0
        self.cut_hosts: set[str] = set()
        self._machines: dict[str, list[Machine]] = {}

    def register(self, name: str, machine: Machine) -> None:
        """Add a control host's machine and replay the commands committed so far."""
        for index, (entry_name, command) in enumerate(self.entries, start=1):
            if entry_name == name:
                machine.apply(index, command)
        self._machines.setdefault(name, []).append(machine)

    def commit(self, name: str, command: bytes) -> bytes:
        """Apply a command to all machines and return the first machine's result."""
        self.entries.append((name, command))
        index = len(self.entries)
        results = [machine.apply(index, command) for machine in self._machines[name]]
        return results[0]


class FakeAgreement:
    """Agreement port of one host, backed by a shared `FakeLog`."""

    def __init__(self, host: str, log: FakeLog):
        self._host = host
        self._log = log

    @property
    def is_leader(self) -> bool:
        """Whether this host leads and can reach a quorum."""
        return self._log.leader == self._host and not self._is_cut_off

    @property
    def lease_remaining(self) -> float:
        """Seconds left of the leader lease, 0 on a host that doesn't lead."""
        return self._log.lease if self.is_leader else 0.0

    @property
    def term(self) -> int:
        """Current term."""
        return self._log.term

    def register(self, name: str, machine: Machine) -> None:
        """Register this host's machine for the commands of `name`."""
        self._log.register(name, machine)

    async def propose(self, name: str, command: bytes, timeout: float) -> bytes:
        """Commit a command and return its result, or raise `Failure` at the timeout."""
        await self._wait_for_quorum(timeout)
        result = self._log.commit(name, command)
        for _ in range(self._log.copies - 1):
            result = self._log.commit(name, command)
        if self._log.lost_replies > 0:
            self._log.lost_replies -= 1
            await trio.sleep(timeout)
            raise Failure(Code.NO_QUORUM, "The reply is lost.")
        return result

    async def barrier(self, timeout: float) -> int:
        """Return the number of committed entries, or raise `Failure` at the timeout."""
        await self._wait_for_quorum(timeout)
        return len(self._log.entries)

    @property
    def _is_cut_off(self) -> bool:
        return not self._log.has_quorum or self._host in self._log.cut_hosts

    async def _wait_for_quorum(self, timeout: float) -> None:
        if self._is_cut_off:
            await trio.sleep(timeout)
            raise Failure(Code.NO_QUORUM, "No quorum answers.")
        await trio.sleep(_COMMIT_SECONDS)
