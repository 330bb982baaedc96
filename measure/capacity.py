"""Slopes of what a host costs, by sizes that fit one machine.

Each figure comes from a process of its own, one after another. Prints points and
the lines through them as JSON; docs/CAPACITY.md works the target size out.
"""

import json
import os
import subprocess
import sys
import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict, dataclass
from multiprocessing import get_context
from pathlib import Path

from absl import app, flags

from measure import (
    capacity_configuration as changes,
    capacity_fleet as fleet,
    capacity_hosts as hosts,
    capacity_log as log,
    capacity_processes as processes,
    capacity_requests as requests,
    capacity_upstreams as upstreams,
)
from measure.capacity_lines import Point, fit

__all__ = ["SLOPES", "Slope", "main", "measure_all", "points_of", "slopes_of"]

_OUTPUT = flags.DEFINE_string("output", "", "File for the JSON; else it's printed.")
_SECTIONS = flags.DEFINE_list(
    "sections", [], "Only these, in place of those in the file; all if empty."
)

_RATE = 1 / 3

Run = tuple[Callable[..., Point], tuple]


def _runs(function: Callable[..., Point], *sizes: tuple) -> list[Run]:
    return [(function, each) for each in sizes]


_RUNS: dict[str, list[Run]] = {
    "membership": [
        *_runs(hosts.measure_membership, (12,), (25,), (50,), (100,)),
        *_runs(hosts.measure_membership, (48, 2), (48, 3), (48, 6)),
        *_runs(hosts.measure_restarts, (12,), (25,), (50,)),
        *_runs(hosts.measure_zone_loss, (28,), (56,), (80,)),
        *_runs(hosts.measure_cut, (24, 6, 60.0), (36, 6, 60.0), (48, 6, 60.0)),
    ],
    "registry": [
        *_runs(upstreams.measure_registry, (7, 15), (7, 60), (7, 120)),
        *_runs(upstreams.measure_registry, (14, 60), (28, 60)),
        *_runs(upstreams.measure_registry, (14, 60, 4), (28, 60, 4), (28, 120, 4)),
        *_runs(upstreams.measure_registry, (7, 60, 0, 3), (7, 60, 0, 6)),
    ],
    "zone": _runs(hosts.measure_zone_loss, (184,)),
    "verdicts": [
        *_runs(upstreams.measure_verdicts, (25,), (50,), (100,), (200,)),
        *_runs(upstreams.measure_kept_items, (100, 20), (100, 50), (100, 100)),
        *_runs(upstreams.measure_kept_items, (200, 50), (300, 50)),
    ],
    "known": [
        *_runs(upstreams.measure_known, (200,), (800,), (1667,)),
        *_runs(hosts.measure_known, (100,), (400,), (1100,)),
    ],
    "log": [
        *_runs(log.measure_log, (3, 0), (5, 0), (7, 0), (18, 0)),
        *_runs(log.measure_log, (5, 5), (5, 20), (5, 50), (18, 5)),
    ],
    "claims": [
        *_runs(log.measure_claim_machine, (10_000,), (20_000,), (40_000,), (80_000,)),
        *_runs(log.measure_claim_messages, (2,), (10,), (50,)),
    ],
    "configuration": [
        *_runs(changes.measure_reading, (100,), (400,), (800,), (1600,)),
        *_runs(changes.measure_configuration, (25, 0), (100, 0), (300, 0), (1100, 0)),
        *_runs(changes.measure_configuration, (25, _RATE), (100, _RATE), (200, _RATE)),
        *_runs(changes.measure_configuration, (300, _RATE), (1100, _RATE)),
        *_runs(changes.measure_configuration, (100, 1), (100, 2), (100, _RATE, 0.1)),
        *_runs(changes.measure_configuration_cut, (60,), (120,), (300,)),
    ],
    "requests": [
        *_runs(requests.measure_requests, (5, 50), (5, 200), (5, 400)),
        *_runs(requests.measure_requests, (20, 50), (40, 50), (40, 200)),
        *_runs(requests.measure_held, (50, 50), (50, 200), (50, 400)),
        *_runs(requests.measure_ranking, (50,), (200,), (1100,)),
        *_runs(requests.measure_view, (100,), (400,), (1667,)),
    ],
    "fleet": [
        *_runs(fleet.measure_fleet, (1000, 100), (2000, 100), (4000, 100)),
        *_runs(fleet.measure_fleet, (10_000, 100), (2000, 25), (2000, 400)),
        *_runs(fleet.measure_stops, (1000, 20), (2000, 20), (4000, 20)),
        *_runs(fleet.measure_stops, (2000, 10), (2000, 40)),
    ],
    "messages": [
        *_runs(processes.measure_messages, (1, 0.01), (8, 0.02), (40, 0.05)),
        *_runs(processes.measure_streams, (25,), (50,), (100,), (200,), (515,)),
    ],
    "daemons": _runs(processes.measure_daemons, (3,), (5,), (7,)),
}


@dataclass(frozen=True, slots=True)
class Slope:
    """A line to draw: the points named so with these sizes, by one size."""

    points: str
    size: str
    figure: str
    where: tuple[tuple[str, float], ...] = ()

    def takes(self, point: Point) -> bool:
        """Whether a point is on the line."""
        is_named = point.name == self.points and self.figure in point.figures
        return is_named and all(point.sizes[key] == at for key, at in self.where)


SLOPES = (
    Slope("membership", "hosts", "bytes", (("regions", 1),)),
    Slope("membership", "hosts", "messages", (("regions", 1),)),
    Slope("membership", "hosts", "settled_after", (("regions", 1),)),
    Slope("membership", "regions", "bytes", (("hosts", 48),)),
    Slope("membership", "regions", "bytes_of_busiest_host", (("hosts", 48),)),
    Slope("restart", "hosts", "extra_bytes"),
    Slope("zone lost", "hosts", "worst_second_of_a_host"),
    Slope("zone lost", "hosts", "known_after"),
    Slope(
        "registry",
        "upstreams",
        "bytes",
        (("hosts", 7), ("routers", 0), ("controls", 0)),
    ),
    Slope(
        "registry",
        "hosts",
        "messages",
        (("upstreams", 60), ("routers", 0), ("controls", 0)),
    ),
    Slope(
        "registry",
        "hosts",
        "bytes",
        (("upstreams", 60), ("routers", 0), ("controls", 0)),
    ),
    Slope(
        "registry",
        "controls",
        "bytes",
        (("hosts", 7), ("upstreams", 60), ("routers", 0)),
    ),
    Slope("verdicts", "pairs", "messages"),
    Slope("verdicts", "pairs", "bytes"),
    Slope("upstreams known", "upstreams", "memory_bytes"),
    Slope("members known", "hosts", "memory_bytes"),
    Slope("log", "voters", "leader_bytes", (("commands", 0),)),
    Slope("log", "commands", "leader_bytes", (("voters", 5),)),
    Slope("log", "commands", "follower_bytes", (("voters", 5),)),
    Slope("log", "commands", "processor", (("voters", 5),)),
    Slope("claims kept", "claims", "memory_bytes"),
    Slope("claims kept", "claims", "snapshot_seconds"),
    Slope("claims kept", "claims", "snapshot_bytes"),
    Slope("configuration read", "deployments", "text_bytes"),
    Slope("configuration read", "deployments", "change_seconds"),
    Slope("configuration read", "deployments", "memory_bytes"),
    Slope(
        "configuration",
        "hosts",
        "bytes",
        (("changes_a_day", _RATE * 86_400), ("is_many", 1)),
    ),
    Slope("configuration", "changes_a_day", "bytes", (("hosts", 100), ("loss", 0))),
    Slope("requests", "tokens", "bytes_a_request", (("rate", 5),)),
    Slope("requests", "tokens", "processor_a_request", (("rate", 5),)),
    Slope("requests kept", "tokens", "memory_a_request"),
    Slope("ranking", "hosts", "processor"),
    Slope("router's view", "upstreams", "processor"),
    Slope("items kept", "items", "processor", (("hosts", 100),)),
    Slope("items kept", "hosts", "processor", (("items", 50),)),
    Slope("fleet", "replicas", "decision_seconds", (("deployments", 100),)),
    Slope("fleet", "replicas", "longest_step_seconds", (("deployments", 100),)),
    Slope("fleet", "replicas", "memory_bytes", (("deployments", 100),)),
    Slope("fleet", "deployments", "decision_seconds", (("replicas", 2000),)),
    Slope("stops", "stops", "processor", (("replicas", 2000),)),
    Slope("stops", "replicas", "processor", (("stops", 20),)),
    Slope("gRPC streams", "streams", "resident_bytes"),
    Slope("gRPC streams", "streams", "threads"),
    Slope("daemons idle", "daemons", "control_resident_bytes"),
    Slope("daemons idle", "daemons", "entry_processor"),
)


def measure_all(names: list[str]) -> dict[str, dict]:
    """Return the sections named so, of all for none, each with how it was run."""
    sections = {}
    # A process for each run, so that none starts with another one's memory.
    with ProcessPoolExecutor(
        1, mp_context=get_context("spawn"), max_tasks_per_child=1
    ) as pool:
        for name in names or _RUNS:
            begin = os.getloadavg()
            points = [_run(pool, *run) for run in _RUNS[name]]
            sections[name] = {
                "date": time.strftime("%Y-%m-%d %H:%M", time.gmtime()),
                "commit": _commit(),
                "load_average": {"begin": begin[0], "end": os.getloadavg()[0]},
                "points": [point.to_dict() for point in points],
            }
    return sections


def _run(pool: ProcessPoolExecutor, function: Callable, sizes: tuple) -> Point:
    point = pool.submit(function, *sizes).result()
    print(f"{point.name} {point.sizes}", file=sys.stderr, flush=True)
    return point


def slopes_of(points: list[Point]) -> list[dict]:
    """Return the lines through the points, each with what it was drawn from."""
    lines = []
    for slope in SLOPES:
        taken = [point for point in points if slope.takes(point)]
        if len(taken) >= 3:
            line = fit(taken, slope.size, slope.figure)
            sizes = [point.sizes[slope.size] for point in taken]
            lines.append(asdict(slope) | {"sizes": sizes} | asdict(line))
    return lines


def points_of(sections: dict[str, dict]) -> list[Point]:
    """Return the points of all sections."""
    return [
        Point(**point) for section in sections.values() for point in section["points"]
    ]


def main(_: list[str]) -> None:
    """Measure and write the figures as JSON."""
    path = Path(_OUTPUT.value)
    sections = {}
    if _OUTPUT.value and path.exists():
        sections = json.loads(path.read_text())["sections"]
    sections |= measure_all(_SECTIONS.value)
    result = {
        "command": "python -m measure.capacity --output FILE",
        "processors": os.cpu_count(),
        "python": sys.version.split()[0],
        "slopes": slopes_of(points_of(sections)),
        "sections": sections,
    }
    text = json.dumps(result, indent=1) + "\n"
    if _OUTPUT.value:
        path.write_text(text)
    else:
        print(text, end="")


def _commit() -> str:
    """Return the checked-out commit, with a mark if sources differ from it."""

    def git(*arguments: str) -> str:
        return subprocess.run(
            ["git", *arguments], capture_output=True, text=True, check=True
        ).stdout.strip()

    try:
        dirty = git("status", "--porcelain", "--", "src")
        return git("rev-parse", "--short", "HEAD") + (" with changes" if dirty else "")
    except (OSError, subprocess.CalledProcessError):
        return ""


if __name__ == "__main__":
    app.run(main)
