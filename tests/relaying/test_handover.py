"""Control hosts that stop hand over what they hold to hosts that replace them."""

import json
from contextlib import asynccontextmanager, suppress

import pytest
import trio

from pepperstep.errors import Code, Failure
from tests.relaying.world import World, document, open_world

SEEDS = ("c0:1", "c1:1", "c2:1")
CATCH_UP_SECONDS = 4.2


def voters(world: World) -> set[str]:
    """Return the names of the leader's voters."""
    status = world.controls[world.leader].agreement.status()
    return {voter.name for voter in status.voters}


async def wait_leader(world: World, seconds: float = 5.0) -> str:
    """Return the name of the leader, the first one within `seconds`."""
    with trio.fail_after(seconds):
        while not world.leader:
            await trio.sleep(0.01)
    return world.leader


@asynccontextmanager
async def open_group(spares: int, seed: int = 0):
    """Yield a world with spare control hosts that have had time to catch up."""
    async with open_world(seed=seed) as world:
        for number in range(spares):
            await world.start_control(f"n{number}:1", SEEDS, is_first=False)
        await trio.sleep(CATCH_UP_SECONDS)
        await world.put(2)
        yield world


async def check_recovered(world: World) -> None:
    """Check that the group has the acknowledged version and accepts a new one."""
    await wait_leader(world, 8.0)
    for name in sorted(voters(world) & set(world.controls)):
        assert json.loads(await world.controls[name].read_table())["version"] == 2
    with trio.fail_after(5.0):
        await world.put(3)


def pick(world: World, role: str, *others: str) -> str:
    """Return the leader or the first follower among the seeds that isn't excluded."""
    if role == "leader":
        return world.leader
    return next(name for name in SEEDS if name not in (world.leader, *others))


async def lose_disk(world: World, name: str, seconds_away: float | None) -> None:
    """Lose a host's disk; the host is back after a time, None for never."""
    world.kill(name, is_disk_lost=True)
    if seconds_away is not None:
        await trio.sleep(seconds_away)
        await world.start_control(name, SEEDS, is_first=False)
    await trio.sleep(2.0)


@pytest.mark.parametrize("seconds_away", [1.0, 8.0, None])
@pytest.mark.parametrize("delay", [0.2, 1.0])
@pytest.mark.parametrize("spares", [1, 2])
@pytest.mark.parametrize("stopped", ["leader", "follower"])
@pytest.mark.parametrize("lost", ["leader", "follower"])
async def test_disk_lost_after_planned_replacement_ends_the_log(
    autojump_clock, stopped, lost, spares, delay, seconds_away
):
    async with open_group(spares) as world:
        stopped_host = pick(world, stopped)
        await world.terminate(stopped_host)
        await trio.sleep(delay)
        await wait_leader(world)
        await lose_disk(world, pick(world, lost, stopped_host), seconds_away)
        await check_recovered(world)


@pytest.mark.parametrize("seconds_away", [1.0, None])
@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("killed", ["leader", "follower"])
@pytest.mark.parametrize("lost", ["leader", "follower"])
async def test_disk_lost_a_second_after_a_kill_ends_the_log(
    autojump_clock, killed, lost, seed, seconds_away
):
    async with open_group(1, seed) as world:
        killed_host = pick(world, killed)
        world.kill(killed_host, is_disk_lost=True)
        await trio.sleep(1.0)
        leader = await wait_leader(world)
        others = [name for name in SEEDS if name not in (killed_host, leader)]
        lost_host = leader if lost == "leader" else others[0]
        await lose_disk(world, lost_host, seconds_away)
        await check_recovered(world)


async def test_replacements_in_a_row_leave_the_vote_with_stopped_hosts(autojump_clock):
    async with open_world() as world:
        stopped = list(SEEDS)
        for number, name in enumerate(stopped):
            await world.start_control(f"n{number}:1", SEEDS, is_first=False)
            await trio.sleep(CATCH_UP_SECONDS)
            await world.put(2)
            await world.terminate(name, is_disk_lost=True)
        assert voters(world) == {"n0:1", "n1:1", "n2:1"}
        await lose_disk(world, "n2:1", None)
        await check_recovered(world)


async def test_stopped_host_leaves_before_its_successor_has_caught_up(
    autojump_clock,
):
    async with open_world() as world:
        await world.put(2)
        stopped = pick(world, "follower")
        world.network.cut(world.leader, "n0:1")
        await world.start_control("n0:1", SEEDS, is_first=False)
        await trio.sleep(1.0)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(world.terminate, stopped)
            await trio.sleep(0.5)
            assert stopped in voters(world)
            world.network.heal()
        assert "n0:1" in voters(world)
        assert stopped not in voters(world)
        await lose_disk(world, pick(world, "follower", stopped), None)
        await check_recovered(world)


@pytest.mark.parametrize("role", ["leader", "follower"])
async def test_planned_restart_without_a_spare_shrinks_the_group(autojump_clock, role):
    async with open_group(0) as world:
        stopped = pick(world, role)
        started_at = trio.current_time()
        await world.terminate(stopped)
        assert trio.current_time() - started_at < 1.0
        await wait_leader(world, 1.0)
        assert voters(world) == set(SEEDS)
        await world.start_control(stopped, SEEDS, is_first=False)
        await trio.sleep(CATCH_UP_SECONDS)
        await lose_disk(world, pick(world, "follower", stopped), None)
        await check_recovered(world)


async def test_planned_restarts_in_turn_with_a_spare_lose_voters(autojump_clock):
    async with open_group(1) as world:
        for name in (*SEEDS, "n0:1"):
            await world.terminate(name)
            await wait_leader(world)
            assert name not in voters(world)
            assert len(voters(world)) == 3
            await world.start_control(name, SEEDS, is_first=False)
            await trio.sleep(CATCH_UP_SECONDS)
        await check_recovered(world)


async def test_all_hosts_stopped_at_once_wait_for_each_other(autojump_clock):
    async with open_group(0) as world:
        with trio.fail_after(0.9 * world.bounds.grace_seconds):
            async with trio.open_nursery() as nursery:
                for name in SEEDS:
                    nursery.start_soon(world.terminate, name)
        for name in SEEDS:
            await world.start_control(name, SEEDS, is_first=False)
        await check_recovered(world)


async def test_dead_learner_is_promoted(autojump_clock):
    """A promoted host that doesn't answer counts for the quorum but can't add to it."""
    async with open_group(1) as world:
        killed = pick(world, "follower")
        world.kill("n0:1", is_disk_lost=True)
        await trio.sleep(0.4)
        world.kill(killed)
        await trio.sleep(5.0)
        assert voters(world) == set(SEEDS)
        with trio.fail_after(2.0):
            await world.put(3)


@pytest.mark.parametrize("losses", [1, 2])
async def test_stopped_leader_leaves_a_group_without_a_leader(autojump_clock, losses):
    async with open_world(controls=2 * losses + 1, losses=losses) as world:
        await trio.sleep(CATCH_UP_SECONDS)
        await world.put(2)
        assert len(voters(world)) == 2 * losses + 1
        await world.terminate(world.leader)
        with trio.fail_after(0.2):
            await wait_leader(world)
        data = await world.controls[world.leader].read_table()
        assert json.loads(data) == json.loads(document(2))


@pytest.mark.parametrize("role", ["leader", "follower"])
async def test_replaced_host_holds_reads_that_it_cannot_answer(autojump_clock, role):
    async with open_group(1) as world:
        name = pick(world, role)
        host = world.controls[name]
        seconds = []

        async def read() -> None:
            begin = trio.current_time()
            with suppress(Failure):
                assert json.loads(await host.read_table())["version"] == 2
            seconds.append(trio.current_time() - begin)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(host.leave)
            for _ in range(200):
                nursery.start_soon(read)
                await trio.sleep(0.01)
        assert name not in voters(world)
        # Operators ask another host after a second; an election takes a part of it.
        assert max(seconds) < 0.5


async def test_order_for_a_new_service_is_refused_by_a_host_that_starts(
    autojump_clock,
):
    """Guards against a final refusal by routes that the host has read from its disk."""
    async with open_group(0) as world:
        name = pick(world, "follower")
        await trio.sleep(1.0)
        world.kill(name)
        services = [{"name": each} for each in ("plain", "model", "new")]
        await world.put(3, document(3, services=services))
        host = await world.start_control(name, SEEDS, is_first=False)
        assert host.tables.current.version == 2
        with trio.fail_after(5.0):
            while True:
                try:
                    await host.start_rollout("new", "v2", 60.0)
                except Failure as failure:
                    assert failure.code != Code.INVALID_REQUEST
                    await trio.sleep(0.1)
                else:
                    break
