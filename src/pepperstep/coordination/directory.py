"""Where callers connect: the entry hosts that take requests.

Control hosts know it from the entry hosts' reports, and tell it to entry hosts
with their answers. So both can answer callers, and callers find entry hosts while
all control hosts are down. It also names the keepers, the entry hosts that keep for
all what each sees a part of only.
"""

from collections.abc import Collection
from dataclasses import dataclass
from functools import cached_property

import xxhash

from pepperstep.coordination.records import EntryReport
from pepperstep.proto import coordination_pb2 as pb

__all__ = ["MAX_ADDRESSES", "Directory", "DirectoryEntry"]

# Addresses that a caller is told, and that a host keeps: the most that callers take.
MAX_ADDRESSES = 64
# Entry hosts of a caller's zone that are enough for it, and those of other zones that
# are named besides.
_ENOUGH_IN_ZONE = 16
_MAX_OTHERS = 4
# Entry hosts that keep the others' work. All connect to each of them, and a connection
# has two threads at both ends.
_MAX_KEEPERS = 16


@dataclass(frozen=True, order=True, slots=True)
class DirectoryEntry:
    """An entry host that takes callers' requests."""

    # For callers.
    address: str
    zone: str


@dataclass(frozen=True)
class Directory:
    """Entry hosts in a fixed order."""

    entries: tuple[DirectoryEntry, ...] = ()
    # Entry hosts that keep the upstreams' work for all: the same for each zone, and
    # but for one those as before when a host comes or goes.
    keepers: tuple[str, ...] = ()

    @classmethod
    def from_reports(cls, reports: Collection[EntryReport], zone: str) -> "Directory":
        """Return the entry hosts of `reports`, those of `zone` first.

        Callers take any of them. A zone with many of its own gets few others, in case
        that it's cut off, and each zone other ones.
        """
        entries = [DirectoryEntry(each.caller_address, each.zone) for each in reports]
        in_zone = sorted(entry for entry in entries if entry.zone == zone)
        others = [entry for entry in entries if entry.zone != zone]
        others.sort(key=lambda entry: _hash(f"{zone}/{entry.address}"))
        if len(in_zone) >= _ENOUGH_IN_ZONE:
            others = others[:_MAX_OTHERS]
            in_zone = in_zone[: MAX_ADDRESSES - len(others)]
        named = in_zone + others
        return cls(tuple(named[:MAX_ADDRESSES]), _choose_keepers(reports))

    @classmethod
    def from_message(cls, message: pb.Directory) -> "Directory":
        """Return the directory that `message` carries."""
        entries = (DirectoryEntry(each.address, each.zone) for each in message.entries)
        return cls(tuple(entries), tuple(message.keepers))

    @cached_property
    def digest(self) -> int:
        """A number that tells this content from others, 0 for no entry hosts."""
        if not self.entries:
            return 0
        return _hash(repr((self.entries, self.keepers)))

    def addresses(self, zone: str, without: str = "") -> list[str]:
        """Return addresses for callers in `zone`, theirs first."""
        found = [entry for entry in self.entries if entry.address != without]
        found.sort(key=lambda entry: entry.zone != zone)
        return [entry.address for entry in found]

    def to_message(self) -> pb.Directory:
        """Return the directory as a message."""
        entries = [
            pb.DirectoryEntry(address=each.address, zone=each.zone)
            for each in self.entries
        ]
        return pb.Directory(entries=entries, keepers=self.keepers)


def _choose_keepers(reports: Collection[EntryReport]) -> tuple[str, ...]:
    """Return the hosts with the lowest hashes of their names."""
    names = (report.host for report in reports)
    return tuple(sorted(names, key=_hash)[:_MAX_KEEPERS])


def _hash(text: str) -> int:
    return xxhash.xxh64_intdigest(text.encode())
