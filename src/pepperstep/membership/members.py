"""The table of members, which merges what hosts say of each other.

Records of a member are ordered by life, refutation and state; a merge keeps
the greatest, so that order and repeats of messages make no difference.
"""

import enum
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

import xxhash
from absl import logging

from pepperstep.entities import Host

__all__ = ["BUCKETS", "Member", "MemberChange", "MemberState", "MemberTable"]

# Parts of the table that are compared by digest.
BUCKETS = 64


class MemberState(enum.IntEnum):
    """State of a member; of two with equal numbers the greater one holds."""

    ALIVE = 0
    # Still serves, but is not to be chosen for anything new.
    LEAVING = 1
    SUSPECT = 2
    DEAD = 3
    LEFT = 4


@dataclass(frozen=True, slots=True)
class Member:
    """A host with its state; `life` grows at each start of its process."""

    host: Host
    life: int
    # Times that this life has refuted a suspicion.
    refutation: int = 0
    state: MemberState = MemberState.ALIVE

    @property
    def name(self) -> str:
        """Name of the host."""
        return self.host.name

    @property
    def incarnation(self) -> int:
        """Number that grows with each start and each refutation."""
        return self.life + self.refutation

    @property
    def is_gone(self) -> bool:
        """Whether the host is dead or has left."""
        return self.state >= MemberState.DEAD

    @property
    def version(self) -> tuple[int, int, int]:
        """Order of records of one member."""
        return self.life, self.refutation, self.state


@dataclass(frozen=True, slots=True)
class MemberChange:
    """A member's record before, None for a new member, and after."""

    before: Member | None
    after: Member


class MemberTable:
    """All members that this host knows, itself included."""

    def __init__(self, own: Member):
        self._own_name = own.name
        self._members = {own.name: own}
        self._digests = [0] * BUCKETS
        self._digests[_bucket(own.name)] = _digest(own)
        # Members that are not gone, by region.
        self._counts = Counter([own.host.region])
        self._gone_since: dict[str, float] = {}
        self._listeners: list[Callable[[MemberChange], None]] = []

    @property
    def own(self) -> Member:
        """This host."""
        return self._members[self._own_name]

    @property
    def digests(self) -> list[int]:
        """One digest for each bucket, over the members that are not gone."""
        return self._digests

    def subscribe(self, listener: Callable[[MemberChange], None]) -> None:
        """Call `listener` after each change."""
        self._listeners.append(listener)

    def get(self, name: str) -> Member | None:
        """Return what is known of `name`."""
        return self._members.get(name)

    def others(self, region: str | None = None) -> list[Member]:
        """Return the other members that are not gone, of one region or of all."""
        return [
            member
            for member in self._members.values()
            if not member.is_gone
            and member.name != self._own_name
            and region in (None, member.host.region)
        ]

    def count(self, region: str) -> int:
        """Return the number of a region's members that are not gone."""
        return self._counts[region]

    def all(self) -> list[Member]:
        """Return all members, gone ones included."""
        return list(self._members.values())

    def in_buckets(self, buckets: set[int]) -> Iterable[Member]:
        """Yield the members of `buckets`."""
        return (m for m in self._members.values() if _bucket(m.name) in buckets)

    def merge(self, member: Member, now: float) -> bool:
        """Take over `member` if it is newer; return whether it was."""
        if member.name == self._own_name:
            return self._defend(member, now)
        known = self._members.get(member.name)
        if known is not None and member.version <= known.version:
            return False
        # A stranger's death is no news.
        if known is None and member.is_gone:
            return False
        self._set(known, member, now)
        return True

    def set_own_state(self, state: MemberState, now: float) -> None:
        """Announce this host as leaving or left."""
        if state > self.own.state:
            self._set(self.own, replace(self.own, state=state), now)

    def forget(self, before: float) -> None:
        """Remove the members that are gone since a time earlier than `before`."""
        for name, since in list(self._gone_since.items()):
            if since < before:
                del self._members[name]
                del self._gone_since[name]

    def _defend(self, claim: Member, now: float) -> bool:
        own = self.own
        if claim.version <= own.version:
            return False
        if claim.life > own.life:
            # The clock that gave this life its number was behind.
            refuted = replace(own, life=claim.life + 1, refutation=0)
        else:
            refuted = replace(own, refutation=claim.refutation + 1)
        logging.info("membership: Refuted %s of this host.", claim.state.name)
        self._set(own, refuted, now)
        return True

    def _set(self, before: Member | None, after: Member, now: float) -> None:
        self._members[after.name] = after
        if before is not None and not before.is_gone:
            self._counts[before.host.region] -= 1
        if not after.is_gone:
            self._counts[after.host.region] += 1
        self._gone_since.pop(after.name, None)
        if after.is_gone:
            self._gone_since[after.name] = now
        change = _digest(after) ^ (0 if before is None else _digest(before))
        self._digests[_bucket(after.name)] ^= change
        for listener in self._listeners:
            listener(MemberChange(before, after))


def _bucket(name: str) -> int:
    return xxhash.xxh32_intdigest(name.encode()) % BUCKETS


def _digest(member: Member) -> int:
    if member.is_gone:
        return 0
    is_leaving = member.state is MemberState.LEAVING
    text = f"{member.name} {member.life} {member.refutation} {is_leaving}"
    return xxhash.xxh32_intdigest(text.encode())
