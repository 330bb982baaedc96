"""Processor time that a daemon adds to a relayed stream.

Runs engines, daemons and callers as processes, once through a daemon and once
directly, and prints processor time per token chunk and per request, memory of
an idle daemon, and how much later the first token comes.
"""

import json
import statistics
import sys
import tempfile
import time
from dataclasses import asdict, dataclass
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


@dataclass(frozen=True, slots=True)
class RelayFigures:
    """What one run gave; times in microseconds unless named otherwise."""

    streams: int
    tokens: int
    owner_per_chunk: float
    second_per_chunk: float
    owner_per_request: float
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
    ports = free_ports(2 * _DAEMONS.value + 1)
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
        time.sleep(3)
        return _compare(launcher, daemons, engine, idle)


def _compare(launcher, daemons, engine, idle: float) -> RelayFigures:
    owner = launcher.processes["entry-0"].pid
    seconds = [launcher.processes[each.name].pid for each in daemons[1:]]
    trio.run(_run_streams, daemons[0].url, None, 2)
    direct = trio.run(_run_streams, None, engine.address, _TOKENS.value)
    long_runs = _time_of(owner, seconds, daemons[0].url, _TOKENS.value)
    short_runs = _time_of(owner, seconds, daemons[0].url, 2)
    count = _STREAMS.value * _ROUNDS.value
    chunks = count * (_TOKENS.value - 2)
    return RelayFigures(
        streams=_STREAMS.value,
        tokens=_TOKENS.value,
        owner_per_chunk=1e6 * (long_runs.owner - short_runs.owner) / chunks,
        second_per_chunk=1e6 * (long_runs.seconds - short_runs.seconds) / chunks,
        owner_per_request=1e6 * short_runs.owner / count,
        idle_megabytes=idle,
        direct_first_token_ms=1e3 * statistics.quantiles(direct, n=20)[18],
        relayed_first_token_ms=1e3 * statistics.quantiles(long_runs.first, n=20)[18],
    )


@dataclass(frozen=True, slots=True)
class _Run:
    """Processor seconds of the hosts, and seconds to each first token."""

    owner: float
    seconds: float
    first: list[float]


def _time_of(owner: int, seconds: list[int], url: str, tokens: int) -> _Run:
    owner_before = _processor_seconds(owner)
    seconds_before = sum(map(_processor_seconds, seconds))
    first = []
    for _ in range(_ROUNDS.value):
        first += trio.run(_run_streams, url, None, tokens)
    time.sleep(0.2)
    return _Run(
        _processor_seconds(owner) - owner_before,
        sum(map(_processor_seconds, seconds)) - seconds_before,
        first,
    )


async def _run_streams(url: str | None, address: str | None, tokens: int):
    """Return the seconds to the first token of each stream."""
    times: list[float] = []
    async with httpcore.AsyncConnectionPool(max_connections=1000) as pool:
        async with trio.open_nursery() as nursery:
            for number in range(_STREAMS.value):
                nursery.start_soon(
                    _run_stream, pool, url, address, tokens, number, times
                )
                await trio.sleep(0.003)
    return times


async def _run_stream(pool, url, address, tokens: int, number: int, times: list):
    prompt = f"Seat {number} guests {time.time_ns()}."
    if address is None:
        target = f"{url}/v1/completions"
        body = {
            "model": "zaseki-model",
            "prompt": prompt,
            "max_tokens": tokens,
            "stream": True,
        }
    else:
        target = f"http://{address}/engine/v1/generate"
        key = {"model": "zaseki-7b", "adapter": "", "version": "1"}
        body = {
            "attempt_id": prompt,
            "model_key": key,
            "prompt": prompt,
            "prefix": [],
            "max_tokens": tokens,
            "seed": number,
            "priority": 0,
        }
    headers = {"authorization": f"Bearer {CALLER_KEY}"}
    started = trio.current_time()
    is_first = True
    request = pool.stream(
        "POST", target, headers=headers, content=json.dumps(body).encode()
    )
    async with request as response:
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
