"""Recording of the scheduling's decisions as log events and metrics."""

from collections.abc import Sequence

from absl import logging

from pepperstep.observability.decisions import (
    PlacementRefused,
    RequestScheduled,
    SchedulingUnavailable,
    ShardCreated,
)
from pepperstep.observability.relay_metrics import RelayMetrics

__all__ = ["SchedulingRecorder"]

# Upstreams named in the line of a new shard. A shard may have thousands, and a line of
# more than 4,096 bytes is cut off.
_MAX_NAMED_UPSTREAMS = 16


class SchedulingRecorder:
    """Writes log events and metrics of one host's scheduling.

    An event has its own logging statement, so that each kind of line is bounded by
    itself.
    """

    def __init__(self, metrics: RelayMetrics):
        self._metrics = metrics

    def record_placed(self, event: RequestScheduled) -> None:
        """Record a request that an owner placed."""
        self._metrics.note_placed(event.service)
        logging.info("scheduling: %s", event)

    def record_refused(self, event: PlacementRefused) -> None:
        """Record a request that the owners refused."""
        self._metrics.note_placement_refused(event.service, event.reason)
        logging.info("scheduling: %s", event)

    def record_unavailable(
        self, request: str, service: str, shards: Sequence[str]
    ) -> None:
        """Record a request for which no owner answered."""
        self._metrics.note_placed_alone(service)
        event = SchedulingUnavailable(request, service, list(shards))
        logging.info("scheduling: %s", event)

    def record_first_token(
        self, service: str, predicted: float, seconds: float
    ) -> None:
        """Record the predicted and the observed time to first token, in seconds."""
        self._metrics.note_first_token(service, predicted, seconds)

    def record_shard(
        self, service: str, shard: str, epoch: int, upstreams: Sequence[str]
    ) -> None:
        """Record that this host owns a shard since `epoch`, in Unix milliseconds."""
        event = ShardCreated(
            service=service,
            shard=shard,
            epoch=epoch,
            upstreams=len(upstreams),
            first_upstreams=sorted(upstreams)[:_MAX_NAMED_UPSTREAMS],
        )
        logging.info("scheduling: %s", event)
