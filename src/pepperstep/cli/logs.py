"""The command `logs`: one request's way through the log files of several hosts."""

from collections.abc import Iterable, Iterator
from datetime import datetime, timedelta
from pathlib import Path

import msgspec

from pepperstep.cli.exits import Exit, Stop
from pepperstep.cli.options import Options
from pepperstep.cli.printing import Output

__all__ = ["logs"]

# Lines about the request's upstreams this far around it are counted: a fault of an
# upstream shows at other requests within its pause after failures, 4 s.
_AROUND = timedelta(seconds=4)
_COMMON = frozenset({"time", "level", "host", "part", "event", "request"})


class _Line(msgspec.Struct):
    """What all lines about a decision have, and what is searched for."""

    time: datetime
    host: str = ""
    event: str = ""
    request: str = ""
    upstream: str = ""
    message: str = ""


class _Step(msgspec.Struct):
    """A line about the request, for programs."""

    time: datetime
    host: str
    event: str
    inputs: dict[str, object]


class _Story(msgspec.Struct):
    """What the files tell of a request."""

    request: str
    steps: list[_Step]
    # What else they tell of its upstreams around that time.
    notes: list[str]


def logs(options: Options, output: Output) -> Exit:
    """Print what the files tell of a request, in time order."""
    if len(options.arguments) < 2:
        usage = "pepperstep logs REQUEST_ID FILE..."
        raise Stop(Exit.USAGE, f"logs needs an id and files: {usage}")
    request, *names = options.arguments
    paths = [Path(name) for name in names]
    steps = sorted(_steps(paths, request), key=lambda step: step.time)
    if not steps:
        text = f"No file has a line about {request}. Lines of one kind are bounded;"
        raise Stop(Exit.UNKNOWN, f'{text} see those with "dropped".')
    story = _Story(request, steps, _notes(paths, steps))
    output.print(story, _lines_of(story))
    return Exit.OK


def _steps(paths: Iterable[Path], request: str) -> Iterator[_Step]:
    for text in _texts(paths, request.encode()):
        line = _decode(text)
        if line is None or line.request != request:
            continue
        values = msgspec.json.decode(text)
        inputs = {name: values[name] for name in values if name not in _COMMON}
        yield _Step(line.time, line.host, line.event, inputs)


def _notes(paths: Iterable[Path], steps: list[_Step]) -> list[str]:
    """Return what else happened at the request's upstreams around that time."""
    upstreams = {str(step.inputs.get("upstream", "")) for step in steps} - {""}
    begin = steps[0].time - _AROUND
    end = steps[-1].time + _AROUND
    notes = []
    for upstream in sorted(upstreams):
        counts: dict[str, int] = {}
        for text in _texts(paths, upstream.encode()):
            line = _decode(text)
            if line is None or not begin <= line.time <= end:
                continue
            if line.event and line.upstream == upstream:
                counts[line.event] = counts.get(line.event, 0) + 1
            elif upstream in line.message:
                notes.append(f"{_clock(line.time)}  {line.host}: {line.message}")
        told = ", ".join(f"{count} {event}" for event, count in sorted(counts.items()))
        notes.append(f"{upstream} within {_AROUND.seconds} s: {told}")
    return notes


def _texts(paths: Iterable[Path], part: bytes) -> Iterator[bytes]:
    """Return the lines that hold `part`; raise `Stop` for a file that can't be read."""
    for path in paths:
        try:
            with path.open("rb") as file:
                yield from (text for text in file if part in text)
        except OSError as error:
            raise Stop(Exit.USAGE, f"{path} can't be read: {error.strerror}") from error


def _decode(text: bytes) -> _Line | None:
    """Return a line, None for one that isn't of ours, such as a library's."""
    try:
        return msgspec.json.decode(text, type=_Line)
    except msgspec.MsgspecError:
        return None


def _lines_of(story: _Story) -> list[str]:
    lines = [f"Request {story.request}:"]
    for step in story.steps:
        inputs = ", ".join(f"{name} {value}" for name, value in step.inputs.items())
        event = step.event.replace("_", " ")
        lines.append(f"  {_clock(step.time)}  {step.host}: {event}: {inputs}")
    lines += [f"  {note}" for note in story.notes]
    return lines


def _clock(time: datetime) -> str:
    return time.strftime("%H:%M:%S.%f")[:-3]
