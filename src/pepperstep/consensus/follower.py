"""Handlers for a leader's messages and for vote requests."""

from dataclasses import dataclass

from absl import logging

from pepperstep.consensus.members import Identity
from pepperstep.consensus.replica import Replica
from pepperstep.consensus.tuning import Tuning
from pepperstep.ports import Timers
from pepperstep.proto import consensus_pb2 as pb

__all__ = ["Follower"]

_NEVER = float("-inf")


@dataclass(slots=True)
class _SnapshotTransfer:
    """A snapshot that is being received in chunks."""

    term: int
    index: int
    data: bytearray


class Follower:
    """Message handlers of one host and the time of its last leader contact.

    `step_down` is called when a message carries a higher term. `has_lease`
    returns whether this host itself is the leader and has a lease.
    """

    def __init__(self, replica: Replica, timers: Timers, tuning: Tuning):
        self._replica = replica
        self._timers = timers
        self._tuning = tuning
        self._transfer: _SnapshotTransfer | None = None
        self._leader_contact_at = _NEVER
        # Sender of the latest message from a leader, None after this host has led.
        self._latest_leader: Identity | None = None
        # Until this time, a leader's lease may rely on an answer that this host
        # sent before it restarted.
        self._votes_withheld_until = _NEVER
        self._voted_at = _NEVER
        self.leader = ""
        self.step_down = lambda: None
        self.has_lease = lambda: False

    @property
    def leader_contact_at(self) -> float:
        """Time of the latest message from a leader."""
        return self._leader_contact_at

    @property
    def silent_leader(self) -> dict[Identity, float]:
        """The latest leader and the time of its last message; empty if it's unknown."""
        if self._latest_leader is None:
            return {}
        return {self._latest_leader: self._leader_contact_at}

    def forget_leader(self) -> None:
        """Forget the latest leader, as this host has led since."""
        self._latest_leader = None

    @property
    def election_timer_start(self) -> float:
        """Time from which the election timeout is counted."""
        return max(self._leader_contact_at, self._voted_at)

    @property
    def is_vote_withheld(self) -> bool:
        """Whether this host must not vote.

        A leader's lease may still hold, or the vote can't be stored.
        """
        if self._replica.is_disk_failing:
            return True
        now = self._timers.now()
        if now < self._votes_withheld_until or self.has_lease():
            return True
        return now < self._leader_contact_at + self._tuning.election_timeout

    def start(self) -> None:
        """Withhold votes for one election timeout after the start of this host."""
        self._votes_withheld_until = self._timers.now() + self._tuning.election_timeout
        self._voted_at = self._timers.now()

    def observe_term(self, term: int) -> None:
        """Adopt the term of another host if it is higher."""
        if term > self._replica.term:
            self._replica.set_term(term)
            self.leader = ""
            self.step_down()

    async def on_vote(self, request: pb.LogVoteRequest) -> pb.LogVoteReply:
        """Answer a candidate's request; a granted vote is durable on return.

        Raise `Failure` with `NOT_READY` if the disk fails.
        """
        replica = self._replica
        header = request.header
        if not replica.is_member or header.target_disk_id != replica.identity.disk_id:
            return pb.LogVoteReply(term=0)
        if self._is_withheld_from(request) or header.term < replica.term:
            return pb.LogVoteReply(term=replica.term)
        if request.is_trial:
            is_granted = header.term > replica.term and self._is_up_to_date(request)
            return pb.LogVoteReply(term=replica.term, is_granted=is_granted)
        return await self._vote(request)

    async def on_append(self, request: pb.LogAppendRequest) -> pb.LogAppendReply:
        """Append a leader's entries; accepted entries are durable on return.

        Raise `Failure` with `NOT_READY` if the disk fails. Committed entries are
        applied all the same, as others have stored them.
        """
        replica = self._replica
        if not self._accept_leader(request.header):
            return self._rejection(replica.log.last_index + 1)
        if not self._has_previous_entry(request):
            return self._rejection(self._conflict_index(request.previous_index))
        self._append_new_entries(request)
        match_index = request.previous_index + len(request.entries)
        replica.commit_to(min(request.commit_index, match_index))
        await replica.flush()
        if replica.term != request.header.term:
            return self._rejection(match_index + 1)
        return pb.LogAppendReply(
            term=replica.term,
            is_accepted=True,
            match_index=match_index,
            disk_id=replica.identity.disk_id,
        )

    async def on_snapshot(self, request: pb.LogSnapshotRequest) -> pb.LogSnapshotReply:
        """Add a chunk of a snapshot; an installed snapshot is durable on return.

        Raise `Failure` with `NOT_READY` if the disk fails.
        """
        replica = self._replica
        reply = pb.LogSnapshotReply(disk_id=replica.identity.disk_id)
        if not self._accept_leader(request.header):
            reply.term = replica.term
            return reply
        transfer = self._add_chunk(request)
        if len(transfer.data) == request.size:
            self._transfer = None
            replica.install_snapshot(pb.LogSnapshot.FromString(bytes(transfer.data)))
            reply.is_installed = True
        await replica.flush()
        reply.term = replica.term
        reply.offset = len(transfer.data)
        return reply

    def _is_withheld_from(self, request: pb.LogVoteRequest) -> bool:
        """Whether this host must not vote for the sender.

        A released lease is that of the term before the candidate's. No later leader
        can have a lease either: its quorum includes a host that refuses this term.
        """
        if request.is_lease_released:
            return self._replica.is_disk_failing
        return self.is_vote_withheld

    async def _vote(self, request: pb.LogVoteRequest) -> pb.LogVoteReply:
        replica = self._replica
        term = request.header.term
        candidate = request.header.sender.disk_id
        self.observe_term(term)
        if replica.voted_for not in ("", candidate) or not self._is_up_to_date(request):
            return pb.LogVoteReply(term=replica.term)
        if replica.voted_for != candidate:
            replica.set_term(term, candidate)
        self._voted_at = self._timers.now()
        await replica.flush()
        is_granted = replica.term == term and replica.voted_for == candidate
        return pb.LogVoteReply(term=replica.term, is_granted=is_granted)

    def _is_up_to_date(self, request: pb.LogVoteRequest) -> bool:
        log = self._replica.log
        candidate = (request.last_term, request.last_index)
        return candidate >= (log.last_term, log.last_index)

    def _accept_leader(self, header: pb.LogHeader) -> bool:
        """Record the sender as leader unless the message is outdated or misdirected.

        Return whether the message may be processed.
        """
        replica = self._replica
        if header.target_disk_id != replica.identity.disk_id:
            return False
        if header.term < replica.term:
            return False
        self.observe_term(header.term)
        if self.leader != header.sender.name:
            logging.info(
                "consensus: Following leader %s in term %d.",
                header.sender.name,
                header.term,
            )
        self.leader = header.sender.name
        self._latest_leader = Identity.from_message(header.sender)
        self._leader_contact_at = self._timers.now()
        return True

    def _has_previous_entry(self, request: pb.LogAppendRequest) -> bool:
        log = self._replica.log
        if request.previous_index < log.base_index:
            # Compacted entries are committed, so they equal the leader's.
            return True
        return log.term_at(request.previous_index) == request.previous_term

    def _conflict_index(self, index: int) -> int:
        """Return the index at which the leader should retry.

        This is the first entry of the conflicting term, or the end of the log if
        this host has no entry at `index`.
        """
        log = self._replica.log
        if index > log.last_index:
            return log.last_index + 1
        term = log.term_at(index)
        while index > log.base_index + 1 and log.term_at(index - 1) == term:
            index -= 1
        return index

    def _append_new_entries(self, request: pb.LogAppendRequest) -> None:
        """Append the entries that are missing here and overwrite conflicting ones."""
        log = self._replica.log
        for position, entry in enumerate(request.entries):
            index = request.previous_index + 1 + position
            if index <= log.base_index or log.term_at(index) == entry.term:
                continue
            if index <= log.last_index:
                self._replica.truncate_from(index)
            self._replica.append(list(request.entries[position:]))
            return

    def _rejection(self, next_index: int) -> pb.LogAppendReply:
        return pb.LogAppendReply(
            term=self._replica.term,
            next_index=next_index,
            disk_id=self._replica.identity.disk_id,
        )

    def _add_chunk(self, request: pb.LogSnapshotRequest) -> _SnapshotTransfer:
        transfer = self._transfer
        key = (request.header.term, request.index)
        if transfer is None or (transfer.term, transfer.index) != key:
            transfer = self._transfer = _SnapshotTransfer(*key, bytearray())
        if request.offset == len(transfer.data):
            transfer.data += request.data
        return transfer
