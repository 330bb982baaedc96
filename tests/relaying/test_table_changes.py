"""Changes of the operators' document: what they cost, and how soon they're in force.

Links of entry hosts carry 5 Mbit/s, which callers' answers share.
"""

import json
import random
import zlib

import pytest
import trio

from tests.relaying.test_size import is_applied, wait_for
from tests.relaying.world import document, open_world

ENTRIES = 55
CONTROLS = 9
LINK_BYTES_A_SECOND = 5e6 / 8
MANY_ROUTES = 1400
# As many routes as make a document of 4 MB.
HUGE_ROUTES = 14_000
# Time from the acknowledgement until all hosts have it, in seconds.
MANY_IN_FORCE_SECONDS = 1.0
SMALL_IN_FORCE_SECONDS = 0.5
# Bytes that a host is sent for a small change on top of a large table.
SMALL_CHANGE_BYTES = 2000
TABLE_KINDS = ("TablePart", "TableRequest")


def routes(count: int, seed: int = 0) -> list[dict]:
    """Return routes whose names and prefixes have nothing in common."""
    rng = random.Random(seed)
    return [
        {
            "name": f"r-{rng.getrandbits(40):x}",
            "host": "a.example",
            "path_prefix": f"/{rng.getrandbits(40):x}/",
            "kind": "safe",
            "timeout_ms": 2000,
            "target_latency_ms": 500,
            "priority": 2,
            "service": "plain",
            "max_attempts": 2,
            "public": False,
            "sticky_sessions": False,
            "stream_resume": False,
            "gap_target_ms": 800,
        }
        for _ in range(count)
    ]


def document_with(version: int, added: list[dict]) -> bytes:
    base = json.loads(document(version))
    base["routes"] += added
    return json.dumps(base, separators=(",", ":")).encode()


def open_slow_world(seed: int = 0, entries: int = ENTRIES):
    return open_world(CONTROLS, entries, seed, losses=2)


def slow_links(world, names=()) -> None:
    for name in names or world.entries:
        world.network.rates[name] = LINK_BYTES_A_SECOND


def table_bytes(world) -> int:
    """Return bytes of documents that hosts sent to each other so far."""
    sent = world.network.bytes_sent
    return sent["SyncReply"] + sum(sent[kind] for kind in TABLE_KINDS)


async def test_many_routes_are_in_force_soon(autojump_clock):
    async with open_slow_world() as world:
        slow_links(world)
        await trio.sleep(2.0)
        await world.put(2, document_with(2, routes(MANY_ROUTES)))
        await wait_for(lambda: is_applied(world, 2), MANY_IN_FORCE_SECONDS)


@pytest.mark.parametrize("place", [0, MANY_ROUTES // 2, -1])
async def test_small_change_of_large_table_is_small(autojump_clock, place):
    async with open_slow_world() as world:
        slow_links(world)
        added = routes(MANY_ROUTES)
        await world.put(2, document_with(2, added))
        await wait_for(lambda: is_applied(world, 2), 5.0)
        await trio.sleep(2.0)
        added[place]["timeout_ms"] = 2500
        at_rest = await bytes_at_rest(world)
        before = table_bytes(world)
        await world.put(3, document_with(3, added))
        seconds = await wait_for(lambda: is_applied(world, 3), SMALL_IN_FORCE_SECONDS)
        cost = table_bytes(world) - before - at_rest * (seconds + 1.0)
        assert cost <= SMALL_CHANGE_BYTES * ENTRIES


async def bytes_at_rest(world) -> float:
    """Return the bytes a second that hosts send without any change."""
    before = table_bytes(world)
    await trio.sleep(4.0)
    return (table_bytes(world) - before) / 4.0


async def test_changes_in_quick_succession_are_in_force(autojump_clock):
    async with open_slow_world() as world:
        slow_links(world)
        added = routes(MANY_ROUTES)
        await world.put(2, document_with(2, added))
        for version in range(3, 15):
            await trio.sleep(0.33)
            added[version]["timeout_ms"] = 2000 + version
            await world.put(version, document_with(version, added))
        await wait_for(lambda: is_applied(world, 14), SMALL_IN_FORCE_SECONDS)


async def test_many_routes_during_leader_isolation(autojump_clock):
    async with open_slow_world() as world:
        slow_links(world)
        await trio.sleep(2.0)
        leader = world.leader
        world.cut_off(leader)
        with trio.fail_after(6.0):
            data = document_with(2, routes(MANY_ROUTES))
            while True:
                host = world.rng.choice(sorted(set(world.controls) - {leader}))
                try:
                    await world.controls[host].put_table(2, data)
                except Exception:  # Any refusal: the operator asks the next host.
                    await trio.sleep(0.1)
                else:
                    break
        await wait_for(lambda: is_applied(world, 2), 2 * MANY_IN_FORCE_SECONDS)


async def test_new_host_receives_a_huge_table(autojump_clock):
    """Within 2.5 s of its link's time for the compressed document."""
    async with open_slow_world(entries=2) as world:
        data = document_with(2, routes(HUGE_ROUTES))
        assert len(data) > 3.5e6
        await world.put(2, data)
        await trio.sleep(2.0)
        world.network.rates["late:1"] = LINK_BYTES_A_SECOND
        seeds = tuple(sorted(world.controls))[:3]
        late = await world.start_entry("late:1", seeds)
        link_seconds = len(zlib.compress(data)) / LINK_BYTES_A_SECOND
        await wait_for(lambda: late.tables.current.version == 2, link_seconds + 2.5)


async def test_all_hosts_start_without_a_table(autojump_clock):
    async with open_slow_world() as world:
        await world.put(2, document_with(2, routes(MANY_ROUTES)))
        await trio.sleep(1.0)
        seeds = tuple(sorted(world.controls))[:3]
        names = sorted(world.entries)
        for name in names:
            world.kill(name)
        slow_links(world, names)
        for name in names:
            await world.start_entry(name, seeds)
        await wait_for(lambda: is_applied(world, 2), MANY_IN_FORCE_SECONDS)


async def test_transfer_continues_at_another_control_host(autojump_clock):
    """The control host that a table is fetched from is lost amid it."""
    async with open_slow_world(entries=1) as world:
        data = document_with(2, routes(HUGE_ROUTES // 4))
        await world.put(2, data)
        await trio.sleep(2.0)
        asked = []
        world.network.before = lambda sender, receiver, message: (
            asked.append((receiver, message.offset))
            if message.DESCRIPTOR.name == "TableRequest"
            else None
        )
        world.network.rates["late:1"] = LINK_BYTES_A_SECOND
        seeds = tuple(sorted(world.controls))[:3]
        late = await world.start_entry("late:1", seeds)
        await wait_for(lambda: len(asked) >= 3, 2.0)
        world.cut_off(asked[-1][0], ["late:1"])
        await wait_for(lambda: late.tables.current.version == 2, 5.0)
        offsets = [offset for _, offset in asked]
        assert len({receiver for receiver, _ in asked}) == 2
        assert offsets.count(0) == 1
