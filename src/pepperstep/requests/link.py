"""Sends the state of an owner's requests to one second host, in batches."""

from collections.abc import Callable
from dataclasses import dataclass

import trio
from absl import logging

from pepperstep.errors import Code, Failure
from pepperstep.ports import PeerNetwork, Timers
from pepperstep.proto import journal_pb2
from pepperstep.requests.links import LinkDecisions
from pepperstep.requests.run import Run

__all__ = ["JournalLink"]

_CALL_SECONDS = 0.25
_RETRY_SECONDS = 0.02
# An unanswered link is dropped after this time, so that its streams go on
# with another second.
_DROP_SECONDS = 0.6
_DECISION_SECONDS = 2.0
# Tokens wait this long for others of the batch; records, first tokens and
# outcomes don't wait.
_BATCH_SECONDS = 0.015


@dataclass(slots=True)
class _Sent:
    """How much of a run the second has."""

    run: Run
    is_recorded: bool = False
    position: int = 0
    has_outcome: bool = False


@dataclass(frozen=True, slots=True)
class _Step:
    """What a batch in progress holds of one run."""

    sent: _Sent
    position: int
    has_outcome: bool


class JournalLink:
    """One link of this owner; `run` sends until the link ends.

    `on_end` gets the second's name, the runs whose outcome it doesn't have, and
    whether it has taken them over.
    """

    def __init__(
        self,
        link: journal_pb2.Link,
        peers: PeerNetwork,
        timers: Timers,
        decisions: LinkDecisions,
        on_end: Callable[[str, list[Run], bool], None],
    ):
        self._link = link
        self._peers = peers
        self._timers = timers
        self._decisions = decisions
        self._on_end = on_end
        self._sent: dict[str, _Sent] = {}
        self._dirty: set[str] = set()
        self._is_urgent = False
        self._wake = trio.Event()
        self._second_incarnation = 0
        self._failing_since: float | None = None
        self.is_ended = False

    @property
    def second(self) -> str:
        """Name of the second host."""
        return self._link.second

    def add(self, run: Run) -> None:
        """Send the run's whole record, and its changes from now on."""
        self._sent[run.id] = _Sent(run)
        self.mark(run, is_urgent=True)

    def mark(self, run: Run, is_urgent: bool = False) -> None:
        """Send what has changed of the run with the next batch."""
        self._dirty.add(run.id)
        self._is_urgent = self._is_urgent or is_urgent
        self._wake.set()

    async def run(self) -> None:
        """Send batches until the link is dropped or taken over."""
        while not self.is_ended:
            await self._wait_dirty()
            await self._send_batch()

    async def hand_over(self) -> bool:
        """Ask the second to take the requests over; return whether it did."""
        try:
            answer = await self._peers.call(
                self.second,
                journal_pb2.HandOver(link=self._link),
                2 * _DECISION_SECONDS,
            )
        except Failure:
            return False
        if answer.is_taken:
            self._end(is_taken=True)
        return answer.is_taken

    async def _wait_dirty(self) -> None:
        if not self._dirty:
            self._wake = trio.Event()
            await self._wake.wait()
        if self._is_urgent:
            return
        self._wake = trio.Event()
        with self._timers.move_on_after(_BATCH_SECONDS):
            while not self._is_urgent:
                await self._wake.wait()
                self._wake = trio.Event()

    async def _send_batch(self) -> None:
        batch, steps = self._build_batch()
        try:
            ack = await self._peers.call(self.second, batch, _CALL_SECONDS)
        except Failure as failure:
            self._dirty.update(step.sent.run.id for step in steps)
            await self._note_failure(failure)
            return
        self._failing_since = None
        await self._take_ack(ack, steps)

    def _build_batch(self) -> tuple[journal_pb2.JournalBatch, list[_Step]]:
        batch = journal_pb2.JournalBatch(link=self._link)
        steps = []
        for request_id in self._dirty:
            sent = self._sent.get(request_id)
            if sent is None:
                continue
            if sent.is_recorded:
                batch.checkpoints.append(sent.run.to_checkpoint(sent.position))
            else:
                batch.records.append(sent.run.to_record())
            has_outcome = sent.run.outcome is not None
            steps.append(_Step(sent, len(sent.run.tokens), has_outcome))
        self._dirty.clear()
        self._is_urgent = False
        return batch, steps

    async def _take_ack(self, ack: journal_pb2.JournalAck, steps: list[_Step]) -> None:
        if ack.is_taken:
            self._end(is_taken=True)
            return
        if self._second_incarnation not in (0, ack.incarnation):
            # The second has restarted and holds nothing of earlier batches.
            await self._drop()
            return
        self._second_incarnation = ack.incarnation
        missing = set(ack.missing)
        for step in steps:
            if step.sent.run.id in missing:
                step.sent.is_recorded = False
                self.mark(step.sent.run, is_urgent=True)
                continue
            self._acknowledge(step)

    def _acknowledge(self, step: _Step) -> None:
        sent = step.sent
        sent.is_recorded = True
        sent.position = step.position
        sent.run.release(step.position, step.has_outcome)
        if step.has_outcome:
            self._sent.pop(sent.run.id, None)

    async def _note_failure(self, failure: Failure) -> None:
        now = self._timers.now()
        if self._failing_since is None:
            self._failing_since = now
        if now - self._failing_since >= _DROP_SECONDS:
            await self._drop()
            return
        await self._timers.sleep(_RETRY_SECONDS)

    async def _drop(self) -> None:
        try:
            is_granted = await self._decisions.drop(self._link, _DECISION_SECONDS)
        except Failure as failure:
            if failure.code is not Code.NO_QUORUM:
                raise
            return
        logging.info("requests: Dropped the link to %s: %s.", self.second, is_granted)
        self._end(is_taken=not is_granted)

    def _end(self, is_taken: bool) -> None:
        if self.is_ended:
            return
        self.is_ended = True
        runs = [sent.run for sent in self._sent.values()]
        self._sent.clear()
        self._on_end(self.second, runs, is_taken)
        self._wake.set()
