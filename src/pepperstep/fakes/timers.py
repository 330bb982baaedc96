"""Timers of a host that can be paused."""

import random
from collections.abc import AsyncIterator

import trio

__all__ = ["FakeTimers"]

# Unix time at which virtual time starts.
EPOCH = 1_800_000_000.0


class FakeTimers:
    """Timers on trio's clock; while paused, no sleep of the host returns."""

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
        """Stop the host's timers; its clock goes on."""
        if not self.is_paused:
            self._running = trio.Event()

    def resume(self) -> None:
        """Let the host's timers go on."""
        self._running.set()

    async def wait_running(self) -> None:
        """Return at once unless the host is paused, else when it resumes."""
        while self.is_paused:
            await self._running.wait()

    def now(self) -> float:
        """Return the virtual time."""
        return trio.current_time()

    def step_wall(self, seconds: float) -> None:
        """Let the Unix time jump."""
        self._wall_offset += seconds

    def wall(self) -> float:
        """Return the virtual Unix time."""
        return EPOCH + trio.current_time() + self._wall_offset

    async def sleep(self, seconds: float) -> None:
        """Return after `seconds`, later while paused."""
        await trio.sleep(max(0.0, seconds))
        await self.wait_running()

    async def subscribe(
        self, period: float, jitter: float = 0.0
    ) -> AsyncIterator[float]:
        """Yield the virtual time each `period` seconds."""
        due = self.now()
        while True:
            due = due + period * (1 + jitter * (self._rng.random() - 0.5))
            await trio.sleep_until(due)
            await self.wait_running()
            yield self.now()
            due = max(due, self.now() - period)

    def move_on_after(self, seconds: float) -> trio.CancelScope:
        """Return a scope that cancels its block after `seconds`, at once below 0."""
        return trio.move_on_after(max(0.0, seconds))
