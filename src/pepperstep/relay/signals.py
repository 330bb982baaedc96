"""What upstreams say of themselves in their answers, taken in and told to all hosts.

An upstream says it to the hosts that send it requests, each in its own time; the
control hosts tell all the others.
"""

import random
from collections.abc import Callable

import trio
from absl import logging

from pepperstep.coordination import (
    Announcement,
    StatedLimit,
    UpstreamBook,
    UpstreamKey,
)
from pepperstep.errors import Failure
from pepperstep.observability.decisions import UpstreamLeaving
from pepperstep.ports import PeerNetwork, Timers
from pepperstep.ports.relaying import AnswerFacts
from pepperstep.proto import coordination_pb2 as pb

__all__ = ["AnswerSignals"]

_SUCCESSES = range(200, 300)
# Time that a control host has to take in a notice, in seconds.
_TELL_SECONDS = 0.3


class AnswerSignals:
    """Signals in the answers that one host gets; `control_hosts` are those in reach."""

    def __init__(
        self,
        book: UpstreamBook,
        peers: PeerNetwork,
        timers: Timers,
        rng: random.Random,
        control_hosts: Callable[[], list[str]],
    ):
        self._book = book
        self._peers = peers
        self._timers = timers
        self._rng = rng
        self._control_hosts = control_hosts
        # Those whose answers say that they leave.
        self._leaving: set[UpstreamKey] = set()
        # Upstreams of which something is to be told.
        self._news: set[UpstreamKey] = set()
        self._has_news = trio.Event()

    def note(
        self, upstream: Announcement, status: int, facts: AnswerFacts, begun_at: float
    ) -> None:
        """Take in an answer to a request that was sent at monotonic time `begun_at`."""
        if facts.other_upstream and facts.other_upstream != upstream.id:
            return
        if facts.is_leaving:
            self._note_leaving(upstream, facts)
        if self._says_nothing(upstream.key, status, facts, begun_at):
            return
        limit = StatedLimit(facts.rate_limit, self._timers.now())
        if self._book.note_limit(upstream.key, limit):
            self._news.add(upstream.key)
            self._has_news.set()

    def forget(self, upstream: UpstreamKey) -> None:
        """Drop what is known of an upstream that is gone."""
        self._leaving.discard(upstream)

    async def run(self) -> None:
        """Tell control hosts the news until cancelled."""
        while True:
            await self._has_news.wait()
            news, self._news = self._news, set()
            self._has_news = trio.Event()
            for upstream in sorted(news):
                await self._tell(upstream)

    def _note_leaving(self, upstream: Announcement, facts: AnswerFacts) -> None:
        if upstream.key in self._leaving:
            return
        self._leaving.add(upstream.key)
        known = self._book.get(upstream.id)
        event = UpstreamLeaving(
            request=facts.attempt_id.decode("latin-1"),
            upstream=upstream.id,
            incarnation=upstream.incarnation,
            service=upstream.service,
            was_known=known is None or not known.takes_work,
            upstreams_version=self._book.version,
        )
        logging.info("signals: %s", event)

    def _says_nothing(
        self, upstream: UpstreamKey, status: int, facts: AnswerFacts, begun_at: float
    ) -> bool:
        """Whether an answer tells nothing of the upstream's limit.

        Only a success without a limit says that it has ended, and only to a request
        sent after it was stated: answers overtake each other.
        """
        if facts.rate_limit is not None:
            return False
        known = self._book.limit_of(upstream)
        if known is None or status not in _SUCCESSES:
            return True
        return begun_at <= known.stated_at

    async def _tell(self, upstream: UpstreamKey) -> None:
        """Tell one control host, which tells all hosts."""
        limit = self._book.latest_limit(upstream)
        if limit is None:
            return
        name, incarnation = upstream
        reached = self._control_hosts()
        for control_host in self._rng.sample(reached, len(reached)):
            notice = pb.AnswerNotice(
                upstream=name,
                incarnation=incarnation,
                limit=limit.to_message(self._timers.now()),
            )
            try:
                await self._peers.call(control_host, notice, _TELL_SECONDS)
            except Failure as failure:
                logging.info(
                    "signals: %s misses a notice: %s", control_host, failure.text
                )
            else:
                return
