"""A control host's part: what hosts ask of it, and what it gathers from them."""

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

# Longest time that a question waits for something new, in seconds.
_MAX_WAIT_SECONDS = 5.0
# Time after a start until a control host has heard of all entry hosts, in seconds:
# they ask twice a second, and those that back off once a second.
_DIRECTORY_SETTLING_SECONDS = 1.5
# How far an upstream's clock may be ahead of this host's, in seconds: clocks jump by
# an hour in tests of them. A start that's told to be later than this would hide all
# that its upstream says of itself afterwards.
_MAX_CLOCK_SKEW_SECONDS = 86_400.0


class RolloutSource(Protocol):
    """What a control host knows of roll-outs."""

    @property
    def index(self) -> int:
        """Position in the log of the latest change."""

    def messages(self) -> list[RolloutRecord]:
        """Return the latest roll-out of each service."""

    def judge(self) -> str:
        """Return the control host that judges, "" while none runs."""

    def subscribe(self, subscriber: Callable[[object], None]) -> None:
        """Call `subscriber` at each change."""


class SyncServer:
    """Answers hosts' questions and takes in their reports."""

    def __init__(
        self,
        name: str,
        peers: PeerNetwork,
        timers: Timers,
        tables: TableStore,
        catalog: UpstreamCatalog,
        entries: EntryHostCatalog,
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
        self._started_at = timers.now()
        self._news = trio.Event()
        catalog.subscribe(self._note_news)
        tables.subscribe(self._note_news)
        self._rollouts = rollouts
        if rollouts is not None:
            rollouts.subscribe(self._note_news)
        self._history = TableHistory()
        if tables.is_known:
            self._note_table(tables.current)
        tables.subscribe(self._note_table)
        peers.handle(pb.SyncRequest, self._on_sync)
        peers.handle(pb.TableRequest, self._on_table)
        peers.handle(pb.AnswerNotice, self._on_answer_notice)

    async def receive_announcement(self, announcement: Announcement) -> None:
        """Take in what an upstream says of itself.

        That it leaves has to bind all entry hosts once this returns, whoever restarts.
        Raise `Failure` with `NO_QUORUM` else, and with `INVALID_REQUEST` for what
        can't be an upstream's own words.
        """
        self._check(announcement)
        arrived_at = self._timers.now()
        before = self._catalog.get(announcement.id)
        self._catalog.note(announcement)
        now = self._catalog.get(announcement.id)
        if announcement.takes_work or now.takes_work:
            return
        is_news = before is None or before.takes_work or now.key != before.key
        await self._acknowledge(now, is_news, arrived_at)

    async def mark_gone(self, upstream: str, incarnation: int | None = None) -> None:
        """Take in that an upstream ends; raise as `receive_announcement` does.

        Without an incarnation, it's the latest that is known.
        """
        arrived_at = self._timers.now()
        before = self._catalog.get(upstream)
        is_news = before is None or not before.is_gone
        self._catalog.mark_gone(upstream, incarnation)
        now = self._catalog.get(upstream)
        if not now.takes_work:
            await self._acknowledge(now, is_news, arrived_at)

    def merge_reply(self, control_host: str, reply: pb.SyncReply, age: float) -> None:
        """Take in another control host's answer that is `age` seconds old."""
        for message in reply.entries:
            self._entries.note(EntryReport.from_message(message), age + message.age)
        for message in reply.upstreams:
            if message.is_silent:
                key = (message.id, message.incarnation)
                self._catalog.mark_silent(key, age + message.age, control_host)

    def _check(self, announcement: Announcement) -> None:
        """Raise `Failure` for an announcement that another writer must have made."""
        now = self._timers.wall()
        if announcement.incarnation / 1000 > now + _MAX_CLOCK_SKEW_SECONDS:
            raise Failure(Code.INVALID_REQUEST, "The upstream starts in the future.")
        if not self._tables.is_known or self._catalog.get(announcement.id) is not None:
            return
        if announcement.service not in self._tables.current.services:
            text = f"There is no service {announcement.service!r}."
            raise Failure(Code.INVALID_REQUEST, text)

    async def _acknowledge(
        self, upstream: Announcement, is_news: bool, arrived_at: float
    ) -> None:
        """Return once all hosts keep to it that an upstream leaves or ends."""
        known_by = await self._departures.spread(upstream)
        event = LeavingAcknowledged(
            upstream=upstream.id,
            incarnation=upstream.incarnation,
            service=upstream.service,
            is_gone=upstream.is_gone,
            is_repeat=not is_news,
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

    async def _on_sync(self, request: pb.SyncRequest, sender: str) -> pb.SyncReply:
        if request.HasField("entry"):
            is_known = request.registry_epoch == self._epoch
            self._entry_host_progress.note(
                sender, request.registry_version if is_known else 0
            )
            report = EntryReport.from_message(request.entry)
            self._entries.note_own(report, request.is_source)
        asked_at = self._timers.now()
        await self._wait_news(request)
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
        self._add_upstreams(request, reply)
        self._add_rollouts(request, reply)
        if request.is_control:
            self._add_entries(request, reply)
        else:
            self._add_directory(request, reply)
            totals = self._entries.admitted_besides(request.entry.host)
            reply.admitted_elsewhere.extend(counts_to_messages(totals))
        return reply

    async def _on_table(self, request: pb.TableRequest, sender: str) -> pb.TablePart:
        return self._history.part_for(request)

    def _note_table(self, table: RouteTable) -> None:
        self._history.note(self._tables.document)

    async def _wait_news(self, request: pb.SyncRequest) -> None:
        """Return once there is something that the asker doesn't have, or in time."""
        with self._timers.move_on_after(min(request.wait, _MAX_WAIT_SECONDS)):
            while not self._has_news(request):
                await self._news.wait()

    def _has_news(self, request: pb.SyncRequest) -> bool:
        if request.registry_epoch != self._epoch:
            return True
        if request.registry_version < self._catalog.version:
            return True
        if self._knows_rollouts_besides(request):
            return True
        return request.table_version < self._tables.current.version

    def _note_news(self, _: object) -> None:
        self._news.set()
        self._news = trio.Event()

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

    def _knows_rollouts_besides(self, request: pb.SyncRequest) -> bool:
        """Whether an entry host lacks a change of a roll-out."""
        if self._rollouts is None or request.is_control:
            return False
        return request.rollouts_index < self._rollouts.index

    def _add_rollouts(self, request: pb.SyncRequest, reply: pb.SyncReply) -> None:
        if self._knows_rollouts_besides(request):
            reply.rollouts.extend(self._rollouts.messages())
        if self._rollouts is not None:
            reply.judge = self._rollouts.judge()

    def _add_directory(self, request: pb.SyncRequest, reply: pb.SyncReply) -> None:
        """Tell an entry host where callers connect, if that's news.

        A host that has just started doesn't know all entry hosts yet; what it knows
        is better than nothing, but no better than what others have told.
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
        """Tell another control host that upstreams without news live on."""
        told = {message.id for message in reply.upstreams}
        for announcement in self._catalog.all():
            if announcement.key in self._catalog.silent or announcement.id in told:
                continue
            if announcement.takes_work:
                message = announcement.to_message(self._catalog.age(announcement.id))
                message.heard_by = self._catalog.heard_by(announcement.id)
                reply.upstreams.append(message)
