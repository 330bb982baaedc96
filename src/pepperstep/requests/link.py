"""Replicates an owner's requests to one backup host, in batches."""

from collections.abc import Callable
from dataclasses import dataclass

import trio
from absl import logging

from pepperstep.errors import Failure
from pepperstep.ports import PeerNetwork, Timers
from pepperstep.proto import journal_pb2
from pepperstep.requests.run import Run

__all__ = ["JournalLink"]

_CALL_TIMEOUT_SECONDS = 0.25
_HANDOVER_TIMEOUT_SECONDS = 4.0
_RETRY_DELAY_SECONDS = 0.02
# A link without an acknowledgement for this time ends, so that its streams continue
# with another backup host.
_MAX_SILENCE_SECONDS = 0.6
# Tokens wait this long so that more of them share a batch. Records, first tokens and
# outcomes are sent without delay.
_BATCH_DELAY_SECONDS = 0.015
# Changes beyond this size are sent with the next batch.
_MAX_BATCH_BYTES = 512 * 1024


@dataclass(slots=True)
class _Progress:
    """How much of a run the backup host has acknowledged."""

    run: Run
    is_recorded: bool = False
    position: int = 0


@dataclass(slots=True)
class _BatchEntry:
    """What a batch in flight contains of one run."""

    progress: _Progress
    position: int
    has_outcome: bool
    version: int


class JournalLink:
    """A link from this owner to one backup host; `run` opens it and sends batches.

    `on_end` is called with the link and whether the backup host has taken it over.
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
        self._progress: dict[str, _Progress] = {}
        # Ids of changed runs, in the order of their changes.
        self._changed: dict[str, None] = {}
        # Ids of runs that the backup host has to remove.
        self._to_forget: list[str] = []
        self._is_urgent = False
        self._wake = trio.Event()
        self._sequence = 0
        self._failing_since: float | None = None

    @property
    def backup(self) -> str:
        """Name of the backup host."""
        return self.message.second

    @property
    def runs(self) -> list[Run]:
        """All runs replicated over the link."""
        return [progress.run for progress in self._progress.values()]

    def add(self, run: Run) -> None:
        """Replicate the run: its full record first, then its changes."""
        self._progress[run.id] = _Progress(run)
        self.mark_changed(run, is_urgent=True)

    def mark_changed(self, run: Run, is_urgent: bool = False) -> None:
        """Send the run's changes with the next batch."""
        needs_wake = not self._changed or (is_urgent and not self._is_urgent)
        self._changed[run.id] = None
        self._is_urgent = self._is_urgent or is_urgent
        if needs_wake:
            self._wake.set()

    def remove(self, run: Run) -> bool:
        """Stop replicating the run and return whether the link had it."""
        progress = self._progress.get(run.id)
        if progress is None or progress.run is not run:
            return False
        del self._progress[run.id]
        self._changed.pop(run.id, None)
        return True

    def forget(self, run: Run) -> bool:
        """Remove the run here and at the backup; return whether the link had it."""
        if not self.remove(run):
            return False
        self._to_forget.append(run.id)
        self._wake.set()
        return True

    async def run(self) -> None:
        """Open the link and send batches until it ends."""
        while not (self.is_ended or self.message.second_incarnation):
            await self._open()
        while not self.is_ended:
            await self._wait_changed()
            await self._send_batch()

    async def hand_over(self) -> None:
        """Ask the backup host to take over the link's requests."""
        request = journal_pb2.HandOver(link=self.message)
        try:
            answer = await self._peers.call(
                self.backup, request, _HANDOVER_TIMEOUT_SECONDS
            )
        except Failure as failure:
            logging.warning("requests: Handover to %s failed: %s", self.backup, failure)
            return
        if answer.is_taken:
            self.end(is_taken=True)

    def end(self, is_taken: bool) -> None:
        """Stop sending and report the end to `on_end`."""
        if self.is_ended:
            return
        self.is_ended = True
        self._wake.set()
        self._on_end(self, is_taken)
        self._progress.clear()
        self._changed.clear()

    async def _open(self) -> None:
        request = journal_pb2.OpenLink(link=self.message)
        try:
            answer = await self._peers.call(self.backup, request, _CALL_TIMEOUT_SECONDS)
        except Failure:
            await self._handle_no_answer()
            return
        self._failing_since = None
        self.message.second_incarnation = answer.second_incarnation

    async def _wait_changed(self) -> None:
        while not (self._changed or self._to_forget or self.is_ended):
            self._wake = trio.Event()
            await self._wake.wait()
        if self._is_urgent or self.is_ended:
            return
        self._wake = trio.Event()
        with self._timers.move_on_after(_BATCH_DELAY_SECONDS):
            await self._wake.wait()

    async def _send_batch(self) -> None:
        batch, entries = self._build_batch()
        if not entries and not batch.forgotten:
            return
        try:
            ack = await self._peers.call(self.backup, batch, _CALL_TIMEOUT_SECONDS)
        except Failure:
            self._changed.update((entry.progress.run.id, None) for entry in entries)
            await self._handle_no_answer()
            return
        self._failing_since = None
        # An acknowledgement that arrives after the link ended must not release
        # anything.
        if not self.is_ended:
            del self._to_forget[: len(batch.forgotten)]
            self._apply_ack(ack, entries)

    def _build_batch(self) -> tuple[journal_pb2.JournalBatch, list[_BatchEntry]]:
        self._sequence += 1
        batch = journal_pb2.JournalBatch(
            link=self.message, sequence=self._sequence, forgotten=self._to_forget
        )
        entries: list[_BatchEntry] = []
        size = 0
        while self._changed and size < _MAX_BATCH_BYTES:
            request_id = next(iter(self._changed))
            del self._changed[request_id]
            progress = self._progress.get(request_id)
            if progress is not None:
                size += _append_changes(batch, progress)
                entries.append(_batch_entry(progress))
        self._is_urgent = self._is_urgent and bool(self._changed)
        return batch, entries

    def _apply_ack(
        self, ack: journal_pb2.JournalAck, entries: list[_BatchEntry]
    ) -> None:
        if ack.state != journal_pb2.JournalAck.RECORDED:
            self.end(is_taken=ack.state == journal_pb2.JournalAck.TAKEN)
            return
        missing = set(ack.missing)
        for entry in entries:
            progress = entry.progress
            if progress.run.id in missing:
                progress.is_recorded = False
                self.mark_changed(progress.run, is_urgent=True)
                continue
            progress.is_recorded = True
            progress.position = entry.position
            progress.run.acknowledge(entry.position, entry.has_outcome, entry.version)

    async def _handle_no_answer(self) -> None:
        now = self._timers.now()
        if self._failing_since is None:
            self._failing_since = now
        if now - self._failing_since >= _MAX_SILENCE_SECONDS:
            self.end(is_taken=False)
            return
        await self._timers.sleep(_RETRY_DELAY_SECONDS)


def _append_changes(batch: journal_pb2.JournalBatch, progress: _Progress) -> int:
    """Add a run's unacknowledged state to the batch; return its size in bytes.

    The size of a checkpoint is an estimate.
    """
    run = progress.run
    if progress.is_recorded:
        batch.checkpoints.append(run.to_checkpoint(progress.position))
        return 64 + 8 * (len(run.tokens) - progress.position)
    record = run.to_record()
    batch.records.append(record)
    return record.ByteSize()


def _batch_entry(progress: _Progress) -> _BatchEntry:
    run = progress.run
    return _BatchEntry(progress, len(run.tokens), run.outcome is not None, run.version)
