"""Handover of what a stopping member holds: its vote, then the lead.

A member that stops asks the leader to replace it, and stops once the membership
without it is committed. It stays a member if no host can replace it, as the group would
tolerate fewer losses without its vote. A leader that stops releases its lease to
another voter.
"""

from collections.abc import Callable

from absl import logging

from pepperstep.consensus.election import Election
from pepperstep.consensus.follower import Follower
from pepperstep.consensus.leadership import Leadership, Progress
from pepperstep.consensus.members import Identity
from pepperstep.consensus.repair import Repair
from pepperstep.consensus.replica import Replica
from pepperstep.consensus.tuning import Tuning
from pepperstep.errors import Failure
from pepperstep.ports import PeerNetwork, Timers
from pepperstep.proto import consensus_pb2 as pb

__all__ = ["Handover"]

_Outcome = pb.LogLeaveReply

# Pause between two attempts to leave, in seconds.
_RETRY_SECONDS = 0.05
# Share of the call timeout for which a leader delays its answer, so that a member
# that stops needs few requests.
_WAIT_TIMEOUT_SHARE = 0.5


class Handover:
    """Lets one member leave the group, and answers others that leave.

    `leadership` returns this host's leader state, None while it doesn't lead.
    """

    def __init__(
        self,
        group: str,
        replica: Replica,
        follower: Follower,
        election: Election,
        repair: Repair,
        peers: PeerNetwork,
        timers: Timers,
        tuning: Tuning,
        leadership: Callable[[], Leadership | None],
    ):
        self._group = group
        self._replica = replica
        self._follower = follower
        self._election = election
        self._repair = repair
        self._peers = peers
        self._timers = timers
        self._tuning = tuning
        self._leadership = leadership
        self._is_leaving = False
        self._has_released_lease = False

    @property
    def is_leaving(self) -> bool:
        """Whether `leave` was called."""
        return self._is_leaving

    async def leave(self) -> None:
        """Return once the group needs this host no longer, or can't replace it.

        Return as well if no leader is elected in time: the group has lost its quorum,
        which waiting doesn't restore.
        """
        self._is_leaving = True
        started_at = self._timers.now()
        patience = self._tuning.max_election_timeout + self._tuning.call_timeout
        while self._timers.now() - max(started_at, self._led_at) <= patience:
            leadership = self._leadership()
            if leadership is not None and leadership.is_active:
                if not await self._stop_leading(leadership):
                    return
            elif await self._ask_leader():
                return
            await self._timers.sleep(_RETRY_SECONDS)

    async def on_leave(self, request: pb.LogLeaveRequest) -> pb.LogLeaveReply:
        """Answer a member that leaves, after a wait if it has to ask again."""
        leadership = self._leadership()
        if leadership is None or not leadership.is_active:
            return pb.LogLeaveReply(is_leader=False)
        identity = Identity.from_message(request.identity)
        outcome = await self._replace(leadership, identity)
        return pb.LogLeaveReply(is_leader=True, outcome=outcome)

    def on_take_over(self, request: pb.LogTakeOverRequest) -> pb.LogTakeOverReply:
        """Campaign at once, as the sender has released its lease to this host."""
        header = request.header
        is_accepted = (
            header.target_disk_id == self._replica.identity.disk_id
            and self._election.take_over(header.term)
        )
        return pb.LogTakeOverReply(is_accepted=is_accepted)

    @property
    def _led_at(self) -> float:
        """Latest time at which this host led or heard from a leader."""
        leadership = self._leadership()
        if leadership is not None and leadership.is_active:
            return self._timers.now()
        return self._follower.leader_contact_at

    async def _ask_leader(self) -> bool:
        """Ask the leader to replace this host; return whether it may stop."""
        identity = self._replica.identity
        leader = self._follower.leader
        if identity not in self._replica.membership.members:
            self._replica.mark_removed()
            return True
        if leader in ("", identity.name):
            return False
        request = pb.LogLeaveRequest(group=self._group, identity=identity.to_message())
        try:
            reply = await self._peers.call(leader, request, self._tuning.call_timeout)
        except Failure as failure:
            logging.info("consensus: %s can't replace this host: %s", leader, failure)
            return False
        if not reply.is_leader or reply.outcome == _Outcome.PENDING:
            return False
        is_replaced = reply.outcome == _Outcome.REMOVED
        if is_replaced:
            self._replica.mark_removed()
        logging.info(
            "consensus: Leaving: %s.", "replaced" if is_replaced else "no host is free"
        )
        return True

    async def _replace(
        self, leadership: Leadership, identity: Identity
    ) -> "_Outcome.Outcome":
        """Start to replace a member that leaves, and wait a while for the end."""
        with self._timers.move_on_after(
            _WAIT_TIMEOUT_SHARE * self._tuning.call_timeout
        ):
            while leadership.is_active:
                outcome = self._outcome(leadership, identity)
                if outcome != _Outcome.PENDING:
                    return outcome
                self._repair.mark_leaving(identity)
                await leadership.wait_progress()
        return _Outcome.PENDING

    def _outcome(
        self, leadership: Leadership, identity: Identity
    ) -> "_Outcome.Outcome":
        if identity not in self._replica.membership.members:
            is_settled = self._repair.is_settled(leadership)
            return _Outcome.REMOVED if is_settled else _Outcome.PENDING
        can_leave = self._repair.can_leave(leadership, identity)
        return _Outcome.PENDING if can_leave else _Outcome.KEPT

    async def _stop_leading(self, leadership: Leadership) -> bool:
        """Replace this host's vote, then release the lease to another voter.

        Return False if no other voter can lead, or if the lease came back because the
        others leave, too.
        """
        identity = self._replica.identity
        if self._repair.has_surplus or not self._repair.can_leave(leadership, identity):
            return await self._release_lease(leadership)
        self._repair.mark_leaving(identity)
        return True

    async def _release_lease(self, leadership: Leadership) -> bool:
        progress = self._next_leader(leadership)
        if progress is None or self._has_released_lease:
            return False
        self._has_released_lease = True
        leadership.stop_admitting()
        await self._wait_stored(leadership, progress)
        if not leadership.is_active:
            return True
        leadership.step_down()
        logging.info("consensus: Handing the lead over to %s.", progress.identity)
        request = pb.LogTakeOverRequest(
            header=pb.LogHeader(
                group=self._group,
                term=leadership.term,
                sender=self._replica.identity.to_message(),
                target_disk_id=progress.identity.disk_id,
            )
        )
        try:
            await self._peers.call(
                progress.identity.name, request, self._tuning.call_timeout
            )
        except Failure as failure:
            logging.info(
                "consensus: %s can't take the lead: %s", progress.identity, failure
            )
        return True

    def _next_leader(self, leadership: Leadership) -> Progress | None:
        """Return the voter that answers and has most of the log, None without one."""
        now = self._timers.now()
        answering = []
        for voter in self._replica.membership.voters:
            progress = leadership.progress.get(voter)
            if progress is None or self._repair.is_leaving(voter):
                continue
            age = progress.contact_age(now)
            if age is not None and age <= self._tuning.election_timeout:
                answering.append(progress)
        return max(answering, key=lambda each: each.match_index, default=None)

    async def _wait_stored(self, leadership: Leadership, progress: Progress) -> None:
        """Wait until the voter has the whole log; it can't be elected before."""
        with self._timers.move_on_after(
            _WAIT_TIMEOUT_SHARE * self._tuning.call_timeout
        ):
            while (
                leadership.is_active
                and progress.match_index < self._replica.log.last_index
            ):
                await leadership.wait_progress()
