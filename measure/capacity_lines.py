"""Figures of capacity runs, lines through them, and how each run is made."""

import statistics
import time
import tracemalloc
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from dataclasses import asdict, dataclass, field

import trio
from trio.testing import MockClock

from pepperstep.fakes import FakeNetwork
from pepperstep.proto import codec

__all__ = [
    "Line",
    "Meter",
    "Point",
    "Traffic",
    "count_senders",
    "fit",
    "run_virtual",
    "trace_bytes",
]


@dataclass(frozen=True, slots=True)
class Point:
    """What was measured at one size."""

    name: str
    sizes: dict[str, float]
    figures: dict[str, float]
    # Figures that depend on the kind of message.
    kinds: dict[str, float] = field(default_factory=dict)

    def to_dict(self) -> dict:
        """Return what goes into JSON."""
        return asdict(self)


@dataclass(frozen=True, slots=True)
class Line:
    """A line by least squares; `worst` is its largest error as a share."""

    base: float
    slope: float
    worst: float

    def at(self, size: float) -> float:
        """Return the line's value at a size."""
        return self.base + self.slope * size


@dataclass(frozen=True, slots=True)
class Traffic:
    """What hosts cost in a stretch of virtual time, each second and host."""

    messages: float
    bytes: float
    # Processor seconds of the run, the fakes' own cost included.
    processor: float
    bytes_by_kind: dict[str, float]
    messages_by_kind: dict[str, float]


class Meter:
    """Counts a network's messages and the processor time from now on."""

    def __init__(self, network: FakeNetwork):
        self._network = network
        self._sent = network.sent.copy()
        self._bytes = network.bytes_sent.copy()
        self._started = time.process_time()

    def read(self, hosts: float, seconds: float) -> Traffic:
        """Return the counts as shares of `hosts` and virtual `seconds`."""
        share = hosts * seconds
        processor = (time.process_time() - self._started) / share
        sent = self._network.sent - self._sent
        data = self._network.bytes_sent - self._bytes
        return Traffic(
            sent.total() / share,
            data.total() / share,
            processor,
            {kind: round(count / share, 3) for kind, count in data.items()},
            {kind: round(count / share, 4) for kind, count in sent.items()},
        )


@contextmanager
def count_senders(network: FakeNetwork) -> Iterator[Counter[str]]:
    """Count the encoded bytes that each host sends in the block."""
    sent: Counter[str] = Counter()

    def note(sender: str, receiver: str, message) -> None:
        sent[sender] += len(codec.encode(message, sender))

    network.before = note
    try:
        yield sent
    finally:
        network.before = None


def fit(points: list[Point], size: str, figure: str) -> Line:
    """Return the line of a figure by a size."""
    xs = [point.sizes[size] for point in points]
    ys = [point.figures[figure] for point in points]
    slope, base = statistics.linear_regression(xs, ys)
    pairs = zip(xs, ys, strict=True)
    worst = max(abs(base + slope * x - y) / max(abs(y), 1e-12) for x, y in pairs)
    return Line(base, slope, worst)


def run_virtual(function: Callable[..., Awaitable], *arguments):
    """Return what a function returns that runs in virtual time."""
    return trio.run(function, *arguments, clock=MockClock(autojump_threshold=0))


@contextmanager
def trace_bytes() -> Iterator[list[int]]:
    """Append the bytes that Python's objects took at the end over the start."""
    taken: list[int] = []
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    try:
        yield taken
        taken.append(tracemalloc.get_traced_memory()[0] - before)
    finally:
        tracemalloc.stop()
