"""How a host that misses its leader asks the others for their votes."""

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
    """Waits for the election timeout and runs campaigns."""

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

    async def win(self) -> None:
        """Return when this host was elected in the latest term."""
        while True:
            await self._wait_timeout()
            if self._replica.is_voter and await self._campaign():
                return

    async def _wait_timeout(self) -> None:
        """Return when no leader was heard from for a random time."""
        timeout = self._tuning.election_timeout * (1 + self._rng.random())
        # A host that isn't elected waits again, from now on.
        start = self._timers.now()
        while True:
            due = max(start, self._follower.last_sign) + timeout
            rest = due - self._timers.now()
            if rest <= 0:
                return
            await self._timers.sleep(rest)

    async def _campaign(self) -> bool:
        replica = self._replica
        if not await self._ask_votes(replica.term + 1, is_trial=True):
            return False
        if self._follower.is_bound:
            return False
        term = replica.term + 1
        self._follower.leader = ""
        replica.set_term(term, replica.identity.disk_id)
        await replica.flush()
        if replica.term != term or not await self._ask_votes(term, is_trial=False):
            return False
        logging.info("consensus: Won the election of term %d.", term)
        return True

    async def _ask_votes(self, term: int, is_trial: bool) -> bool:
        """Return whether a quorum grants its votes, this host's included."""
        replica = self._replica
        start_term = replica.term
        membership = replica.membership
        request = pb.LogVoteRequest(
            last_index=replica.log.last_index,
            last_term=replica.log.last_term,
            is_trial=is_trial,
        )
        votes = {replica.identity}
        async with trio.open_nursery() as nursery:

            def count(voter: Identity) -> None:
                votes.add(voter)
                if len(votes) >= membership.quorum:
                    nursery.cancel_scope.cancel()

            for voter in membership.voters:
                if voter != replica.identity:
                    nursery.start_soon(self._ask, voter, term, request, count)
        return replica.term == start_term and len(votes) >= membership.quorum

    async def _ask(self, voter: Identity, term: int, request, count) -> None:
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
        self._follower.see_term(reply.term)
        if reply.is_granted:
            count(voter)
