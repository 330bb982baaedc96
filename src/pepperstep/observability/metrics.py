"""Metrics of one host, in a registry of their own."""

from collections.abc import Callable

from prometheus_client import (
    CONTENT_TYPE_LATEST,
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from pepperstep.entities import Priority
from pepperstep.errors import Code
from pepperstep.observability.recorder import ChunkFault, RecomputeCause, RetryCause

__all__ = ["Metrics"]

# Upper bounds in seconds.
_FIRST_TOKEN_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.54, 0.8, 1.2, 2, 5, 15, 60)
_TOKEN_BUCKETS = (0.002, 0.005, 0.01, 0.02, 0.035, 0.053, 0.08, 0.15, 0.5, 2, 10)
_WHOLE_BUCKETS = (0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 20, 40, 80, 160, 300)

_CLASS_LABELS = ("workspace", "class")

# Method that records one time.
_Observe = Callable[[float], None]


class _ClassHistogram:
    """Histogram by workspace and class that keeps the way to each series."""

    def __init__(
        self,
        name: str,
        text: str,
        buckets: tuple[float, ...],
        registry: CollectorRegistry,
    ):
        self._histogram = Histogram(
            name, text, _CLASS_LABELS, buckets=buckets, registry=registry
        )
        self._series: dict[tuple[str, Priority], _Observe] = {}

    def observe(self, workspace: str, priority: Priority, seconds: float) -> None:
        """Record one time."""
        observe = self._series.get((workspace, priority))
        if observe is None:
            name = Priority(priority).name.lower()
            observe = self._histogram.labels(workspace, name).observe
            self._series[workspace, priority] = observe
        observe(seconds)


class Metrics:
    """Recorder that keeps all facts as metrics.

    Labels come from the configuration and from enumerations only, so that no
    caller can add series without end.
    """

    content_type = CONTENT_TYPE_LATEST

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._first_token = self._histogram(
            "time_to_first_token",
            "From arrival to the first token",
            _FIRST_TOKEN_BUCKETS,
        )
        self._between_tokens = self._histogram(
            "time_between_tokens", "Between tokens, mean of a chunk", _TOKEN_BUCKETS
        )
        self._queued = self._histogram(
            "queueing", "Wait of an attempt for a place", _FIRST_TOKEN_BUCKETS
        )
        self._answered = self._histogram(
            "request", "From arrival to the whole answer", _WHOLE_BUCKETS
        )
        self._refused = self._counter(
            "refusals", "Requests that ended by error", "code"
        )
        self._retries = self._counter("retries", "Attempts after the first", "cause")
        self._recomputed = self._counter(
            "recomputed_tokens", "Tokens computed again", "cause"
        )
        self._chunk_faults = self._counter(
            "chunk_faults", "Chunks of answers that were dropped", "fault"
        )
        self._cost = self._counter(
            "cost", "Money spent on hosts", "deployment", "price_class"
        )

    def watch(self, name: str, text: str, value: Callable[[], float]) -> None:
        """Add a gauge that is read at each scrape.

        Every host has "revision", "is_leader" and "in_flight".
        """
        gauge = Gauge(f"pepperstep_{name}", text, registry=self.registry)
        gauge.set_function(value)

    def render(self) -> bytes:
        """Return all metrics in the text format."""
        return generate_latest(self.registry)

    def record_first_token(
        self, workspace: str, priority: Priority, seconds: float
    ) -> None:
        """Note the time from a request's arrival to its first token."""
        self._first_token.observe(workspace, priority, seconds)

    def record_token_interval(
        self, workspace: str, priority: Priority, seconds: float
    ) -> None:
        """Note the mean time between the tokens of one chunk."""
        self._between_tokens.observe(workspace, priority, seconds)

    def record_answer(self, workspace: str, priority: Priority, seconds: float) -> None:
        """Note the time from a request's arrival to its whole answer."""
        self._answered.observe(workspace, priority, seconds)

    def record_queueing(
        self, workspace: str, priority: Priority, seconds: float
    ) -> None:
        """Note the time that an attempt waited for a place."""
        self._queued.observe(workspace, priority, seconds)

    def record_refusal(self, code: Code) -> None:
        """Note a request that ended by an error."""
        self._refused.labels(code).inc()

    def record_retry(self, cause: RetryCause) -> None:
        """Note an attempt after the first one."""
        self._retries.labels(cause).inc()

    def record_recomputed(self, cause: RecomputeCause, tokens: int) -> None:
        """Note tokens of prompt and answer computed again."""
        self._recomputed.labels(cause).inc(tokens)

    def record_chunk_fault(self, fault: ChunkFault) -> None:
        """Note a chunk that was dropped."""
        self._chunk_faults.labels(fault).inc()

    def record_cost(self, deployment: str, price_class: str, amount: float) -> None:
        """Note money spent on a deployment's hosts."""
        self._cost.labels(deployment, price_class).inc(amount)

    def _histogram(
        self, name: str, text: str, buckets: tuple[float, ...]
    ) -> _ClassHistogram:
        return _ClassHistogram(
            f"pepperstep_{name}_seconds", text, buckets, self.registry
        )

    def _counter(self, name: str, text: str, *labels: str) -> Counter:
        return Counter(f"pepperstep_{name}", text, labels, registry=self.registry)
