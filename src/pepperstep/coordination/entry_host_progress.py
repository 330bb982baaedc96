"""Which of the upstreams' changes the entry hosts have taken in that ask this host."""

import trio

from pepperstep.ports import Timers

__all__ = ["EntryHostProgress"]

# Time without a question after which an entry host isn't waited for, in seconds. One
# that this host doesn't reach asks another one by then.
_SILENCE_SECONDS = 1.5
# Between looks whether one has gone silent, in seconds.
_LOOK_SECONDS = 0.1


class EntryHostProgress:
    """The entry hosts by name, with the version of the book that each has."""

    def __init__(self, timers: Timers):
        self._timers = timers
        # Versions, and monotonic times of the latest question.
        self._known: dict[str, tuple[int, float]] = {}
        self._changed = trio.Event()

    def record(self, host: str, version: int) -> None:
        """Take in that a host asks for what is newer than a version, 0 for all."""
        self._known[host] = version, self._timers.now()
        self._changed.set()
        self._changed = trio.Event()

    def behind(self, version: int) -> list[str]:
        """Return the hosts that ask, and haven't taken in a version yet."""
        self._forget_silent()
        return [name for name, (known, _) in self._known.items() if known < version]

    async def wait(self, version: int) -> None:
        """Return once all hosts that ask have taken in a version."""
        while self.behind(version):
            with self._timers.move_on_after(_LOOK_SECONDS):
                await self._changed.wait()

    def _forget_silent(self) -> None:
        limit = self._timers.now() - _SILENCE_SECONDS
        for name, (_, asked_at) in list(self._known.items()):
            if asked_at < limit:
                del self._known[name]
