"""Command `logs`: the history of a request in the log files of several hosts."""

from collections.abc import Iterable, Iterator
from datetime import datetime, timedelta
from pathlib import Path

import msgspec

from pepperstep.cli.exits import CommandError, Exit
from pepperstep.cli.options import Options
from pepperstep.cli.printing import Output
from pepperstep.cli.verdicts import verdict_of

__all__ = ["logs"]

# Lines about the request's upstreams are included up to this time before and after the
# request: a fault of an upstream affects other requests within its backoff of 4 s.
_CONTEXT_TIME = timedelta(seconds=4)
_SHARD_EVENT = "shard_created"
_COMMON_FIELDS = frozenset({"time", "level", "host", "part", "event", "request"})


class _Line(msgspec.Struct):
    """Fields of log lines that this command filters by."""

    time: datetime
    host: str = ""
    event: str = ""
    request: str = ""
    upstream: str = ""
    service: str = ""
    shard: str = ""
    message: str = ""


class _Step(msgspec.Struct):
    """A log line about the request, with its event's fields."""

    time: datetime
    host: str
    event: str
    inputs: dict[str, object]


class _Timeline(msgspec.Struct):
    """History of a request."""

    request: str
    steps: list[_Step]
    # Other log lines about the request's upstreams and shards around that time.
    notes: list[str]
    # What ended the request or made it late, and who decided; "" if the lines of an
    # owner's decision are missing.
    verdict: str = ""


def logs(options: Options, output: Output) -> Exit:
    """Print the log lines about a request from all files, in time order."""
    if len(options.arguments) < 2:
        usage = "pepperstep logs REQUEST_ID FILE..."
        raise CommandError(Exit.USAGE, f"logs needs an id and files: {usage}")
    request, *names = options.arguments
    paths = [Path(name) for name in names]
    steps = sorted(_steps(paths, request), key=lambda step: step.time)
    if not steps:
        text = f"No file has a line about {request}. Lines of one kind are bounded;"
        raise CommandError(Exit.UNKNOWN, f'{text} see those with "dropped".')
    notes = _notes(paths, steps) + _shard_notes(paths, steps)
    timeline = _Timeline(request, steps, notes, verdict_of(steps))
    output.print(timeline, _format_timeline(timeline))
    return Exit.OK


def _steps(paths: Iterable[Path], request: str) -> Iterator[_Step]:
    for text in _matching_lines(paths, request.encode()):
        line = _decode(text)
        if line is None or line.request != request:
            continue
        values = msgspec.json.decode(text)
        inputs = {name: values[name] for name in values if name not in _COMMON_FIELDS}
        yield _Step(line.time, line.host, line.event, inputs)


def _notes(paths: Iterable[Path], steps: list[_Step]) -> list[str]:
    """Summarize the events of the request's upstreams around its time."""
    upstreams = {str(step.inputs.get("upstream", "")) for step in steps} - {""}
    begin = steps[0].time - _CONTEXT_TIME
    end = steps[-1].time + _CONTEXT_TIME
    notes = []
    for upstream in sorted(upstreams):
        counts: dict[str, int] = {}
        for text in _matching_lines(paths, upstream.encode()):
            line = _decode(text)
            if line is None or not begin <= line.time <= end:
                continue
            if line.event and line.upstream == upstream:
                counts[line.event] = counts.get(line.event, 0) + 1
            elif upstream in line.message:
                notes.append(f"{_format_clock(line.time)}  {line.host}: {line.message}")
        summary = ", ".join(
            f"{count} {event}" for event, count in sorted(counts.items())
        )
        notes.append(f"{upstream} within {_CONTEXT_TIME.seconds} s: {summary}")
    return notes


def _shard_notes(paths: Iterable[Path], steps: list[_Step]) -> list[str]:
    """Name the owners that began to own the request's shards around its time."""
    shards = {
        (step.inputs.get("service"), step.inputs.get("shard"))
        for step in steps
        if step.inputs.get("shard")
    }
    begin = steps[0].time - _CONTEXT_TIME
    end = steps[-1].time + _CONTEXT_TIME
    notes = []
    if not shards:
        return notes
    for text in _matching_lines(paths, _SHARD_EVENT.encode()):
        line = _decode(text)
        if line is None or line.event != _SHARD_EVENT:
            continue
        if begin <= line.time <= end and (line.service, line.shard) in shards:
            clock = _format_clock(line.time)
            name = f"{line.service}/{line.shard}"
            notes.append(f"{clock}  {line.host}: began to own shard {name}")
    return notes


def _matching_lines(paths: Iterable[Path], text_part: bytes) -> Iterator[bytes]:
    """Yield the lines that contain `text_part`; raise `CommandError` on an OSError."""
    for path in paths:
        try:
            with path.open("rb") as file:
                yield from (text for text in file if text_part in text)
        except OSError as error:
            raise CommandError(
                Exit.USAGE, f"{path} can't be read: {error.strerror}"
            ) from error


def _decode(text: bytes) -> _Line | None:
    """Decode a line, or return None for other formats such as a library's output."""
    try:
        return msgspec.json.decode(text, type=_Line)
    except msgspec.MsgspecError:
        return None


def _format_timeline(timeline: _Timeline) -> list[str]:
    lines = [f"Request {timeline.request}:"]
    for step in timeline.steps:
        inputs = ", ".join(f"{name} {value}" for name, value in step.inputs.items())
        event = step.event.replace("_", " ")
        lines.append(f"  {_format_clock(step.time)}  {step.host}: {event}: {inputs}")
    lines += [f"  {note}" for note in timeline.notes]
    if timeline.verdict:
        lines.append(f"  {timeline.verdict}")
    return lines


def _format_clock(time: datetime) -> str:
    return time.strftime("%H:%M:%S.%f")[:-3]
