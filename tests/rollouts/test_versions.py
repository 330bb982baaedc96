"""Selection of the version for each request on one host.

A wrong selection sends requests to a version that is not evaluated or was rolled back,
or moves a session between versions.
"""

import pytest

from pepperstep.coordination import Announcement
from pepperstep.ports.relaying import PromptPart, RequestFacts
from pepperstep.rollouts import Rollout, RolloutState, VersionSplit

OLD = [Announcement(f"o{number}", "s", "", "z1", software="v1") for number in range(3)]
NEW = [Announcement(f"n{number}", "s", "", "z1", software="v2") for number in range(3)]


class Host:
    def __init__(self):
        self.time = 100.0
        self.is_judged = True
        self.split = VersionSplit(lambda: self.time, lambda rollout: self.is_judged)

    def observe(self, upstreams):
        for each in upstreams:
            self.split.observe_upstream(each)

    def update(self, index=1, **fields):
        self.split.update(Rollout("s", 1, "v2", 12.0, 0.0, 0.0, index=index, **fields))

    def select(self, name=b"r", tried=(), upstreams=(*OLD, *NEW)):
        facts = RequestFacts(name)
        found = self.split.select("s", list(upstreams), facts, tried)
        return {each.software for each in found}

    def share(self, count=2000):
        new = [self.select(b"r%d" % number) == {"v2"} for number in range(count)]
        return sum(new) / count


@pytest.fixture
def host():
    host = Host()
    host.observe(OLD + NEW)
    return host


def test_requests_are_split_by_the_share(host):
    host.update(share=0.2)
    assert host.share() == pytest.approx(0.2, abs=0.04)


def test_version_that_is_not_judged_gets_no_requests(host):
    host.update(share=0.2)
    host.is_judged = False
    assert host.share() == 0.0


def test_session_stays_while_the_share_grows(host):
    parts = [(PromptPart("a", 9), PromptPart(f"p{number}", 9)) for number in range(300)]
    before = set()
    for index, share in enumerate((0.05, 0.2, 0.6, 1.0), start=1):
        host.update(index=index, share=share)
        now = {
            part[-1].id
            for part in parts
            for facts in [RequestFacts(b"%d" % index, prompt_parts=part)]
            if host.split.select("s", OLD + NEW, facts)[0].software == "v2"
        }
        assert before <= now
        before = now
    assert len(before) == 300


def test_request_failed_by_the_new_version_is_retried_on_others(host):
    host.update(share=1.0)
    assert host.select() == {"v2"}
    assert host.select(tried={NEW[0].key}) == {"v1"}


@pytest.mark.parametrize(
    ("state", "share", "replaced", "expected"),
    [
        (RolloutState.RUNNING, 0.0, (), {"v1"}),
        (RolloutState.ROLLED_BACK, 0.0, (), {"v1"}),
        (RolloutState.SUCCEEDED, 1.0, ("v1",), {"v2"}),
    ],
)
def test_versions_by_state(host, state, share, replaced, expected):
    host.update(state=state, share=share, replaced=replaced)
    assert host.select() == expected


def test_stale_state_of_a_roll_out_is_ignored(host):
    host.update(index=7, state=RolloutState.ROLLED_BACK)
    host.update(index=3, share=0.5)
    assert host.share() == 0.0


def test_version_that_appears_before_its_order_waits(host):
    host.time += 10.0
    other = Announcement("x", "s", "", "z1", software="v9")
    host.observe([other])
    everything = [*OLD, other]
    assert host.select(upstreams=everything) == {"v1"}
    # The only version is used even if it is new.
    assert host.select(upstreams=[other]) == {"v9"}
    # Without an order, the new version is used after a delay.
    host.time += 4.0
    assert host.select(upstreams=everything) == {"v1", "v9"}


@pytest.mark.parametrize(
    ("state", "share", "replaced", "expected"),
    [
        (RolloutState.RUNNING, 0.0, (), {"v1": 3, "v2": 3}),
        (RolloutState.RUNNING, 1.0, (), {"v1": 3, "v2": 3}),
        (RolloutState.ROLLED_BACK, 0.0, (), {"v1": 3, "v2": 0}),
        (RolloutState.SUCCEEDED, 1.0, ("v1",), {"v1": 0, "v2": 3}),
    ],
)
def test_begun_streams_keep_their_version_unless_it_is_withdrawn(
    host, state, share, replaced, expected
):
    host.update(state=state, share=share, replaced=replaced)
    found = {
        version: len(host.split.select_bound("s", OLD + NEW, version))
        for version in ("v1", "v2")
    }
    assert found == expected


def test_begun_streams_go_on_at_a_version_that_has_just_appeared(host):
    other = Announcement("x", "s", "", "z1", software="v9")
    host.time += 10.0
    host.observe([other])
    assert host.split.select_bound("s", [*OLD, other], "v9") == [other]
