"""Attempts: sending a request to one upstream and forwarding its answer."""

import enum
from collections.abc import Callable

import trio
from absl import logging

from pepperstep.coordination import Announcement, UpstreamCatalog
from pepperstep.ports import Timers
from pepperstep.ports.exchange import (
    Answer,
    AnswerHead,
    ConnectionFault,
    UpstreamConnection,
)
from pepperstep.ports.relaying import AnswerFacts, Forwarding, RelayWire
from pepperstep.relay.answers import AnswerForwarder, is_event_stream
from pepperstep.relay.choice import Choice, Chooser
from pepperstep.relay.counts import RunCounts
from pepperstep.relay.crash_guard import CrashGuard
from pepperstep.relay.pools import Pools
from pepperstep.relay.promises import is_promise, without_mark
from pepperstep.relay.relayed_request import RelayedRequest
from pepperstep.relay.selector import Selector
from pepperstep.relay.signals import AnswerSignals
from pepperstep.relay.stream_origins import StreamOrigins
from pepperstep.relay.upstream_contact import UpstreamContact

__all__ = ["AttemptRunner", "Outcome", "OutcomeCallback"]

# Late answers to other requests that are skipped before the expected one. An upstream
# that sends more answers nothing that it is asked.
_MAX_LATE_ANSWERS = 64
_MIN_SERVER_ERROR_STATUS = 500
# Time for a body of no use, such as a refusal's, which upstreams send with its head. A
# new connection costs less than a longer wait.
_DISCARD_SECONDS = 0.1
# Largest body that is discarded, or kept to be passed on to the caller.
_MAX_FAILURE_BYTES = 262_144
# Time for the body of an error answer that may be passed on to the caller. The next
# attempt waits for it.
_FAILURE_BODY_SECONDS = 1.0
_MISDIRECTED_STATUS = 421
# Source of the news that an upstream is gone: another one answers at its address.
_SOURCE_ANSWER = "answer"


class Outcome(enum.StrEnum):
    """How an attempt ended."""

    ANSWERED = "answered"
    # The upstream has certainly not run the request.
    NOT_RUN = "not run"
    # The request may have run, and no complete answer came.
    FAILED = "failed"
    # The upstream answered, but its status would wrongly promise the caller that the
    # request hasn't run.
    WITHHELD = "withheld"


_ANSWERS = frozenset((Outcome.ANSWERED, Outcome.WITHHELD))

# Called with the upstream, the route's name, the seconds until the answer's first byte
# (None for a failure) and the predicted seconds until then (0 if unknown).
OutcomeCallback = Callable[[Announcement, str, float | None, float], None]


class AttemptRunner:
    """Sends requests to upstreams and forwards their answers to callers."""

    def __init__(
        self,
        wire: RelayWire,
        pools: Pools,
        catalog: UpstreamCatalog,
        chooser: Chooser,
        selector: Selector,
        counts: RunCounts,
        signals: AnswerSignals,
        crash_guard: CrashGuard,
        contact: UpstreamContact,
        origins: StreamOrigins,
        timers: Timers,
        on_outcome: OutcomeCallback = lambda upstream, route, seconds, expected: None,
    ):
        self._wire = wire
        self._answers = AnswerForwarder(wire, self._record_first_byte)
        self._pools = pools
        self._catalog = catalog
        self._chooser = chooser
        self._selector = selector
        self._counts = counts
        self._signals = signals
        self._crash_guard = crash_guard
        self._contact = contact
        self._origins = origins
        self._timers = timers
        self._on_outcome = on_outcome

    async def run(self, request: RelayedRequest, choice: Choice) -> Outcome:
        """Send the request to the chosen upstream and forward its answer.

        Raise `CallerGone` if the caller disconnects.
        """
        upstream = choice.upstream
        request.tried.add(upstream.key)
        request.choice = choice
        request.upstream_status, request.states_not_run = 0, False
        request.attempt_started_at = self._timers.now()
        request.is_prefill_pending = bool(request.facts.prompt_parts)
        self._chooser.begin(choice, request.facts)
        outcome = None
        is_healthy = True
        try:
            outcome = await self._send(request, upstream)
            is_healthy = outcome is not Outcome.FAILED
            if outcome is not Outcome.NOT_RUN:
                self._crash_guard.record_answer(request)
        except ConnectionFault as fault:
            is_healthy = False
            outcome = self._record_fault(request, upstream, fault)
            self._contact.record_fault(upstream.service, request.attempt_started_at)
        except trio.Cancelled:
            # An upstream that sent nothing until the deadline may hang.
            is_late = self._timers.now() >= request.deadline
            is_healthy = request.exchange.has_begun or not is_late
            raise
        finally:
            self._record_prefill(request, is_read=False)
            self._crash_guard.end(request)
            self._chooser.end(upstream, is_healthy)
            self._end_placement(request, choice, outcome)
            self._report_outcome(request, upstream, outcome, is_healthy)
        return outcome

    async def send_failure_answer(self, request: RelayedRequest) -> None:
        """Send the caller the error answer that an upstream gave."""
        await self._answers.send(request, request.failure_answer)
        request.is_answered = True

    def _end_placement(
        self, request: RelayedRequest, choice: Choice, outcome: Outcome | None
    ) -> None:
        """Report an attempt's duration, or that it brought no answer."""
        seconds = None
        if outcome in _ANSWERS:
            seconds = self._timers.now() - request.attempt_started_at
        self._selector.end(choice, seconds)

    def _report_outcome(
        self,
        request: RelayedRequest,
        upstream: Announcement,
        outcome: Outcome | None,
        is_healthy: bool,
    ) -> None:
        """Report how an attempt ended, unless the end isn't due to its upstream."""
        elapsed = self._timers.now() - request.attempt_started_at
        expected = request.choice.first_token
        route = request.route
        if outcome in _ANSWERS:
            seconds = request.first_byte_at - request.attempt_started_at
            self._on_outcome(upstream, route.name, seconds, expected)
        elif outcome is Outcome.FAILED or not is_healthy and outcome is None:
            self._on_outcome(upstream, route.name, None, expected)
        elif (
            outcome is None
            and not request.first_byte_at
            and elapsed > route.target_latency
        ):
            # The caller left after waiting longer than the latency target.
            self._on_outcome(upstream, route.name, elapsed, expected)

    async def _send(self, request: RelayedRequest, upstream: Announcement) -> Outcome:
        connection = await self._pools.acquire(upstream.key, upstream.address)
        try:
            if self._crash_guard.is_blocked(request):
                request.on_attempt_failed(upstream.id, "blocked as crashing")
                return Outcome.NOT_RUN
            self._crash_guard.begin(request)
            request.attempt_count += 1
            request.is_in_flight = True
            head = await connection.send(
                self._request_head(request, upstream), request.exchange.body
            )
            head, facts = await self._find_answer(request, connection, head)
            if request.is_forwarded:
                # Only hosts may mark refusals, as the forwarding host trusts the mark.
                head = without_mark(head)
            request.framing, request.upstream_status = head.framing, head.status
            request.states_not_run = facts.was_refused
            self._pools.set_keep_alive(upstream.key, facts.keep_seconds)
            if facts.other_upstream in ("", upstream.id):
                self._crash_guard.record_alive(upstream.key, request.attempt_started_at)
            self._signals.apply(
                upstream, head.status, facts, request.attempt_started_at
            )
            outcome = await self._handle_answer(
                request, upstream, connection, head, facts
            )
            # A late copy of an answer without an id couldn't be told from the next one.
            if facts.closes or not facts.attempt_id:
                connection.close()
            request.is_in_flight = False
            return outcome
        except ConnectionFault:
            connection.close()
            request.is_in_flight = False
            raise
        finally:
            self._pools.release(upstream.key, connection)

    def _request_head(self, request: RelayedRequest, upstream: Announcement):
        forwarding = Forwarding(
            upstream=upstream.id,
            wait=request.deadline - self._timers.now(),
            workspace=request.workspace_name,
            priority=request.priority,
            last_event_id=request.events.last_id,
        )
        return self._wire.write_request(request.exchange.head, forwarding)

    async def _find_answer(
        self, request: RelayedRequest, connection: UpstreamConnection, head: AnswerHead
    ) -> tuple[AnswerHead, AnswerFacts]:
        """Return the answer to this request, skipping late answers to earlier ones.

        Nothing that a skipped answer states is used, as its upstream's state may have
        changed since.
        """
        facts = self._wire.read_answer(head)
        skipped = 0
        while facts.attempt_id != request.facts.attempt_id:
            if not facts.attempt_id:
                raise ConnectionFault("the answer names no request", True)
            skipped += 1
            if skipped > _MAX_LATE_ANSWERS:
                raise ConnectionFault("the answers belong to other requests", True)
            logging.info(
                "relay: %s: skipped the answer with status %d to %s",
                request.name,
                head.status,
                facts.attempt_id.decode("latin-1"),
            )
            head = await connection.skip_answer()
            facts = self._wire.read_answer(head)
        return head, facts

    async def _handle_answer(
        self,
        request: RelayedRequest,
        upstream: Announcement,
        connection: UpstreamConnection,
        head: AnswerHead,
        facts: AnswerFacts,
    ) -> Outcome:
        if facts.was_refused or head.status == _MISDIRECTED_STATUS:
            return await self._handle_refusal(
                request, upstream, connection, head, facts
            )
        request.may_have_run = True
        if request.exchange.has_begun and not is_event_stream(head):
            return await self._discard_failure(request, upstream, connection, head)
        if is_promise(head.status) and not request.route.is_repeatable:
            return await self._withhold(request, connection, head)
        if head.status >= _MIN_SERVER_ERROR_STATUS:
            return await self._store_failure(request, connection, head)
        await self._answers.forward(request, connection, head)
        request.is_answered = True
        return Outcome.ANSWERED

    async def _handle_refusal(
        self,
        request: RelayedRequest,
        upstream: Announcement,
        connection: UpstreamConnection,
        head: AnswerHead,
        facts: AnswerFacts,
    ) -> Outcome:
        # The head alone states the refusal.
        request.is_in_flight = False
        await self._discard_refusal(request, connection)
        request.on_attempt_failed(upstream.id, f"refused with {head.status}")
        if facts.other_upstream and facts.other_upstream != upstream.id:
            # Another upstream has taken over the address.
            self._catalog.mark_gone(upstream.id, upstream.incarnation, _SOURCE_ANSWER)
        return Outcome.NOT_RUN

    async def _discard_refusal(
        self, request: RelayedRequest, connection: UpstreamConnection
    ) -> None:
        """Discard a refusal's body, even if it breaks off: the head states enough."""
        try:
            await self._discard_body(request, connection)
        except ConnectionFault as fault:
            connection.close()
            logging.info("relay: %s: a refusal broke off: %s", request.name, fault.text)

    async def _discard_body(
        self, request: RelayedRequest, connection: UpstreamConnection
    ) -> None:
        """Discard a body; close the connection if the body is late or too long."""
        reason = "it is late"
        with self._timers.move_on_after(_DISCARD_SECONDS):
            size = 0
            async for piece in connection.pieces():
                size += len(piece)
                if size > _MAX_FAILURE_BYTES:
                    reason = "it is too long"
                    break
            else:
                return
        connection.close()
        logging.info("relay: %s: cut a body of no use: %s", request.name, reason)

    async def _store_failure(
        self, request: RelayedRequest, connection: UpstreamConnection, head: AnswerHead
    ) -> Outcome:
        """Store an upstream's error answer, sent to the caller if no retry succeeds."""
        body = await self._read_failure(request, connection)
        request.on_attempt_failed(
            request.choice.upstream.id, f"its answer is {head.status}"
        )
        self._count_run(request)
        if body is not None:
            headers = self._wire.write_answer(head, is_framed=True)
            request.failure_answer = Answer(head.status, body, headers)
        return Outcome.FAILED

    async def _read_failure(
        self, request: RelayedRequest, connection: UpstreamConnection
    ) -> bytes | None:
        """Return an error answer's body, None if it's too long or takes too long."""
        body = bytearray()
        reason = "it is late"
        with self._timers.move_on_after(_FAILURE_BODY_SECONDS):
            async for piece in connection.pieces():
                body += piece
                if len(body) > _MAX_FAILURE_BYTES:
                    reason = "it is too long"
                    break
            else:
                return bytes(body)
        connection.close()
        logging.info("relay: %s: cut an error answer: %s", request.name, reason)
        return None

    async def _withhold(
        self, request: RelayedRequest, connection: UpstreamConnection, head: AnswerHead
    ) -> Outcome:
        """Discard an answer whose status would promise that the request hasn't run.

        A server error counts as a failure of the upstream, another status doesn't.
        """
        await self._discard_body(request, connection)
        request.on_attempt_failed(
            request.choice.upstream.id,
            f"its answer is {head.status}, which doesn't state that it hasn't run",
        )
        # A failure may come before the prompt is read, so it's no first token.
        request.first_byte_at = request.first_byte_at or self._timers.now()
        self._count_run(request)
        if head.status >= _MIN_SERVER_ERROR_STATUS:
            return Outcome.FAILED
        return Outcome.WITHHELD

    async def _discard_failure(
        self,
        request: RelayedRequest,
        upstream: Announcement,
        connection: UpstreamConnection,
        head: AnswerHead,
    ) -> Outcome:
        """Discard an answer to the resumption of a stream that doesn't go on with it.

        Forwarding its body would insert it into the stream, which would then look
        complete.
        """
        await self._discard_body(request, connection)
        request.on_attempt_failed(
            upstream.id, f"it doesn't go on, but answers {head.status}"
        )
        return Outcome.FAILED

    def _record_fault(
        self, request: RelayedRequest, upstream: Announcement, fault: ConnectionFault
    ) -> Outcome:
        request.may_have_run = request.may_have_run or fault.was_sent
        if fault.was_sent:
            self._count_run(request)
            self._crash_guard.record_loss(request)
        request.on_attempt_failed(upstream.id, fault.text)
        return Outcome.FAILED if fault.was_sent else Outcome.NOT_RUN

    def _record_prefill(self, request: RelayedRequest, is_read: bool) -> None:
        """Remove the prompt from its upstream's pending prefill work."""
        if not request.is_prefill_pending:
            return
        request.is_prefill_pending = False
        seconds = self._timers.now() - request.attempt_started_at if is_read else None
        self._chooser.record_prefill(request.choice, seconds)
        self._selector.record_first_token(request.choice, seconds)

    def _record_first_byte(self, request: RelayedRequest) -> None:
        """Record the arrival of the first token or of the answer."""
        self._record_prefill(request, is_read=True)
        self._crash_guard.record_first_byte(request)
        request.first_byte_at = request.first_byte_at or self._timers.now()
        self._record_origin(request)
        self._count_run(request)

    def _record_origin(self, request: RelayedRequest) -> None:
        """Record which software began a stream that may be resumed."""
        if request.is_origin_recorded or not request.is_resumable_stream:
            return
        request.is_origin_recorded = True
        self._origins.record_first_event(request)

    def _count_run(self, request: RelayedRequest) -> None:
        """Count the request once for usage accounting, whether or not its run fails.

        A request whose answer was lost counts too, as its upstream has most likely
        started it.
        """
        if request.is_counted or not request.workspace_name:
            return
        request.is_counted = True
        self._counts.record_run(request.workspace_name)
