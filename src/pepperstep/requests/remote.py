"""Reads answers owned by other hosts, with one batched poll for each owner."""

from dataclasses import dataclass, field

import msgspec
import trio

from pepperstep.entities import Outcome
from pepperstep.errors import Failure
from pepperstep.ports import PeerNetwork, Timers
from pepperstep.proto import journal_pb2

__all__ = ["AnswerPart", "RemoteReads"]

_CALL_TIMEOUT_SECONDS = 1.0
# Time between two polls of one owner. Long polling would occupy one of the owner's few
# handlers for each read.
_POLL_INTERVAL_SECONDS = 0.04


@dataclass(frozen=True, slots=True)
class AnswerPart:
    """Tokens from `position` on, and the outcome after the last one."""

    position: int
    tokens: list[str]
    outcome: Outcome | None


@dataclass(slots=True, eq=False)
class _PendingRead:
    """A read that waits for new tokens, an outcome or a change of the owner."""

    read: journal_pb2.ReadAnswer
    done: trio.Event = field(default_factory=trio.Event)
    part: AnswerPart | None = None


class RemoteReads:
    """This host's reads of answers that other hosts own."""

    def __init__(self, peers: PeerNetwork, timers: Timers):
        self._peers = peers
        self._timers = timers
        self._pending: dict[str, list[_PendingRead]] = {}
        self._nursery: trio.Nursery | None = None

    def start(self, nursery: trio.Nursery) -> None:
        """Poll owners in tasks of `nursery`."""
        self._nursery = nursery

    async def read(self, owner: str, read: journal_pb2.ReadAnswer) -> AnswerPart | None:
        """Return unread tokens at `owner`, or None if it isn't the owner any longer."""
        pending_read = _PendingRead(read)
        is_first = owner not in self._pending
        self._pending.setdefault(owner, []).append(pending_read)
        if is_first:
            self._nursery.start_soon(self._poll, owner)
        try:
            await pending_read.done.wait()
        finally:
            if pending_read in self._pending.get(owner, ()):
                self._pending[owner].remove(pending_read)
        return pending_read.part

    async def _poll(self, owner: str) -> None:
        while self._pending[owner]:
            await self._ask(owner, list(self._pending[owner]))
            await self._timers.sleep(_POLL_INTERVAL_SECONDS)
        del self._pending[owner]

    async def _ask(self, owner: str, pending: list[_PendingRead]) -> None:
        message = journal_pb2.ReadAnswers(
            reads=[pending_read.read for pending_read in pending]
        )
        try:
            answer = await self._peers.call(owner, message, _CALL_TIMEOUT_SECONDS)
        except Failure:
            for pending_read in pending:
                pending_read.done.set()
            return
        for pending_read, part in zip(pending, answer.parts, strict=True):
            if not part.is_owned:
                pending_read.done.set()
            elif part.tokens or part.outcome:
                pending_read.part = _decode_part(part)
                pending_read.done.set()


def _decode_part(part: journal_pb2.AnswerPart) -> AnswerPart:
    outcome = None
    if part.outcome:
        outcome = msgspec.json.decode(part.outcome, type=Outcome)
    return AnswerPart(part.position, list(part.tokens), outcome)
