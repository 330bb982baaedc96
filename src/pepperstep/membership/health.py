"""Local health: whether this host itself is slow, paused or isolated."""

from pepperstep.ports import Timers

__all__ = ["LocalHealth"]

_MAX_SCORE = 8
# Without any answer for this long, this host considers itself isolated.
_CONTACT_TIMEOUT_SECONDS = 1.5
# A timer that fires later than this means that the process was paused.
_MAX_DELAY_SECONDS = 0.5


class LocalHealth:
    """Score of this host's failed probes, and the time of its last contact."""

    def __init__(self, timers: Timers):
        self._timers = timers
        self._score = 0
        self._last_contact = timers.now()

    @property
    def timeout_factor(self) -> int:
        """Factor by which to multiply timeouts, 1 for a healthy host."""
        return 1 + self._score

    @property
    def is_isolated(self) -> bool:
        """Whether no other host has answered this host recently."""
        return self._timers.now() - self._last_contact > _CONTACT_TIMEOUT_SECONDS

    def has_contact_since(self, time: float) -> bool:
        """Return whether another host answered after `time`."""
        return self._last_contact > time

    def was_paused(self, due: float) -> bool:
        """Return whether a timer that was due at `due` fires much too late."""
        return self._timers.now() - due > _MAX_DELAY_SECONDS * self.timeout_factor

    def record_contact(self) -> None:
        """Record that another host has answered a call."""
        self._last_contact = self._timers.now()

    def record_success(self) -> None:
        """Record that a probe was answered."""
        self._score = max(0, self._score - 1)

    def record_failure(self) -> None:
        """Record that a probe failed without an answer from any helper."""
        self._score = min(_MAX_SCORE, self._score + 1)
