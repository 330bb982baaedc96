"""Leader state of one term: lease, proposals and commit index."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import trio
from absl import logging

from pepperstep.consensus.members import Identity, Membership
from pepperstep.consensus.replica import PendingProposal, Replica
from pepperstep.consensus.tuning import Tuning
from pepperstep.errors import Code, Failure
from pepperstep.ports import Timers
from pepperstep.proto import consensus_pb2 as pb

__all__ = ["Leadership", "Progress"]

_NEVER = float("-inf")


@dataclass(slots=True, eq=False)
class Progress:
    """Replication progress of one follower."""

    identity: Identity
    next_index: int
    match_index: int = 0
    # Time since which the follower is silent if it has never answered.
    added_at: float = _NEVER
    # Highest commit index that the follower has acknowledged.
    commit_index: int = 0
    # Send time of the latest message.
    sent_at: float = _NEVER
    # Send time of the latest message that was answered.
    contact_at: float = _NEVER
    # Disk id that the host reports, if it differs from the one in `identity`.
    new_disk_id: str = ""
    wake: trio.Event = field(default_factory=trio.Event)
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)

    def silence(self, now: float) -> float:
        """Return the seconds since the last contact, or else since it was added."""
        return now - max(self.contact_at, self.added_at)

    def contact_age(self, now: float) -> float | None:
        """Return the seconds since the last contact, or None if there was none."""
        return None if self.contact_at == _NEVER else now - self.contact_at


class Leadership:
    """Leader state of one term.

    `replicate` is run once for each follower and `repair` once for the group.
    `silent_since` has the times since which members are known to be silent.
    """

    def __init__(
        self,
        replica: Replica,
        timers: Timers,
        tuning: Tuning,
        replicate: "Callable[[Leadership, Progress], Awaitable[None]]",
        repair: "Callable[[Leadership], Awaitable[None]]",
        silent_since: dict[Identity, float] | None = None,
    ):
        self._replica = replica
        self._timers = timers
        self._tuning = tuning
        self._replicate = replicate
        self._repair = repair
        self._silent_since = silent_since or {}
        self._scope = trio.CancelScope()
        self._nursery: trio.Nursery | None = None
        self._started_at = timers.now()
        self._progressed = trio.Event()
        self._is_handing_over = False
        self.term = replica.term
        # Index of the first entry of this term. Entries of earlier terms are
        # committed only along with an entry of this term, since another leader
        # could still overwrite them although a quorum has stored them.
        self.first_index = replica.log.last_index + 1
        self.progress: dict[Identity, Progress] = {}

    @property
    def is_active(self) -> bool:
        """Whether this host still is the leader, with or without a lease."""
        return not self._scope.cancel_called and self._replica.term == self.term

    @property
    def admits_proposals(self) -> bool:
        """Whether this host leads and takes proposals."""
        return self.is_active and not self._is_handing_over

    @property
    def is_ready(self) -> bool:
        """Whether all entries that earlier leaders committed are applied."""
        return self._replica.applied_index >= self.first_index

    @property
    def has_lease(self) -> bool:
        """Whether the lease holds, so that no other host can have been elected."""
        return self.lease_remaining > 0

    @property
    def lease_remaining(self) -> float:
        """Seconds until another host can be elected, 0 without a lease."""
        if not self.is_active:
            return 0.0
        ends_at = self.quorum_contact_at + self._tuning.lease
        return max(0.0, ends_at - self._timers.now())

    @property
    def quorum_contact_at(self) -> float:
        """Latest time such that a quorum has answered messages sent since then."""
        if not self.is_active:
            # The log may already contain the membership of another leader, whose
            # voters have no progress here.
            return _NEVER
        now = self._timers.now()
        return self._quorum_value(now, lambda progress: progress.contact_at)

    async def run(self) -> None:
        """Act as the leader until `step_down` is called."""
        with self._scope:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                # The first entry of the term repeats the membership for followers
                # that don't have it yet.
                self.propose_membership(self._replica.membership)
                nursery.start_soon(self._check_quorum)
                nursery.start_soon(self._repair, self)
        logging.info("consensus: Stopped leading term %d.", self.term)

    def stop_admitting(self) -> None:
        """Take no more proposals, so that the next leader can store all others."""
        self._is_handing_over = True

    def step_down(self) -> None:
        """Stop acting as the leader."""
        self._scope.cancel()
        self._progressed.set()

    def admit(
        self, proposal: pb.LogProposal
    ) -> PendingProposal | pb.LogProposeReply.Result:
        """Append a proposal to the log.

        Return the pending proposal, or a final result if the proposal is refused
        or a duplicate.
        """
        machines = self._replica.machines
        if not machines.has(proposal.name):
            return _refusal(Code.UNKNOWN_NAME, f"No machine {proposal.name}.")
        if len(proposal.command) > self._tuning.max_command_bytes:
            return _refusal(Code.BODY_TOO_LARGE, "The command is too long.")
        outcome = machines.known_outcome(proposal)
        if outcome is not None and outcome.result is None:
            return pb.LogProposeReply.Result(status=pb.LogProposeReply.STALE)
        if outcome is not None:
            return pb.LogProposeReply.Result(data=outcome.result)
        if self._replica.pending_count >= self._tuning.max_pending_proposals:
            return _refusal(Code.OVERLOADED, "Too many proposals wait.")
        pending, is_new = self._replica.get_or_add_pending(proposal.id)
        if is_new:
            self._append(pb.LogEntry(term=self.term, proposal=proposal))
        return pending

    def propose_membership(self, membership: Membership) -> None:
        """Append a membership to the log; it applies at once, before its commit."""
        message = membership.to_message()
        self._append(pb.LogEntry(term=self.term, membership=message))
        self._update_followers(membership)

    async def read_index(self) -> int:
        """Return a log index that includes all entries committed before this call.

        Raise `Failure` with `NOT_LEADER` if this host stops leading meanwhile.
        """
        requested_at = self._timers.now()
        while self._replica.commit_index < self.first_index:
            await self._wait_progress_as_leader()
        index = self._replica.commit_index
        while not self.has_lease and self.quorum_contact_at < requested_at:
            await self._wait_progress_as_leader()
        return index

    def handle_progress(self) -> None:
        """Update the commit index after a follower's answer or a local sync."""
        if not self.is_active:
            return
        self._advance_commit()
        self._progressed.set()
        self._progressed = trio.Event()

    def wake_followers(self) -> None:
        """Let the replication tasks send new entries and the commit index."""
        for progress in self.progress.values():
            progress.wake.set()

    async def wait_progress(self) -> None:
        """Return after the next answer, local sync or end of the leadership."""
        await self._progressed.wait()

    async def _wait_progress_as_leader(self) -> None:
        await self.wait_progress()
        if not self.is_active:
            raise Failure(Code.NOT_LEADER, "This host leads no longer.")

    def _append(self, entry: pb.LogEntry) -> None:
        self._replica.append([entry])
        self.wake_followers()

    def _advance_commit(self) -> None:
        replica = self._replica
        index = self._quorum_value(
            replica.synced_index, lambda progress: progress.match_index
        )
        if index <= replica.commit_index or replica.log.term_at(index) != self.term:
            return
        replica.commit_to(index)
        self.wake_followers()

    def _quorum_value(self, own_value, value_of: Callable):
        """Return the highest value that a quorum of voters has reached.

        `own_value` is the value of this host, `value_of` returns that of a
        follower's `Progress`.
        """
        membership = self._replica.membership
        values = []
        for voter in membership.voters:
            if voter == self._replica.identity:
                values.append(own_value)
            else:
                values.append(value_of(self.progress[voter]))
        values.sort(reverse=True)
        return values[membership.quorum - 1]

    def _update_followers(self, membership: Membership) -> None:
        """Start tasks for new members and cancel those of removed ones."""
        for identity in list(self.progress):
            if identity not in membership.members:
                self.progress.pop(identity).scope.cancel()
        for identity in membership.members:
            if identity in self.progress or identity == self._replica.identity:
                continue
            # An earlier time holds for the start of the term only: a member that was
            # removed and comes back isn't silent.
            added_at = self._silent_since.pop(identity, self._timers.now())
            progress = Progress(
                identity, self._replica.log.last_index, added_at=added_at
            )
            self.progress[identity] = progress
            self._nursery.start_soon(self._run_follower, progress)

    async def _run_follower(self, progress: Progress) -> None:
        with progress.scope:
            await self._replicate(self, progress)

    async def _check_quorum(self) -> None:
        """Step down without a quorum, so that proposals go to another leader.

        A host that can't write its log steps down, too. Others can lead then if enough
        of them can store entries.
        """
        written_at = self._started_at
        async for now in self._timers.subscribe(self._tuning.heartbeat_interval):
            contact_at = max(self.quorum_contact_at, self._started_at)
            if now - contact_at > 2 * self._tuning.election_timeout:
                logging.warning(
                    "consensus: Lost contact with a quorum in term %d.", self.term
                )
                self.step_down()
            if not self._replica.is_disk_failing:
                written_at = now
            if now - written_at > self._tuning.election_timeout:
                logging.warning(
                    "consensus: Stepping down in term %d: the log can't be written.",
                    self.term,
                )
                self.step_down()


def _refusal(code: Code, text: str) -> pb.LogProposeReply.Result:
    return pb.LogProposeReply.Result(
        status=pb.LogProposeReply.REFUSED, code=code, text=text
    )
