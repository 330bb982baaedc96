"""Processor time that a daemon adds to a relayed stream.

Runs an engine, daemons and callers as processes: directly, through a daemon and
through the simplest relay, all in one run. Prints processor time per token chunk
and per request, memory of an idle daemon, and how much later first tokens come.
"""

import json
import statistics
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass
from functools import partial
from pathlib import Path

import httpcore
import tomli_w
import trio
from absl import app, flags

from demo.documents import CALLER_KEY, base_document
from demo.launcher import (
    DaemonPlace,
    Documents,
    EnginePlace,
    Launcher,
    free_ports,
    wait_ready,
)

__all__ = ["RelayFigures", "main"]

_STREAMS = flags.DEFINE_integer("streams", 20, "Streams at a time.")
_TOKENS = flags.DEFINE_integer("tokens", 200, "Tokens of each stream.")
_ROUNDS = flags.DEFINE_integer("rounds", 3, "Rounds of streams.")
_DAEMONS = flags.DEFINE_integer("daemons", 3, "Daemons; one of them is asked.")
_CLOCK_TICKS = 100
# Tokens of the short streams, whose cost counts as a request's.
_SHORT = 2
# Time between two starts, so that a burst isn't what is measured.
_STAGGER_SECONDS = 0.02


@dataclass(frozen=True, slots=True)
class RelayFigures:
    """What one run gave; times in microseconds unless named otherwise."""

    streams: int
    tokens: int
    owner_per_chunk: float
    second_per_chunk: float
    owner_per_request: float
    naive_per_chunk: float
    naive_per_request: float
    idle_megabytes: float
    direct_first_token_ms: float
    relayed_first_token_ms: float


def main(_: list[str]) -> None:
    """Measure and print the figures as JSON."""
    with tempfile.TemporaryDirectory() as folder:
        figures = _measure(Path(folder))
    json.dump(asdict(figures), sys.stdout, indent=2)
    print()


def _measure(folder: Path) -> RelayFigures:
    ports = free_ports(2 * _DAEMONS.value + 2)
    naive = f"127.0.0.1:{ports.pop()}"
    daemons = [
        DaemonPlace(
            f"entry-{n}",
            f"zone-{n}",
            "region",
            "kitahara",
            ports.pop(),
            ports.pop(),
            ("entry", "control"),
        )
        for n in range(_DAEMONS.value)
    ]
    speed = ("--decode_seconds=0.02", "--prefill_seconds=0.0001", "--slots=256")
    engine = EnginePlace(
        "engine-0", "zone-0", "region", ports.pop(), ("zaseki-7b::1",), speed
    )
    base = folder / "base.toml"
    base.write_text(tomli_w.dumps(base_document()))
    with Launcher(folder) as launcher:
        for place in daemons:
            launcher.start_daemon(place, daemons, Documents(base))
        wait_ready(daemons)
        idle = _resident_megabytes(launcher.processes["entry-0"].pid)
        launcher.start_engine(engine, [each.url for each in daemons])
        launcher.start(
            "naive",
            [
                "measure.naive_relay",
                f"--address={naive}",
                f"--engine={engine.address}",
            ],
        )
        time.sleep(4)
        return _compare(launcher, daemons, engine, naive, idle)


def _compare(launcher, daemons, engine, naive: str, idle: float) -> RelayFigures:
    owner = launcher.processes["entry-0"].pid
    others = [launcher.processes[each.name].pid for each in daemons[1:]]
    naive_pid = launcher.processes["naive"].pid
    relay = partial(_run_streams, daemons[0].url, "")
    simple = partial(_run_streams, "", naive)
    for warm_up in (relay, simple):
        trio.run(warm_up, 2)
    direct = trio.run(_run_streams, "", engine.address, _TOKENS.value)
    count = _STREAMS.value * _ROUNDS.value
    chunks = count * (_TOKENS.value - _SHORT)
    relayed = _time_of(relay, owner, others, _TOKENS.value)
    relayed_short = _time_of(relay, owner, others, _SHORT)
    naive_long = _time_of(simple, naive_pid, [], _TOKENS.value)
    naive_short = _time_of(simple, naive_pid, [], _SHORT)
    return RelayFigures(
        streams=_STREAMS.value,
        tokens=_TOKENS.value,
        owner_per_chunk=1e6 * (relayed.owner - relayed_short.owner) / chunks,
        second_per_chunk=1e6 * (relayed.others - relayed_short.others) / chunks,
        owner_per_request=1e6 * relayed_short.owner / count,
        naive_per_chunk=1e6 * (naive_long.owner - naive_short.owner) / chunks,
        naive_per_request=1e6 * naive_short.owner / count,
        idle_megabytes=idle,
        direct_first_token_ms=1e3 * statistics.quantiles(direct, n=20)[18],
        relayed_first_token_ms=1e3 * statistics.quantiles(relayed.first, n=20)[18],
    )


@dataclass(frozen=True, slots=True)
class _Run:
    """Processor seconds of the hosts, and seconds to each first token."""

    owner: float
    others: float
    first: list[float]


def _time_of(run_streams: Callable, owner: int, others: list[int], tokens: int) -> _Run:
    owner_before = _processor_seconds(owner)
    others_before = sum(map(_processor_seconds, others))
    first = []
    for _ in range(_ROUNDS.value):
        first += trio.run(run_streams, tokens)
    time.sleep(0.2)
    return _Run(
        _processor_seconds(owner) - owner_before,
        sum(map(_processor_seconds, others)) - others_before,
        first,
    )


async def _run_streams(url: str, address: str, tokens: int) -> list[float]:
    """Return the seconds to the first token of each stream.

    Streams go to the daemon at `url`, or as the engine takes them to `address`.
    """
    times: list[float] = []
    async with httpcore.AsyncConnectionPool(max_connections=1000) as pool:
        async with trio.open_nursery() as nursery:
            for number in range(_STREAMS.value):
                request = _request_of(url, address, tokens, number)
                nursery.start_soon(_run_stream, pool, request, times)
                await trio.sleep(_STAGGER_SECONDS)
    return times


def _request_of(url: str, address: str, tokens: int, number: int) -> dict:
    prompt = f"Seat {number} guests {time.time_ns()}."
    if url:
        target = f"{url}/v1/completions"
        body = {
            "model": "zaseki-model",
            "prompt": prompt,
            "max_tokens": tokens,
            "stream": True,
        }
    else:
        target = f"http://{address}/engine/v1/generate"
        body = {
            "attempt_id": prompt,
            "model_key": {"model": "zaseki-7b", "adapter": "", "version": "1"},
            "prompt": prompt,
            "prefix": [],
            "max_tokens": tokens,
            "seed": number,
            "priority": 0,
        }
    headers = {"authorization": f"Bearer {CALLER_KEY}"}
    content = json.dumps(body).encode()
    return {"method": "POST", "url": target, "headers": headers, "content": content}


async def _run_stream(pool, request: dict, times: list[float]) -> None:
    started = trio.current_time()
    is_first = True
    async with pool.stream(**request) as response:
        if response.status != 200:
            raise RuntimeError(f"Status {response.status}: {await response.aread()}")
        async for _ in response.aiter_stream():
            if is_first:
                times.append(trio.current_time() - started)
                is_first = False


def _processor_seconds(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _CLOCK_TICKS


def _resident_megabytes(pid: int) -> float:
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * 4096 / 1e6


if __name__ == "__main__":
    app.run(main)
