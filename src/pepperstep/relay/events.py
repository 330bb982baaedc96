"""Splitting of a byte stream into complete server-sent events."""

__all__ = ["EventSplitter"]

_EVENT_END = b"\n\n"
_ID_FIELD = b"id:"


class EventSplitter:
    """Buffers pieces of a stream and returns complete events."""

    def __init__(self) -> None:
        self._partial = b""
        # Last id among the complete events, b"" if none had one.
        self.last_id = b""

    @property
    def has_partial(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._partial)

    def feed(self, piece: bytes) -> bytes:
        """Return the events that are complete with `piece`, b"" for none."""
        data = self._partial + piece
        end = data.rfind(_EVENT_END)
        if end < 0:
            self._partial = data
            return b""
        events, self._partial = data[: end + 2], data[end + 2 :]
        self._update_last_id(events)
        return events

    def take_partial(self) -> bytes:
        """Return and clear the buffered incomplete event."""
        partial, self._partial = self._partial, b""
        return partial

    def _update_last_id(self, events: bytes) -> None:
        for line in reversed(events.splitlines()):
            if line.startswith(_ID_FIELD):
                self.last_id = line[len(_ID_FIELD) :].strip()
                return
