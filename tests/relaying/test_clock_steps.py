"""Hosts whose Unix time jumps, and what rests on it."""

import pytest
import trio

from tests.relaying.world import open_world

# An hour, as clocks were seen to jump.
JUMP = 3740.0


def errors(world) -> list[float]:
    """Return how far each host's true time is off, in seconds."""
    fair = world.timers["c2:1"].wall()
    hosts = [*world.controls.values(), *world.entries.values()]
    return [host.sync.median_time - fair for host in hosts]


@pytest.mark.parametrize("jump", [JUMP, -JUMP])
@pytest.mark.parametrize("names", [["c0:1"], ["e0:1"], ["c1:1", "e0:1"]])
async def test_jumps_of_clocks_move_no_hosts_true_time(autojump_clock, names, jump):
    async with open_world() as world:
        await trio.sleep(2.0)
        for step in (jump, -jump):
            for name in names:
                world.timers[name].step_wall(step)
            for _ in range(30):
                assert max(map(abs, errors(world))) < 0.1
                await trio.sleep(0.1)


async def test_true_time_stays_while_no_control_host_answers(autojump_clock):
    async with open_world() as world:
        await trio.sleep(2.0)
        fair = world.timers["c2:1"]
        for name in list(world.controls):
            world.kill(name)
        world.timers["e0:1"].step_wall(JUMP)
        await trio.sleep(5.0)
        for host in world.entries.values():
            assert abs(host.sync.median_time - fair.wall()) < 0.1


@pytest.mark.parametrize("jump", [JUMP, -JUMP])
async def test_entry_host_that_starts_with_another_time_is_told_of(
    autojump_clock, jump
):
    async with open_world() as world:
        await trio.sleep(2.0)
        world.kill("e0:1")
        await trio.sleep(2.0)
        seeds = tuple(sorted(world.controls))
        await world.start_entry("e0:1", seeds, wall_offset=jump)
        await trio.sleep(2.0)
        for host in world.controls.values():
            assert "e0:1:callers" in host.entry_addresses("z1")
