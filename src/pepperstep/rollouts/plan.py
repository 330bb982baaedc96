"""Chooses the next step of a running roll-out.

The share of the new version grows in steps, so that a bad version fails few requests
before it is detected. A step ends after its time and enough outcomes. A version that
lacks the capacity for all requests at the deadline is rolled back.
"""

from dataclasses import dataclass

from pepperstep.rollouts.evaluation import Verdict
from pepperstep.rollouts.records import Rollout, RolloutState

__all__ = ["ExposureBound", "Move", "Situation", "next_move"]


@dataclass(frozen=True, slots=True)
class _Step:
    """A share of the requests for the new version, and its duration."""

    # Relative duration in the time that is left; the last step may use all of it.
    time_fraction: float
    # Fraction of the allowed exposure that the step uses, 0 for a fixed share.
    exposure_fraction: float = 0.0
    # Fixed share of the requests.
    share: float = 0.0


# Most of the time goes to small shares, as a version that turns bad then fails few
# requests. The last step also waits until older versions have no requests in flight.
_STEPS = (
    _Step(time_fraction=0.15, exposure_fraction=0.07),
    _Step(time_fraction=0.3, exposure_fraction=0.18),
    _Step(time_fraction=0.04, share=0.25),
    _Step(time_fraction=0.2, share=1.0),
)
# Relative duration reserved after the last step.
_RESERVE_FRACTION = 0.2
# Largest share of a step that is bounded by exposure.
_MAX_EXPOSURE_BOUND_SHARE = 0.3
# Outcomes of the new version that a step needs, unless it has lasted
# `_MAX_STEP_EXTENSION` times its duration.
_MIN_STEP_OUTCOMES = 10
_MAX_STEP_EXTENSION = 1.5
# Outcomes that a version needs to succeed before the last moment.
_MIN_OUTCOMES = 30
# Logarithm of the evidence against a version from which it can't succeed. It is lower
# than the evidence that rolls a version back at once.
_MAX_EVIDENCE = 5.0
# Time between the decision and the deadline, the longer of seconds and a fraction of
# the duration. The decision has to be committed and sent to entry hosts within it.
_DECISION_MARGIN_SECONDS = 0.6
_DECISION_MARGIN_FRACTION = 0.06


@dataclass(frozen=True, slots=True)
class ExposureBound:
    """Allowed requests to a bad version: a share of all requests plus an allowance."""

    share: float = 0.1
    allowance: float = 50.0


@dataclass(frozen=True, slots=True)
class Situation:
    """Input of a decision; times are Unix times."""

    now: float
    # Upstreams that accept work, by version.
    new_count: int
    old_count: int
    # Number of upstreams that the service's load needs.
    needed: float
    verdict: Verdict
    # Requests per second of the service, on all versions.
    rate: float = 0.0
    # Requests that ended on the new version.
    outcomes: int = 0
    # Requests that had ended on the new version when its share last changed.
    outcomes_before: int = 0
    # Requests in flight at upstreams of other versions.
    in_flight: int = 0
    # Whether most entry hosts have reported; a new leader waits a second for them.
    has_recent_evidence: bool = True


@dataclass(frozen=True, slots=True)
class Move:
    """A change of a roll-out."""

    state: RolloutState
    share: float
    reason: str
    # Number of steps entered so far.
    step: int = 0


def next_move(
    rollout: Rollout, situation: Situation, bound: ExposureBound
) -> Move | None:
    """Return the change that is due, or None."""
    if situation.verdict.is_bad:
        return _roll_back(situation.verdict.reason)
    is_last_moment = situation.now >= _decision_time(rollout)
    if not situation.has_recent_evidence and not is_last_moment:
        return None
    if rollout.share >= 1.0:
        return _finish(rollout, situation, bound, is_last_moment)
    if is_last_moment:
        text = f"{situation.new_count} new upstreams had {rollout.share:.0%} in time."
        return _roll_back(text)
    return _advance(rollout, situation, bound)


def _advance(
    rollout: Rollout, situation: Situation, bound: ExposureBound
) -> Move | None:
    step = rollout.step
    if step and not _is_step_over(rollout, situation):
        return None
    if _STEPS[step].share == 1.0 and not _has_enough_outcomes(
        _MIN_STEP_OUTCOMES, rollout, situation, bound
    ):
        return None
    share = _share_of(_STEPS[step], rollout, situation, bound)
    share = max(share, rollout.share)
    if not situation.new_count or not _has_capacity(share, situation):
        return None
    text = (
        f"{situation.outcomes} outcomes on {situation.new_count} new upstreams, "
        f"evidence {situation.verdict.evidence:.1f}"
    )
    return Move(RolloutState.RUNNING, share, text, step + 1)


def _share_of(
    step: _Step, rollout: Rollout, situation: Situation, bound: ExposureBound
) -> float:
    """Return the share with which a step uses its fraction of the allowed exposure."""
    if step.share:
        return step.share
    requests = situation.rate * rollout.duration
    allowed = bound.share * requests + bound.allowance
    step_requests = (
        situation.rate * step.time_fraction * (_decision_time(rollout) - situation.now)
    )
    return min(
        step.exposure_fraction * allowed / max(step_requests, 1.0),
        _MAX_EXPOSURE_BOUND_SHARE,
    )


def _finish(
    rollout: Rollout, situation: Situation, bound: ExposureBound, is_last_moment: bool
) -> Move | None:
    """Decide on a roll-out whose new version gets all requests.

    Success stops the old upstreams at once, with their requests in flight.
    """
    has_capacity = _has_capacity(1.0, situation)
    is_trusted = situation.verdict.evidence < _MAX_EVIDENCE
    if is_last_moment and not has_capacity:
        return _roll_back(f"{situation.new_count} new upstreams are too few.")
    if is_last_moment and not is_trusted:
        return _roll_back(f"in doubt: {situation.verdict.reason}")
    is_idle = not situation.in_flight and _is_step_over(rollout, situation)
    has_enough_outcomes = _has_enough_outcomes(_MIN_OUTCOMES, rollout, situation, bound)
    is_ready = has_capacity and is_trusted and has_enough_outcomes and is_idle
    if not is_ready and not is_last_moment:
        return None
    text = f"{situation.outcomes} outcomes, {situation.in_flight} under way elsewhere"
    return Move(RolloutState.SUCCEEDED, 1.0, text, rollout.step)


def _has_enough_outcomes(
    minimum: int, rollout: Rollout, situation: Situation, bound: ExposureBound
) -> bool:
    """Whether there are enough outcomes, or all requests fit in the allowance."""
    all_requests = situation.rate * rollout.duration
    return situation.outcomes >= minimum or all_requests <= bound.allowance


def _roll_back(reason: str) -> Move:
    return Move(RolloutState.ROLLED_BACK, 0.0, reason)


def _decision_time(rollout: Rollout) -> float:
    margin = max(_DECISION_MARGIN_SECONDS, _DECISION_MARGIN_FRACTION * rollout.duration)
    return rollout.deadline - min(margin, rollout.duration / 2)


def _has_capacity(share: float, situation: Situation) -> bool:
    """Whether there are enough new upstreams for a share of the requests."""
    needed = max(situation.needed, situation.old_count / 2, 1.0)
    return situation.new_count >= share * needed


def _is_step_over(rollout: Rollout, situation: Situation) -> bool:
    """Whether a step has lasted its fraction of the time left at its start."""
    elapsed = situation.now - rollout.changed_at
    steps = _STEPS[rollout.step - 1 :]
    total_fraction = sum(each.time_fraction for each in steps) + _RESERVE_FRACTION
    remaining = _decision_time(rollout) - rollout.changed_at
    seconds = remaining * steps[0].time_fraction / total_fraction
    if elapsed < seconds:
        return False
    new_outcomes = situation.outcomes - situation.outcomes_before
    return (
        new_outcomes >= _MIN_STEP_OUTCOMES or elapsed >= _MAX_STEP_EXTENSION * seconds
    )
