"""In-memory tail of the log and the memberships that its entries define."""

from collections.abc import Sequence

from pepperstep.consensus.members import Membership
from pepperstep.proto import consensus_pb2 as pb

__all__ = ["MemoryLog"]


class MemoryLog:
    """Log entries after `base_index`, numbered from 1."""

    def __init__(self, base_index: int = 0, base_term: int = 0):
        self._base_index = base_index
        self._base_term = base_term
        self._entries: list[pb.LogEntry] = []
        # Pairs of log index and membership; the first pair is the snapshot's.
        self._memberships: list[tuple[int, Membership]] = [(0, Membership())]

    @property
    def base_index(self) -> int:
        """Index of the last entry that was compacted away."""
        return self._base_index

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self._base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self._entries[-1].term if self._entries else self._base_term

    @property
    def membership(self) -> Membership:
        """Latest membership in the log, committed or not."""
        return self._memberships[-1][1]

    @property
    def membership_index(self) -> int:
        """Index of the entry with the latest membership."""
        return self._memberships[-1][0]

    @property
    def oldest_membership_index(self) -> int:
        """Index of the oldest membership that is kept."""
        return self._memberships[0][0]

    def membership_at(self, index: int) -> Membership:
        """Return the membership that applies at `index`."""
        return next(
            membership
            for position, membership in reversed(self._memberships)
            if position <= index
        )

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at `index`, or None if it isn't in memory."""
        if index == self._base_index:
            return self._base_term
        if not self._base_index < index <= self.last_index:
            return None
        return self._entries[index - self._base_index - 1].term

    def entry(self, index: int) -> pb.LogEntry:
        """Return the entry at `index`, which must be in memory."""
        return self._entries[index - self._base_index - 1]

    def entries_from(
        self, index: int, max_count: int, max_bytes: int
    ) -> list[pb.LogEntry]:
        """Return up to `max_count` entries from `index`, about `max_bytes` at most."""
        start = index - self._base_index - 1
        found = self._entries[start : start + max_count]
        total = 0
        for position, entry in enumerate(found):
            total += entry.ByteSize()
            if total > max_bytes:
                return found[: position + 1]
        return found

    def append(self, entries: Sequence[pb.LogEntry]) -> None:
        """Append entries to the log."""
        for index, entry in enumerate(entries, start=self.last_index + 1):
            if entry.WhichOneof("payload") == "membership":
                membership = Membership.from_message(entry.membership)
                self._memberships.append((index, membership))
        self._entries.extend(entries)

    def truncate_from(self, index: int) -> None:
        """Remove the entry at `index` and all later ones."""
        del self._entries[max(0, index - self._base_index - 1) :]
        while len(self._memberships) > 1 and self._memberships[-1][0] >= index:
            self._memberships.pop()

    def compact_to(self, index: int) -> None:
        """Remove the entries up to and including `index`, which must be in memory."""
        term = self.term_at(index)
        assert term is not None
        del self._entries[: index - self._base_index]
        self._base_index, self._base_term = index, term

    def reset(self, index: int, term: int) -> None:
        """Remove all entries; the next one gets the index after `index`."""
        self._entries.clear()
        self._base_index, self._base_term = index, term
        kept = [item for item in self._memberships if item[0] <= index]
        self._memberships = kept or [(0, Membership())]

    def set_membership(self, index: int, membership: Membership) -> None:
        """Replace all memberships up to `index`, but keep those of later entries."""
        later = [item for item in self._memberships if item[0] > index]
        self._memberships = [(index, membership), *later]
