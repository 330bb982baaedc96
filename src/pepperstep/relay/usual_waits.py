"""Times that callers have waited before, estimated from the waits that they state.

A caller that retries after a refusal states the rest of its usual wait. Usual waits are
recognised by their number: first attempts state nearly the same wait again and again,
while those of retries are spread.
"""

import bisect
import math
from collections import Counter, OrderedDict

__all__ = ["UsualWaits"]

# Waits are counted in bins of this relative width. Most first attempts fall into one or
# two bins, and the retries of one kind of caller into more than forty.
_BIN_WIDTH = 0.005
# Fraction of a route's requests in two adjacent bins from which these are a usual wait.
# Under fourfold overload, a quarter of the requests are first attempts.
_USUAL_FRACTION = 0.15
# Least number of requests in these bins, as the retries among a host's first requests
# would otherwise be usual waits.
_MIN_USUAL_COUNT = 3
# Fraction of the usual wait by which callers' first attempts differ, for example by the
# time that connecting takes.
_TOLERANCE = 0.05
# Number of requests at which all counts of a route are halved, so that the latest
# requests count most, and between two searches for usual waits.
_MAX_COUNT = 512
_SEARCH_INTERVAL = 16
# Routes with counts; the least recently used ones are dropped.
_MAX_ROUTES = 1_024


class _RouteWaits:
    """Counts of the waits that a route's callers state."""

    def __init__(self):
        self._counts: Counter[int] = Counter()
        self._total = 0
        # Upper bounds of the bins of usual waits in seconds, in ascending order.
        self._usual: list[float] = []
        self._until_search = 0

    def add(self, wait: float) -> None:
        """Count a stated wait in seconds."""
        self._counts[math.ceil(math.log(wait) / _BIN_WIDTH)] += 1
        self._total += 1
        if self._total >= _MAX_COUNT:
            self._halve()
        self._until_search -= 1
        if self._until_search <= 0:
            self._search()

    def usual_for(self, wait: float) -> float:
        """Return the shortest usual wait from `wait` on, or `wait` if there is none."""
        place = bisect.bisect_left(self._usual, wait)
        return self._usual[place] if place < len(self._usual) else wait

    def _halve(self) -> None:
        halves = {number: count // 2 for number, count in self._counts.items()}
        self._counts = Counter({k: count for k, count in halves.items() if count})
        self._total = self._counts.total()

    def _search(self) -> None:
        self._until_search = min(_SEARCH_INTERVAL, self._total // 8)
        least = max(_MIN_USUAL_COUNT, _USUAL_FRACTION * self._total)
        self._usual = [
            math.exp(number * _BIN_WIDTH)
            for number, count in sorted(self._counts.items())
            if count + self._counts[number - 1] >= least
        ]


class UsualWaits:
    """The usual waits of each route's callers.

    A few callers that state other waits don't change them, and a route may have callers
    with different usual waits.
    """

    def __init__(self):
        self._routes: OrderedDict[str, _RouteWaits] = OrderedDict()

    def observe(self, route: str, wait: float | None) -> float:
        """Count a new request's stated wait, None if it states none.

        Return the seconds that its caller has presumably waited before, 0 for a first
        attempt.
        """
        if wait is None or not 0 < wait < math.inf:
            return 0.0
        waits = self._routes.get(route)
        if waits is None:
            waits = self._routes[route] = _RouteWaits()
            if len(self._routes) > _MAX_ROUTES:
                self._routes.popitem(last=False)
        self._routes.move_to_end(route)
        waits.add(wait)
        usual = waits.usual_for(wait)
        waited = usual - wait
        return waited if waited > _TOLERANCE * usual else 0.0
