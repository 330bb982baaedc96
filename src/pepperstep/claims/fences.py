"""Fences: which lives of hosts may no longer act, agreed by a quorum.

Two hosts that suspect one another both try to fence the other. The first
commit wins, and a fenced host can't fence anybody.
"""

from google.protobuf.message import DecodeError

from pepperstep.claims.records import FenceAnswer, FenceStatus, HostIdentity
from pepperstep.errors import Code, Failure
from pepperstep.ports import Agreement
from pepperstep.proto.claims_pb2 import (
    ClaimsCommand,
    FenceHost,
    FenceResult,
    HostFence,
    HostFences,
    HostStart,
    JoinHost,
)

__all__ = ["Fences", "HostFenceMachine"]

# Starts of a host whose incarnations are known again at a repeat.
_KEPT_STARTS = 8
# Fences of a host whose winners are known at a repeat.
_KEPT_FENCES = 8


class HostFenceMachine:
    """Incarnations given out and fenced; a part of the claims' machine.

    It is one machine with the claims since a claim of a fenced host must be
    refused in the same order on all control hosts.
    """

    def __init__(self) -> None:
        self._hosts: dict[str, HostFence] = {}

    def is_fenced(self, host: str, incarnation: int) -> bool:
        """Whether this life of the host may no longer act."""
        entry = self._hosts.get(host)
        return entry is not None and incarnation <= entry.fenced

    def join(self, command: JoinHost) -> FenceResult:
        """Give a start of a host its incarnation, the same at a repeat."""
        entry = self._hosts.setdefault(command.host, HostFence(host=command.host))
        for start in entry.starts:
            if start.start_id == command.start_id:
                return _joined(start.incarnation)
        entry.incarnation += 1
        start = HostStart(start_id=command.start_id, incarnation=entry.incarnation)
        entry.starts.append(start)
        del entry.starts[:-_KEPT_STARTS]
        return _joined(entry.incarnation)

    def fence(self, command: FenceHost) -> FenceResult:
        """Fence lives of a host, unless another was first."""
        entry = self._hosts.get(command.host)
        if self.is_fenced(command.sender, command.sender_incarnation):
            return FenceResult(status=FenceStatus.REFUSED)
        if entry is None or command.incarnation > entry.incarnation:
            return FenceResult(status=FenceStatus.UNKNOWN)
        if command.incarnation > entry.fenced:
            entry.fenced = command.incarnation
            entry.fences.append(command)
            del entry.fences[:-_KEPT_FENCES]
        return _fenced(entry, command)

    def snapshot(self) -> HostFences:
        """Return the whole state."""
        return HostFences(hosts=[self._hosts[name] for name in sorted(self._hosts)])

    def restore(self, state: HostFences) -> None:
        """Take the state that `snapshot` returned."""
        self._hosts = {}
        for host in state.hosts:
            entry = HostFence()
            entry.CopyFrom(host)
            self._hosts[host.host] = entry


class Fences:
    """One host's access to the fences; `join` comes first."""

    def __init__(self, host: str, agreement: Agreement, machine_name: str = "claims"):
        self._host = host
        self._agreement = agreement
        self._machine_name = machine_name
        self._incarnation = 0

    @classmethod
    def from_config(cls, host: str, agreement: Agreement) -> "Fences":
        """Return the fences as seen from `host`."""
        return cls(host, agreement)

    @property
    def identity(self) -> HostIdentity:
        """This life of the host, with incarnation 0 before `join`."""
        return HostIdentity(self._host, self._incarnation)

    async def join(self, start_id: str, timeout: float) -> HostIdentity:
        """Return this life's identity; a repeat gets the same one.

        `start_id` must be unique for each start. Raise `Failure` with
        `NO_QUORUM` after `timeout` seconds.
        """
        join = JoinHost(host=self._host, start_id=start_id)
        result = await self._propose(ClaimsCommand(join=join), timeout)
        self._incarnation = result.incarnation
        return self.identity

    async def fence(self, identity: HostIdentity, timeout: float) -> FenceAnswer:
        """Fence `identity` and all earlier lives of its host.

        They are fenced at each return, also where another host won.

        Raise `Failure` with `FENCED` if this host is fenced itself, with
        `UNKNOWN_NAME` for a life that never was, with `NO_QUORUM` after
        `timeout` seconds; it may then still be committed, and may be repeated.
        """
        fence = FenceHost(
            host=identity.host,
            incarnation=identity.incarnation,
            sender=self._host,
            sender_incarnation=self._incarnation,
        )
        result = await self._propose(ClaimsCommand(fence=fence), timeout)
        status = FenceStatus(result.status)
        if status == FenceStatus.REFUSED:
            raise Failure(Code.FENCED, f"{self._host} itself is fenced.")
        if status == FenceStatus.UNKNOWN:
            raise Failure(Code.UNKNOWN_NAME, f"{identity.host} never joined so.")
        winner = HostIdentity(result.fenced_by, result.fenced_by_incarnation)
        return FenceAnswer(status, winner)

    async def _propose(self, command: ClaimsCommand, timeout: float) -> FenceResult:
        data = command.SerializeToString()
        result = await self._agreement.propose(self._machine_name, data, timeout)
        try:
            return FenceResult.FromString(result)
        except DecodeError as error:
            raise Failure(Code.INTERNAL, "A fence's result is damaged.") from error


def _fenced(entry: HostFence, command: FenceHost) -> FenceResult:
    """Say who won the first kept fence that covers the command's."""
    winner = next(
        fence for fence in entry.fences if fence.incarnation >= command.incarnation
    )
    sender = (command.sender, command.sender_incarnation)
    is_own = sender == (winner.sender, winner.sender_incarnation)
    return FenceResult(
        status=FenceStatus.FENCED if is_own else FenceStatus.LOST,
        incarnation=winner.incarnation,
        fenced_by=winner.sender,
        fenced_by_incarnation=winner.sender_incarnation,
    )


def _joined(incarnation: int) -> FenceResult:
    return FenceResult(status=FenceStatus.JOINED, incarnation=incarnation)
