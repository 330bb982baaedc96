"""Failures and latency histograms of a service's versions in a roll-out."""

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from pepperstep.proto import rollouts_pb2 as pb

__all__ = ["Outcomes", "Tally", "latency_bucket"]

# Latency buckets: two per doubling, from a millisecond on.
_BUCKETS_PER_DOUBLING = 2
_MIN_SECONDS = 0.001
_MAX_BUCKET = 63


def latency_bucket(value: float) -> int:
    """Return the bucket of a time in seconds, or of its ratio to the expected time."""
    doublings = math.log2(max(value, _MIN_SECONDS) / _MIN_SECONDS)
    return min(int(_BUCKETS_PER_DOUBLING * doublings), _MAX_BUCKET)


@dataclass(slots=True)
class Tally:
    """Outcomes of requests on one route at one upstream, or a sum of such."""

    failed: int = 0
    # Number of answered requests by latency bucket.
    answered: Counter[int] = field(default_factory=Counter)

    @property
    def answers(self) -> int:
        """Number of answered requests."""
        return self.answered.total()

    @property
    def total(self) -> int:
        """Number of answered and failed requests."""
        return self.failed + self.answers

    def slow(self, limit: int) -> int:
        """Return the number of answers in buckets from `limit` on."""
        return sum(count for each, count in self.answered.items() if each >= limit)

    def add(self, other: "Tally") -> None:
        """Add the counts of another tally."""
        self.failed += other.failed
        self.answered.update(other.answered)


@dataclass(slots=True)
class Outcomes:
    """Tallies by route and upstream of the new version, "" for other versions."""

    tallies: dict[tuple[str, str], Tally] = field(default_factory=dict)
    # Requests in flight at upstreams of other versions.
    in_flight: int = 0

    @classmethod
    def sum_of(cls, parts: Iterable["Outcomes"]) -> "Outcomes":
        """Return the sum of the outcomes of several hosts."""
        total = cls()
        for part in parts:
            total.in_flight += part.in_flight
            for (route, upstream), tally in part.tallies.items():
                total.tally(route, upstream).add(tally)
        return total

    @classmethod
    def from_message(cls, message: pb.RolloutEvidence) -> "Outcomes":
        """Return the outcomes in `message`."""
        outcomes = cls(in_flight=message.in_flight)
        for each in message.outcomes:
            pairs = zip(each.answered[::2], each.answered[1::2], strict=False)
            tally = Tally(each.failed, Counter(dict(pairs)))
            outcomes.tallies[each.route, each.upstream] = tally
        return outcomes

    def subtract(self, earlier: "Outcomes") -> "Outcomes":
        """Return the outcomes counted since `earlier`."""
        rest = Outcomes(in_flight=self.in_flight)
        for key, tally in self.tallies.items():
            before = earlier.tallies.get(key, Tally())
            rest.tallies[key] = Tally(
                max(0, tally.failed - before.failed), tally.answered - before.answered
            )
        return rest

    def to_messages(self) -> list[pb.OutcomeCounts]:
        """Return the tallies as messages."""
        return [
            pb.OutcomeCounts(
                route=route,
                upstream=upstream,
                failed=tally.failed,
                answered=[each for pair in tally.answered.items() for each in pair],
            )
            for (route, upstream), tally in self.tallies.items()
        ]

    def tally(self, route: str, upstream: str) -> Tally:
        """Return the tally of a route at an upstream, creating it if needed."""
        return self.tallies.setdefault((route, upstream), Tally())

    def routes(self) -> set[str]:
        """Return the routes with a tally."""
        return {route for route, _ in self.tallies}

    def upstreams(self) -> set[str]:
        """Return the upstreams of the new version with a tally."""
        return {upstream for _, upstream in self.tallies if upstream}

    def of_old(self, route: str | None = None) -> Tally:
        """Return the sum for other versions, on one route or on all."""
        return self._sum(route, lambda upstream: not upstream)

    def of_new(self, route: str | None = None, without: str = "") -> Tally:
        """Return the sum for the new version, leaving out upstream `without`."""
        return self._sum(route, lambda upstream: upstream and upstream != without)

    def _sum(self, route: str | None, is_counted) -> Tally:
        total = Tally()
        for (name, upstream), tally in self.tallies.items():
            if is_counted(upstream) and route in (None, name):
                total.add(tally)
        return total
