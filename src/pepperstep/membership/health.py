"""How far this host can trust its own view of the others."""

from pepperstep.ports import Timers

__all__ = ["LocalHealth"]

_MAX_SCORE = 8
# Seconds without any answer after which this host counts as cut off.
_CONTACT_TIMEOUT = 1.5
# Seconds that a wait may be late before the process counts as paused.
_MAX_DELAY = 0.5


class LocalHealth:
    """Answers that this host got, which prove that it is not the one cut off."""

    def __init__(self, timers: Timers):
        self._timers = timers
        self._score = 0
        self._last_contact = timers.now()

    @property
    def factor(self) -> int:
        """What timeouts are multiplied by, 1 for a healthy host."""
        return 1 + self._score

    @property
    def is_isolated(self) -> bool:
        """Whether nobody has answered this host lately."""
        return self._timers.now() - self._last_contact > _CONTACT_TIMEOUT

    def has_contact_since(self, time: float) -> bool:
        """Return whether another host answered after `time`."""
        return self._last_contact > time

    def was_paused(self, due: float) -> bool:
        """Return whether what was due at `due` comes much too late."""
        return self._timers.now() - due > _MAX_DELAY * self.factor

    def note_contact(self) -> None:
        """Take in that another host has answered a call."""
        self._last_contact = self._timers.now()

    def note_success(self) -> None:
        """Take in that a probe was answered."""
        self._score = max(0, self._score - 1)

    def note_failure(self) -> None:
        """Take in that a probe failed and nobody answered meanwhile."""
        self._score = min(_MAX_SCORE, self._score + 1)
