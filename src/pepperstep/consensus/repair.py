"""Automatic membership changes by the leader, one voter at a time.

A voter whose disk was replaced is removed. Its host is added as a learner under
its new identity and is promoted once it has caught up with the log. Hosts that
ask to join are added as learners, too. A learner that has caught up replaces a voter
that leaves or that stops answering.

A voter that leaves still answers, so the learner is promoted before it is removed. A
silent voter is removed first: the promotion then needs one answer less, and not that of
the learner. Entries are stored on as many disks as before, since the quorum of the
voters that are left is as large.
"""

import trio
from absl import logging

from pepperstep.consensus.catch_up import CatchUp
from pepperstep.consensus.leadership import Leadership, Progress
from pepperstep.consensus.members import Identity, Membership
from pepperstep.consensus.replica import Replica
from pepperstep.consensus.tuning import Tuning
from pepperstep.errors import Code, Failure
from pepperstep.ports import Timers

__all__ = ["Repair"]

# Each learner costs the leader a message per heartbeat, and any unknown host may
# ask to join.
_MAX_LEARNERS = 16
# A learner that doesn't answer for longer is removed; it asks to join again if it
# returns.
_LEARNER_SILENCE_SECONDS = 10.0
# Heartbeats without an answer after which a learner isn't promoted.
_MAX_MISSED_HEARTBEATS = 2
# A member that leaves doesn't wait for a learner that hasn't answered for longer.
_REPLACEMENT_SILENCE_SECONDS = 2.0
# Time after which a member that leaves counts as staying unless it asks again.
_LEAVING_SECONDS = 1.0


class Repair:
    """Changes the membership when a follower is lost, replaced or added."""

    def __init__(
        self, replica: Replica, timers: Timers, tuning: Tuning, target_voter_count: int
    ):
        self._replica = replica
        self._timers = timers
        self._tuning = tuning
        self._target_voter_count = target_voter_count
        # With fewer voters, an entry would be stored on too few disks.
        self._min_voters = target_voter_count // 2 + 1
        self._catch_up = CatchUp(replica, timers)
        # Times until which members count as leaving.
        self._leaving: dict[Identity, float] = {}
        self._woken = trio.Event()

    async def run(self, leadership: Leadership) -> None:
        """Change the membership as needed until cancelled."""
        self._catch_up.clear()
        self._leaving.clear()
        while True:
            self._catch_up.update(leadership)
            self._forget_staying()
            if self.is_settled(leadership):
                wanted = self._next_membership(leadership)
                if wanted != self._replica.membership:
                    logging.info(
                        "consensus: Changing the membership: %s.", _describe(wanted)
                    )
                    leadership.propose_membership(wanted)
            with self._timers.move_on_after(self._tuning.heartbeat_interval):
                await self._wait_change(leadership)

    def is_settled(self, leadership: Leadership) -> bool:
        """Whether the next change of the membership may start.

        The last change and an entry of this term must be committed.
        """
        last_change = self._replica.log.membership_index
        needed = max(last_change, leadership.first_index)
        return leadership.has_lease and self._replica.commit_index >= needed

    @property
    def has_surplus(self) -> bool:
        """Whether there are more voters than the group needs."""
        return len(self._replica.membership.voters) > self._target_voter_count

    def mark_leaving(self, identity: Identity) -> None:
        """Record that a member wants to leave; it must ask again within a second."""
        self._leaving[identity] = self._timers.now() + _LEAVING_SECONDS
        self._woken.set()

    def is_leaving(self, identity: Identity) -> bool:
        """Whether a member wants to leave."""
        return self._timers.now() < self._leaving.get(identity, float("-inf"))

    def can_leave(self, leadership: Leadership, identity: Identity) -> bool:
        """Whether the group can do without a member, perhaps only after a catch-up."""
        learners = self._replica.membership.learners
        if identity in learners or self.has_surplus:
            return True
        return any(
            self._silence_seconds(leadership, learner) <= _REPLACEMENT_SILENCE_SECONDS
            for learner in learners
            if not self.is_leaving(learner)
        )

    def replace_voter(self, leadership: Leadership, old: str, new: Identity) -> None:
        """Remove the voter named `old` and add `new` as a learner.

        Raise `Failure` with `NOT_READY` or `UNKNOWN_NAME`.
        """
        membership = self._replica.membership
        if not self.is_settled(leadership):
            raise Failure(Code.NOT_READY, "Another change of the members is under way.")
        voters = {voter.name: voter for voter in membership.voters}
        if old not in voters or new.name in voters:
            raise Failure(Code.UNKNOWN_NAME, f"Can't replace {old} by {new.name}.")
        is_small = len(voters) <= self._min_voters
        if is_small or voters[old] == self._replica.identity:
            raise Failure(Code.NOT_READY, f"{old} can't leave now.")
        wanted = membership.without(voters[old]).with_learner(new)
        leadership.propose_membership(wanted)

    def is_redundant(self, leadership: Leadership) -> bool:
        """Whether the group is complete and each voter stores all commits.

        Each voter must have answered within the minimum election timeout.
        """
        membership = self._replica.membership
        if len(membership.voters) < self._target_voter_count or membership.learners:
            return False
        now = self._timers.now()
        for progress in leadership.progress.values():
            age = progress.contact_age(now)
            if age is None or age > self._tuning.election_timeout:
                return False
            if progress.match_index < self._replica.commit_index:
                return False
        is_synced = self._replica.synced_index >= self._replica.commit_index
        return is_synced and self.is_settled(leadership)

    def _next_membership(self, leadership: Leadership) -> Membership:
        """Return the wanted membership, which changes at most one voter."""
        membership = self._replica.membership
        for identity in membership.members:
            progress = leadership.progress.get(identity)
            if progress is not None and progress.new_disk_id:
                membership = self._with_new_identity(membership, progress)
                if membership.voters != self._replica.membership.voters:
                    return membership
        for learner in membership.learners:
            if self.is_leaving(learner):
                return membership.without(learner)
        return self._with_replaced_voter(leadership, membership)

    def _with_replaced_voter(
        self, leadership: Leadership, membership: Membership
    ) -> Membership:
        """Return the membership after the next step of a replacement, if one is due.

        This host may leave, but can't remove itself.
        """
        count = len(membership.voters)
        silent = self._silent_voters(leadership, membership)
        leaving = [voter for voter in membership.voters if self.is_leaving(voter)]
        if count > self._target_voter_count:
            others = [voter for voter in leaving if voter != self._replica.identity]
            surplus = silent + others
            return membership.without(surplus[0]) if surplus else membership
        ready = self._ready_learners(leadership, membership)
        if not ready:
            return self._without_silent_learner(leadership, membership)
        if count == self._target_voter_count and silent:
            return membership.without(silent[0])
        if count < self._target_voter_count or leaving:
            return membership.with_voter(ready[0])
        return self._without_silent_learner(leadership, membership)

    def add_learner(self, leadership: Leadership, identity: Identity) -> bool:
        """Add a host that asks to join; return whether it is or becomes a member."""
        membership = self._replica.membership
        if identity in membership.members:
            return True
        if not self.is_settled(leadership):
            return False
        for learner in membership.learners:
            if learner.name == identity.name:
                membership = membership.without(learner)
        if len(membership.learners) >= _MAX_LEARNERS:
            logging.warning(
                "consensus: Can't add learner %s: too many learners.", identity
            )
            return False
        logging.info("consensus: Adding %s as a learner.", identity)
        leadership.propose_membership(membership.with_learner(identity))
        return True

    def _silent_voters(
        self, leadership: Leadership, membership: Membership
    ) -> list[Identity]:
        """Return the voters that stopped answering, the longest silent first."""
        ages = {
            voter: self._silence_seconds(leadership, voter)
            for voter in membership.voters
            if voter != self._replica.identity
        }
        limit = self._tuning.election_timeout
        silent = [voter for voter, age in ages.items() if age > limit]
        return sorted(silent, key=lambda voter: -ages[voter])

    def _ready_learners(
        self, leadership: Leadership, membership: Membership
    ) -> list[Identity]:
        """Return the learners that can vote, those that answered last first.

        One that doesn't answer would count for the quorum, but couldn't add to it.
        """
        limit = _MAX_MISSED_HEARTBEATS * self._tuning.heartbeat_interval
        silences = {
            learner: self._silence_seconds(leadership, learner)
            for learner in membership.learners
            if self._catch_up.has_caught_up(learner)
        }
        ready = [learner for learner, silence in silences.items() if silence <= limit]
        return sorted(ready, key=lambda learner: silences[learner])

    def _without_silent_learner(
        self, leadership: Leadership, membership: Membership
    ) -> Membership:
        for learner in membership.learners:
            if self._silence_seconds(leadership, learner) > _LEARNER_SILENCE_SECONDS:
                return membership.without(learner)
        return membership

    def _silence_seconds(self, leadership: Leadership, identity: Identity) -> float:
        """Return the seconds since a follower's last contact."""
        progress = leadership.progress.get(identity)
        return 0.0 if progress is None else progress.silence(self._timers.now())

    def _forget_staying(self) -> None:
        for identity in list(self._leaving):
            if not self.is_leaving(identity):
                del self._leaving[identity]

    async def _wait_change(self, leadership: Leadership) -> None:
        """Return once the next change of the membership may be due."""
        if self._leaving or not self.is_settled(leadership):
            await leadership.wait_progress()
            return
        self._woken = trio.Event()
        await self._woken.wait()

    def _with_new_identity(
        self, membership: Membership, progress: Progress
    ) -> Membership:
        """Return the membership with the host's new identity as a learner.

        The old identity is removed if enough voters remain.
        """
        old = progress.identity
        new = Identity(old.name, progress.new_disk_id)
        if old in membership.learners or len(membership.voters) > self._min_voters:
            membership = membership.without(old)
        if new in membership.voters:
            return membership
        return membership.with_learner(new)


def _describe(membership: Membership) -> str:
    voters = ", ".join(str(identity) for identity in membership.voters)
    learners = ", ".join(str(identity) for identity in membership.learners)
    return f"voters {voters}; learners {learners or 'none'}"
