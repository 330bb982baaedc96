"""Prometheus metrics of the relay, by workspace and request class."""

from prometheus_client import (
    CONTENT_TYPE_LATEST,
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

__all__ = ["RelayMetrics"]

# Upper bounds in seconds.
_FIRST_BUCKETS = (0.02, 0.05, 0.1, 0.2, 0.35, 0.54, 0.8, 1, 1.5, 2.5, 5)
_WHOLE_BUCKETS = (0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 20)
_LABELS = ("workspace", "class")
# Limit on the label combinations, as a configuration can have any number of workspaces.
_MAX_SERIES = 400
_OTHERS = "others"


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
        self._series: set[tuple[str, str]] = set()

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

    def note_failed(self, service: str) -> None:
        """Count an attempt without an answer for the caller."""
        self._failed.labels(service).inc()

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)

    def _labels(self, workspace: str, kind: str) -> tuple[str, str]:
        labels = (workspace or "public", kind)
        if labels not in self._series and len(self._series) >= _MAX_SERIES:
            return _OTHERS, kind
        self._series.add(labels)
        return labels
