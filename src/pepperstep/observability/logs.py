"""Setup of absl.logging, with text lines or JSON lines.

Each message starts with the name of its component: "consensus: Became leader."
"""

import enum
import logging as standard_logging
from datetime import UTC, datetime

import msgspec
from absl import logging

__all__ = ["JsonFormatter", "LogFormat", "set_up_logs", "split_part", "utc_text"]

_UNKNOWN_PART = "other"


class LogFormat(enum.StrEnum):
    """Format of log lines."""

    TEXT = "text"
    JSON = "json"


class _Line(msgspec.Struct, omit_defaults=True):
    """Fields of a JSON log line."""

    time: str
    level: str
    part: str
    message: str
    exception: str = ""


class JsonFormatter(standard_logging.Formatter):
    """Formats each record as a JSON object on one line."""

    def format(self, record: standard_logging.LogRecord) -> str:
        """Return the JSON line of a record."""
        part, message = split_part(record.getMessage())
        exception = ""
        if record.exc_info:
            exception = self.formatException(record.exc_info)
        line = _Line(
            time=utc_text(record.created),
            level=record.levelname.lower(),
            part=part,
            message=message,
            exception=exception,
        )
        return msgspec.json.encode(line).decode()


def set_up_logs(log_format: LogFormat) -> None:
    """Write logs of level INFO and above to stderr in `log_format`."""
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    logging.set_stderrthreshold("info")
    if log_format is LogFormat.JSON:
        logging.get_absl_handler().setFormatter(JsonFormatter())
    else:
        logging.get_absl_handler().setFormatter(logging.PythonFormatter())


def split_part(text: str) -> tuple[str, str]:
    """Split a log message into its component prefix and the rest."""
    part, colon, message = text.partition(": ")
    if not colon or not part.isidentifier():
        return _UNKNOWN_PART, text
    return part, message


def utc_text(created: float) -> str:
    """Return a Unix time in ISO 8601 format with milliseconds, in UTC."""
    moment = datetime.fromtimestamp(created, UTC)
    return moment.isoformat(timespec="milliseconds")
