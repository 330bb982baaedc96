"""Membership of hosts under losses, cuts, pauses and the loss of a zone."""

import collections
import dataclasses

import pytest
import trio

from pepperstep.entities import Host
from pepperstep.fakes import FakeTimers
from pepperstep.membership import Member, MembershipSettings, MemberState
from pepperstep.membership.members import MemberTable
from pepperstep.membership.updates import UpdateQueue

ALIVE, LEAVING = MemberState.ALIVE, MemberState.LEAVING
SUSPECT, DEAD = MemberState.SUSPECT, MemberState.DEAD


def deaths(cluster):
    """Return how often any running host has taken any member for dead."""
    return [
        change.after.name
        for node in cluster.nodes.values()
        for change in node.changes
        if change.after.state is DEAD
    ]


async def test_hosts_join_through_any_seed(autojump_clock, cluster):
    cluster.network.detach("h0")
    await cluster.start(7, seconds=3)
    assert cluster.all_alive()
    assert {h.name for h in cluster.nodes["h6"].membership.entry_hosts()} == {
        f"h{i}" for i in range(7)
    }


@pytest.mark.parametrize("count", [3, 7, 40])
async def test_dead_host_is_detected_everywhere(autojump_clock, cluster, count):
    await cluster.start(count)
    cluster.crash("h1")
    took = await cluster.wait_until(lambda: cluster.views("h1") == {DEAD}, 4.0)
    assert took > cluster.settings.suspicion_timeout
    assert set(deaths(cluster)) == {"h1"}


async def test_restarted_host_is_a_new_life(autojump_clock, cluster):
    await cluster.start(7)
    membership = cluster.nodes["h3"].membership
    assert not membership.is_gone("h1", 1)
    cluster.crash("h1")
    cluster.add("h1", life=2)
    await cluster.wait_until(lambda: membership.is_gone("h1", 1), 2.0)
    assert not membership.is_gone("h1", 2)
    assert cluster.views("h1") == {ALIVE}


async def test_host_with_clock_behind_returns(autojump_clock, cluster):
    await cluster.start(7)
    cluster.crash("h1")
    await cluster.wait_until(lambda: cluster.views("h1") == {DEAD}, 4.0)
    cluster.add("h1", life=0)
    await cluster.wait_until(lambda: cluster.views("h1") == {ALIVE}, 4.0)


@pytest.mark.parametrize(("seconds", "is_declared"), [(0.7, False), (30, True)])
async def test_paused_host_refutes_and_judges_nobody(
    autojump_clock, cluster, seconds, is_declared
):
    await cluster.start(7)
    cluster.nodes["h1"].timers.pause()
    await trio.sleep(seconds)
    assert (cluster.views("h1") == {DEAD}) == is_declared
    cluster.nodes["h1"].timers.resume()
    await cluster.wait_until(cluster.all_alive, 5.0)
    assert {*deaths(cluster)} == ({"h1"} if is_declared else set())


@pytest.mark.parametrize("way", [("h0", "h1"), ("h1", "h0")])
async def test_one_way_cut_kills_nobody(autojump_clock, cluster, way):
    await cluster.start(7)
    cluster.network.cut(*way)
    await trio.sleep(60)
    assert not any(
        change.after.state >= SUSPECT
        for node in cluster.nodes.values()
        for change in node.changes
    )


@pytest.mark.parametrize("is_one_way", [False, True])
async def test_isolated_host_kills_nobody(autojump_clock, cluster, is_one_way):
    await cluster.start(7)
    for name in cluster.nodes:
        if name != "h1":
            cluster.network.cut(name, "h1")
            if not is_one_way:
                cluster.network.cut("h1", name)
    await cluster.wait_until(lambda: cluster.views("h1") == {DEAD}, 4.0)
    await trio.sleep(60)
    assert cluster.nodes["h1"].membership.is_isolated
    assert {*deaths(cluster)} == {"h1"}
    states = [member.state for member in cluster.nodes["h1"].membership.members()]
    assert states == [ALIVE] * 7
    cluster.network.heal()
    await cluster.wait_until(cluster.all_alive, 5.0)
    assert not cluster.nodes["h1"].membership.is_isolated


@pytest.mark.parametrize("is_paused", [False, True])
async def test_no_verdict_while_cut_off_or_paused(autojump_clock, cluster, is_paused):
    cluster.settings = dataclasses.replace(cluster.settings, suspicion_timeout=2)
    await cluster.start(7)
    first, second = cluster.nodes["h1"], cluster.nodes["h2"]
    second.timers.pause()
    await cluster.wait_until(lambda: first.membership.state_of("h2") is SUSPECT, 4.0)
    if is_paused:
        # Late enough that others have answered in the time to refute.
        await trio.sleep(1.5)
        first.timers.pause()
    cluster.network.isolate("h1")
    second.timers.resume()
    await trio.sleep(8)
    first.timers.resume()
    await trio.sleep(0.01)
    cluster.network.heal()
    await trio.sleep(5)
    assert cluster.all_alive()
    assert not [
        c for c in first.changes if (c.after.name, c.after.state) == ("h2", DEAD)
    ]


async def test_one_of_two_waits_longer(autojump_clock, cluster):
    await cluster.start(2)
    cluster.crash("h1")
    await trio.sleep(5)
    assert cluster.views("h1") == {SUSPECT}
    await cluster.wait_until(lambda: cluster.views("h1") == {DEAD}, 15.0)


async def test_lost_zone_does_not_flood(autojump_clock, cluster):
    await cluster.start(36, seconds=10)
    lost = [name for name in cluster.nodes if int(name[1:]) % 3 == 1]
    for name in lost:
        cluster.crash(name)
    peak = 0
    for _ in range(40):
        sent = cluster.network.bytes_sent.total()
        await trio.sleep(0.25)
        peak = max(peak, cluster.network.bytes_sent.total() - sent)
    assert all(cluster.views(name) == {DEAD} for name in lost)
    assert set(deaths(cluster)) == set(lost)
    # Bytes a second and host, probes and answers included.

    assert peak / 0.25 / 24 < 5000


async def test_parted_zones_meet_again(autojump_clock, cluster):
    await cluster.start(6)
    pairs = [(a, b) for a in "036" for b in "1245"]
    for a, b in pairs:
        cluster.network.cut(f"h{a}", f"h{b}")
        cluster.network.cut(f"h{b}", f"h{a}")
    await trio.sleep(30)
    # Each side takes the other's hosts for dead.
    assert len(cluster.nodes["h0"].membership.hosts()) == 2
    assert len(cluster.nodes["h4"].membership.hosts()) == 4
    cluster.network.heal()
    await cluster.wait_until(cluster.all_alive, 10.0)


async def test_regions_learn_of_each_other_and_outlast_a_cut(autojump_clock, cluster):
    await cluster.start(6)
    await cluster.start(6, region="dosanko", seconds=10)
    assert cluster.all_alive()
    for a in range(6):
        for b in range(6, 12):
            cluster.network.cut(f"h{a}", f"h{b}")
            cluster.network.cut(f"h{b}", f"h{a}")
    await trio.sleep(120)
    assert not deaths(cluster)
    cluster.network.heal()
    cluster.crash("h7")
    await cluster.wait_until(lambda: cluster.views("h7") == {DEAD}, 10.0)


async def test_messages_stay_within_their_bound(autojump_clock, cluster):
    largest = collections.Counter()

    def note(sender, receiver, message):
        kind = type(message).__name__
        largest[kind] = max(largest[kind], message.ByteSize())

    cluster.network.before = note
    cluster.settings = dataclasses.replace(cluster.settings, max_sync_bytes=400)
    await cluster.start(36, seconds=4)
    cluster.add("late")
    await trio.sleep(0.3)
    assert len(cluster.nodes["late"].membership.hosts()) == 37
    for index in range(0, 36, 3):
        cluster.crash(f"h{index}")
    await trio.sleep(10)
    assert largest.pop("SyncAnswer") < 400 + 50
    assert largest.pop("Sync") < 400 + 64 * 5
    assert max(largest.values()) < cluster.settings.max_update_bytes + 20


async def test_no_host_dies_of_lost_messages(autojump_clock, cluster):
    cluster.network.loss = 0.05
    cluster.network.duplication = 0.05
    await cluster.start(7, seconds=600)
    assert not deaths(cluster)


async def test_leaving_host_is_told_apart_until_it_has_left(autojump_clock, cluster):
    cluster.settings = dataclasses.replace(cluster.settings, forget_after=60)
    await cluster.start(7)
    node = cluster.nodes["h1"]
    await node.membership.leave()
    await cluster.wait_until(lambda: cluster.views("h1") == {LEAVING}, 1.0)
    other = cluster.nodes["h5"].membership
    assert "h1" in {host.name for host in other.hosts()}
    assert "h1" not in {host.name for host in other.entry_hosts()}
    await node.membership.depart()
    await trio.sleep(0.5)
    cluster.crash("h1")
    assert cluster.views("h1") == {MemberState.LEFT}
    await trio.sleep(75)
    assert cluster.views("h1") == {None}
    assert not deaths(cluster)


async def test_updates_stay_within_their_rate(autojump_clock):
    settings = MembershipSettings()
    own, *others = (Host(f"h{i}", f"h{i}", "", "z", "r", "s") for i in range(300))
    table = MemberTable(Member(own, 1))
    queue = UpdateQueue(table, FakeTimers(), settings)
    for host in others:
        table.merge(Member(host, 1), 0)
    sizes = [sum(u.ByteSize() for u in queue.peek()) for _ in range(20)]
    assert max(sizes) <= settings.max_update_bytes
    assert sum(sizes) <= settings.update_bytes_per_second
    await trio.sleep(1)
    assert queue.take()
