"""Hosts whose wall clocks jump, and the time that is estimated from them."""

import pytest
import trio

from tests.relaying.world import open_world

# About an hour, as observed on real clocks.
JUMP_SECONDS = 3740.0


def time_errors(world) -> list[float]:
    """Return the error of each host's estimated time, in seconds."""
    reference = world.timers["c2:1"].wall()
    hosts = [*world.controls.values(), *world.entries.values()]
    return [host.sync.median_time - reference for host in hosts]


@pytest.mark.parametrize("jump", [JUMP_SECONDS, -JUMP_SECONDS])
@pytest.mark.parametrize("names", [["c0:1"], ["e0:1"], ["c1:1", "e0:1"]])
async def test_clock_jumps_do_not_change_the_estimated_time(
    autojump_clock, names, jump
):
    async with open_world() as world:
        await trio.sleep(2.0)
        for step in (jump, -jump):
            for name in names:
                world.timers[name].step_wall(step)
            for _ in range(30):
                assert max(map(abs, time_errors(world))) < 0.1
                await trio.sleep(0.1)


async def test_estimated_time_holds_without_control_hosts(autojump_clock):
    async with open_world() as world:
        await trio.sleep(2.0)
        reference = world.timers["c2:1"]
        for name in list(world.controls):
            world.kill(name)
        world.timers["e0:1"].step_wall(JUMP_SECONDS)
        await trio.sleep(5.0)
        for host in world.entries.values():
            assert abs(host.sync.median_time - reference.wall()) < 0.1


@pytest.mark.parametrize("jump", [JUMP_SECONDS, -JUMP_SECONDS])
async def test_entry_host_with_a_wrong_clock_is_listed(autojump_clock, jump):
    async with open_world() as world:
        await trio.sleep(2.0)
        world.kill("e0:1")
        await trio.sleep(2.0)
        seeds = tuple(sorted(world.controls))
        await world.start_entry("e0:1", seeds, wall_offset=jump)
        await trio.sleep(2.0)
        for host in world.controls.values():
            assert "e0:1:callers" in host.entry_addresses("z1")
