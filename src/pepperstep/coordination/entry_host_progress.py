"""The upstream changes that the entry hosts polling this control host have applied."""

import trio

from pepperstep.ports import Timers

__all__ = ["EntryHostProgress"]

# Time without a request after which an entry host isn't waited for, in seconds. An
# entry host that can't reach this control host polls another one by then.
_SILENCE_SECONDS = 1.5
# Interval at which silent entry hosts are detected, in seconds.
_POLL_SECONDS = 0.1


class EntryHostProgress:
    """The catalog version that each polling entry host has applied, by host name."""

    def __init__(self, timers: Timers):
        self._timers = timers
        # Applied version, and monotonic time of the latest request.
        self._known: dict[str, tuple[int, float]] = {}
        self._changed = trio.Event()

    def record(self, host: str, version: int) -> None:
        """Record that a host requests the changes after `version`, 0 for all."""
        self._known[host] = version, self._timers.now()
        self._changed.set()
        self._changed = trio.Event()

    def lagging(self, version: int) -> list[str]:
        """Return the polling hosts that haven't applied `version` yet."""
        self._forget_silent()
        return [name for name, (known, _) in self._known.items() if known < version]

    async def wait_applied(self, version: int) -> None:
        """Return once all polling hosts have applied `version`."""
        while self.lagging(version):
            with self._timers.move_on_after(_POLL_SECONDS):
                await self._changed.wait()

    def _forget_silent(self) -> None:
        limit = self._timers.now() - _SILENCE_SECONDS
        for name, (_, asked_at) in list(self._known.items()):
            if asked_at < limit:
                del self._known[name]
