"""Processor time of one entry daemon for a relayed request and a relayed event.

Real daemons on loopback; the processor time is the entry daemon's own, as the
system counts it, less what it uses without load in the same time.
"""

import os
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

import trio

from pepperstep.adapters.http1 import Http1Connector
from pepperstep.ports.exchange import Answer, AnswerHead, Exchange, RequestHead
from standins.platform_site import Site, StandInUpstream

__all__ = ["RelayCost", "main", "measure_relaying"]

_REQUESTS = 2_000
_STREAMS = 20
_EVENTS = 1_000
_IDLE_SECONDS = 5.0
_EVENT_PAUSE_SECONDS = 0.005
_TICK_SECONDS = 1 / os.sysconf("SC_CLK_TCK")
_TABLE = (
    b'{"version":1,"services":[{"name":"plain"}],"routes":['
    b'{"name":"r","host":"a.example","path_prefix":"/once/","kind":"safe",'
    b'"timeout_ms":300000,"service":"plain"},'
    b'{"name":"s","host":"a.example","path_prefix":"/stream/","kind":"stream",'
    b'"timeout_ms":300000,"service":"plain"}]}'
)


@dataclass(frozen=True, slots=True)
class RelayCost:
    """Processor time in seconds, wall time of one request in seconds."""

    idle_share: float
    request: float
    event: float
    request_wall: float
    direct_wall: float
    memory_bytes: int


class _Upstream(StandInUpstream):
    """Streams many events, a few milliseconds apart."""

    async def handle(self, exchange: Exchange) -> None:
        attempt = exchange.head.first(b"pepperstep-attempt-id")
        headers = ((b"pepperstep-attempt-id", attempt),)
        if not exchange.head.target.startswith(b"/stream"):
            await exchange.answer(Answer(200, exchange.body, headers))
            return
        await exchange.begin(AnswerHead(200, headers), b"id: 0\ndata: x\n\n")
        for number in range(1, _EVENTS):
            await trio.sleep(_EVENT_PAUSE_SECONDS)
            await exchange.send(b"id: %d\ndata: %s\n\n" % (number, b"x" * 40))
        await exchange.finish()


async def measure_relaying() -> RelayCost:
    """Return what one entry daemon costs."""
    with tempfile.TemporaryDirectory() as folder:
        async with Site.open(Path(folder)) as site:
            for number in (1, 2, 3):
                site.start(f"control-{number}", number, is_first=True, seeds=[1, 2, 3])
            site.start("entry-4", 4, is_first=True, seeds=[1, 2, 3])
            await site.operate(b"POST", "/-/Config.Replace", _TABLE)
            upstream = await site.upstream("u1", "plain", 9, _Upstream)
            await site.wait(lambda: site.is_ready("entry-4"))
            await trio.sleep(2.0)
            pid = site.daemons["entry-4"].process.pid
            entry = site.address("entry-4")
            return await _measure(pid, entry, upstream.address)


async def _measure(pid: int, entry: str, upstream: str) -> RelayCost:
    idle, wall = await _cost(pid, lambda: trio.sleep(_IDLE_SECONDS))
    share = idle / wall
    requests, wall = await _cost(pid, lambda: _send_requests(entry))
    request = (requests - share * wall) / _REQUESTS
    start = time.monotonic()
    await _send_requests(upstream)
    direct = (time.monotonic() - start) / _REQUESTS
    events, events_wall = await _cost(pid, lambda: _read_streams(entry))
    event = (events - share * events_wall) / (_STREAMS * _EVENTS)
    memory = _memory_of(pid)
    return RelayCost(share, request, event, wall / _REQUESTS, direct, memory)


async def _cost(pid: int, load: Callable[[], Awaitable[None]]) -> tuple[float, float]:
    """Return processor and wall time that a load takes, in seconds."""
    before, start = _processor_time(pid), time.monotonic()
    await load()
    return _processor_time(pid) - before, time.monotonic() - start


async def _send_requests(address: str) -> None:
    connection = await Http1Connector(trio.current_time).connect(address, 2.0)
    for number in range(_REQUESTS):
        await connection.send(_head(b"/once/1", number), b"x" * 600)
        async for _ in connection.pieces():
            pass
    connection.close()


async def _read_streams(address: str) -> None:
    async with trio.open_nursery() as nursery:
        for number in range(_STREAMS):
            nursery.start_soon(_read_stream, address, number)


async def _read_stream(address: str, number: int) -> None:
    connection = await Http1Connector(trio.current_time).connect(address, 2.0)
    await connection.send(_head(b"/stream/1", number), b"")
    async for _ in connection.pieces():
        pass
    connection.close()


def _head(target: bytes, number: int) -> RequestHead:
    headers = (
        (b"host", b"a.example"),
        (b"pepperstep-attempt-id", b"%08x" % number),
        (b"pepperstep-deadline-ms", b"100000"),
    )
    return RequestHead(b"POST", target, headers)


def _processor_time(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(") ")[2].split()
    return (int(fields[11]) + int(fields[12])) * _TICK_SECONDS


def _memory_of(pid: int) -> int:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * 1024
    return 0


def main() -> None:
    """Measure once and print the figures."""
    cost = trio.run(measure_relaying)
    print(f"idle: {100 * cost.idle_share:.2f}% of a core")
    print(f"a request: {1000 * cost.request:.2f} ms of processor time")
    print(f"an event: {1e6 * cost.event:.0f} us of processor time")
    print(f"a request's wall time: {1000 * cost.request_wall:.2f} ms")
    print(f"the same, directly: {1000 * cost.direct_wall:.2f} ms")
    print(f"peak memory: {cost.memory_bytes / 1e6:.0f} MB")


if __name__ == "__main__":
    main()
