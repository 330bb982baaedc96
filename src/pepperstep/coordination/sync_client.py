"""Rounds in which a host asks the control hosts for all that is new.

Each control host is asked by a task of its own. A host takes part only if it
can be reached; what was learned stays when none can. Control hosts ask all others.
An entry host asks a few, which tell it what the others know; so the questions to
one control host don't grow with the number of control hosts.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import trio
import xxhash
from absl import logging

from pepperstep.coordination.directory import Directory
from pepperstep.coordination.records import Announcement, EntryReport, StatedLimit
from pepperstep.coordination.table_fetcher import FetchSettings, TableFetcher
from pepperstep.coordination.tables import TableStore
from pepperstep.coordination.upstream_catalog import UpstreamCatalog
from pepperstep.errors import Failure
from pepperstep.ports import PeerNetwork, Timers
from pepperstep.proto import coordination_pb2 as pb

__all__ = ["SyncClient", "SyncSettings"]

ReplySubscriber = Callable[[str, pb.SyncReply, float], None]


@dataclass(frozen=True, slots=True)
class SyncSettings:
    """Times in seconds."""

    # Longest time that an answer waits for something new: so a change is told at
    # once, and an idle host asks twice a second. The directory needs each host's
    # state this often.
    wait: float = 0.5
    # The same while counts have to be new, because a quota is nearly spent.
    short_wait: float = 0.2
    # Between an answer and the next question, so that changes which come one
    # by one are told together.
    pause: float = 0.05
    # One question and its answer, without the wait.
    timeout: float = 0.6
    # Between questions to a host that doesn't answer, at first and at most.
    first_backoff: float = 0.15
    backoff: float = 1.0
    # Time after its start for which a host asks as often as at first: where all
    # have lost power, control hosts start half a second after entry hosts.
    eager: float = 3.0
    # Time without an answer after which a control host counts as out of reach.
    reach: float = 2.0
    # Time until a control host that starts has heard of all entry hosts.
    settling: float = 1.5
    # Control hosts that an entry host asks at least, and most of the voters: what most
    # voters know, one of those knows.
    fanout: int = 3
    # Time in which a control host has a new table from the log, mostly.
    log_delay: float = 0.3
    # Between looks whether a control host that isn't asked is needed.
    idle_pause: float = 0.2


@dataclass(slots=True)
class _Source:
    """What this host has from one control host."""

    epoch: int = 0
    version: int = 0
    entries_version: int = 0
    # This host's report that the control host has; None after a question without an
    # answer, as it may have forgotten what it had.
    told: EntryReport | None = None
    answered_at: float = float("-inf")
    # Latest totals, and what brings them to this host's scale.
    totals: dict[str, int] = field(default_factory=dict)
    offsets: dict[str, int] = field(default_factory=dict)
    # Time from which its totals are whole: a host that starts hears of the
    # entry hosts' counts one after the other.
    settled_at: float = float("inf")
    # Whether the latest question had no answer.
    is_failing: bool = False
    # Question that is under way.
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    # Its Unix time less this host's monotonic time, None before its first answer.
    wall_offset: float | None = None
    # Entry hosts that it counts, and whether it hears most control hosts.
    entry_count: int = 0
    is_in_contact: bool = False


class SyncClient:
    """Rounds of one host; `report` gives an entry host's state, None on others."""

    def __init__(
        self,
        name: str,
        seeds: tuple[str, ...],
        peers: PeerNetwork,
        timers: Timers,
        tables: TableStore,
        catalog: UpstreamCatalog,
        report: Callable[[], EntryReport] | None = None,
        settings: SyncSettings | None = None,
    ):
        self._name = name
        self._seeds = tuple(seed for seed in seeds if seed != name)
        self._peers = peers
        self._timers = timers
        self._tables = tables
        self._catalog = catalog
        self._report = report
        self._settings = settings or SyncSettings()
        delay = 0.0 if report is not None else self._settings.log_delay
        self._fetcher = TableFetcher(
            peers, timers, tables, self._rank, FetchSettings(delay=delay)
        )
        self._sources: dict[str, _Source] = {}
        self._wanted: set[str] = set(self._seeds)
        self._voters: frozenset[str] = frozenset()
        self._nursery: trio.Nursery | None = None
        self._wake = trio.Event()
        self._totals: dict[str, int] = {}
        self.entry_count = 1
        # Where callers connect, as the latest answer told; for entry hosts.
        self.directory = Directory()
        # Called with workspace and total, when the total has grown.
        self.on_admitted: Callable[[str, int], None] = lambda workspace, total: None
        # Whether all hosts have started with this one, and what is called then.
        self.has_seen_restart = False
        self.on_restart: Callable[[], None] = lambda: None
        # Tells whether counts have to be new.
        self.needs_fresh_counts: Callable[[], bool] = lambda: False
        # Gives the newest change of a roll-out that this host has, as its log position.
        self.rollouts_index: Callable[[], int] = lambda: 0
        # Called with a control host, its answer, and the answer's age in seconds.
        self.on_reply: ReplySubscriber = lambda name, reply, age: None

    @property
    def reached(self) -> list[str]:
        """Control hosts that have answered lately."""
        limit = self._timers.now() - self._settings.reach
        return sorted(
            name
            for name, source in self._sources.items()
            if source.answered_at >= limit
        )

    @property
    def silence(self) -> float:
        """Seconds since any control host's latest answer."""
        latest = (source.answered_at for source in self._sources.values())
        return self._timers.now() - max(latest, default=float("-inf"))

    @property
    def median_time(self) -> float:
        """The Unix time by the middle of what hosts say.

        Others' clocks are kept against this host's monotonic time. So a jump of its
        own clock is one vote at once, and no vote of the others', and no window of
        the accounting is taken for over before it is.
        """
        now = self._timers.now()
        told = (source.wall_offset for source in self._sources.values())
        others = [offset for offset in told if offset is not None]
        return now + _middle(others, self._timers.wall() - now)

    def control_hosts(self) -> list[str]:
        """Return all control hosts that this host knows of, itself excluded."""
        return sorted(self._wanted)

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Ask until cancelled."""
        async with trio.open_nursery() as self._nursery:
            self._want(self._seeds)
            for name in self._seeds:
                self._start(name)
            self._nursery.start_soon(self._fetcher.run)
            task_status.started()
            await trio.sleep_forever()

    def sync_now(self) -> None:
        """Begin a round at once, with this host's state as it is now."""
        self._wake.set()
        self._wake = trio.Event()
        for source in self._sources.values():
            source.scope.cancel()

    def _want(self, names) -> None:
        for name in names:
            if name != self._name and name not in self._wanted:
                self._wanted.add(name)
                self._start(name)

    def _start(self, name: str) -> None:
        if name in self._sources:
            return
        self._sources[name] = _Source()
        self._nursery.start_soon(self._ask_forever, name)

    async def _ask_forever(self, name: str) -> None:
        source = self._sources[name]
        was_reached = False
        backoff = self._settings.first_backoff
        eager_until = self._timers.now() + self._settings.eager
        while name in self._wanted:
            if not self._is_asked(name):
                with self._timers.move_on_after(self._settings.idle_pause):
                    await self._wake.wait()
                continue
            is_reached = await self._ask(name, source)
            source.is_failing = not is_reached
            if is_reached != was_reached:
                text = "answers" if is_reached else "doesn't answer"
                logging.info("sync: Control host %s %s.", name, text)
            was_reached = is_reached
            pause = self._settings.pause if is_reached else backoff
            with self._timers.move_on_after(pause):
                await self._wake.wait()
            backoff = min(2 * backoff, self._settings.backoff)
            if is_reached or self._timers.now() < eager_until:
                backoff = self._settings.first_backoff
        del self._sources[name]
        self._fetcher.forget(name)

    def _is_asked(self, name: str) -> bool:
        """Whether this host asks a control host, or leaves it to others."""
        return self._report is None or name in self._asked()

    def _asked(self) -> list[str]:
        """Return the control hosts that an entry host asks.

        Each host ranks them by hashes of its own, so that all are asked alike. One that
        doesn't answer is asked on, and the next one besides.
        """
        asked: list[str] = []
        most_voters = len(self._voters) // 2 + 1
        self._ask_more(asked, self._voters & self._wanted, most_voters)
        self._ask_more(asked, self._wanted, self._settings.fanout)
        return asked

    def _ask_more(self, asked: list[str], names: Iterable[str], least: int) -> None:
        """Add control hosts until so many answer of those that are asked."""
        for name in sorted(names, key=self._rank):
            answering = sum(not self._sources[each].is_failing for each in asked)
            if answering >= least:
                return
            if name not in asked:
                asked.append(name)

    def _is_source(self, name: str) -> bool:
        """Whether a control host is the one that tells the others of this host.

        It's the first that answers and hears most control hosts, so that one which
        dies or is cut off is replaced; without any, all that are asked tell.
        """
        ranked = sorted(self._sources, key=self._rank)
        in_contact = [
            each
            for each in ranked
            if self._sources[each].is_in_contact and not self._sources[each].is_failing
        ]
        return not in_contact or name == in_contact[0]

    def _rank(self, name: str) -> int:
        return xxhash.xxh64_intdigest(f"{self._name}/{name}".encode())

    async def _ask(self, name: str, source: _Source) -> bool:
        wait = (
            self._settings.short_wait
            if self.needs_fresh_counts()
            else self._settings.wait
        )
        request = pb.SyncRequest(
            table_version=max(
                self._tables.current.version, self._fetcher.told_by(name)
            ),
            registry_epoch=source.epoch,
            registry_version=source.version,
            is_control=self._report is None,
            wait=wait,
            directory_digest=self.directory.digest,
            entries_version=source.entries_version,
            is_source=self._is_source(name),
            rollouts_index=self.rollouts_index(),
        )
        report = None if self._report is None else self._report()
        if report is not None:
            request.entry.CopyFrom(report.changed_since(source.told).to_message())
        asked_at = self._timers.now()
        # The first answer doesn't wait for news.
        timeout = self._settings.timeout + (wait if source.epoch else 0.0)
        reply = None
        with trio.CancelScope() as source.scope:
            try:
                reply = await self._peers.call(name, request, timeout)
            except Failure:
                source.told = None
                return False
        if reply is None:
            # Something is to be told at once.
            return True
        source.answered_at = self._timers.now()
        is_same_life = source.epoch in (0, reply.registry_epoch)
        source.told = report if is_same_life else None
        way = max(0.0, source.answered_at - asked_at - reply.waited)
        source.wall_offset = reply.wall + way / 2 - source.answered_at
        self._take(name, reply, source, way)
        return True

    def _take(
        self, name: str, reply: pb.SyncReply, source: _Source, age: float
    ) -> None:
        # Before the table, whose quotas are shared by so many.
        self._take_entry_count(reply, source)
        self._fetcher.note_told(name, reply.table_version)
        self._take_directory(reply, source)
        if reply.has_all_restarted and not self.has_seen_restart:
            self.has_seen_restart = True
            logging.info("sync: All hosts have started anew.")
            self.on_restart()
        for message in reply.upstreams:
            announcement = Announcement.from_message(message)
            heard_by = message.heard_by or name
            self._catalog.record(announcement, message.age + age, name, heard_by)
            if message.HasField("limit"):
                told_at = self._timers.now() - age
                limit = StatedLimit.from_message(message.limit, told_at)
                self._catalog.record_limit(announcement.key, limit, name)
        source.version = reply.registry_version
        source.entries_version = reply.entries_version
        is_new_life = source.epoch != reply.registry_epoch
        source.epoch = reply.registry_epoch
        self._take_totals(reply, source, is_new_life)
        self.on_reply(name, reply, age)
        self._take_control_hosts(reply)

    def _take_entry_count(self, reply: pb.SyncReply, source: _Source) -> None:
        """Count as many entry hosts as any control host does that answers.

        One that's cut off counts fewer. By the latest answer alone, an entry host
        beside it took the whole of what four hosts share.
        """
        source.entry_count = reply.entry_count
        counts = (self._sources[name].entry_count for name in self.reached)
        self.entry_count = max(1, *counts)

    def _take_directory(self, reply: pb.SyncReply, source: _Source) -> None:
        """Take in where callers connect.

        A control host that's cut off from most others may hear of few entry hosts;
        it's believed where no other one answers.
        """
        source.is_in_contact = reply.is_in_contact
        if not reply.HasField("directory"):
            return
        in_contact = (self._sources[name].is_in_contact for name in self.reached)
        if reply.is_in_contact or not any(in_contact):
            self.directory = Directory.from_message(reply.directory)

    def _take_totals(
        self, reply: pb.SyncReply, source: _Source, is_new_life: bool
    ) -> None:
        """Bring each control host's totals to one scale, and take the highest."""
        now = self._timers.now()
        if is_new_life:
            source.settled_at = now + self._settings.settling
        for message in reply.admitted_elsewhere:
            workspace = message.workspace
            known = self._totals.get(workspace, 0)
            has_fallen = message.count < source.totals.get(workspace, 0)
            source.totals[workspace] = message.count
            is_new = workspace not in source.offsets
            if now < source.settled_at or has_fallen or is_new:
                source.offsets[workspace] = known - message.count
            total = message.count + source.offsets[workspace]
            if total > known:
                self._totals[workspace] = total
                self.on_admitted(workspace, total)

    def _take_control_hosts(self, reply: pb.SyncReply) -> None:
        if reply.is_in_contact or not self._voters:
            self._voters = frozenset(reply.voters)
        named = set(reply.control_hosts) - {self._name}
        self._want(sorted(named))
        silent = self._timers.now() - 5 * self._settings.reach
        for name in sorted(self._wanted - named - set(self._seeds)):
            if self._sources[name].answered_at < silent:
                self._wanted.discard(name)


def _middle(others: list[float], own: float) -> float:
    """Return the middle vote; this host's own counts where that makes them odd."""
    votes = sorted(others if len(others) % 2 else [*others, own])
    return votes[len(votes) // 2]
