"""State that follows from the log: the machines and the answers they gave."""

from collections import OrderedDict
from dataclasses import dataclass

from pepperstep.errors import Code, Failure
from pepperstep.ports import Machine
from pepperstep.proto import consensus_pb2 as pb

__all__ = ["Answer", "Machines"]


@dataclass(frozen=True, slots=True)
class Answer:
    """A machine's result; None if a repeat can't be told from a first coming."""

    result: bytes | None


@dataclass(frozen=True, slots=True)
class _Session:
    index: int
    result: bytes


class Machines:
    """Machines by name, and a bounded table of answers by proposal id.

    A proposal whose answer was dropped from the table is never carried out
    again: each names a commit index that it is younger than, and the table
    remembers the position up to which it has dropped answers.
    """

    def __init__(self, session_count: int, session_bytes: int):
        self._session_count = session_count
        self._session_bytes = session_bytes
        self._machines: dict[str, Machine] = {}
        self._sessions: OrderedDict[bytes, _Session] = OrderedDict()
        self._bytes = 0
        self._horizon = 0

    def register(self, name: str, machine: Machine) -> None:
        """Add a machine."""
        self._machines[name] = machine

    def has(self, name: str) -> bool:
        """Whether there is a machine of that name."""
        return name in self._machines

    def answer_to(self, proposal: pb.LogProposal) -> Answer | None:
        """Return the answer that is known already, None if there is none."""
        session = self._sessions.get(proposal.id)
        if session is not None:
            return Answer(session.result)
        if proposal.known_index < self._horizon:
            return Answer(None)
        return None

    def apply(self, index: int, proposal: pb.LogProposal) -> Answer:
        """Carry out a committed proposal, unless it was before."""
        known = self.answer_to(proposal)
        if known is not None:
            return known
        machine = self._machines.get(proposal.name)
        if machine is None:
            text = f"No machine {proposal.name} for a committed command."
            raise Failure(Code.INTERNAL, text)
        result = machine.apply(index, proposal.command)
        self._remember(proposal.id, _Session(index, result))
        return Answer(result)

    def snapshot(self) -> pb.LogSnapshot:
        """Return the whole state, without position and membership."""
        snapshot = pb.LogSnapshot(session_horizon=self._horizon)
        for name, machine in sorted(self._machines.items()):
            snapshot.machines.add(name=name, state=machine.snapshot())
        for key, session in self._sessions.items():
            snapshot.sessions.add(id=key, index=session.index, result=session.result)
        return snapshot

    def restore(self, snapshot: pb.LogSnapshot) -> None:
        """Take the state of a snapshot."""
        for state in snapshot.machines:
            machine = self._machines.get(state.name)
            if machine is None:
                text = f"No machine {state.name} for a snapshot."
                raise Failure(Code.INTERNAL, text)
            machine.restore(state.state)
        self._sessions.clear()
        self._bytes = 0
        self._horizon = 0
        for session in snapshot.sessions:
            self._remember(session.id, _Session(session.index, session.result))
        self._horizon = snapshot.session_horizon

    def _remember(self, key: bytes, session: _Session) -> None:
        self._sessions[key] = session
        self._bytes += len(session.result)
        while self._has_too_much:
            _, dropped = self._sessions.popitem(last=False)
            self._bytes -= len(dropped.result)
            self._horizon = dropped.index

    @property
    def _has_too_much(self) -> bool:
        if len(self._sessions) <= 1:
            return False
        is_long = len(self._sessions) > self._session_count
        return is_long or self._bytes > self._session_bytes
