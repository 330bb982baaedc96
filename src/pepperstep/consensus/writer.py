"""The one task that writes a host's log, many entries with one sync."""

from collections.abc import Callable
from dataclasses import dataclass

import trio

from pepperstep.consensus.store import LogStore
from pepperstep.proto import consensus_pb2 as pb

__all__ = ["Writer"]


@dataclass(slots=True)
class _Append:
    first_index: int
    previous_term: int
    entries: list[pb.LogEntry]

    @property
    def next_index(self) -> int:
        """Position after the last entry."""
        return self.first_index + len(self.entries)


@dataclass(slots=True)
class _Vote:
    term: int
    voted_for: str


@dataclass(slots=True)
class _Install:
    snapshot: pb.LogSnapshot
    is_reset: bool


@dataclass(slots=True)
class _Trim:
    index: int


_Job = _Append | _Vote | _Install | _Trim


class Writer:
    """Queue of writes, done in order; a disk error ends `run`.

    `on_synced` is called after each batch, when `synced_index` may have moved.
    """

    def __init__(self, store: LogStore, on_synced: Callable[[], None]):
        self._store = store
        self._on_synced = on_synced
        self._jobs: list[_Job] = []
        self._queued = 0
        self._done = 0
        self._wake = trio.Event()
        self._progress = trio.Event()
        # Last entry on disk.
        self.synced_index = 0

    def append(
        self, first_index: int, previous_term: int, entries: list[pb.LogEntry]
    ) -> None:
        """Queue entries, which make those from `first_index` on void."""
        last = self._jobs[-1] if self._jobs else None
        if isinstance(last, _Append) and last.next_index == first_index:
            last.entries.extend(entries)
            return
        self._put(_Append(first_index, previous_term, list(entries)))

    def vote(self, term: int, voted_for: str) -> None:
        """Queue a new term or vote."""
        self._put(_Vote(term, voted_for))

    def install(self, snapshot: pb.LogSnapshot, is_reset: bool) -> None:
        """Queue a received snapshot, and with `is_reset` an empty log after it."""
        self._put(_Install(snapshot, is_reset))

    def trim(self, index: int) -> None:
        """Queue the removal of files with no entry after `index`."""
        self._put(_Trim(index))

    async def flush(self) -> None:
        """Return once all that was queued before this call is durable."""
        target = self._queued
        while self._done < target:
            await self._progress.wait()

    async def run(self) -> None:
        """Write until cancelled; raise OSError if the disk fails."""
        while True:
            while not self._jobs:
                self._wake = trio.Event()
                await self._wake.wait()
            jobs, self._jobs = self._jobs, []
            target = self._queued
            for job in jobs:
                await self._write(job)
            self._done = target
            self._progress.set()
            self._progress = trio.Event()
            self._on_synced()
            await trio.lowlevel.checkpoint()

    def _put(self, job: _Job) -> None:
        self._jobs.append(job)
        self._queued += 1
        self._wake.set()

    async def _write(self, job: _Job) -> None:
        match job:
            case _Append():
                await self._store.append(
                    job.first_index, job.previous_term, job.entries
                )
                self.synced_index = job.next_index - 1
            case _Vote():
                await self._store.save_vote(job.term, job.voted_for)
            case _Install():
                await self._install(job)
            case _Trim():
                await self._store.trim(job.index)

    async def _install(self, job: _Install) -> None:
        await self._store.save_snapshot(job.snapshot)
        if job.is_reset:
            await self._store.reset(job.snapshot.index, job.snapshot.term)
            self.synced_index = job.snapshot.index
