"""The command `causes`: why requests weren't answered in time, by the log files.

Each request that has ended is one of a table's rows, so the rows add up to all. A
request counts as much as its prompt: `share` is the part of all tokens asked for.
"""

import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path

import msgspec

from pepperstep.cli.exits import Exit, Stop
from pepperstep.cli.options import Options
from pepperstep.cli.printing import Output

__all__ = ["causes"]

# Part of its target that a request may wait at the entry host before that is the cause.
_WAIT_SHARE = 0.3
# Prompts of a service, from the fastest, that tell how fast its engines read at best.
_FASTEST_SHARE = 0.1
# Prompts with fewer tokens tell more of other delays than of reading.
_MEASURED_TOKENS = 4_000
# What a request without a prompt counts for, in tokens.
_PLAIN_TOKENS = 200
_NUMBER = re.compile(r"[0-9][0-9.]*")
_IN_TIME = "in time"


class _Line(msgspec.Struct):
    """What the lines about a request's way hold, as far as it's needed here."""

    event: str = ""
    request: str = ""
    service: str = ""
    attempt: int = 0
    attempts: int = 0
    missing_tokens: int = 0
    prompt_tokens: int = 0
    since_arrival_ms: int = 0
    first_ms: int = 0
    target_ms: int = 0
    code: str = ""
    reason: str = ""


@dataclass(slots=True)
class _Request:
    """A request as its lines tell of it."""

    service: str = ""
    missing_tokens: int = 0
    # From its arrival until it was first sent, in milliseconds.
    waited_ms: int = 0
    end: _Line | None = None


class _Row(msgspec.Struct):
    """A cause, with the requests that it explains."""

    cause: str
    requests: int
    # Part of all tokens that were asked for, in percent.
    share: float


def causes(options: Options, output: Output) -> Exit:
    """Print how requests ended and why, the most tokens first."""
    if not options.arguments:
        raise Stop(Exit.USAGE, "causes needs files: pepperstep causes FILE...")
    requests = _collect(Path(name) for name in options.arguments)
    ended = [each for each in requests.values() if each.end is not None]
    if not ended:
        raise Stop(Exit.UNKNOWN, "No file has a line about a request that has ended.")
    speeds = _fastest_reading(ended)
    rows = _rows(ended, speeds)
    titles = ("cause", "requests", "share %")
    table = output.table(titles, ((r.cause, r.requests, r.share) for r in rows))
    output.print(rows, table)
    return Exit.OK


def _collect(paths: Iterable[Path]) -> dict[str, _Request]:
    requests: dict[str, _Request] = {}
    for line in _lines(paths):
        request = requests.setdefault(line.request, _Request())
        if line.event == "request_chosen":
            request.service = line.service
            request.missing_tokens = line.missing_tokens
            if line.attempt == 1:
                request.waited_ms = line.since_arrival_ms
        elif line.event in ("request_answered", "request_refused"):
            request.end = line
    return requests


def _lines(paths: Iterable[Path]) -> Iterator[_Line]:
    for path in paths:
        try:
            with path.open("rb") as file:
                yield from filter(None, map(_decode, file))
        except OSError as error:
            raise Stop(Exit.USAGE, f"{path} can't be read: {error.strerror}") from error


def _decode(text: bytes) -> _Line | None:
    """Return a line about a request; a collector may have put words before it."""
    begin = text.find(b"{")
    if begin < 0:
        return None
    try:
        line = msgspec.json.decode(text[begin:], type=_Line)
    except msgspec.MsgspecError:
        return None
    return line if line.request else None


def _fastest_reading(ended: list[_Request]) -> dict[str, float]:
    """Return the tokens that engines read in a millisecond at best, by service."""
    speeds: dict[str, list[float]] = {}
    for request in ended:
        is_measured = request.missing_tokens >= _MEASURED_TOKENS
        if is_measured and request.end.first_ms > 0:
            speed = request.missing_tokens / request.end.first_ms
            speeds.setdefault(request.service, []).append(speed)
    return {
        service: sorted(found)[int((1 - _FASTEST_SHARE) * (len(found) - 1))]
        for service, found in speeds.items()
    }


def _rows(ended: list[_Request], speeds: dict[str, float]) -> list[_Row]:
    counts: dict[str, int] = {}
    tokens: dict[str, int] = {}
    for request in ended:
        cause = _cause_of(request, speeds.get(request.service, 0.0))
        counts[cause] = counts.get(cause, 0) + 1
        size = request.end.prompt_tokens or _PLAIN_TOKENS
        tokens[cause] = tokens.get(cause, 0) + size
    total = sum(tokens.values())
    ranked = sorted(counts, key=lambda cause: (cause != _IN_TIME, -tokens[cause]))
    return [
        _Row(cause, counts[cause], round(100 * tokens[cause] / total, 2))
        for cause in ranked
    ]


def _cause_of(request: _Request, speed: float) -> str:
    end = request.end
    if end.event == "request_refused":
        return f"{end.code}: {_NUMBER.sub('N', end.reason)}"
    if not end.target_ms or end.first_ms <= end.target_ms:
        return _IN_TIME
    if end.attempts > 1:
        return "late: sent to several upstreams"
    if request.waited_ms > _WAIT_SHARE * end.target_ms:
        return "late: waited at the entry host"
    if speed and request.missing_tokens / speed > end.target_ms:
        return "late: too large for its target at the fastest reading seen"
    if request.missing_tokens:
        return "late: waited for other prompts at its upstream"
    return "late: its upstream took long"
