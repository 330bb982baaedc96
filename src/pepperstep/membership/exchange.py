"""Membership messages; requests and answers piggyback member updates."""

from collections.abc import Iterable

from pepperstep.errors import Failure
from pepperstep.membership.health import LocalHealth
from pepperstep.membership.members import (
    BUCKET_COUNT,
    Member,
    MemberTable,
)
from pepperstep.membership.settings import MembershipSettings
from pepperstep.membership.updates import (
    UpdateQueue,
    fit_updates,
    from_update,
    to_update,
)
from pepperstep.ports import PeerNetwork, Timers
from pepperstep.proto import membership_pb2 as pb

__all__ = ["Exchange"]

# Maximum request rounds of one sync, whose tables may not fit in one message.
_MAX_SYNC_ROUNDS = 64


class Exchange:
    """Sends membership messages to other hosts and handles theirs."""

    def __init__(
        self,
        table: MemberTable,
        queue: UpdateQueue,
        health: LocalHealth,
        peers: PeerNetwork,
        timers: Timers,
        settings: MembershipSettings,
    ):
        self._table = table
        self._queue = queue
        self._health = health
        self._peers = peers
        self._timers = timers
        self._settings = settings
        # Hosts that don't know this host and need a sync with it.
        self._sync_requests: set[str] = set()

    def register(self) -> None:
        """Register the handlers of membership messages."""
        self._peers.handle(pb.Ping, self._on_ping)
        self._peers.handle(pb.IndirectPing, self._on_indirect_ping)
        self._peers.handle(pb.Sync, self._on_sync)

    async def ping(self, peer: str, timeout: float) -> bool:
        """Return whether `peer` answers within `timeout` seconds."""
        message = pb.Ping(updates=self._queue.take())
        answer = await self._call(peer, message, timeout)
        if answer is None:
            return False
        if answer.is_unknown:
            self._sync_requests.add(peer)
        return True

    async def ping_indirectly(
        self, helper: str, target: str, timeout: float
    ) -> bool | None:
        """Return whether `helper` reaches `target`, None if `helper` doesn't answer."""
        message = pb.IndirectPing(target=target, updates=self._queue.take())
        answer = await self._call(helper, message, timeout)
        return None if answer is None else answer.is_reached

    async def sync(self, peer: str, timeout: float) -> str:
        """Merge the tables of `peer` and this host.

        Return the name of `peer`, "" if it didn't answer.
        """
        self._sync_requests.discard(peer)
        updates = [to_update(self._table.own, has_host=True)]
        name = ""
        for _ in range(_MAX_SYNC_ROUNDS):
            message = pb.Sync(digests=self._table.digests, updates=updates)
            answer = await self._call(peer, message, timeout)
            if answer is None:
                break
            name = answer.responder
            updates = self._newer_than(answer.updates)
            if not updates and not answer.is_partial:
                break
        return name

    def take_sync_requests(self) -> list[str]:
        """Return and clear the names of the hosts that asked for a sync."""
        names = sorted(self._sync_requests)
        self._sync_requests.clear()
        return names

    async def _call(self, peer: str, message, timeout: float):
        try:
            answer = await self._peers.call(peer, message, timeout)
        except Failure:
            return None
        self._health.record_contact()
        self._merge(answer.updates)
        return answer

    async def _on_ping(self, message: pb.Ping, sender: str) -> pb.PingAck:
        self._merge(message.updates)
        return pb.PingAck(
            updates=self._queue.peek(),
            is_unknown=self._table.get(sender) is None,
        )

    async def _on_indirect_ping(
        self, message: pb.IndirectPing, sender: str
    ) -> pb.IndirectAck:
        self._merge(message.updates)
        is_reached = await self.ping(message.target, self._settings.probe_timeout)
        return pb.IndirectAck(is_reached=is_reached, updates=self._queue.peek())

    async def _on_sync(self, message: pb.Sync, sender: str) -> pb.SyncAnswer:
        self._merge(message.updates)
        pairs = enumerate(zip(message.digests, self._table.digests, strict=False))
        buckets = {index for index, (theirs, ours) in pairs if theirs != ours}
        if len(message.digests) != BUCKET_COUNT:
            buckets = set(range(BUCKET_COUNT))
        members = sorted(self._table.in_buckets(buckets), key=lambda m: m.is_gone)
        updates, remaining = fit_updates(members, self._settings.max_sync_bytes, True)
        is_partial = any(not member.is_gone for member in remaining)
        return pb.SyncAnswer(
            responder=self._table.own.name,
            updates=updates,
            is_partial=is_partial,
        )

    def _merge(self, updates: Iterable[pb.MemberUpdate]) -> None:
        now = self._timers.now()
        for update in updates:
            member = from_update(update, self._table.get(update.name))
            if member is not None:
                self._table.merge(member, now)

    def _newer_than(self, theirs: Iterable[pb.MemberUpdate]) -> list[pb.MemberUpdate]:
        """Return updates for the records that are newer here than in `theirs`."""
        newer: list[Member] = []
        for update in theirs:
            known = self._table.get(update.name)
            version = (update.life, update.refutation, update.state)
            if known is not None and known.version > version:
                newer.append(known)
        return fit_updates(newer, self._settings.max_sync_bytes, True)[0]
