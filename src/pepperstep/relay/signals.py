"""What upstreams say of themselves in their answers, taken in and told to all hosts.

An upstream says it to the hosts that send it requests, each in its own time; the
control hosts tell all the others.
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
from pepperstep.errors import Failure
from pepperstep.observability.decisions import UpstreamLeaving
from pepperstep.ports import PeerNetwork, Timers
from pepperstep.ports.relaying import AnswerFacts
from pepperstep.proto import coordination_pb2 as pb
from pepperstep.relay.backoff import Backoff

__all__ = ["AnswerSignals"]

_SUCCESSES = range(200, 300)
# Statuses by which an upstream turns a request away.
_TURNED_AWAY = frozenset((429, 503))
# Time that a control host has to take in a notice, in seconds.
_TELL_SECONDS = 0.3


class AnswerSignals:
    """Signals in the answers that one host gets; `control_hosts` are those in reach."""

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
        # Upstreams of which something is to be told.
        self._news: set[UpstreamKey] = set()
        self._has_news = trio.Event()

    def note(
        self, upstream: Announcement, status: int, facts: AnswerFacts, begun_at: float
    ) -> None:
        """Take in an answer to a request that was sent at monotonic time `begun_at`."""
        if facts.other_upstream and facts.other_upstream != upstream.id:
            return
        if facts.retry_after and status in _TURNED_AWAY:
            self._backoff.hold(upstream.key, facts.retry_after, "retry after")
        if facts.is_leaving and self._catalog.mark_leaving(upstream.key):
            self._log_leaving(upstream, facts)
            self._tell_soon(upstream.key)
        if self._states_no_limit(upstream.key, status, facts, begun_at):
            return
        limit = StatedLimit(facts.rate_limit, self._timers.now())
        if self._catalog.record_limit(upstream.key, limit):
            self._tell_soon(upstream.key)

    async def run(self) -> None:
        """Tell control hosts the news until cancelled."""
        while True:
            await self._has_news.wait()
            news, self._news = self._news, set()
            self._has_news = trio.Event()
            for upstream in sorted(news):
                await self._tell(upstream)

    def _log_leaving(self, upstream: Announcement, facts: AnswerFacts) -> None:
        event = UpstreamLeaving(
            request=facts.attempt_id.decode("latin-1"),
            upstream=upstream.id,
            incarnation=upstream.incarnation,
            service=upstream.service,
            upstreams_version=self._catalog.version,
        )
        logging.info("signals: %s", event)

    def _tell_soon(self, upstream: UpstreamKey) -> None:
        self._news.add(upstream)
        self._has_news.set()

    def _states_no_limit(
        self, upstream: UpstreamKey, status: int, facts: AnswerFacts, begun_at: float
    ) -> bool:
        """Whether an answer says nothing of a limit, neither one nor its end.

        Only a success without a limit says that it has ended, and only to a request
        sent after it was stated: answers overtake each other.
        """
        if facts.rate_limit is not None:
            return False
        known = self._catalog.limit_of(upstream)
        if known is None or status not in _SUCCESSES:
            return True
        return begun_at <= known.stated_at

    async def _tell(self, upstream: UpstreamKey) -> None:
        """Tell the control hosts in reach; each tells the hosts that ask it."""
        notice = self._make_notice(upstream)
        async with trio.open_nursery() as nursery:
            for control_host in self._control_hosts():
                nursery.start_soon(self._tell_one, control_host, notice)

    async def _tell_one(self, control_host: str, notice: pb.AnswerNotice) -> None:
        try:
            await self._peers.call(control_host, notice, _TELL_SECONDS)
        except Failure as failure:
            logging.info("signals: %s misses a notice: %s", control_host, failure.text)

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
