"""What a control host can tell of the replicated log."""

from dataclasses import dataclass

__all__ = ["MemberStatus", "Status"]


@dataclass(frozen=True, slots=True)
class MemberStatus:
    """A voter or learner as the leader sees it.

    `contact_age` is in seconds, None on other hosts than the leader or if it
    never answered.
    """

    name: str
    disk_id: str
    match_index: int
    contact_age: float | None


@dataclass(frozen=True, slots=True)
class Status:
    """State of the log as one host knows it."""

    name: str
    disk_id: str
    is_leader: bool
    leader: str
    term: int
    last_index: int
    commit_index: int
    applied_index: int
    snapshot_index: int
    voters: tuple[MemberStatus, ...]
    learners: tuple[MemberStatus, ...]
    # Whether all voters are there, answer, and have all that is committed.
    # Known to the leader alone, None elsewhere.
    is_redundant: bool | None
