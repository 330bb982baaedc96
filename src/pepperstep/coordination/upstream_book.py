"""All upstreams that a host knows of, with the order in which they changed.

Announcements come over any control host, late, doubled and out of order. What
is known of one upstream only moves forward: a higher incarnation replaces a lower
one with all that was known of it, and within one a higher sequence a lower one,
while `is_leaving` and `is_gone` stay. An upstream's service doesn't change within
an incarnation: an announcement that says so is somebody else's.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, replace

import trio
from absl import logging

from pepperstep.coordination.records import Announcement
from pepperstep.observability.decisions import UpstreamState

__all__ = ["UpstreamBook"]

# Upstreams that are gone are remembered, so that a late announcement doesn't
# bring them back. 10,000 upstreams that are replaced once an hour leave
# 8,192 of these in 49 minutes; announcements are late by seconds.
_MAX_GONE = 8_192

# Who told what is known of an upstream, where it's no other host.
_ITSELF = "itself"
_SILENCE = "silence"

# Called with what is known of an upstream.
Subscriber = Callable[[Announcement], None]


@dataclass(slots=True)
class _Entry:
    announcement: Announcement
    # Version of the book at the latest change.
    version: int
    # Monotonic time of the latest announcement.
    heard_at: float


class UpstreamBook:
    """Upstreams by id; `version` grows with each change."""

    def __init__(self, now: Callable[[], float]):
        self._now = now
        self._entries: dict[str, _Entry] = {}
        self._gone: OrderedDict[str, None] = OrderedDict()
        # Those that take work, by service and then by id; each request asks for them.
        self._working: dict[str, list[_Entry]] = {}
        self._subscribers: list[Subscriber] = []
        self._restart_subscribers: list[Subscriber] = []
        self._changed = trio.Event()
        self.version = 0

    def subscribe(self, subscriber: Subscriber) -> None:
        """Call `subscriber` with each announcement that changes something."""
        self._subscribers.append(subscriber)

    def subscribe_restarts(self, subscriber: Subscriber) -> None:
        """Call `subscriber` with what was known of an upstream that started again."""
        self._restart_subscribers.append(subscriber)

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
        """Return the upstreams of `service` that take work, by id."""
        entries = self._working.get(service)
        if entries is None:
            known = sorted(self._entries.items())
            entries = [
                entry
                for _, entry in known
                if entry.announcement.service == service
                and entry.announcement.takes_work
            ]
            self._working[service] = entries
        return [entry.announcement for entry in entries]

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
        return sum(each.announcement.takes_work for each in self._entries.values())

    def note(
        self, announcement: Announcement, age: float = 0.0, told_by: str = _ITSELF
    ) -> bool:
        """Take in an announcement and return whether it changed anything.

        `told_by` names the host that passed it on, for the log.
        """
        known = self._entries.get(announcement.id)
        heard_at = self._now() - age
        if known is None:
            self._put(announcement, heard_at, told_by)
            return True
        if announcement.incarnation > known.announcement.incarnation:
            self._restart(known.announcement, announcement, heard_at, told_by)
            return True
        if _is_foreign(known.announcement, announcement):
            return False
        known.heard_at = max(known.heard_at, heard_at)
        merged = _merge(known.announcement, announcement)
        if _says_the_same(merged, known.announcement):
            known.announcement = merged
            return False
        self._put(merged, known.heard_at, told_by)
        return True

    def note_gone(
        self, upstream: str, incarnation: int | None = None, told_by: str = _ITSELF
    ) -> None:
        """Take in that an upstream is gone, known or not.

        Without an incarnation, it's the latest that is known.
        """
        known = self.get(upstream)
        age = 0.0
        if known is None:
            known = Announcement(upstream, service="", address="", zone="")
        else:
            age = self.age(upstream)
        if incarnation is None or incarnation == known.incarnation:
            self.note(replace(known, is_gone=True), age, told_by)

    def forget_silent(self, seconds: float) -> None:
        """Count upstreams as gone that were silent for longer."""
        limit = self._now() - seconds
        for entry in list(self._entries.values()):
            if entry.heard_at < limit and not entry.announcement.is_gone:
                self.note_gone(entry.announcement.id, told_by=_SILENCE)

    def _restart(
        self,
        before: Announcement,
        announcement: Announcement,
        heard_at: float,
        told_by: str,
    ) -> None:
        """Take in an upstream's later start, and drop what was known before."""
        logging.info(
            "book: Upstream %s has started again, incarnation %d after %d.",
            announcement.id,
            announcement.incarnation,
            before.incarnation,
        )
        self._gone.pop(announcement.id, None)
        self._put(announcement, heard_at, told_by)
        for subscriber in self._restart_subscribers:
            subscriber(before)

    def _put(self, announcement: Announcement, heard_at: float, told_by: str) -> None:
        before = self.get(announcement.id)
        self.version += 1
        self._working.clear()
        self._entries[announcement.id] = _Entry(announcement, self.version, heard_at)
        self._log_change(before, announcement, told_by)
        if announcement.is_gone:
            self._remember_gone(announcement.id)
        self._changed.set()
        self._changed = trio.Event()
        for subscriber in self._subscribers:
            subscriber(announcement)

    def _log_change(
        self, before: Announcement | None, now: Announcement, told_by: str
    ) -> None:
        state_before = "" if before is None else _state_of(before)
        is_same_life = before is not None and before.key == now.key
        if is_same_life and state_before == _state_of(now):
            return
        event = UpstreamState(
            upstream=now.id,
            incarnation=now.incarnation,
            service=now.service,
            state=_state_of(now),
            state_before=state_before,
            told_by=told_by,
            announcement=now.sequence,
            announced_ms_ago=round(1000 * self.age(now.id)),
            upstreams_version=self.version,
        )
        logging.info("book: %s", event)

    def _remember_gone(self, upstream: str) -> None:
        self._gone[upstream] = None
        while len(self._gone) > _MAX_GONE:
            oldest, _ = self._gone.popitem(last=False)
            self._entries.pop(oldest, None)


def _state_of(announcement: Announcement) -> str:
    if announcement.is_gone:
        return "gone"
    return "leaving" if announcement.is_leaving else "working"


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
