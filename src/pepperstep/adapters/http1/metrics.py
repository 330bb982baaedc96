"""HTTP endpoint for a host's metrics."""

from pepperstep.observability.relay_metrics import RelayMetrics
from pepperstep.ports.exchange import Answer, Exchange

__all__ = ["MetricsHandler"]

_PATH = b"/metrics"


class MetricsHandler:
    """Serves all metrics in the text exposition format at `/metrics`."""

    def __init__(self, metrics: RelayMetrics):
        self._metrics = metrics

    async def handle(self, exchange: Exchange) -> None:
        """Answer one scrape."""
        if exchange.head.target != _PATH:
            await exchange.answer(Answer(404))
            return
        headers = ((b"content-type", self._metrics.content_type.encode()),)
        await exchange.answer(Answer(200, self._metrics.render(), headers))
