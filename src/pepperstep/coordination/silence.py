"""Detection of silent upstreams, which no longer announce themselves.

Missing announcements may be the fault of the host that misses them. So a control host
marks upstreams silent only while it has a quorum, and an entry host doesn't rely on a
single control host. An upstream's next announcement clears the mark.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from pepperstep.coordination.quorum_monitor import QuorumMonitor
from pepperstep.coordination.records import UpstreamKey
from pepperstep.coordination.upstream_catalog import UpstreamCatalog
from pepperstep.proto import coordination_pb2 as pb

__all__ = ["SilenceDetector", "SilenceVotes"]

# Time without an announcement after which an upstream is silent, in seconds. Upstreams
# announce themselves every 1.2 s. This is long because a silent upstream may only be
# cut off from all control hosts and still answer requests.
_SILENCE_SECONDS = 20.0
# Time without an announcement after which an upstream is silent if its latest one went
# to an unreachable control host, which may still receive them, in seconds: regions lose
# contact for minutes.
_UNREACHABLE_SILENCE_SECONDS = 300.0
# Time between two checks above which the host was frozen, in seconds: checks run once a
# second, and a busy host is late by less than one.
_MAX_CHECK_GAP_SECONDS = 3.0
# Sources of a mark, for the log.
_SOURCE_DETECTOR = "silence"
_SOURCE_VOTES = "control hosts"


class SilenceDetector:
    """Marks upstreams silent on a control host.

    A host that was frozen or had no quorum has missed announcements. It marks nothing
    until it has had a quorum for the whole silence time. Without this rule, a host that
    was cut off for 20 s marked all upstreams that announced themselves at the others,
    and two in three requests of the next minute failed. Upstreams whose latest
    announcement went to an unreachable control host are marked much later.
    """

    def __init__(
        self,
        catalog: UpstreamCatalog,
        now: Callable[[], float],
        quorum_monitor: QuorumMonitor,
    ):
        self._catalog = catalog
        self._now = now
        self._quorum_monitor = quorum_monitor
        # Monotonic time since which this host has a quorum.
        self._quorum_since = now()
        self._checked_at = now()

    def check(self) -> None:
        """Mark the upstreams that have been silent for too long."""
        now = self._now()
        was_frozen = now - self._checked_at > _MAX_CHECK_GAP_SECONDS
        self._checked_at = now
        if was_frozen or not self._quorum_monitor.has_quorum():
            self._quorum_since = now
            return
        if now - self._quorum_since < _SILENCE_SECONDS:
            return
        reachable = self._quorum_monitor.reachable()

        def limit(heard_by: str) -> float:
            is_reachable = heard_by in reachable
            return now - (
                _SILENCE_SECONDS if is_reachable else _UNREACHABLE_SILENCE_SECONDS
            )

        self._catalog.set_silent(self._catalog.unheard_since(limit), _SOURCE_DETECTOR)


@dataclass(slots=True)
class _Vote:
    """The state received from one incarnation of a control host."""

    epoch: int
    answered_at: float
    # Incarnations of its silent upstreams by id. Kept while it doesn't answer, as its
    # next reply holds only changes.
    silent: dict[str, int] = field(default_factory=dict)


class SilenceVotes:
    """Marks upstreams silent on an entry host if all reachable control hosts do.

    If two control hosts are cut off from each other, each hears only the upstreams that
    announce themselves at it.
    """

    def __init__(self, catalog: UpstreamCatalog, now: Callable[[], float]):
        self._catalog = catalog
        self._now = now
        self._votes: dict[str, _Vote] = {}

    def record_reply(self, control_host: str, reply: pb.SyncReply) -> None:
        """Record which upstreams a control host's reply marks as silent."""
        vote = self._votes.get(control_host)
        if vote is None or vote.epoch != reply.registry_epoch:
            vote = self._votes[control_host] = _Vote(reply.registry_epoch, self._now())
        vote.answered_at = self._now()
        for message in reply.upstreams:
            if message.is_silent:
                vote.silent[message.id] = message.incarnation
            else:
                vote.silent.pop(message.id, None)
        self._count_votes()

    def forget(self, upstream: UpstreamKey) -> None:
        """Discard the votes on an upstream that was removed."""
        name, incarnation = upstream
        for vote in self._votes.values():
            if vote.silent.get(name) == incarnation:
                del vote.silent[name]

    def _count_votes(self) -> None:
        """Count the votes of control hosts that have answered recently."""
        limit = self._now() - _SILENCE_SECONDS
        first, *others = (
            vote.silent.items()
            for vote in self._votes.values()
            if vote.answered_at >= limit
        )
        self._catalog.set_silent(set(first).intersection(*others), _SOURCE_VOTES)
