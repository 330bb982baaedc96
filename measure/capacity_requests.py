"""What requests and tokens cost the entry hosts besides the callers' streams.

Whole hosts run in virtual time, one of them takes all requests. Bytes are those
of the encoded messages between hosts.
"""

import random
import time

import trio

from measure.capacity_lines import Meter, Point, run_virtual, trace_bytes
from pepperstep.entities import (
    Host,
    ModelKey,
    Priority,
    Request,
    RequestKind,
    Upstream,
    UpstreamKind,
)
from pepperstep.fakes import FakeEngine, FakeService, FakeTimers, FakeUpstreams
from pepperstep.fakes.hosts import FakeHosts, HostPlace
from pepperstep.requests.journal import rank_hosts
from pepperstep.routing import Router

__all__ = ["measure_held", "measure_ranking", "measure_requests", "measure_view"]

_KEY = ModelKey("zaseki-7b", "", "1")
_ZONES = 3
_ENGINES = 6
_SLOTS = 64
_WARM_SECONDS = 3.0
_SECONDS = 10.0


def _places(hosts: int) -> list[HostPlace]:
    return [
        HostPlace(f"entry-{n}", f"zone-{n % _ZONES}", "region", "kitahara", n < 3)
        for n in range(hosts)
    ]


def _upstreams(decode_seconds: float) -> FakeUpstreams:
    engines = [
        FakeEngine(
            f"engine-{n}",
            f"zone-{n % _ZONES}",
            _KEY,
            slots=_SLOTS,
            decode_seconds=decode_seconds,
        )
        for n in range(_ENGINES)
    ]
    return FakeUpstreams([*engines, FakeService("quote-0", "quote-api", "zone-0")])


def _base() -> dict:
    return {
        "sites": {"kitahara": {"regions": ["region"]}},
        "workspaces": {"planners": {}},
        "deployments": {
            "zaseki-model": {
                "model": "zaseki-7b",
                "version": "1",
                "workspaces": ["planners"],
            }
        },
        "services": {"quote-api": {"workspaces": ["planners"]}},
    }


def measure_requests(rate: float, tokens: int, decode_seconds: float = 0.02) -> Point:
    """Return the hosts' cost of `rate` requests a second with so many tokens."""

    async def run() -> Point:
        upstreams = _upstreams(decode_seconds)
        async with FakeHosts.start(_places(4), upstreams, _base()) as hosts:
            await trio.sleep(_WARM_SECONDS)
            idle = Meter(hosts.network)
            await trio.sleep(_SECONDS)
            before = idle.read(1, 1)
            meter = Meter(hosts.network)
            started = trio.current_time()
            await _send(hosts, rate, tokens)
            seconds = trio.current_time() - started
            traffic = meter.read(1, 1)
        count = int(rate * _SECONDS)
        scale = seconds / _SECONDS
        kinds = {
            kind: round((size - scale * before.bytes_by_kind.get(kind, 0)) / count, 2)
            for kind, size in traffic.bytes_by_kind.items()
        }
        figures = {
            "bytes_a_request": (traffic.bytes - scale * before.bytes) / count,
            "messages_a_request": (traffic.messages - scale * before.messages) / count,
            "processor_a_request": (traffic.processor - scale * before.processor)
            / count,
        }
        sizes = {"rate": rate, "tokens": tokens, "step": decode_seconds}
        return Point("requests", sizes, figures, kinds)

    return run_virtual(run)


async def _send(hosts: FakeHosts, rate: float, tokens: int) -> None:
    async with trio.open_nursery() as nursery:
        for number in range(int(rate * _SECONDS)):
            nursery.start_soon(_ask, hosts, number, tokens)
            await trio.sleep(1 / rate)


async def _ask(hosts: FakeHosts, number: int, tokens: int) -> None:
    request = hosts.request("entry-3", number, max_tokens=tokens)
    await hosts.hosts["entry-3"].node.requests.submit(request)
    read, outcome = await hosts.read("entry-3", request.id, request.workspace)
    if not outcome.is_answered or len(read) != tokens:
        raise RuntimeError(f"Request {number} ended by {outcome}.")


def measure_held(requests: int, tokens: int) -> Point:
    """Return the memory that ended requests take at owner and second together."""

    async def run() -> Point:
        async with FakeHosts.start(_places(4), _upstreams(0.001), _base()) as hosts:
            await _send_all(hosts, 0, 20, tokens)
            with trace_bytes() as taken:
                await _send_all(hosts, 20, requests, tokens)
        figures = {"memory_a_request": taken[0] / requests}
        return Point("requests kept", {"requests": requests, "tokens": tokens}, figures)

    return run_virtual(run)


async def _send_all(hosts: FakeHosts, first: int, count: int, tokens: int) -> None:
    """Send requests one after another, so that few run when memory is read."""
    for number in range(first, first + count):
        await _ask(hosts, number, tokens)


def measure_ranking(hosts: int) -> Point:
    """Return processor time of one ranking of all hosts, for one request."""
    names = [Host(f"entry-{n:04d}", "", "", "z", "r", "s") for n in range(hosts)]
    rng = random.Random(1)
    count = 20_000 // hosts
    keys = [f"{rng.getrandbits(128):032x}" for _ in range(count)]
    started = time.process_time()
    for key in keys:
        rank_hosts(names, key)
    seconds = (time.process_time() - started) / count
    return Point("ranking", {"hosts": hosts}, {"processor": seconds})


class _View:
    """Upstreams of a hundred deployments, and a clock that goes on at each look."""

    def __init__(self, count: int):
        self._upstreams = [
            Upstream(
                f"engine-{number}",
                1,
                "",
                UpstreamKind.ENGINE,
                "",
                f"zone-{number % _ZONES}",
                models=frozenset({ModelKey(f"model-{number % 100}")}),
            )
            for number in range(count)
        ]

    def candidates(self) -> list[Upstream]:
        return self._upstreams


class _Steps(FakeTimers):
    """Timers by which each look comes a second after the one before."""

    time = 0.0

    def now(self) -> float:
        self.time += 1.0
        return self.time


def measure_view(upstreams: int, rounds: int = 50) -> Point:
    """Return processor time of the router's look at all upstreams it knows."""

    async def run() -> float:
        router = Router(_View(upstreams), _Steps())
        router.check(request)
        started = time.process_time()
        for _ in range(rounds):
            router.check(request)
        return (time.process_time() - started) / rounds

    request = Request(
        "r",
        "w",
        RequestKind.CHAT,
        "model-1",
        Priority.STANDARD,
        deadline=3e9,
        model_key=ModelKey("model-1"),
    )
    seconds = run_virtual(run)
    return Point("router's view", {"upstreams": upstreams}, {"processor": seconds})
