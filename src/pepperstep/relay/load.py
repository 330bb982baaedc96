"""Exponentially weighted averages of the work of a service's upstreams."""

import math

from pepperstep.coordination import ServiceWork

__all__ = ["LoadMeter"]

# Time constant for the number of in-flight requests.
_REQUESTS_TIME_CONSTANT_SECONDS = 3.0
# Time constant for prefill work. It's short enough to show a burst of prompts that
# keeps an upstream busy for a second.
_READING_TIME_CONSTANT_SECONDS = 2.0


class LoadMeter:
    """Averages of in-flight requests and prefill work of one service."""

    def __init__(self, now: float):
        self._in_flight = 0
        self._mean_requests = 0.0
        self._requests_updated_at = now
        self._mean_reading = 0.0
        self._reading_updated_at = now

    def begin(self, now: float) -> None:
        """Count a request as in flight."""
        self._decay_requests(now)
        self._in_flight += 1

    def end(self, now: float) -> None:
        """Count a request as ended."""
        self._decay_requests(now)
        self._in_flight -= 1

    def add_reading(self, seconds: float, now: float) -> None:
        """Add a prompt whose prefill takes `seconds`."""
        self._decay_reading(now)
        self._mean_reading += seconds / _READING_TIME_CONSTANT_SECONDS

    def work(self, now: float) -> ServiceWork:
        """Return the averages at `now`."""
        self._decay_requests(now)
        self._decay_reading(now)
        return ServiceWork(self._mean_requests, self._mean_reading)

    def _decay_requests(self, now: float) -> None:
        decay = math.exp(
            (self._requests_updated_at - now) / _REQUESTS_TIME_CONSTANT_SECONDS
        )
        self._mean_requests = (
            decay * self._mean_requests + (1 - decay) * self._in_flight
        )
        self._requests_updated_at = now

    def _decay_reading(self, now: float) -> None:
        self._mean_reading *= math.exp(
            (self._reading_updated_at - now) / _READING_TIME_CONSTANT_SECONDS
        )
        self._reading_updated_at = now
