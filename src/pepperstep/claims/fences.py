"""Fencing of host incarnations through the replicated log.

Each start of a host gets a new incarnation. A fenced incarnation may no longer
act. If two hosts suspect each other and both try to fence the other one, the
first commit wins, since a fenced host can't fence other hosts.
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

# Latest starts of a host for which a repeated join returns the same incarnation.
_MAX_KEPT_STARTS = 8
# Latest fences of a host for which a repeated fence returns the same winner.
_MAX_KEPT_FENCES = 8


class HostFenceMachine:
    """Issued and fenced incarnations; a part of `ClaimMachine`.

    Fences and claims share one state machine, so that all control hosts refuse
    the same claims of a fenced host.
    """

    def __init__(self) -> None:
        self._hosts: dict[str, HostFence] = {}

    def is_fenced(self, host: str, incarnation: int) -> bool:
        """Whether this incarnation of the host is fenced."""
        entry = self._hosts.get(host)
        return entry is not None and incarnation <= entry.fenced

    def join(self, command: JoinHost) -> FenceResult:
        """Issue the incarnation of a host's start; a repeat returns the same one."""
        entry = self._hosts.setdefault(command.host, HostFence(host=command.host))
        for start in entry.starts:
            if start.start_id == command.start_id:
                return _join_result(start.incarnation)
        entry.incarnation += 1
        start = HostStart(start_id=command.start_id, incarnation=entry.incarnation)
        entry.starts.append(start)
        del entry.starts[:-_MAX_KEPT_STARTS]
        return _join_result(entry.incarnation)

    def fence(self, command: FenceHost) -> FenceResult:
        """Fence a host up to an incarnation unless another host did so first."""
        entry = self._hosts.get(command.host)
        if self.is_fenced(command.sender, command.sender_incarnation):
            return FenceResult(status=FenceStatus.REFUSED)
        if entry is None or command.incarnation > entry.incarnation:
            return FenceResult(status=FenceStatus.UNKNOWN)
        if command.incarnation > entry.fenced:
            entry.fenced = command.incarnation
            entry.fences.append(command)
            del entry.fences[:-_MAX_KEPT_FENCES]
        return _fence_result(entry, command)

    def snapshot(self) -> HostFences:
        """Return the state of all hosts."""
        return HostFences(hosts=[self._hosts[name] for name in sorted(self._hosts)])

    def restore(self, state: HostFences) -> None:
        """Replace the state by one that `snapshot` returned."""
        self._hosts = {}
        for host in state.hosts:
            entry = HostFence()
            entry.CopyFrom(host)
            self._hosts[host.host] = entry


class Fences:
    """Client for fences on one host; `join` must be called first."""

    def __init__(self, host: str, agreement: Agreement, machine_name: str = "claims"):
        self._host = host
        self._agreement = agreement
        self._machine_name = machine_name
        self._incarnation = 0

    @classmethod
    def from_config(cls, host: str, agreement: Agreement) -> "Fences":
        """Return the client of `host`."""
        return cls(host, agreement)

    @property
    def identity(self) -> HostIdentity:
        """Identity of this host's current start, with incarnation 0 before `join`."""
        return HostIdentity(self._host, self._incarnation)

    async def join(self, start_id: str, timeout: float) -> HostIdentity:
        """Get an incarnation for this start and return the host's identity.

        `start_id` must be unique to each start; a repeat with the same one
        returns the same identity. Raise `Failure` with
        `NO_QUORUM` after `timeout` seconds.
        """
        join = JoinHost(host=self._host, start_id=start_id)
        result = await self._propose(ClaimsCommand(join=join), timeout)
        self._incarnation = result.incarnation
        return self.identity

    async def fence(self, identity: HostIdentity, timeout: float) -> FenceAnswer:
        """Fence `identity` and all earlier incarnations of its host.

        They are fenced on return, even if another host fenced them first.

        Raise `Failure` with `FENCED` if this host itself is fenced, with
        `UNKNOWN_NAME` for an incarnation that was never issued, and with
        `NO_QUORUM` after `timeout` seconds. In the last case, the fence may
        still be committed, and the call may be repeated.
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


def _fence_result(entry: HostFence, command: FenceHost) -> FenceResult:
    """Return the winner of the first kept fence that covers the command's."""
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


def _join_result(incarnation: int) -> FenceResult:
    return FenceResult(status=FenceStatus.JOINED, incarnation=incarnation)
