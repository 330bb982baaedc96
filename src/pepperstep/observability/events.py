"""Event log of one host, shown by `pepperstep events`."""

from collections import deque
from dataclasses import dataclass

from pepperstep.ports import Timers

__all__ = ["Event", "EventLog"]

_MAX_EVENTS = 5000


@dataclass(frozen=True, slots=True)
class Event:
    """An action of one of a host's components, with its reason."""

    # Increases by one with each event of a host's process.
    id: int
    # Unix time in seconds.
    at: float
    host: str
    # Component, by its prefix in the log, such as "fleet" or "consensus".
    part: str
    # Action in one sentence.
    text: str
    # Reason in one sentence.
    reason: str = ""


class EventLog:
    """Bounded log of the latest events of one host."""

    def __init__(self, host: str, timers: Timers, max_events: int = _MAX_EVENTS):
        self._host = host
        self._timers = timers
        self._events: deque[Event] = deque(maxlen=max_events)
        self._last_id = 0

    def note(self, part: str, text: str, reason: str = "") -> None:
        """Record an event of a component at the current time."""
        self._last_id += 1
        event = Event(
            self._last_id, self._timers.wall(), self._host, part, text, reason
        )
        self._events.append(event)

    def after(self, event_id: int, limit: int) -> list[Event]:
        """Return the first `limit` events with an id above `event_id`, oldest first."""
        found = [event for event in self._events if event.id > event_id]
        return found[:limit]

    def last(self, limit: int) -> list[Event]:
        """Return the latest `limit` events, oldest first."""
        return list(self._events)[-limit:] if limit > 0 else []
