"""The targets that the figures are held against."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from measure.fleet_day import DayResult
from measure.mix import BANTAYOG, KITAHARA, PARTNERS
from measure.results import Result

__all__ = ["Judgement", "judge"]

_HELD_SHARE = 0.95
_GOODPUT_SHARE = 0.95
_RECOMPUTED_SHARE = 0.2
_COST_SHARE = 0.7
_RETRY_SHARE = 0.1
_CRASH_LOSSES = 2

Results = Mapping[str, Mapping[str, Result | DayResult]]


@dataclass(frozen=True, slots=True)
class Judgement:
    """A target, what was measured, and whether that reaches it."""

    target: str
    measured: str
    is_reached: bool


def judge(results: Results) -> list[Judgement]:
    """Return a judgement for each target that the results can tell of."""
    parts = {
        "wave": _judge_recomputation,
        "overload": _judge_overload,
        "crash": _judge_crashes,
        "fleet": _judge_cost,
    }
    runs = {name: each for name, each in results.items() if name != "fleet"}
    judgements = list(_judge_answers(runs)) if runs else []
    for name in ("calm", "wave"):
        if name in results:
            judgements.append(_judge_held(name, _usual(results[name])))
    for name, part in parts.items():
        if name in results:
            judgements += part(results[name])
    return judgements


def _usual(policies: Mapping[str, Result]) -> Result:
    return next(iter(policies.values()))


def _judge_answers(runs: Results) -> Iterator[Judgement]:
    usual = {name: _usual(policies) for name, policies in runs.items()}
    counts = {
        name: (result.lost, result.doubled, result.wrong)
        for name, result in usual.items()
    }
    bad = {name: count for name, count in counts.items() if any(count)}
    yield Judgement(
        "Nothing lost, doubled or wrong in any scenario",
        f"{sum(r.asked for r in usual.values())} requests; (lost, doubled, wrong) "
        + (", ".join(f"{name} {count}" for name, count in bad.items()) or "0, 0, 0"),
        not bad,
    )
    shares = {name: result.retry_share for name, result in usual.items()}
    worst = max(shares, key=shares.get)
    yield Judgement(
        "Retries add at most 10%",
        f"at most {shares[worst]:.1%} ({worst})",
        shares[worst] <= _RETRY_SHARE,
    )


def _judge_held(name: str, result: Result) -> Judgement:
    share = result.partners[KITAHARA.name].held_share
    return Judgement(
        f"Kitahara's latency target held for 95 in 100 ({name})",
        f"{share:.1%}",
        share >= _HELD_SHARE,
    )


def _judge_recomputation(policies: Mapping[str, Result]) -> Iterator[Judgement]:
    planned = policies["planned"].recomputed_tokens
    simplest = policies["always_recompute"].recomputed_tokens
    yield Judgement(
        "Tokens recomputed in the wave at most a fifth of always_recompute",
        f"{planned} against {simplest} ({planned / max(1, simplest):.1%})",
        planned <= _RECOMPUTED_SHARE * simplest,
    )


def _judge_overload(policies: Mapping[str, Result]) -> Iterator[Judgement]:
    result = _usual(policies)
    yield Judgement(
        "Goodput inside the deadline at least 95% of capacity (2x overload)",
        f"{result.goodput_share:.1%}",
        result.goodput_share >= _GOODPUT_SHARE,
    )
    shares = {
        name: share
        for partner in PARTNERS
        for name, share in result.partners[partner.name].served_shares.items()
        if partner.workspaces[name] < 1 / len(partner.workspaces)
    }
    worst = min(shares, key=shares.get)
    yield Judgement(
        "No small workspace below its share (2x overload)",
        f"least {shares[worst]:.1%} ({worst})",
        shares[worst] >= 1.0,
    )


def _judge_crashes(policies: Mapping[str, Result]) -> Iterator[Judgement]:
    result = _usual(policies)
    yield Judgement(
        "At most two upstreams lost for one content, bystanders answered whole",
        f"{result.losses} lost, {result.extra}, bystanders failed: {result.failed}",
        result.losses <= _CRASH_LOSSES and not result.failed,
    )


def _judge_cost(policies: Mapping[str, DayResult]) -> Iterator[Judgement]:
    planned = policies["planned"].partners[BANTAYOG.name]
    on_demand = policies["all_on_demand"].partners[BANTAYOG.name]
    share = planned.cost / on_demand.cost
    yield Judgement(
        "Bantayog's cost at least 30% under all_on_demand, capacity held",
        f"{1 - share:.1%} under; enough slots {planned.held_share:.1%} of the time, "
        f"{planned.held_wave_share:.1%} after waves",
        share <= _COST_SHARE and planned.held_share >= _HELD_SHARE,
    )
    kitahara = policies["planned"].partners[KITAHARA.name]
    yield Judgement(
        "Kitahara's capacity held for 95 in 100 over the day and after waves",
        f"{kitahara.held_share:.1%}, {kitahara.held_wave_share:.1%}",
        min(kitahara.held_share, kitahara.held_wave_share) >= _HELD_SHARE,
    )
