"""Command `causes`: why requests missed their target latency, from log files.

Each ended request is counted in exactly one row of the table. `share` weighs a request
by its prompt: it is the row's percentage of all prompt tokens.
"""

import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path

import msgspec

from pepperstep.cli.exits import CommandError, Exit
from pepperstep.cli.options import Options
from pepperstep.cli.printing import Output

__all__ = ["causes"]

# Fraction of the target latency above which waiting at the entry host is the cause.
_WAIT_SHARE = 0.3
# Fraction of a service's prompts, fastest first, that gives its engines' best speed.
_FASTEST_SHARE = 0.1
# Minimum prompt size for speed samples; other delays dominate shorter prompts.
_MIN_SAMPLE_TOKENS = 4_000
# Weight in tokens of a request without a prompt.
_DEFAULT_TOKENS = 200
_NUMBER = re.compile(r"[0-9][0-9.]*")
_IN_TIME = "in time"


class _Line(msgspec.Struct):
    """Fields of a request's log lines that this command uses."""

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
    """A request, collected from its log lines."""

    service: str = ""
    missing_tokens: int = 0
    # Time from the arrival to the first attempt, in milliseconds.
    waited_ms: int = 0
    end: _Line | None = None


class _Row(msgspec.Struct):
    """A cause and the number and share of its requests."""

    cause: str
    requests: int
    # Percentage of all prompt tokens.
    share: float


def causes(options: Options, output: Output) -> Exit:
    """Print outcomes of requests and their causes, sorted by share."""
    if not options.arguments:
        raise CommandError(Exit.USAGE, "causes needs files: pepperstep causes FILE...")
    requests = _collect(Path(name) for name in options.arguments)
    ended = [each for each in requests.values() if each.end is not None]
    if not ended:
        raise CommandError(
            Exit.UNKNOWN, "No file has a line about a request that has ended."
        )
    speeds = _best_prompt_speeds(ended)
    rows = _make_rows(ended, speeds)
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
            raise CommandError(
                Exit.USAGE, f"{path} can't be read: {error.strerror}"
            ) from error


def _decode(text: bytes) -> _Line | None:
    """Decode a line about a request, skipping a log collector's prefix."""
    begin = text.find(b"{")
    if begin < 0:
        return None
    try:
        line = msgspec.json.decode(text[begin:], type=_Line)
    except msgspec.MsgspecError:
        return None
    return line if line.request else None


def _best_prompt_speeds(ended: list[_Request]) -> dict[str, float]:
    """Return the best prompt speed by service, in tokens per millisecond."""
    speeds: dict[str, list[float]] = {}
    for request in ended:
        is_sample = request.missing_tokens >= _MIN_SAMPLE_TOKENS
        if is_sample and request.end.first_ms > 0:
            speed = request.missing_tokens / request.end.first_ms
            speeds.setdefault(request.service, []).append(speed)
    return {
        service: sorted(found)[int((1 - _FASTEST_SHARE) * (len(found) - 1))]
        for service, found in speeds.items()
    }


def _make_rows(ended: list[_Request], speeds: dict[str, float]) -> list[_Row]:
    counts: dict[str, int] = {}
    tokens: dict[str, int] = {}
    for request in ended:
        cause = _cause_of(request, speeds.get(request.service, 0.0))
        counts[cause] = counts.get(cause, 0) + 1
        size = request.end.prompt_tokens or _DEFAULT_TOKENS
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
