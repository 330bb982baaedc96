"""Choice of a roll-out's next step.

A step taken too early exposes too many requests to a bad version; one taken too late
misses the deadline with a good version.
"""

import dataclasses

import pytest

from pepperstep.rollouts.evaluation import Verdict
from pepperstep.rollouts.plan import ExposureBound, Situation, next_move
from pepperstep.rollouts.records import Rollout, RolloutState

HEALTHY = Situation(
    now=1.0,
    new_count=10,
    old_count=10,
    needed=5.0,
    verdict=Verdict(False),
    rate=100.0,
    outcomes=200,
)


def rollout(**changes) -> Rollout:
    return Rollout("s", 1, "v2", 12.0, 0.0, 0.5, **changes)


def move(running: Rollout, **changes):
    return next_move(running, dataclasses.replace(HEALTHY, **changes), ExposureBound())


def test_first_share_uses_a_part_of_the_allowed_exposure():
    first = move(rollout())
    assert first.state is RolloutState.RUNNING
    assert first.step == 1
    assert 0 < first.share < 0.2


@pytest.mark.parametrize(
    "changes",
    [
        {"new_count": 0},
        {"new_count": 1, "needed": 60.0},
        {"has_recent_evidence": False},
    ],
)
def test_no_step_without_upstreams_or_reports(changes):
    assert move(rollout(), **changes) is None


def test_step_waits_for_its_time_and_outcomes():
    running = rollout(share=0.1, step=1)
    assert move(running, now=0.9) is None
    assert move(running, now=3.0).step == 2
    assert move(running, now=2.6, outcomes=5) is None
    assert move(running, now=4.0, outcomes=5).step == 2


@pytest.mark.parametrize("share", [0.0, 0.1, 1.0])
def test_bad_verdict_rolls_back_at_once(share):
    bad = Verdict(True, 20.0, "failures")
    end = move(rollout(share=share, step=4), verdict=bad, has_recent_evidence=False)
    assert (end.state, end.share) == (RolloutState.ROLLED_BACK, 0.0)


def test_success_waits_for_requests_in_flight_at_old_versions():
    running = rollout(share=1.0, step=4)
    assert move(running, now=9.0, in_flight=2) is None
    assert move(running, now=9.0).state is RolloutState.SUCCEEDED
    # At the last moment, requests in flight elsewhere don't matter.
    assert move(running, now=11.5, in_flight=2).state is RolloutState.SUCCEEDED


@pytest.mark.parametrize(
    ("share", "new_count", "expected"),
    [
        (0.3, 10, RolloutState.ROLLED_BACK),
        (1.0, 3, RolloutState.ROLLED_BACK),
        (1.0, 10, RolloutState.SUCCEEDED),
    ],
)
def test_decision_at_the_last_moment(share, new_count, expected):
    running = rollout(share=share, step=3 if share < 1 else 4)
    end = move(running, now=11.9, new_count=new_count, has_recent_evidence=False)
    assert end.state is expected


def test_no_version_gets_all_requests_without_any_outcome():
    """A version is not trusted if no request ended on it although many should have."""
    running = rollout(share=0.25, step=3)
    assert move(running, now=6.0, outcomes=0) is None
    assert move(running, now=11.9, outcomes=0).state is RolloutState.ROLLED_BACK
    # All requests together fit in the allowed exposure.
    assert move(running, now=6.0, outcomes=0, rate=2.0).share == 1.0


def test_no_success_on_few_outcomes_or_with_evidence_against():
    running = rollout(share=1.0, step=4)
    assert move(running, now=9.0, outcomes=16) is None
    doubt = Verdict(False, 6.0, "failures on all routes: 2 of 8, others 0 of 300")
    assert move(running, now=9.0, verdict=doubt) is None
    assert move(running, now=11.9, verdict=doubt).state is RolloutState.ROLLED_BACK
    assert move(running, now=9.0).state is RolloutState.SUCCEEDED
