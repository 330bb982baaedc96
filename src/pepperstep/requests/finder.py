"""Finds the owner of a request among the entry hosts."""

import enum
from dataclasses import dataclass

import trio

from pepperstep.entities import Host
from pepperstep.errors import Failure
from pepperstep.ports import PeerNetwork
from pepperstep.ports.directory import Directory
from pepperstep.proto import journal_pb2
from pepperstep.requests.backup_records import BackupRecords
from pepperstep.requests.journal import rank_hosts
from pepperstep.requests.run import Run

__all__ = ["Finder", "LookupResult", "LookupStatus"]

_CALL_TIMEOUT_SECONDS = 0.5
# Number of hosts asked concurrently; it doubles with each round.
_FIRST_ROUND_HOSTS = 8

_State = journal_pb2.FoundRequest


class LookupStatus(enum.Enum):
    """What a lookup found out about a request."""

    OWNED = enum.auto()
    # Owned, but the request failed.
    FAILED = enum.auto()
    # A backup host keeps a copy and may take over the request.
    HELD = enum.auto()
    # All hosts answered and none knows the request.
    NOWHERE = enum.auto()
    # No host that answered knows the request, but some didn't answer.
    UNCLEAR = enum.auto()


_STATUS_BY_STATE = {
    _State.OWNED: LookupStatus.OWNED,
    _State.FAILED: LookupStatus.FAILED,
    _State.HELD: LookupStatus.HELD,
}


@dataclass(frozen=True, slots=True)
class LookupResult:
    """Result of a lookup; `owner` is empty unless the request is owned."""

    status: LookupStatus
    owner: str = ""

    @property
    def is_owned(self) -> bool:
        """Whether a host answered that it owns the request."""
        return bool(self.owner)


class Finder:
    """Looks up requests at the entry hosts, and answers their lookups."""

    def __init__(
        self,
        host: Host,
        owned: dict[str, Run],
        backup_records: BackupRecords,
        peers: PeerNetwork,
        directory: Directory,
    ):
        self._host = host
        self._owned = owned
        self._backup_records = backup_records
        self._peers = peers
        self._directory = directory
        peers.handle(journal_pb2.FindRequest, self._handle_find)

    def local_state(self, request_id: str) -> journal_pb2.FoundRequest:
        """Return what this host itself knows about a request."""
        run = self._owned.get(request_id)
        if run is not None and not run.is_lost:
            has_failed = run.outcome is not None and not run.outcome.is_answered
            state = _State.FAILED if has_failed else _State.OWNED
            return _State(state=state, owner=self._host.name)
        owner = self._backup_records.owner_of(request_id)
        if owner is not None:
            return _State(state=_State.HELD, owner=owner)
        new_owner = "" if run is None else run.new_owner
        return _State(state=_State.UNKNOWN, owner=new_owner)

    async def find(self, request_id: str) -> LookupResult:
        """Ask hosts until one owns the request or all have been asked."""
        answers = {self._host.name: self.local_state(request_id)}
        names = self._candidates(request_id)
        size = _FIRST_ROUND_HOSTS
        while names:
            async with trio.open_nursery() as nursery:
                for name in names[:size]:
                    nursery.start_soon(self._ask, name, request_id, answers)
            found = _find_owned(answers)
            if found is not None:
                return found
            names, size = names[size:], 2 * size
        return _find_owned(answers) or _summarize_unowned(answers)

    async def _ask(
        self,
        name: str,
        request_id: str,
        answers: dict[str, journal_pb2.FoundRequest | None],
    ) -> None:
        message = journal_pb2.FindRequest(request_id=request_id)
        try:
            answers[name] = await self._peers.call(name, message, _CALL_TIMEOUT_SECONDS)
        except Failure:
            answers[name] = None

    def _candidates(self, request_id: str) -> list[str]:
        """Return the other hosts, those likely to know the request first."""
        first_owner = request_id.split(".")[0]
        hosts = rank_hosts(self._directory.entry_hosts(), first_owner)
        names = [host.name for host in hosts if host.name != self._host.name]
        likely = (self.local_state(request_id).owner, first_owner)
        return sorted(names, key=lambda name: name not in likely)

    async def _handle_find(
        self, message: journal_pb2.FindRequest, sender: str
    ) -> journal_pb2.FoundRequest:
        return self.local_state(message.request_id)


def _find_owned(
    answers: dict[str, journal_pb2.FoundRequest | None],
) -> LookupResult | None:
    for name, answer in answers.items():
        if answer is not None and answer.state in (_State.OWNED, _State.FAILED):
            return LookupResult(_STATUS_BY_STATE[answer.state], name)
    return None


def _summarize_unowned(
    answers: dict[str, journal_pb2.FoundRequest | None],
) -> LookupResult:
    if any(answer and answer.state == _State.HELD for answer in answers.values()):
        return LookupResult(LookupStatus.HELD)
    if None in answers.values():
        return LookupResult(LookupStatus.UNCLEAR)
    return LookupResult(LookupStatus.NOWHERE)
