"""Computation of the replicas that a deployment needs for its measured demand."""

import math
from collections import deque
from dataclasses import dataclass

from pepperstep.configuration import Deployment

__all__ = ["Demand", "Need", "PeakDemand", "needed_replicas", "startable_replicas"]

# Margin over the mean demand, in standard deviations, at a cost weight of 0, and by how
# much a cost weight of 1 reduces it.
_LATENCY_MARGIN = 2.0
_COST_MARGIN_REDUCTION = 1.5
# Largest factor by which a missed latency target raises the replicas.
_MAX_LATENCY_CORRECTION = 2.0


@dataclass(frozen=True, slots=True)
class Demand:
    """Measured demand of a deployment; latencies in seconds, 0 if unknown."""

    # Running and waiting requests, and the slots of one replica.
    busy: float = 0.0
    slots: int = 16
    first_token_p95: float = 0.0
    between_tokens_p95: float = 0.0


@dataclass(frozen=True, slots=True)
class Need:
    """Replicas needed: `base` after the loss of a zone, `wanted` with a margin."""

    base: int
    wanted: int
    busy: float = 0.0


class PeakDemand:
    """Sliding-window maximum of the demand over the last `window` seconds."""

    def __init__(self, window: float):
        self._window = window
        self._samples: deque[tuple[float, Demand]] = deque()

    def add(self, now: float, demand: Demand) -> Demand:
        """Add a sample and return it with the peak number of requests."""
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
    """Return the replicas needed for a demand, within the deployment's bounds.

    The margin grows with the square root of the demand, as the standard deviation of
    independent arrivals does; a higher cost weight reduces it.
    """
    slots = max(1, demand.slots)
    margin = _LATENCY_MARGIN - _COST_MARGIN_REDUCTION * deployment.cost_weight
    wanted = (demand.busy + margin * math.sqrt(demand.busy)) / slots
    wanted *= _latency_correction(demand, deployment)
    base = _clamp(demand.busy / slots, deployment)
    return Need(base, max(base, _clamp(wanted, deployment)), demand.busy)


def startable_replicas(
    notice_seconds: float, boot_seconds: float, size_bytes: float, rate: float
) -> int:
    """Return how many replicas can boot and load within a reclaim notice.

    They share `rate`, the weight store's bytes a second.
    """
    seconds = notice_seconds - boot_seconds
    if seconds <= 0 or size_bytes <= 0:
        return 0
    return int(seconds * rate / size_bytes)


def _clamp(replicas: float, deployment: Deployment) -> int:
    count = math.ceil(replicas - 1e-9)
    return min(max(count, deployment.min_replicas), deployment.max_replicas)


def _latency_correction(demand: Demand, deployment: Deployment) -> float:
    """Return the factor by which missed latency targets raise the replicas."""
    ratio = max(
        demand.first_token_p95 / deployment.first_token_seconds,
        demand.between_tokens_p95 / deployment.between_tokens_seconds,
    )
    return min(max(1.0, ratio), _MAX_LATENCY_CORRECTION)
