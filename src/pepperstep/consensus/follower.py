"""What a host does with a leader's messages and with requests for its vote."""

from dataclasses import dataclass

from absl import logging

from pepperstep.consensus.replica import Replica
from pepperstep.consensus.tuning import Tuning
from pepperstep.ports import Timers
from pepperstep.proto import consensus_pb2 as pb

__all__ = ["Follower"]

_NEVER = float("-inf")


@dataclass(slots=True)
class _Transfer:
    """A snapshot that arrives in parts."""

    term: int
    index: int
    data: bytearray


class Follower:
    """Handlers of one host, and when it last heard from a leader.

    `step_down` is called with a higher term's arrival, `is_leading` tells
    whether this host has a lease of its own.
    """

    def __init__(self, replica: Replica, timers: Timers, tuning: Tuning):
        self._replica = replica
        self._timers = timers
        self._tuning = tuning
        self._transfer: _Transfer | None = None
        self._heard_at = _NEVER
        # Before this time, a leader may count on what an earlier life of this
        # host has promised.
        self._silent_until = _NEVER
        self._vote_at = _NEVER
        self.leader = ""
        self.step_down = lambda: None
        self.has_lease = lambda: False

    @property
    def heard_at(self) -> float:
        """Time of a leader's latest message."""
        return self._heard_at

    @property
    def last_sign(self) -> float:
        """Time at which an election timeout starts."""
        return max(self._heard_at, self._vote_at)

    @property
    def is_bound(self) -> bool:
        """Whether a leader may count on this host's vote for no other."""
        now = self._timers.now()
        if now < self._silent_until or self.has_lease():
            return True
        return now < self._heard_at + self._tuning.election_timeout

    def start(self) -> None:
        """Begin a life of this host, which binds it for one election timeout."""
        self._silent_until = self._timers.now() + self._tuning.election_timeout
        self._vote_at = self._timers.now()

    def see_term(self, term: int) -> None:
        """Move to a higher term that another host has."""
        if term > self._replica.term:
            self._replica.set_term(term)
            self.leader = ""
            self.step_down()

    async def on_vote(self, request: pb.LogVoteRequest) -> pb.LogVoteReply:
        """Answer a candidate; a granted vote is durable."""
        replica = self._replica
        header = request.header
        if not replica.is_member or header.target_disk_id != replica.identity.disk_id:
            return pb.LogVoteReply(term=0)
        if self.is_bound or header.term < replica.term:
            return pb.LogVoteReply(term=replica.term)
        if request.is_trial:
            is_granted = header.term > replica.term and self._is_current(request)
            return pb.LogVoteReply(term=replica.term, is_granted=is_granted)
        return await self._vote(request)

    async def on_append(self, request: pb.LogAppendRequest) -> pb.LogAppendReply:
        """Take a leader's entries; what is accepted is durable."""
        replica = self._replica
        if not self._take_leader(request.header):
            return self._rejection(replica.log.last_index + 1)
        if not self._has_previous(request):
            return self._rejection(self._next_after_conflict(request.previous_index))
        self._take_entries(request)
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
        """Take a part of a snapshot; once installed, it is durable."""
        replica = self._replica
        reply = pb.LogSnapshotReply(disk_id=replica.identity.disk_id)
        if not self._take_leader(request.header):
            reply.term = replica.term
            return reply
        transfer = self._add_part(request)
        if len(transfer.data) == request.size:
            self._transfer = None
            replica.install(pb.LogSnapshot.FromString(bytes(transfer.data)))
            reply.is_installed = True
        await replica.flush()
        reply.term = replica.term
        reply.offset = len(transfer.data)
        return reply

    async def _vote(self, request: pb.LogVoteRequest) -> pb.LogVoteReply:
        replica = self._replica
        term = request.header.term
        candidate = request.header.sender.disk_id
        self.see_term(term)
        if replica.voted_for not in ("", candidate) or not self._is_current(request):
            return pb.LogVoteReply(term=replica.term)
        if replica.voted_for != candidate:
            replica.set_term(term, candidate)
        self._vote_at = self._timers.now()
        await replica.flush()
        is_granted = replica.term == term and replica.voted_for == candidate
        return pb.LogVoteReply(term=replica.term, is_granted=is_granted)

    def _is_current(self, request: pb.LogVoteRequest) -> bool:
        log = self._replica.log
        candidate = (request.last_term, request.last_index)
        return candidate >= (log.last_term, log.last_index)

    def _take_leader(self, header: pb.LogHeader) -> bool:
        """Return whether the message is from the leader of the latest term."""
        replica = self._replica
        if header.target_disk_id != replica.identity.disk_id:
            return False
        if header.term < replica.term:
            return False
        self.see_term(header.term)
        if self.leader != header.sender.name:
            logging.info(
                "consensus: Follows %s in term %d.", header.sender.name, header.term
            )
        self.leader = header.sender.name
        self._heard_at = self._timers.now()
        return True

    def _has_previous(self, request: pb.LogAppendRequest) -> bool:
        log = self._replica.log
        if request.previous_index < log.base_index:
            # All up to there is committed, so it equals the leader's.
            return True
        return log.term_at(request.previous_index) == request.previous_term

    def _next_after_conflict(self, index: int) -> int:
        """Return where the leader should go on: before the conflicting term."""
        log = self._replica.log
        if index > log.last_index:
            return log.last_index + 1
        term = log.term_at(index)
        while index > log.base_index + 1 and log.term_at(index - 1) == term:
            index -= 1
        return index

    def _take_entries(self, request: pb.LogAppendRequest) -> None:
        """Add the entries that this host doesn't have yet."""
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

    def _add_part(self, request: pb.LogSnapshotRequest) -> _Transfer:
        transfer = self._transfer
        key = (request.header.term, request.index)
        if transfer is None or (transfer.term, transfer.index) != key:
            transfer = self._transfer = _Transfer(*key, bytearray())
        if request.offset == len(transfer.data):
            transfer.data += request.data
        return transfer
