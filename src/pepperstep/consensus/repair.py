"""The leader's repair of the membership, by one voter at a time.

A voter whose host has another disk now is removed; the host is taken in as a
learner under its new identity, and votes once it has synced the log. Hosts
that ask to join are taken in as learners. One of them takes the place of a
voter that is silent: it votes first, and then the silent one is removed, so
that no entry ever stands on fewer disks.
"""

from dataclasses import dataclass

from absl import logging

from pepperstep.consensus.leadership import Leadership, Progress
from pepperstep.consensus.members import Identity, Membership
from pepperstep.consensus.replica import Replica
from pepperstep.consensus.tuning import Tuning
from pepperstep.errors import Code, Failure
from pepperstep.ports import Timers

__all__ = ["Repair"]

# A voter that is silent for longer gives its place to a learner, if there is
# one; twice the shortest election timeout, so that a restart doesn't move it.
_SILENCE_SECONDS = 2.0
# Learners at most. Each costs the leader a message in each heartbeat, and hosts
# that ask to join aren't known before.
_MAX_LEARNERS = 16
# A learner that is silent for longer is forgotten; it asks again if it returns.
_LEARNER_SILENCE_SECONDS = 10.0


@dataclass(frozen=True, slots=True)
class _Round:
    """A learner's race to the log's end as it was at the start of the round."""

    target: int
    started_at: float


class Repair:
    """Watches the followers of one leadership; `target_voter_count` is the number of voters."""

    def __init__(
        self, replica: Replica, timers: Timers, tuning: Tuning, target_voter_count: int
    ):
        self._replica = replica
        self._timers = timers
        self._tuning = tuning
        self._size = target_voter_count
        # With fewer voters, an entry would stand on too few disks.
        self._min_voters = target_voter_count // 2 + 1
        self._rounds: dict[Identity, _Round] = {}

    async def run(self, leadership: Leadership) -> None:
        """Repair until cancelled."""
        self._rounds.clear()
        async for _ in self._timers.subscribe(self._tuning.heartbeat_interval):
            if not self.is_settled(leadership):
                continue
            wanted = self._next_membership(leadership)
            if wanted != self._replica.membership:
                logging.info("consensus: Changes the members: %s.", _describe(wanted))
                leadership.propose_membership(wanted)

    def is_settled(self, leadership: Leadership) -> bool:
        """Whether the last change and an entry of this term are committed."""
        last_change = self._replica.log.membership_index
        needed = max(last_change, leadership.first_index)
        return leadership.has_lease and self._replica.commit_index >= needed

    def replace(self, leadership: Leadership, old: str, new: Identity) -> None:
        """Remove the voter of the name `old` and take in `new` as a learner."""
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
        """Whether as many voters as at first answer and have all commits."""
        membership = self._replica.membership
        if len(membership.voters) < self._size or membership.learners:
            return False
        now = self._timers.now()
        for progress in leadership.progress.values():
            age = progress.contact_age(now)
            if age is None or age > self._tuning.election:
                return False
            if progress.match_index < self._replica.commit_index:
                return False
        is_synced = self._replica.synced_index >= self._replica.commit_index
        return is_synced and self.is_settled(leadership)

    def _next_membership(self, leadership: Leadership) -> Membership:
        """Return the membership after at most one change of a voter."""
        membership = self._replica.membership
        for identity in membership.members:
            progress = leadership.progress.get(identity)
            if progress is not None and progress.other_disk_id:
                membership = self._renew(membership, progress)
                if membership.voters != self._replica.membership.voters:
                    return membership
        silent = self._silent_voters(leadership, membership)
        if len(membership.voters) > self._size:
            return membership.without(silent[0]) if silent else membership
        if len(membership.voters) == self._size and not silent:
            return self._without_lost_learner(leadership, membership)
        for learner in membership.learners:
            progress = leadership.progress.get(learner)
            if progress is not None and self._is_caught_up(progress):
                return membership.with_voter(learner)
        return membership

    def join(self, leadership: Leadership, identity: Identity) -> bool:
        """Take in a host that asks; return whether it's a member by now."""
        membership = self._replica.membership
        if identity in membership.members:
            return True
        if not self.is_settled(leadership):
            return False
        for learner in membership.learners:
            if learner.name == identity.name:
                membership = membership.without(learner)
        if len(membership.learners) >= _MAX_LEARNERS:
            logging.warning("consensus: Too many learners to take in %s.", identity)
            return False
        logging.info("consensus: Takes in %s as a learner.", identity)
        leadership.propose_membership(membership.with_learner(identity))
        return True

    def _silent_voters(
        self, leadership: Leadership, membership: Membership
    ) -> list[Identity]:
        """Return the voters that don't answer, the longest silent first."""
        ages = {
            voter: self._silence(leadership, voter)
            for voter in membership.voters
            if voter != self._replica.identity
        }
        silent = [voter for voter, age in ages.items() if age > _SILENCE_SECONDS]
        return sorted(silent, key=lambda voter: -ages[voter])

    def _without_lost_learner(
        self, leadership: Leadership, membership: Membership
    ) -> Membership:
        for learner in membership.learners:
            if self._silence(leadership, learner) > _LEARNER_SILENCE_SECONDS:
                return membership.without(learner)
        return membership

    def _silence(self, leadership: Leadership, identity: Identity) -> float:
        """Return the seconds since a follower's answer, or since the term began."""
        since_start = leadership.age
        progress = leadership.progress.get(identity)
        if progress is None:
            return 0.0
        age = progress.contact_age(self._timers.now())
        return since_start if age is None else min(age, since_start)

    def _renew(self, membership: Membership, progress: Progress) -> Membership:
        """Return the membership with the host's new identity as a learner."""
        old = progress.identity
        new = Identity(old.name, progress.other_disk_id)
        if old in membership.learners or len(membership.voters) > self._min_voters:
            membership = membership.without(old)
        if new in membership.voters:
            return membership
        return membership.with_learner(new)

    def _is_caught_up(self, progress: Progress) -> bool:
        """Whether the learner came to the log's end within an election timeout."""
        now = self._timers.now()
        current = self._rounds.get(progress.identity)
        if current is not None and progress.match_index < current.target:
            return False
        self._rounds[progress.identity] = _Round(self._replica.log.last_index, now)
        if current is None:
            return False
        return now - current.started_at <= self._tuning.election


def _describe(membership: Membership) -> str:
    voters = ", ".join(str(identity) for identity in membership.voters)
    learners = ", ".join(str(identity) for identity in membership.learners)
    return f"voters {voters}; learners {learners or 'none'}"
