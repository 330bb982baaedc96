"""Broadcasts items to all entry hosts, resending until each acknowledges."""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

import trio
from google.protobuf.message import Message

from pepperstep.errors import Failure
from pepperstep.ports import PeerNetwork, Timers
from pepperstep.ports.directory import Directory

__all__ = ["Broadcast"]

_RESEND_INTERVAL_SECONDS = 0.25
_CALL_TIMEOUT_SECONDS = 0.5
# A host forwards received items to this many others, in case the origin has failed.
_FORWARD_HOSTS = 2
_PULL_HOSTS = 2
_PULL_TRIES = 5

T = TypeVar("T")


@dataclass(slots=True)
class _Entry(Generic[T]):
    item: T
    # Unix time at which the item expires.
    until: float
    # Whether the item was created at this host.
    is_own: bool
    acknowledged_by: set[str] = field(default_factory=set)


class Broadcast(Generic[T]):
    """Items by id that are broadcast to all entry hosts.

    `build` creates the message that carries some items, or that requests all items;
    `read` processes the items of another host's answer.
    """

    def __init__(
        self,
        host: str,
        peers: PeerNetwork,
        timers: Timers,
        directory: Directory,
        rng: random.Random,
        build: Callable[[Iterable[T], bool], Message],
        read: Callable[[Message], None],
    ):
        self._host = host
        self._peers = peers
        self._timers = timers
        self._directory = directory
        self._rng = rng
        self._build = build
        self._read = read
        self._entries: dict[str, _Entry[T]] = {}
        self._peers_in_progress: set[str] = set()
        self._wake = trio.Event()

    def add(self, item_id: str, item: T, until: float, is_own: bool = True) -> bool:
        """Broadcast an item; return False if it is known or expired.

        Items created at this host are sent to all entry hosts, received ones to a few.
        """
        if item_id in self._entries or until <= self._timers.wall():
            return False
        self._entries[item_id] = _Entry(item, until, is_own)
        self._wake.set()
        return True

    def items(self) -> list[T]:
        """Return all items that haven't expired."""
        now = self._timers.wall()
        return [entry.item for entry in self._entries.values() if entry.until > now]

    async def run(self) -> None:
        """Send items until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._pull)
            while True:
                self._send_all(nursery)
                await self._wait()

    async def _wait(self) -> None:
        if not self._entries:
            await self._wake.wait()
        with self._timers.move_on_after(_RESEND_INTERVAL_SECONDS):
            await self._wake.wait()
        self._wake = trio.Event()

    def _send_all(self, nursery: trio.Nursery) -> None:
        now = self._timers.wall()
        for item_id in [
            key for key, entry in self._entries.items() if entry.until <= now
        ]:
            del self._entries[item_id]
        others = self._others()
        for peer in others:
            pending = [t for t in self._entries.values() if self._is_due(t, peer)]
            if pending and peer not in self._peers_in_progress:
                self._peers_in_progress.add(peer)
                nursery.start_soon(self._send, peer, pending)

    def _others(self) -> list[str]:
        names = [host.name for host in self._directory.entry_hosts()]
        others = [name for name in names if name != self._host]
        self._rng.shuffle(others)
        return others

    def _is_due(self, entry: _Entry[T], peer: str) -> bool:
        if peer in entry.acknowledged_by:
            return False
        return entry.is_own or len(entry.acknowledged_by) < _FORWARD_HOSTS

    async def _send(self, peer: str, pending: list[_Entry[T]]) -> None:
        message = self._build([entry.item for entry in pending], False)
        try:
            await self._peers.call(peer, message, _CALL_TIMEOUT_SECONDS)
        except Failure:
            return
        finally:
            self._peers_in_progress.discard(peer)
        for entry in pending:
            entry.acknowledged_by.add(peer)

    async def _pull(self) -> None:
        """Request the items that were broadcast before this host started."""
        for _ in range(_PULL_TRIES):
            for peer in self._others()[:_PULL_HOSTS]:
                try:
                    answer = await self._peers.call(
                        peer, self._build([], True), _CALL_TIMEOUT_SECONDS
                    )
                except Failure:
                    continue
                self._read(answer)
                return
            await self._timers.sleep(_RESEND_INTERVAL_SECONDS)
