"""Short seeded runs of the soak, and what its checks accept.

Guards against hosts that cut requests, break their promises or lose configurations
while signals, restarts, changes and faults of upstreams come in series and overlap.
"""

from pathlib import Path

import pytest

from soak.callers import Sent
from soak.checks import TIMED_RULES, judge
from soak.hosts import Life
from soak.operators import Probe, Version
from soak.plan import Plan
from soak.trial import Record, run_plan
from soak.upstreams import Arrival

GRACE_SECONDS = 6.0
EVENT_SECONDS = 10.0
LOG = Path("/dev/null")


@pytest.mark.parametrize("seed", [1, 2])
async def test_short_run(tmp_path, seed):
    plan = Plan.from_seed(seed, EVENT_SECONDS)
    print("\n".join(plan.lines()))
    verdict = judge(await run_plan(plan, tmp_path))
    failures = [each for each in verdict.failures if each.rule not in TIMED_RULES]
    assert failures == []
    assert verdict.checks["answered"] > 0
    assert verdict.checks["early"] > 0


def test_plans_of_a_seed_are_equal():
    assert Plan.from_seed(7, 20.0) == Plan.from_seed(7, 20.0)
    assert Plan.from_seed(7, 20.0).lines() != Plan.from_seed(8, 20.0).lines()


def make_record(**changes) -> Record:
    """Return a record of a host that got SIGTERM at 100 s and ended at 106 s."""
    plan = Plan.from_seed(1, 1.0)
    record = Record(plan)
    life = Life("entry-11", 10.0, LOG, 0, listens_at=11.0, ended_at=105.0, code=0)
    life.signals.append((100.0, "TERM"))
    record.lives.append(life)
    record.versions.append(Version(1, 9.0, 1.0, 2.0))
    for name, value in changes.items():
        setattr(record, name, value)
    return record


def make_sent(sent_at: float, ended_at: float, status: int, **changes) -> Sent:
    """Return an unsafe request with a deadline of 3 s."""
    sent = Sent(
        b"1-1", "entry-11", "unsafe", "plain", 3.0, sent_at, True, ended_at, status
    )
    for name, value in changes.items():
        setattr(sent, name, value)
    return sent


def make_arrival(at: float, ended_at: float, outcome: str) -> Arrival:
    """Return the request's arrival at an upstream that never came back."""
    return Arrival(b"1-1", "u1", at, float("inf"), ended_at, outcome)


def failed_rules(record: Record) -> set[str]:
    """Return the rules that a record breaks, without the ends of processes."""
    failures = judge(record).failures
    return {each.rule for each in failures if not each.rule.startswith("exit")}


@pytest.mark.parametrize(
    ("sent", "arrivals", "rules"),
    [
        (make_sent(50, 51, 200), [make_arrival(50, 51, "answered")], set()),
        (make_sent(50, 51, 0), [make_arrival(50, 51, "dropped")], {"answered"}),
        (make_sent(50, 51, 0), [], set()),
        (make_sent(50, 51, 0), [make_arrival(50, 51, "crashed")], set()),
        (make_sent(50, 53, 0), [make_arrival(50, 53, "dropped")], set()),
        (
            make_sent(50, 51, 0, has_left=True),
            [make_arrival(50, 51, "dropped")],
            set(),
        ),
        (make_sent(102.9, 105, 0), [make_arrival(103, 105.1, "dropped")], set()),
        (
            make_sent(103.1, 105, 0),
            [make_arrival(103.2, 105.1, "dropped")],
            {"answered"},
        ),
        (make_sent(102, 104, 0), [make_arrival(102, 104, "dropped")], {"answered"}),
        (make_sent(50, 51, 502), [make_arrival(50, 51, "answered")], {"failed"}),
        (make_sent(50, 51, 502), [], {"failed"}),
        (make_sent(50, 51, 502), [make_arrival(50, 51, "crashed")], set()),
        (make_sent(50, 51, 504), [make_arrival(50, 51, "dropped")], {"failed"}),
        (make_sent(50, 51, 503), [make_arrival(55, 56, "answered")], {"promise"}),
        (make_sent(50, 51, 503), [make_arrival(50, 51, "refused")], set()),
        (
            make_sent(50, 51, 200),
            [make_arrival(50, 51, "answered"), make_arrival(50, 51, "answered")],
            {"runs"},
        ),
        (
            make_sent(50, 51, 200, fault="3 bytes in place of 4"),
            [make_arrival(50, 51, "answered")],
            {"content"},
        ),
        (make_sent(100.5, 100.6, 503, error=b"draining"), [], {"early"}),
        (make_sent(101.4, 101.6, 503, error=b"draining"), [], set()),
        (make_sent(103, 103.1, 503, error=b"draining"), [], set()),
    ],
)
def test_ends_of_requests_are_judged(sent, arrivals, rules):
    record = make_record(sent=[sent], arrivals=arrivals)
    assert record.plan.grace == GRACE_SECONDS
    assert failed_rules(record) == rules


@pytest.mark.parametrize(
    ("changes", "rules"),
    [
        ({}, set()),
        ({"code": -15}, {"exit"}),
        ({"signals": []}, {"exit"}),
        ({"ended_at": 107.0}, {"exit in time"}),
        ({"signals": [(50.0, "KILL")], "code": -9}, set()),
    ],
)
def test_ends_of_processes_are_judged(tmp_path, changes, rules):
    record = make_record()
    [life] = record.lives
    life.log = tmp_path / "log"
    life.log.write_text("Starting host entry-11\n")
    for name, value in changes.items():
        setattr(life, name, value)
    assert {each.rule for each in judge(record).failures} == rules


@pytest.mark.parametrize(
    ("probes", "rules"),
    [
        ([Probe("entry-11", 1, 50.0, 50.1, True)], set()),
        ([Probe("entry-11", 1, 50.0, 50.1, False)], {"in force"}),
        ([Probe("entry-11", 1, 3.0, 3.1, False)], set()),
        (
            [
                Probe("entry-11", 2, 60.0, 60.1, True),
                Probe("entry-11", 1, 60.2, 60.3, True),
            ],
            {"not back"},
        ),
    ],
)
def test_versions_in_force_are_judged(probes, rules):
    versions = [Version(1, 9.0, 1.0, 2.0)]
    if len(probes) > 1:
        versions.append(Version(2, 9.0, 59.0, 59.5))
    assert failed_rules(make_record(probes=probes, versions=versions)) == rules


def test_read_of_version_before_acknowledged_one_is_found():
    assert failed_rules(make_record(reads=[(2, 2), (1, 2)])) == {"reads"}
