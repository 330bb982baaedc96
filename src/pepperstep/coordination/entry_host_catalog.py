"""The entry hosts that a control host knows from their reports."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace

from absl import logging

from pepperstep.coordination.directory import Directory
from pepperstep.coordination.records import EntryReport, ServiceWork
from pepperstep.observability.decisions import EntryContact
from pepperstep.proto import coordination_pb2 as pb

__all__ = ["EntryHostCatalog"]

# Time without a report after which an entry host is dropped from the directory, in
# seconds. Entry hosts report twice a second, so this is two missed rounds. Callers
# cache an address for another 1.5 s or more, and requests sent to a host without power
# meanwhile are lost.
_SILENCE_SECONDS = 1.1
# Time without a report after which an entry host no longer counts in the sharing of
# quotas and budgets, in seconds: longer than any quota or budget window.
_QUOTA_SHARE_SECONDS = 15.0
# Time after this host's start during which at least the entry hosts known before it are
# counted, in seconds. Entry hosts reconnect within it. It's longer than a quota window,
# so a few that don't return make no difference.
_EXPECTED_COUNT_SECONDS = 10.0
# Time after this host's start in which a restart of all hosts is detected, and how much
# earlier entry hosts may have started, in seconds. Entry hosts start half a second
# before control hosts.
_RESTART_SECONDS = 3.0
_RESTART_SLACK_SECONDS = 1.0
# Time without a report after which an incarnation is removed, in seconds. Usage of the
# windows it counted is reported before.
_FORGET_SECONDS = 60.0
# Usage windows that are kept for each entry host.
_KEPT_WINDOWS = 12
# Age at which the snapshot of reachable entry hosts is renewed, in seconds. A report
# that changes an entry host's readiness renews it at once.
_SNAPSHOT_SECONDS = 0.1


@dataclass(slots=True)
class _Incarnation:
    """One incarnation of an entry host and its latest report."""

    report: EntryReport
    # Monotonic time of the latest report.
    heard_at: float
    # Monotonic time of the entry host's start.
    started_at: float
    # Whether this host publishes the reports to other control hosts.
    is_published: bool = False
    # Catalog version of the latest report to publish, 0 if there is none.
    version: int = 0
    # Catalog versions of the published admitted cost by workspace, and of the published
    # usage windows by number.
    admitted_versions: dict[str, int] = field(default_factory=dict)
    window_versions: dict[int, int] = field(default_factory=dict)

    def mark_published(self, report: EntryReport, version: int) -> None:
        """Record that `report` is published as the catalog's `version`.

        The first publication covers all known counts: other hosts may lack them.
        """
        if not self.is_published:
            report = self.report
        self.is_published = True
        self.version = version
        self.admitted_versions |= dict.fromkeys(report.admitted, version)
        published = self.window_versions | dict.fromkeys(report.windows, version)
        kept = self.report.windows
        self.window_versions = {
            number: published[number] for number in published.keys() & kept
        }

    def changed_since(self, version: int) -> EntryReport:
        """Return the latest report with only the counts published after `version`."""
        report = self.report
        return replace(
            report,
            admitted={
                name: report.admitted[name]
                for name, published in self.admitted_versions.items()
                if published > version
            },
            windows={
                number: report.windows[number]
                for number, published in self.window_versions.items()
                if published > version
            },
        )


@dataclass(frozen=True, slots=True)
class _Snapshot:
    """The reachable entry hosts at one time."""

    at: float
    count: int
    # Latest reports of the entry hosts that callers may use, and their zones.
    ready: list[EntryReport]
    zones: frozenset[str]
    # Cached directories by callers' zone; "" for zones without an entry host.
    directories: dict[str, Directory] = field(default_factory=dict)


class EntryHostCatalog:
    """Incarnations of entry hosts and the counts that each has reported.

    One control host, the publisher, passes each entry host's reports on to the other
    control hosts; `version` grows with each report published. Another control host is
    sent only what changed since the version it has. So each change is sent once, the
    traffic grows with the entry hosts' counts only, and a request costs the same
    whatever the number of control hosts.
    """

    def __init__(self, now: Callable[[], float]):
        self._now = now
        # Incarnations by host, latest start last. Ended ones keep their counts.
        self._incarnations: dict[str, list[_Incarnation]] = {}
        # Admitted cost summed over all incarnations, by workspace.
        self._admitted: dict[str, int] = {}
        # Entry hosts in contact at the latest call of `log_contact_changes`.
        self._connected: set[str] = set()
        # Number of entry hosts known before this host's start.
        self._expected = 0
        self._started_at = now()
        self._snapshot: _Snapshot | None = None
        self.version = 0

    @property
    def count(self) -> int:
        """Number of entry hosts that share quotas and budgets."""
        heard = self._current_snapshot().count
        if self._now() - self._started_at < _EXPECTED_COUNT_SECONDS:
            return max(heard, self._expected)
        return heard

    @property
    def has_all_restarted(self) -> bool:
        """Whether all entry hosts known before this host's start have restarted too.

        Then nothing has been admitted since their previous incarnations ended. This
        isn't so once one of them has restarted again.
        """
        if self._now() - self._started_at > _RESTART_SECONDS:
            return False
        if not self._expected or len(self._incarnations) < self._expected:
            return False
        earliest = self._started_at - _RESTART_SLACK_SECONDS
        return all(
            [state.started_at >= earliest for state in incarnations].count(True) == 1
            for incarnations in self._incarnations.values()
        )

    def record_relayed(self, report: EntryReport, age: float = 0.0) -> None:
        """Merge a report that another control host received `age` seconds ago."""
        self._merge_report(report, age)

    def record(self, report: EntryReport, is_publisher: bool) -> None:
        """Merge a report received from the entry host itself.

        `is_publisher` says whether this host passes it on to other control hosts.
        """
        state = self._merge_report(report, 0.0)
        if not is_publisher:
            state.is_published = False
            return
        self.version += 1
        state.mark_published(report, self.version)

    def expect(self, count: int) -> None:
        """Count at least `count` entry hosts for a while after this host's start."""
        self._expected = count

    def ready(self) -> list[EntryReport]:
        """Return the latest reports of entry hosts that callers may use."""
        return self._current_snapshot().ready

    def directory(self, zone: str) -> Directory:
        """Return the directory for callers in an availability zone."""
        snapshot = self._current_snapshot()
        known_zone = zone if zone in snapshot.zones else ""
        directory = snapshot.directories.get(known_zone)
        if directory is None:
            directory = Directory.from_reports(snapshot.ready, known_zone)
            snapshot.directories[known_zone] = directory
        return directory

    def log_contact_changes(self) -> None:
        """Log the entry hosts that lost or regained contact since the last call."""
        limit = self._now() - _SILENCE_SECONDS
        newest = {state.report.host: state for state in self._latest_incarnations()}
        connected = {name for name, state in newest.items() if state.heard_at >= limit}
        for name in sorted(connected ^ self._connected):
            if name not in newest:
                continue
            report = newest[name].report
            event = EntryContact(
                name, report.incarnation, report.zone, name in connected, len(connected)
            )
            logging.info("entries: %s", event)
        self._connected = connected

    def counts_of(self, window: int) -> dict[str, int]:
        """Return the requests that began to run in a usage window, by workspace."""
        totals: dict[str, int] = {}
        for state in self._all_incarnations():
            for name, count in state.report.windows.get(window, {}).items():
                totals[name] = totals.get(name, 0) + count
        return totals

    def count_reporting_incarnations(self, window: int) -> int:
        """Return how many incarnations counted requests in a usage window."""
        return sum(window in state.report.windows for state in self._all_incarnations())

    def work_of(self, service: str) -> ServiceWork:
        """Return the work that all entry hosts send to a service's upstreams."""
        limit = self._now() - _SILENCE_SECONDS
        works = [
            state.report.works.get(service, ServiceWork())
            for state in self._latest_incarnations()
            if state.heard_at >= limit
        ]
        return ServiceWork(
            sum(work.in_flight for work in works),
            sum(work.reading for work in works),
        )

    def messages_since(self, version: int) -> list[pb.EntryState]:
        """Return the reports that this host published after `version`."""
        self._forget_silent()
        now = self._now()
        return [
            state.changed_since(version).to_message(now - state.heard_at)
            for state in self._all_incarnations()
            if state.version > version
        ]

    def admitted_elsewhere(self, host: str) -> dict[str, int]:
        """Return the cost admitted by all entry hosts but `host`, by workspace."""
        totals = dict(self._admitted)
        for state in self._incarnations.get(host, ()):
            for workspace, count in state.report.admitted.items():
                totals[workspace] -= count
        return totals

    def _merge_report(self, report: EntryReport, age: float) -> _Incarnation:
        heard_at = self._now() - age
        state = self._find(report)
        if state is None:
            state = self._add(report, heard_at)
            before = {}
        else:
            before = state.report.admitted
            is_newer = heard_at >= state.heard_at
            if is_newer and _is_listed_differently(report, state.report):
                self._snapshot = None
            state.report = _merge(state.report, report, is_newer)
            state.heard_at = max(state.heard_at, heard_at)
        for workspace in report.admitted:
            increase = state.report.admitted[workspace] - before.get(workspace, 0)
            self._admitted[workspace] = self._admitted.get(workspace, 0) + increase
        return state

    def _find(self, report: EntryReport) -> _Incarnation | None:
        for state in self._incarnations.get(report.host, ()):
            if state.report.incarnation == report.incarnation:
                return state
        return None

    def _add(self, report: EntryReport, heard_at: float) -> _Incarnation:
        # Starts are ordered by this host's clock, as an entry host's may have jumped.
        state = _Incarnation(report, heard_at, heard_at - report.uptime)
        incarnations = self._incarnations.setdefault(report.host, [])
        incarnations.append(state)
        incarnations.sort(key=lambda each: each.started_at)
        self._snapshot = None
        return state

    def _latest_incarnations(self) -> list[_Incarnation]:
        """Return each entry host's latest incarnation."""
        return [incarnations[-1] for incarnations in self._incarnations.values()]

    def _all_incarnations(self) -> list[_Incarnation]:
        return [
            state
            for incarnations in self._incarnations.values()
            for state in incarnations
        ]

    def _current_snapshot(self) -> _Snapshot:
        now = self._now()
        if self._snapshot is None or now - self._snapshot.at >= _SNAPSHOT_SECONDS:
            self._snapshot = self._take_snapshot(now)
        return self._snapshot

    def _take_snapshot(self, now: float) -> _Snapshot:
        newest = self._latest_incarnations()
        heard = sum(state.heard_at >= now - _QUOTA_SHARE_SECONDS for state in newest)
        ready = [
            state.report
            for state in newest
            if state.heard_at >= now - _SILENCE_SECONDS and state.report.is_ready
        ]
        directories = {}
        if self._snapshot is not None and _have_same_directory(
            self._snapshot.ready, ready
        ):
            directories = self._snapshot.directories
        zones = frozenset(report.zone for report in ready)
        return _Snapshot(now, heard, ready, zones, directories)

    def _forget_silent(self) -> None:
        limit = self._now() - _FORGET_SECONDS
        for state in self._all_incarnations():
            if state.heard_at < limit:
                self._forget(state)

    def _forget(self, state: _Incarnation) -> None:
        for workspace, count in state.report.admitted.items():
            self._admitted[workspace] -= count
        incarnations = self._incarnations[state.report.host]
        incarnations.remove(state)
        if not incarnations:
            del self._incarnations[state.report.host]
        self._snapshot = None


def _is_listed_differently(one: EntryReport, other: EntryReport) -> bool:
    return (one.is_ready, one.is_cut_off) != (other.is_ready, other.is_cut_off)


def _have_same_directory(one: list[EntryReport], other: list[EntryReport]) -> bool:
    """Whether two lists of entry hosts result in the same directory.

    Most facts of a directory are fixed for an incarnation. Some become known later, as
    control hosts of earlier releases relay reports without them.
    """
    return [_listed_facts(each) for each in one] == [
        _listed_facts(each) for each in other
    ]


def _listed_facts(report: EntryReport) -> tuple[object, ...]:
    return (
        report.host,
        report.incarnation,
        report.capacity,
        report.is_cut_off,
        report.forward_address,
    )


def _merge(known: EntryReport, report: EntryReport, is_newer: bool) -> EntryReport:
    """Merge two reports of one incarnation: newer facts, highest counts."""
    windows = known.windows
    if report.windows:
        windows = dict(windows)
        for number, counts in report.windows.items():
            windows[number] = _highest(windows.get(number, {}), counts)
        windows = {
            number: windows[number] for number in sorted(windows)[-_KEPT_WINDOWS:]
        }
    return replace(
        report if is_newer else known,
        admitted=_highest(known.admitted, report.admitted),
        windows=windows,
        # Control hosts of earlier releases relay reports without these.
        capacity=max(known.capacity, report.capacity),
        forward_address=report.forward_address or known.forward_address,
    )


def _highest(one: dict[str, int], other: dict[str, int]) -> dict[str, int]:
    """Return the higher count of each workspace."""
    if not other:
        return one
    return one | {name: max(one.get(name, 0), count) for name, count in other.items()}
