"""Bad versions are detected after few requests, and good versions succeed.

Runs the evaluation and the plan in simulated roll-outs with many seeds.
"""

import pytest

from pepperstep.rollouts.evaluation import evaluate
from pepperstep.rollouts.outcomes import Outcomes
from pepperstep.rollouts.records import RolloutState
from tests.rollouts.simulator import Scenario, simulate

SEEDS = 60
# Requests per second of a service by number of entry hosts.
RATES = {8: 24.0, 55: 119.0, 191: 240.0}
# A good version may be rolled back in 1 of 100 roll-outs.
MAX_FALSE_ALARMS = 0.01


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
    """A third of the upstreams fail all requests for two seconds."""
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
    "good": Scenario(good),
    "beside a crash of old ones": Scenario(good, old_fault=crash),
    "requests fail by themselves": Scenario(good, baseline_failures=0.14),
    "one of its upstreams fails": Scenario(one_crashes),
    "one of three fails, plain": Scenario(
        one_crashes,
        requests_per_second=52,
        new_count=3,
        old_count=3,
        baseline_failures=0.03,
    ),
    "few requests": Scenario(good, requests_per_second=8.0),
    "much time": Scenario(good, duration=60.0),
}


# At 24 requests per second, the allowed 78 requests are too few to detect a version
# that is bad only on one route, later or under load.
_CASES = [
    (name, rate)
    for name in BAD
    for hosts, rate in RATES.items()
    if hosts > 8 or name in ("fails", "slow")
]


@pytest.mark.parametrize(("name", "rate"), _CASES)
def test_bad_version_gets_few_requests(name, rate):
    results = [simulate(Scenario(BAD[name], rate), seed) for seed in range(SEEDS)]
    for result in results:
        assert result.rollout.state is RolloutState.ROLLED_BACK
        assert result.exposed <= result.allowed
        assert result.late == 0


@pytest.mark.parametrize("name", GOOD)
def test_good_version_succeeds(name):
    results = [simulate(GOOD[name], seed) for seed in range(SEEDS)]
    rolled_back = sum(
        result.rollout.state is RolloutState.ROLLED_BACK for result in results
    )
    assert rolled_back <= MAX_FALSE_ALARMS * SEEDS
    assert all(not result.rollout.is_running for result in results)


@pytest.mark.parametrize("boot_seconds", [0.5, 4.0, 6.0])
def test_good_version_is_decided_before_its_deadline(boot_seconds):
    results = [
        simulate(Scenario(good, boot_seconds=boot_seconds), seed)
        for seed in range(SEEDS)
    ]
    assert max(result.seconds for result in results) < Scenario(good).duration
    assert {each.rollout.state for each in results} == {RolloutState.SUCCEEDED}


@pytest.mark.parametrize("count", [0, 1, 7])
def test_too_few_new_upstreams_are_rolled_back_in_time(count):
    scenario = Scenario(
        good, new_count=max(count, 1), boot_seconds=99.0 if not count else 1.0
    )
    result = simulate(scenario, 1)
    assert result.rollout.state is RolloutState.ROLLED_BACK
    assert result.seconds < scenario.duration


def test_failures_of_one_upstream_do_not_count_against_the_version():
    outcomes = Outcomes()
    outcomes.tally("a", "").answered[10] = 100
    outcomes.tally("a", "n1").failed = 50
    outcomes.tally("a", "n2").answered[10] = 20
    assert not evaluate(outcomes).is_bad
    outcomes.tally("a", "n2").failed = 20
    assert evaluate(outcomes).is_bad


def test_version_that_turns_bad_under_load_is_found_despite_its_record():
    outcomes = Outcomes()
    outcomes.tally("a", "").answered[10] = 800
    for number in range(10):
        outcomes.tally("a", f"n{number}").answered[10] = 40
    before = Outcomes.sum_of([outcomes])
    for number in range(10):
        outcomes.tally("a", f"n{number}").answered[10] += 2
        outcomes.tally("a", f"n{number}").failed = number % 3 != 0
    assert not evaluate(outcomes).is_bad
    assert evaluate(outcomes, before).is_bad


def test_bad_version_of_two_upstreams_never_succeeds():
    """The worse upstream is left out, so only half of the outcomes count."""
    scenario = Scenario(
        failing, requests_per_second=24.0, duration=16.0, new_count=2, old_count=2
    )
    results = [simulate(scenario, seed) for seed in range(SEEDS)]
    assert {each.rollout.state for each in results} == {RolloutState.ROLLED_BACK}
