"""What to do next with a running roll-out.

The share of the new version grows in steps, so that a bad one meets few requests
before it's found out. A step is left after its time, once enough requests were seen
in it. A version that can't carry all requests by the deadline is rolled back.
"""

from dataclasses import dataclass

from pepperstep.rollouts.evaluation import Verdict
from pepperstep.rollouts.records import Rollout, RolloutState

__all__ = ["ExposureBound", "Move", "Situation", "next_move"]


@dataclass(frozen=True, slots=True)
class _Step:
    """A share of the new version, and how long it's watched."""

    # As a part of the time that is left; the last step may take all of that.
    time_part: float
    # Of the requests that a bad version may have, or a fixed share where it's 0.
    exposure_part: float = 0.0
    share: float = 0.0


# Most of the time goes to small shares: a version that turns bad in that time meets
# few requests. The last step also waits until older versions have nothing to do.
_STEPS = (
    _Step(time_part=0.15, exposure_part=0.07),
    _Step(time_part=0.3, exposure_part=0.18),
    _Step(time_part=0.04, share=0.25),
    _Step(time_part=0.2, share=1.0),
)
# Time that is kept for the end of the last step, as a part.
_RESERVE_PART = 0.2
# The largest share of a step that is bounded by exposure.
_MOST_PROBED = 0.3
# Outcomes on the new version that a step needs, or so many times its usual time.
_STEP_OUTCOMES = 10
_MOST_STEPS = 1.5
# Outcomes without which no version succeeds before the last moment.
_LEAST_OUTCOMES = 30
# Logarithm of the evidence against a version from which it doesn't succeed: less than
# what rolls it back at once.
_MOST_DOUBT = 5.0
# Time before the deadline by which it's decided, in seconds and as a part of the
# whole: the decision has to be agreed on and told.
_MARGIN_SECONDS = 0.6
_MARGIN_PART = 0.06


@dataclass(frozen=True, slots=True)
class ExposureBound:
    """Requests that a bad version may have: a share of all, and so many besides."""

    share: float = 0.1
    allowance: float = 50.0


@dataclass(frozen=True, slots=True)
class Situation:
    """What a decision rests on; times are Unix times."""

    now: float
    # Upstreams that take work.
    new_count: int
    old_count: int
    # Upstreams that the service's requests need.
    needed: float
    verdict: Verdict
    # The service's requests a second, on all versions.
    rate: float = 0.0
    # Requests that ended on the new version, and those when its share last changed.
    outcomes: int = 0
    outcomes_before: int = 0
    # Requests under way at upstreams of other versions.
    in_flight: int = 0
    # Whether what entry hosts saw is known; a new leader hears of it in a second.
    is_informed: bool = True


@dataclass(frozen=True, slots=True)
class Move:
    """A change of a roll-out."""

    state: RolloutState
    share: float
    reason: str
    # Steps that were entered.
    step: int = 0


def next_move(
    rollout: Rollout, situation: Situation, bound: ExposureBound
) -> Move | None:
    """Return the change that is due, None for none."""
    if situation.verdict.is_bad:
        return _roll_back(situation.verdict.reason)
    is_last_moment = situation.now >= _decide_by(rollout)
    if not situation.is_informed and not is_last_moment:
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
    if _STEPS[step].share == 1.0 and not _is_known(
        _STEP_OUTCOMES, rollout, situation, bound
    ):
        return None
    share = _share_of(_STEPS[step], rollout, situation, bound)
    share = max(share, rollout.share)
    if not situation.new_count or not _can_bear(share, situation):
        return None
    text = (
        f"{situation.outcomes} outcomes on {situation.new_count} new upstreams, "
        f"evidence {situation.verdict.evidence:.1f}"
    )
    return Move(RolloutState.RUNNING, share, text, step + 1)


def _share_of(
    step: _Step, rollout: Rollout, situation: Situation, bound: ExposureBound
) -> float:
    """Return the share by which a step has its part of what a bad version may have."""
    if step.share:
        return step.share
    requests = situation.rate * rollout.duration
    allowed = bound.share * requests + bound.allowance
    seen = situation.rate * step.time_part * (_decide_by(rollout) - situation.now)
    return min(step.exposure_part * allowed / max(seen, 1.0), _MOST_PROBED)


def _finish(
    rollout: Rollout, situation: Situation, bound: ExposureBound, is_last_moment: bool
) -> Move | None:
    """End a roll-out whose new version gets all requests.

    The old upstreams stop at that moment, with what is under way there.
    """
    is_borne = _can_bear(1.0, situation)
    is_sound = situation.verdict.evidence < _MOST_DOUBT
    if is_last_moment and not is_borne:
        return _roll_back(f"{situation.new_count} new upstreams are too few.")
    if is_last_moment and not is_sound:
        return _roll_back(f"in doubt: {situation.verdict.reason}")
    is_quiet = not situation.in_flight and _is_step_over(rollout, situation)
    is_known = _is_known(_LEAST_OUTCOMES, rollout, situation, bound)
    is_ready = is_borne and is_sound and is_known and is_quiet
    if not is_ready and not is_last_moment:
        return None
    text = f"{situation.outcomes} outcomes, {situation.in_flight} under way elsewhere"
    return Move(RolloutState.SUCCEEDED, 1.0, text, rollout.step)


def _is_known(
    least: int, rollout: Rollout, situation: Situation, bound: ExposureBound
) -> bool:
    """Whether enough was seen, or all requests together are few enough to risk."""
    all_requests = situation.rate * rollout.duration
    return situation.outcomes >= least or all_requests <= bound.allowance


def _roll_back(reason: str) -> Move:
    return Move(RolloutState.ROLLED_BACK, 0.0, reason)


def _decide_by(rollout: Rollout) -> float:
    margin = max(_MARGIN_SECONDS, _MARGIN_PART * rollout.duration)
    return rollout.deadline - min(margin, rollout.duration / 2)


def _can_bear(share: float, situation: Situation) -> bool:
    """Whether the new upstreams are enough for a share of the requests."""
    needed = max(situation.needed, situation.old_count / 2, 1.0)
    return situation.new_count >= share * needed


def _is_step_over(rollout: Rollout, situation: Situation) -> bool:
    """Whether a step has had its part of the time that was left at its begin."""
    passed = situation.now - rollout.changed_at
    steps = _STEPS[rollout.step - 1 :]
    parts = sum(each.time_part for each in steps) + _RESERVE_PART
    rest = _decide_by(rollout) - rollout.changed_at
    seconds = rest * steps[0].time_part / parts
    if passed < seconds:
        return False
    seen = situation.outcomes - situation.outcomes_before
    return seen >= _STEP_OUTCOMES or passed >= _MOST_STEPS * seconds
