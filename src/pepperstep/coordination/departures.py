"""Acknowledgement that an upstream leaves or has ended.

After the acknowledgement, no entry host may send the upstream requests, whichever hosts
restart. So a majority of the log's voters must have stored the departure on disk, and
all entry hosts that poll one of these must have applied it. Each entry host polls a
majority of the voters, and so at least one that has stored it. A departure can't be
contradicted, so this needs neither a leader nor a commit of the log.
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

# Time for the replication, in seconds: upstreams wait one second for their answer.
_REPLICATION_SECONDS = 0.85


class Departures:
    """Replicates departures among control hosts.

    `store` returns once this host's state is on disk, and raises `OSError` if that
    fails.
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

    async def replicate(self, upstream: Announcement) -> list[str]:
        """Send a departure to all control hosts; return those that have stored it.

        Return once they are a majority of the voters. Raise `Failure` with `NO_QUORUM`
        if they don't become one in time.
        """
        stored_by: list[str] = []
        has_majority = trio.Event()

        def mark_stored(name: str) -> None:
            stored_by.append(name)
            if self._are_majority(stored_by):
                has_majority.set()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._store_locally, mark_stored)
            for other in self._control_hosts():
                if other != self._name:
                    nursery.start_soon(self._notify, other, upstream, mark_stored)
            with self._timers.move_on_after(_REPLICATION_SECONDS):
                await has_majority.wait()
            nursery.cancel_scope.cancel()
        if not has_majority.is_set():
            text = f"Only {len(stored_by)} control hosts have taken it in."
            raise Failure(Code.NO_QUORUM, text)
        return stored_by

    def _are_majority(self, names: list[str]) -> bool:
        voters = set(self._voters())
        return 2 * len(voters.intersection(names)) > len(voters)

    async def _store_locally(self, mark_stored: Callable[[str], None]) -> None:
        try:
            await self._make_durable()
        except Failure as failure:
            logging.info("departures: Not stored on this host: %s", failure.text)
        else:
            mark_stored(self._name)

    async def _notify(
        self, other: str, upstream: Announcement, mark_stored: Callable[[str], None]
    ) -> None:
        notice = pb.UpstreamNotice(upstream=upstream.to_message())
        try:
            await self._peers.call(other, notice, _REPLICATION_SECONDS)
        except Failure as failure:
            logging.info("departures: Not stored on %s: %s", other, failure.text)
        else:
            mark_stored(other)

    async def _on_notice(
        self, message: pb.UpstreamNotice, sender: str
    ) -> pb.UpstreamNoticeReply:
        announcement = Announcement.from_message(message.upstream)
        if announcement.is_gone and not announcement.service:
            # The sender knows only that the upstream ended, perhaps not its
            # incarnation.
            incarnation = announcement.incarnation or None
            self._catalog.mark_gone(announcement.id, incarnation, sender)
        else:
            self._catalog.record(announcement, told_by=sender, heard_by=sender)
        await self._make_durable()
        return pb.UpstreamNoticeReply()

    async def _make_durable(self) -> None:
        """Return once the current catalog is on disk and applied by the entry hosts.

        Raise `Failure` with `NOT_READY` if the disk fails or an entry host doesn't
        apply it in time.
        """
        version = self._catalog.version
        is_applied = False
        try:
            await self._store()
        except OSError as error:
            raise Failure(Code.NOT_READY, f"The disk fails: {error}") from error
        with self._timers.move_on_after(_REPLICATION_SECONDS):
            await self._entry_host_progress.wait_applied(version)
            is_applied = True
        if not is_applied:
            lagging = ", ".join(self._entry_host_progress.lagging(version))
            raise Failure(Code.NOT_READY, f"Entry hosts haven't taken it in: {lagging}")
