"""Writer task of a host's log, which syncs many entries at once."""

from collections.abc import Callable
from dataclasses import dataclass

import trio

from pepperstep.consensus.store import LogStore
from pepperstep.errors import Code, Failure
from pepperstep.proto import consensus_pb2 as pb
from pepperstep.write_failures import WriteFailures

__all__ = ["Writer"]

# Time between two attempts of a write, in seconds.
_RETRY_SECONDS = 0.5


@dataclass(slots=True)
class _Append:
    first_index: int
    previous_term: int
    entries: list[pb.LogEntry]

    @property
    def next_index(self) -> int:
        """Index after the last entry."""
        return self.first_index + len(self.entries)


@dataclass(slots=True)
class _Vote:
    term: int
    voted_for: str


@dataclass(slots=True)
class _InstallSnapshot:
    snapshot: pb.LogSnapshot
    is_reset: bool


@dataclass(slots=True)
class _Trim:
    index: int


_Job = _Append | _Vote | _InstallSnapshot | _Trim


class Writer:
    """Queue of writes that `run` performs in order.

    A write that fails, as on a full disk, is retried before all later ones.
    `on_synced` is called after each batch, which may have raised `synced_index`.
    """

    def __init__(self, store: LogStore, on_synced: Callable[[], None]):
        self._store = store
        self._on_synced = on_synced
        self._jobs: list[_Job] = []
        self._queued_count = 0
        self._done_count = 0
        self._wake = trio.Event()
        # Replaced by a new event after each batch and each failed write.
        self._attempted = trio.Event()
        self._failures = WriteFailures("consensus", "the log")
        # Index of the last durable entry.
        self.synced_index = 0

    @property
    def is_failing(self) -> bool:
        """Whether the latest write failed; nothing queued since then is durable."""
        return self._failures.is_failing

    def append(
        self, first_index: int, previous_term: int, entries: list[pb.LogEntry]
    ) -> None:
        """Queue entries, which replace all from `first_index` on."""
        last = self._jobs[-1] if self._jobs else None
        if isinstance(last, _Append) and last.next_index == first_index:
            last.entries.extend(entries)
            return
        self._enqueue(_Append(first_index, previous_term, list(entries)))

    def set_vote(self, term: int, voted_for: str) -> None:
        """Queue a new term and vote."""
        if self._jobs and isinstance(self._jobs[-1], _Vote):
            # Keeps the queue short while the disk fails.
            self._jobs[-1] = _Vote(term, voted_for)
            return
        self._enqueue(_Vote(term, voted_for))

    def install_snapshot(self, snapshot: pb.LogSnapshot, is_reset: bool) -> None:
        """Queue a received snapshot; `is_reset` discards all entries of the log."""
        self._enqueue(_InstallSnapshot(snapshot, is_reset))

    def trim(self, index: int) -> None:
        """Queue the removal of files without entries after `index`."""
        self._enqueue(_Trim(index))

    async def flush(self) -> None:
        """Return once all writes queued before this call are durable.

        Raise `Failure` with `NOT_READY` if the disk fails. The writes are retried and
        may be durable later.
        """
        target = self._queued_count
        while self._done_count < target:
            if self.is_failing:
                raise Failure(Code.NOT_READY, "This host can't write its log now.")
            await self._attempted.wait()

    async def run(self) -> None:
        """Write queued jobs until cancelled."""
        while True:
            while not self._jobs:
                self._wake = trio.Event()
                await self._wake.wait()
            jobs, self._jobs = self._jobs, []
            target = self._queued_count
            for job in jobs:
                await self._write_until_stored(job)
            self._done_count = target
            self._notify_attempted()
            self._on_synced()
            await trio.lowlevel.checkpoint()

    def _enqueue(self, job: _Job) -> None:
        self._jobs.append(job)
        self._queued_count += 1
        self._wake.set()

    def _notify_attempted(self) -> None:
        self._attempted.set()
        self._attempted = trio.Event()

    async def _write_until_stored(self, job: _Job) -> None:
        while True:
            try:
                await self._write(job)
            except OSError as error:
                self._failures.record_failure(error)
                self._notify_attempted()
                await trio.sleep(_RETRY_SECONDS)
            else:
                self._failures.record_success()
                return

    async def _write(self, job: _Job) -> None:
        match job:
            case _Append():
                await self._store.append(
                    job.first_index, job.previous_term, job.entries
                )
                self.synced_index = job.next_index - 1
            case _Vote():
                await self._store.save_vote(job.term, job.voted_for)
            case _InstallSnapshot():
                await self._install(job)
            case _Trim():
                await self._store.trim(job.index)

    async def _install(self, job: _InstallSnapshot) -> None:
        await self._store.save_snapshot(job.snapshot)
        if job.is_reset:
            await self._store.reset(job.snapshot.index, job.snapshot.term)
            self.synced_index = job.snapshot.index
