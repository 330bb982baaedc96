"""Timers on a clock that includes the time during which the host is suspended.

Trio's clock stops while the host is suspended. A lease measured with it would still
seem valid after the host resumes, although it has expired.
"""

import random
import time
from collections.abc import AsyncIterator

import trio

__all__ = ["TrioTimers"]


class TrioTimers:
    """Timers on the system clock; `rng` provides the jitter."""

    def __init__(self, rng: random.Random):
        self._rng = rng

    def now(self) -> float:
        """Return the monotonic time, including suspended time."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Return the Unix time."""
        return time.time()

    async def sleep(self, seconds: float) -> None:
        """Sleep for `seconds`."""
        await trio.sleep(max(0.0, seconds))

    async def subscribe(
        self, period: float, jitter: float = 0.0
    ) -> AsyncIterator[float]:
        """Yield the current time every `period` seconds, varied by `jitter`."""
        due = self.now()
        while True:
            due = max(due + period * (1 + jitter * (self._rng.random() - 0.5)), 0)
            await self.sleep(due - self.now())
            yield self.now()
            due = max(due, self.now() - period)

    def move_on_after(self, seconds: float) -> trio.CancelScope:
        """Return a scope that is cancelled after `seconds`, at once if negative."""
        return trio.move_on_after(max(0.0, seconds))
