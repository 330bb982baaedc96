"""What a control host that is cut off from most others answers, and how soon."""

import pytest
import trio

from pepperstep.errors import Code, Failure
from pepperstep.proto import codec
from pepperstep.proto.consensus_pb2 import LogJoinRequest
from tests.relaying.world import document, open_world

SEEDS = ("c0:1", "c1:1", "c2:1")
# Time until a host that was cut off knows it, in seconds.
NOTICE_SECONDS = 3.0


def put(host):
    """Send a change."""
    return host.put_table(9, document(9))


def read(host):
    """Ask for the newest change."""
    return host.read_table()


@pytest.mark.parametrize("ask", [put, read])
@pytest.mark.parametrize("name", SEEDS)
async def test_host_that_is_cut_off_refuses_at_once(autojump_clock, name, ask):
    """So that who asks goes to the next host: waiting took 0.8 to 0.9 s."""
    async with open_world() as world:
        # Hosts that have just started find each other yet, and wait.
        await trio.sleep(5.0)
        world.cut_off(name)
        await trio.sleep(NOTICE_SECONDS)
        begun = trio.current_time()
        with pytest.raises(Failure) as raised:
            await ask(world.controls[name])
        assert raised.value.code is Code.NO_QUORUM
        assert trio.current_time() - begun < 0.05
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
            # One change of the membership at a time.
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
