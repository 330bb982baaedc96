"""State of the replicated log as reported by one control host."""

from dataclasses import dataclass

__all__ = ["MemberStatus", "Status"]


@dataclass(frozen=True, slots=True)
class MemberStatus:
    """Replication state of a voter or learner.

    `contact_age` is the number of seconds since the member last answered the
    leader. It is None if the member never answered or if the reporting host
    isn't the leader.
    """

    name: str
    disk_id: str
    match_index: int
    contact_age: float | None


@dataclass(frozen=True, slots=True)
class Status:
    """State of the log on one host."""

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
    # Whether the group has all its voters and each of them answers and stores
    # every committed entry. Only the leader knows; None on other hosts.
    is_redundant: bool | None
