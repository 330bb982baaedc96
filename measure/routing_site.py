"""Entry hosts, engines and callers by which the routing's policies are compared."""

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import trio
from trio._core import _run as run_module
from trio.testing import MockClock

from pepperstep.configuration import Configuration
from pepperstep.configuration.schema import Limits, Workspace
from pepperstep.entities import ModelKey, Priority, Request, RequestKind, Upstream
from pepperstep.errors import Failure
from pepperstep.fakes import FakeEngine, FakeTimers, FakeUpstreams
from pepperstep.ports.upstreams import (
    EndMark,
    GenerateOrder,
    UpstreamLost,
    UpstreamRefused,
)
from pepperstep.routing import Router, RoutingSettings

__all__ = [
    "KEY",
    "BatchEngine",
    "Figures",
    "Sample",
    "Site",
    "Work",
    "run_policy",
    "send",
]

KEY = ModelKey("pool-7b", "", "1")
ZONES = ("makati-a", "pasig-b", "taguig-c")
_LAG_SECONDS = 1.0


class LaggedView:
    """Upstreams with the load that they had at the last report."""

    def __init__(self, upstreams: FakeUpstreams):
        self._upstreams = upstreams
        self._reported: list[Upstream] = upstreams.candidates()

    def candidates(self) -> list[Upstream]:
        """Return the upstreams as last reported."""
        return self._reported

    async def run(self) -> None:
        """Take a report each second, seen half a second later."""
        while True:
            seen = self._upstreams.candidates()
            await trio.sleep(_LAG_SECONDS / 2)
            self._reported = seen
            await trio.sleep(_LAG_SECONDS / 2)


class BatchEngine(FakeEngine):
    """An engine whose prefills wait for each other and whose steps grow.

    A decode step takes `decode_seconds` up to `easy_batch` attempts, and as
    much more as the batch is larger above that.
    """

    def __init__(self, name: str, zone: str, key: ModelKey, **options):
        self.easy_batch = options.pop("easy_batch", 16)
        self.fail_share = 0.0
        self.rng = random.Random(name)
        super().__init__(name, zone, key, **options)
        self._prefills = trio.Lock()

    async def open(self, order: GenerateOrder):
        """Refuse a share of the attempts."""
        if self.rng.random() < self.fail_share:
            await trio.sleep(0.01)
            raise UpstreamRefused("Internal error.")
        return await super().open(order)

    async def _prefill(self, attempt):
        async with self._prefills:
            return await super()._prefill(attempt)

    async def _step(self, attempt):
        growth = max(1.0, self.load.running / self.easy_batch)
        step = self.decode_seconds * growth + self.slow_seconds
        await self._sleep(attempt, step)


@dataclass(slots=True)
class Sample:
    """How one request ended."""

    request: Request
    asked_at: float
    first_token: float | None = None
    gaps: float = 0.0
    is_answered: bool = False
    ended_at: float = 0.0
    code: str = ""
    retry_after: float = 0.0
    attempts: int = 0


@dataclass(slots=True)
class Figures:
    """Results of one policy in one scenario."""

    samples: list[Sample] = field(default_factory=list)
    computed_tokens: int = 0
    ejections: int = 0
    seconds: float = 0.0

    def first_tokens(self, keep: Callable[[Request], bool] = lambda _: True):
        """Return the times to the first token, sorted."""
        return sorted(
            sample.first_token
            for sample in self.samples
            if sample.first_token is not None and keep(sample.request)
        )

    def percentile(self, share: float, keep=lambda _: True) -> float:
        """Return a percentile of the time to the first token."""
        values = self.first_tokens(keep)
        return values[min(len(values) - 1, int(share * len(values)))] if values else 0.0

    def count(self, keep: Callable[[Sample], bool]) -> int:
        """Return the number of samples that fit."""
        return sum(map(keep, self.samples))

    @property
    def retry_share(self) -> float:
        """Attempts beyond the first ones, as a share of those."""
        firsts = self.count(lambda sample: sample.attempts > 0)
        attempts = sum(sample.attempts for sample in self.samples)
        return (attempts - firsts) / max(1, firsts)


class Site:
    """Entry hosts and engines of one run."""

    def __init__(
        self,
        settings: RoutingSettings,
        *,
        engines: int = 9,
        hosts: int = 3,
        workspaces: dict[str, Workspace] | None = None,
        retry_share: float = 0.1,
        seed: int = 1,
        **options,
    ):
        self.rng = random.Random(seed)
        self.timers = FakeTimers()
        self.engines = [
            BatchEngine(f"engine-{n}", ZONES[n % 3], KEY, region="ncr", **options)
            for n in range(engines)
        ]
        self.upstreams = FakeUpstreams(self.engines)
        self.view = LaggedView(self.upstreams)
        configuration = Configuration(
            limits=Limits(retry_share=retry_share), workspaces=workspaces or {}
        )
        self.routers = [
            Router(
                self.view,
                self.timers,
                settings=settings,
                rng=random.Random(n),
                configuration=lambda: configuration,
                zone=ZONES[n % 3],
                region="ncr",
                host_count=lambda: hosts,
            )
            for n in range(hosts)
        ]
        self.figures = Figures()
        self._numbers = 0

    def request(self, **changes) -> Request:
        """Return the next request."""
        self._numbers += 1
        values = {
            "id": f"r{self._numbers}",
            "workspace": "offices",
            "kind": RequestKind.CHAT,
            "target": "pool",
            "priority": Priority.STANDARD,
            "deadline": self.timers.wall() + 60,
            "model_key": KEY,
            "prompt": f"Explain quote {self._numbers}. " * 40,
            "max_tokens": 50,
        }
        return Request(**(values | changes))

    def finish(self) -> Figures:
        """Return the figures of the run."""
        figures = self.figures
        figures.seconds = trio.current_time()
        figures.computed_tokens = sum(each.computed_tokens for each in self.engines)
        figures.ejections = sum(
            upstream.ejections
            for router in self.routers
            for upstream in router.status.upstreams
        )
        return figures

    async def ask(self, request: Request) -> None:
        """Ask one entry host and note how it ended."""
        router = self.rng.choice(self.routers)
        sample = Sample(request, trio.current_time())
        self.figures.samples.append(sample)
        try:
            router.check(request)
            await self._answer(router, sample)
        except Failure as failure:
            sample.code = str(failure.code)
            sample.retry_after = failure.retry_after or 0.0

    async def _answer(self, router: Router, sample: Sample) -> None:
        request = sample.request
        with trio.move_on_after(max(0.0, request.deadline - self.timers.wall())):
            await self._attempt_until_answered(router, sample)
        sample.ended_at = trio.current_time()
        if not sample.is_answered:
            sample.code = "deadline_expired"

    async def _attempt_until_answered(self, router: Router, sample: Sample) -> None:
        tokens: list[str] = []
        excluded: set[str] = set()
        while not sample.is_answered:
            placement = await router.acquire(
                sample.request,
                len(tokens),
                frozenset(excluded),
                attempt=sample.attempts + 1,
            )
            sample.attempts += 1
            with placement:
                try:
                    await self._attempt(placement, sample, tokens)
                except UpstreamRefused as error:
                    placement.record_refusal(error.retry_after)
                except UpstreamLost:
                    placement.record_loss()
            excluded.add(placement.upstream.name)

    async def _attempt(self, placement, sample: Sample, tokens: list[str]) -> None:
        request = sample.request
        order = GenerateOrder(
            f"{request.id}.{sample.attempts}",
            request.model_key,
            request.prompt,
            tuple(tokens),
            request.max_tokens,
            request.seed,
            int(request.priority),
        )
        async with self.upstreams.generate(placement.upstream, order) as chunks:
            async for chunk in chunks:
                if isinstance(chunk, EndMark):
                    placement.record_answer(chunk)
                    sample.is_answered = True
                    self._note_gap(sample)
                    return
                if sample.first_token is None:
                    sample.first_token = trio.current_time() - sample.asked_at
                tokens.extend(chunk.tokens)
                placement.record_tokens(len(chunk.tokens))

    def _note_gap(self, sample: Sample) -> None:
        seconds = trio.current_time() - sample.asked_at - sample.first_token
        sample.gaps = seconds / max(1, sample.request.max_tokens - 1)


Work = Callable[[Site, trio.Nursery], Awaitable[None]]


def run_policy(work: Work, settings: RoutingSettings, **options) -> Figures:
    """Run one policy in virtual time, to the end of the last request."""

    async def main() -> Figures:
        site = Site(settings, **options)
        async with trio.open_nursery() as outer:
            outer.start_soon(site.view.run)
            async with trio.open_nursery() as nursery:
                await work(site, nursery)
            outer.cancel_scope.cancel()
        return site.finish()

    # Trio shuffles the tasks that are ready; figures are to repeat.
    run_module._ALLOW_DETERMINISTIC_SCHEDULING = True
    run_module._r.seed(options["seed"])
    return trio.run(main, clock=MockClock(autojump_threshold=0))


async def send(
    site: Site,
    nursery: trio.Nursery,
    rate: float,
    seconds: float,
    make: Callable[[], Request],
) -> None:
    """Ask at a rate a second, at random times."""
    end = trio.current_time() + seconds
    while trio.current_time() < end:
        await trio.sleep(site.rng.expovariate(rate))
        nursery.start_soon(site.ask, make())
