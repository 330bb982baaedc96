"""Bounded log of events that explain the fleet's decisions."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, replace

__all__ = ["Event", "EventLog"]

_CAPACITY = 1000


@dataclass(frozen=True, slots=True)
class Event:
    """An event that concerns `subject`, with its reason; `time` is a Unix time."""

    time: float
    kind: str
    subject: str
    text: str
    reason: str = ""
    # Position in the log, counted from 1; 0 before the event is added.
    sequence: int = 0


class EventLog:
    """The newest events, oldest first."""

    def __init__(
        self, events: Iterable[Event] = (), last: int = 0, capacity: int = _CAPACITY
    ):
        self._events: deque[Event] = deque(events, maxlen=capacity)
        self._last = last

    @property
    def last(self) -> int:
        """Sequence number of the newest event, 0 if there is none."""
        return self._last

    def add(self, event: Event) -> None:
        """Append an event under the next sequence number."""
        self._last += 1
        self._events.append(replace(event, sequence=self._last))

    def since(self, sequence: int = 0) -> list[Event]:
        """Return the retained events with a higher sequence number."""
        return [event for event in self._events if event.sequence > sequence]
