"""Leader election: the election timeout, the pre-vote and the vote."""

import random

import trio
from absl import logging

from pepperstep.consensus.follower import Follower
from pepperstep.consensus.members import Identity
from pepperstep.consensus.replica import Replica
from pepperstep.consensus.tuning import Tuning
from pepperstep.errors import Failure
from pepperstep.ports import PeerNetwork, Timers
from pepperstep.proto import consensus_pb2 as pb

__all__ = ["Election"]


class Election:
    """Campaigns for leadership after each election timeout."""

    def __init__(
        self,
        group: str,
        replica: Replica,
        follower: Follower,
        peers: PeerNetwork,
        timers: Timers,
        rng: random.Random,
        tuning: Tuning,
    ):
        self._group = group
        self._replica = replica
        self._follower = follower
        self._peers = peers
        self._timers = timers
        self._rng = rng
        self._tuning = tuning
        # Term whose leader has released its lease to this host, 0 if there is none.
        self._released_term = 0
        self._released = trio.Event()

    def take_over(self, term: int) -> bool:
        """Campaign at once, as the leader of `term` has released its lease.

        Return whether this host does so.
        """
        if term != self._replica.term or not self._can_campaign:
            return False
        self._released_term = term
        self._released.set()
        return True

    async def wait_until_elected(self) -> None:
        """Return once this host is elected in the latest term."""
        while True:
            await self._wait_until_due()
            if self._can_campaign and await self._campaign():
                return

    @property
    def _can_campaign(self) -> bool:
        return self._replica.is_voter and not self._replica.is_disk_failing

    async def _wait_until_due(self) -> None:
        """Return after an election timeout, or once a leader has released its lease."""
        self._released = trio.Event()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._wait_released, nursery.cancel_scope)
            await self._wait_election_timeout()
            nursery.cancel_scope.cancel()

    async def _wait_released(self, scope: trio.CancelScope) -> None:
        await self._released.wait()
        scope.cancel()

    async def _wait_election_timeout(self) -> None:
        """Return once no leader has sent a message for a random timeout."""
        timeout = self._rng.uniform(
            self._tuning.election_timeout, self._tuning.max_election_timeout
        )
        # After a lost election, the timeout starts at this call.
        start = self._timers.now()
        while True:
            due = max(start, self._follower.election_timer_start) + timeout
            remaining = due - self._timers.now()
            if remaining <= 0:
                return
            await self._timers.sleep(remaining)

    async def _campaign(self) -> bool:
        replica = self._replica
        is_released = replica.term == self._released_term > 0
        if not is_released and not await self._is_pre_vote_won():
            return False
        term = replica.term + 1
        self._follower.leader = ""
        replica.set_term(term, replica.identity.disk_id)
        try:
            await replica.flush()
        except Failure:
            return False
        if replica.term != term or not await self._request_votes(
            term, is_lease_released=is_released
        ):
            return False
        logging.info("consensus: Won the election of term %d.", term)
        return True

    async def _is_pre_vote_won(self) -> bool:
        if not await self._request_votes(self._replica.term + 1, is_pre_vote=True):
            return False
        return not self._follower.is_vote_withheld

    async def _request_votes(
        self, term: int, *, is_pre_vote: bool = False, is_lease_released: bool = False
    ) -> bool:
        """Return whether a quorum, including this host, grants its vote."""
        replica = self._replica
        start_term = replica.term
        membership = replica.membership
        request = pb.LogVoteRequest(
            last_index=replica.log.last_index,
            last_term=replica.log.last_term,
            is_trial=is_pre_vote,
            is_lease_released=is_lease_released,
        )
        votes = {replica.identity}
        async with trio.open_nursery() as nursery:

            def add_vote(voter: Identity) -> None:
                votes.add(voter)
                if len(votes) >= membership.quorum:
                    nursery.cancel_scope.cancel()

            for voter in membership.voters:
                if voter != replica.identity:
                    nursery.start_soon(
                        self._request_vote, voter, term, request, add_vote
                    )
        return replica.term == start_term and len(votes) >= membership.quorum

    async def _request_vote(
        self, voter: Identity, term: int, request, add_vote
    ) -> None:
        message = pb.LogVoteRequest()
        message.CopyFrom(request)
        message.header.CopyFrom(
            pb.LogHeader(
                group=self._group,
                term=term,
                sender=self._replica.identity.to_message(),
                target_disk_id=voter.disk_id,
            )
        )
        try:
            reply = await self._peers.call(
                voter.name, message, self._tuning.call_timeout
            )
        except Failure:
            return
        self._follower.observe_term(reply.term)
        if reply.is_granted:
            add_vote(voter)
