"""Reads answers that other hosts own, all those of one owner at a time."""

from dataclasses import dataclass, field

import msgspec
import trio

from pepperstep.entities import Outcome
from pepperstep.errors import Failure
from pepperstep.ports import PeerNetwork, Timers
from pepperstep.proto import journal_pb2

__all__ = ["AnswerPart", "RemoteReads"]

_CALL_SECONDS = 1.0
# Time between two questions to one owner. Waiting at the owner in place of
# asking would hold one of its few handlers for each read.
_POLL_SECONDS = 0.04


@dataclass(frozen=True, slots=True)
class AnswerPart:
    """Tokens from `position` on, and the outcome behind the last one."""

    position: int
    tokens: list[str]
    outcome: Outcome | None


@dataclass(slots=True, eq=False)
class _Wait:
    """A reader that waits for something new, or to hear of a new owner."""

    read: journal_pb2.ReadAnswer
    done: trio.Event = field(default_factory=trio.Event)
    part: AnswerPart | None = None


class RemoteReads:
    """Readers of this host that wait for other hosts' answers."""

    def __init__(self, peers: PeerNetwork, timers: Timers):
        self._peers = peers
        self._timers = timers
        self._waits: dict[str, list[_Wait]] = {}
        self._nursery: trio.Nursery | None = None

    def start(self, nursery: trio.Nursery) -> None:
        """Ask owners in tasks of `nursery`."""
        self._nursery = nursery

    async def read(self, owner: str, read: journal_pb2.ReadAnswer) -> AnswerPart | None:
        """Return what is new at `owner`, None if it isn't the owner any more."""
        wait = _Wait(read)
        is_first = owner not in self._waits
        self._waits.setdefault(owner, []).append(wait)
        if is_first:
            self._nursery.start_soon(self._poll, owner)
        try:
            await wait.done.wait()
        finally:
            if wait in self._waits.get(owner, ()):
                self._waits[owner].remove(wait)
        return wait.part

    async def _poll(self, owner: str) -> None:
        while self._waits[owner]:
            await self._ask(owner, list(self._waits[owner]))
            await self._timers.sleep(_POLL_SECONDS)
        del self._waits[owner]

    async def _ask(self, owner: str, waits: list[_Wait]) -> None:
        message = journal_pb2.ReadAnswers(reads=[wait.read for wait in waits])
        try:
            answer = await self._peers.call(owner, message, _CALL_SECONDS)
        except Failure:
            for wait in waits:
                wait.done.set()
            return
        for wait, part in zip(waits, answer.parts, strict=True):
            if not part.is_owned:
                wait.done.set()
            elif part.tokens or part.outcome:
                wait.part = _part_of(part)
                wait.done.set()


def _part_of(part: journal_pb2.AnswerPart) -> AnswerPart:
    outcome = None
    if part.outcome:
        outcome = msgspec.json.decode(part.outcome, type=Outcome)
    return AnswerPart(part.position, list(part.tokens), outcome)
