"""All upstreams that a host knows of, with the order in which they changed.

Announcements come over any control host, late, doubled and out of order. What
is known of one upstream only moves forward: a higher incarnation replaces a lower
one with all that was known of it, and within one a higher sequence a lower one,
while `is_leaving` and `is_gone` stay. An upstream's service doesn't change within
an incarnation: an announcement that says so is somebody else's.

What an upstream states in its answers has no sequence; the latest answer holds.

That nothing is heard of an upstream is no word of its own. It's kept apart, as
`silent`, and any later announcement takes it back.
"""

import math
from collections import OrderedDict
from collections.abc import Callable, Set
from dataclasses import dataclass, replace

import trio
from absl import logging

from pepperstep.coordination.records import Announcement, StatedLimit, UpstreamKey
from pepperstep.observability.decisions import UpstreamLimit, UpstreamState

__all__ = ["UpstreamCatalog"]

# Upstreams that are gone are remembered, so that a late announcement doesn't
# bring them back. 10,000 upstreams that are replaced once an hour leave
# 8,192 of these in 49 minutes; announcements are late by seconds.
_MAX_GONE = 8_192

# Who told what is known of an upstream, where it's no other host.
_ITSELF = "itself"

_SILENT = "silent"
# Where something was learned from, if no other host told of it.
_ANSWER = "answer"

# Called with what is known of an upstream.
Subscriber = Callable[[Announcement], None]


@dataclass(slots=True)
class _Entry:
    announcement: Announcement
    # Version of the book at the latest change.
    version: int
    # Monotonic time of the latest announcement, and the control host that it came to.
    heard_at: float
    heard_by: str
    # What its answers say of the requests that it takes, None if they say nothing.
    limit: StatedLimit | None = None


class UpstreamCatalog:
    """Upstreams by id; `version` grows with each change."""

    def __init__(self, now: Callable[[], float], name: str = ""):
        """Make an empty book; `name` is that of a control host, where it's one's."""
        self._now = now
        self._name = name
        self._entries: dict[str, _Entry] = {}
        self._gone: OrderedDict[str, None] = OrderedDict()
        # Monotonic time since which an upstream counts as silent.
        self._silent: dict[UpstreamKey, float] = {}
        # Those that take work, by service and then by id; each request asks for them.
        self._working: dict[str, list[_Entry]] = {}
        self._subscribers: list[Subscriber] = []
        self._restart_subscribers: list[Subscriber] = []
        self._forget_subscribers: list[Subscriber] = []
        self._changed = trio.Event()
        self.version = 0

    @property
    def silent(self) -> Set[UpstreamKey]:
        """Upstreams that count as silent."""
        return self._silent.keys()

    def subscribe(self, subscriber: Subscriber) -> None:
        """Call `subscriber` with each upstream of which something has changed."""
        self._subscribers.append(subscriber)

    def subscribe_restarts(self, subscriber: Subscriber) -> None:
        """Call `subscriber` with what was known of an upstream that started again."""
        self._restart_subscribers.append(subscriber)

    def subscribe_forgotten(self, subscriber: Subscriber) -> None:
        """Call `subscriber` with what was known of an upstream that is forgotten."""
        self._forget_subscribers.append(subscriber)

    def get(self, upstream: str) -> Announcement | None:
        """Return what is known of an upstream, None if nothing is."""
        entry = self._entries.get(upstream)
        return None if entry is None else entry.announcement

    def age(self, upstream: str) -> float:
        """Return the seconds since an upstream's latest announcement."""
        return self._now() - self._entries[upstream].heard_at

    def all(self) -> list[Announcement]:
        """Return all upstreams, those that are gone included, by id."""
        entries = sorted(self._entries.items())
        return [entry.announcement for _, entry in entries]

    def working(self, service: str) -> list[Announcement]:
        """Return the upstreams of `service` that take work and are heard of, by id."""
        entries = self._working.get(service)
        if entries is None:
            entries = [
                entry
                for entry in self._taking_work(service)
                if entry.announcement.key not in self._silent
            ]
            self._working[service] = entries
        return [entry.announcement for entry in entries]

    def usable(self, service: str) -> list[Announcement]:
        """Return the upstreams that a request may go to, by id.

        Where all of a service are silent, it's likelier that those who listen have a
        fault than that all have ended at once: then the silent ones are usable.
        """
        heard_of = self.working(service)
        if heard_of or not self._silent:
            return heard_of
        return [entry.announcement for entry in self._taking_work(service)]

    def limit_of(self, upstream: UpstreamKey) -> StatedLimit | None:
        """Return the limit that an upstream states, None if it states none now."""
        limit = self.latest_limit(upstream)
        return None if limit is None or limit.rate is None else limit

    def latest_limit(self, upstream: UpstreamKey) -> StatedLimit | None:
        """Return the same, also one that has ended; None if none was ever stated."""
        entry = self._find(upstream)
        return None if entry is None else entry.limit

    def limited_count(self) -> int:
        """Return how many upstreams state a limit."""
        keys = [entry.announcement.key for entry in self._entries.values()]
        return sum(self.limit_of(key) is not None for key in keys)

    def mark_leaving(self, upstream: UpstreamKey, told_by: str = _ANSWER) -> bool:
        """Take in that an upstream's answers say that it leaves.

        Return whether that's news.
        """
        entry = self._find(upstream)
        if entry is None or not entry.announcement.takes_work:
            return False
        leaving = replace(entry.announcement, is_leaving=True)
        self._put(replace(entry, announcement=leaving), told_by)
        return True

    def record_limit(
        self, upstream: UpstreamKey, limit: StatedLimit, told_by: str = _ANSWER
    ) -> bool:
        """Take in a stated limit, and return whether it differs from the known one.

        The latest statement holds, whichever comes first.
        """
        entry = self._find(upstream)
        if entry is None:
            return False
        known = entry.limit
        if known is not None and limit.stated_at <= known.stated_at:
            return False
        entry.limit = limit
        rate_before = None if known is None else known.rate
        if limit.rate == rate_before:
            return False
        self._log_limit(entry, rate_before, told_by)
        self._note_change(entry)
        return True

    def heard_by(self, upstream: str) -> str:
        """Return the control host that an upstream's latest announcement came to."""
        return self._entries[upstream].heard_by

    def unheard_since(self, limit: Callable[[str], float]) -> set[UpstreamKey]:
        """Return the upstreams of which nothing was heard since a monotonic time.

        `limit` gives it by the control host that the latest announcement came to.
        """
        return {
            entry.announcement.key
            for entry in self._entries.values()
            if entry.heard_at < limit(entry.heard_by) and not entry.announcement.is_gone
        }

    async def wait_change(self) -> None:
        """Return at the next change."""
        await self._changed.wait()

    def changed_since(self, version: int) -> list[tuple[Announcement, float]]:
        """Return what changed after `version`, each with its age in seconds."""
        now = self._now()
        return [
            (entry.announcement, now - entry.heard_at)
            for entry in self._entries.values()
            if entry.version > version
        ]

    def working_count(self) -> int:
        """Return how many upstreams of all services take work."""
        return sum(
            entry.announcement.takes_work and entry.announcement.key not in self._silent
            for entry in self._entries.values()
        )

    def record(
        self,
        announcement: Announcement,
        age: float = 0.0,
        told_by: str = _ITSELF,
        heard_by: str = "",
    ) -> bool:
        """Take in an announcement and return whether it changed anything.

        `told_by` names the host that passed it on, for the log; `heard_by` the control
        host that it came to, this one without any.
        """
        known = self._entries.get(announcement.id)
        heard_at = self._now() - age
        heard_by = heard_by or self._name
        if known is None:
            entry = _Entry(announcement, self.version, heard_at, heard_by)
            self._put(entry, told_by)
            return True
        if announcement.incarnation > known.announcement.incarnation:
            entry = _Entry(announcement, self.version, heard_at, heard_by)
            self._restart(known.announcement, entry, told_by)
            return True
        if _is_foreign(known.announcement, announcement):
            return False
        if heard_at > known.heard_at:
            known.heard_at, known.heard_by = heard_at, heard_by
        if heard_at > self._silent.get(announcement.key, math.inf):
            self._note_silence(known, False, told_by)
        merged = _merge(known.announcement, announcement)
        if _says_the_same(merged, known.announcement):
            known.announcement = merged
            return False
        entry = replace(known, announcement=merged)
        self._put(entry, told_by)
        return True

    def mark_gone(
        self, upstream: str, incarnation: int | None = None, told_by: str = _ITSELF
    ) -> None:
        """Take in that a start of an upstream is gone, known or not.

        Without an incarnation, it's the latest that is known.
        """
        known = self.get(upstream)
        age = 0.0 if known is None else self.age(upstream)
        if known is None:
            known = Announcement(upstream, service="", address="", zone="")
        if incarnation is None:
            incarnation = known.incarnation
        if incarnation > known.incarnation:
            known = replace(known, incarnation=incarnation, sequence=0)
        if incarnation == known.incarnation:
            self.record(replace(known, is_gone=True), age, told_by)

    def mark_silent(self, upstream: UpstreamKey, age: float, told_by: str) -> None:
        """Take in that a host whose latest word of an upstream is so old misses it.

        A host that has heard of the upstream since then knows better.
        """
        entry = self._find(upstream)
        if entry is None:
            return
        is_news = upstream not in self._silent and not entry.announcement.is_gone
        if is_news and entry.heard_at <= self._now() - age:
            self._note_silence(entry, True, told_by)

    def set_silent(self, silent: Set[UpstreamKey], told_by: str) -> None:
        """Let just these upstreams count as silent, and the others as heard of."""
        for key in sorted(silent ^ self.silent):
            entry = self._find(key)
            if entry is not None:
                self._note_silence(entry, key in silent, told_by)

    def forget_silent(self, seconds: float) -> None:
        """Forget the upstreams that have counted as silent for longer.

        One that announces itself after that is a new one.
        """
        limit = self._now() - seconds
        for key, since in list(self._silent.items()):
            if since < limit:
                self._forget(key)

    def _restart(self, before: Announcement, entry: _Entry, told_by: str) -> None:
        """Take in an upstream's later start, and drop what was known before."""
        announcement = entry.announcement
        logging.info(
            "book: Upstream %s has started again, incarnation %d after %d.",
            announcement.id,
            announcement.incarnation,
            before.incarnation,
        )
        self._gone.pop(announcement.id, None)
        self._put(entry, told_by)
        self._silent.pop(before.key, None)
        for subscriber in self._restart_subscribers:
            subscriber(before)

    def _forget(self, upstream: UpstreamKey) -> None:
        del self._silent[upstream]
        entry = self._entries.pop(upstream[0])
        logging.info("book: Upstream %s is forgotten after a long silence.", upstream)
        self._working.clear()
        for subscriber in self._forget_subscribers:
            subscriber(entry.announcement)

    def _put(self, entry: _Entry, told_by: str) -> None:
        announcement = entry.announcement
        before = self.get(announcement.id)
        state_before = "" if before is None else self._state_of(before)
        self._entries[announcement.id] = entry
        if announcement.is_gone:
            self._silent.pop(announcement.key, None)
            self._remember_gone(announcement.id)
        self._note_change(entry)
        is_same_life = before is not None and before.key == announcement.key
        if not is_same_life or state_before != self._state_of(announcement):
            self._log_state(announcement, state_before, told_by)

    def _note_silence(self, entry: _Entry, is_silent: bool, told_by: str) -> None:
        upstream = entry.announcement
        state_before = self._state_of(upstream)
        if is_silent:
            self._silent[upstream.key] = self._now()
        else:
            self._silent.pop(upstream.key, None)
        self._note_change(entry)
        self._log_state(upstream, state_before, told_by)

    def _note_change(self, entry: _Entry) -> None:
        self.version += 1
        entry.version = self.version
        self._working.clear()
        self._changed.set()
        self._changed = trio.Event()
        for subscriber in self._subscribers:
            subscriber(entry.announcement)

    def _find(self, upstream: UpstreamKey) -> _Entry | None:
        """Return what is known of one start of an upstream, None if it isn't known."""
        entry = self._entries.get(upstream[0])
        if entry is None or entry.announcement.key != upstream:
            return None
        return entry

    def _taking_work(self, service: str) -> list[_Entry]:
        """Return the upstreams of `service` that take work, silent or not, by id."""
        return [
            entry
            for _, entry in sorted(self._entries.items())
            if entry.announcement.service == service and entry.announcement.takes_work
        ]

    def _state_of(self, upstream: Announcement) -> str:
        if upstream.is_gone:
            return "gone"
        if upstream.key in self._silent:
            return _SILENT
        return "leaving" if upstream.is_leaving else "working"

    def _log_state(self, now: Announcement, state_before: str, told_by: str) -> None:
        event = UpstreamState(
            upstream=now.id,
            incarnation=now.incarnation,
            service=now.service,
            state=self._state_of(now),
            state_before=state_before,
            told_by=told_by,
            announcement=now.sequence,
            announced_ms_ago=round(1000 * self.age(now.id)),
            upstreams_version=self.version,
        )
        logging.info("book: %s", event)

    def _log_limit(
        self, entry: _Entry, rate_before: float | None, told_by: str
    ) -> None:
        upstream = entry.announcement
        event = UpstreamLimit(
            upstream=upstream.id,
            incarnation=upstream.incarnation,
            service=upstream.service,
            limit=entry.limit.rate,
            limit_before=rate_before,
            told_by=told_by,
            stated_ms_ago=round(1000 * (self._now() - entry.limit.stated_at)),
        )
        logging.info("book: %s", event)

    def _remember_gone(self, upstream: str) -> None:
        self._gone[upstream] = None
        while len(self._gone) > _MAX_GONE:
            oldest, _ = self._gone.popitem(last=False)
            self._entries.pop(oldest, None)


def _is_foreign(known: Announcement, heard: Announcement) -> bool:
    """Whether an announcement isn't of the incarnation and service that are known."""
    if heard.incarnation < known.incarnation:
        return True
    has_both = bool(known.service and heard.service)
    return has_both and heard.service != known.service


def _merge(known: Announcement, heard: Announcement) -> Announcement:
    newer = heard if heard.sequence > known.sequence else known
    if not newer.address:
        # Only its end was heard of until now.
        newer = heard if heard.address else known
    return replace(
        newer,
        is_leaving=known.is_leaving or heard.is_leaving,
        is_gone=known.is_gone or heard.is_gone,
    )


def _says_the_same(one: Announcement, other: Announcement) -> bool:
    """Whether two announcements differ in their number at most."""
    return replace(one, sequence=0, warmup=0.0, leaves_in=0.0) == replace(
        other, sequence=0, warmup=0.0, leaves_in=0.0
    )
