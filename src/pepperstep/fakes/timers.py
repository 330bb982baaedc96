"""Fake timers that can be paused, as when a process is frozen."""

import random
from collections.abc import AsyncIterator

import trio

__all__ = ["FakeTimers"]

# Wall-clock time in Unix seconds when virtual time is 0.
EPOCH = 1_800_000_000.0


class FakeTimers:
    """Timers on trio's clock; while paused, no sleep returns."""

    def __init__(self, rng: random.Random | None = None, wall_offset: float = 0.0):
        self._rng = rng or random.Random(0)
        self._wall_offset = wall_offset
        self._running = trio.Event()
        self._running.set()

    @property
    def is_paused(self) -> bool:
        """Whether the host is paused."""
        return not self._running.is_set()

    def pause(self) -> None:
        """Pause the host's timers; its clocks keep running."""
        if not self.is_paused:
            self._running = trio.Event()

    def resume(self) -> None:
        """Resume the host's timers."""
        self._running.set()

    async def wait_running(self) -> None:
        """Return at once, or on resume if the host is paused."""
        while self.is_paused:
            await self._running.wait()

    def now(self) -> float:
        """Return the virtual monotonic time in seconds."""
        return trio.current_time()

    def step_wall(self, seconds: float) -> None:
        """Step the wall clock by `seconds`, which may be negative."""
        self._wall_offset += seconds

    def wall(self) -> float:
        """Return the virtual wall-clock time in Unix seconds."""
        return EPOCH + trio.current_time() + self._wall_offset

    async def sleep(self, seconds: float) -> None:
        """Return after `seconds`, or on resume if the host is paused then."""
        await trio.sleep(max(0.0, seconds))
        await self.wait_running()

    async def subscribe(
        self, period: float, jitter: float = 0.0
    ) -> AsyncIterator[float]:
        """Yield the virtual time about every `period` seconds.

        Each period varies by up to half of `jitter`, a fraction of the period.
        """
        due = self.now()
        while True:
            due = due + period * (1 + jitter * (self._rng.random() - 0.5))
            await trio.sleep_until(due)
            await self.wait_running()
            yield self.now()
            due = max(due, self.now() - period)

    def move_on_after(self, seconds: float) -> trio.CancelScope:
        """Return a scope that cancels its block after `seconds`, at once if below 0."""
        return trio.move_on_after(max(0.0, seconds))
