"""Answers the requests of a `SyncClient` and merges the state that hosts report."""

from collections.abc import Callable
from typing import Protocol

import trio
from absl import logging

from pepperstep.coordination.departures import Departures
from pepperstep.coordination.entry_host_catalog import EntryHostCatalog
from pepperstep.coordination.entry_host_progress import EntryHostProgress
from pepperstep.coordination.records import (
    Announcement,
    EntryReport,
    StatedLimit,
    counts_to_messages,
)
from pepperstep.coordination.suspects import SuspectFeatures
from pepperstep.coordination.table_history import TableHistory
from pepperstep.coordination.tables import TableStore
from pepperstep.coordination.upstream_catalog import UpstreamCatalog
from pepperstep.entities.routes import RouteTable
from pepperstep.errors import Code, Failure
from pepperstep.observability.decisions import LeavingAcknowledged
from pepperstep.ports import PeerNetwork, Timers
from pepperstep.proto import coordination_pb2 as pb
from pepperstep.proto.rollouts_pb2 import RolloutRecord

__all__ = ["SyncServer"]

# Longest time that a request is held open until something changes, in seconds.
_MAX_WAIT_SECONDS = 5.0
# Time after a start until all entry hosts have reported to this control host, in
# seconds: they poll twice a second, or once a second while they back off.
_DIRECTORY_SETTLING_SECONDS = 1.5
# Tolerated lead of an upstream's clock, in seconds: clocks may jump by an hour. An
# incarnation from further in the future is refused, as it would hide all later
# announcements of the upstream.
_MAX_CLOCK_SKEW_SECONDS = 86_400.0


class RolloutSource(Protocol):
    """The roll-outs that a control host knows."""

    @property
    def index(self) -> int:
        """Log position of the latest change."""

    def messages(self) -> list[RolloutRecord]:
        """Return the latest roll-out of each service."""

    def judge(self) -> str:
        """Return the control host that judges roll-outs, "" while there is none."""

    def subscribe(self, subscriber: Callable[[object], None]) -> None:
        """Call `subscriber` at each change."""


class SyncServer:
    """The control host's end of the synchronisation."""

    def __init__(
        self,
        name: str,
        peers: PeerNetwork,
        timers: Timers,
        tables: TableStore,
        catalog: UpstreamCatalog,
        entries: EntryHostCatalog,
        suspects: SuspectFeatures,
        control_hosts: Callable[[], list[str]],
        voters: Callable[[], list[str]],
        departures: Departures,
        entry_host_progress: EntryHostProgress,
        epoch: int,
        is_in_contact: Callable[[], bool] = lambda: True,
        rollouts: RolloutSource | None = None,
    ):
        self._name = name
        self._peers = peers
        self._timers = timers
        self._tables = tables
        self._catalog = catalog
        self._control_hosts = control_hosts
        self._voters = voters
        self._departures = departures
        self._entry_host_progress = entry_host_progress
        self._epoch = epoch
        self._is_in_contact = is_in_contact
        self._entries = entries
        self._suspects = suspects
        suspects.subscribe(self._wake_all)
        self._started_at = timers.now()
        self._changed = trio.Event()
        # Entry hosts that were told that all hosts have restarted.
        self._told_of_restart: set[str] = set()
        self._is_restart_detected = False
        catalog.subscribe(self._wake_waiting)
        tables.subscribe(self._wake_waiting)
        self._rollouts = rollouts
        if rollouts is not None:
            rollouts.subscribe(self._wake_waiting)
        self._history = TableHistory()
        if tables.is_known:
            self._record_table(tables.current)
        tables.subscribe(self._record_table)
        peers.handle(pb.SyncRequest, self._on_sync)
        peers.handle(pb.TableRequest, self._on_table)
        peers.handle(pb.AnswerNotice, self._on_answer_notice)
        peers.handle(pb.SuspectNotice, self._on_suspect_notice)

    async def receive_announcement(self, announcement: Announcement) -> None:
        """Merge an upstream's announcement.

        If it says that the upstream leaves, return once no entry host can send it
        requests any more, whichever hosts restart. Raise `Failure` with `NO_QUORUM` if
        that fails, and with `INVALID_REQUEST` for an announcement that can't be the
        upstream's own.
        """
        self._validate(announcement)
        arrived_at = self._timers.now()
        before = self._catalog.get(announcement.id)
        self._catalog.record(announcement)
        now = self._catalog.get(announcement.id)
        if announcement.takes_work or now.takes_work:
            return
        is_new = before is None or before.takes_work or now.key != before.key
        await self._acknowledge(now, is_new, arrived_at)

    async def mark_gone(self, upstream: str, incarnation: int | None = None) -> None:
        """Mark an upstream as gone, by default its latest known incarnation.

        Return once no entry host can send it requests any more. Raise `Failure` with
        `NO_QUORUM` if that fails.
        """
        arrived_at = self._timers.now()
        before = self._catalog.get(upstream)
        is_new = before is None or not before.is_gone
        self._catalog.mark_gone(upstream, incarnation)
        now = self._catalog.get(upstream)
        if not now.takes_work:
            await self._acknowledge(now, is_new, arrived_at)

    def merge_reply(self, control_host: str, reply: pb.SyncReply, age: float) -> None:
        """Merge another control host's reply that is `age` seconds old."""
        for message in reply.entries:
            self._entries.record_relayed(
                EntryReport.from_message(message), age + message.age
            )
        self._wake_for_restart()
        for message in reply.upstreams:
            if message.is_silent:
                key = (message.id, message.incarnation)
                self._catalog.mark_silent(key, age + message.age, control_host)

    def _validate(self, announcement: Announcement) -> None:
        """Raise `Failure` for an announcement that can't be the upstream's own."""
        now = self._timers.wall()
        if announcement.incarnation / 1000 > now + _MAX_CLOCK_SKEW_SECONDS:
            raise Failure(Code.INVALID_REQUEST, "The upstream starts in the future.")
        if not self._tables.is_known or self._catalog.get(announcement.id) is not None:
            return
        if announcement.service not in self._tables.current.services:
            text = f"There is no service {announcement.service!r}."
            raise Failure(Code.INVALID_REQUEST, text)

    async def _acknowledge(
        self, upstream: Announcement, is_new: bool, arrived_at: float
    ) -> None:
        """Replicate that an upstream leaves or has ended, and log it."""
        known_by = await self._departures.replicate(upstream)
        event = LeavingAcknowledged(
            upstream=upstream.id,
            incarnation=upstream.incarnation,
            service=upstream.service,
            is_gone=upstream.is_gone,
            is_repeat=not is_new,
            known_by=known_by,
            after_ms=round(1000 * (self._timers.now() - arrived_at)),
        )
        logging.info("desk: %s", event)

    async def _on_answer_notice(
        self, message: pb.AnswerNotice, sender: str
    ) -> pb.AnswerNoticeReply:
        upstream = (message.upstream, message.incarnation)
        if message.HasField("limit"):
            limit = StatedLimit.from_message(message.limit, self._timers.now())
            self._catalog.record_limit(upstream, limit, sender)
        if message.is_leaving:
            self._catalog.mark_leaving(upstream, sender)
        return pb.AnswerNoticeReply()

    async def _on_suspect_notice(
        self, message: pb.SuspectNotice, sender: str
    ) -> pb.SuspectNoticeReply:
        self._suspects.merge(message.features)
        return pb.SuspectNoticeReply()

    async def _on_sync(self, request: pb.SyncRequest, sender: str) -> pb.SyncReply:
        if request.HasField("entry"):
            is_known = request.registry_epoch == self._epoch
            self._entry_host_progress.record(
                sender, request.registry_version if is_known else 0
            )
            report = EntryReport.from_message(request.entry)
            self._entries.record(report, request.is_source)
            self._wake_for_restart()
        asked_at = self._timers.now()
        await self._wait_changes(request)
        reply = pb.SyncReply(
            waited=self._timers.now() - asked_at,
            table_version=self._tables.current.version,
            registry_epoch=self._epoch,
            registry_version=self._catalog.version,
            control_hosts=self._control_hosts(),
            voters=self._voters(),
            entry_count=self._entries.count,
            has_all_restarted=self._entries.has_all_restarted,
            wall=self._timers.wall(),
            is_in_contact=self._is_in_contact(),
        )
        if reply.has_all_restarted and request.HasField("entry"):
            self._told_of_restart.add(request.entry.host)
        self._add_upstreams(request, reply)
        self._add_rollouts(request, reply)
        self._add_suspects(request, reply)
        if request.is_control:
            self._add_entries(request, reply)
        else:
            self._add_directory(request, reply)
            totals = self._entries.admitted_elsewhere(request.entry.host)
            reply.admitted_elsewhere.extend(counts_to_messages(totals))
        return reply

    async def _on_table(self, request: pb.TableRequest, sender: str) -> pb.TablePart:
        return self._history.part_for(request)

    def _record_table(self, table: RouteTable) -> None:
        self._history.add(self._tables.document)

    async def _wait_changes(self, request: pb.SyncRequest) -> None:
        """Return once the requester lacks something, or after the time it waits."""
        with self._timers.move_on_after(min(request.wait, _MAX_WAIT_SECONDS)):
            while not self._has_changes(request):
                await self._changed.wait()

    def _has_changes(self, request: pb.SyncRequest) -> bool:
        if request.registry_epoch != self._epoch:
            return True
        if request.registry_version < self._catalog.version:
            return True
        if self._needs_news_of_restart(request):
            return True
        if self._has_newer_rollouts(request):
            return True
        if request.suspects_version < self._suspects.urgent_version:
            return True
        return request.table_version < self._tables.current.version

    def _needs_news_of_restart(self, request: pb.SyncRequest) -> bool:
        """Whether an entry host isn't told yet that all hosts have restarted.

        It has tokens for a fraction of its callers until then, so it's told at once.
        """
        if not request.HasField("entry"):
            return False
        if request.entry.host in self._told_of_restart:
            return False
        return self._entries.has_all_restarted

    def _wake_for_restart(self) -> None:
        if not self._is_restart_detected and self._entries.has_all_restarted:
            self._is_restart_detected = True
            self._wake_all()

    def _wake_waiting(self, _: object) -> None:
        self._wake_all()

    def _wake_all(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    def _add_upstreams(self, request: pb.SyncRequest, reply: pb.SyncReply) -> None:
        reply.is_whole = request.registry_epoch != self._epoch
        since = 0 if reply.is_whole else request.registry_version
        for announcement, age in self._catalog.changed_since(since):
            message = announcement.to_message(age)
            message.is_silent = announcement.key in self._catalog.silent
            limit = self._catalog.latest_limit(announcement.key)
            if limit is not None:
                message.limit.CopyFrom(limit.to_message(self._timers.now()))
            if request.is_control:
                message.heard_by = self._catalog.heard_by(announcement.id)
            reply.upstreams.append(message)
        if request.is_control and not reply.is_whole:
            self._add_renewals(reply)

    def _has_newer_rollouts(self, request: pb.SyncRequest) -> bool:
        """Whether an entry host lacks a change of a roll-out."""
        if self._rollouts is None or request.is_control:
            return False
        return request.rollouts_index < self._rollouts.index

    def _add_rollouts(self, request: pb.SyncRequest, reply: pb.SyncReply) -> None:
        if self._has_newer_rollouts(request):
            reply.rollouts.extend(self._rollouts.messages())
        if self._rollouts is not None:
            reply.judge = self._rollouts.judge()

    def _add_suspects(self, request: pb.SyncRequest, reply: pb.SyncReply) -> None:
        since = 0 if reply.is_whole else request.suspects_version
        reply.suspects.extend(self._suspects.messages_since(since))
        reply.suspects_version = self._suspects.version

    def _add_directory(self, request: pb.SyncRequest, reply: pb.SyncReply) -> None:
        """Add the directory for callers if the requesting entry host has another one.

        A control host that has just started may not know all entry hosts yet. Its
        directory is sent only to hosts that have none.
        """
        uptime = self._timers.now() - self._started_at
        if request.directory_digest and uptime < _DIRECTORY_SETTLING_SECONDS:
            return
        directory = self._entries.directory(request.entry.zone)
        if directory.digest != request.directory_digest:
            reply.directory.CopyFrom(directory.to_message())

    def _add_entries(self, request: pb.SyncRequest, reply: pb.SyncReply) -> None:
        since = 0 if reply.is_whole else request.entries_version
        reply.entries.extend(self._entries.messages_since(since))
        reply.entries_version = self._entries.version

    def _add_renewals(self, reply: pb.SyncReply) -> None:
        """Renew unchanged upstreams, so that the other host keeps them alive."""
        listed = {message.id for message in reply.upstreams}
        for announcement in self._catalog.all():
            if announcement.key in self._catalog.silent or announcement.id in listed:
                continue
            if announcement.takes_work:
                message = announcement.to_message(self._catalog.age(announcement.id))
                message.heard_by = self._catalog.heard_by(announcement.id)
                reply.upstreams.append(message)
