"""The member table, which merges the member records that hosts gossip.

Records of a member are ordered by life, refutation and state. A merge keeps the
greatest record, so it is commutative and idempotent: reordered or repeated
messages lead to the same table.
"""

import enum
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

import xxhash
from absl import logging

from pepperstep.entities import Host

__all__ = ["BUCKET_COUNT", "Member", "MemberChange", "MemberState", "MemberTable"]

# Buckets of the table, each compared by one digest during a sync.
BUCKET_COUNT = 64


class MemberState(enum.IntEnum):
    """State of a member; the greater state wins at equal life and refutation."""

    ALIVE = 0
    # Still serving, but not selected for new work.
    LEAVING = 1
    SUSPECT = 2
    DEAD = 3
    LEFT = 4


@dataclass(frozen=True, slots=True)
class Member:
    """A host with its state; `life` increases with each start of its process."""

    host: Host
    life: int
    # Number of suspicions that this process has refuted.
    refutation: int = 0
    state: MemberState = MemberState.ALIVE

    @property
    def name(self) -> str:
        """Name of the host."""
        return self.host.name

    @property
    def incarnation(self) -> int:
        """Incarnation number, which grows with each start and each refutation."""
        return self.life + self.refutation

    @property
    def is_gone(self) -> bool:
        """Whether the host is dead or has left."""
        return self.state >= MemberState.DEAD

    @property
    def version(self) -> tuple[int, int, int]:
        """Sort key that orders the records of one member."""
        return self.life, self.refutation, self.state


@dataclass(frozen=True, slots=True)
class MemberChange:
    """A member's record before the change (None for a new member) and after."""

    before: Member | None
    after: Member


class MemberTable:
    """All members that this host knows, including itself."""

    def __init__(self, own: Member):
        self._own_name = own.name
        self._members = {own.name: own}
        self._digests = [0] * BUCKET_COUNT
        self._digests[_bucket(own.name)] = _digest(own)
        # Number of members that are not gone, by region.
        self._live_counts = Counter([own.host.region])
        self._gone_since: dict[str, float] = {}
        self._listeners: list[Callable[[MemberChange], None]] = []

    @property
    def own(self) -> Member:
        """This host's record."""
        return self._members[self._own_name]

    @property
    def digests(self) -> list[int]:
        """One digest per bucket, over the members that are not gone."""
        return self._digests

    def subscribe(self, listener: Callable[[MemberChange], None]) -> None:
        """Call `listener` after each change of a member."""
        self._listeners.append(listener)

    def get(self, name: str) -> Member | None:
        """Return the record of host `name`, None if the host is unknown."""
        return self._members.get(name)

    def others(self, region: str | None = None) -> list[Member]:
        """Return the other members that are not gone; None selects all regions."""
        return [
            member
            for member in self._members.values()
            if not member.is_gone
            and member.name != self._own_name
            and region in (None, member.host.region)
        ]

    def count(self, region: str) -> int:
        """Return the number of a region's members that are not gone."""
        return self._live_counts[region]

    def all(self) -> list[Member]:
        """Return all members, including those that are gone."""
        return list(self._members.values())

    def in_buckets(self, buckets: set[int]) -> Iterable[Member]:
        """Return an iterator over the members in `buckets`."""
        return (m for m in self._members.values() if _bucket(m.name) in buckets)

    def merge(self, member: Member, now: float) -> bool:
        """Apply `member` if it is newer than the known record; return whether it was.

        This host refutes a newer record of itself instead of applying it.
        """
        if member.name == self._own_name:
            return self._refute(member, now)
        known = self._members.get(member.name)
        if known is not None and member.version <= known.version:
            return False
        # An unknown host that is already gone doesn't need a record.
        if known is None and member.is_gone:
            return False
        self._store(known, member, now)
        return True

    def set_own_state(self, state: MemberState, now: float) -> None:
        """Announce this host as leaving or left."""
        if state > self.own.state:
            self._store(self.own, replace(self.own, state=state), now)

    def forget(self, before: float) -> None:
        """Remove the members that have been gone since before the time `before`."""
        for name, since in list(self._gone_since.items()):
            if since < before:
                del self._members[name]
                del self._gone_since[name]

    def _refute(self, claim: Member, now: float) -> bool:
        own = self.own
        if claim.version <= own.version:
            return False
        if claim.life > own.life:
            # An earlier process of this host had a greater life number, because
            # this process started with a clock that was behind.
            refuted = replace(own, life=claim.life + 1, refutation=0)
        else:
            refuted = replace(own, refutation=claim.refutation + 1)
        logging.info("membership: Refuted %s of this host.", claim.state.name)
        self._store(own, refuted, now)
        return True

    def _store(self, before: Member | None, after: Member, now: float) -> None:
        self._members[after.name] = after
        if before is not None and not before.is_gone:
            self._live_counts[before.host.region] -= 1
        if not after.is_gone:
            self._live_counts[after.host.region] += 1
        self._gone_since.pop(after.name, None)
        if after.is_gone:
            self._gone_since[after.name] = now
        change = _digest(after) ^ (0 if before is None else _digest(before))
        self._digests[_bucket(after.name)] ^= change
        for listener in self._listeners:
            listener(MemberChange(before, after))


def _bucket(name: str) -> int:
    return xxhash.xxh32_intdigest(name.encode()) % BUCKET_COUNT


def _digest(member: Member) -> int:
    if member.is_gone:
        return 0
    is_leaving = member.state is MemberState.LEAVING
    text = f"{member.name} {member.life} {member.refutation} {is_leaving}"
    return xxhash.xxh32_intdigest(text.encode())
