"""The right of one control host at a time to act for the whole system.

The holder is the log's leader. Its term is the fencing token, as the log gives each
term to one host only. A new leader waits before it acts, so that hosts don't take turns
faster than the lease.
"""

from dataclasses import dataclass

from absl import logging

from pepperstep.observability.decisions import DutyTaken
from pepperstep.ports import Agreement, Timers

__all__ = ["LeaderLease", "LeaseHolder"]

_FIRST_TERM = 1
# Share of the lease for which a new leader waits. A leader that is cut off believes
# that it leads for up to 0.8 s after the next one's election. If it leads again after
# that one has acted, two such waits lie between its own acts: at least 3.2 s with a
# lease of 3 s.
_WAIT_LEASE_SHARE = 2 / 3


@dataclass(frozen=True, slots=True)
class LeaseHolder:
    """The host that may act and its fencing token."""

    name: str
    fence: int

    @property
    def is_first(self) -> bool:
        """Whether nobody held the lease before, as in a newly formed group."""
        return self.fence == _FIRST_TERM


class LeaderLease:
    """The lease on one control host; `lease` is its length in seconds."""

    def __init__(self, name: str, agreement: Agreement, timers: Timers, lease: float):
        self._name = name
        self._agreement = agreement
        self._timers = timers
        self._lease = lease
        self._term = 0
        self._term_began_at = 0.0
        # Latest term that was logged.
        self._logged_term = 0

    def holder(self) -> LeaseHolder | None:
        """Return this host if it may act, None otherwise."""
        if not self._agreement.is_leader:
            return None
        now = self._timers.now()
        term = self._agreement.term
        if term != self._term:
            self._term = term
            self._term_began_at = now
        holder = LeaseHolder(self._name, term)
        if (
            not holder.is_first
            and now - self._term_began_at < _WAIT_LEASE_SHARE * self._lease
        ):
            return None
        if self._logged_term != term:
            self._logged_term = term
            logging.info("duty: %s", DutyTaken(self._name, term))
        return holder
