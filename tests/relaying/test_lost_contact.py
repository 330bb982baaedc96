"""A control host without contact to most others refuses requests at once."""

import pytest
import trio

from pepperstep.errors import Code, Failure
from pepperstep.proto import codec
from pepperstep.proto.consensus_pb2 import LogJoinRequest
from tests.relaying.world import document, open_world

SEEDS = ("c0:1", "c1:1", "c2:1")
# Time until an isolated host detects it, in seconds.
NOTICE_SECONDS = 3.0


def put(host):
    """Propose a table."""
    return host.put_table(9, document(9))


def read(host):
    """Read the table."""
    return host.read_table()


@pytest.mark.parametrize("ask", [put, read])
@pytest.mark.parametrize("name", SEEDS)
async def test_host_that_is_cut_off_refuses_at_once(autojump_clock, name, ask):
    """Guards against clients waiting 0.8 to 0.9 s before they try the next host."""
    async with open_world() as world:
        # After a start, hosts wait for each other instead.
        await trio.sleep(5.0)
        world.cut_off(name)
        await trio.sleep(NOTICE_SECONDS)
        started_at = trio.current_time()
        with pytest.raises(Failure) as raised:
            await ask(world.controls[name])
        assert raised.value.code is Code.NO_QUORUM
        assert trio.current_time() - started_at < 0.05
        world.network.heal()
        await trio.sleep(NOTICE_SECONDS)
        await ask(world.controls[name])


async def test_silent_learners_do_not_affect_quorum(autojump_clock):
    async with open_world() as world:
        for number in range(4):
            join = LogJoinRequest(
                group="control", name=f"x{number}:1", disk_id=f"{number}"
            )
            leader = world.network._peers[world.leader]
            await leader.receive(codec.encode(join, "x"))
            # The group changes its membership one step at a time.
            await trio.sleep(0.5)
        await trio.sleep(4.0)
        for host in world.controls.values():
            assert len(host.agreement.members()) == 7
            await put(host)


async def test_change_waits_for_control_hosts_that_start(autojump_clock):
    async with open_world() as world:
        for name in SEEDS:
            world.kill(name)
        await world.start_control("c0:1", SEEDS, is_first=False)
        await trio.sleep(1.0)
        with trio.move_on_after(0.5) as scope:
            await put(world.controls["c0:1"])
        assert scope.cancelled_caught
