"""Updates that ride on messages, each a bounded number of times."""

import math
from collections.abc import Iterable

import trio

from pepperstep.entities import Host
from pepperstep.membership.members import Member, MemberState, MemberTable
from pepperstep.membership.settings import MembershipSettings
from pepperstep.ports import Timers
from pepperstep.proto import membership_pb2 as pb

__all__ = ["UpdateQueue", "fit_updates", "from_update", "to_update"]

# Sends of an update, for each doubling of the number of hosts.
_SENDS_PER_DOUBLING = 2
# What is beyond these is damaged; counting on would leave the message's range.
_MAX_LIFE = 2**53
_MAX_REFUTATION = 2**31
_STATES = frozenset(MemberState)
# Tag and length that protobuf puts before an update.
_FRAME_BYTES = 4


def to_update(member: Member, has_host: bool) -> pb.MemberUpdate:
    """Return the message for `member`, with its host's settings or without."""
    update = pb.MemberUpdate(
        name=member.name,
        life=member.life,
        refutation=member.refutation,
        state=int(member.state),
    )
    if has_host:
        host = member.host
        update.host.peer_address = host.peer_address
        update.host.caller_url = host.caller_url
        update.host.zone = host.zone
        update.host.region = host.region
        update.host.site = host.site
        update.host.is_control = host.is_control
    return update


def from_update(update: pb.MemberUpdate, known: Member | None) -> Member | None:
    """Return the member.

    Return None if its host's settings are neither here nor there, or if its
    state or numbers make no sense.
    """
    if not _is_sound(update):
        return None
    if update.HasField("host"):
        host = Host(
            name=update.name,
            peer_address=update.host.peer_address,
            caller_url=update.host.caller_url,
            zone=update.host.zone,
            region=update.host.region,
            site=update.host.site,
            is_control=update.host.is_control,
        )
    elif known is None or known.life != update.life:
        # A new life may have new settings; a sync brings them.
        return None
    else:
        host = known.host
    state = MemberState(update.state)
    return Member(host, update.life, update.refutation, state)


def _is_sound(update: pb.MemberUpdate) -> bool:
    is_in_range = update.life < _MAX_LIFE and update.refutation < _MAX_REFUTATION
    return is_in_range and update.state in _STATES


def fit_updates(
    members: Iterable[Member], max_bytes: int, has_host: bool = False
) -> tuple[list[pb.MemberUpdate], list[Member]]:
    """Return the updates that fit in `max_bytes`, and the members left over."""
    updates: list[pb.MemberUpdate] = []
    left: list[Member] = []
    for member in members:
        if left:
            left.append(member)
            continue
        # Settings travel with the first news of a life.
        is_first = member.state is MemberState.ALIVE and not member.refutation
        update = to_update(member, has_host or is_first)
        size = update.ByteSize() + _FRAME_BYTES
        if size > max_bytes:
            left.append(member)
            continue
        max_bytes -= size
        updates.append(update)
    return updates, left


class _Budget:
    """Bytes that may be sent now, filled up at `rate` bytes a second."""

    def __init__(self, timers: Timers, rate: float):
        self._timers = timers
        self._rate = rate
        self._bytes = rate
        self._filled_at = timers.now()

    @property
    def available(self) -> int:
        """Bytes that may be sent now, one second's worth at most."""
        now = self._timers.now()
        filled = self._bytes + self._rate * (now - self._filled_at)
        self._bytes = min(self._rate, filled)
        self._filled_at = now
        return int(self._bytes)

    def spend(self, count: int) -> None:
        """Take `count` bytes out."""
        self._bytes -= count


class UpdateQueue:
    """Members whose newest record this host still has to pass on.

    An update of a member replaces an older one, so that a burst of changes
    costs one entry a member, and bytes a second are limited whatever happens.
    """

    def __init__(
        self, table: MemberTable, timers: Timers, settings: MembershipSettings
    ):
        self._table = table
        self._max_bytes = settings.max_update_bytes
        self._budget = _Budget(timers, settings.update_bytes_per_second)
        self._sends_left: dict[str, int] = {}
        self._filled = trio.Event()
        table.subscribe(lambda change: self.add(change.after))

    def add(self, member: Member) -> None:
        """Pass on `member` from now on."""
        count = self._table.count(self._table.own.host.region)
        doublings = math.ceil(math.log2(count + 1))
        self._sends_left[member.name] = _SENDS_PER_DOUBLING * doublings
        self._filled.set()

    async def wait(self) -> None:
        """Return when there is something to pass on."""
        while not self._sends_left:
            self._filled = trio.Event()
            await self._filled.wait()

    def peek(self) -> list[pb.MemberUpdate]:
        """Return the least sent updates that fit, for an answer.

        Answers don't count as sends: after a pause nobody waits for them.
        """
        names = sorted(self._sends_left, key=self._sends_left.get, reverse=True)
        known = [self._table.get(name) for name in names]
        members = [member for member in known if member is not None]
        limit = min(self._max_bytes, self._budget.available)
        updates, _ = fit_updates(members, limit)
        self._budget.spend(sum(update.ByteSize() for update in updates))
        return updates

    def take(self) -> list[pb.MemberUpdate]:
        """Return what `peek` does, for a call, and count it as sent."""
        updates = self.peek()
        for update in updates:
            self._count_send(update.name)
        return updates

    def _count_send(self, name: str) -> None:
        self._sends_left[name] -= 1
        if not self._sends_left[name]:
            del self._sends_left[name]
