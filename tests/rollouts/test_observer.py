"""What an entry host concludes by itself, and what it tells the judge."""

import pytest
import trio

from pepperstep.coordination import Announcement
from pepperstep.fakes import FakeNetwork, FakePeers, FakeTimers
from pepperstep.proto import rollouts_pb2 as pb
from pepperstep.rollouts import Rollout, RolloutObserver

ROLLOUT = Rollout("s", 1, "v2", 12.0, 0.0, 0.0, share=0.5)
NEW = Announcement("n", "s", "", "z1", software="v2")
OLD = Announcement("o", "s", "", "z1", software="v1")


class Scene:
    """An entry host, and a control host that judges or doesn't."""

    def __init__(self, nursery):
        timers = FakeTimers()
        self.network = FakeNetwork()
        self.told = []
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
        self.told.append(message)
        return pb.RolloutEvidenceReply(is_judge=self.is_judge)

    def end(self, upstream, seconds=0.02):
        self.observer.record_outcome(ROLLOUT, "a", upstream, seconds, 0.0)

    @property
    def is_judged(self):
        return self.observer.is_judged(ROLLOUT)


@pytest.fixture
async def scene(autojump_clock):
    async with trio.open_nursery() as nursery:
        yield Scene(nursery)
        nursery.cancel_scope.cancel()


async def test_nothing_is_judged_before_the_first_acknowledgement(scene):
    assert not scene.is_judged
    await trio.sleep(0.5)
    assert scene.is_judged


async def test_judge_that_is_gone_or_no_judge(scene):
    await trio.sleep(0.5)
    scene.is_judge = False
    await trio.sleep(2.0)
    assert not scene.is_judged
    scene.is_judge = True
    await trio.sleep(0.5)
    assert scene.is_judged
    scene.network.isolate("c")
    await trio.sleep(2.5)
    assert not scene.is_judged


async def test_new_versions_outcomes_are_told_soon_and_whole(scene):
    await trio.sleep(0.5)
    scene.end(OLD)
    scene.end(NEW, None)
    await trio.sleep(0.15)
    counts = {each.upstream: each for each in scene.told[-1].outcomes}
    assert counts["n"].failed == 1
    assert list(counts[""].answered)[1] == 1
    assert scene.told[-1].in_flight == 2


async def test_failures_in_a_row_stop_it_here_for_a_while(scene):
    await trio.sleep(0.5)
    for _ in range(3):
        assert scene.is_judged
        scene.end(NEW, None)
    assert not scene.is_judged
    # Others' failures don't.
    await trio.sleep(2.5)
    assert scene.is_judged
    for _ in range(5):
        scene.end(OLD, None)
    assert scene.is_judged
