"""Whether a new version is worse than the others, by what requests met.

Both versions get requests in the same seconds, so what harms all upstreams doesn't
tell them apart. The test is sequential: it's looked at after each outcome, and its
evidence is the mean of likelihood ratios, whose chance to ever pass a threshold is
at most one in that threshold while the versions are alike.
"""

import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from pepperstep.rollouts.outcomes import Outcomes, Tally

__all__ = ["Verdict", "judge", "log_evidence"]

# Chance that a version which is as good as the others is taken for worse.
_FALSE_ALARMS = 1e-3
# Shares of bad outcomes beyond the others' that a worse version may have.
_EXCESSES = (0.05, 0.15, 0.4)
# Bad outcomes that a verdict needs: fewer are no pattern.
_LEAST_BAD = 4
# Outcomes of the others that count as known beforehand, one of them bad.
_PRIOR = 20
# Answers that take so many classes longer than the others' median are slow: three
# to four times as long.
_SLOW_CLASSES = 4


@dataclass(frozen=True, slots=True)
class Verdict:
    """What the outcomes say of a new version."""

    is_bad: bool
    # Natural logarithm of the strongest evidence against it.
    evidence: float = 0.0
    reason: str = ""


@dataclass(frozen=True, slots=True)
class _Comparison:
    """Bad outcomes among all, on the new version and on the others."""

    name: str
    bad: int
    total: int
    others_bad: int
    others_total: int
    # Share of bad outcomes that the others may have.
    others_share: float


def judge(outcomes: Outcomes, before: Outcomes | None = None) -> Verdict:
    """Return whether the new version is worse, on one route at least.

    What a single one of several upstreams does is that upstream's fault. With `before`,
    the outcomes when its share last changed, those since then are judged alone besides:
    a version may turn bad by its load.
    """
    worst = Verdict(False)
    comparisons = list(_compare(outcomes, outcomes))
    if before is not None:
        comparisons += _compare(outcomes.since(before), outcomes)
    threshold = math.log(len(comparisons) / _FALSE_ALARMS) if comparisons else math.inf
    for each in comparisons:
        evidence = log_evidence(each.bad, each.total, each.others_share)
        if evidence > worst.evidence or not worst.reason:
            is_bad = evidence >= threshold and each.bad >= _LEAST_BAD
            worst = Verdict(is_bad or worst.is_bad, evidence, _describe(each))
    return worst


def log_evidence(bad: int, total: int, share: float) -> float:
    """Return the logarithm of the evidence that more than `share` are bad."""
    ratios = [_log_ratio(bad, total, share, excess) for excess in _EXCESSES]
    highest = max(ratios)
    mean = sum(math.exp(ratio - highest) for ratio in ratios) / len(ratios)
    return highest + math.log(mean)


def _log_ratio(bad: int, total: int, share: float, excess: float) -> float:
    higher = share + excess * (1 - share)
    good = total - bad
    return bad * math.log(higher / share) + good * math.log((1 - higher) / (1 - share))


def _others_share(now: tuple[int, int], always: tuple[int, int]) -> float:
    """Return the worse of the others' shares, that of now if it rests on enough."""
    share = _upper_share(*always)
    if now[1] < _PRIOR:
        return share
    return max(share, _upper_share(*now))


def _upper_share(bad: int, total: int) -> float:
    """Return what share of bad outcomes the others may have at most."""
    mean = (bad + 1) / (total + _PRIOR)
    margin = math.sqrt(mean * (1 - mean) / (total + _PRIOR))
    return min(mean + margin, 0.9)


def _compare(outcomes: Outcomes, usual: Outcomes) -> Iterator[_Comparison]:
    """Yield the comparisons, each without the upstream that did worst in it.

    The others are taken as they were in the same time, or as in all the time that
    `usual` tells of, where that was worse.
    """
    for route in (None, *sorted(outcomes.routes())):
        name = "all routes" if route is None else f"route {route}"
        old = outcomes.of_old(route)
        always = usual.of_old(route)
        limit = _slow_limit(always)
        failing = _worst_upstream(outcomes, route, _failed_count)
        new = outcomes.of_new(route, failing)
        yield _Comparison(
            f"failures on {name}",
            new.failed,
            new.total,
            old.failed,
            old.total,
            _others_share((old.failed, old.total), (always.failed, always.total)),
        )
        if limit is None or route is None:
            # Routes differ in how long their answers take.
            continue
        slowest = _worst_upstream(outcomes, route, _slow_count(limit))
        new = outcomes.of_new(route, slowest)
        yield _Comparison(
            f"slow answers on {name}",
            new.slow(limit),
            new.answers,
            old.slow(limit),
            old.answers,
            _others_share(
                (old.slow(limit), old.answers), (always.slow(limit), always.answers)
            ),
        )


def _worst_upstream(
    outcomes: Outcomes, route: str | None, count: Callable[[Tally], int]
) -> str:
    """Return the upstream with the most of what's counted, "" for a single one."""
    upstreams = outcomes.upstreams()
    if len(upstreams) < 2:
        return ""
    totals = dict.fromkeys(sorted(upstreams), 0)
    for (name, upstream), tally in outcomes.tallies.items():
        if upstream and route in (None, name):
            totals[upstream] += count(tally)
    return max(totals, key=totals.get)


def _failed_count(tally: Tally) -> int:
    return tally.failed


def _slow_count(limit: int) -> Callable[[Tally], int]:
    return lambda tally: tally.slow(limit)


def _slow_limit(old: Tally) -> int | None:
    """Return the class from which answers are slow, None where nothing is known."""
    if old.answers < _PRIOR:
        return None
    passed = 0
    for each in sorted(old.answered):
        passed += old.answered[each]
        if 2 * passed >= old.answers:
            return each + _SLOW_CLASSES
    return None


def _describe(comparison: _Comparison) -> str:
    return (
        f"{comparison.name}: {comparison.bad} of {comparison.total}, "
        f"others {comparison.others_bad} of {comparison.others_total}"
    )
