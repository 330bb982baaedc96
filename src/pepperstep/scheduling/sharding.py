"""Assignment of a service's upstreams to shards, and the shards that a request tries.

The assignment depends only on the service and the upstream's id, so all hosts agree on
it, and an upstream that joins or leaves doesn't move others.
"""

import heapq
import math
import random
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass

import xxhash

from pepperstep.entities.routes import Service
from pepperstep.ports.relaying import PromptPart

__all__ = [
    "DelayReport",
    "order_by_delay",
    "order_by_prompt",
    "shard_count",
    "shard_of",
]

# Upstreams in one shard on average, at the service's scaling bound. The owner of a
# shard can compare this many upstreams for each request within its processor time.
_UPSTREAMS_PER_SHARD = 16
_MAX_SHARDS = 8
# Shards that one request tries. A second shard of engines helps while the first is
# overloaded; a shard of a plain service has only one upstream.
_MAX_TRIED_ENGINE_SHARDS = 2
_MAX_TRIED_PLAIN_SHARDS = 3
# Age in seconds from which a reported delay is unknown, as a queue of a plain upstream
# can drain within this time.
_REPORT_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class DelayReport:
    """A shard's predicted delay in seconds, and the monotonic time of its report."""

    delay: float
    reported_at: float


def shard_count(service: Service) -> int:
    """Return the number of shards of a service with an engine."""
    if service.scaling is None:
        return 1
    upstreams = service.scaling.max_count * len(service.scaling.zone_prices)
    return min(_MAX_SHARDS, max(1, round(upstreams / _UPSTREAMS_PER_SHARD)))


def shard_of(service: Service, upstream: str) -> str:
    """Return the name of the shard to which the upstream with this id belongs."""
    if service.engine is None:
        return upstream
    return str(xxhash.xxh64_intdigest(upstream.encode()) % shard_count(service))


def order_by_prompt(
    parts: Sequence[PromptPart], shards: Collection[str], rng: random.Random
) -> list[str]:
    """Return the shards that a request to an engine tries, first one first.

    The order comes from rendezvous hashing of the prompt's subject, its second-to-last
    part, so that prompts with the same prefix go to the same shard. Without parts, the
    order is random.
    """
    if not parts:
        count = min(len(shards), _MAX_TRIED_ENGINE_SHARDS)
        return rng.sample(sorted(shards), count)
    subject = parts[-2:][0].id
    ranked = sorted(
        shards, key=lambda shard: xxhash.xxh64_intdigest(f"{subject}/{shard}".encode())
    )
    return ranked[:_MAX_TRIED_ENGINE_SHARDS]


def order_by_delay(
    shards: Collection[str],
    reports: Mapping[str, DelayReport],
    now: float,
    rng: random.Random,
) -> list[str]:
    """Return the shards that a request to a plain service tries, first one first.

    Shards with a missing or an old report come first, which refreshes their reports. A
    reported delay falls with time, as the upstream works on. Otherwise, an upstream
    could become idle unnoticed while three others are tried.
    """

    def rank(shard: str) -> tuple[float, float]:
        report = reports.get(shard)
        age = now - report.reported_at if report is not None else math.inf
        if age > _REPORT_SECONDS:
            return 0.0, rng.random()
        return max(0.0, report.delay - age), rng.random()

    return heapq.nsmallest(_MAX_TRIED_PLAIN_SHARDS, shards, key=rank)
