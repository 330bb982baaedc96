"""Measurement runs on whole hosts are reproducible and detect faults.

A run that misses lost, wrong or doubled answers would report faulty code as correct.
"""

from dataclasses import replace

import trio

from measure.fleet_day import DayCase, run_day
from measure.mix import BANTAYOG, KITAHARA
from measure.results import Result
from measure.scenarios import SCENARIOS
from measure.world import run_case
from pepperstep.fakes import FakeService
from pepperstep.routing import RoutingSettings


def run_tiny(partner, fault, **routing) -> Result:
    case = SCENARIOS["calm"].cases["predicted"]
    tiny = replace(case, seconds=1.0, partners=(partner,), fault=fault)
    if routing:
        policies = replace(case.policies, routing=RoutingSettings(**routing))
        tiny = replace(tiny, policies=policies)
    return Result.from_world(run_case(tiny))


def test_run_is_reproducible():
    results = [run_tiny(KITAHARA, None) for _ in range(2)]
    assert results[0] == results[1]
    assert results[0].answered_in_time == results[0].asked > 0
    assert not (results[0].lost or results[0].doubled or results[0].wrong)


async def _cross_answers(world) -> None:
    for engine in world.upstreams.engines:
        engine.is_crossed = True


async def _run_calls_twice(world) -> None:
    await trio.sleep(0.9)
    for each in world.upstreams.all.values():
        if isinstance(each, FakeService):
            each.runs.update(list(each.runs))


def test_lost_answers_are_counted():
    # The default wait for the retry budget is longer than some deadlines.
    result = run_tiny(KITAHARA, _cross_answers, retry_wait=0.01)
    assert result.lost
    assert result.answered_in_time < result.asked
    assert not result.wrong


def test_doubled_calls_are_counted():
    assert run_tiny(BANTAYOG, _run_calls_twice).doubled


def test_wrong_answers_are_counted(monkeypatch):
    monkeypatch.setattr("measure.callers.answer_of", lambda request: ["another "])
    assert run_tiny(KITAHARA, None).wrong


def test_day_is_reproducible():
    case = DayCase("planned", seconds=3600.0, waves_a_day=48)
    first = run_day(case)
    assert first == run_day(case)
    assert all(day.cost > 0 and day.starts for day in first.partners.values())
