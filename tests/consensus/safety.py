"""Checks of Raft's safety properties on running hosts."""

from collections.abc import Mapping

from pepperstep.consensus import Consensus

__all__ = ["SafetyCheck"]


class SafetyCheck:
    """Compares leaders and committed entries of all hosts that it is shown."""

    def __init__(self) -> None:
        self._committed_entries: dict[int, bytes] = {}
        self._leaders_by_term: dict[int, str] = {}
        # Index of the last committed entry that was compared, by member.
        self._checked: dict[Consensus, int] = {}

    def check(self, members: Mapping[str, Consensus]) -> None:
        """Check leases, terms and committed entries of the running members."""
        holders = [name for name, member in members.items() if member.is_leader]
        assert len(holders) <= 1, f"Two leases at once: {holders}"
        for name, member in members.items():
            leadership = member._leadership
            if leadership is not None:
                first = self._leaders_by_term.setdefault(leadership.term, name)
                assert first == name, f"Two leaders in term {leadership.term}."
            self._check_entries(member)

    def _check_entries(self, member: Consensus) -> None:
        replica = member._replica
        start = max(self._checked.get(member, 0), replica.log.base_index) + 1
        for index in range(start, replica.commit_index + 1):
            data = replica.log.entry(index).SerializeToString(deterministic=True)
            assert self._committed_entries.setdefault(index, data) == data, (
                "Logs differ."
            )
        self._checked[member] = replica.commit_index
