"""The timer service that parts subscribe to."""

from collections.abc import AsyncIterator
from typing import Protocol

import trio

__all__ = ["Timers"]


class Timers(Protocol):
    """Clock and timers of one host; all times are in seconds."""

    def now(self) -> float:
        """Return the monotonic time, which has no relation to other hosts."""

    def wall(self) -> float:
        """Return the Unix time, which hosts share within a known bound."""

    async def sleep(self, seconds: float) -> None:
        """Return after `seconds`, later if the host was paused."""

    def subscribe(self, period: float, jitter: float = 0.0) -> AsyncIterator[float]:
        """Yield the monotonic time each `period`, moved by up to `jitter` of it.

        Ticks that fell due while the subscriber was busy are dropped.
        """

    def move_on_after(self, seconds: float) -> trio.CancelScope:
        """Return a scope that cancels its block after `seconds`, at once below 0."""
