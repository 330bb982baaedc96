"""A control host's part: what hosts ask of it, and what it gathers from them."""

from collections.abc import Callable
from dataclasses import dataclass

import trio
from absl import logging

from pepperstep.coordination.directory import Directory
from pepperstep.coordination.records import (
    Announcement,
    EntryReport,
    ServiceWork,
    counts_to_messages,
)
from pepperstep.coordination.tables import TableStore
from pepperstep.coordination.upstream_book import UpstreamBook
from pepperstep.errors import Code, Failure
from pepperstep.observability.decisions import EntryContact
from pepperstep.ports import PeerNetwork, Timers
from pepperstep.proto import coordination_pb2 as pb

__all__ = ["ControlDesk", "EntryHost"]

# Entry hosts ask twice a second; one that missed two rounds is told of to callers
# no longer. In seconds. Callers keep an address for another 1.5 s or more, and
# what they send to a host without power meanwhile is lost.
_ENTRY_SILENCE_SECONDS = 1.1
# Longest time that a question waits for something new, in seconds.
_MAX_WAIT_SECONDS = 5.0
# Time after which a silent entry host isn't counted among those that share
# quotas and budgets, in seconds: longer than any of their windows.
_ENTRY_SHARE_SECONDS = 15.0
# Time after a start until a control host has heard of all entry hosts, in seconds:
# they ask twice a second, and those that back off once a second.
_DIRECTORY_SETTLING_SECONDS = 1.5
# Time after a start for which as many entry hosts are counted as were known
# before it, in seconds: they come back within it, and longer than a window of
# quotas makes the few that don't unimportant.
_EXPECT_SECONDS = 10.0
# Time after a start in which it's found out that all hosts have started anew, and
# by how much entry hosts may have started sooner, in seconds. Entry hosts start
# half a second sooner than control hosts.
_RESTART_SECONDS = 3.0
_RESTART_SLACK_SECONDS = 1.0
# Time after which its counts are dropped, in seconds: usage is due before.
_ENTRY_FORGET_SECONDS = 60.0
# Time for the other control hosts to take in a notice, in seconds. Upstreams
# wait one second for their answer.
_NOTICE_SECONDS = 0.6
# How far an upstream's clock may be ahead of this host's, in seconds: clocks jump by
# an hour in tests of them. A start that's told to be later than this would hide all
# that its upstream says of itself afterwards.
_MAX_CLOCK_SKEW_SECONDS = 86_400.0
# Windows of the accounting that are kept for each entry host.
_KEPT_WINDOWS = 12


@dataclass(slots=True)
class EntryHost:
    """One life of an entry host, as this host knows it."""

    report: EntryReport
    # Monotonic time of its latest report.
    heard_at: float
    # Monotonic time of its start.
    started_at: float


class ControlDesk:
    """Answers hosts' questions and keeps their reports."""

    def __init__(
        self,
        name: str,
        peers: PeerNetwork,
        timers: Timers,
        tables: TableStore,
        book: UpstreamBook,
        control_hosts: Callable[[], list[str]],
        epoch: int,
        is_in_contact: Callable[[], bool] = lambda: True,
    ):
        self._name = name
        self._peers = peers
        self._timers = timers
        self._tables = tables
        self._book = book
        self._control_hosts = control_hosts
        self._epoch = epoch
        self._is_in_contact = is_in_contact
        # By name and incarnation, so that counts of an ended life stay.
        self._entries: dict[tuple[str, int], EntryHost] = {}
        # Entry hosts that were in contact when that was last looked at.
        self._in_contact: set[str] = set()
        # Entry hosts that were known before this host's start.
        self._expected = 0
        self._started_at = timers.now()
        self._news = trio.Event()
        book.subscribe(self._note_news)
        tables.subscribe(self._note_news)
        peers.handle(pb.SyncRequest, self._on_sync)
        peers.handle(pb.UpstreamNotice, self._on_notice)

    @property
    def entry_count(self) -> int:
        """Number of entry hosts that share what is allowed."""
        limit = self._timers.now() - _ENTRY_SHARE_SECONDS
        lives = self._newest_lives().values()
        heard = sum(entry.heard_at >= limit for entry in lives)
        if self._timers.now() - self._started_at < _EXPECT_SECONDS:
            return max(heard, self._expected)
        return heard

    @property
    def has_all_restarted(self) -> bool:
        """Whether all entry hosts known before this host's start have started anew.

        Then nothing was admitted since the lives before ended.
        """
        if self._timers.now() - self._started_at > _RESTART_SECONDS:
            return False
        lives = self._newest_lives().values()
        if not self._expected or len(lives) < self._expected:
            return False
        earliest = self._started_at - _RESTART_SLACK_SECONDS
        return all(entry.started_at >= earliest for entry in lives)

    def expect_entries(self, count: int) -> None:
        """Count at least so many entry hosts in the next seconds."""
        self._expected = count

    def ready_entries(self) -> list[EntryReport]:
        """Return the newest reports of entry hosts that callers may use."""
        limit = self._timers.now() - _ENTRY_SILENCE_SECONDS
        newest = self._newest_lives()
        return [
            entry.report
            for entry in newest.values()
            if entry.heard_at >= limit and entry.report.is_ready
        ]

    def note_contacts(self) -> None:
        """Log the entry hosts that were lost or found since the last call."""
        limit = self._timers.now() - _ENTRY_SILENCE_SECONDS
        newest = self._newest_lives()
        now = {name for name, entry in newest.items() if entry.heard_at >= limit}
        for name in sorted(now ^ self._in_contact):
            if name not in newest:
                continue
            report = newest[name].report
            event = EntryContact(
                name, report.incarnation, report.zone, name in now, len(now)
            )
            logging.info("desk: %s", event)
        self._in_contact = now

    def counts_of(self, window: int) -> dict[str, int]:
        """Return the requests that began to run in a window, by workspace."""
        totals: dict[str, int] = {}
        for entry in self._entries.values():
            for name, count in entry.report.windows.get(window, {}).items():
                totals[name] = totals.get(name, 0) + count
        return totals

    def lives_counting(self, window: int) -> int:
        """Return how many lives of entry hosts have counted requests in a window."""
        return sum(window in entry.report.windows for entry in self._entries.values())

    def work_of(self, service: str) -> ServiceWork:
        """Return the work that all entry hosts give a service's upstreams."""
        limit = self._timers.now() - _ENTRY_SILENCE_SECONDS
        works = [
            entry.report.works.get(service, ServiceWork())
            for entry in self._newest_lives().values()
            if entry.heard_at >= limit
        ]
        return ServiceWork(
            sum(work.in_flight for work in works), sum(work.reading for work in works)
        )

    async def note_announcement(self, announcement: Announcement) -> None:
        """Take in what an upstream says of itself.

        That it leaves must outlive this host: then another control host has
        to know it before this returns. Raise `Failure` with `NO_QUORUM` else, and
        with `INVALID_REQUEST` for what can't be an upstream's own words.
        """
        self._check(announcement)
        before = self._book.get(announcement.id)
        self._book.note(announcement)
        now = self._book.get(announcement.id)
        if not now.takes_work and (before is None or now != before):
            is_news = before is None or before.takes_work or now.key != before.key
            if is_news:
                await self._tell_leaving(now)

    def _check(self, announcement: Announcement) -> None:
        """Raise `Failure` for an announcement that another writer must have made."""
        now = self._timers.wall()
        if announcement.incarnation / 1000 > now + _MAX_CLOCK_SKEW_SECONDS:
            raise Failure(Code.INVALID_REQUEST, "The upstream starts in the future.")
        if not self._tables.is_known or self._book.get(announcement.id) is not None:
            return
        if announcement.service not in self._tables.current.services:
            text = f"There is no service {announcement.service!r}."
            raise Failure(Code.INVALID_REQUEST, text)

    async def _tell_leaving(self, upstream: Announcement) -> None:
        logging.info(
            "desk: Upstream %s of %s leaves, by its announcement %d.",
            upstream.id,
            upstream.service,
            upstream.sequence,
        )
        await self._tell_others(upstream)

    async def note_gone(self, upstream: str, incarnation: int | None = None) -> None:
        """Take in that an upstream ends; raise as `note_announcement` does.

        Without an incarnation, it's the latest that is known.
        """
        known = self._book.get(upstream)
        if known is not None and known.is_gone:
            return
        self._book.note_gone(upstream, incarnation)
        await self._tell_others(self._book.get(upstream))

    def absorb(self, control_host: str, reply: pb.SyncReply, age: float) -> None:
        """Take in another control host's answer that is `age` seconds old."""
        for message in reply.entries:
            self._note_entry(EntryReport.from_message(message), age + message.age)
        for message in reply.upstreams:
            if message.is_silent:
                key = (message.id, message.incarnation)
                self._book.note_silent(key, age + message.age, control_host)

    async def _tell_others(self, announcement: Announcement) -> None:
        others = [each for each in self._control_hosts() if each != self._name]
        if not others:
            return
        heard = trio.Event()
        notice = pb.UpstreamNotice(upstream=announcement.to_message())

        async def tell(other: str) -> None:
            try:
                await self._peers.call(other, notice, _NOTICE_SECONDS)
            except Failure as failure:
                logging.info("desk: %s misses a notice: %s", other, failure.text)
            else:
                heard.set()

        async with trio.open_nursery() as nursery:
            for other in others:
                nursery.start_soon(tell, other)
            with self._timers.move_on_after(_NOTICE_SECONDS):
                await heard.wait()
            if not heard.is_set():
                nursery.cancel_scope.cancel()
        if not heard.is_set():
            raise Failure(Code.NO_QUORUM, "No other control host has taken it in.")

    async def _on_notice(
        self, message: pb.UpstreamNotice, sender: str
    ) -> pb.UpstreamNoticeReply:
        announcement = Announcement.from_message(message.upstream)
        self._book.note(announcement, told_by=sender)
        return pb.UpstreamNoticeReply()

    async def _on_sync(self, request: pb.SyncRequest, sender: str) -> pb.SyncReply:
        if request.HasField("entry"):
            self._note_entry(EntryReport.from_message(request.entry), 0.0)
        asked_at = self._timers.now()
        await self._wait_news(request)
        reply = pb.SyncReply(
            waited=self._timers.now() - asked_at,
            table_version=self._tables.current.version,
            registry_epoch=self._epoch,
            registry_version=self._book.version,
            control_hosts=self._control_hosts(),
            entry_count=self.entry_count,
            has_all_restarted=self.has_all_restarted,
            wall=self._timers.wall(),
            is_in_contact=self._is_in_contact(),
        )
        if request.table_version < self._tables.current.version:
            reply.table = self._tables.document
        self._add_upstreams(request, reply)
        if request.is_control:
            reply.entries.extend(self._entry_messages())
        else:
            self._add_directory(request, reply)
            totals = self._admitted_besides(request.entry.host)
            reply.admitted_elsewhere.extend(counts_to_messages(totals))
        return reply

    async def _wait_news(self, request: pb.SyncRequest) -> None:
        """Return once there is something that the asker doesn't have, or in time."""
        with self._timers.move_on_after(min(request.wait, _MAX_WAIT_SECONDS)):
            while not self._has_news(request):
                await self._news.wait()

    def _has_news(self, request: pb.SyncRequest) -> bool:
        if request.registry_epoch != self._epoch:
            return True
        if request.registry_version < self._book.version:
            return True
        return request.table_version < self._tables.current.version

    def _note_news(self, _: object) -> None:
        self._news.set()
        self._news = trio.Event()

    def _add_upstreams(self, request: pb.SyncRequest, reply: pb.SyncReply) -> None:
        reply.is_whole = request.registry_epoch != self._epoch
        since = 0 if reply.is_whole else request.registry_version
        for announcement, age in self._book.changed_since(since):
            message = announcement.to_message(age)
            message.is_silent = announcement.key in self._book.silent
            reply.upstreams.append(message)
        if request.is_control and not reply.is_whole:
            self._add_renewals(reply)

    def _add_directory(self, request: pb.SyncRequest, reply: pb.SyncReply) -> None:
        """Tell an entry host where callers connect, if that's news.

        A host that has just started doesn't know all entry hosts yet; what it knows
        is better than nothing, but no better than what others have told.
        """
        uptime = self._timers.now() - self._started_at
        if request.directory_digest and uptime < _DIRECTORY_SETTLING_SECONDS:
            return
        directory = Directory.from_reports(self.ready_entries(), request.entry.zone)
        if directory.digest != request.directory_digest:
            reply.directory.CopyFrom(directory.to_message())

    def _add_renewals(self, reply: pb.SyncReply) -> None:
        """Tell another control host that upstreams without news live on."""
        told = {message.id for message in reply.upstreams}
        for announcement in self._book.all():
            if announcement.key in self._book.silent or announcement.id in told:
                continue
            if announcement.takes_work:
                age = self._book.age(announcement.id)
                reply.upstreams.append(announcement.to_message(age))

    def _entry_messages(self) -> list[pb.EntryState]:
        """Return reports that are new enough to count for somebody."""
        self._forget_entries()
        now = self._timers.now()
        return [
            entry.report.to_message(now - entry.heard_at)
            for entry in self._entries.values()
        ]

    def _note_entry(self, report: EntryReport, age: float) -> None:
        key = (report.host, report.incarnation)
        heard_at = self._timers.now() - age
        known = self._entries.get(key)
        if known is None:
            started_at = heard_at - report.uptime
            self._entries[key] = EntryHost(report, heard_at, started_at)
            return
        admitted = _highest(known.report.admitted, report.admitted)
        windows = dict(known.report.windows)
        for number, counts in report.windows.items():
            windows[number] = _highest(windows.get(number, {}), counts)
        newest = sorted(windows)[-_KEPT_WINDOWS:]
        is_newer = heard_at >= known.heard_at
        source = report if is_newer else known.report
        known.report = EntryReport(
            host=source.host,
            incarnation=source.incarnation,
            caller_address=source.caller_address,
            zone=source.zone,
            is_ready=source.is_ready,
            admitted=admitted,
            windows={number: windows[number] for number in newest},
            works=source.works,
            uptime=source.uptime,
        )
        known.heard_at = max(known.heard_at, heard_at)

    def _newest_lives(self) -> dict[str, EntryHost]:
        newest: dict[str, EntryHost] = {}
        for (name, _), entry in sorted(self._entries.items(), key=_by_start):
            newest[name] = entry
        return newest

    def _admitted_besides(self, host: str) -> dict[str, int]:
        totals: dict[str, int] = {}
        for (name, _), entry in self._entries.items():
            if name == host:
                continue
            for workspace, count in entry.report.admitted.items():
                totals[workspace] = totals.get(workspace, 0) + count
        return totals

    def _forget_entries(self) -> None:
        limit = self._timers.now() - _ENTRY_FORGET_SECONDS
        for key, entry in list(self._entries.items()):
            if entry.heard_at < limit:
                del self._entries[key]


def _by_start(item: tuple[tuple[str, int], EntryHost]) -> float:
    """Order lives by this host's clock: theirs may have jumped between two starts."""
    return item[1].started_at


def _highest(one: dict[str, int], other: dict[str, int]) -> dict[str, int]:
    """Return the higher count of each workspace."""
    names = one.keys() | other.keys()
    return {name: max(one.get(name, 0), other.get(name, 0)) for name in sorted(names)}
