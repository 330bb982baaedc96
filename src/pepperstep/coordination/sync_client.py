"""Polls the control hosts for changes and reports this host's state to them.

Each control host is polled by its own task. Known state is kept while no control host
answers. Control hosts poll all other control hosts. An entry host polls a few of them,
which relay what the others know, so the requests to a control host don't grow with the
number of control hosts.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import trio
import xxhash
from absl import logging

from pepperstep.coordination.directory import Directory
from pepperstep.coordination.records import Announcement, EntryReport, StatedLimit
from pepperstep.coordination.suspects import SuspectFeatures
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
    """Timing in seconds, and the number of control hosts to poll."""

    # How long a control host holds a request open until something changes. A change is
    # sent at once, and an idle host polls twice a second, which is how often the
    # directory needs each host's state.
    wait: float = 0.5
    # Replaces `wait` while a quota is nearly spent and counts must be recent.
    short_wait: float = 0.2
    # Between a reply and the next request, so that changes in quick succession are sent
    # together.
    pause: float = 0.05
    # Least time between two requests of an entry host to the same control host. While
    # upstreams come and go, each of their announcements would otherwise cause a request
    # of each entry host to each control host that it polls.
    min_interval: float = 0.2
    # For a request and its reply, in addition to `wait`.
    timeout: float = 0.6
    # First and longest pause between requests to a host that doesn't answer.
    first_backoff: float = 0.15
    backoff: float = 1.0
    # Time after the start during which the pause stays at `first_backoff`: after a
    # power loss of all hosts, control hosts start half a second after entry hosts.
    startup: float = 3.0
    # Time without a reply after which a control host counts as unreachable.
    reach: float = 2.0
    # Time after which a restarted control host has heard from all entry hosts.
    settling: float = 1.5
    # Least number of control hosts that an entry host polls. It also polls a majority
    # of the voters, so that one of them knows whatever a majority has stored.
    fanout: int = 3
    # Usual time until a new table reaches a control host through the log.
    log_delay: float = 0.3
    # Interval at which to check whether a control host that isn't polled is needed.
    idle_pause: float = 0.2


@dataclass(slots=True)
class _ControlHost:
    """State received from one control host."""

    epoch: int = 0
    version: int = 0
    entries_version: int = 0
    suspects_version: int = 0
    # Latest report that the control host has; None after a request without a reply, as
    # it may have lost its state.
    reported: EntryReport | None = None
    answered_at: float = float("-inf")
    # Latest admitted totals, and the offsets that align them with this host's totals.
    totals: dict[str, int] = field(default_factory=dict)
    offsets: dict[str, int] = field(default_factory=dict)
    # Monotonic time from which the totals are complete: a control host that starts
    # receives the entry hosts' counts one after the other.
    settled_at: float = float("inf")
    # Whether the latest request had no reply.
    is_failing: bool = False
    # Scope of the request in flight.
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    # Its Unix time minus this host's monotonic time, None before the first reply.
    wall_offset: float | None = None
    # Entry hosts that it counts, and whether it's in contact with most control hosts.
    entry_count: int = 0
    is_in_contact: bool = False


class SyncClient:
    """Polls control hosts for one host.

    `report` returns an entry host's state; it's None on control hosts.
    """

    def __init__(
        self,
        name: str,
        seeds: tuple[str, ...],
        peers: PeerNetwork,
        timers: Timers,
        tables: TableStore,
        catalog: UpstreamCatalog,
        suspects: SuspectFeatures,
        report: Callable[[], EntryReport] | None = None,
        settings: SyncSettings | None = None,
    ):
        self._name = name
        self._seeds = tuple(seed for seed in seeds if seed != name)
        self._peers = peers
        self._timers = timers
        self._tables = tables
        self._catalog = catalog
        self._suspects = suspects
        self._report = report
        self._settings = settings or SyncSettings()
        delay = 0.0 if report is not None else self._settings.log_delay
        self._fetcher = TableFetcher(
            peers, timers, tables, self._rank, FetchSettings(delay=delay)
        )
        self._control_hosts: dict[str, _ControlHost] = {}
        self._known: set[str] = set(self._seeds)
        self._voters: frozenset[str] = frozenset()
        self._nursery: trio.Nursery | None = None
        self._wake = trio.Event()
        self._totals: dict[str, int] = {}
        self.entry_count = 1
        # Directory for callers, from the latest reply; kept on entry hosts only.
        self.directory = Directory()
        # Called with workspace and total when the cost admitted elsewhere has grown.
        self.on_admitted: Callable[[str, int], None] = lambda workspace, total: None
        # Whether all hosts have restarted together with this one, and the callback for
        # it.
        self.has_seen_restart = False
        self.on_restart: Callable[[], None] = lambda: None
        # Returns whether counts must be recent.
        self.needs_fresh_counts: Callable[[], bool] = lambda: False
        # Returns the log position of the latest roll-out change that this host has.
        self.rollouts_index: Callable[[], int] = lambda: 0
        # Called with the control host, its reply and the reply's age in seconds.
        self.on_reply: ReplySubscriber = lambda name, reply, age: None

    @property
    def reached(self) -> list[str]:
        """Control hosts that have answered recently."""
        limit = self._timers.now() - self._settings.reach
        return sorted(
            name
            for name, control_host in self._control_hosts.items()
            if control_host.answered_at >= limit
        )

    @property
    def silence(self) -> float:
        """Seconds since the latest reply of any control host."""
        latest = (
            control_host.answered_at for control_host in self._control_hosts.values()
        )
        return self._timers.now() - max(latest, default=float("-inf"))

    @property
    def median_time(self) -> float:
        """The median of the hosts' Unix times.

        Other hosts' clocks are kept as offsets from this host's monotonic time. So a
        jump of this host's clock changes one vote only, and doesn't end a usage window
        early.
        """
        now = self._timers.now()
        reported = (
            control_host.wall_offset for control_host in self._control_hosts.values()
        )
        others = [offset for offset in reported if offset is not None]
        return now + _median(others, self._timers.wall() - now)

    def control_hosts(self) -> list[str]:
        """Return all known control hosts but this one."""
        return sorted(self._known)

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Poll until cancelled."""
        async with trio.open_nursery() as self._nursery:
            self._add_control_hosts(self._seeds)
            for name in self._seeds:
                self._start_polling(name)
            self._nursery.start_soon(self._fetcher.run)
            task_status.started()
            await trio.sleep_forever()

    def sync_now(self) -> None:
        """Send this host's current state to the control hosts at once."""
        self._wake.set()
        self._wake = trio.Event()
        for control_host in self._control_hosts.values():
            control_host.scope.cancel()

    def _add_control_hosts(self, names) -> None:
        for name in names:
            if name != self._name and name not in self._known:
                self._known.add(name)
                self._start_polling(name)

    def _start_polling(self, name: str) -> None:
        if name in self._control_hosts:
            return
        self._control_hosts[name] = _ControlHost()
        self._nursery.start_soon(self._poll, name)

    async def _poll(self, name: str) -> None:
        control_host = self._control_hosts[name]
        was_reachable = False
        backoff = self._settings.first_backoff
        startup_until = self._timers.now() + self._settings.startup
        while name in self._known:
            if not self._is_target(name):
                with self._timers.move_on_after(self._settings.idle_pause):
                    await self._wake.wait()
                continue
            asked_at = self._timers.now()
            is_reachable = await self._exchange(name, control_host)
            control_host.is_failing = not is_reachable
            if is_reachable != was_reachable:
                text = "answers" if is_reachable else "doesn't answer"
                logging.info("sync: Control host %s %s.", name, text)
            was_reachable = is_reachable
            pause = backoff
            if is_reachable:
                is_starting = self._timers.now() < startup_until
                pause = self._pause_after(asked_at, is_starting)
            with self._timers.move_on_after(pause):
                await self._wake.wait()
            backoff = min(2 * backoff, self._settings.backoff)
            if is_reachable or self._timers.now() < startup_until:
                backoff = self._settings.first_backoff
        del self._control_hosts[name]
        self._fetcher.forget(name)

    def _pause_after(self, asked_at: float, is_starting: bool) -> float:
        """Return the seconds until the request after the one made at `asked_at`.

        Control hosts and starting hosts aren't limited, as they must catch up soon.
        """
        if self._report is None or is_starting:
            return self._settings.pause
        due = asked_at + self._settings.min_interval
        return max(self._settings.pause, due - self._timers.now())

    def _is_target(self, name: str) -> bool:
        """Whether this host polls a control host."""
        return self._report is None or name in self._targets()

    def _targets(self) -> list[str]:
        """Return the control hosts that an entry host polls.

        Each host ranks them by rendezvous hashing, so that all are polled by equally
        many. One that doesn't answer is still polled, and the next in rank is added.
        """
        targets: list[str] = []
        voter_majority = len(self._voters) // 2 + 1
        self._extend_targets(targets, self._voters & self._known, voter_majority)
        self._extend_targets(targets, self._known, self._settings.fanout)
        return targets

    def _extend_targets(
        self, targets: list[str], names: Iterable[str], least: int
    ) -> None:
        """Add control hosts by rank until `least` of the targets answer."""
        for name in sorted(names, key=self._rank):
            answering = sum(
                not self._control_hosts[each].is_failing for each in targets
            )
            if answering >= least:
                return
            if name not in targets:
                targets.append(name)

    def _is_publisher(self, name: str) -> bool:
        """Whether a control host shall publish this host's reports to the others.

        This is the first in rank that answers and is in contact with most control
        hosts, so one that fails or is cut off is replaced. If there is none, all of
        them publish.
        """
        ranked = sorted(self._control_hosts, key=self._rank)
        connected = [
            each
            for each in ranked
            if self._control_hosts[each].is_in_contact
            and not self._control_hosts[each].is_failing
        ]
        return not connected or name == connected[0]

    def _rank(self, name: str) -> int:
        return xxhash.xxh64_intdigest(f"{self._name}/{name}".encode())

    async def _exchange(self, name: str, control_host: _ControlHost) -> bool:
        wait = (
            self._settings.short_wait
            if self.needs_fresh_counts()
            else self._settings.wait
        )
        request = pb.SyncRequest(
            table_version=max(
                self._tables.current.version, self._fetcher.latest_version_of(name)
            ),
            registry_epoch=control_host.epoch,
            registry_version=control_host.version,
            is_control=self._report is None,
            wait=wait,
            directory_digest=self.directory.digest,
            entries_version=control_host.entries_version,
            is_source=self._is_publisher(name),
            rollouts_index=self.rollouts_index(),
            suspects_version=control_host.suspects_version,
        )
        report = None if self._report is None else self._report()
        if report is not None:
            request.entry.CopyFrom(
                report.changed_since(control_host.reported).to_message()
            )
        asked_at = self._timers.now()
        # A control host answers the first request at once.
        timeout = self._settings.timeout + (wait if control_host.epoch else 0.0)
        reply = None
        with trio.CancelScope() as control_host.scope:
            try:
                reply = await self._peers.call(name, request, timeout)
            except Failure:
                control_host.reported = None
                return False
        if reply is None:
            # `sync_now` cancelled the request to send newer state.
            return True
        control_host.answered_at = self._timers.now()
        is_same_epoch = control_host.epoch in (0, reply.registry_epoch)
        control_host.reported = report if is_same_epoch else None
        round_trip = max(0.0, control_host.answered_at - asked_at - reply.waited)
        control_host.wall_offset = (
            reply.wall + round_trip / 2 - control_host.answered_at
        )
        self._apply_reply(name, reply, control_host, round_trip)
        return True

    def _apply_reply(
        self, name: str, reply: pb.SyncReply, control_host: _ControlHost, age: float
    ) -> None:
        # The entry count comes first: the quotas of a new table are divided by it.
        self._update_entry_count(reply, control_host)
        self._fetcher.record_version(name, reply.table_version)
        self._update_directory(reply, control_host)
        if reply.has_all_restarted and not self.has_seen_restart:
            self.has_seen_restart = True
            logging.info("sync: All hosts have restarted.")
            self.on_restart()
        for message in reply.upstreams:
            announcement = Announcement.from_message(message)
            heard_by = message.heard_by or name
            self._catalog.record(announcement, message.age + age, name, heard_by)
            if message.HasField("limit"):
                told_at = self._timers.now() - age
                limit = StatedLimit.from_message(message.limit, told_at)
                self._catalog.record_limit(announcement.key, limit, name)
        self._suspects.merge(reply.suspects, age)
        control_host.suspects_version = reply.suspects_version
        control_host.version = reply.registry_version
        control_host.entries_version = reply.entries_version
        is_new_epoch = control_host.epoch != reply.registry_epoch
        control_host.epoch = reply.registry_epoch
        self._update_totals(reply, control_host, is_new_epoch)
        self.on_reply(name, reply, age)
        self._update_control_hosts(reply)

    def _update_entry_count(
        self, reply: pb.SyncReply, control_host: _ControlHost
    ) -> None:
        """Use the highest entry host count of all reachable control hosts.

        A control host that is cut off counts fewer. When only the latest reply counted,
        an entry host on its side of the cut used the whole quota of four hosts.
        """
        control_host.entry_count = reply.entry_count
        counts = (self._control_hosts[name].entry_count for name in self.reached)
        self.entry_count = max(1, *counts)

    def _update_directory(
        self, reply: pb.SyncReply, control_host: _ControlHost
    ) -> None:
        """Update the callers' directory.

        A control host that is cut off from most others may know few entry hosts. Its
        directory is used only if no reachable control host is in contact with most
        others.
        """
        control_host.is_in_contact = reply.is_in_contact
        if not reply.HasField("directory"):
            return
        connected = (self._control_hosts[name].is_in_contact for name in self.reached)
        if reply.is_in_contact or not any(connected):
            self.directory = Directory.from_message(reply.directory)

    def _update_totals(
        self, reply: pb.SyncReply, control_host: _ControlHost, is_new_epoch: bool
    ) -> None:
        """Align the control host's totals with this host's and keep the highest."""
        now = self._timers.now()
        if is_new_epoch:
            control_host.settled_at = now + self._settings.settling
        for message in reply.admitted_elsewhere:
            workspace = message.workspace
            known = self._totals.get(workspace, 0)
            has_decreased = message.count < control_host.totals.get(workspace, 0)
            control_host.totals[workspace] = message.count
            is_new = workspace not in control_host.offsets
            if now < control_host.settled_at or has_decreased or is_new:
                control_host.offsets[workspace] = known - message.count
            total = message.count + control_host.offsets[workspace]
            if total > known:
                self._totals[workspace] = total
                self.on_admitted(workspace, total)

    def _update_control_hosts(self, reply: pb.SyncReply) -> None:
        if reply.is_in_contact or not self._voters:
            self._voters = frozenset(reply.voters)
        named = set(reply.control_hosts) - {self._name}
        self._add_control_hosts(sorted(named))
        silent = self._timers.now() - 5 * self._settings.reach
        for name in sorted(self._known - named - set(self._seeds)):
            if self._control_hosts[name].answered_at < silent:
                self._known.discard(name)


def _median(others: list[float], own: float) -> float:
    """Return the median vote; `own` counts only if it makes the votes odd."""
    votes = sorted(others if len(others) % 2 else [*others, own])
    return votes[len(votes) // 2]
