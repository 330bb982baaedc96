"""Agreement without a log, for tests of the jobs that stand on it."""

import trio

from pepperstep.errors import Code, Failure
from pepperstep.ports.agreement import Machine

__all__ = ["FakeAgreement", "FakeLog"]

_COMMIT_SECONDS = 0.002


class FakeLog:
    """The one order of commands, and the machines of all control hosts."""

    def __init__(self) -> None:
        self.entries: list[tuple[str, bytes]] = []
        self.leader = ""
        self.term = 1
        self.lease = 1.0
        # False while no quorum can be reached.
        self.has_quorum = True
        # Commit each proposal this many times, as a repeat after a lost reply.
        self.copies = 1
        # Commit, but lose this many replies.
        self.lost_replies = 0
        self.cut_hosts: set[str] = set()
        self._machines: dict[str, list[Machine]] = {}

    def register(self, name: str, machine: Machine) -> None:
        """Add a control host's machine and bring it up to date."""
        for index, (entry_name, command) in enumerate(self.entries, start=1):
            if entry_name == name:
                machine.apply(index, command)
        self._machines.setdefault(name, []).append(machine)

    def commit(self, name: str, command: bytes) -> bytes:
        """Apply a command on all machines and return the first one's result."""
        self.entries.append((name, command))
        index = len(self.entries)
        results = [machine.apply(index, command) for machine in self._machines[name]]
        return results[0]


class FakeAgreement:
    """One host's access to a `FakeLog`."""

    def __init__(self, host: str, log: FakeLog):
        self._host = host
        self._log = log

    @property
    def is_leader(self) -> bool:
        """Whether the test made this host the leader."""
        return self._log.leader == self._host and not self._is_cut

    @property
    def lease_remaining(self) -> float:
        """Length that the test set, while this host leads."""
        return self._log.lease if self.is_leader else 0.0

    @property
    def term(self) -> int:
        """Term that the test set."""
        return self._log.term

    def register(self, name: str, machine: Machine) -> None:
        """Add this host's machine."""
        self._log.register(name, machine)

    async def propose(self, name: str, command: bytes, timeout: float) -> bytes:
        """Commit and apply after a short time."""
        await self._wait_quorum(timeout)
        result = self._log.commit(name, command)
        for _ in range(self._log.copies - 1):
            result = self._log.commit(name, command)
        if self._log.lost_replies > 0:
            self._log.lost_replies -= 1
            await trio.sleep(timeout)
            raise Failure(Code.NO_QUORUM, "The reply is lost.")
        return result

    async def barrier(self, timeout: float) -> int:
        """Return the number of entries."""
        await self._wait_quorum(timeout)
        return len(self._log.entries)

    @property
    def _is_cut(self) -> bool:
        return not self._log.has_quorum or self._host in self._log.cut_hosts

    async def _wait_quorum(self, timeout: float) -> None:
        if self._is_cut:
            await trio.sleep(timeout)
            raise Failure(Code.NO_QUORUM, "No quorum answers.")
        await trio.sleep(_COMMIT_SECONDS)
