"""Tells items to all entry hosts, again and again until each acknowledges."""

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

_RESEND_SECONDS = 0.25
_CALL_SECONDS = 0.5
# Hosts that a host tells of what it was told, should the origin have ended.
_FORWARDS = 2
_PULL_HOSTS = 2
_PULL_TRIES = 5

T = TypeVar("T")


@dataclass(slots=True)
class _Told(Generic[T]):
    item: T
    # Unix time at which the item is forgotten.
    until: float
    is_own: bool
    known_by: set[str] = field(default_factory=set)


class Broadcast(Generic[T]):
    """Items by id, of which all entry hosts learn.

    `build` makes the message that carries some items, or that asks for all;
    `read` takes the items of a message that another host answered.
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
        self._told: dict[str, _Told[T]] = {}
        self._busy: set[str] = set()
        self._wake = trio.Event()

    def add(self, item_id: str, item: T, until: float, is_own: bool = True) -> bool:
        """Tell an item to all, or to few if it was told here; False if known."""
        if item_id in self._told or until <= self._timers.wall():
            return False
        self._told[item_id] = _Told(item, until, is_own)
        self._wake.set()
        return True

    def items(self) -> list[T]:
        """Return all items that hold now."""
        now = self._timers.wall()
        return [told.item for told in self._told.values() if told.until > now]

    async def run(self) -> None:
        """Tell items until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._pull)
            while True:
                self._send_all(nursery)
                await self._wait()

    async def _wait(self) -> None:
        if not self._told:
            await self._wake.wait()
        with self._timers.move_on_after(_RESEND_SECONDS):
            await self._wake.wait()
        self._wake = trio.Event()

    def _send_all(self, nursery: trio.Nursery) -> None:
        now = self._timers.wall()
        for item_id in [key for key, told in self._told.items() if told.until <= now]:
            del self._told[item_id]
        others = self._others()
        for peer in others:
            pending = [t for t in self._told.values() if self._is_due(t, peer)]
            if pending and peer not in self._busy:
                self._busy.add(peer)
                nursery.start_soon(self._send, peer, pending)

    def _others(self) -> list[str]:
        names = [host.name for host in self._directory.entry_hosts()]
        others = [name for name in names if name != self._host]
        self._rng.shuffle(others)
        return others

    def _is_due(self, told: _Told[T], peer: str) -> bool:
        if peer in told.known_by:
            return False
        return told.is_own or len(told.known_by) < _FORWARDS

    async def _send(self, peer: str, pending: list[_Told[T]]) -> None:
        message = self._build([told.item for told in pending], False)
        try:
            await self._peers.call(peer, message, _CALL_SECONDS)
        except Failure:
            return
        finally:
            self._busy.discard(peer)
        for told in pending:
            told.known_by.add(peer)

    async def _pull(self) -> None:
        """Learn what was told before this host started."""
        for _ in range(_PULL_TRIES):
            for peer in self._others()[:_PULL_HOSTS]:
                try:
                    answer = await self._peers.call(
                        peer, self._build([], True), _CALL_SECONDS
                    )
                except Failure:
                    continue
                self._read(answer)
                return
            await self._timers.sleep(_RESEND_SECONDS)
