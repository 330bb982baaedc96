"""Upstreams that leave or end, and when that may be acknowledged.

After the acknowledgement no entry host may send such an upstream anything, whichever
hosts restart. So most voters of the log must have it on their disks, and all entry
hosts that ask one of these must have taken it in. Each entry host asks most voters, and
so one that knows. An upstream's word can't be contradicted, so this needs no leader and
no commit of the log.
"""

from collections.abc import Awaitable, Callable

import trio
from absl import logging

from pepperstep.coordination.entry_host_progress import EntryHostProgress
from pepperstep.coordination.records import Announcement
from pepperstep.coordination.upstream_catalog import UpstreamCatalog
from pepperstep.errors import Code, Failure
from pepperstep.ports import PeerNetwork, Timers
from pepperstep.proto import coordination_pb2 as pb

__all__ = ["Departures"]

# Time for all of this, in seconds: upstreams wait one second for their answer.
_SPREAD_SECONDS = 0.85


class Departures:
    """Departures that one control host has heard of, and those that others tell it.

    `store` returns once what the host knows is on its disk, and raises `OSError` if the
    disk fails.
    """

    def __init__(
        self,
        name: str,
        peers: PeerNetwork,
        timers: Timers,
        catalog: UpstreamCatalog,
        entry_host_progress: EntryHostProgress,
        control_hosts: Callable[[], list[str]],
        voters: Callable[[], list[str]],
        store: Callable[[], Awaitable[None]],
    ):
        self._name = name
        self._peers = peers
        self._timers = timers
        self._catalog = catalog
        self._entry_host_progress = entry_host_progress
        self._control_hosts = control_hosts
        self._voters = voters
        self._store = store
        peers.handle(pb.UpstreamNotice, self._on_notice)

    async def spread(self, upstream: Announcement) -> list[str]:
        """Tell all control hosts, and return those that have taken it in.

        Return once most voters have; raise `Failure` with `NO_QUORUM` if they don't.
        """
        known_by: list[str] = []
        is_enough = trio.Event()

        def note_known(name: str) -> None:
            known_by.append(name)
            if self._are_most(known_by):
                is_enough.set()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._take_in_here, note_known)
            for other in self._control_hosts():
                if other != self._name:
                    nursery.start_soon(self._tell, other, upstream, note_known)
            with self._timers.move_on_after(_SPREAD_SECONDS):
                await is_enough.wait()
            nursery.cancel_scope.cancel()
        if not is_enough.is_set():
            text = f"Only {len(known_by)} control hosts have taken it in."
            raise Failure(Code.NO_QUORUM, text)
        return known_by

    def _are_most(self, names: list[str]) -> bool:
        voters = set(self._voters())
        return 2 * len(voters.intersection(names)) > len(voters)

    async def _take_in_here(self, note_known: Callable[[str], None]) -> None:
        try:
            await self._take_in()
        except Failure as failure:
            logging.info("departures: Not taken in here: %s", failure.text)
        else:
            note_known(self._name)

    async def _tell(
        self, other: str, upstream: Announcement, note_known: Callable[[str], None]
    ) -> None:
        notice = pb.UpstreamNotice(upstream=upstream.to_message())
        try:
            await self._peers.call(other, notice, _SPREAD_SECONDS)
        except Failure as failure:
            logging.info("departures: %s misses a notice: %s", other, failure.text)
        else:
            note_known(other)

    async def _on_notice(
        self, message: pb.UpstreamNotice, sender: str
    ) -> pb.UpstreamNoticeReply:
        announcement = Announcement.from_message(message.upstream)
        if announcement.is_gone and not announcement.service:
            # The sender has heard of its end only, perhaps not of which start.
            incarnation = announcement.incarnation or None
            self._catalog.mark_gone(announcement.id, incarnation, sender)
        else:
            self._catalog.record(announcement, told_by=sender, heard_by=sender)
        await self._take_in()
        return pb.UpstreamNoticeReply()

    async def _take_in(self) -> None:
        """Return once what the book holds now can't be forgotten or missed.

        Raise `Failure` with `NOT_READY` if the disk fails, or an entry host doesn't
        take it in.
        """
        version = self._catalog.version
        is_known = False
        try:
            await self._store()
        except OSError as error:
            raise Failure(Code.NOT_READY, f"The disk fails: {error}") from error
        with self._timers.move_on_after(_SPREAD_SECONDS):
            await self._entry_host_progress.wait(version)
            is_known = True
        if not is_known:
            behind = ", ".join(self._entry_host_progress.behind(version))
            raise Failure(Code.NOT_READY, f"Entry hosts haven't taken it in: {behind}")
