"""The control group forms from seed addresses and replaces lost hosts."""

from contextlib import asynccontextmanager

import pytest
import trio

from pepperstep.errors import Failure
from pepperstep.proto import codec
from pepperstep.proto.consensus_pb2 import LogJoinRequest
from tests.relaying.world import World, document, open_world
from tests.whole.test_whole_hosts import start_hosts

SEEDS = ("c0:1", "c1:1", "c2:1")


def voters(world) -> set[str]:
    """Return the names of the leader's voters."""
    status = world.controls[world.leader].agreement.status()
    return {voter.name for voter in status.voters}


async def test_group_keeps_the_size_its_tolerance_needs(autojump_clock):
    async with open_world() as world:
        for name in ("c3:1", "c4:1"):
            await world.start_control(name, SEEDS, is_first=True, losses=2)
        await trio.sleep(5.0)
        # The first three are configured to tolerate one loss, so three voters suffice.
        assert voters(world) == set(SEEDS)
        status = world.controls[world.leader].agreement.status()
        assert {each.name for each in status.learners} == {"c3:1", "c4:1"}


async def test_host_at_a_new_address_replaces_a_lost_one(autojump_clock):
    async with open_world() as world:
        lost_host = next(name for name in SEEDS if name != world.leader)
        world.kill(lost_host, is_disk_lost=True)
        await trio.sleep(1.0)
        await world.start_control("c9:1", SEEDS, is_first=False)
        await trio.sleep(4.0)
        assert voters(world) == {*SEEDS, "c9:1"} - {lost_host}
        await world.put(2)


async def test_lost_leader_is_replaced(autojump_clock):
    async with open_world() as world:
        lost_host = world.leader
        world.kill(lost_host, is_disk_lost=True)
        await world.start_control("c9:1", SEEDS, is_first=False)
        await trio.sleep(6.0)
        assert voters(world) == {*SEEDS, "c9:1"} - {lost_host}


async def test_host_with_a_lost_disk_becomes_a_voter_again(autojump_clock):
    async with open_world() as world:
        wiped_host = next(name for name in SEEDS if name != world.leader)
        world.kill(wiped_host, is_disk_lost=True)
        await world.start_control(wiped_host, SEEDS, is_first=False)
        await trio.sleep(4.0)
        assert voters(world) == set(SEEDS)
        assert await world.controls[wiped_host].read_table() == document(1)


async def test_acknowledged_table_survives_a_crash_of_all_hosts(autojump_clock):
    async with open_world() as world:
        await world.put(8)
        for name in SEEDS:
            world.kill(name)
        for name in SEEDS:
            await world.start_control(name, SEEDS, is_first=False)
        await trio.sleep(4.0)
        for name in SEEDS:
            assert await world.controls[name].read_table() == document(8)


async def test_all_seeds_can_be_replaced_one_by_one(autojump_clock):
    async with open_world() as world:
        seeds = SEEDS
        for number in range(3):
            replacement = f"n{number}:1"
            world.kill(seeds[0], is_disk_lost=True)
            seeds = (*seeds[1:], replacement)
            await world.start_control(replacement, seeds, is_first=False)
            await trio.sleep(6.0)
            assert voters(world) == set(seeds)
        await world.put(3)
        await trio.sleep(1.0)
        versions = {host.tables.current.version for host in world.entries.values()}
        assert versions == {3}


async def test_hosts_with_empty_disks_never_start_a_group(autojump_clock):
    async with open_world() as world:
        for name in SEEDS:
            world.kill(name, is_disk_lost=True)
        for name in SEEDS:
            await world.start_control(name, SEEDS, is_first=False)
        await trio.sleep(10.0)
        assert world.leader == ""


@asynccontextmanager
async def open_first_start():
    """Yield a world in which no host has started yet."""
    async with trio.open_nursery() as nursery:
        yield World(nursery)
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("seconds", [None, 0.0, 0.001, 0.004, 0.01, 0.1, 0.3])
async def test_group_never_forms_after_a_kill_during_the_first_start(
    autojump_clock, seconds
):
    """`seconds` is the time until the kill, None for one before the first write."""
    async with open_first_start() as world:
        for name in SEEDS[:2]:
            await world.start_control(name, SEEDS, is_first=True)
        if seconds is not None:
            await world.start_control(SEEDS[2], SEEDS, is_first=True)
            await trio.sleep(seconds)
            world.kill(SEEDS[2])
        await trio.sleep(0.5)
        await world.start_control(SEEDS[2], SEEDS, is_first=False)
        with trio.fail_after(6.0):
            await world.put(1)
        await trio.sleep(4.0)
        assert voters(world) == set(SEEDS)


async def test_host_whose_disk_says_it_starts_first_forgets_it(autojump_clock):
    async with open_first_start() as world:
        for name in SEEDS:
            await world.start_control(name, SEEDS, is_first=True)
            await trio.sleep(0.1)
            world.kill(name)
        for name in SEEDS:
            await world.start_control(name, SEEDS, is_first=False)
        with trio.fail_after(6.0):
            await world.put(1)


async def test_one_host_of_the_first_start_invites_two_empty_disks(autojump_clock):
    """The two may have lost a log whose quorum they were."""
    async with open_first_start() as world:
        for name in SEEDS:
            await world.start_control(name, SEEDS, is_first=name == SEEDS[0])
        await trio.sleep(10.0)
        assert world.leader == ""


async def ask_to_join(world, number: int) -> None:
    """Send the leader a join request from a host that doesn't exist."""
    request = LogJoinRequest(group="control", name=f"x{number}:1", disk_id=f"{number}")
    peers = world.network._peers[world.leader]
    await peers.receive(codec.encode(request, "x"))


async def test_number_of_learners_is_bounded(autojump_clock):
    async with open_world() as world:
        for number in range(60):
            await ask_to_join(world, number)
            await trio.sleep(0.1)
        status = world.controls[world.leader].agreement.status()
        assert len(status.learners) <= 16
        await world.put(2)
        # Learners that never answer are dropped, which frees their places.
        await trio.sleep(30)
        status = world.controls[world.leader].agreement.status()
        assert status.learners == ()


async def test_fixed_group_accepts_no_new_members(autojump_clock):
    async with start_hosts(3) as hosts:
        await trio.sleep(2)
        request = LogJoinRequest(group="control", name="x:1", disk_id="1")
        answer = await hosts.network._peers[hosts.leader].receive(
            codec.encode(request, "x")
        )
        with pytest.raises(Failure):
            codec.decode(answer)
        status = hosts.hosts[hosts.leader].node.agreement.status()
        assert status.learners == ()
