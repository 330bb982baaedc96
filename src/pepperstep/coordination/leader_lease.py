"""The right to act for the whole system, which one control host has at a time.

The holder is the log's leader, and its term the fencing token: the log gives
each term to one host only. A new leader waits before it acts, so that two
hosts never take turns faster than their lease.
"""

from dataclasses import dataclass

from absl import logging

from pepperstep.observability.decisions import DutyTaken
from pepperstep.ports import Agreement, Timers

__all__ = ["LeaderLease", "LeaseHolder"]

_FIRST_TERM = 1
# Part of the lease that a new leader waits. A leader that is cut off takes itself
# for the leader for up to 0.8 s after the election of the next. If it comes back
# after that one has acted, two such waits lie between its own acts: with a lease
# of 3 s, at least 3.2 s.
_WAIT_SHARE = 2 / 3


@dataclass(frozen=True, slots=True)
class LeaseHolder:
    """Who acts, and by which fencing token."""

    name: str
    fence: int

    @property
    def is_first(self) -> bool:
        """Whether nobody has held the duty before, as in a group that's just formed."""
        return self.fence == _FIRST_TERM


class LeaderLease:
    """The right as one control host has it; `lease` is in seconds."""

    def __init__(self, name: str, agreement: Agreement, timers: Timers, lease: float):
        self._name = name
        self._agreement = agreement
        self._timers = timers
        self._lease = lease
        self._term = 0
        self._since = 0.0
        # Term that was logged.
        self._told = 0

    def holder(self) -> LeaseHolder | None:
        """Return this host if it may act now, None otherwise."""
        if not self._agreement.is_leader:
            return None
        now = self._timers.now()
        term = self._agreement.term
        if term != self._term:
            self._term = term
            self._since = now
        holder = LeaseHolder(self._name, term)
        if not holder.is_first and now - self._since < _WAIT_SHARE * self._lease:
            return None
        if self._told != term:
            self._told = term
            logging.info("duty: %s", DutyTaken(self._name, term))
        return holder
