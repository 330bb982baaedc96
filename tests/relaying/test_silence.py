"""Who may call an upstream silent, and how that ends."""

import pytest
import trio
from hypothesis import given, strategies as st

from pepperstep.coordination import Announcement, UpstreamCatalog
from pepperstep.coordination.quorum_monitor import QuorumMonitor
from pepperstep.coordination.silence import SilenceDetector, SilenceVotes
from pepperstep.proto import coordination_pb2 as pb
from tests.relaying.world import open_world

KEY = ("u1", 0)
SEEDS = ("c0:1", "c1:1", "c2:1")


class Clock:
    """A monotonic clock that tests move."""

    def __init__(self) -> None:
        self.time = 100.0

    def now(self) -> float:
        """Return the time in seconds."""
        return self.time


def announcement(name: str = "u1", **facts) -> Announcement:
    """Return an announcement of an upstream of the plain service."""
    return Announcement(name, "plain", f"{name}:80", "z1", **facts)


def answer(epoch: int = 1, **silences: bool) -> pb.SyncReply:
    """Return a control host's answer on upstreams, each silent or not."""
    messages = []
    for name, is_silent in silences.items():
        message = announcement(name).to_message()
        message.is_silent = is_silent
        messages.append(message)
    return pb.SyncReply(registry_epoch=epoch, upstreams=messages)


def working(host) -> list[str]:
    """Return the upstreams of the plain service that a host counts on."""
    return [each.id for each in host.catalog.working("plain")]


class Judged:
    """A book with its judge, who looks once a second."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.catalog = UpstreamCatalog(self.clock.now, "c0")
        self.is_in_contact = True
        # Control hosts that answer, of three.
        self.reached = ["c1", "c2"]
        quorum_monitor = QuorumMonitor(
            "c0", lambda: ["c0", "c1", "c2"], lambda: self.reached, self.clock.now
        )
        self.judge = SilenceDetector(self.catalog, self.clock.now, quorum_monitor)
        self.catalog.record(announcement())

    def look_for(self, seconds: int) -> None:
        """Let time pass."""
        for _ in range(seconds):
            self.clock.time += 1.0
            self.judge.check()

    @property
    def is_silent(self) -> bool:
        """Whether the upstream counts as silent."""
        return KEY in self.catalog.silent


def test_upstream_is_silent_after_twenty_seconds():
    judged = Judged()
    judged.look_for(20)
    assert not judged.is_silent
    judged.look_for(1)
    assert judged.is_silent and judged.catalog.working("plain") == []


def test_host_without_quorum_marks_nothing_silent():
    judged = Judged()
    judged.reached = []
    judged.look_for(60)
    judged.reached = ["c1"]
    judged.look_for(19)
    assert not judged.is_silent
    judged.look_for(2)
    assert judged.is_silent


def test_upstream_of_unreachable_control_host_is_marked_late():
    judged = Judged()
    judged.clock.time += 0.5
    judged.catalog.record(announcement(sequence=2), told_by="c1", heard_by="c2")
    judged.reached = ["c1"]
    judged.look_for(300)
    assert not judged.is_silent
    judged.look_for(1)
    assert judged.is_silent
    judged.catalog.record(announcement(sequence=3), told_by="c1", heard_by="c2")
    judged.look_for(60)
    assert not judged.is_silent
    judged.reached = ["c1", "c2"]
    judged.look_for(1)
    assert judged.is_silent


def test_frozen_host_marks_nothing_silent():
    judged = Judged()
    judged.clock.time += 30.0
    judged.look_for(19)
    assert not judged.is_silent
    judged.look_for(2)
    assert judged.is_silent


def test_announcement_ends_silence_at_once():
    judged = Judged()
    judged.look_for(30)
    before = judged.catalog.version
    judged.catalog.record(announcement(sequence=1))
    assert not judged.is_silent and judged.catalog.working("plain")
    assert judged.catalog.version > before


def test_announcement_that_came_before_the_silence_does_not_end_it():
    judged = Judged()
    judged.look_for(30)
    judged.catalog.record(announcement(sequence=1), age=15.0)
    assert judged.is_silent


def test_restart_and_end_clear_silence():
    judged = Judged()
    judged.look_for(30)
    judged.catalog.record(announcement(incarnation=7))
    assert not judged.catalog.silent and judged.catalog.working("plain")
    judged.look_for(30)
    judged.catalog.mark_gone("u1")
    assert not judged.catalog.silent and not judged.catalog.working("plain")


def test_reported_silence_yields_to_later_announcement():
    judged = Judged()
    judged.look_for(10)
    judged.catalog.record(announcement(sequence=1))
    judged.look_for(5)
    judged.catalog.mark_silent(KEY, age=20.0, told_by="c1")
    assert not judged.is_silent
    judged.catalog.mark_silent(("u1", 7), age=0.0, told_by="c1")
    judged.catalog.mark_silent(("u9", 0), age=0.0, told_by="c1")
    assert not judged.catalog.silent
    judged.catalog.mark_silent(KEY, age=4.0, told_by="c1")
    assert judged.is_silent


def test_silent_upstreams_are_usable_only_where_no_other_is():
    judged = Judged()
    judged.look_for(30)
    assert [each.id for each in judged.catalog.usable("plain")] == ["u1"]
    judged.catalog.record(announcement("u2"))
    assert [each.id for each in judged.catalog.usable("plain")] == ["u2"]


def test_long_silent_upstream_is_removed_and_may_return():
    judged = Judged()
    forgotten = []
    judged.catalog.subscribe_forgotten(forgotten.append)
    judged.look_for(30)
    judged.clock.time += 600.0
    judged.catalog.forget_silent(600.0)
    assert [each.id for each in forgotten] == ["u1"]
    assert judged.catalog.all() == [] and not judged.catalog.silent
    judged.catalog.record(announcement(sequence=9))
    assert judged.catalog.working("plain")


class Voted:
    """An entry host's book with the votes of control hosts."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.catalog = UpstreamCatalog(self.clock.now)
        self.votes = SilenceVotes(self.catalog, self.clock.now)
        self.catalog.record(announcement())

    @property
    def is_silent(self) -> bool:
        """Whether the upstream counts as silent."""
        return KEY in self.catalog.silent


def test_one_control_host_keeps_upstream_working():
    voted = Voted()
    voted.votes.record_reply("c0", answer(u1=False))
    voted.votes.record_reply("c1", answer(u1=True))
    assert not voted.is_silent
    voted.votes.record_reply("c0", answer(u1=True))
    assert voted.is_silent
    voted.votes.record_reply("c1", answer(u1=False))
    assert not voted.is_silent


def test_vote_of_silent_control_host_expires():
    voted = Voted()
    voted.votes.record_reply("c0", answer(u1=False))
    voted.clock.time += 19.0
    voted.votes.record_reply("c1", answer(u1=True))
    assert not voted.is_silent
    voted.clock.time += 2.0
    voted.votes.record_reply("c1", answer())
    assert voted.is_silent


def test_vote_counts_again_once_control_host_answers():
    """Its answers tell only what has changed since its last one."""
    voted = Voted()
    for control_host in ("c0", "c1"):
        voted.votes.record_reply(control_host, answer(u1=True))
    voted.clock.time += 25.0
    voted.votes.record_reply("c1", answer())
    voted.votes.record_reply("c0", answer())
    assert voted.is_silent


def test_restarted_control_host_has_no_votes():
    voted = Voted()
    voted.votes.record_reply("c0", answer(u1=True))
    assert voted.is_silent
    voted.votes.record_reply("c0", answer(epoch=2))
    assert not voted.is_silent


ANSWERS = st.tuples(st.sampled_from(SEEDS), st.booleans(), st.integers(1, 2))


@given(st.lists(ANSWERS, min_size=1, max_size=20))
def test_silent_requires_all_latest_votes(answers):
    voted = Voted()
    told: dict[str, bool] = {}
    for control_host, is_silent, epoch in answers:
        voted.votes.record_reply(control_host, answer(epoch, u1=is_silent))
        told[control_host] = is_silent
        assert voted.is_silent == all(told.values())


async def announce_once_and_fall_silent(world) -> None:
    """Let an upstream announce itself once, and count as silent everywhere."""
    await world.announce("c0:1", "u1", "plain")
    await trio.sleep(24.0)
    for host in [*world.controls.values(), *world.entries.values()]:
        assert working(host) == []


@pytest.mark.parametrize("is_disk_lost", [False, True])
async def test_control_host_restart_keeps_ended_upstream_silent(
    autojump_clock, is_disk_lost
):
    async with open_world() as world:
        await announce_once_and_fall_silent(world)
        world.kill("c2:1", is_disk_lost=is_disk_lost)
        await trio.sleep(2.0)
        await world.start_control("c2:1", SEEDS, is_first=False)
        await trio.sleep(1.5)
        for _ in range(30):
            await trio.sleep(1.0)
            for host in [*world.controls.values(), *world.entries.values()]:
                assert working(host) == []


async def test_reconnected_control_host_keeps_upstream_silent(
    autojump_clock,
):
    async with open_world() as world:
        await announce_once_and_fall_silent(world)
        world.network.cut("e0:1", "c2:1")
        world.network.cut("c2:1", "e0:1")
        await trio.sleep(25.0)
        world.network.heal()
        for _ in range(50):
            await trio.sleep(0.1)
            assert working(world.entries["e0:1"]) == []


async def test_entry_host_that_starts_learns_which_upstreams_are_silent(
    autojump_clock,
):
    async with open_world() as world:
        await announce_once_and_fall_silent(world)
        await world.start_entry("e9:1", SEEDS)
        await trio.sleep(1.0)
        assert working(world.entries["e9:1"]) == []


async def test_silent_upstream_is_removed_on_all_hosts(autojump_clock, monkeypatch):
    for host in ("control_host", "entry_host"):
        name = f"pepperstep.programs.{host}._FORGET_SECONDS"
        monkeypatch.setattr(name, 30.0)
    async with open_world() as world:
        await announce_once_and_fall_silent(world)
        await trio.sleep(32.0)
        for host in [*world.controls.values(), *world.entries.values()]:
            assert host.catalog.all() == []
