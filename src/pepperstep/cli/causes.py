"""Command `causes`: why requests missed their target latency, from log files.

Each ended request is counted in exactly one row of the table. `share` weighs a request
by its prompt: it is the row's percentage of all prompt tokens.

Where owners of shards place requests, a second table divides the refused and the late
ones by priority and workspace, with the delay predicted for them and the owners that
decided.
"""

import re
import statistics
from collections import Counter
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
# Rows of the second table, most requests first, and owners named in a row.
_MAX_DECISION_ROWS = 20
_MAX_OWNERS = 3
_NO_OWNER = "none"
_DECISION_EVENTS = frozenset(
    {"request_scheduled", "placement_refused", "scheduling_unavailable"}
)


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
    workspace: str = ""
    priority: int = 0
    owner: str = ""
    expected_ms: int = 0
    delay_ms: int = 0


@dataclass(slots=True)
class _Request:
    """A request, collected from its log lines."""

    service: str = ""
    missing_tokens: int = 0
    # Time from the arrival to the first attempt, in milliseconds.
    waited_ms: int = 0
    end: _Line | None = None
    # Latest decision of an owner, or the line that no owner answered.
    decision: _Line | None = None


class _DecisionRow(msgspec.Struct):
    """Refused or late requests of one cause, priority and workspace."""

    priority: int
    workspace: str
    requests: int
    # Median of the predicted delays, None if no owner predicted one.
    delay_ms: int | None
    # Owners that decided most of them, "none" where none answered.
    owners: list[str]


class _Row(msgspec.Struct, omit_defaults=True):
    """A cause and the number and share of its requests."""

    cause: str
    requests: int
    # Percentage of all prompt tokens.
    share: float
    decisions: list[_DecisionRow] = []


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
    output.print(rows, [*table, *_decision_table(rows, output)])
    return Exit.OK


def _decision_table(rows: list[_Row], output: Output) -> list[str]:
    """Return the lines of the second table, none without decisions of owners."""
    found = [(row.cause, each) for row in rows for each in row.decisions]
    if not found:
        return []
    found.sort(key=lambda pair: -pair[1].requests)
    titles = ("cause", "priority", "workspace", "requests", "delay ms", "owners")
    cells = [
        (
            cause,
            each.priority,
            each.workspace or "public",
            each.requests,
            "-" if each.delay_ms is None else each.delay_ms,
            ", ".join(each.owners),
        )
        for cause, each in found[:_MAX_DECISION_ROWS]
    ]
    left_out = len(found) - len(cells)
    note = [f"({left_out} more rows with --json)"] if left_out else []
    return ["", *output.table(titles, cells), *note]


def _collect(paths: Iterable[Path]) -> dict[str, _Request]:
    requests: dict[str, _Request] = {}
    for line in _lines(paths):
        request = requests.setdefault(line.request, _Request())
        if line.event == "request_chosen":
            request.service = line.service
            request.missing_tokens = line.missing_tokens
            if line.attempt == 1:
                request.waited_ms = line.since_arrival_ms
        elif line.event in _DECISION_EVENTS:
            request.decision = line
            request.service = line.service
            request.missing_tokens = line.missing_tokens
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
    decided: dict[str, list[_Request]] = {}
    for request in ended:
        cause = _cause_of(request, speeds.get(request.service, 0.0))
        counts[cause] = counts.get(cause, 0) + 1
        size = request.end.prompt_tokens or _DEFAULT_TOKENS
        tokens[cause] = tokens.get(cause, 0) + size
        if cause != _IN_TIME and request.decision is not None:
            decided.setdefault(cause, []).append(request)
    total = sum(tokens.values())
    ranked = sorted(counts, key=lambda cause: (cause != _IN_TIME, -tokens[cause]))
    return [
        _Row(
            cause,
            counts[cause],
            round(100 * tokens[cause] / total, 2),
            _decision_rows(decided.get(cause, [])),
        )
        for cause in ranked
    ]


def _decision_rows(requests: list[_Request]) -> list[_DecisionRow]:
    """Group requests with a decision by priority and workspace."""
    groups: dict[tuple[int, str], list[_Line]] = {}
    for request in requests:
        workspace = request.end.workspace or request.decision.workspace
        key = (request.decision.priority, workspace)
        groups.setdefault(key, []).append(request.decision)
    rows = [
        _DecisionRow(*key, len(lines), _median_delay(lines), _top_owners(lines))
        for key, lines in groups.items()
    ]
    return sorted(rows, key=lambda row: (-row.requests, row.priority, row.workspace))


def _median_delay(lines: list[_Line]) -> int | None:
    predicted = [
        line.delay_ms if line.event == "placement_refused" else line.expected_ms
        for line in lines
        if line.owner
    ]
    return round(statistics.median(predicted)) if predicted else None


def _top_owners(lines: list[_Line]) -> list[str]:
    counts = Counter(line.owner or _NO_OWNER for line in lines)
    return [name for name, _ in counts.most_common(_MAX_OWNERS)]


def _is_refused_by_owner(request: _Request) -> bool:
    decision = request.decision
    return decision is not None and decision.event == "placement_refused"


def _cause_of(request: _Request, speed: float) -> str:
    end = request.end
    if end.event == "request_refused" and _is_refused_by_owner(request):
        return f"{end.code}: limit {request.decision.reason}"
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
