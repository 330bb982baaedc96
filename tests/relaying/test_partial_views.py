"""What a control host tells that hears of a part of the entry hosts only.

The cause is that of `test_silent_upstreams`: what one host doesn't hear isn't there
for it, and entry hosts took the latest answer of any control host for the whole.
"""

import pytest
import trio

from tests.relaying.world import open_world

# Longer than control hosts count a silent entry host.
LONG_SECONDS = 17.0


@pytest.mark.parametrize("partial", ["c0:1", "c1:1", "c2:1"])
async def test_entry_hosts_share_quotas_by_all_that_any_control_host_hears(
    autojump_clock, partial
):
    async with open_world(entries=4) as world:
        world.cut_off(partial, [*world.controls, "e1:1", "e2:1", "e3:1"])
        await trio.sleep(LONG_SECONDS)
        for _ in range(40):
            await trio.sleep(0.1)
            assert world.entries["e0:1"].sync.entry_count == 4
        # One that has ended is counted no longer, once nobody hears of it.
        world.kill("e3:1")
        await trio.sleep(LONG_SECONDS)
        assert world.entries["e0:1"].sync.entry_count == 3


@pytest.mark.parametrize("partial", ["c0:1", "c1:1", "c2:1"])
async def test_callers_are_told_of_all_entry_hosts(autojump_clock, partial):
    async with open_world(entries=4) as world:
        world.cut_off(partial, [*world.controls, "e1:1", "e2:1", "e3:1"])
        await trio.sleep(3.0)
        for _ in range(40):
            await trio.sleep(0.1)
            assert len(world.entries["e0:1"].entry_addresses("z1")) == 4
