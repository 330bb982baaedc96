"""Which learners have caught up with the leader's log."""

from dataclasses import dataclass

from absl import logging

from pepperstep.consensus.leadership import Leadership, Progress
from pepperstep.consensus.members import Identity
from pepperstep.consensus.replica import Replica
from pepperstep.ports import Timers

__all__ = ["CatchUp"]

# Longest round of a learner that can vote. Large tables in quick succession take most
# of it on a small host.
_MAX_ROUND_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class _Round:
    """A round in which a learner catches up to the last entry at its start."""

    target: int
    started_at: float


class CatchUp:
    """Measures each learner in rounds.

    A learner has caught up once a round takes at most a second, so that it stores new
    entries about as fast as the leader appends them (Ongaro, "Consensus: Bridging
    Theory and Practice", 4.2.1).
    """

    def __init__(self, replica: Replica, timers: Timers):
        self._replica = replica
        self._timers = timers
        self._rounds: dict[Identity, _Round] = {}
        self._caught_up: set[Identity] = set()

    def clear(self) -> None:
        """Forget all learners, at the start of a term."""
        self._rounds.clear()
        self._caught_up.clear()

    def has_caught_up(self, learner: Identity) -> bool:
        """Whether the learner's latest round was short enough."""
        return learner in self._caught_up

    def update(self, leadership: Leadership) -> None:
        """Finish the rounds whose target was reached, and start the next ones."""
        learners = self._replica.membership.learners
        for learner in set(self._rounds) - set(learners):
            del self._rounds[learner]
            self._caught_up.discard(learner)
        for learner in learners:
            progress = leadership.progress.get(learner)
            if progress is not None:
                self._update_learner(progress)

    def _update_learner(self, progress: Progress) -> None:
        now = self._timers.now()
        learner = progress.identity
        current = self._rounds.get(learner)
        if current is not None:
            is_late = now - current.started_at > _MAX_ROUND_SECONDS
            is_reached = progress.match_index >= current.target
            if is_late:
                self._mark_lagging(learner)
            elif is_reached:
                self._mark_caught_up(progress)
            if not is_reached:
                return
        self._rounds[learner] = _Round(self._replica.log.last_index, now)

    def _mark_caught_up(self, progress: Progress) -> None:
        if progress.identity in self._caught_up:
            return
        self._caught_up.add(progress.identity)
        logging.info(
            "consensus: Learner %s has caught up, at entry %d.",
            progress.identity,
            progress.match_index,
        )

    def _mark_lagging(self, learner: Identity) -> None:
        if learner in self._caught_up:
            self._caught_up.remove(learner)
            logging.info("consensus: Learner %s lags behind.", learner)
