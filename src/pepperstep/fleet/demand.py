"""How many replicas a deployment needs for its measured demand."""

import math
from collections import deque
from dataclasses import dataclass

from pepperstep.configuration import Deployment

__all__ = ["Demand", "Need", "PeakDemand", "needed_replicas", "startable_replicas"]

# Margin over the mean demand in its standard deviations, if only latency counts,
# and what is taken off if only cost does.
_LATENCY_MARGIN = 2.0
_COST_SHARE = 1.5
# Most by which a missed latency target raises the number of replicas.
_MAX_CORRECTION = 2.0


@dataclass(frozen=True, slots=True)
class Demand:
    """Measured demand of a deployment; latencies in seconds, 0 if not measured."""

    # Requests that run or wait, and the slots of one replica.
    busy: float = 0.0
    slots: int = 16
    first_token_p95: float = 0.0
    between_tokens_p95: float = 0.0


@dataclass(frozen=True, slots=True)
class Need:
    """Replicas that must remain after the loss of a zone, and that are wanted."""

    base: int
    wanted: int
    busy: float = 0.0


class PeakDemand:
    """The demand with the most requests in the last `window` seconds."""

    def __init__(self, window: float):
        self._window = window
        self._samples: deque[tuple[float, Demand]] = deque()

    def note(self, now: float, demand: Demand) -> Demand:
        """Add a sample and return the peak; latencies are those of the sample."""
        while self._samples and self._samples[0][0] < now - self._window:
            self._samples.popleft()
        while self._samples and self._samples[-1][1].busy <= demand.busy:
            self._samples.pop()
        self._samples.append((now, demand))
        return Demand(
            self._samples[0][1].busy,
            demand.slots,
            demand.first_token_p95,
            demand.between_tokens_p95,
        )


def needed_replicas(demand: Demand, deployment: Deployment) -> Need:
    """Return the replicas for a demand, within the deployment's bounds.

    The margin grows with the square root of the demand, as the deviation of
    independent arrivals does; the weight on cost makes it smaller.
    """
    slots = max(1, demand.slots)
    margin = _LATENCY_MARGIN - _COST_SHARE * deployment.cost_weight
    wanted = (demand.busy + margin * math.sqrt(demand.busy)) / slots
    wanted *= _correction(demand, deployment)
    base = _bounded(demand.busy / slots, deployment)
    return Need(base, max(base, _bounded(wanted, deployment)), demand.busy)


def startable_replicas(
    notice_seconds: float, boot_seconds: float, size_bytes: float, rate: float
) -> int:
    """Return how many replicas are ready within a notice's time.

    They share `rate`, the bytes a second at which weights come.
    """
    seconds = notice_seconds - boot_seconds
    if seconds <= 0 or size_bytes <= 0:
        return 0
    return int(seconds * rate / size_bytes)


def _bounded(replicas: float, deployment: Deployment) -> int:
    count = math.ceil(replicas - 1e-9)
    return min(max(count, deployment.min_replicas), deployment.max_replicas)


def _correction(demand: Demand, deployment: Deployment) -> float:
    """Return by how much a missed target raises the wanted replicas."""
    missed = max(
        demand.first_token_p95 / deployment.first_token_seconds,
        demand.between_tokens_p95 / deployment.between_tokens_seconds,
    )
    return min(max(1.0, missed), _MAX_CORRECTION)
