"""Recording of the relay's decisions as log events and metrics."""

from absl import logging

from pepperstep.coordination import TableStore, UpstreamCatalog
from pepperstep.errors import Execution, Failure
from pepperstep.observability.decisions import (
    QuotaExceeded,
    RequestAbandoned,
    RequestChosen,
    RequestCut,
    RequestEnded,
    RequestFailed,
    RequestRefused,
    RetryAsked,
)
from pepperstep.observability.relay_metrics import RelayMetrics, StatusSource
from pepperstep.ports import Timers
from pepperstep.ports.exchange import Exchange, RequestHead
from pepperstep.relay.budget import BudgetState
from pepperstep.relay.choice import Choice
from pepperstep.relay.quotas import Admission, QuotaState
from pepperstep.relay.relayed_request import RelayedRequest

__all__ = ["RelayRecorder"]

_UNKNOWN_CLASS = "none"
# Limit on a target or a header in a log line. Routes' hosts and prefixes and ids of
# attempts are shorter, but callers may send values of any length.
_MAX_CHARS = 120


class RelayRecorder:
    """Writes log events and metrics of one host's relay."""

    def __init__(
        self,
        metrics: RelayMetrics,
        tables: TableStore,
        catalog: UpstreamCatalog,
        timers: Timers,
    ):
        self._metrics = metrics
        self._tables = tables
        self._catalog = catalog
        self._timers = timers

    def record_chosen(self, request: RelayedRequest, choice: Choice) -> None:
        """Record the upstream of an attempt, with the inputs of the choice."""
        event = RequestChosen(
            request=request.name,
            attempt=request.attempt_count + 1,
            service=request.service.name,
            upstream=choice.upstream.id,
            announcement=choice.upstream.sequence,
            upstreams_version=self._catalog.version,
            routes_version=self._tables.current.version,
            candidates=choice.candidates,
            missing_tokens=choice.missing,
            first_token_ms=round(1000 * choice.first_token),
            since_arrival_ms=self._age_ms(request.exchange),
            software=choice.upstream.software,
            last_event=_text(request.events.last_id or request.facts.last_event_id),
            resumes=_text(request.facts.resumes),
        )
        logging.info("relay: %s", event)

    def record_failed(
        self, request: RelayedRequest, upstream: str, reason: str
    ) -> None:
        """Record an attempt that brought no answer for the caller."""
        self._metrics.note_failed(request.service.name)
        # The upstream of an attempt that wasn't made hasn't answered.
        is_tried = request.choice is not None and request.choice.upstream.id == upstream
        event = RequestFailed(
            request=request.name,
            attempt=request.attempt_count,
            upstream=upstream,
            may_have_run=request.may_have_run,
            reason=reason,
            after_ms=self._age_ms(request.exchange),
            content=f"{request.content:016x}" if request.may_have_run else "",
            parts=_digests_of(request) if request.may_have_run else (),
            status=request.upstream_status if is_tried else 0,
            states_not_run=request.states_not_run and is_tried,
        )
        logging.info("relay: %s", event)

    def record_retry(
        self, request: RelayedRequest, state: BudgetState, is_granted: bool
    ) -> None:
        """Record the decision on a retry, with the budget's state before it."""
        event = RetryAsked(
            request=request.name,
            service=request.service.name,
            is_granted=is_granted,
            requests=state.requests,
            retries=state.retries,
            saved=round(state.saved, 1),
            hosts=state.hosts,
        )
        logging.info("relay: %s", event)

    def record_resumption(self, outcome: str) -> None:
        """Count a stream that its caller resumes.

        `outcome` is "bound" if it can go on at the version that began it, else why not.
        """
        self._metrics.note_resumption(outcome)

    def record_answered(self, request: RelayedRequest) -> None:
        """Record a request that an upstream has answered, whatever its status."""
        now = self._timers.now()
        arrived_at = request.exchange.arrived_at
        first_byte_seconds = (request.first_byte_at or now) - arrived_at
        self._metrics.note_answered(
            request.workspace_name,
            metric_class(request),
            first_byte_seconds,
            now - arrived_at,
        )
        event = RequestEnded(
            request=request.name,
            route=request.route.name,
            workspace=request.workspace_name,
            upstream=request.choice.upstream.id,
            attempts=request.attempt_count,
            first_ms=round(1000 * first_byte_seconds),
            after_ms=self._age_ms(request.exchange),
            target_ms=round(1000 * request.route.target_latency),
            prompt_tokens=request.facts.prompt_tokens,
            framing=request.framing or "",
            status=request.sent_status,
        )
        if not request.is_forwarded:
            self._metrics.note_status(StatusSource.UPSTREAM, request.sent_status)
        logging.info("relay: %s", event)

    def record_abandoned(self, request: RelayedRequest) -> None:
        """Record a request whose caller has left."""
        choice = request.choice
        event = RequestAbandoned(
            request=request.name,
            upstream="" if choice is None else choice.upstream.id,
            attempts=request.attempt_count,
            is_in_flight=request.is_in_flight,
            was_begun=request.exchange.has_begun,
            after_ms=self._age_ms(request.exchange),
        )
        logging.info("relay: %s", event)

    def record_cut(self, request: RelayedRequest) -> None:
        """Record a request that is cut because this host stops."""
        choice = request.choice
        event = RequestCut(
            request=request.name,
            upstream="" if choice is None else choice.upstream.id,
            attempts=request.attempt_count,
            is_in_flight=request.is_in_flight,
            was_begun=request.exchange.has_begun,
            after_ms=self._age_ms(request.exchange),
            may_have_run=request.may_have_run or request.is_in_flight,
        )
        logging.info("relay: %s", event)

    def record_over_quota(
        self,
        request: RelayedRequest,
        cost: float,
        state: QuotaState,
        admission: Admission,
    ) -> None:
        """Record a request over its quota, with the inputs of the decision."""
        event = QuotaExceeded(
            request=request.name,
            workspace=request.workspace_name,
            cost=cost,
            left=round(state.level),
            own_left=round(state.share_level),
            reserve=round(state.reserve),
            hosts=state.hosts,
            asked=admission.asked,
            left_there=round(admission.left),
        )
        logging.info("relay: %s", event)

    def record_refused(
        self,
        exchange: Exchange,
        name: str,
        failure: Failure,
        status: int,
        request: RelayedRequest | None,
    ) -> None:
        """Record a request that ends with this system's own failure.

        `status` is the one sent to the caller, 0 if the answer is aborted.
        """
        workspace = "" if request is None else request.workspace_name
        kind = _UNKNOWN_CLASS if request is None else metric_class(request)
        self._metrics.note_refused(workspace, kind, failure.code)
        if request is None or not request.is_forwarded:
            self._metrics.note_status(StatusSource.HOST, status)
        has_answer = request is not None and request.upstream_status != 0
        event = RequestRefused(
            request=name,
            code=failure.code,
            may_have_run=failure.execution is Execution.MAY_HAVE_RUN,
            routes_version=self._tables.current.version,
            reason=failure.text,
            after_ms=self._age_ms(exchange),
            retry_after_ms=round(1000 * (failure.retry_after or 0.0)),
            workspace=workspace,
            was_begun=exchange.has_begun,
            prompt_tokens=0 if request is None else request.facts.prompt_tokens,
            service="" if request is None else request.service.name,
            upstreams=0 if request is None else self._count_upstreams(request),
            target=truncated_target(exchange.head) if request is None else "",
            status=status,
            attempts=0 if request is None else request.attempt_count,
            upstream=request.choice.upstream.id if has_answer else "",
            upstream_status=request.upstream_status if has_answer else 0,
        )
        logging.info("relay: %s", event)

    def _count_upstreams(self, request: RelayedRequest) -> int:
        return len(self._catalog.working(request.service.name))

    def _age_ms(self, exchange: Exchange) -> int:
        return round(1000 * (self._timers.now() - exchange.arrived_at))


def _text(value: bytes) -> str:
    """Return a header's value for a log line, truncated to the limit."""
    return value.decode("latin-1")[:_MAX_CHARS]


def truncated_target(head: RequestHead) -> str:
    """Return the requested host and path, truncated to the limit."""
    host = head.first(b"host").decode("latin-1")
    path = head.target.decode("latin-1").partition("?")[0]
    return f"{host}{path}"[:_MAX_CHARS]


def metric_class(request: RelayedRequest) -> str:
    """Return the metrics' class of a request: its kind and priority."""
    route = request.route
    kind = "stream" if route.is_stream else str(route.repetition)
    return f"{kind}-{request.priority}"


def _digests_of(request: RelayedRequest) -> tuple[str, ...]:
    return tuple(f"{part:016x}" for part in request.parts)
