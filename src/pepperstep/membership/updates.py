"""Member updates piggybacked on messages, each a bounded number of times."""

import math
from collections.abc import Iterable

import trio

from pepperstep.entities import Host
from pepperstep.membership.members import Member, MemberState, MemberTable
from pepperstep.membership.settings import MembershipSettings
from pepperstep.ports import Timers
from pepperstep.proto import membership_pb2 as pb

__all__ = ["UpdateQueue", "fit_updates", "from_update", "to_update"]

# Times that an update is sent per doubling of the number of hosts.
_SENDS_PER_DOUBLING = 2
# A message with greater numbers is damaged. Incrementing from such numbers would
# leave the range of the message's fields.
_MAX_LIFE = 2**53
_MAX_REFUTATION = 2**31
_STATES = frozenset(MemberState)
# Bytes of the tag and the length that protobuf writes before an update.
_FRAME_BYTES = 4


def to_update(member: Member, has_host: bool) -> pb.MemberUpdate:
    """Return the message for `member`, with its host's settings if `has_host`."""
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
    """Return the member that `update` describes.

    Return None if neither `update` nor `known` has the host's settings, or if the
    state or the numbers are out of range.
    """
    if not _is_valid(update):
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
        # A restarted host may have new settings, which a sync delivers.
        return None
    else:
        host = known.host
    state = MemberState(update.state)
    return Member(host, update.life, update.refutation, state)


def _is_valid(update: pb.MemberUpdate) -> bool:
    is_in_range = update.life < _MAX_LIFE and update.refutation < _MAX_REFUTATION
    return is_in_range and update.state in _STATES


def fit_updates(
    members: Iterable[Member], max_bytes: int, has_host: bool = False
) -> tuple[list[pb.MemberUpdate], list[Member]]:
    """Return the updates that fit in `max_bytes`, and the members left over."""
    updates: list[pb.MemberUpdate] = []
    remaining: list[Member] = []
    for member in members:
        if remaining:
            remaining.append(member)
            continue
        # The first update after a host's start includes the host's settings.
        is_first = member.state is MemberState.ALIVE and not member.refutation
        update = to_update(member, has_host or is_first)
        size = update.ByteSize() + _FRAME_BYTES
        if size > max_bytes:
            remaining.append(member)
            continue
        max_bytes -= size
        updates.append(update)
    return updates, remaining


class _TokenBucket:
    """Token bucket of bytes to send, refilled at `rate` bytes a second."""

    def __init__(self, timers: Timers, rate: float):
        self._timers = timers
        self._rate = rate
        self._tokens = rate
        self._refilled_at = timers.now()

    @property
    def available(self) -> int:
        """Bytes that may be sent now, at most one second's worth."""
        now = self._timers.now()
        filled = self._tokens + self._rate * (now - self._refilled_at)
        self._tokens = min(self._rate, filled)
        self._refilled_at = now
        return int(self._tokens)

    def spend(self, count: int) -> None:
        """Remove `count` bytes from the bucket."""
        self._tokens -= count


class UpdateQueue:
    """Members whose newest record this host still has to disseminate.

    An update of a member replaces an older one, so a burst of changes costs one
    entry per member. A token bucket limits the bytes sent per second.
    """

    def __init__(
        self, table: MemberTable, timers: Timers, settings: MembershipSettings
    ):
        self._table = table
        self._max_bytes = settings.max_update_bytes
        self._byte_bucket = _TokenBucket(timers, settings.update_bytes_per_second)
        self._sends_left: dict[str, int] = {}
        self._update_added = trio.Event()
        table.subscribe(lambda change: self.add(change.after))

    def add(self, member: Member) -> None:
        """Schedule the dissemination of `member`, replacing an older update."""
        count = self._table.count(self._table.own.host.region)
        doublings = math.ceil(math.log2(count + 1))
        self._sends_left[member.name] = _SENDS_PER_DOUBLING * doublings
        self._update_added.set()

    async def wait(self) -> None:
        """Wait until there is an update to send."""
        while not self._sends_left:
            self._update_added = trio.Event()
            await self._update_added.wait()

    def peek(self) -> list[pb.MemberUpdate]:
        """Return the least sent updates that fit in an answer.

        Updates in answers don't count as sent, because after a pause of this host
        the callers may have given up waiting for the answers.
        """
        names = sorted(self._sends_left, key=self._sends_left.get, reverse=True)
        known = [self._table.get(name) for name in names]
        members = [member for member in known if member is not None]
        limit = min(self._max_bytes, self._byte_bucket.available)
        updates, _ = fit_updates(members, limit)
        self._byte_bucket.spend(sum(update.ByteSize() for update in updates))
        return updates

    def take(self) -> list[pb.MemberUpdate]:
        """Return the least sent updates that fit in a request, and count the sends."""
        updates = self.peek()
        for update in updates:
            self._count_send(update.name)
        return updates

    def _count_send(self, name: str) -> None:
        self._sends_left[name] -= 1
        if not self._sends_left[name]:
            del self._sends_left[name]
