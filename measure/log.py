"""Measures the replicated log: processes on loopback, files with real syncs."""

import json
import os
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import asdict, dataclass, field
from pathlib import Path

import msgspec
from absl import flags

from demo.launcher import free_ports
from measure.change_times import measure_fakes, measure_processes
from measure.log_voter import Gap, GapAnswer, Load, LoadAnswer, State, StateAnswer
from measure.report import (
    PAGE,
    Table,
    describe_run,
    print_table,
    replace_section,
    to_markdown,
)

__all__ = ["main"]

_FOLDER = flags.DEFINE_string("folder", "", "Folder for JSON and page.")
_SECONDS = flags.DEFINE_float("seconds", 3.0, "Seconds of each load.")
_QUIET_SECONDS = flags.DEFINE_float("quiet_seconds", 10.0, "Seconds of each calm.")
_SIZES = (3, 5)
_WRITERS = (1, 16, 256)
# Changes a second at 29,000 a day.
_CHANGES = 29_000 / 86_400
_MISSED = 1000
_KILLS = 3
_GAP_SECONDS = 5.0
_KILL_AFTER = 1.0
_READY_SECONDS = 20.0
_POLL_SECONDS = 0.02


@dataclass(frozen=True, slots=True)
class Throughput:
    """Commits by `writers` tasks on the leader; times in milliseconds."""

    voters: int
    writers: int
    commits_per_second: float
    times: dict[str, float]


@dataclass(frozen=True, slots=True)
class Usage:
    """What one voter used on average in a second."""

    voters: int
    changes_per_second: float
    role: str
    processor_ms: float
    sent_bytes: float
    sent_messages: float
    megabytes: float


@dataclass(slots=True)
class LogFigures:
    """All that was measured; times in seconds unless named otherwise."""

    throughput: list[Throughput] = field(default_factory=list)
    usage: list[Usage] = field(default_factory=list)
    # Longest pause between two commits when the leader was killed, by voters.
    failover: dict[int, list[float]] = field(default_factory=dict)
    # From a process's start, and from its first answer, until it had applied
    # 1,000 missed changes, by voters.
    catch_up: dict[int, list[float]] = field(default_factory=dict)
    # From acceptance until in force on all hosts, by hosts.
    in_force_virtual: dict[int, list[float]] = field(default_factory=dict)
    in_force_processes: dict[int, list[float]] = field(default_factory=dict)


class VoterProcess:
    """A voter in a process of its own."""

    def __init__(self, name: str, voters: dict[str, str], folder: Path):
        self.name = name
        addresses = ",".join(f"{each}={address}" for each, address in voters.items())
        self._log = (folder / f"{name}.log").open("a")
        self.process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "measure.log_voter",
                f"--name={name}",
                f"--voters={addresses}",
                f"--data_folder={folder / name}",
            ],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=self._log,
            env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
        )

    def send(self, order) -> None:
        """Give an order."""
        self.process.stdin.write(msgspec.json.encode(order) + b"\n")
        self.process.stdin.flush()

    def receive(self, answer_type):
        """Return the answer to the oldest order without one."""
        return msgspec.json.decode(self.process.stdout.readline(), type=answer_type)

    def ask(self, order, answer_type):
        """Give an order and return its answer."""
        self.send(order)
        return self.receive(answer_type)

    def kill(self) -> None:
        """End the process without notice."""
        self.process.kill()
        self.process.wait()
        self._log.close()


class Group:
    """The voters of one log."""

    def __init__(self, folder: Path, size: int):
        ports = free_ports(size)
        self._folder = folder
        self._voters = {f"voter-{n}": f"127.0.0.1:{ports[n]}" for n in range(size)}
        self.processes: dict[str, VoterProcess] = {}
        for name in self._voters:
            self.start(name)

    def start(self, name: str) -> VoterProcess:
        """Start a voter, on the files of its earlier life."""
        self.processes[name] = VoterProcess(name, self._voters, self._folder)
        return self.processes[name]

    def kill(self, name: str) -> None:
        """End a voter without notice."""
        self.processes.pop(name).kill()

    def states(self) -> dict[str, StateAnswer]:
        """Return the state of each voter."""
        return {
            name: each.ask(State(), StateAnswer)
            for name, each in self.processes.items()
        }

    def wait_leader(self) -> str:
        """Return the leader's name once there is one."""
        give_up_at = time.monotonic() + _READY_SECONDS
        while time.monotonic() < give_up_at:
            for name, state in self.states().items():
                if state.is_leader:
                    return name
            time.sleep(_POLL_SECONDS)
        raise TimeoutError("No voter leads.")


@contextmanager
def _group(size: int) -> Iterator[Group]:
    with tempfile.TemporaryDirectory() as folder:
        group = Group(Path(folder), size)
        try:
            yield group
        finally:
            for name in list(group.processes):
                group.kill(name)


def main(_: list[str]) -> None:
    """Measure, print, and write what was asked for."""
    figures = LogFigures()
    for size in _SIZES:
        with _group(size) as group:
            group.wait_leader()
            figures.throughput += _measure_throughput(group, size)
            figures.usage += _measure_usage(group, size)
            figures.failover[size] = _measure_failover(group)
            figures.catch_up[size] = _measure_catch_up(group)
    figures.in_force_virtual = measure_fakes()
    figures.in_force_processes = measure_processes()
    for table in _tables(figures):
        print()
        print_table(table, sys.stdout)
    if _FOLDER.value:
        _write(Path(_FOLDER.value), figures)


def _measure_throughput(group: Group, size: int) -> Iterator[Throughput]:
    for writers in _WRITERS:
        leader = group.processes[group.wait_leader()]
        answer = leader.ask(Load(writers, _SECONDS.value), LoadAnswer)
        rate = answer.commits / answer.seconds
        yield Throughput(size, writers, rate, answer.times)


def _measure_usage(group: Group, size: int) -> Iterator[Usage]:
    for rate in (0.0, _CHANGES):
        leader = group.wait_leader()
        before = group.states()
        if rate:
            load = Load(1, _QUIET_SECONDS.value, rate=rate)
            group.processes[leader].ask(load, LoadAnswer)
        else:
            time.sleep(_QUIET_SECONDS.value)
        after = group.states()
        for role in ("leader", "follower"):
            names = [name for name in after if (name == leader) == (role == "leader")]
            yield _usage_of(size, rate, role, names, before, after)


def _usage_of(size, rate, role, names, before, after) -> Usage:
    def mean(value) -> float:
        used = (value(after[name]) - value(before[name]) for name in names)
        return sum(used) / len(names) / _QUIET_SECONDS.value

    return Usage(
        size,
        rate,
        role,
        1000 * mean(lambda state: state.processor_seconds),
        mean(lambda state: state.sent_bytes),
        mean(lambda state: state.sent_messages),
        max(after[name].megabytes for name in names),
    )


def _measure_failover(group: Group) -> list[float]:
    """Kill the leader while another voter proposes; return the pauses."""
    pauses = []
    for _ in range(_KILLS):
        leader = group.wait_leader()
        other = next(name for name in group.processes if name != leader)
        group.processes[other].send(Gap(_GAP_SECONDS))
        time.sleep(_KILL_AFTER)
        group.kill(leader)
        pauses.append(group.processes[other].receive(GapAnswer).longest)
        group.start(leader)
        _wait_level(group, leader)
    return pauses


def _measure_catch_up(group: Group) -> list[float]:
    """Let a follower miss changes; return the times of its return."""
    leader = group.wait_leader()
    follower = next(name for name in group.processes if name != leader)
    group.kill(follower)
    group.processes[leader].ask(Load(16, count=_MISSED), LoadAnswer)
    started = time.monotonic()
    group.start(follower)
    group.processes[follower].ask(State(), StateAnswer)
    answered = time.monotonic()
    _wait_level(group, follower)
    done = time.monotonic()
    return [done - started, done - answered]


def _wait_level(group: Group, name: str) -> None:
    """Return once a voter has applied what was committed at the call."""
    leader = group.processes[group.wait_leader()]
    target = leader.ask(State(), StateAnswer).commit_index
    voter = group.processes[name]
    while voter.ask(State(), StateAnswer).applied_index < target:
        time.sleep(_POLL_SECONDS)


def _tables(figures: LogFigures) -> list[Table]:
    throughput = [["voters", "writers", "commits/s", "p50 ms", "p95 ms", "p99 ms"]]
    for each in figures.throughput:
        times = [f"{each.times[name]:.1f}" for name in ("p50", "p95", "p99")]
        rate = f"{each.commits_per_second:.0f}"
        throughput.append([str(each.voters), str(each.writers), rate, *times])
    return [throughput, _usage_table(figures), _times_table(figures)]


def _usage_table(figures: LogFigures) -> Table:
    heads = ["voters", "changes/s", "role", "processor ms/s", "bytes/s", "messages/s"]
    return [heads + ["MB"]] + [
        [
            str(each.voters),
            f"{each.changes_per_second:.2f}",
            each.role,
            f"{each.processor_ms:.1f}",
            f"{each.sent_bytes:.0f}",
            f"{each.sent_messages:.1f}",
            f"{each.megabytes:.0f}",
        ]
        for each in figures.usage
    ]


def _times_table(figures: LogFigures) -> Table:
    parts = {
        "pause when the leader is killed (voters)": figures.failover,
        "start, first answer until 1,000 missed changes applied (voters)": (
            figures.catch_up
        ),
        "accepted until in force everywhere, virtual time (hosts)": (
            figures.in_force_virtual
        ),
        "accepted until in force everywhere, processes (hosts)": (
            figures.in_force_processes
        ),
    }
    return [["seconds", "number", "measured"]] + [
        [name, str(number), ", ".join(f"{value:.2f}" for value in values)]
        for name, part in parts.items()
        for number, values in part.items()
    ]


def _write(folder: Path, figures: LogFigures) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    about = describe_run()
    document = {"about": about, "figures": asdict(figures)}
    (folder / "log.json").write_text(json.dumps(document, indent=1) + "\n")
    lines = [
        f"`{about['command']}`, commit {about['commit']}, {about['date']}. Processes "
        "on loopback with a real sync for each batch; real time, so that figures "
        "differ from run to run and with what else the machine does.",
    ]
    for table in _tables(figures):
        lines += ["", *to_markdown(table)]
    replace_section(folder / PAGE, "Replicated log", lines)
