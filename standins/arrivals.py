"""Requests as they arrive at upstreams, and the bounds on how often they may."""

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field

from standins.retry_rule import RetryRule

__all__ = ["Arrival", "ArrivalLog", "Sending"]

# Number of upstreams that a content may crash, after which it may come again this often
# once hosts have had this many seconds to learn of it.
_MAX_CRASHES = 3
_MAX_LATE_RETRIES = 3
_CONTACT_SECONDS = 3.0
# Tolerated excess of the time that an upstream is given, in seconds.
_TIME_SLACK_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class Sending:
    """An attempt of a caller."""

    attempt_id: bytes
    service: str
    time: float
    # Seconds for which the caller waits.
    wait: float
    max_attempts: int
    # Content that crashes upstreams, "" for any other.
    crashing: str = ""
    # Entry host that it was sent to.
    host: str = ""


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that an upstream has read."""

    attempt_id: bytes
    service: str
    upstream: str
    time: float
    # Seconds that the upstream was given.
    wait: float
    has_run: bool
    has_crashed: bool = False
    # Seconds for which it lay at the upstream unread.
    unread: float = 0.0


@dataclass(slots=True)
class ArrivalLog:
    """All sendings and arrivals of a run.

    `disturbances` are the times at which each entry host was killed, started, stopped
    or resumed, with "" for any control host.
    """

    sendings: dict[bytes, Sending] = field(default_factory=dict)
    arrivals: list[Arrival] = field(default_factory=list)
    disturbances: dict[str, list[float]] = field(default_factory=dict)

    def disturb(self, host: str, time: float) -> None:
        """Record that a host, "" for a control host, was disturbed."""
        self.disturbances.setdefault(host, []).append(time)

    def fullest_windows(self, rule: RetryRule) -> dict[str, tuple[int, float]]:
        """Return by service the retries and the permitted ones of its fullest window.

        The fullest is the one with the largest ratio of both.
        """
        request_times = defaultdict(list)
        for sending in self.sendings.values():
            request_times[sending.service].append(sending.time)
        fullest = {}
        for service, retry_times in self._retry_times().items():
            windows = rule.windows(sorted(request_times[service]), retry_times)
            fullest[service] = max(windows, key=lambda each: each[0] / each[1])
        return fullest

    def count_attempt_excess(self) -> int:
        """Return how many attempts of callers ran on more upstreams than permitted."""
        upstreams = defaultdict(set)
        for arrival in self.arrivals:
            if arrival.has_run:
                upstreams[arrival.attempt_id].add(arrival.upstream)
        return sum(
            len(names) > self.sendings[attempt_id].max_attempts
            for attempt_id, names in upstreams.items()
        )

    def count_time_excess(self) -> int:
        """Return how many arrivals were given more time than their callers had left.

        The time for which an upstream leaves a request unread doesn't count.
        """
        first_ends: dict[bytes, float] = {}
        count = 0
        for arrival in sorted(self.arrivals, key=lambda each: each.time):
            sending = self.sendings[arrival.attempt_id]
            end = arrival.time - arrival.unread + arrival.wait
            first_end = first_ends.setdefault(arrival.attempt_id, end)
            caller_end = sending.time + sending.wait
            is_longer = arrival.wait > sending.wait + _TIME_SLACK_SECONDS
            is_extended = end > max(first_end, caller_end) + _TIME_SLACK_SECONDS
            count += is_longer or is_extended
        return count

    def late_retries(self) -> dict[str, int]:
        """Return by content the arrivals later than hosts must know that it crashes.

        Those from hosts that haven't been in contact for long enough don't count.
        """
        crash_times = defaultdict(list)
        times = defaultdict(list)
        for arrival in sorted(self.arrivals, key=lambda each: each.time):
            content = self.sendings[arrival.attempt_id].crashing
            if not content:
                continue
            if not self._is_excused(arrival):
                times[content].append(arrival.time)
            if arrival.has_crashed:
                crash_times[content].append(arrival.time)
        late = {}
        for content, crashes in crash_times.items():
            if len(crashes) >= _MAX_CRASHES:
                limit = crashes[_MAX_CRASHES - 1] + _CONTACT_SECONDS
                late[content] = sum(time > limit for time in times[content])
        return late

    def has_crashing_excess(self) -> bool:
        """Whether a content came again too often after it had crashed upstreams."""
        return any(count > _MAX_LATE_RETRIES for count in self.late_retries().values())

    def _is_excused(self, arrival: Arrival) -> bool:
        host = self.sendings[arrival.attempt_id].host
        since = arrival.time - _CONTACT_SECONDS
        return any(
            since <= time <= arrival.time
            for name in {host, ""}
            for time in self.disturbances.get(name, ())
        )

    def _retry_times(self) -> dict[str, Sequence[float]]:
        """Return the times of arrivals beyond the first of each request."""
        seen = set()
        times = defaultdict(list)
        for arrival in sorted(self.arrivals, key=lambda each: each.time):
            key = (arrival.service, arrival.attempt_id)
            if key in seen:
                times[arrival.service].append(arrival.time)
            seen.add(key)
        return times
