"""Processor time of one placement: `python -m measure.routing_cost`."""

import random
import statistics
import time

import trio

from measure.routing_site import KEY
from pepperstep.entities import (
    Load,
    ModelKey,
    Priority,
    Request,
    RequestKind,
    Upstream,
    UpstreamKind,
)
from pepperstep.fakes import FakeTimers
from pepperstep.ports.upstreams import EndMark
from pepperstep.routing import Router

__all__ = ["main"]

_ROUNDS = 5
_REQUESTS = 2000


class _View:
    """Candidates that don't change."""

    def __init__(self, count: int, models: frozenset[ModelKey]):
        rng = random.Random(1)
        self._upstreams = [
            Upstream(
                f"engine-{n}",
                1,
                "",
                UpstreamKind.ENGINE,
                "",
                f"zone-{n % 3}",
                models=models,
                load=Load(rng.randrange(12), 0),
            )
            for n in range(count)
        ]

    def candidates(self) -> list[Upstream]:
        """Return all."""
        return self._upstreams


async def _measure(count: int, prompt: str, in_flight: int) -> list[float]:
    """Return the median microseconds of a check, an acquire, and notes and end."""
    router = Router(_View(count, frozenset({KEY})), FakeTimers(), zone="zone-0")
    for number in range(in_flight):
        await router.acquire(_request(f"held-{number}", prompt), 0, frozenset())
    steps: list[tuple[float, float, float]] = []
    for number in range(_REQUESTS):
        request = _request(f"r{number}", prompt + str(number))
        begin = time.perf_counter()
        router.check(request)
        checked = time.perf_counter()
        placement = await router.acquire(request, 0, frozenset())
        placed = time.perf_counter()
        with placement:
            placement.record_tokens(1)
            placement.record_answer(EndMark("", 16, "length"))
        ended = time.perf_counter()
        steps.append((checked - begin, placed - checked, ended - placed))
    return [statistics.median(each) * 1e6 for each in zip(*steps, strict=True)]


def _request(request_id: str, prompt: str) -> Request:
    return Request(
        request_id,
        "offices",
        RequestKind.CHAT,
        "pool",
        Priority.STANDARD,
        deadline=3e9,
        model_key=KEY,
        prompt=prompt,
    )


def main() -> None:
    """Print the least median of some rounds, in microseconds."""
    print(f"{'candidates':>10}{'prompt':>10}{'check':>10}{'acquire':>10}{'end':>10}")
    for count, size in ((9, 2000), (64, 0), (64, 2000), (64, 32_000), (200, 2000)):
        prompt = "Quote and benefit. " * (size // 19)
        rounds = [trio.run(_measure, count, prompt, count) for _ in range(_ROUNDS)]
        least = [min(steps) for steps in zip(*rounds, strict=True)]
        line = "".join(f"{each:>10.1f}" for each in least)
        print(f"{count:>10}{size:>10}{line}", flush=True)


if __name__ == "__main__":
    main()
