"""Upstreams of which nothing is heard: who may call them silent, and when.

That a host hears nothing may be its own fault as well as the upstream's. So a
control host judges only while it would hear, and an entry host believes no single
control host. Each judgement ends with the upstream's next announcement.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from pepperstep.coordination.quorum_monitor import QuorumMonitor
from pepperstep.coordination.records import UpstreamKey
from pepperstep.coordination.upstream_catalog import UpstreamCatalog
from pepperstep.proto import coordination_pb2 as pb

__all__ = ["SilenceDetector", "SilenceVotes"]

# Upstreams announce themselves every 1.2 s. One that is silent for so long has
# ended, or is cut off from all control hosts; requests that reach it still are
# answered, so this is long. In seconds.
_SILENCE_SECONDS = 20.0
# The same for an upstream whose latest announcement came to a control host that's out
# of reach, and may hear of it still, in seconds: regions lose each other for minutes.
_MISSED_SECONDS = 300.0
# Time between two looks after which a host takes itself for frozen meanwhile, in
# seconds: it looks once a second, and a busy one is late by less than one.
_FROZEN_SECONDS = 3.0
# By whose word an upstream is silent, for the log.
_JUDGE = "silence"
_VOTES = "control hosts"


class SilenceDetector:
    """A control host's own judgement.

    A host that was cut off from most others, or was frozen, has missed what they
    hear. It judges nothing until it has been in contact for the whole time: without
    that, one host that was cut off for 20 s took all upstreams out of use that
    announced themselves at the others, and two in three requests of the next minute
    failed. What a control host heard last that's out of reach it judges much later.
    """

    def __init__(
        self,
        catalog: UpstreamCatalog,
        now: Callable[[], float],
        quorum_monitor: QuorumMonitor,
    ):
        self._catalog = catalog
        self._now = now
        self._contact = quorum_monitor
        # Monotonic time since which this host hears most others.
        self._in_contact_since = now()
        self._looked_at = now()

    def check(self) -> None:
        """Let the upstreams count as silent that have been so for too long."""
        now = self._now()
        was_frozen = now - self._looked_at > _FROZEN_SECONDS
        self._looked_at = now
        if was_frozen or not self._contact.has_quorum():
            self._in_contact_since = now
            return
        if now - self._in_contact_since < _SILENCE_SECONDS:
            return
        reachable = self._contact.reachable()

        def limit(heard_by: str) -> float:
            is_known = heard_by in reachable
            return now - (_SILENCE_SECONDS if is_known else _MISSED_SECONDS)

        self._catalog.set_silent(self._catalog.unheard_since(limit), _JUDGE)


@dataclass(slots=True)
class _Vote:
    """What one life of a control host has told."""

    epoch: int
    answered_at: float
    # Incarnations of the upstreams that it calls silent, by id. Kept while it doesn't
    # answer: its next answer tells only what has changed.
    silent: dict[str, int] = field(default_factory=dict)


class SilenceVotes:
    """An entry host's judgement: what all control hosts that it hears call silent.

    Of two that are cut off from each other, each hears only the upstreams that
    announce themselves there.
    """

    def __init__(self, catalog: UpstreamCatalog, now: Callable[[], float]):
        self._catalog = catalog
        self._now = now
        self._votes: dict[str, _Vote] = {}

    def record_reply(self, control_host: str, reply: pb.SyncReply) -> None:
        """Take in what a control host tells."""
        vote = self._votes.get(control_host)
        if vote is None or vote.epoch != reply.registry_epoch:
            vote = self._votes[control_host] = _Vote(reply.registry_epoch, self._now())
        vote.answered_at = self._now()
        for message in reply.upstreams:
            if message.is_silent:
                vote.silent[message.id] = message.incarnation
            else:
                vote.silent.pop(message.id, None)
        self._count()

    def forget(self, upstream: UpstreamKey) -> None:
        """Drop what was told of an upstream that is forgotten."""
        name, incarnation = upstream
        for vote in self._votes.values():
            if vote.silent.get(name) == incarnation:
                del vote.silent[name]

    def _count(self) -> None:
        """Count the votes of those that would have heard of an upstream lately."""
        limit = self._now() - _SILENCE_SECONDS
        first, *others = (
            vote.silent.items()
            for vote in self._votes.values()
            if vote.answered_at >= limit
        )
        self._catalog.set_silent(set(first).intersection(*others), _VOTES)
