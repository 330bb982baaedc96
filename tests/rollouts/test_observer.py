"""Reports of an entry host to the judge, and decisions without the judge.

A host that the judge doesn't hear could go on sending requests to a bad version.
"""

import pytest
import trio

from pepperstep.coordination import Announcement
from pepperstep.fakes import FakeNetwork, FakePeers, FakeTimers
from pepperstep.proto import rollouts_pb2 as pb
from pepperstep.rollouts import Rollout, RolloutObserver

ROLLOUT = Rollout("s", 1, "v2", 12.0, 0.0, 0.0, share=0.5)
NEW = Announcement("n", "s", "", "z1", software="v2")
OLD = Announcement("o", "s", "", "z1", software="v1")


class Harness:
    """An entry host's observer, and a control host that may be the judge."""

    def __init__(self, nursery):
        timers = FakeTimers()
        self.network = FakeNetwork()
        self.reports = []
        self.is_judge = True
        peers = FakePeers("e", self.network, timers, nursery)
        judge = FakePeers("c", self.network, timers, nursery)
        judge.handle(pb.RolloutEvidence, self.on_evidence)
        self.observer = RolloutObserver(
            "e", 1, peers, timers, lambda: [ROLLOUT], lambda rollout: 2
        )
        self.observer.judge = "c"
        nursery.start_soon(self.observer.run)

    async def on_evidence(self, message, sender):
        self.reports.append(message)
        return pb.RolloutEvidenceReply(is_judge=self.is_judge)

    def end(self, upstream, seconds=0.02):
        self.observer.record_outcome(ROLLOUT, "a", upstream, seconds, 0.0)

    @property
    def is_judged(self):
        return self.observer.is_judged(ROLLOUT)


@pytest.fixture
async def harness(autojump_clock):
    async with trio.open_nursery() as nursery:
        yield Harness(nursery)
        nursery.cancel_scope.cancel()


async def test_not_judged_before_the_first_acknowledgement(harness):
    assert not harness.is_judged
    await trio.sleep(0.5)
    assert harness.is_judged


async def test_not_judged_by_a_lost_or_former_judge(harness):
    await trio.sleep(0.5)
    harness.is_judge = False
    await trio.sleep(2.0)
    assert not harness.is_judged
    harness.is_judge = True
    await trio.sleep(0.5)
    assert harness.is_judged
    harness.network.isolate("c")
    await trio.sleep(2.5)
    assert not harness.is_judged


async def test_new_version_outcomes_are_reported_soon_and_completely(harness):
    await trio.sleep(0.5)
    harness.end(OLD)
    harness.end(NEW, None)
    await trio.sleep(0.15)
    counts = {each.upstream: each for each in harness.reports[-1].outcomes}
    assert counts["n"].failed == 1
    assert list(counts[""].answered)[1] == 1
    assert harness.reports[-1].in_flight == 2


async def test_consecutive_failures_suspend_the_new_version(harness):
    await trio.sleep(0.5)
    for _ in range(3):
        assert harness.is_judged
        harness.end(NEW, None)
    assert not harness.is_judged
    # Failures of the old version don't suspend the new one.
    await trio.sleep(2.5)
    assert harness.is_judged
    for _ in range(5):
        harness.end(OLD, None)
    assert harness.is_judged
