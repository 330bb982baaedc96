"""Upstreams that a control host doesn't hear of, though they live.

What users saw: for over a minute no request on routes that operators had added was
served, and one in three on the first routes; the routes were in force everywhere.
One control host had been cut off from the others. 20 s later entry hosts chose no
upstream that had been there before, and until all processes started again those
upstreams stood idle beside callers who were refused.

Cause: a control host that had heard nothing of an upstream for 20 s wrote it down as
gone, as if the upstream had said so itself. Entry hosts took that from whichever
control host told it, and nothing that the upstream said brought it back. The host
that was cut off did so with all upstreams that announced themselves at the others,
and the others with all that announced themselves there.

Evidence: in a run with a control host cut off for 26 s, it logged six upstreams as
gone by silence, their latest announcements 20.2 to 20.7 s old; 4 ms later another
one did so with the three that the first one heard every 1.2 s.
"""

from functools import partial
from itertools import count

import pytest
import trio

from pepperstep.fakes.relaying import Reply
from pepperstep.ports.exchange import AnswerHead
from tests.relaying.world import open_world, request

OK = AnswerHead(200, ((b"pepperstep-attempt-id", b"id-1"),))
HEARTBEAT_SECONDS = 1.2
# Longer than an upstream may be silent.
LONG_SECONDS = 26.0


async def keep_announcing(world, host: str, upstream: str) -> None:
    """Let an upstream of the plain service announce itself until cancelled."""
    world.connector.scripts[f"{upstream}:80"] = lambda sent: Reply(OK, (b"chart",))
    for sequence in count(1):
        await world.announce(host, upstream, "plain", sequence=sequence)
        await trio.sleep(HEARTBEAT_SECONDS)


def working(host) -> list[str]:
    """Return the upstreams of the plain service that a host counts on."""
    return [each.id for each in host.catalog.working("plain")]


@pytest.mark.parametrize("cut_off", ["c0:1", "c1:1", "c2:1"])
async def test_upstreams_stay_in_use_while_a_control_host_is_cut_off(
    autojump_clock, cut_off
):
    """Whichever side of the cut they announce themselves on."""
    async with open_world() as world, trio.open_nursery() as nursery:
        nursery.start_soon(keep_announcing, world, "c0:1", "u0")
        nursery.start_soon(keep_announcing, world, "c1:1", "u1")
        await trio.sleep(5.0)
        world.cut_off(cut_off)
        for _ in range(int(LONG_SECONDS)):
            await trio.sleep(1.0)
            for entry in world.entries.values():
                assert working(entry) == ["u0", "u1"]
        world.network.heal()
        await trio.sleep(2.0)
        for host in [*world.controls.values(), *world.entries.values()]:
            assert working(host) == ["u0", "u1"]
        exchange = await world.ask("e0:1", request("/unsafe/1"))
        assert exchange.status == 200
        nursery.cancel_scope.cancel()


async def test_upstream_that_announces_itself_again_is_used(autojump_clock):
    async with open_world() as world, trio.open_nursery() as nursery:
        await world.announce("c0:1", "u0", "plain")
        await trio.sleep(LONG_SECONDS)
        for host in [*world.controls.values(), *world.entries.values()]:
            assert working(host) == []
        nursery.start_soon(partial(keep_announcing, world, "c1:1", "u0"))
        await trio.sleep(1.0)
        for host in [*world.controls.values(), *world.entries.values()]:
            assert working(host) == ["u0"]
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("frozen", ["c1:1", "c2:1"])
async def test_frozen_control_host_marks_no_upstream_silent(autojump_clock, frozen):
    async with open_world() as world, trio.open_nursery() as nursery:
        nursery.start_soon(keep_announcing, world, "c0:1", "u0")
        await trio.sleep(5.0)
        world.timers[frozen].pause()
        await trio.sleep(LONG_SECONDS)
        world.timers[frozen].resume()
        for _ in range(30):
            await trio.sleep(0.1)
            for entry in world.entries.values():
                assert working(entry) == ["u0"]
        assert working(world.controls[frozen]) == ["u0"]
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("cut_off", ["c0:1", "c3:1", "c5:1"])
async def test_upstreams_of_unpolled_control_hosts_stay_in_use(autojump_clock, cut_off):
    """Entry hosts ask three of six control hosts, perhaps none that hears an upstream.

    Those that don't reach the host which heard it last can't call it silent, neither
    to entry hosts nor where upstreams are ordered.
    """
    async with open_world(controls=6, entries=3) as world:
        async with trio.open_nursery() as nursery:
            for number in range(6):
                nursery.start_soon(keep_announcing, world, f"c{number}:1", f"u{number}")
            await trio.sleep(5.0)
            world.cut_off(cut_off)
            everything = [f"u{number}" for number in range(6)]
            hosts = [*world.controls.values(), *world.entries.values()]
            for _ in range(int(LONG_SECONDS)):
                await trio.sleep(1.0)
                for host in hosts:
                    assert working(host) == everything
            nursery.cancel_scope.cancel()


async def test_upstream_that_moves_to_isolated_host_stays_in_use(autojump_clock):
    """The others heard of it last themselves, so all but one call it silent."""
    async with open_world() as world, trio.open_nursery() as nursery:
        with trio.move_on_after(5.0):
            await keep_announcing(world, "c0:1", "u0")
        world.cut_off("c1:1")
        announcement = partial(world.announce, "c1:1", "u0", "plain")
        for sequence in range(10, 10 + int(LONG_SECONDS)):
            await announcement(sequence=sequence)
            await trio.sleep(1.0)
            for entry in world.entries.values():
                assert working(entry) == ["u0"]
        assert working(world.controls["c0:1"]) == []
        world.network.heal()
        await announcement(sequence=99)
        await trio.sleep(3.0)
        assert working(world.controls["c0:1"]) == ["u0"]
        nursery.cancel_scope.cancel()
