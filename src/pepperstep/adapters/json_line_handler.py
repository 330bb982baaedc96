"""Non-blocking logging handler that writes rate-limited JSON lines."""

import logging as standard_logging
import os
import select
import time
from dataclasses import dataclass

import msgspec
from absl import logging

from pepperstep.observability.decisions import Decision
from pepperstep.observability.logs import split_part, utc_text

__all__ = ["JsonLineHandler", "set_up_json_logging"]

# Token bucket for the lines of one logging statement. A host relays some hundred
# requests a second, which leaves room for a few lines each.
_LINES_PER_SECOND = 100.0
_BURST_LINES = 300.0
# PIPE_BUF on Linux: writes of up to this size to a pipe are atomic.
_MAX_LINE_BYTES = 4_096


class _Line(msgspec.Struct, omit_defaults=True):
    """Fields common to all lines; those of the event follow."""

    time: str
    level: str
    host: str
    part: str
    message: str = ""
    exception: str = ""
    # Lines of the same logging statement dropped since its last written line.
    dropped: int = 0


@dataclass(slots=True)
class _LineBucket:
    """Token bucket of one logging statement, with its count of dropped lines."""

    tokens: float = _BURST_LINES
    refilled_at: float = 0.0
    dropped: int = 0


def set_up_json_logging(host: str) -> None:
    """Write absl's log records of level INFO and above to standard output as JSON."""
    logger = logging.get_absl_logger()
    for handler in list(logger.handlers):
        logger.removeHandler(handler)
    logger.addHandler(JsonLineHandler(host))
    logger.propagate = False
    logging.set_verbosity(logging.INFO)


class JsonLineHandler(standard_logging.Handler):
    """Writes JSON lines to a file descriptor; drops and counts blocking ones."""

    def __init__(self, host: str, descriptor: int = 1):
        super().__init__()
        self._host = host
        self._descriptor = descriptor
        self._buckets: dict[tuple[str, int], _LineBucket] = {}
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)

    def emit(self, record: standard_logging.LogRecord) -> None:
        """Write the record, or count it as dropped."""
        bucket = self._buckets.setdefault(
            (record.pathname, record.lineno), _LineBucket()
        )
        if not self._take_token(bucket) or not self._write(
            self._encode(record, bucket)
        ):
            bucket.dropped += 1
            return
        bucket.dropped = 0

    def _take_token(self, bucket: _LineBucket) -> bool:
        now = time.monotonic()
        passed = now - bucket.refilled_at
        bucket.refilled_at = now
        bucket.tokens = min(_BURST_LINES, bucket.tokens + passed * _LINES_PER_SECOND)
        if bucket.tokens < 1:
            return False
        bucket.tokens -= 1
        return True

    def _write(self, line: bytes) -> bool:
        try:
            if not self._poll.poll(0):
                return False
            os.write(self._descriptor, line)
        except OSError:
            # The error can't be logged; the next line reports the dropped count.
            return False
        return True

    def _encode(self, record: standard_logging.LogRecord, bucket: _LineBucket) -> bytes:
        event = record.args[0] if record.args and len(record.args) == 1 else None
        is_event = isinstance(event, Decision)
        text = record.msg if is_event else record.getMessage()
        part, message = split_part(text)
        line = _Line(
            time=utc_text(record.created),
            level=record.levelname.lower(),
            host=self._host,
            part=part,
            message="" if is_event else message[: _MAX_LINE_BYTES // 2],
            exception=self._exception_of(record),
            dropped=bucket.dropped,
        )
        data = msgspec.json.encode(line)
        if is_event:
            data = data[:-1] + b"," + msgspec.json.encode(event)[1:]
        return data[: _MAX_LINE_BYTES - 1] + b"\n"

    def _exception_of(self, record: standard_logging.LogRecord) -> str:
        if not record.exc_info:
            return ""
        formatter = self.formatter or standard_logging.Formatter()
        text = formatter.formatException(record.exc_info)
        return text[-_MAX_LINE_BYTES // 2 :]
