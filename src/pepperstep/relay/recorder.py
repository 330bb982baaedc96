"""What the relay tells operators: one event a decision, and the metrics."""

from absl import logging

from pepperstep.coordination import TableStore, UpstreamCatalog
from pepperstep.errors import Execution, Failure
from pepperstep.observability.decisions import (
    QuotaExceeded,
    RequestChosen,
    RequestEnded,
    RequestFailed,
    RequestRefused,
    RetryAsked,
)
from pepperstep.observability.relay_metrics import RelayMetrics
from pepperstep.ports import Timers
from pepperstep.ports.exchange import Exchange, RequestHead
from pepperstep.relay.attempt import Attempt
from pepperstep.relay.budget import BudgetState
from pepperstep.relay.choice import Choice
from pepperstep.relay.quotas import Admission, QuotaState

__all__ = ["RelayRecorder"]

_NO_CLASS = "none"
# Characters of a request's target in a line: routes' hosts and prefixes are shorter,
# and callers may send targets without end.
_MAX_TARGET = 120


class RelayRecorder:
    """Events and metrics of one host's relay."""

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

    def note_chosen(self, attempt: Attempt, choice: Choice) -> None:
        """Note the upstream of an attempt, with what decided it."""
        event = RequestChosen(
            request=attempt.name,
            attempt=attempt.sent + 1,
            service=attempt.service.name,
            upstream=choice.upstream.id,
            announcement=choice.upstream.sequence,
            upstreams_version=self._catalog.version,
            routes_version=self._tables.current.version,
            candidates=choice.candidates,
            missing_tokens=choice.missing,
            first_token_ms=round(1000 * choice.first_token),
            since_arrival_ms=self._age(attempt.exchange),
        )
        logging.info("relay: %s", event)

    def note_failed(self, attempt: Attempt, upstream: str, reason: str) -> None:
        """Note an attempt without an answer for the caller."""
        self._metrics.note_failed(attempt.service.name)
        event = RequestFailed(
            request=attempt.name,
            attempt=attempt.sent,
            upstream=upstream,
            may_have_run=attempt.has_run,
            reason=reason,
            after_ms=self._age(attempt.exchange),
        )
        logging.info("relay: %s", event)

    def note_retry(
        self, attempt: Attempt, state: BudgetState, is_granted: bool
    ) -> None:
        """Note what a retry was granted or denied by."""
        event = RetryAsked(
            request=attempt.name,
            service=attempt.service.name,
            is_granted=is_granted,
            requests=state.requests,
            retries=state.retries,
            saved=round(state.saved, 1),
            hosts=state.hosts,
        )
        logging.info("relay: %s", event)

    def note_answered(self, attempt: Attempt) -> None:
        """Note a request with an upstream's answer."""
        now = self._timers.now()
        arrived_at = attempt.exchange.arrived_at
        first = (attempt.first_at or now) - arrived_at
        self._metrics.note_answered(
            attempt.workspace, class_of(attempt), first, now - arrived_at
        )
        event = RequestEnded(
            request=attempt.name,
            route=attempt.route.name,
            workspace=attempt.workspace,
            upstream=attempt.choice.upstream.id,
            attempts=attempt.sent,
            first_ms=round(1000 * first),
            after_ms=self._age(attempt.exchange),
            target_ms=round(1000 * attempt.route.target_latency),
            prompt_tokens=attempt.facts.prompt_tokens,
        )
        logging.info("relay: %s", event)

    def note_over_quota(
        self, attempt: Attempt, cost: float, state: QuotaState, admission: Admission
    ) -> None:
        """Note what a quota's refusal was decided by."""
        event = QuotaExceeded(
            request=attempt.name,
            workspace=attempt.workspace,
            cost=cost,
            left=round(state.level),
            own_left=round(state.own_level),
            reserve=round(state.reserve),
            hosts=state.hosts,
            asked=admission.asked,
            left_there=round(admission.left),
        )
        logging.info("relay: %s", event)

    def note_refused(
        self,
        exchange: Exchange,
        request: str,
        failure: Failure,
        attempt: Attempt | None,
    ) -> None:
        """Note a request that this system ends itself."""
        workspace = "" if attempt is None else attempt.workspace
        kind = _NO_CLASS if attempt is None else class_of(attempt)
        self._metrics.note_refused(workspace, kind, failure.code)
        event = RequestRefused(
            request=request,
            code=failure.code,
            may_have_run=failure.execution is Execution.MAY_HAVE_RUN,
            routes_version=self._tables.current.version,
            reason=failure.text,
            after_ms=self._age(exchange),
            retry_after_ms=round(1000 * (failure.retry_after or 0.0)),
            workspace=workspace,
            was_begun=exchange.has_begun,
            prompt_tokens=0 if attempt is None else attempt.facts.prompt_tokens,
            service="" if attempt is None else attempt.service.name,
            upstreams=0 if attempt is None else self._count_upstreams(attempt),
            target=target_of(exchange.head) if attempt is None else "",
        )
        logging.info("relay: %s", event)

    def _count_upstreams(self, attempt: Attempt) -> int:
        return len(self._catalog.working(attempt.service.name))

    def _age(self, exchange: Exchange) -> int:
        return round(1000 * (self._timers.now() - exchange.arrived_at))


def target_of(head: RequestHead) -> str:
    """Return the host and path that a caller asks for, cut where they are long."""
    host = head.first(b"host").decode("latin-1")
    path = head.target.decode("latin-1").partition("?")[0]
    return f"{host}{path}"[:_MAX_TARGET]


def class_of(attempt: Attempt) -> str:
    """Return the class of a request: its kind and urgency."""
    route = attempt.route
    kind = "stream" if route.is_stream else str(route.repetition)
    return f"{kind}-{attempt.priority}"
