"""The next step of a roll-out, by the situation."""

import dataclasses

import pytest

from pepperstep.rollouts.evaluation import Verdict
from pepperstep.rollouts.plan import ExposureBound, Situation, next_move
from pepperstep.rollouts.records import Rollout, RolloutState

CALM = Situation(
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


def move(held: Rollout, **changes):
    return next_move(held, dataclasses.replace(CALM, **changes), ExposureBound())


def test_first_share_is_a_part_of_what_a_bad_version_may_have():
    first = move(rollout())
    assert first.state is RolloutState.RUNNING
    assert first.step == 1
    assert 0 < first.share < 0.2


@pytest.mark.parametrize(
    "changes",
    [{"new_count": 0}, {"new_count": 1, "needed": 60.0}, {"is_informed": False}],
)
def test_no_step_without_upstreams_or_knowledge(changes):
    assert move(rollout(), **changes) is None


def test_step_waits_for_its_time_and_outcomes():
    held = rollout(share=0.1, step=1)
    assert move(held, now=0.9) is None
    assert move(held, now=3.0).step == 2
    assert move(held, now=2.6, outcomes=5) is None
    assert move(held, now=4.0, outcomes=5).step == 2


@pytest.mark.parametrize("share", [0.0, 0.1, 1.0])
def test_bad_verdict_ends_it_at_once(share):
    bad = Verdict(True, 20.0, "failures")
    end = move(rollout(share=share, step=4), verdict=bad, is_informed=False)
    assert (end.state, end.share) == (RolloutState.ROLLED_BACK, 0.0)


def test_success_waits_until_nothing_is_under_way_elsewhere():
    held = rollout(share=1.0, step=4)
    assert move(held, now=9.0, in_flight=2) is None
    assert move(held, now=9.0).state is RolloutState.SUCCEEDED
    # The time is over.
    assert move(held, now=11.5, in_flight=2).state is RolloutState.SUCCEEDED


@pytest.mark.parametrize(
    ("share", "new_count", "expected"),
    [
        (0.3, 10, RolloutState.ROLLED_BACK),
        (1.0, 3, RolloutState.ROLLED_BACK),
        (1.0, 10, RolloutState.SUCCEEDED),
    ],
)
def test_last_moment(share, new_count, expected):
    held = rollout(share=share, step=3 if share < 1 else 4)
    end = move(held, now=11.9, new_count=new_count, is_informed=False)
    assert end.state is expected


def test_no_version_gets_all_requests_without_any_outcome():
    """Nothing was seen of it where many requests should have ended on it."""
    held = rollout(share=0.25, step=3)
    assert move(held, now=6.0, outcomes=0) is None
    assert move(held, now=11.9, outcomes=0).state is RolloutState.ROLLED_BACK
    # So few requests that a bad version may have them all.
    assert move(held, now=6.0, outcomes=0, rate=2.0).share == 1.0


def test_no_success_on_few_outcomes_or_in_doubt():
    held = rollout(share=1.0, step=4)
    assert move(held, now=9.0, outcomes=16) is None
    doubt = Verdict(False, 6.0, "failures on all routes: 2 of 8, others 0 of 300")
    assert move(held, now=9.0, verdict=doubt) is None
    assert move(held, now=11.9, verdict=doubt).state is RolloutState.ROLLED_BACK
    assert move(held, now=9.0).state is RolloutState.SUCCEEDED
