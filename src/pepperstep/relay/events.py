"""Splitting of a byte stream into complete server-sent events."""

import re

__all__ = ["EventSplitter"]

# A blank line ends an event. Lines end with LF, CRLF or CR (HTML standard, 9.2.5).
_EVENT_END = b"\n\n"
_LINE_END = rb"(?:\r\n|\n|\r(?!\n))"
_ANY_EVENT_END = re.compile(_LINE_END * 2)
_ID_FIELD = b"id:"


class EventSplitter:
    """Buffers pieces of a stream and returns complete events."""

    def __init__(self) -> None:
        self._partial = b""
        # Last id among the complete events, b"" if none had one.
        self.last_id = b""

    @property
    def partial_bytes(self) -> int:
        """Size of the buffered incomplete event."""
        return len(self._partial)

    @property
    def has_partial(self) -> bool:
        """Whether an incomplete event is buffered; blank lines belong to none."""
        return bool(self._partial.strip(b"\r\n"))

    def feed(self, piece: bytes) -> bytes:
        """Return the events that are complete with `piece`, b"" for none."""
        data = self._partial + piece
        end = _find_last_end(data)
        if not end:
            self._partial = data
            return b""
        events, self._partial = data[:end], data[end:]
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


def _find_last_end(data: bytes) -> int:
    """Return the position after the last complete event, 0 for none."""
    if b"\r" not in data:
        end = data.rfind(_EVENT_END)
        return 0 if end < 0 else end + len(_EVENT_END)
    end = 0
    for match in _ANY_EVENT_END.finditer(data):
        end = match.end()
    return end
