"""Tests whether a new version is worse than the old ones, by its outcomes.

Both get requests at the same time, so a fault that affects all upstreams makes no
difference between them. The test is sequential, as it is repeated after each outcome.
Its evidence is the mean of likelihood ratios. If the versions are alike, the
probability that the evidence ever exceeds a threshold is at most 1 / threshold.
"""

import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from pepperstep.rollouts.outcomes import Outcomes, Tally

__all__ = ["Verdict", "evaluate", "log_evidence"]

# Probability that a version as good as the old ones is found to be worse.
_FALSE_ALARM_PROBABILITY = 1e-3
# Excess shares of bad outcomes that a worse version is tested for.
_EXCESS_SHARES = (0.05, 0.15, 0.4)
# Bad outcomes that a verdict needs, as fewer may be chance.
_MIN_BAD_OUTCOMES = 4
# Prior outcomes assumed of the old versions, one of them bad.
_PRIOR_OUTCOMES = 20
# Answers this many latency buckets above the old versions' median are slow, which is
# three to four times as long.
_SLOW_BUCKETS = 4


@dataclass(frozen=True, slots=True)
class Verdict:
    """Result of the test of a new version."""

    is_bad: bool
    # Natural logarithm of the strongest evidence against the version.
    evidence: float = 0.0
    reason: str = ""


@dataclass(frozen=True, slots=True)
class _Comparison:
    """Bad and total outcomes of the new version and of the old ones."""

    name: str
    bad: int
    total: int
    old_bad: int
    old_total: int
    # Upper bound of the old versions' share of bad outcomes.
    old_share: float


def evaluate(outcomes: Outcomes, before: Outcomes | None = None) -> Verdict:
    """Return whether the new version is worse on at least one route.

    Outcomes of a single one of several upstreams are attributed to that upstream, not
    to the version. `before` holds the outcomes when the share last changed; outcomes
    since then are also tested alone, as a version may turn bad under load.
    """
    strongest = Verdict(False)
    comparisons = list(_compare(outcomes, outcomes))
    if before is not None:
        comparisons += _compare(outcomes.subtract(before), outcomes)
    threshold = (
        math.log(len(comparisons) / _FALSE_ALARM_PROBABILITY)
        if comparisons
        else math.inf
    )
    for each in comparisons:
        evidence = log_evidence(each.bad, each.total, each.old_share)
        if evidence > strongest.evidence or not strongest.reason:
            is_bad = evidence >= threshold and each.bad >= _MIN_BAD_OUTCOMES
            strongest = Verdict(is_bad or strongest.is_bad, evidence, _describe(each))
    return strongest


def log_evidence(bad: int, total: int, share: float) -> float:
    """Return the log evidence that more than `share` of the outcomes are bad."""
    ratios = [_log_ratio(bad, total, share, excess) for excess in _EXCESS_SHARES]
    highest = max(ratios)
    mean = sum(math.exp(ratio - highest) for ratio in ratios) / len(ratios)
    return highest + math.log(mean)


def _log_ratio(bad: int, total: int, share: float, excess: float) -> float:
    higher = share + excess * (1 - share)
    good = total - bad
    return bad * math.log(higher / share) + good * math.log((1 - higher) / (1 - share))


def _old_share(current: tuple[int, int], baseline: tuple[int, int]) -> float:
    """Return the worse share of the old versions, in the same time or overall.

    The share in the same time counts only with enough outcomes.
    """
    share = _upper_share(*baseline)
    if current[1] < _PRIOR_OUTCOMES:
        return share
    return max(share, _upper_share(*current))


def _upper_share(bad: int, total: int) -> float:
    """Return an upper bound of a share of bad outcomes, with the prior added."""
    mean = (bad + 1) / (total + _PRIOR_OUTCOMES)
    margin = math.sqrt(mean * (1 - mean) / (total + _PRIOR_OUTCOMES))
    return min(mean + margin, 0.9)


def _compare(outcomes: Outcomes, baseline: Outcomes) -> Iterator[_Comparison]:
    """Yield comparisons, each leaving out the new version's worst upstream.

    The old versions' share is that of the same time or that of `baseline`, their
    outcomes of the whole roll-out, whichever is worse.
    """
    for route in (None, *sorted(outcomes.routes())):
        name = "all routes" if route is None else f"route {route}"
        old = outcomes.of_old(route)
        old_baseline = baseline.of_old(route)
        limit = _slow_limit(old_baseline)
        failing = _worst_upstream(outcomes, route, _failed_count)
        new = outcomes.of_new(route, failing)
        yield _Comparison(
            f"failures on {name}",
            new.failed,
            new.total,
            old.failed,
            old.total,
            _old_share(
                (old.failed, old.total), (old_baseline.failed, old_baseline.total)
            ),
        )
        if limit is None or route is None:
            # Latencies of different routes aren't comparable.
            continue
        slowest = _worst_upstream(outcomes, route, _slow_count(limit))
        new = outcomes.of_new(route, slowest)
        yield _Comparison(
            f"slow answers on {name}",
            new.slow(limit),
            new.answers,
            old.slow(limit),
            old.answers,
            _old_share(
                (old.slow(limit), old.answers),
                (old_baseline.slow(limit), old_baseline.answers),
            ),
        )


def _worst_upstream(
    outcomes: Outcomes, route: str | None, count: Callable[[Tally], int]
) -> str:
    """Return the new upstream with the highest count, "" if there is only one."""
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
    """Return the bucket from which answers are slow, None for too few answers."""
    if old.answers < _PRIOR_OUTCOMES:
        return None
    cumulative = 0
    for each in sorted(old.answered):
        cumulative += old.answered[each]
        if 2 * cumulative >= old.answers:
            return each + _SLOW_BUCKETS
    return None


def _describe(comparison: _Comparison) -> str:
    return (
        f"{comparison.name}: {comparison.bad} of {comparison.total}, "
        f"others {comparison.old_bad} of {comparison.old_total}"
    )
