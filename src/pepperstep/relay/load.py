"""Work that a service's upstreams have, as means of the last seconds."""

import math

from pepperstep.coordination import ServiceWork

__all__ = ["LoadMeter"]

# Time over which the requests under way are averaged, in seconds.
_REQUESTS_SECONDS = 3.0
# The same for reading. Requests come in clumps, and a clump that an upstream works
# on for a second must show.
_READING_SECONDS = 2.0


class LoadMeter:
    """Means of one service that forget exponentially."""

    def __init__(self, now: float):
        self._count = 0
        self._requests = 0.0
        self._requests_at = now
        self._reading = 0.0
        self._reading_at = now

    def begin(self, now: float) -> None:
        """Count a request that is sent to an upstream."""
        self._forget_requests(now)
        self._count += 1

    def end(self, now: float) -> None:
        """Count the end of a request."""
        self._forget_requests(now)
        self._count -= 1

    def note_reading(self, seconds: float, now: float) -> None:
        """Take in a prompt that an upstream reads for so long."""
        self._forget_reading(now)
        self._reading += seconds / _READING_SECONDS

    def work(self, now: float) -> ServiceWork:
        """Return the means up to `now`."""
        self._forget_requests(now)
        self._forget_reading(now)
        return ServiceWork(self._requests, self._reading)

    def _forget_requests(self, now: float) -> None:
        kept = math.exp((self._requests_at - now) / _REQUESTS_SECONDS)
        self._requests = kept * self._requests + (1 - kept) * self._count
        self._requests_at = now

    def _forget_reading(self, now: float) -> None:
        self._reading *= math.exp((self._reading_at - now) / _READING_SECONDS)
        self._reading_at = now
