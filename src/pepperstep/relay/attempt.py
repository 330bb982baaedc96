"""One attempt: a request sent to one upstream, and what came back."""

import enum
from collections.abc import Callable
from dataclasses import dataclass, field

import trio
from absl import logging

from pepperstep.coordination import Announcement, UpstreamCatalog, UpstreamKey
from pepperstep.entities.routes import Route, Service, Workspace
from pepperstep.ports import Timers
from pepperstep.ports.exchange import (
    Answer,
    AnswerHead,
    ConnectionFault,
    Exchange,
    UpstreamConnection,
)
from pepperstep.ports.relaying import AnswerFacts, Forwarding, RelayWire, RequestFacts
from pepperstep.relay.choice import Choice, Chooser
from pepperstep.relay.counts import RunCounts
from pepperstep.relay.events import EventSplitter
from pepperstep.relay.pools import Pools
from pepperstep.relay.signals import AnswerSignals

__all__ = ["Attempt", "AttemptRunner", "NoteOutcome", "Outcome"]

# Answers up to this size are read whole before their head is sent on, so that
# one that breaks off can be tried again; in bytes.
_WHOLE_BYTES = 262_144
# Late answers of other requests that are read over before the awaited one.
_MAX_STRAYS = 2
# Time to send a whole answer to its caller, in seconds, behind the deadline too.
_SEND_SECONDS = 1.0
_SUCCESSES = range(200, 300)
_FIRST_SERVER_ERROR = 500
_MISDIRECTED = 421
# What an upstream's end was concluded from: another one answers at its address.
_ANSWER = "answer"


class Outcome(enum.StrEnum):
    """How an attempt ended."""

    ANSWERED = "answered"
    # The upstream surely hasn't run the request.
    NOT_RUN = "not run"
    # It may have run, and no whole answer came.
    FAILED = "failed"


# Called with an upstream, the route's name, the seconds until the answer's first byte
# (None for a failure), and those that it was expected to take, 0 for unknown.
NoteOutcome = Callable[[Announcement, str, float | None, float], None]


@dataclass(slots=True)
class Attempt:
    """A caller's request on its way through its attempts."""

    exchange: Exchange
    facts: RequestFacts
    route: Route
    service: Service
    # Workspace that it belongs to, None on public routes.
    owner: Workspace | None
    # 0 is the most urgent.
    priority: int
    # Monotonic time by which the caller must have its final answer.
    deadline: float
    # What it was admitted for, in the unit of its workspace's quota.
    cost: float = 0.0
    tried: set[UpstreamKey] = field(default_factory=set)
    # Attempts that reached an upstream.
    sent: int = 0
    # Whether an upstream may have run it.
    has_run: bool = False
    is_under_way: bool = False
    is_answered: bool = False
    # Whether the run was counted for the accounting.
    is_counted: bool = False
    # An upstream's own failure, for the caller if nothing better comes.
    kept: Answer | None = None
    # What was expected of the latest attempt, and when it began.
    choice: Choice | None = None
    begun_at: float = 0.0
    # Called with an upstream and a reason when an attempt brings no answer.
    note_failed: Callable[[str, str], None] = lambda upstream, reason: None
    # Monotonic time of the answer's first byte, 0 before.
    first_at: float = 0.0
    # Whether its first token is still to come.
    is_unread: bool = False
    events: EventSplitter = field(default_factory=EventSplitter)

    @property
    def workspace(self) -> str:
        """Name of the workspace that it belongs to, "" on public routes."""
        return "" if self.owner is None else self.owner.name

    @property
    def name(self) -> str:
        """The request's name in logs."""
        return self.facts.attempt_id.decode("latin-1")


class AttemptRunner:
    """Sends requests to upstreams and passes their answers on."""

    def __init__(
        self,
        wire: RelayWire,
        pools: Pools,
        catalog: UpstreamCatalog,
        chooser: Chooser,
        counts: RunCounts,
        signals: AnswerSignals,
        timers: Timers,
        note_outcome: NoteOutcome = lambda upstream, route, seconds, expected: None,
    ):
        self._wire = wire
        self._pools = pools
        self._catalog = catalog
        self._chooser = chooser
        self._counts = counts
        self._signals = signals
        self._timers = timers
        self._note_outcome = note_outcome

    async def run(self, attempt: Attempt, choice: Choice) -> Outcome:
        """Send the request to the chosen upstream and pass its answer on.

        Raise `CallerGone` if the caller leaves.
        """
        upstream = choice.upstream
        attempt.tried.add(upstream.key)
        attempt.choice = choice
        attempt.begun_at = self._timers.now()
        attempt.is_unread = bool(attempt.facts.prompt_parts)
        self._chooser.begin(choice, attempt.facts)
        outcome = None
        is_sound = True
        try:
            outcome = await self._send(attempt, upstream)
            is_sound = outcome is not Outcome.FAILED
        except ConnectionFault as fault:
            is_sound = False
            outcome = self._note_fault(attempt, upstream, fault)
        except trio.Cancelled:
            # Without an answer in the whole time, the upstream may hang.
            is_late = self._timers.now() >= attempt.deadline
            is_sound = attempt.exchange.has_begun or not is_late
            raise
        finally:
            self._note_read(attempt, is_read=False)
            self._chooser.end(upstream, is_sound)
            self._tell_outcome(attempt, upstream, outcome, is_sound)
        return outcome

    async def answer_kept(self, attempt: Attempt) -> None:
        """Send the answer of an upstream that reported a failure of its own."""
        await self._answer(attempt, attempt.kept)
        attempt.is_answered = True

    def _tell_outcome(
        self,
        attempt: Attempt,
        upstream: Announcement,
        outcome: Outcome | None,
        is_sound: bool,
    ) -> None:
        """Tell how an attempt ended, unless that says nothing of its upstream."""
        passed = self._timers.now() - attempt.begun_at
        expected = attempt.choice.first_token
        route = attempt.route
        if outcome is Outcome.ANSWERED:
            seconds = attempt.first_at - attempt.begun_at
            self._note_outcome(upstream, route.name, seconds, expected)
        elif outcome is Outcome.FAILED or not is_sound and outcome is None:
            self._note_outcome(upstream, route.name, None, expected)
        elif outcome is None and not attempt.first_at and passed > route.target_latency:
            # Its caller had waited for too long.
            self._note_outcome(upstream, route.name, passed, expected)

    async def _send(self, attempt: Attempt, upstream: Announcement) -> Outcome:
        connection = await self._pools.take(upstream.key, upstream.address)
        try:
            attempt.sent += 1
            attempt.is_under_way = True
            head = await connection.send(
                self._request_head(attempt, upstream), attempt.exchange.body
            )
            head, facts = await self._find_answer(attempt, connection, head)
            self._pools.note_keep_seconds(upstream.key, facts.keep_seconds)
            self._signals.note(upstream, head.status, facts, attempt.begun_at)
            outcome = await self._take(attempt, upstream, connection, head, facts)
            if facts.closes:
                connection.close()
            attempt.is_under_way = False
            return outcome
        except ConnectionFault:
            connection.close()
            attempt.is_under_way = False
            raise
        finally:
            self._pools.give_back(upstream.key, connection)

    def _request_head(self, attempt: Attempt, upstream: Announcement):
        forwarding = Forwarding(
            upstream=upstream.id,
            wait=attempt.deadline - self._timers.now(),
            workspace=attempt.workspace,
            priority=attempt.priority,
            last_event_id=attempt.events.last_id,
        )
        return self._wire.write_request(attempt.exchange.head, forwarding)

    async def _find_answer(
        self, attempt: Attempt, connection: UpstreamConnection, head: AnswerHead
    ) -> tuple[AnswerHead, AnswerFacts]:
        """Return the answer that belongs to the request.

        A late answer to an earlier request may stand before it.
        """
        for _ in range(_MAX_STRAYS):
            facts = self._wire.read_answer(head)
            if facts.attempt_id == attempt.facts.attempt_id or facts.was_refused:
                return head, facts
            if not facts.attempt_id:
                raise ConnectionFault("the answer names no request", True)
            logging.info("relay: %s gets another request's answer.", attempt.name)
            head = await connection.skip_answer()
        facts = self._wire.read_answer(head)
        if facts.attempt_id != attempt.facts.attempt_id:
            raise ConnectionFault("the answer belongs to another request", True)
        return head, facts

    async def _take(
        self,
        attempt: Attempt,
        upstream: Announcement,
        connection: UpstreamConnection,
        head: AnswerHead,
        facts: AnswerFacts,
    ) -> Outcome:
        if facts.was_refused or head.status == _MISDIRECTED:
            return await self._take_refusal(attempt, upstream, connection, head, facts)
        attempt.has_run = True
        if attempt.exchange.has_begun and head.status not in _SUCCESSES:
            return await self._drop_failure(attempt, upstream, connection, head)
        if head.status >= _FIRST_SERVER_ERROR:
            return await self._keep_failure(attempt, connection, head)
        if attempt.route.is_stream:
            await self._pass_events(attempt, connection, head)
        else:
            await self._pass_whole(attempt, connection, head)
        attempt.is_answered = True
        return Outcome.ANSWERED

    async def _take_refusal(
        self,
        attempt: Attempt,
        upstream: Announcement,
        connection: UpstreamConnection,
        head: AnswerHead,
        facts: AnswerFacts,
    ) -> Outcome:
        async for _ in connection.pieces():
            pass
        attempt.note_failed(upstream.id, f"refused with {head.status}")
        if facts.other_upstream and facts.other_upstream != upstream.id:
            # The address belongs to another upstream by now.
            self._catalog.mark_gone(upstream.id, upstream.incarnation, _ANSWER)
        return Outcome.NOT_RUN

    async def _keep_failure(
        self, attempt: Attempt, connection: UpstreamConnection, head: AnswerHead
    ) -> Outcome:
        """Keep an upstream's failure, which the caller gets if no retry helps."""
        body = b"".join([piece async for piece in connection.pieces()])
        attempt.note_failed(attempt.choice.upstream.id, f"its answer is {head.status}")
        self._count_run(attempt)
        headers = self._wire.write_answer(head, is_framed=True)
        attempt.kept = Answer(head.status, body, headers)
        return Outcome.FAILED

    async def _drop_failure(
        self,
        attempt: Attempt,
        upstream: Announcement,
        connection: UpstreamConnection,
        head: AnswerHead,
    ) -> Outcome:
        """Read a failure that came where a stream was to go on.

        Passed on, its body would stand in the stream, which would end as complete.
        """
        async for _ in connection.pieces():
            pass
        attempt.note_failed(upstream.id, f"it doesn't go on, but answers {head.status}")
        return Outcome.FAILED

    async def _pass_whole(
        self, attempt: Attempt, connection: UpstreamConnection, head: AnswerHead
    ) -> None:
        """Pass on an answer that isn't a stream, a small one only when whole."""
        exchange = attempt.exchange
        pieces: list[bytes] = []
        size = 0
        async for piece in connection.pieces():
            if exchange.has_begun:
                await exchange.send(piece)
                continue
            pieces.append(piece)
            size += len(piece)
            if size > _WHOLE_BYTES:
                self._count(attempt)
                headers = self._wire.write_answer(head, is_framed=False)
                begun = AnswerHead(head.status, headers)
                await exchange.begin(begun, b"".join(pieces))
        self._count(attempt)
        if exchange.has_begun:
            await exchange.finish()
            return
        headers = self._wire.write_answer(head, is_framed=True)
        await self._answer(attempt, Answer(head.status, b"".join(pieces), headers))

    async def _answer(self, attempt: Attempt, answer: Answer) -> None:
        """Send a whole answer that is there, though its time may just be over.

        The time ends in the middle of it otherwise, and the caller gets a cut
        connection for an answer that has come.
        """
        with trio.move_on_after(_SEND_SECONDS, shield=True):
            await attempt.exchange.answer(answer)

    async def _pass_events(
        self, attempt: Attempt, connection: UpstreamConnection, head: AnswerHead
    ) -> None:
        """Pass on the events of a stream as they come, each one whole."""
        exchange = attempt.exchange
        events = attempt.events
        events.take_rest()
        async for piece in connection.pieces():
            whole = events.feed(piece)
            if whole:
                self._count(attempt)
                await self._pass_piece(exchange, head, whole)
        rest = events.take_rest()
        if rest:
            await self._pass_piece(exchange, head, rest)
        if not exchange.has_begun:
            await self._pass_piece(exchange, head, b"")
        await exchange.finish()

    async def _pass_piece(
        self, exchange: Exchange, head: AnswerHead, data: bytes
    ) -> None:
        if exchange.has_begun:
            await exchange.send(data)
            return
        headers = self._wire.write_answer(head, is_framed=True)
        await exchange.begin(AnswerHead(head.status, headers), data)

    def _note_fault(
        self, attempt: Attempt, upstream: Announcement, fault: ConnectionFault
    ) -> Outcome:
        attempt.has_run = attempt.has_run or fault.was_sent
        if fault.was_sent:
            self._count_run(attempt)
        attempt.note_failed(upstream.id, fault.text)
        return Outcome.FAILED if fault.was_sent else Outcome.NOT_RUN

    def _note_read(self, attempt: Attempt, is_read: bool) -> None:
        """Take the prompt off what its upstream has to read."""
        if not attempt.is_unread:
            return
        attempt.is_unread = False
        seconds = self._timers.now() - attempt.begun_at if is_read else None
        self._chooser.record_prefill(attempt.choice, seconds)

    def _count(self, attempt: Attempt) -> None:
        """Take in that a run's first token or answer is there."""
        self._note_read(attempt, is_read=True)
        attempt.first_at = attempt.first_at or self._timers.now()
        self._count_run(attempt)

    def _count_run(self, attempt: Attempt) -> None:
        """Count a request once for the accounting, whether or not its run fails.

        One whose answer was lost counts, too: its upstream has most likely begun it.
        """
        if attempt.is_counted or not attempt.workspace:
            return
        attempt.is_counted = True
        self._counts.note_run(attempt.workspace)
