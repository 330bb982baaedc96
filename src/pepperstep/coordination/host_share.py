"""This host's equal share of quotas and budgets that entry hosts have in common.

The share is one divided by the number of entry hosts that control hosts report. It's
zero without a recent report, as control hosts soon stop counting a host they don't hear
from. The credit accrues over time from zero at each start, so it doesn't depend on what
the host's previous incarnations have used.
"""

from collections import deque
from collections.abc import Callable

__all__ = ["CONTACT_SECONDS", "HostShare"]

# Time without a report after which a host is out of contact, in seconds: two rounds of
# polling.
CONTACT_SECONDS = 1.2
# Time without a report for which control hosts certainly count this host, in seconds.
_REJOIN_SECONDS = 5.0


class HostShare:
    """The share by the host counts that control hosts report.

    The highest count of the last `window` seconds applies: control hosts that have just
    started hear from the entry hosts one after the other.
    """

    def __init__(self, window: float, now: Callable[[], float]):
        self._window = window
        self._now = now
        # Times and host counts, each count lower than the one before.
        self._host_counts: deque[tuple[float, int]] = deque()
        self._updated_at = float("-inf")
        # Accrued share in seconds of the whole, since control hosts count this host.
        self.credit = 0.0
        # How often control hosts began to count this host; each time resets `credit`.
        self.joins = 0

    @property
    def hosts(self) -> int:
        """Highest host count within the window, 1 before the first report."""
        limit = self._now() - self._window
        while len(self._host_counts) > 1 and self._host_counts[0][0] < limit:
            self._host_counts.popleft()
        return self._host_counts[0][1] if self._host_counts else 1

    @property
    def part(self) -> float:
        """Fraction of the whole that this host may use, 0 out of contact."""
        if self._now() - self._updated_at > CONTACT_SECONDS:
            return 0.0
        return 1 / self.hosts

    def record_host_count(self, hosts: int) -> None:
        """Record a control host's count of entry hosts, this one included.

        Only a control host in contact with most others counts all of them.
        """
        now = self._now()
        while self._host_counts and self._host_counts[-1][1] <= hosts:
            self._host_counts.pop()
        self._host_counts.append((now, hosts))
        elapsed = now - self._updated_at
        self._updated_at = now
        if elapsed > _REJOIN_SECONDS:
            self.joins += 1
            self.credit = 0.0
            return
        self.credit += min(elapsed, CONTACT_SECONDS) / self.hosts
