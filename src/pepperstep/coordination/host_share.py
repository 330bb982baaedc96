"""This host's equal part of what all entry hosts may use together.

The part is one by the number of hosts that control hosts tell. It's worth nothing
without their word, as a host that isn't heard of is counted no longer after a while.
What a part is worth adds up over time, from nothing at each start: so what a host has
by it doesn't depend on what its lives before have used.
"""

from collections import deque
from collections.abc import Callable

__all__ = ["CONTACT_SECONDS", "HostShare"]

# Time without word after which a host is out of contact, in seconds: two rounds of
# questions.
CONTACT_SECONDS = 1.2
# Time without word during which a host is surely counted on, in seconds.
_COUNTED_SECONDS = 5.0


class HostShare:
    """The part, by the numbers of hosts that control hosts tell.

    The highest number that was told in the last `window` seconds counts: control hosts
    that have just started hear of the hosts one after the other.
    """

    def __init__(self, window: float, now: Callable[[], float]):
        self._window = window
        self._now = now
        # Times and numbers told, each lower than the one before.
        self._told: deque[tuple[float, int]] = deque()
        self._told_at = float("-inf")
        # Seconds of the whole that the part was worth since this host is counted.
        self.credit = 0.0
        # How often this host has begun to be counted; the credit begins anew then.
        self.joins = 0

    @property
    def hosts(self) -> int:
        """Most hosts that were told of within the window, 1 before any were."""
        limit = self._now() - self._window
        while len(self._told) > 1 and self._told[0][0] < limit:
            self._told.popleft()
        return self._told[0][1] if self._told else 1

    @property
    def part(self) -> float:
        """Part of the whole that this host may use now, 0 for none."""
        if self._now() - self._told_at > CONTACT_SECONDS:
            return 0.0
        return 1 / self.hosts

    def record_host_count(self, hosts: int) -> None:
        """Take in how many hosts a control host counts, this one among them.

        Only one that's in contact with most others counts all.
        """
        now = self._now()
        while self._told and self._told[-1][1] <= hosts:
            self._told.pop()
        self._told.append((now, hosts))
        passed = now - self._told_at
        self._told_at = now
        if passed > _COUNTED_SECONDS:
            self.joins += 1
            self.credit = 0.0
            return
        self.credit += min(passed, CONTACT_SECONDS) / self.hosts
