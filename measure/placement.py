"""Placement of prompts by many entry hosts, against model engines in virtual time.

Each entry host decides by its own view, as in the product. The load is that of the
deployments' sheets: prompts with parts that several share, in clumps.
"""

import random
import statistics
from collections.abc import Callable, Coroutine, Iterable
from dataclasses import dataclass, field
from functools import partial
from typing import TypeVar

from measure.model_engine import ModelEngine, ModelRun, Scheduler
from pepperstep.coordination import Announcement, UpstreamCatalog, UpstreamKey
from pepperstep.entities.routes import Service
from pepperstep.ports.relaying import PromptPart, RequestFacts
from pepperstep.relay.choice import Chooser
from pepperstep.relay.shared_load import UpstreamWork

__all__ = ["PlacementResult", "PlacementSettings", "main", "play_placement", "run_now"]

T = TypeVar("T")

_SERVICE = Service("model")
# Requests of the first and the last seconds aren't counted: caches fill, and answers
# don't end.
_WARM_SECONDS = 5.0
_TAIL_SECONDS = 5.0
# Time until a host's notice has arrived at its keeper, in seconds: the pause before it
# and the way.
_TELLING_SECONDS = 0.01


@dataclass(frozen=True, slots=True)
class PromptKind:
    """One kind of request; tokens are means."""

    name: str
    per_second: float
    # Tokens of parts that many share, and how many such parts there are.
    shared: tuple[tuple[int, int], ...]
    own_tokens: int
    answer_tokens: int
    target: float
    timeout: float


KINDS = (
    PromptKind("layout", 18.1, ((2520, 4), (3780, 361)), 2890, 52, 1.0, 5.0),
    PromptKind("compare", 11.5, ((341, 8), (227, 153)), 1800, 24, 0.8, 3.0),
    PromptKind("chat", 9.34, ((103, 20), (69, 186)), 543, 280, 0.6, 15.0),
)


@dataclass(frozen=True, slots=True)
class PlacementSettings:
    """One scenario."""

    hosts: int = 7
    engines: int = 6
    # Share of the sheet's load.
    load: float = 1.0
    seconds: float = 40.0
    # Requests that come at once, on average.
    clump: float = 3.0
    # Whether hosts tell each other what they have sent.
    tells: bool = False


@dataclass(slots=True)
class PlacementResult:
    """What callers got, and what engines did."""

    asked: int = 0
    in_time: int = 0
    cut: int = 0
    firsts: list[float] = field(default_factory=list)
    errors: list[float] = field(default_factory=list)
    read_tokens: int = 0
    largest_share: float = 0.0

    def percentile(self, part: float) -> float:
        """Return the time to the first token that `part` of the requests keep."""
        ranked = sorted(self.firsts)
        return ranked[int(part * (len(ranked) - 1))]

    @property
    def error(self) -> float:
        """Mean error of the predicted time to the first token, in seconds."""
        return statistics.fmean(abs(error) for error in self.errors)


class _OpenPools:
    """Pools with room for everything."""

    def has_room(self, upstream: str, max_connections: int) -> bool:
        return True


class _KeptWork:
    """Other hosts' work, as a keeper knows it from notices."""

    def __init__(
        self, clock: Scheduler, kept: dict[UpstreamKey, dict[int, UpstreamWork]]
    ):
        self._clock = clock
        # By upstream and host.
        self._kept = kept
        # This host's own work, set once its chooser is there.
        self.own: Callable[[UpstreamKey], UpstreamWork] = lambda upstream: (
            UpstreamWork()
        )

    async def ask(
        self, upstreams: Iterable[UpstreamKey]
    ) -> dict[UpstreamKey, UpstreamWork]:
        found = {}
        for upstream in upstreams:
            kept = self._kept.setdefault(upstream, {})
            kept[id(self)] = self.own(upstream)
            peer_work = (work for host, work in kept.items() if host != id(self))
            found[upstream] = sum(peer_work, UpstreamWork())
        return found

    def report_unread(self, upstream: UpstreamKey, unread: int) -> None:
        told = partial(self._tell, upstream, self.own(upstream))
        self._clock.at(self._clock.now + _TELLING_SECONDS, told)

    def _tell(self, upstream: UpstreamKey, work: UpstreamWork) -> None:
        self._kept.setdefault(upstream, {})[id(self)] = work


def run_now(coroutine: Coroutine[None, None, T]) -> T:
    """Return the result of a coroutine that waits for nothing."""
    try:
        coroutine.send(None)
    except StopIteration as result:
        return result.value
    raise RuntimeError("The coroutine waits.")


class _Play:
    def __init__(self, settings: PlacementSettings, seed: int):
        self._settings = settings
        self._rng = random.Random(seed)
        self._clock = Scheduler()
        self.result = PlacementResult()
        self._engines = {f"u{n:02}": self._engine(n) for n in range(settings.engines)}
        self._kept: dict[UpstreamKey, dict[int, UpstreamWork]] = {}
        self._choosers = [self._chooser(seed + n) for n in range(settings.hosts)]

    def run(self) -> PlacementResult:
        self._clock.at(0.0, self._arrive)
        self._clock.run_until(self._settings.seconds)
        reads = [engine.read_tokens for engine in self._engines.values()]
        self.result.read_tokens = sum(reads)
        self.result.largest_share = max(reads) / max(1, sum(reads))
        return self.result

    def _engine(self, number: int) -> ModelEngine:
        return ModelEngine(self._clock)

    def _chooser(self, seed: int) -> Chooser:
        def now() -> float:
            return self._clock.now

        catalog = UpstreamCatalog(now)
        for name in self._engines:
            catalog.record(Announcement(name, "model", f"{name}:1", "z", sequence=1))
        count = self._settings.hosts
        rng = random.Random(seed)
        if not self._settings.tells:
            return Chooser(catalog, _OpenPools(), "z", lambda: count, now, rng)
        kept = _KeptWork(self._clock, self._kept)
        chooser = Chooser(
            catalog, _OpenPools(), "z", lambda: count, now, rng, peer_work=kept
        )
        kept.own = chooser.work_at
        return chooser

    def _arrive(self) -> None:
        settings = self._settings
        # Geometric, with the clump's mean.
        self._ask()
        while self._rng.random() < 1 - 1 / settings.clump:
            self._ask()
        rate = settings.load * sum(kind.per_second for kind in KINDS)
        wait = self._rng.expovariate(rate / settings.clump)
        self._clock.at(self._clock.now + wait, self._arrive)

    def _ask(self) -> None:
        rng = self._rng
        [kind] = rng.choices(KINDS, [kind.per_second for kind in KINDS])
        parts = []
        name = kind.name
        for tokens, count in kind.shared:
            # Some parts are asked for more often than others.
            name = f"{name}/{int(count * rng.random() ** 1.3)}"
            spread = random.Random(name).lognormvariate(0.0, 0.5)
            parts.append(PromptPart(name, max(16, int(tokens * spread))))
        own = max(16, int(kind.own_tokens * rng.lognormvariate(-0.3, 0.8)))
        parts.append(PromptPart(f"own/{rng.getrandbits(64):x}", own))
        facts = RequestFacts(b"", prompt_parts=tuple(parts))
        self._send(kind, facts, rng.choice(self._choosers))

    def _send(self, kind: PromptKind, facts: RequestFacts, chooser: Chooser) -> None:
        choice = run_now(chooser.choose(_SERVICE, facts, ()))
        chooser.begin(choice, facts)
        begun = self._clock.now
        end_of_count = self._settings.seconds - _TAIL_SECONDS
        is_counted = _WARM_SECONDS <= begun <= end_of_count
        self.result.asked += is_counted
        engine = self._engines[choice.upstream.id]
        answer = max(4, int(self._rng.expovariate(1 / kind.answer_tokens)))
        state = {"first": None, "over": False}

        def first() -> None:
            if state["over"]:
                return
            state["first"] = self._clock.now - begun
            chooser.record_prefill(choice, state["first"])
            if is_counted:
                self.result.firsts.append(state["first"])
                self.result.errors.append(state["first"] - choice.first_token)

        def end() -> None:
            if state["over"]:
                return
            state["over"] = True
            chooser.end(choice.upstream, True)
            took = state["first"]
            if is_counted and took <= kind.target and run.longest_pause * 4 <= 0.5:
                self.result.in_time += 1

        def give_up() -> None:
            if state["over"]:
                return
            state["over"] = True
            engine.cancel(run)
            if state["first"] is None:
                chooser.record_prefill(choice, None)
            chooser.end(choice.upstream, True)
            self.result.cut += is_counted

        run = ModelRun(facts.prompt_parts, answer, first, end)
        engine.send(run)
        self._clock.at(begun + kind.timeout, give_up)


def play_placement(settings: PlacementSettings, seed: int) -> PlacementResult:
    """Return what one seeded load gets in a scenario."""
    return _Play(settings, seed).run()


SCENARIOS: dict[str, PlacementSettings] = {
    "0.6, 9 engines": PlacementSettings(load=0.6, engines=9),
    "0.6, 6 engines": PlacementSettings(load=0.6, engines=6),
    "0.6, 4 engines": PlacementSettings(load=0.6, engines=4),
    "1.0, 9 engines": PlacementSettings(load=1.0, engines=9),
    "1.0, 9 engines, told": PlacementSettings(load=1.0, engines=9, tells=True),
    "1.0, 6 engines, told": PlacementSettings(load=1.0, engines=6, tells=True),
    "1.0, 6 engines": PlacementSettings(load=1.0, engines=6),
    "1.2, 12 engines": PlacementSettings(load=1.2, engines=12),
    "2.5, 30, 64 hosts": PlacementSettings(
        engines=30, hosts=64, load=2.5, seconds=20.0
    ),
    "6.0, 39, 191 hosts": PlacementSettings(
        engines=39, hosts=191, load=6.0, seconds=20.0
    ),
    "6.0, 39, 191, told": PlacementSettings(
        engines=39, hosts=191, load=6.0, seconds=20.0, tells=True
    ),
}


def main(seeds: int = 3, show: Callable[[str], None] = print) -> None:
    """Print a table of all scenarios, each as a mean over seeds."""
    show(
        "scenario | in time | cut | first p50 p90 p99 ms | error ms | ktokens/s | most"
    )
    for name, settings in SCENARIOS.items():
        results = [play_placement(settings, seed) for seed in range(seeds)]
        mean = partial(_mean, results)
        show(
            f"{name:21} | {mean(lambda r: r.in_time / r.asked):.3f}"
            f" | {mean(lambda r: r.cut / r.asked):.3f}"
            f" | {1000 * mean(lambda r: r.percentile(0.5)):4.0f}"
            f" {1000 * mean(lambda r: r.percentile(0.9)):4.0f}"
            f" {1000 * mean(lambda r: r.percentile(0.99)):4.0f}"
            f" | {1000 * mean(lambda r: r.error):3.0f}"
            f" | {mean(lambda r: r.read_tokens) / settings.seconds / 1000:3.0f}"
            f" | {mean(lambda r: r.largest_share):.2f}"
        )


def _mean(
    results: list[PlacementResult], figure: Callable[[PlacementResult], float]
) -> float:
    return statistics.fmean(figure(result) for result in results)
