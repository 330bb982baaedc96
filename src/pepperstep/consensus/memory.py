"""The log's entries that are held in memory, and the membership they give."""

from collections.abc import Sequence

from pepperstep.consensus.members import Membership
from pepperstep.proto import consensus_pb2 as pb

__all__ = ["MemoryLog"]


class MemoryLog:
    """Entries after `base_index`; positions start at 1."""

    def __init__(self, base_index: int = 0, base_term: int = 0):
        self._base_index = base_index
        self._base_term = base_term
        self._entries: list[pb.LogEntry] = []
        # Position and membership, the oldest being that of the snapshot.
        self._memberships: list[tuple[int, Membership]] = [(0, Membership())]

    @property
    def base_index(self) -> int:
        """Position of the last entry that is no longer held."""
        return self._base_index

    @property
    def last_index(self) -> int:
        """Position of the last entry."""
        return self._base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self._entries[-1].term if self._entries else self._base_term

    @property
    def membership(self) -> Membership:
        """Latest membership, committed or not."""
        return self._memberships[-1][1]

    @property
    def membership_index(self) -> int:
        """Position of the latest membership."""
        return self._memberships[-1][0]

    @property
    def membership_base(self) -> int:
        """Position of the oldest membership that is known."""
        return self._memberships[0][0]

    def membership_at(self, index: int) -> Membership:
        """Return the membership in force at `index`."""
        return next(
            membership
            for position, membership in reversed(self._memberships)
            if position <= index
        )

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, None if it isn't held."""
        if index == self._base_index:
            return self._base_term
        if not self._base_index < index <= self.last_index:
            return None
        return self._entries[index - self._base_index - 1].term

    def entry(self, index: int) -> pb.LogEntry:
        """Return the entry at `index`, which must be held."""
        return self._entries[index - self._base_index - 1]

    def entries_from(self, index: int, count: int, size: int) -> list[pb.LogEntry]:
        """Return entries from `index` on: up to `count`, about `size` bytes."""
        start = index - self._base_index - 1
        found = self._entries[start : start + count]
        total = 0
        for position, entry in enumerate(found):
            total += entry.ByteSize()
            if total > size:
                return found[: position + 1]
        return found

    def append(self, entries: Sequence[pb.LogEntry]) -> None:
        """Add entries at the end."""
        for index, entry in enumerate(entries, start=self.last_index + 1):
            if entry.WhichOneof("payload") == "membership":
                membership = Membership.from_message(entry.membership)
                self._memberships.append((index, membership))
        self._entries.extend(entries)

    def truncate_from(self, index: int) -> None:
        """Drop the entries from `index` on."""
        del self._entries[max(0, index - self._base_index - 1) :]
        while len(self._memberships) > 1 and self._memberships[-1][0] >= index:
            self._memberships.pop()

    def compact_to(self, index: int) -> None:
        """Drop the entries up to `index`, which must be held."""
        term = self.term_at(index)
        assert term is not None
        del self._entries[: index - self._base_index]
        self._base_index, self._base_term = index, term

    def reset(self, index: int, term: int) -> None:
        """Drop all entries; the next one comes after `index`."""
        self._entries.clear()
        self._base_index, self._base_term = index, term
        kept = [item for item in self._memberships if item[0] <= index]
        self._memberships = kept or [(0, Membership())]

    def set_membership(self, index: int, membership: Membership) -> None:
        """Take the membership of a snapshot; later entries' ones stay."""
        later = [item for item in self._memberships if item[0] > index]
        self._memberships = [(index, membership), *later]
