"""Policies that choose an upstream, and the prediction of its first token."""

from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from operator import attrgetter
from random import Random

from pepperstep.entities import Role
from pepperstep.routing.candidates import Candidates
from pepperstep.routing.prefixes import PrefixIndex
from pepperstep.routing.settings import RoutingSettings
from pepperstep.routing.tracked import TrackedUpstream
from pepperstep.routing.work import WorkEstimate

__all__ = ["CHOICES", "Choice", "ChoiceContext", "Chooser", "Prediction"]

# Hold time assumed until an upstream has answered an attempt.
_DEFAULT_HOLD_SECONDS = 1.0
# Upstreams considered because they hold the prefix, besides the drawn ones.
_MAX_HOLDERS = 2
_total_of = attrgetter("total")


@dataclass(slots=True)
class Prediction:
    """Parts of the predicted time to the first token, in seconds.

    `history` is a penalty for late or failed attempts, `role` one for an engine
    whose role does not fit the work.
    """

    upstream: str
    # Estimated attempts on the upstream, from all hosts.
    total: int
    cached_tokens: float
    wait: float
    prefill: float
    distance: float
    history: float
    role: float

    @property
    def seconds(self) -> float:
        """The sum of all parts."""
        return self.wait + self.prefill + self.distance + self.history + self.role


@dataclass(frozen=True, slots=True)
class Choice:
    """The chosen upstream and the reason for the choice."""

    chosen: TrackedUpstream
    reason: str
    considered: tuple[Prediction, ...] = ()


@dataclass(slots=True)
class ChoiceContext:
    """State that all choices of a host share."""

    settings: RoutingSettings
    rng: Random
    prefixes: PrefixIndex
    zone: str = ""
    region: str = ""
    turns: count = field(default_factory=count)


Chooser = Callable[[Candidates, WorkEstimate, ChoiceContext, float], Choice | None]


def choose_predicted(
    candidates: Candidates, work: WorkEstimate, context: ChoiceContext, now: float
) -> Choice | None:
    """Choose the least predicted time among random upstreams and prefix holders.

    Load reports arrive late. If every host compared all upstreams, all hosts
    would choose the same one until the next report.
    """
    drawn = candidates.draw(context.settings.choices, context.rng)
    if not drawn:
        return None
    holders = context.prefixes.find_holders(work.hashes)
    if holders:
        held = sorted(candidates.find(holders), key=_total_of)
        drawn += [each for each in held[:_MAX_HOLDERS] if each not in drawn]
    predictions = [predict(tracked, work, context, now) for tracked in drawn]
    seconds = [prediction.seconds for prediction in predictions]
    best = drawn[seconds.index(min(seconds))]
    return Choice(best, "least predicted time", tuple(predictions))


def choose_least_in_flight(
    candidates: Candidates, work: WorkEstimate, context: ChoiceContext, now: float
) -> Choice | None:
    """Choose the upstream with the fewest attempts in flight from this host."""
    usable = candidates.list_all()
    if not usable:
        return None
    return Choice(min(usable, key=attrgetter("in_flight")), "least in flight")


def choose_round_robin(
    candidates: Candidates, work: WorkEstimate, context: ChoiceContext, now: float
) -> Choice | None:
    """Choose the upstreams in turn."""
    usable = candidates.list_all()
    if not usable:
        return None
    return Choice(usable[next(context.turns) % len(usable)], "round robin")


def choose_random(
    candidates: Candidates, work: WorkEstimate, context: ChoiceContext, now: float
) -> Choice | None:
    """Choose a random upstream."""
    drawn = candidates.draw(1, context.rng)
    return Choice(drawn[0], "random") if drawn else None


CHOICES: dict[str, Chooser] = {
    "predicted": choose_predicted,
    "least_in_flight": choose_least_in_flight,
    "round_robin": choose_round_robin,
    "random": choose_random,
}


def predict(
    tracked: TrackedUpstream, work: WorkEstimate, context: ChoiceContext, now: float
) -> Prediction:
    """Return the predicted time to the first token on one upstream."""
    settings = context.settings
    upstream = tracked.upstream
    cached = 0.0
    if work.hashes:
        blocks = context.prefixes.cached_blocks(upstream.name, work.hashes, now)
        cached = min(blocks * work.block_tokens, work.prompt_tokens)
    uncached = work.tokens - cached
    role = 0.0
    if upstream.role is not Role.MIXED:
        role = _role_penalty(tracked, work, uncached, settings)
    failures = tracked.failures.at(now) * settings.failure_seconds
    return Prediction(
        upstream=upstream.name,
        total=tracked.total,
        cached_tokens=cached,
        wait=_predict_wait(tracked, work, settings),
        prefill=uncached * upstream.load.prefill_seconds,
        distance=_distance(tracked, context),
        history=tracked.excess.at(now) + failures,
        role=role,
    )


def _predict_wait(
    tracked: TrackedUpstream, work: WorkEstimate, settings: RoutingSettings
) -> float:
    """Return the seconds until a slot is free and the batch admits the request."""
    load = tracked.upstream.load
    slots = max(1, tracked.upstream.slots)
    total = tracked.total
    hold_time = (
        tracked.hold_time.value if tracked.hold_time.count else _DEFAULT_HOLD_SECONDS
    )
    if not work.is_engine_work:
        return (total + 1) * hold_time / slots
    # A fuller batch has longer decode steps and more prefills to share with.
    wait = load.decode_seconds * total / slots
    wait += tracked.pending_tokens * load.prefill_seconds * settings.prefill_sharing
    if total >= slots:
        wait += (total - slots + 1) * hold_time / slots
    return wait


def _distance(tracked: TrackedUpstream, context: ChoiceContext) -> float:
    upstream = tracked.upstream
    if not context.zone or upstream.zone == context.zone:
        return 0.0
    if upstream.region and context.region and upstream.region != context.region:
        return context.settings.region_seconds
    return context.settings.zone_seconds


def _role_penalty(
    tracked: TrackedUpstream,
    work: WorkEstimate,
    uncached: float,
    settings: RoutingSettings,
) -> float:
    load = tracked.upstream.load
    prefill = uncached * load.prefill_seconds
    decode = work.answer_tokens * load.decode_seconds
    wanted = Role.PREFILL if prefill > decode else Role.DECODE
    return 0.0 if tracked.upstream.role is wanted else settings.role_seconds
