"""Distribution of route tables, upstreams and entry hosts to all hosts."""

import pytest
import trio
from absl import logging

from pepperstep.coordination import Announcement, UpstreamCatalog
from pepperstep.errors import Failure
from pepperstep.observability.decisions import EntryContact
from tests.relaying.world import document, open_world


async def test_table_is_in_force_on_all_entry_hosts(autojump_clock):
    async with open_world() as world:
        await world.put(7)
        await trio.sleep(1.0)
        versions = {host.tables.current.version for host in world.entries.values()}
        assert versions == {7}


async def test_version_that_is_not_higher_changes_nothing(autojump_clock):
    async with open_world() as world:
        await world.put(7)
        await world.put(7, document(7, tenants=[]))
        await world.put(5, document(5, tenants=[]))
        await trio.sleep(1.0)
        for host in world.controls.values():
            assert await host.read_table() == document(7)
        for host in world.entries.values():
            assert host.tables.current.workspaces


async def test_killed_entry_host_leaves_the_directory(autojump_clock):
    async with open_world() as world:
        assert all(len(h.entry_addresses("z1")) == 2 for h in world.controls.values())
        world.kill("e0:1")
        # Control hosts relay its last report until it's too old.
        await trio.sleep(2.5)
        for host in world.controls.values():
            assert host.entry_addresses("z1") == ["e1:1:callers"]


async def test_leaving_entry_host_leaves_the_directory_at_once(autojump_clock):
    async with open_world() as world:
        world.entries["e0:1"].leave(world.timers["e0:1"].now())
        await trio.sleep(0.1)
        for host in world.controls.values():
            assert host.entry_addresses("z1") == ["e1:1:callers"]


async def test_upstream_is_known_everywhere(autojump_clock):
    async with open_world() as world:
        await world.announce("c1:1", "u1", "plain")
        await trio.sleep(1.0)
        for host in [*world.controls.values(), *world.entries.values()]:
            assert [each.id for each in host.catalog.working("plain")] == ["u1"]


async def test_leaving_upstream_outlives_the_host_that_heard_it(autojump_clock):
    async with open_world() as world:
        await world.announce("c1:1", "u1", "plain")
        await trio.sleep(1.0)
        await world.announce("c1:1", "u1", "plain", sequence=2, is_leaving=True)
        world.kill("c1:1")
        await trio.sleep(1.5)
        for host in world.entries.values():
            assert host.catalog.working("plain") == []


async def test_leaving_is_not_acknowledged_by_a_host_cut_off(autojump_clock):
    async with open_world() as world:
        await world.announce("c1:1", "u1", "plain")
        world.network.isolate("c1:1")
        with pytest.raises(Failure):
            await world.announce("c1:1", "u1", "plain", sequence=2, is_leaving=True)


async def test_late_announcement_does_not_bring_an_upstream_back(autojump_clock):
    catalog = UpstreamCatalog(trio.current_time)
    first = Announcement("u1", "plain", "a:1", "z1", sequence=4)
    catalog.record(first)
    catalog.mark_gone("u1")
    catalog.record(Announcement("u1", "plain", "a:1", "z1", sequence=9))
    assert catalog.working("plain") == []


async def test_end_may_arrive_before_first_announcement(autojump_clock):
    catalog = UpstreamCatalog(trio.current_time)
    catalog.mark_gone("u1")
    catalog.record(Announcement("u1", "plain", "a:1", "z1", sequence=1))
    assert catalog.working("plain") == []


async def test_lower_sequence_is_older(autojump_clock):
    catalog = UpstreamCatalog(trio.current_time)
    catalog.record(Announcement("u1", "plain", "a:2", "z1", sequence=5))
    catalog.record(Announcement("u1", "plain", "a:1", "z1", sequence=3))
    assert catalog.get("u1").address == "a:2"


async def test_restarted_control_hosts_serve_table_before_election(
    autojump_clock,
):
    async with open_world() as world:
        await world.put(5)
        await world.announce("c0:1", "u1", "plain")
        await trio.sleep(2.0)
        for name in ("c0:1", "c1:1", "c2:1", "e0:1"):
            world.kill(name)
        seeds = ("c0:1", "c1:1", "c2:1")
        for name in seeds:
            await world.start_control(name, seeds, is_first=False)
        entry = await world.start_entry("e0:1", seeds)
        await trio.sleep(0.5)
        assert world.leader == ""
        assert entry.is_ready
        assert [each.id for each in entry.catalog.working("plain")] == ["u1"]


@pytest.mark.parametrize(("delay", "found_in"), [(0.6, 0.25), (2.0, 0.4)])
async def test_entry_host_soon_finds_control_hosts_that_start_later(
    autojump_clock, delay, found_in
):
    seeds = ("c0:1", "c1:1", "c2:1")
    async with open_world() as world:
        for name in (*seeds, "e0:1"):
            world.kill(name)
        entry = await world.start_entry("e0:1", seeds)
        await trio.sleep(delay)
        for name in seeds:
            await world.start_control(name, seeds, is_first=False)
        await trio.sleep(found_in)
        assert entry.is_ready


async def test_entry_hosts_poll_a_few_control_hosts(autojump_clock):
    async with open_world(controls=6, entries=4) as world:
        await trio.sleep(3.0)
        for entry in world.entries.values():
            assert len(entry.sync.reached) == 3
        asked = {name for host in world.entries.values() for name in host.sync.reached}
        assert len(asked) >= 5
        # State received by one control host soon reaches all entry hosts.
        await world.put(2)
        await world.announce("c5:1", "u1", "plain")
        await trio.sleep(0.3)
        for entry in world.entries.values():
            assert entry.tables.current.version == 2
            assert [each.id for each in entry.catalog.working("plain")] == ["u1"]
        assert {host.entries.count for host in world.controls.values()} == {4}


async def test_lost_control_host_is_replaced_by_next(autojump_clock):
    async with open_world(controls=5, entries=1) as world:
        await trio.sleep(3.0)
        entry = world.entries["e0:1"]
        gone = entry.sync.reached[0]
        world.kill(gone)
        await trio.sleep(4.0)
        assert gone not in entry.sync.reached
        assert len(entry.sync.reached) == 3
        seeds = ("c0:1", "c1:1", "c2:1")
        await world.start_control(gone, seeds, is_first=False)
        await trio.sleep(4.0)
        assert len(entry.sync.reached) == 3


@pytest.mark.parametrize("stays", [False, True])
async def test_restart_of_all_hosts_is_detected(autojump_clock, stays):
    """An entry host that kept running may have admitted requests meanwhile."""
    seeds = ("c0:1", "c1:1", "c2:1")
    async with open_world(entries=3) as world:
        await trio.sleep(2.0)
        entries = ["e0:1", "e1:1"] if stays else ["e0:1", "e1:1", "e2:1"]
        for name in (*seeds, *entries):
            world.kill(name)
        hosts = [await world.start_entry(name, seeds) for name in entries]
        await trio.sleep(0.5)
        for name in seeds:
            await world.start_control(name, seeds, is_first=False)
        await trio.sleep(0.2)
        # Quotas are shared by all entry hosts, although one hasn't returned.
        assert world.controls["c0:1"].entries.count == 3
        await trio.sleep(2.0)
        assert {host.sync.has_seen_restart for host in hosts} == {not stays}


async def test_contact_changes_of_entry_hosts_are_logged(autojump_clock, monkeypatch):
    contacts = []

    def collect(text: str, event: object = None, *_: object) -> None:
        if isinstance(event, EntryContact):
            contacts.append((event.entry, event.is_in_contact, event.count))

    monkeypatch.setattr(logging, "info", collect)
    async with open_world() as world:
        world.kill("e0:1")
        await trio.sleep(3.0)
        await world.start_entry("e0:1", ("c0:1", "c1:1", "c2:1"))
        await trio.sleep(2.0)
    assert contacts.count(("e0:1", False, 1)) == 3
    assert contacts.count(("e0:1", True, 2)) >= 3
