"""Signals in upstreams' answers: rate limits, retry-after and leaving.

An upstream signals only to the hosts that send it requests, at different times. Such a
host notifies the control hosts, which propagate the signals to all other hosts.
"""

from collections.abc import Callable

import trio
from absl import logging

from pepperstep.coordination import (
    Announcement,
    StatedLimit,
    UpstreamCatalog,
    UpstreamKey,
)
from pepperstep.observability.decisions import UpstreamLeaving
from pepperstep.ports import PeerNetwork, Timers
from pepperstep.ports.relaying import AnswerFacts
from pepperstep.proto import coordination_pb2 as pb
from pepperstep.relay.backoff import Backoff
from pepperstep.relay.notices import send_notice

__all__ = ["AnswerSignals"]

_SUCCESS_STATUSES = range(200, 300)
# Statuses with which an upstream refuses a request.
_REFUSAL_STATUSES = frozenset((429, 503))


class AnswerSignals:
    """Applies the signals in answers to this host and notifies control hosts.

    `control_hosts` returns the control hosts in reach.
    """

    def __init__(
        self,
        catalog: UpstreamCatalog,
        backoff: Backoff,
        peers: PeerNetwork,
        timers: Timers,
        control_hosts: Callable[[], list[str]],
    ):
        self._catalog = catalog
        self._backoff = backoff
        self._peers = peers
        self._timers = timers
        self._control_hosts = control_hosts
        # Upstreams with signals that are still to be sent to control hosts.
        self._pending: set[UpstreamKey] = set()
        self._has_pending = trio.Event()

    def apply(
        self, upstream: Announcement, status: int, facts: AnswerFacts, sent_at: float
    ) -> None:
        """Apply the signals in an answer.

        `sent_at` is the monotonic time at which the request was sent.
        """
        if facts.other_upstream and facts.other_upstream != upstream.id:
            return
        if facts.retry_after and status in _REFUSAL_STATUSES:
            self._backoff.hold(upstream.key, facts.retry_after, "retry after")
        if facts.is_leaving and self._catalog.mark_leaving(upstream.key):
            self._log_leaving(upstream, facts)
            self._queue_notice(upstream.key)
        if self._states_no_limit(upstream.key, status, facts, sent_at):
            return
        limit = StatedLimit(facts.rate_limit, self._timers.now())
        if self._catalog.record_limit(upstream.key, limit):
            self._queue_notice(upstream.key)

    async def run(self) -> None:
        """Send notices to the control hosts until cancelled."""
        while True:
            await self._has_pending.wait()
            pending, self._pending = self._pending, set()
            self._has_pending = trio.Event()
            for upstream in sorted(pending):
                notice = self._make_notice(upstream)
                await send_notice(self._peers, self._control_hosts(), notice)

    def _log_leaving(self, upstream: Announcement, facts: AnswerFacts) -> None:
        event = UpstreamLeaving(
            request=facts.attempt_id.decode("latin-1"),
            upstream=upstream.id,
            incarnation=upstream.incarnation,
            service=upstream.service,
            upstreams_version=self._catalog.version,
        )
        logging.info("signals: %s", event)

    def _queue_notice(self, upstream: UpstreamKey) -> None:
        self._pending.add(upstream)
        self._has_pending.set()

    def _states_no_limit(
        self, upstream: UpstreamKey, status: int, facts: AnswerFacts, sent_at: float
    ) -> bool:
        """Whether an answer neither states a rate limit nor ends one.

        A limit is ended by a successful answer without a limit, and only if its request
        was sent after the limit was stated, as answers can overtake each other.
        """
        if facts.rate_limit is not None:
            return False
        known = self._catalog.limit_of(upstream)
        if known is None or status not in _SUCCESS_STATUSES:
            return True
        return sent_at <= known.stated_at

    def _make_notice(self, upstream: UpstreamKey) -> pb.AnswerNotice:
        name, incarnation = upstream
        notice = pb.AnswerNotice(upstream=name, incarnation=incarnation)
        known = self._catalog.get(name)
        if known is not None and known.key == upstream:
            notice.is_leaving = not known.takes_work
        limit = self._catalog.latest_limit(upstream)
        if limit is not None:
            notice.limit.CopyFrom(limit.to_message(self._timers.now()))
        return notice
