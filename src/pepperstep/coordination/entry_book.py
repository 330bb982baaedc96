"""All entry hosts that a control host knows of, by what they report."""

from collections.abc import Callable
from dataclasses import dataclass, replace

from absl import logging

from pepperstep.coordination.records import EntryReport, ServiceWork
from pepperstep.observability.decisions import EntryContact
from pepperstep.proto import coordination_pb2 as pb

__all__ = ["EntryBook"]

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


@dataclass(slots=True)
class _Life:
    """One life of an entry host, as this host knows it."""

    report: EntryReport
    # Monotonic time of its latest report.
    heard_at: float
    # Monotonic time of its start.
    started_at: float


class EntryBook:
    """Lives of entry hosts, with what each has counted."""

    def __init__(self, now: Callable[[], float]):
        self._now = now
        # By name and incarnation, so that counts of an ended life stay.
        self._lives: dict[tuple[str, int], _Life] = {}
        # Entry hosts that were in contact when that was last looked at.
        self._in_contact: set[str] = set()
        # Entry hosts that were known before this host's start.
        self._expected = 0
        self._started_at = now()

    @property
    def count(self) -> int:
        """Number of entry hosts that share what is allowed."""
        limit = self._now() - _SHARE_SECONDS
        lives = self._newest_lives().values()
        heard = sum(entry.heard_at >= limit for entry in lives)
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
        lives = self._newest_lives().values()
        if not self._expected or len(lives) < self._expected:
            return False
        earliest = self._started_at - _RESTART_SLACK_SECONDS
        return all(entry.started_at >= earliest for entry in lives)

    def note(self, report: EntryReport, age: float) -> None:
        """Take in a report that is `age` seconds old."""
        key = (report.host, report.incarnation)
        heard_at = self._now() - age
        known = self._lives.get(key)
        if known is None:
            started_at = heard_at - report.uptime
            self._lives[key] = _Life(report, heard_at, started_at)
            return
        is_newer = heard_at >= known.heard_at
        known.report = _merge(known.report, report, is_newer)
        known.heard_at = max(known.heard_at, heard_at)

    def expect(self, count: int) -> None:
        """Count at least so many entry hosts in the next seconds."""
        self._expected = count

    def ready(self) -> list[EntryReport]:
        """Return the newest reports of entry hosts that callers may use."""
        limit = self._now() - _SILENCE_SECONDS
        newest = self._newest_lives()
        return [
            entry.report
            for entry in newest.values()
            if entry.heard_at >= limit and entry.report.is_ready
        ]

    def note_contacts(self) -> None:
        """Log the entry hosts that were lost or found since the last call."""
        limit = self._now() - _SILENCE_SECONDS
        newest = self._newest_lives()
        now = {name for name, entry in newest.items() if entry.heard_at >= limit}
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
        for entry in self._lives.values():
            for name, count in entry.report.windows.get(window, {}).items():
                totals[name] = totals.get(name, 0) + count
        return totals

    def lives_counting(self, window: int) -> int:
        """Return how many lives of entry hosts have counted requests in a window."""
        return sum(window in entry.report.windows for entry in self._lives.values())

    def work_of(self, service: str) -> ServiceWork:
        """Return the work that all entry hosts give a service's upstreams."""
        limit = self._now() - _SILENCE_SECONDS
        works = [
            entry.report.works.get(service, ServiceWork())
            for entry in self._newest_lives().values()
            if entry.heard_at >= limit
        ]
        return ServiceWork(
            sum(work.in_flight for work in works), sum(work.reading for work in works)
        )

    def messages(self) -> list[pb.EntryState]:
        """Return reports that are new enough to count for somebody."""
        self._forget_silent()
        now = self._now()
        return [
            entry.report.to_message(now - entry.heard_at)
            for entry in self._lives.values()
        ]

    def admitted_besides(self, host: str) -> dict[str, int]:
        """Return the cost that all but one entry host have admitted, by workspace."""
        totals: dict[str, int] = {}
        for (name, _), entry in self._lives.items():
            if name == host:
                continue
            for workspace, count in entry.report.admitted.items():
                totals[workspace] = totals.get(workspace, 0) + count
        return totals

    def _newest_lives(self) -> dict[str, _Life]:
        newest: dict[str, _Life] = {}
        for (name, _), entry in sorted(self._lives.items(), key=_by_start):
            newest[name] = entry
        return newest

    def _forget_silent(self) -> None:
        limit = self._now() - _FORGET_SECONDS
        for key, entry in list(self._lives.items()):
            if entry.heard_at < limit:
                del self._lives[key]


def _by_start(item: tuple[tuple[str, int], _Life]) -> float:
    """Order lives by this host's clock: theirs may have jumped between two starts."""
    return item[1].started_at


def _merge(known: EntryReport, report: EntryReport, is_newer: bool) -> EntryReport:
    """Return the newer of two reports of one life, with the higher of each count."""
    windows = dict(known.windows)
    for number, counts in report.windows.items():
        windows[number] = _highest(windows.get(number, {}), counts)
    newest = sorted(windows)[-_KEPT_WINDOWS:]
    return replace(
        report if is_newer else known,
        admitted=_highest(known.admitted, report.admitted),
        windows={number: windows[number] for number in newest},
    )


def _highest(one: dict[str, int], other: dict[str, int]) -> dict[str, int]:
    """Return the higher count of each workspace."""
    names = one.keys() | other.keys()
    return {name: max(one.get(name, 0), other.get(name, 0)) for name in sorted(names)}
