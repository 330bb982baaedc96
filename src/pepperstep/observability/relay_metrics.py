"""Prometheus metrics of the relay, by workspace and request class, or by service."""

import enum
from collections.abc import Callable

from prometheus_client import (
    CONTENT_TYPE_LATEST,
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

__all__ = ["RelayMetrics", "StatusSource"]

# Upper bounds in seconds.
_FIRST_BUCKETS = (0.02, 0.05, 0.1, 0.2, 0.35, 0.54, 0.8, 1, 1.5, 2.5, 5)
_WHOLE_BUCKETS = (0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 20)
# Upper bounds of the observed time to first token divided by the predicted one.
_RATIO_BUCKETS = (0.25, 0.5, 0.67, 0.8, 0.9, 1.0, 1.1, 1.25, 1.5, 2, 4, 8)
# Shorter predictions count as this many seconds: their ratio says nothing, as the
# request's way to the upstream takes about as long.
_MIN_PREDICTION_SECONDS = 0.01
_LABELS = ("workspace", "class")
# Limit on the label combinations, as a configuration can have any number of workspaces.
_MAX_SERIES = 400
# Limit on the services with series of their own in the metrics of the scheduling, of
# which each has some twenty.
_MAX_SERVICES = 50
_OTHERS = "others"
_MIN_ERROR_STATUS = 400
# Statuses with series of their own; an upstream may answer with any.
_KNOWN_STATUSES = frozenset(
    (400, 401, 403, 404, 408, 409, 413, 421, 422, 429, 431, 500, 502, 503, 504)
)


class StatusSource(enum.StrEnum):
    """Who gave the status that a caller gets."""

    UPSTREAM = "upstream"
    HOST = "host"
    # Another entry host, to which the request was forwarded.
    PEER = "peer"


class RelayMetrics:
    """Metrics of one host; label values come from the configuration only."""

    content_type = CONTENT_TYPE_LATEST

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._answered = Counter(
            "pepperstep_answered",
            "Requests with an upstream's answer",
            _LABELS,
            registry=self.registry,
        )
        self._refused = Counter(
            "pepperstep_refused",
            "Requests ended by this system",
            (*_LABELS, "code"),
            registry=self.registry,
        )
        self._failed = Counter(
            "pepperstep_attempts_failed",
            "Attempts without an answer for the caller",
            ("service",),
            registry=self.registry,
        )
        self._statuses = Counter(
            "pepperstep_statuses",
            "Statuses of at least 400 that this host's callers got, by who gave them",
            ("source", "status"),
            registry=self.registry,
        )
        self._forwarded = Counter(
            "pepperstep_forwarded",
            "Requests sent to other entry hosts, as this one is cut off from upstreams",
            ("outcome",),
            registry=self.registry,
        )
        self._resumptions = Counter(
            "pepperstep_resumptions",
            "Streams that callers resume, by whether they can go on",
            ("outcome",),
            registry=self.registry,
        )
        self._first = Histogram(
            "pepperstep_first_seconds",
            "From arrival to the answer's first byte",
            _LABELS,
            buckets=_FIRST_BUCKETS,
            registry=self.registry,
        )
        self._whole = Histogram(
            "pepperstep_whole_seconds",
            "From arrival to the whole answer",
            _LABELS,
            buckets=_WHOLE_BUCKETS,
            registry=self.registry,
        )
        self._placed = Counter(
            "pepperstep_placements",
            "Requests placed by the owner of a shard",
            ("service",),
            registry=self.registry,
        )
        self._placements_refused = Counter(
            "pepperstep_placements_refused",
            "Requests refused by owners of shards, by the limit that refused them",
            ("service", "reason"),
            registry=self.registry,
        )
        self._placed_alone = Counter(
            "pepperstep_placements_without_owner",
            "Requests for which no owner answered, placed by this host alone",
            ("service",),
            registry=self.registry,
        )
        self._first_ratio = Histogram(
            "pepperstep_first_token_ratio",
            "Observed time to first token divided by the predicted one",
            ("service",),
            buckets=_RATIO_BUCKETS,
            registry=self.registry,
        )
        self._series: set[tuple[str, str]] = set()
        self._services: set[str] = set()

    def add_gauge(self, name: str, text: str, value) -> None:
        """Add a gauge whose value is read at each scrape."""
        gauge = Gauge(f"pepperstep_{name}", text, registry=self.registry)
        gauge.set_function(value)

    def note_answered(
        self, workspace: str, kind: str, first: float, whole: float
    ) -> None:
        """Record an answered request, with its latencies in seconds."""
        labels = self._labels(workspace, kind)
        self._answered.labels(*labels).inc()
        self._first.labels(*labels).observe(first)
        self._whole.labels(*labels).observe(whole)

    def note_refused(self, workspace: str, kind: str, code: str) -> None:
        """Count a request that this system answered with an error."""
        self._refused.labels(*self._labels(workspace, kind), code).inc()

    def note_status(self, source: StatusSource, status: int) -> None:
        """Count the status of an error that a caller got."""
        if status >= _MIN_ERROR_STATUS:
            label = str(status) if status in _KNOWN_STATUSES else _OTHERS
            self._statuses.labels(source, label).inc()

    def note_failed(self, service: str) -> None:
        """Count an attempt without an answer for the caller."""
        self._failed.labels(service).inc()

    def note_forwarded(self, outcome: str) -> None:
        """Count a request that was sent to another entry host, by what came of it."""
        self._forwarded.labels(outcome).inc()

    def note_resumption(self, outcome: str) -> None:
        """Count a stream that its caller resumes, by whether it can go on."""
        self._resumptions.labels(outcome).inc()

    def add_scheduling_gauges(
        self, owned_shards: Callable[[], int], in_flight: Callable[[], int]
    ) -> None:
        """Add gauges of the shards that this host owns and their in-flight requests."""
        self.add_gauge("owned_shards", "Shards that this host owns.", owned_shards)
        self.add_gauge(
            "owned_in_flight", "Requests of all hosts in its shards.", in_flight
        )

    def note_placed(self, service: str) -> None:
        """Count a request that an owner placed."""
        self._placed.labels(self._service_label(service)).inc()

    def note_placement_refused(self, service: str, reason: str) -> None:
        """Count a request that the owners refused; `reason` names the limit."""
        label = self._service_label(service)
        self._placements_refused.labels(label, reason).inc()

    def note_placed_alone(self, service: str) -> None:
        """Count a request that this host placed, as no owner answered."""
        self._placed_alone.labels(self._service_label(service)).inc()

    def note_first_token(self, service: str, predicted: float, seconds: float) -> None:
        """Record the predicted and the observed time to first token, in seconds."""
        ratio = seconds / max(predicted, _MIN_PREDICTION_SECONDS)
        self._first_ratio.labels(self._service_label(service)).observe(ratio)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)

    def _labels(self, workspace: str, kind: str) -> tuple[str, str]:
        labels = (workspace or "public", kind)
        if labels not in self._series and len(self._series) >= _MAX_SERIES:
            return _OTHERS, kind
        self._series.add(labels)
        return labels

    def _service_label(self, service: str) -> str:
        if service not in self._services and len(self._services) >= _MAX_SERVICES:
            return _OTHERS
        self._services.add(service)
        return service
