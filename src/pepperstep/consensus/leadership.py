"""One term of a leader: its lease, its proposals and what it counts."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import trio
from absl import logging

from pepperstep.consensus.members import Identity, Membership
from pepperstep.consensus.replica import Pending, Replica
from pepperstep.consensus.tuning import Tuning
from pepperstep.errors import Code, Failure
from pepperstep.ports import Timers
from pepperstep.proto import consensus_pb2 as pb

__all__ = ["Leadership", "Progress"]

_NEVER = float("-inf")


@dataclass(slots=True, eq=False)
class Progress:
    """What a leader knows of one follower."""

    identity: Identity
    next_index: int
    match_index: int = 0
    # Highest commit index that the follower has confirmed.
    commit_index: int = 0
    # When the latest message was sent, and the latest that was answered.
    sent_at: float = _NEVER
    contact: float = _NEVER
    # Disk id that the host of this name has, if it is another one.
    other_disk_id: str = ""
    wake: trio.Event = field(default_factory=trio.Event)
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)

    def contact_age(self, now: float) -> float | None:
        """Return the seconds since the follower's last answer, None for none."""
        return None if self.contact == _NEVER else now - self.contact


class Leadership:
    """State of the leader in one term; `replicate` is run for each follower."""

    def __init__(
        self,
        replica: Replica,
        timers: Timers,
        tuning: Tuning,
        replicate: "Callable[[Leadership, Progress], Awaitable[None]]",
        repair: "Callable[[Leadership], Awaitable[None]]",
    ):
        self._replica = replica
        self._timers = timers
        self._tuning = tuning
        self._replicate = replicate
        self._repair = repair
        self._scope = trio.CancelScope()
        self._nursery: trio.Nursery | None = None
        self._started_at = timers.now()
        self._acknowledged = trio.Event()
        self.term = replica.term
        # The first entry of the term; before its commit, earlier ones of
        # other terms can't be counted as committed.
        self.first_index = replica.log.last_index + 1
        self.progress: dict[Identity, Progress] = {}

    @property
    def is_active(self) -> bool:
        """Whether this host still leads, with or without a lease."""
        return not self._scope.cancel_called and self._replica.term == self.term

    @property
    def age(self) -> float:
        """Seconds since this host was elected."""
        return self._timers.now() - self._started_at

    @property
    def is_ready(self) -> bool:
        """Whether the machines have seen all that earlier leaders committed."""
        return self._replica.applied_index >= self.first_index

    @property
    def has_lease(self) -> bool:
        """Whether no other host can have been elected by now."""
        return self.lease_remaining > 0

    @property
    def lease_remaining(self) -> float:
        """Seconds for which no other host can be elected from now on, 0 if any."""
        if not self.is_active:
            return 0.0
        ends_at = self.quorum_contact + self._tuning.lease
        return max(0.0, ends_at - self._timers.now())

    @property
    def quorum_contact(self) -> float:
        """Time after which a quorum, this host included, has answered."""
        if not self.is_active:
            # The log may have another leader's membership already.
            return _NEVER
        now = self._timers.now()
        return self._quorum_value(now, lambda progress: progress.contact)

    async def run(self) -> None:
        """Lead until stepped down."""
        with self._scope:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                # States the membership for followers that don't know it.
                self.propose_membership(self._replica.membership)
                nursery.start_soon(self._check_quorum)
                nursery.start_soon(self._repair, self)
        logging.info("consensus: Leads no longer in term %d.", self.term)

    def step_down(self) -> None:
        """End this leadership."""
        self._scope.cancel()
        self._acknowledged.set()

    def admit(self, proposal: pb.LogProposal) -> Pending | pb.LogProposeReply.Result:
        """Put a proposal in the log; return its refusal or what waits for it."""
        machines = self._replica.machines
        if not machines.has(proposal.name):
            return _refusal(Code.UNKNOWN_NAME, f"No machine {proposal.name}.")
        if len(proposal.command) > self._tuning.command_bytes:
            return _refusal(Code.BODY_TOO_LARGE, "The command is too long.")
        answer = machines.answer_to(proposal)
        if answer is not None and answer.result is None:
            return pb.LogProposeReply.Result(status=pb.LogProposeReply.STALE)
        if answer is not None:
            return pb.LogProposeReply.Result(data=answer.result)
        if self._replica.pending_count >= self._tuning.pending_proposals:
            return _refusal(Code.OVERLOADED, "Too many proposals wait.")
        pending, is_new = self._replica.wait_for(proposal.id)
        if is_new:
            self._append(pb.LogEntry(term=self.term, proposal=proposal))
        return pending

    def propose_membership(self, membership: Membership) -> None:
        """Put a membership in the log, where it is in force at once."""
        message = membership.to_message()
        self._append(pb.LogEntry(term=self.term, membership=message))
        self._match_followers(membership)

    async def read_index(self) -> int:
        """Return a position that covers all commits up to this call.

        Raise `Failure` with `NOT_LEADER` if this leadership ends meanwhile.
        """
        asked_at = self._timers.now()
        while self._replica.commit_index < self.first_index:
            await self._wait_acknowledged()
        index = self._replica.commit_index
        while not self.has_lease and self.quorum_contact < asked_at:
            await self._wait_acknowledged()
        return index

    def acknowledge(self) -> None:
        """Count again after a follower's answer or an own sync."""
        if not self.is_active:
            return
        self._advance_commit()
        self._acknowledged.set()
        self._acknowledged = trio.Event()

    def wake_followers(self) -> None:
        """Let all followers be sent what is new."""
        for progress in self.progress.values():
            progress.wake.set()

    async def _wait_acknowledged(self) -> None:
        await self._acknowledged.wait()
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

    def _quorum_value(self, own, value_of: Callable):
        """Return the highest value that a quorum of voters has reached."""
        membership = self._replica.membership
        values = []
        for voter in membership.voters:
            if voter == self._replica.identity:
                values.append(own)
            else:
                values.append(value_of(self.progress[voter]))
        values.sort(reverse=True)
        return values[membership.quorum - 1]

    def _match_followers(self, membership: Membership) -> None:
        """Start and end the followers' tasks by the membership."""
        for identity in list(self.progress):
            if identity not in membership.members:
                self.progress.pop(identity).scope.cancel()
        for identity in membership.members:
            if identity in self.progress or identity == self._replica.identity:
                continue
            progress = Progress(identity, self._replica.log.last_index)
            self.progress[identity] = progress
            self._nursery.start_soon(self._run_follower, progress)

    async def _run_follower(self, progress: Progress) -> None:
        with progress.scope:
            await self._replicate(self, progress)

    async def _check_quorum(self) -> None:
        """Step down when no quorum answers, so that proposals don't wait here."""
        async for now in self._timers.subscribe(self._tuning.heartbeat_interval):
            contact = max(self.quorum_contact, self._started_at)
            if now - contact > 2 * self._tuning.election:
                logging.warning("consensus: No quorum answers in term %d.", self.term)
                self.step_down()


def _refusal(code: Code, text: str) -> pb.LogProposeReply.Result:
    return pb.LogProposeReply.Result(
        status=pb.LogProposeReply.REFUSED, code=code, text=text
    )
