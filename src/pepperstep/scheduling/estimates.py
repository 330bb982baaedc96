"""Estimates of upstreams' speeds, learned from observations.

The upstreams of a shard share an `EstimateGroup` for each quantity, with which a new
upstream and an old estimate are compared.
"""

import math
from bisect import insort

from pepperstep.scheduling.settings import SchedulingSettings

__all__ = ["Estimate", "EstimateGroup", "ShardEstimates"]

# Largest relative change of an estimate by one observation, so that a wrong report has
# little effect.
_MAX_CHANGE = 0.1
# Weight of an observation. With `_MAX_CHANGE`, observations of up to twice the estimate
# count in full, which keeps the estimate of a noisy upstream at its mean.
_OBSERVATION_WEIGHT = 0.1
# Estimates stay within this factor of the mean of the shard's upstreams.
_MAX_DEVIATION = math.log(8)
# Age in seconds from which an estimate counts half and the mean of the shard the other
# half. An upstream that appeared slow and gets no requests is tried again this way.
_STALE_SECONDS = 30.0
# Time in seconds for which a request occupies an engine's slot, before the first
# observation, as in `pepperstep.routing.prediction`.
_INITIAL_OCCUPANCY_SECONDS = 1.0
# Time to first token in seconds that isn't prefill, before the first observation, as in
# `pepperstep.relay.prompts`.
_INITIAL_LAG_SECONDS = 0.02


class Estimate:
    """A positive quantity of one upstream, learned from observations.

    The update is multiplicative, that is, a bounded step in log space. Its fixed point
    is the arithmetic mean of the observations, so that an upstream that is slow at
    times counts with its mean speed.
    """

    __slots__ = ("_group", "_log", "_updated_at", "_value", "is_observed")

    def __init__(self, group: "EstimateGroup", value: float, now: float):
        self._group = group
        self._value = value
        self._log = math.log(value)
        self._updated_at = now
        # Whether there was an observation.
        self.is_observed = False

    def value(self, now: float) -> float:
        """Return the estimate, half of it the group's mean if it's old."""
        if now - self._updated_at <= _STALE_SECONDS:
            return self._value
        return math.exp((self._log + self._group.mean_log) / 2)

    def observe(self, observed: float, now: float) -> None:
        """Update the estimate, by at most a tenth."""
        before = self.value(now)
        change = _OBSERVATION_WEIGHT * (observed / before - 1)
        change = min(_MAX_CHANGE, max(-_MAX_CHANGE, change))
        self._set_log(self._group.bound(math.log(before) + math.log1p(change), before))
        self._updated_at = now
        self.is_observed = True

    def _set_log(self, log: float) -> None:
        self._group.sum_log += log - self._log
        self._log = log
        self._value = math.exp(log)


class EstimateGroup:
    """Estimates of the same quantity for the upstreams of a shard.

    `initial` is the value for an upstream without others to compare it with.
    """

    def __init__(self, initial: float):
        self._initial = initial
        self._estimates: list[Estimate] = []
        # Sum of the estimates' logarithms, kept by the estimates.
        self.sum_log = 0.0

    @property
    def mean_log(self) -> float:
        """Mean of the estimates' logarithms."""
        return self.sum_log / len(self._estimates)

    @property
    def mean(self) -> float:
        """Geometric mean of the estimates."""
        return math.exp(self.mean_log)

    def add(self, now: float) -> Estimate:
        """Return the estimate of a new upstream.

        It starts at the upper quartile of the observed times, which is the lower
        quartile of the speeds, so that it gets less load until its speed is known.
        """
        known: list[float] = []
        for each in self._estimates:
            if each.is_observed:
                insort(known, each.value(now))
        value = known[3 * len(known) // 4] if known else self._initial
        estimate = Estimate(self, value, now)
        self._estimates.append(estimate)
        self.sum_log += math.log(value)
        return estimate

    def remove(self, estimate: Estimate) -> None:
        """Drop the estimate of an upstream that is gone."""
        self._estimates.remove(estimate)
        # Summed anew, so that rounding errors don't add up.
        self.sum_log = sum(each._log for each in self._estimates)

    def bound(self, log: float, before: float) -> float:
        """Return `log` within the allowed factor of the group's mean.

        An estimate that was already outside, as the mean has moved, isn't changed by
        more than its observation allows.
        """
        mean = self.mean_log
        low = min(mean - _MAX_DEVIATION, math.log(before))
        high = max(mean + _MAX_DEVIATION, math.log(before))
        return min(high, max(low, log))


class ShardEstimates:
    """What a shard learns of its upstreams; times in seconds."""

    def __init__(self, settings: SchedulingSettings, is_engine: bool):
        self.is_engine = is_engine
        # Prefill time of a token.
        self.token = EstimateGroup(1 / settings.initial_tokens_per_second)
        # Time for which a request occupies a slot; for a plain service, its service
        # time.
        self.occupancy = EstimateGroup(
            _INITIAL_OCCUPANCY_SECONDS
            if is_engine
            else settings.initial_service_seconds
        )
        # Time to first token that isn't prefill: steps of running requests, transport.
        self.lag = EstimateGroup(_INITIAL_LAG_SECONDS)
