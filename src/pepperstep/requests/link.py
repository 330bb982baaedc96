"""Sends the state of an owner's requests to one second host, in batches."""

from collections.abc import Callable
from dataclasses import dataclass

import trio
from absl import logging

from pepperstep.errors import Failure
from pepperstep.ports import PeerNetwork, Timers
from pepperstep.proto import journal_pb2
from pepperstep.requests.run import Run

__all__ = ["JournalLink"]

_CALL_SECONDS = 0.25
_HAND_OVER_SECONDS = 4.0
_RETRY_SECONDS = 0.02
# A link without an answer ends after this time, so that its streams go on with
# another second.
_SILENCE_SECONDS = 0.6
# Tokens wait this long for others of the batch; records, first tokens and
# outcomes don't wait.
_BATCH_SECONDS = 0.015
# What doesn't fit is sent with the next batch.
_MAX_BATCH_BYTES = 512 * 1024


@dataclass(slots=True)
class _Sent:
    """How much of a run the second has, as far as it has said so."""

    run: Run
    is_recorded: bool = False
    position: int = 0


@dataclass(slots=True)
class _Step:
    """What a batch on its way holds of one run."""

    sent: _Sent
    position: int
    has_outcome: bool
    version: int


class JournalLink:
    """One link of this owner; `run` opens it and sends until it ends.

    `on_end` gets the link and whether the second has taken it over.
    """

    def __init__(
        self,
        message: journal_pb2.Link,
        peers: PeerNetwork,
        timers: Timers,
        on_end: Callable[["JournalLink", bool], None],
    ):
        self.message = message
        self.is_ended = False
        self._peers = peers
        self._timers = timers
        self._on_end = on_end
        self._sent: dict[str, _Sent] = {}
        # Ids of runs that have changed, in the order of their changes.
        self._dirty: dict[str, None] = {}
        # Ids of runs that the second is to forget.
        self._forgotten: list[str] = []
        self._is_urgent = False
        self._wake = trio.Event()
        self._sequence = 0
        self._failing_since: float | None = None

    @property
    def second(self) -> str:
        """Name of the second host."""
        return self.message.second

    @property
    def runs(self) -> list[Run]:
        """All runs that the link keeps."""
        return [sent.run for sent in self._sent.values()]

    def add(self, run: Run) -> None:
        """Send the run's whole record, and its changes from now on."""
        self._sent[run.id] = _Sent(run)
        self.mark(run, is_urgent=True)

    def mark(self, run: Run, is_urgent: bool = False) -> None:
        """Send what has changed of the run with the next batch."""
        is_wake_due = not self._dirty or (is_urgent and not self._is_urgent)
        self._dirty[run.id] = None
        self._is_urgent = self._is_urgent or is_urgent
        if is_wake_due:
            self._wake.set()

    def remove(self, run: Run) -> bool:
        """Send nothing more of the run, return whether the link kept it."""
        sent = self._sent.get(run.id)
        if sent is None or sent.run is not run:
            return False
        del self._sent[run.id]
        self._dirty.pop(run.id, None)
        return True

    def forget(self, run: Run) -> bool:
        """Remove the run here and at the second, return whether the link kept it."""
        if not self.remove(run):
            return False
        self._forgotten.append(run.id)
        self._wake.set()
        return True

    async def run(self) -> None:
        """Open the link and send batches until it ends."""
        while not (self.is_ended or self.message.second_incarnation):
            await self._open()
        while not self.is_ended:
            await self._wait_dirty()
            await self._send_batch()

    async def hand_over(self) -> None:
        """Ask the second to take the requests over."""
        request = journal_pb2.HandOver(link=self.message)
        try:
            answer = await self._peers.call(self.second, request, _HAND_OVER_SECONDS)
        except Failure as failure:
            logging.warning("requests: No handover to %s: %s", self.second, failure)
            return
        if answer.is_taken:
            self.end(is_taken=True)

    def end(self, is_taken: bool) -> None:
        """Send nothing more."""
        if self.is_ended:
            return
        self.is_ended = True
        self._wake.set()
        self._on_end(self, is_taken)
        self._sent.clear()
        self._dirty.clear()

    async def _open(self) -> None:
        request = journal_pb2.OpenLink(link=self.message)
        try:
            answer = await self._peers.call(self.second, request, _CALL_SECONDS)
        except Failure:
            await self._note_silence()
            return
        self._failing_since = None
        self.message.second_incarnation = answer.second_incarnation

    async def _wait_dirty(self) -> None:
        while not (self._dirty or self._forgotten or self.is_ended):
            self._wake = trio.Event()
            await self._wake.wait()
        if self._is_urgent or self.is_ended:
            return
        self._wake = trio.Event()
        with self._timers.move_on_after(_BATCH_SECONDS):
            await self._wake.wait()

    async def _send_batch(self) -> None:
        batch, steps = self._build_batch()
        if not steps and not batch.forgotten:
            return
        try:
            ack = await self._peers.call(self.second, batch, _CALL_SECONDS)
        except Failure:
            self._dirty.update((step.sent.run.id, None) for step in steps)
            await self._note_silence()
            return
        self._failing_since = None
        # What a second acknowledges to an ended link doesn't count.
        if not self.is_ended:
            del self._forgotten[: len(batch.forgotten)]
            self._take_ack(ack, steps)

    def _build_batch(self) -> tuple[journal_pb2.JournalBatch, list[_Step]]:
        self._sequence += 1
        batch = journal_pb2.JournalBatch(
            link=self.message, sequence=self._sequence, forgotten=self._forgotten
        )
        steps: list[_Step] = []
        size = 0
        while self._dirty and size < _MAX_BATCH_BYTES:
            request_id = next(iter(self._dirty))
            del self._dirty[request_id]
            sent = self._sent.get(request_id)
            if sent is not None:
                size += _append(batch, sent)
                steps.append(_step_of(sent))
        self._is_urgent = self._is_urgent and bool(self._dirty)
        return batch, steps

    def _take_ack(self, ack: journal_pb2.JournalAck, steps: list[_Step]) -> None:
        if ack.state != journal_pb2.JournalAck.RECORDED:
            self.end(is_taken=ack.state == journal_pb2.JournalAck.TAKEN)
            return
        missing = set(ack.missing)
        for step in steps:
            sent = step.sent
            if sent.run.id in missing:
                sent.is_recorded = False
                self.mark(sent.run, is_urgent=True)
                continue
            sent.is_recorded = True
            sent.position = step.position
            sent.run.acknowledge(step.position, step.has_outcome, step.version)

    async def _note_silence(self) -> None:
        now = self._timers.now()
        if self._failing_since is None:
            self._failing_since = now
        if now - self._failing_since >= _SILENCE_SECONDS:
            self.end(is_taken=False)
            return
        await self._timers.sleep(_RETRY_SECONDS)


def _append(batch: journal_pb2.JournalBatch, sent: _Sent) -> int:
    """Add what the second lacks of a run; return its rough size in bytes."""
    run = sent.run
    if sent.is_recorded:
        batch.checkpoints.append(run.to_checkpoint(sent.position))
        return 64 + 8 * (len(run.tokens) - sent.position)
    record = run.to_record()
    batch.records.append(record)
    return record.ByteSize()


def _step_of(sent: _Sent) -> _Step:
    run = sent.run
    return _Step(sent, len(run.tokens), run.outcome is not None, run.version)
