"""All entry hosts that a control host knows of, by what they report."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace

from absl import logging

from pepperstep.coordination.directory import Directory
from pepperstep.coordination.records import EntryReport, ServiceWork
from pepperstep.observability.decisions import EntryContact
from pepperstep.proto import coordination_pb2 as pb

__all__ = ["EntryHostCatalog"]

# Entry hosts ask twice a second; one that missed two rounds is told of to callers
# no longer. In seconds. Callers keep an address for another 1.5 s or more, and
# what they send to a host without power meanwhile is lost.
_SILENCE_SECONDS = 1.1
# Time after which a silent entry host isn't counted among those that share
# quotas and budgets, in seconds: longer than any of their windows.
_SHARE_SECONDS = 15.0
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
_FORGET_SECONDS = 60.0
# Windows of the accounting that are kept for each entry host.
_KEPT_WINDOWS = 12
# Time between looks which entry hosts have gone silent, in seconds. One that says
# itself that it's ready or not counts at once.
_LOOK_SECONDS = 0.1


@dataclass(slots=True)
class _Life:
    """One life of an entry host, as this host knows it."""

    report: EntryReport
    # Monotonic time of its latest report.
    heard_at: float
    # Monotonic time of its start.
    started_at: float
    # Whether this host tells other control hosts of it.
    is_told: bool = False
    # Version of the book at the latest report to be told, 0 if there was none.
    version: int = 0
    # The same for each workspace's cost and each window that such a report held.
    admitted_versions: dict[str, int] = field(default_factory=dict)
    window_versions: dict[int, int] = field(default_factory=dict)

    def note_told(self, report: EntryReport, version: int) -> None:
        """Take in a report that other control hosts get as the book's `version`.

        The first one brings all that is known: they may not have it.
        """
        if not self.is_told:
            report = self.report
        self.is_told = True
        self.version = version
        self.admitted_versions |= dict.fromkeys(report.admitted, version)
        told = self.window_versions | dict.fromkeys(report.windows, version)
        kept = self.report.windows
        self.window_versions = {number: told[number] for number in told.keys() & kept}

    def changed_since(self, version: int) -> EntryReport:
        """Return the newest report with the counts told after `version` only."""
        report = self.report
        return replace(
            report,
            admitted={
                name: report.admitted[name]
                for name, told in self.admitted_versions.items()
                if told > version
            },
            windows={
                number: report.windows[number]
                for number, told in self.window_versions.items()
                if told > version
            },
        )


@dataclass(frozen=True, slots=True)
class _Look:
    """Which entry hosts are there, as of one time."""

    at: float
    count: int
    # The newest reports of those that callers may use, and their zones.
    ready: list[EntryReport]
    zones: frozenset[str]
    # Where callers connect, by their zone; "" for zones without an entry host.
    directories: dict[str, Directory] = field(default_factory=dict)


class EntryHostCatalog:
    """Lives of entry hosts, with what each has counted.

    `version` grows with each report of an entry host that has this host as its source.
    Other control hosts are told of these alone, and what changed since the version that
    they have. So each fact is told by one host, what control hosts exchange grows with
    what entry hosts count, and a question costs the same at any number of them.
    """

    def __init__(self, now: Callable[[], float]):
        self._now = now
        # Lives by host, the latest start last: counts of an ended life stay.
        self._lives: dict[str, list[_Life]] = {}
        # Cost that all lives have admitted, by workspace.
        self._admitted: dict[str, int] = {}
        # Entry hosts that were in contact when that was last looked at.
        self._in_contact: set[str] = set()
        # Entry hosts that were known before this host's start.
        self._expected = 0
        self._started_at = now()
        self._look: _Look | None = None
        self.version = 0

    @property
    def count(self) -> int:
        """Number of entry hosts that share what is allowed."""
        heard = self._look_around().count
        if self._now() - self._started_at < _EXPECT_SECONDS:
            return max(heard, self._expected)
        return heard

    @property
    def has_all_restarted(self) -> bool:
        """Whether all entry hosts known before this host's start have started anew.

        Then nothing was admitted since the lives before ended.
        """
        if self._now() - self._started_at > _RESTART_SECONDS:
            return False
        if not self._expected or len(self._lives) < self._expected:
            return False
        earliest = self._started_at - _RESTART_SLACK_SECONDS
        return all(life.started_at >= earliest for life in self._newest())

    def record_relayed(self, report: EntryReport, age: float = 0.0) -> None:
        """Take in a report that another control host got `age` seconds ago."""
        self._note(report, age)

    def record(self, report: EntryReport, is_source: bool) -> None:
        """Take in a report that has just come from the entry host itself.

        `is_source` says whether this host tells the other control hosts.
        """
        life = self._note(report, 0.0)
        if not is_source:
            life.is_told = False
            return
        self.version += 1
        life.note_told(report, self.version)

    def expect(self, count: int) -> None:
        """Count at least so many entry hosts in the next seconds."""
        self._expected = count

    def ready(self) -> list[EntryReport]:
        """Return the newest reports of entry hosts that callers may use."""
        return self._look_around().ready

    def directory(self, zone: str) -> Directory:
        """Return where callers of an availability zone connect."""
        look = self._look_around()
        known_zone = zone if zone in look.zones else ""
        directory = look.directories.get(known_zone)
        if directory is None:
            directory = Directory.from_reports(look.ready, known_zone)
            look.directories[known_zone] = directory
        return directory

    def log_contact_changes(self) -> None:
        """Log the entry hosts that were lost or found since the last call."""
        limit = self._now() - _SILENCE_SECONDS
        newest = {life.report.host: life for life in self._newest()}
        now = {name for name, life in newest.items() if life.heard_at >= limit}
        for name in sorted(now ^ self._in_contact):
            if name not in newest:
                continue
            report = newest[name].report
            event = EntryContact(
                name, report.incarnation, report.zone, name in now, len(now)
            )
            logging.info("entries: %s", event)
        self._in_contact = now

    def counts_of(self, window: int) -> dict[str, int]:
        """Return the requests that began to run in a window, by workspace."""
        totals: dict[str, int] = {}
        for life in self._all():
            for name, count in life.report.windows.get(window, {}).items():
                totals[name] = totals.get(name, 0) + count
        return totals

    def lives_counting(self, window: int) -> int:
        """Return how many lives of entry hosts have counted requests in a window."""
        return sum(window in life.report.windows for life in self._all())

    def work_of(self, service: str) -> ServiceWork:
        """Return the work that all entry hosts give a service's upstreams."""
        limit = self._now() - _SILENCE_SECONDS
        works = [
            life.report.works.get(service, ServiceWork())
            for life in self._newest()
            if life.heard_at >= limit
        ]
        return ServiceWork(
            sum(work.in_flight for work in works), sum(work.reading for work in works)
        )

    def messages_since(self, version: int) -> list[pb.EntryState]:
        """Return what entry hosts have told this host after a version of the book."""
        self._forget_silent()
        now = self._now()
        return [
            life.changed_since(version).to_message(now - life.heard_at)
            for life in self._all()
            if life.version > version
        ]

    def admitted_elsewhere(self, host: str) -> dict[str, int]:
        """Return the cost that all but one entry host have admitted, by workspace."""
        totals = dict(self._admitted)
        for life in self._lives.get(host, ()):
            for workspace, count in life.report.admitted.items():
                totals[workspace] -= count
        return totals

    def _note(self, report: EntryReport, age: float) -> _Life:
        heard_at = self._now() - age
        life = self._find(report)
        if life is None:
            life = self._add(report, heard_at)
            before = {}
        else:
            before = life.report.admitted
            is_newer = heard_at >= life.heard_at
            if is_newer and report.is_ready != life.report.is_ready:
                self._look = None
            life.report = _merge(life.report, report, is_newer)
            life.heard_at = max(life.heard_at, heard_at)
        for workspace in report.admitted:
            grown = life.report.admitted[workspace] - before.get(workspace, 0)
            self._admitted[workspace] = self._admitted.get(workspace, 0) + grown
        return life

    def _find(self, report: EntryReport) -> _Life | None:
        for life in self._lives.get(report.host, ()):
            if life.report.incarnation == report.incarnation:
                return life
        return None

    def _add(self, report: EntryReport, heard_at: float) -> _Life:
        # Lives are told apart by this host's clock: theirs may have jumped between.
        life = _Life(report, heard_at, heard_at - report.uptime)
        lives = self._lives.setdefault(report.host, [])
        lives.append(life)
        lives.sort(key=lambda each: each.started_at)
        self._look = None
        return life

    def _newest(self) -> list[_Life]:
        """Return each entry host's latest life."""
        return [lives[-1] for lives in self._lives.values()]

    def _all(self) -> list[_Life]:
        return [life for lives in self._lives.values() for life in lives]

    def _look_around(self) -> _Look:
        now = self._now()
        if self._look is None or now - self._look.at >= _LOOK_SECONDS:
            self._look = self._make_look(now)
        return self._look

    def _make_look(self, now: float) -> _Look:
        newest = self._newest()
        heard = sum(life.heard_at >= now - _SHARE_SECONDS for life in newest)
        ready = [
            life.report
            for life in newest
            if life.heard_at >= now - _SILENCE_SECONDS and life.report.is_ready
        ]
        directories = {}
        if self._look is not None and _name_the_same(self._look.ready, ready):
            directories = self._look.directories
        zones = frozenset(report.zone for report in ready)
        return _Look(now, heard, ready, zones, directories)

    def _forget_silent(self) -> None:
        limit = self._now() - _FORGET_SECONDS
        for life in self._all():
            if life.heard_at < limit:
                self._forget(life)

    def _forget(self, life: _Life) -> None:
        for workspace, count in life.report.admitted.items():
            self._admitted[workspace] -= count
        lives = self._lives[life.report.host]
        lives.remove(life)
        if not lives:
            del self._lives[life.report.host]
        self._look = None


def _name_the_same(one: list[EntryReport], other: list[EntryReport]) -> bool:
    """Whether two lists have the same lives of entry hosts."""
    return [(each.host, each.incarnation) for each in one] == [
        (each.host, each.incarnation) for each in other
    ]


def _merge(known: EntryReport, report: EntryReport, is_newer: bool) -> EntryReport:
    """Return the newer of two reports of one life, with the higher of each count."""
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
    )


def _highest(one: dict[str, int], other: dict[str, int]) -> dict[str, int]:
    """Return the higher count of each workspace."""
    if not other:
        return one
    return one | {name: max(one.get(name, 0), count) for name, count in other.items()}
