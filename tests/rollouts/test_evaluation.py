"""Bad versions are found out before they meet many requests, good ones are let in."""

import pytest

from pepperstep.rollouts.evaluation import judge
from pepperstep.rollouts.outcomes import Outcomes
from pepperstep.rollouts.records import RolloutState
from tests.rollouts.simulator import Scene, play

SEEDS = 60
# Requests of a service a second, at 8, 55 and 191 entry hosts.
RATES = {8: 24.0, 55: 119.0, 191: 240.0}
# A good version may be taken for a bad one in 1 of 100 roll-outs.
MOST_FALSE_ALARMS = 0.01


def good(request, rng):
    return 1.0


def failing(request, rng):
    return None if rng.random() < 0.3 else 1.0


def slow(request, rng):
    return 4.0


def late(request, rng):
    return failing(request, rng) if request.time >= 5.0 else 1.0


def much_later(request, rng):
    return failing(request, rng) if request.number >= 200 else 1.0


def loaded(request, rng):
    return failing(request, rng) if request.share > 0.5 else 1.0


def one_route(request, rng):
    return failing(request, rng) if request.route == "b" else 1.0


def crash(request, rng):
    """A third of the upstreams fail all for two seconds."""
    return None if request.upstream % 3 == 0 and 3 < request.time < 5 else 1.0


def one_crashes(request, rng):
    return None if request.upstream == 0 else 1.0


BAD = {
    "fails": failing,
    "slow": slow,
    "later": late,
    "under load": loaded,
    "one route": one_route,
}
GOOD = {
    "good": Scene(good),
    "beside a crash of old ones": Scene(good, old_fault=crash),
    "requests fail by themselves": Scene(good, usual_failures=0.14),
    "one of its upstreams fails": Scene(one_crashes),
    "one of three fails, plain": Scene(
        one_crashes, a_second=52, new_count=3, old_count=3, usual_failures=0.03
    ),
    "few requests": Scene(good, a_second=8.0),
    "much time": Scene(good, duration=60.0),
}


# With 24 requests a second, a version that is bad on one route only, or late, can't be
# told from a good one by the 78 requests that it may have.
_CASES = [
    (name, rate)
    for name in BAD
    for hosts, rate in RATES.items()
    if hosts > 8 or name in ("fails", "slow")
]


@pytest.mark.parametrize(("name", "rate"), _CASES)
def test_bad_version_meets_few_requests(name, rate):
    results = [play(Scene(BAD[name], rate), seed) for seed in range(SEEDS)]
    for result in results:
        assert result.rollout.state is RolloutState.ROLLED_BACK
        assert result.exposed <= result.allowed
        assert result.late == 0


@pytest.mark.parametrize("name", GOOD)
def test_good_version_is_let_in(name):
    results = [play(GOOD[name], seed) for seed in range(SEEDS)]
    rolled_back = sum(
        result.rollout.state is RolloutState.ROLLED_BACK for result in results
    )
    assert rolled_back <= MOST_FALSE_ALARMS * SEEDS
    assert all(not result.rollout.is_running for result in results)


@pytest.mark.parametrize("boot", [0.5, 4.0, 6.0])
def test_good_version_is_decided_before_its_deadline(boot):
    results = [play(Scene(good, boot=boot), seed) for seed in range(SEEDS)]
    assert max(result.seconds for result in results) < Scene(good).duration
    assert {each.rollout.state for each in results} == {RolloutState.SUCCEEDED}


@pytest.mark.parametrize("count", [0, 1, 7])
def test_too_few_new_upstreams_are_rolled_back_in_time(count):
    scene = Scene(good, new_count=max(count, 1), boot=99.0 if not count else 1.0)
    result = play(scene, 1)
    assert result.rollout.state is RolloutState.ROLLED_BACK
    assert result.seconds < scene.duration


def test_what_one_of_several_upstreams_does_is_not_the_versions_fault():
    outcomes = Outcomes()
    outcomes.tally("a", "").answered[10] = 100
    outcomes.tally("a", "n1").failed = 50
    outcomes.tally("a", "n2").answered[10] = 20
    assert not judge(outcomes).is_bad
    outcomes.tally("a", "n2").failed = 20
    assert judge(outcomes).is_bad


def test_version_that_turns_bad_by_its_load_is_found_in_spite_of_its_record():
    outcomes = Outcomes()
    outcomes.tally("a", "").answered[10] = 800
    for number in range(10):
        outcomes.tally("a", f"n{number}").answered[10] = 40
    before = Outcomes.sum_of([outcomes])
    for number in range(10):
        outcomes.tally("a", f"n{number}").answered[10] += 2
        outcomes.tally("a", f"n{number}").failed = number % 3 != 0
    assert not judge(outcomes).is_bad
    assert judge(outcomes, before).is_bad


def test_bad_version_of_two_upstreams_is_never_let_in():
    """The one that did worse is left out, so half of what was seen counts."""
    scene = Scene(failing, a_second=24.0, duration=16.0, new_count=2, old_count=2)
    results = [play(scene, seed) for seed in range(SEEDS)]
    assert {each.rollout.state for each in results} == {RolloutState.ROLLED_BACK}
