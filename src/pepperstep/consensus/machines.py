"""Replicated state machines and the results of proposals they applied."""

from collections import OrderedDict
from dataclasses import dataclass

from pepperstep.errors import Code, Failure
from pepperstep.ports import Machine
from pepperstep.proto import consensus_pb2 as pb

__all__ = ["ProposalOutcome", "StateMachines"]


@dataclass(frozen=True, slots=True)
class ProposalOutcome:
    """Result of a proposal; None if it may have been applied and evicted."""

    result: bytes | None


@dataclass(frozen=True, slots=True)
class _Session:
    index: int
    result: bytes


class StateMachines:
    """State machines by name and a bounded table of results by proposal id.

    A proposal whose result was evicted from the table is never applied again.
    Each proposal carries a commit index that was known before it was first
    sent; if that is lower than the log index of the newest evicted result, the
    proposal may be a duplicate and isn't applied.
    """

    def __init__(self, max_sessions: int, max_session_bytes: int):
        self._max_sessions = max_sessions
        self._max_session_bytes = max_session_bytes
        self._machines: dict[str, Machine] = {}
        self._sessions: OrderedDict[bytes, _Session] = OrderedDict()
        self._session_result_bytes = 0
        self._session_horizon = 0

    def register(self, name: str, machine: Machine) -> None:
        """Add a state machine."""
        self._machines[name] = machine

    def has(self, name: str) -> bool:
        """Whether a state machine of this name is registered."""
        return name in self._machines

    def known_outcome(self, proposal: pb.LogProposal) -> ProposalOutcome | None:
        """Return the outcome of a duplicate, or None if `proposal` is new."""
        session = self._sessions.get(proposal.id)
        if session is not None:
            return ProposalOutcome(session.result)
        if proposal.known_index < self._session_horizon:
            return ProposalOutcome(None)
        return None

    def apply(self, index: int, proposal: pb.LogProposal) -> ProposalOutcome:
        """Apply a committed proposal unless it is a duplicate."""
        known = self.known_outcome(proposal)
        if known is not None:
            return known
        machine = self._machines.get(proposal.name)
        if machine is None:
            text = f"No machine {proposal.name} for a committed command."
            raise Failure(Code.INTERNAL, text)
        result = machine.apply(index, proposal.command)
        self._add_session(proposal.id, _Session(index, result))
        return ProposalOutcome(result)

    def snapshot(self) -> pb.LogSnapshot:
        """Return the state of all machines, without log index and membership."""
        snapshot = pb.LogSnapshot(session_horizon=self._session_horizon)
        for name, machine in sorted(self._machines.items()):
            snapshot.machines.add(name=name, state=machine.snapshot())
        for key, session in self._sessions.items():
            snapshot.sessions.add(id=key, index=session.index, result=session.result)
        return snapshot

    def restore(self, snapshot: pb.LogSnapshot) -> None:
        """Replace the state of all machines by that of `snapshot`."""
        for state in snapshot.machines:
            machine = self._machines.get(state.name)
            if machine is None:
                text = f"No machine {state.name} for a snapshot."
                raise Failure(Code.INTERNAL, text)
            machine.restore(state.state)
        self._sessions.clear()
        self._session_result_bytes = 0
        self._session_horizon = 0
        for session in snapshot.sessions:
            self._add_session(session.id, _Session(session.index, session.result))
        self._session_horizon = snapshot.session_horizon

    def _add_session(self, key: bytes, session: _Session) -> None:
        self._sessions[key] = session
        self._session_result_bytes += len(session.result)
        while self._is_over_limit:
            _, dropped = self._sessions.popitem(last=False)
            self._session_result_bytes -= len(dropped.result)
            self._session_horizon = dropped.index

    @property
    def _is_over_limit(self) -> bool:
        if len(self._sessions) <= 1:
            return False
        is_long = len(self._sessions) > self._max_sessions
        return is_long or self._session_result_bytes > self._max_session_bytes
