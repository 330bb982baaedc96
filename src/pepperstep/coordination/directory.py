"""The directory: the entry hosts that callers connect to.

Control hosts build it from the entry hosts' reports and send it to entry hosts with
their replies. So both can serve it to callers, also while all control hosts are down.
It also names the keepers: entry hosts that aggregate, for all, state of which each host
sees only a part.
"""

import math
from collections.abc import Collection
from dataclasses import dataclass
from functools import cached_property

import xxhash

from pepperstep.coordination.records import EntryReport
from pepperstep.proto import coordination_pb2 as pb

__all__ = ["MAX_ADDRESSES", "Directory", "DirectoryEntry"]

# Most addresses in a directory, which is the most that callers accept.
MAX_ADDRESSES = 64
# Entry hosts in a caller's zone that are enough for it, and the number of other zones'
# entry hosts that are then added.
_ENOUGH_IN_ZONE = 16
_MAX_OTHERS = 4
# Least fraction of the entry hosts that callers are sent to. If fewer reach upstreams,
# callers keep to all of them, and those that are cut off forward requests.
_MIN_LISTED_SHARE = 0.25
# Number of keepers. All entry hosts connect to each of them, and a connection has two
# threads at both ends.
_MAX_KEEPERS = 16
# Ratio of the processor capacities at two successive bounds of the capacity classes.
# Smaller differences aren't worth another order of the keepers than by hashes alone.
_CAPACITY_RATIO = 1.2


@dataclass(frozen=True, order=True, slots=True)
class DirectoryEntry:
    """An entry host that accepts callers' requests."""

    # Address for callers.
    address: str
    zone: str
    # Whether it can't open a connection to any upstream.
    is_cut_off: bool = False
    # Where it accepts requests from other entry hosts, "" for nowhere.
    forward_address: str = ""


@dataclass(frozen=True)
class Directory:
    """Entry hosts in a fixed order."""

    entries: tuple[DirectoryEntry, ...] = ()
    # Entry hosts that aggregate the upstreams' work for all. The same in each zone; one
    # host more or less changes at most one of them.
    keepers: tuple[str, ...] = ()

    @classmethod
    def from_reports(cls, reports: Collection[EntryReport], zone: str) -> "Directory":
        """Return the directory for callers in `zone`, its own entry hosts first.

        Callers use any of the addresses. A zone with many entry hosts gets few others,
        which serve it if it's cut off, and each zone gets different ones. Entry hosts
        without upstreams are left out, unless nearly all are.
        """
        entries = [_entry_of(each) for each in reports]
        reaching = [entry for entry in entries if not entry.is_cut_off]
        if len(reaching) >= _MIN_LISTED_SHARE * len(entries):
            entries = reaching
        in_zone = sorted(entry for entry in entries if entry.zone == zone)
        others = [entry for entry in entries if entry.zone != zone]
        others.sort(
            key=lambda entry: (entry.is_cut_off, _hash(f"{zone}/{entry.address}"))
        )
        enough = sum(not entry.is_cut_off for entry in in_zone) >= _ENOUGH_IN_ZONE
        if enough:
            others = others[:_MAX_OTHERS]
            in_zone = in_zone[: MAX_ADDRESSES - len(others)]
        named = in_zone + others
        return cls(tuple(named[:MAX_ADDRESSES]), _choose_keepers(reports))

    @classmethod
    def from_message(cls, message: pb.Directory) -> "Directory":
        """Return the directory in `message`."""
        entries = (
            DirectoryEntry(
                each.address, each.zone, each.is_cut_off, each.forward_address
            )
            for each in message.entries
        )
        return cls(tuple(entries), tuple(message.keepers))

    @cached_property
    def digest(self) -> int:
        """A digest of the content, 0 without entry hosts."""
        if not self.entries:
            return 0
        return _hash(repr((self.entries, self.keepers)))

    def addresses(self, zone: str, without: str = "") -> list[str]:
        """Return addresses for callers in `zone`, the zone's own first."""
        found = [entry for entry in self.entries if entry.address != without]
        found.sort(key=lambda entry: entry.zone != zone)
        return [entry.address for entry in found]

    def forward_addresses(self, without: str) -> list[str]:
        """Return where entry hosts that reach upstreams accept forwarded requests.

        The entry host with the address `without` for callers is left out.
        """
        return [
            entry.forward_address
            for entry in self.entries
            if entry.forward_address
            and not entry.is_cut_off
            and entry.address != without
        ]

    def to_message(self) -> pb.Directory:
        """Return the directory as a message."""
        entries = [
            pb.DirectoryEntry(
                address=each.address,
                zone=each.zone,
                is_cut_off=each.is_cut_off,
                forward_address=each.forward_address,
            )
            for each in self.entries
        ]
        return pb.Directory(entries=entries, keepers=self.keepers)


def _entry_of(report: EntryReport) -> DirectoryEntry:
    return DirectoryEntry(
        report.caller_address, report.zone, report.is_cut_off, report.forward_address
    )


def _choose_keepers(reports: Collection[EntryReport]) -> tuple[str, ...]:
    """Return the entry hosts of the highest capacity classes, by hashes within a class.

    A host's place in the order depends on its own report only, so one host more or less
    changes at most one keeper.
    """
    ordered = sorted(
        reports,
        key=lambda report: (-_capacity_class(report.capacity), _hash(report.host)),
    )
    return tuple(report.host for report in ordered[:_MAX_KEEPERS])


def _capacity_class(capacity: float) -> float:
    """Return the class of a processor capacity in cores, the lowest one if unknown.

    The classes have fixed bounds, with one core in the middle of class 0. So capacities
    of one class differ by less than a fifth, and those that differ by more never share
    one. Classes that depended on the other hosts' capacities could all move when one
    host comes or goes.
    """
    if not 0 < capacity < math.inf:
        return -math.inf
    return round(math.log(capacity, _CAPACITY_RATIO))


def _hash(text: str) -> int:
    return xxhash.xxh64_intdigest(text.encode())
