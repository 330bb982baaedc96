"""Clock and periodic timers."""

from collections.abc import AsyncIterator
from typing import Protocol

import trio

__all__ = ["Timers"]


class Timers(Protocol):
    """Clock and timers of one host; all times are in seconds."""

    def now(self) -> float:
        """Return the monotonic time, which isn't comparable between hosts."""

    def wall(self) -> float:
        """Return the Unix time, which differs between hosts by a bounded skew."""

    async def sleep(self, seconds: float) -> None:
        """Return after `seconds`, later if the host was paused."""

    def subscribe(self, period: float, jitter: float = 0.0) -> AsyncIterator[float]:
        """Yield the monotonic time every `period`, shifted by up to `jitter` of it.

        Ticks that fall due while the subscriber is busy are dropped.
        """

    def move_on_after(self, seconds: float) -> trio.CancelScope:
        """Return a scope that is cancelled after `seconds`, at once if below 0."""
