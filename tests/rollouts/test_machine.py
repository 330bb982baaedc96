"""The roll-out state machine: repeated and conflicting commands, snapshots.

Commands may be committed twice or out of date; a decided roll-out must not change.
"""

import pytest
from hypothesis import given, settings, strategies as st

from pepperstep.proto import rollouts_pb2 as pb
from pepperstep.rollouts.machine import RolloutMachine
from pepperstep.rollouts.records import Rollout, RolloutState

RESEND_SECONDS = 7.0


class Log:
    """State machines of two control hosts that apply the same commands."""

    def __init__(self):
        self.machines = [RolloutMachine(), RolloutMachine()]
        self.index = 0

    def apply(self, **kind):
        self.index += 1
        command = pb.RolloutCommand(**kind).SerializeToString()
        answers = {each.apply(self.index, command) for each in self.machines}
        assert len(answers) == 1
        return pb.RolloutAnswer.FromString(answers.pop())

    def start(self, to, at=0.0, service="s"):
        return self.apply(
            start=pb.RolloutStart(
                service=service,
                to=to,
                duration=12.0,
                at=at,
                resend_seconds=RESEND_SECONDS,
            )
        )

    def move(self, number, state, share=0.0, at=1.0, service="s"):
        return self.apply(
            move=pb.RolloutMove(
                service=service, number=number, state=state, share=share, at=at
            )
        )

    @property
    def latest(self) -> Rollout:
        return self.machines[0].get("s")


@pytest.fixture
def log():
    return Log()


def test_repeated_order_changes_nothing(log):
    first = log.start("v2").record
    again = log.start("v2", at=3.0)
    assert (again.is_refused, again.record) == (False, first)


def test_other_version_is_refused_while_one_runs(log):
    first = log.start("v2").record
    other = log.start("v3")
    assert (other.is_refused, other.record) == (True, first)
    assert not log.start("v3", service="t").is_refused


def test_repeated_order_after_a_rollback(log):
    log.start("v2")
    log.move(1, RolloutState.ROLLED_BACK)
    assert not log.start("v2", at=6.0).is_refused
    assert log.latest.state is RolloutState.ROLLED_BACK
    # An order after the resend time is a new attempt.
    log.start("v2", at=8.0)
    assert (log.latest.number, log.latest.state) == (2, RolloutState.RUNNING)


def test_version_that_has_succeeded_stays(log):
    log.start("v2")
    log.move(1, RolloutState.SUCCEEDED, 1.0)
    log.start("v2", at=100.0)
    assert (log.latest.number, log.latest.state) == (1, RolloutState.SUCCEEDED)


@pytest.mark.parametrize("number", [0, 1, 3])
def test_step_of_another_roll_out_changes_nothing(log, number):
    log.start("v2")
    log.move(1, RolloutState.ROLLED_BACK)
    log.start("v3", at=8.0)
    before = log.latest
    assert log.move(number, RolloutState.SUCCEEDED, 1.0).is_refused
    assert log.latest == before


_STEPS = st.one_of(
    st.tuples(st.just("start"), st.sampled_from(["v1", "v2"]), st.integers(0, 30)),
    st.tuples(st.just("move"), st.sampled_from(list(RolloutState)), st.integers(0, 4)),
    st.tuples(st.just("restart"), st.none(), st.none()),
)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(_STEPS, max_size=20))
def test_decisions_survive_lost_disks(steps):
    log = Log()
    decided = {}
    for kind, value, number in steps:
        if kind == "start":
            log.start(value, at=float(number))
        elif kind == "move":
            log.move(number, value, at=float(number))
        else:
            # One host loses its disk and restores the other's snapshot.
            data = log.machines[0].snapshot()
            log.machines[1] = RolloutMachine()
            log.machines[1].restore(data)
            assert log.machines[1].snapshot() == data
        latest = log.latest
        if latest is None:
            continue
        assert decided.setdefault((latest.number, latest.to), latest.state) in (
            latest.state,
            RolloutState.RUNNING,
        )
        decided[latest.number, latest.to] = latest.state
        assert latest.number >= max(each for each, _ in decided)
