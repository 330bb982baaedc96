"""One host's copy of the log and the state machines it drives."""

from dataclasses import dataclass, field

import trio
from absl import logging

from pepperstep.consensus.machines import ProposalOutcome, StateMachines
from pepperstep.consensus.members import Identity, Membership
from pepperstep.consensus.memory import MemoryLog
from pepperstep.consensus.store import LogStore
from pepperstep.consensus.tuning import Tuning
from pepperstep.consensus.writer import Writer
from pepperstep.errors import Code, Failure
from pepperstep.ports import Storage
from pepperstep.proto import consensus_pb2 as pb
from pepperstep.write_failures import WriteFailures

__all__ = ["PendingProposal", "Replica"]

# Time between two attempts to store a snapshot, in seconds.
_SNAPSHOT_RETRY_SECONDS = 5.0
# Entries applied before other tasks get to run.
_MAX_APPLY_BATCH = 256


@dataclass(slots=True, eq=False)
class PendingProposal:
    """A proposal that awaits its commit.

    Once `done` is set, `outcome` is None if the proposal was abandoned and may
    still be committed.
    """

    done: trio.Event = field(default_factory=trio.Event)
    outcome: ProposalOutcome | None = None


class Replica:
    """Term, vote, log, commit index and state machines of one host.

    Changes apply in memory at once and are queued for the disk. Answers to
    other hosts that depend on them must wait for `flush`.
    """

    def __init__(self, storage: Storage, group: str, tuning: Tuning):
        self._tuning = tuning
        self._store = LogStore(storage, group, tuning.segment_bytes)
        self._writer = Writer(self._store, self._notify_synced)
        self._pending: dict[bytes, PendingProposal] = {}
        self._committed = trio.Event()
        self._applied = trio.Event()
        self._is_removed = False
        self._snapshot_due = trio.Event()
        self._bytes_since_snapshot = 0
        self._snapshot_failures = WriteFailures("consensus", "a snapshot")
        self.machines = StateMachines(tuning.max_sessions, tuning.max_session_bytes)
        self.log = MemoryLog()
        self.identity = Identity("", "")
        self.is_member = False
        self.term = 0
        self.voted_for = ""
        self.commit_index = 0
        self.applied_index = 0
        # Called after each batch of writes to this host's disk.
        self.on_synced = lambda: None

    @property
    def store(self) -> LogStore:
        """Durable storage of the log."""
        return self._store

    @property
    def synced_index(self) -> int:
        """Index of the last durable entry on this host."""
        return self._writer.synced_index

    @property
    def is_disk_failing(self) -> bool:
        """Whether this host can't write its log and so stores nothing new."""
        return self._writer.is_failing

    @property
    def membership(self) -> Membership:
        """Latest membership in the log."""
        return self.log.membership

    @property
    def is_voter(self) -> bool:
        """Whether this host is a voter according to its own log."""
        return self.identity in self.membership.voters

    async def load(self, initial: Membership) -> None:
        """Load the log from disk; `initial` is the membership without a snapshot."""
        vote = await self._store.load_vote()
        self.term, self.voted_for = vote.term, vote.voted_for
        snapshot = await self._store.load_snapshot()
        self.log = await self._store.load_log(snapshot)
        if snapshot is None:
            self.log.set_membership(0, initial)
        else:
            self._restore(snapshot)
        self._writer.synced_index = self.log.last_index
        self.is_member = True

    async def create(self, initial: Membership) -> None:
        """Create an empty log on disk with `initial` as its membership."""
        await self._store.create_log()
        await self._store.save_vote(0, "")
        self.log.set_membership(0, initial)

    async def flush(self) -> None:
        """Return once all changes made before this call are durable.

        Raise `Failure` with `NOT_READY` if the disk fails.
        """
        await self._writer.flush()

    def set_term(self, term: int, voted_for: str = "") -> None:
        """Set the current term and the vote in it."""
        self.term, self.voted_for = term, voted_for
        self._writer.set_vote(term, voted_for)

    def append(self, entries: list[pb.LogEntry]) -> None:
        """Append entries to the log."""
        if entries:
            log = self.log
            self._writer.append(log.last_index + 1, log.last_term, entries)
            self.log.append(entries)

    def truncate_from(self, index: int) -> None:
        """Remove entries from `index` on, which conflict with the leader's log."""
        if index <= self.commit_index:
            raise Failure(Code.INTERNAL, f"Entry {index} is committed already.")
        self.log.truncate_from(index)

    def commit_to(self, index: int) -> None:
        """Raise the commit index to `index`, so that entries up to it are applied."""
        if index > self.commit_index:
            self.commit_index = index
            self._committed.set()

    def get_or_add_pending(self, proposal_id: bytes) -> tuple[PendingProposal, bool]:
        """Return the pending proposal of this id and whether it was added."""
        pending = self._pending.get(proposal_id)
        if pending is not None:
            return pending, False
        pending = self._pending[proposal_id] = PendingProposal()
        return pending, True

    @property
    def pending_count(self) -> int:
        """Number of proposals that await their commit."""
        return len(self._pending)

    def abandon_pending(self) -> None:
        """Finish all pending proposals with an unknown outcome."""
        for pending in self._pending.values():
            pending.done.set()
        self._pending.clear()

    async def wait_applied(self, index: int) -> None:
        """Return once the entry at `index` is applied.

        Raise `Failure` with `NO_QUORUM` if this host gets no more entries.
        """
        while self.applied_index < index:
            if self._is_removed:
                text = "This host is no member, and gets no more entries."
                raise Failure(Code.NO_QUORUM, text)
            await self._applied.wait()

    def mark_removed(self) -> None:
        """Record that this host isn't a member any longer and gets no more entries."""
        self._is_removed = True
        self._notify_applied()

    def install_snapshot(self, snapshot: pb.LogSnapshot) -> None:
        """Replace the state by a leader's snapshot if that is newer."""
        if snapshot.index <= self.commit_index:
            return
        is_reset = self.log.term_at(snapshot.index) != snapshot.term
        self._writer.install_snapshot(snapshot, is_reset)
        if is_reset:
            self.log.reset(snapshot.index, snapshot.term)
        else:
            self.log.compact_to(snapshot.index)
        self._restore(snapshot)
        logging.info(
            "consensus: Installed the snapshot up to entry %d.", snapshot.index
        )

    async def run(self) -> None:
        """Write entries, apply commits and take snapshots until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._writer.run)
            nursery.start_soon(self._apply_commits)
            nursery.start_soon(self._take_snapshots)

    def _notify_synced(self) -> None:
        self.on_synced()

    def _restore(self, snapshot: pb.LogSnapshot) -> None:
        self.machines.restore(snapshot)
        membership = Membership.from_message(snapshot.membership)
        self.log.set_membership(snapshot.index, membership)
        self.commit_index = self.applied_index = snapshot.index
        self._bytes_since_snapshot = 0
        self._notify_applied()

    async def _apply_commits(self) -> None:
        while True:
            while self.applied_index >= self.commit_index:
                self._committed = trio.Event()
                await self._committed.wait()
            end = min(self.commit_index, self.applied_index + _MAX_APPLY_BATCH)
            while self.applied_index < end:
                self._apply_next()
            self._notify_applied()
            self._check_snapshot_due()
            await trio.lowlevel.checkpoint()

    def _apply_next(self) -> None:
        index = self.applied_index + 1
        entry = self.log.entry(index)
        self.applied_index = index
        self._bytes_since_snapshot += entry.ByteSize()
        if entry.WhichOneof("payload") != "proposal":
            return
        outcome = self.machines.apply(index, entry.proposal)
        pending = self._pending.pop(entry.proposal.id, None)
        if pending is not None:
            pending.outcome = outcome
            pending.done.set()

    def _notify_applied(self) -> None:
        self._applied.set()
        self._applied = trio.Event()

    def _check_snapshot_due(self) -> None:
        count = self.applied_index - self._store.snapshot_index
        if (
            count >= self._tuning.snapshot_entries
            or self._bytes_since_snapshot >= self._tuning.snapshot_bytes
        ):
            self._snapshot_due.set()

    async def _take_snapshots(self) -> None:
        while True:
            await self._snapshot_due.wait()
            snapshot = self._build_snapshot()
            try:
                await self._store.save_snapshot(snapshot)
            except OSError as error:
                self._snapshot_failures.record_failure(error)
                await trio.sleep(_SNAPSHOT_RETRY_SECONDS)
                continue
            self._snapshot_failures.record_success()
            self._snapshot_due = trio.Event()
            self._compact(snapshot.index)
            self._check_snapshot_due()

    def _build_snapshot(self) -> pb.LogSnapshot:
        index = self.applied_index
        snapshot = self.machines.snapshot()
        snapshot.index = index
        snapshot.term = self.log.term_at(index)
        membership = self.log.membership_at(index)
        snapshot.membership.CopyFrom(membership.to_message())
        self._bytes_since_snapshot = 0
        return snapshot

    def _compact(self, index: int) -> None:
        if index > self.log.oldest_membership_index:
            self.log.set_membership(index, self.log.membership_at(index))
        keep_from = index - self._tuning.trailing_entries
        if keep_from > self.log.base_index:
            self.log.compact_to(keep_from)
            self._writer.trim(keep_from)
