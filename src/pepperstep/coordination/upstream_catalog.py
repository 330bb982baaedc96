"""The upstreams that a host knows, with a version for each change.

Announcements arrive through any control host, late, duplicated and out of order. So
merging them is monotonic: a higher incarnation replaces a lower one with all its
state, a higher sequence replaces a lower one of the same incarnation, and `is_leaving`
and `is_gone` are never reset within an incarnation. The service is fixed for an
incarnation: an announcement with another one has a different sender and is ignored.

The limit that an upstream states in its answers has no sequence; the latest one holds.

An upstream without recent announcements is marked `silent`. That is this host's
observation and no statement of the upstream, and the next announcement clears it.
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

# Gone upstreams are kept, so that a late announcement doesn't restore them. With 10,000
# upstreams that are replaced once an hour, 8,192 of them span 49 minutes; announcements
# are late by seconds.
_MAX_GONE_UPSTREAMS = 8_192

# Source of a change, for the log: an announcement that came to this host directly.
_SOURCE_ITSELF = "itself"

_SILENT = "silent"
# Source of a change, for the log: an upstream's answer to a request of this host.
_SOURCE_ANSWER = "answer"

# Called with the current announcement of an upstream.
Subscriber = Callable[[Announcement], None]


@dataclass(slots=True)
class _Entry:
    announcement: Announcement
    # Version of the catalog at the latest change.
    version: int
    # Monotonic time of the latest announcement, and the control host that received it.
    heard_at: float
    heard_by: str
    # Limit that the upstream's answers state, None before the first statement.
    limit: StatedLimit | None = None


class UpstreamCatalog:
    """Upstreams by id; `version` grows with each change."""

    def __init__(self, now: Callable[[], float], name: str = ""):
        """Create an empty catalog; `name` is this host's name on control hosts."""
        self._now = now
        self._name = name
        self._entries: dict[str, _Entry] = {}
        self._gone: OrderedDict[str, None] = OrderedDict()
        # Monotonic time at which each silent upstream was marked.
        self._silent: dict[UpstreamKey, float] = {}
        # Cache of `working` by service, sorted by id, as each request reads it.
        self._working: dict[str, list[_Entry]] = {}
        self._subscribers: list[Subscriber] = []
        self._restart_subscribers: list[Subscriber] = []
        self._forget_subscribers: list[Subscriber] = []
        self._changed = trio.Event()
        self.version = 0

    @property
    def silent(self) -> Set[UpstreamKey]:
        """Upstreams that are marked silent."""
        return self._silent.keys()

    def subscribe(self, subscriber: Subscriber) -> None:
        """Call `subscriber` with each upstream that changes."""
        self._subscribers.append(subscriber)

    def subscribe_restarts(self, subscriber: Subscriber) -> None:
        """Call `subscriber` with the last announcement before an upstream's restart."""
        self._restart_subscribers.append(subscriber)

    def subscribe_forgotten(self, subscriber: Subscriber) -> None:
        """Call `subscriber` with the last announcement of each upstream removed."""
        self._forget_subscribers.append(subscriber)

    def get(self, upstream: str) -> Announcement | None:
        """Return the current announcement of an upstream, None if it's unknown."""
        entry = self._entries.get(upstream)
        return None if entry is None else entry.announcement

    def age(self, upstream: str) -> float:
        """Return the seconds since an upstream's latest announcement."""
        return self._now() - self._entries[upstream].heard_at

    def all(self) -> list[Announcement]:
        """Return all upstreams by id, including the gone ones."""
        entries = sorted(self._entries.items())
        return [entry.announcement for _, entry in entries]

    def working(self, service: str) -> list[Announcement]:
        """Return the upstreams of `service` that take work and aren't silent, by id."""
        entries = self._working.get(service)
        if entries is None:
            entries = [
                entry
                for entry in self._accepting_work(service)
                if entry.announcement.key not in self._silent
            ]
            self._working[service] = entries
        return [entry.announcement for entry in entries]

    def usable(self, service: str) -> list[Announcement]:
        """Return the upstreams of `service` that a request may be sent to, by id.

        If all of them are silent, the silent ones are usable: a fault of the control
        hosts is more likely than the end of all upstreams at once.
        """
        heard = self.working(service)
        if heard or not self._silent:
            return heard
        return [entry.announcement for entry in self._accepting_work(service)]

    def limit_of(self, upstream: UpstreamKey) -> StatedLimit | None:
        """Return the limit in force at an upstream, None if there is none."""
        limit = self.latest_limit(upstream)
        return None if limit is None or limit.rate is None else limit

    def latest_limit(self, upstream: UpstreamKey) -> StatedLimit | None:
        """Return the latest limit stated, also a lifted one, None if there is none."""
        entry = self._entry_of(upstream)
        return None if entry is None else entry.limit

    def limited_count(self) -> int:
        """Return how many upstreams have a limit in force."""
        keys = [entry.announcement.key for entry in self._entries.values()]
        return sum(self.limit_of(key) is not None for key in keys)

    def mark_leaving(
        self, upstream: UpstreamKey, told_by: str = _SOURCE_ANSWER
    ) -> bool:
        """Record that an upstream's answer says that it leaves.

        Return whether this changed its state.
        """
        entry = self._entry_of(upstream)
        if entry is None or not entry.announcement.takes_work:
            return False
        leaving = replace(entry.announcement, is_leaving=True)
        self._replace_entry(replace(entry, announcement=leaving), told_by)
        return True

    def record_limit(
        self, upstream: UpstreamKey, limit: StatedLimit, told_by: str = _SOURCE_ANSWER
    ) -> bool:
        """Record a stated limit and return whether its rate changed.

        The statement with the latest time holds, in whatever order they arrive.
        """
        entry = self._entry_of(upstream)
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
        self._publish_change(entry)
        return True

    def heard_by(self, upstream: str) -> str:
        """Return the control host that received an upstream's latest announcement."""
        return self._entries[upstream].heard_by

    def unheard_since(self, limit: Callable[[str], float]) -> set[UpstreamKey]:
        """Return the upstreams whose latest announcement is older than a limit.

        `limit` gives the monotonic time for the control host that received it. Gone
        upstreams are left out.
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
        """Return the changes after `version`, each with its age in seconds."""
        now = self._now()
        return [
            (entry.announcement, now - entry.heard_at)
            for entry in self._entries.values()
            if entry.version > version
        ]

    def working_count(self) -> int:
        """Return how many upstreams of all services take work and aren't silent."""
        return sum(
            entry.announcement.takes_work and entry.announcement.key not in self._silent
            for entry in self._entries.values()
        )

    def record(
        self,
        announcement: Announcement,
        age: float = 0.0,
        told_by: str = _SOURCE_ITSELF,
        heard_by: str = "",
    ) -> bool:
        """Merge an announcement and return whether it changed anything.

        `age` is in seconds. `told_by` names the host that relayed it, for the log;
        `heard_by` names the control host that received it, by default this one.
        """
        known = self._entries.get(announcement.id)
        heard_at = self._now() - age
        heard_by = heard_by or self._name
        if known is None:
            entry = _Entry(announcement, self.version, heard_at, heard_by)
            self._replace_entry(entry, told_by)
            return True
        if announcement.incarnation > known.announcement.incarnation:
            entry = _Entry(announcement, self.version, heard_at, heard_by)
            self._replace_incarnation(known.announcement, entry, told_by)
            return True
        if _is_rejected(known.announcement, announcement):
            return False
        if heard_at > known.heard_at:
            known.heard_at, known.heard_by = heard_at, heard_by
        if heard_at > self._silent.get(announcement.key, math.inf):
            self._set_silence(known, False, told_by)
        merged = _merge(known.announcement, announcement)
        if _equal_but_for_sequence(merged, known.announcement):
            known.announcement = merged
            return False
        entry = replace(known, announcement=merged)
        self._replace_entry(entry, told_by)
        return True

    def mark_gone(
        self,
        upstream: str,
        incarnation: int | None = None,
        told_by: str = _SOURCE_ITSELF,
    ) -> None:
        """Mark an incarnation of an upstream as gone, even if it's unknown.

        Without `incarnation`, mark the latest known one.
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
        """Mark an upstream silent on the report of another host.

        `age` is the age in seconds of the latest announcement that the other host has.
        The report is ignored if this host has a later one.
        """
        entry = self._entry_of(upstream)
        if entry is None:
            return
        is_new = upstream not in self._silent and not entry.announcement.is_gone
        if is_new and entry.heard_at <= self._now() - age:
            self._set_silence(entry, True, told_by)

    def set_silent(self, silent: Set[UpstreamKey], told_by: str) -> None:
        """Mark exactly these upstreams as silent."""
        for key in sorted(silent ^ self.silent):
            entry = self._entry_of(key)
            if entry is not None:
                self._set_silence(entry, key in silent, told_by)

    def forget_silent(self, seconds: float) -> None:
        """Remove the upstreams that were marked silent more than `seconds` ago.

        A later announcement adds the upstream anew.
        """
        limit = self._now() - seconds
        for key, since in list(self._silent.items()):
            if since < limit:
                self._forget(key)

    def _replace_incarnation(
        self, before: Announcement, entry: _Entry, told_by: str
    ) -> None:
        """Replace an upstream's state by that of a later incarnation."""
        announcement = entry.announcement
        logging.info(
            "book: Upstream %s restarted: incarnation %d replaces %d.",
            announcement.id,
            announcement.incarnation,
            before.incarnation,
        )
        self._gone.pop(announcement.id, None)
        self._replace_entry(entry, told_by)
        self._silent.pop(before.key, None)
        for subscriber in self._restart_subscribers:
            subscriber(before)

    def _forget(self, upstream: UpstreamKey) -> None:
        del self._silent[upstream]
        entry = self._entries.pop(upstream[0])
        logging.info("book: Removed upstream %s after a long silence.", upstream)
        self._working.clear()
        for subscriber in self._forget_subscribers:
            subscriber(entry.announcement)

    def _replace_entry(self, entry: _Entry, told_by: str) -> None:
        announcement = entry.announcement
        before = self.get(announcement.id)
        state_before = "" if before is None else self._state(before)
        self._entries[announcement.id] = entry
        if announcement.is_gone:
            self._silent.pop(announcement.key, None)
            self._keep_gone(announcement.id)
        self._publish_change(entry)
        is_same_incarnation = before is not None and before.key == announcement.key
        if not is_same_incarnation or state_before != self._state(announcement):
            self._log_state(announcement, state_before, told_by)

    def _set_silence(self, entry: _Entry, is_silent: bool, told_by: str) -> None:
        upstream = entry.announcement
        state_before = self._state(upstream)
        if is_silent:
            self._silent[upstream.key] = self._now()
        else:
            self._silent.pop(upstream.key, None)
        self._publish_change(entry)
        self._log_state(upstream, state_before, told_by)

    def _publish_change(self, entry: _Entry) -> None:
        self.version += 1
        entry.version = self.version
        self._working.clear()
        self._changed.set()
        self._changed = trio.Event()
        for subscriber in self._subscribers:
            subscriber(entry.announcement)

    def _entry_of(self, upstream: UpstreamKey) -> _Entry | None:
        """Return the entry of one incarnation of an upstream, None if it's unknown."""
        entry = self._entries.get(upstream[0])
        if entry is None or entry.announcement.key != upstream:
            return None
        return entry

    def _accepting_work(self, service: str) -> list[_Entry]:
        """Return the upstreams of `service` that take work, silent or not, by id."""
        return [
            entry
            for _, entry in sorted(self._entries.items())
            if entry.announcement.service == service and entry.announcement.takes_work
        ]

    def _state(self, upstream: Announcement) -> str:
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
            state=self._state(now),
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

    def _keep_gone(self, upstream: str) -> None:
        self._gone[upstream] = None
        while len(self._gone) > _MAX_GONE_UPSTREAMS:
            oldest, _ = self._gone.popitem(last=False)
            self._entries.pop(oldest, None)


def _is_rejected(known: Announcement, heard: Announcement) -> bool:
    """Whether an announcement has an earlier incarnation or a different service."""
    if heard.incarnation < known.incarnation:
        return True
    has_both = bool(known.service and heard.service)
    return has_both and heard.service != known.service


def _merge(known: Announcement, heard: Announcement) -> Announcement:
    newer = heard if heard.sequence > known.sequence else known
    if not newer.address:
        # Only the upstream's end was known, without its address.
        newer = heard if heard.address else known
    return replace(
        newer,
        is_leaving=known.is_leaving or heard.is_leaving,
        is_gone=known.is_gone or heard.is_gone,
    )


def _equal_but_for_sequence(one: Announcement, other: Announcement) -> bool:
    """Whether announcements differ only in sequence, warmup and time to leave."""
    return replace(one, sequence=0, warmup=0.0, leaves_in=0.0) == replace(
        other, sequence=0, warmup=0.0, leaves_in=0.0
    )
