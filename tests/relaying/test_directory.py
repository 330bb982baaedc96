"""Where callers connect, as control hosts and entry hosts tell it."""

import trio

from pepperstep.coordination import Directory, EntryReport
from pepperstep.coordination.directory import MAX_ADDRESSES, DirectoryEntry
from tests.relaying.world import open_world

ALL = ["e0:1:callers", "e1:1:callers"]


def directory(*entries: tuple[str, str]) -> Directory:
    """Return a directory of addresses with their zones."""
    return Directory(tuple(DirectoryEntry(*entry) for entry in entries))


def test_addresses_of_the_callers_zone_come_first():
    told = directory(("a", "z1"), ("b", "z2"), ("c", "z1"))
    assert told.addresses("z2") == ["b", "a", "c"]
    assert told.addresses("z3") == ["a", "b", "c"]
    assert told.addresses("z1", without="a") == ["c", "b"]


def test_directory_crosses_the_wire():
    told = directory(("a", "z1"), ("b", "z2"))
    again = Directory.from_message(told.to_message())
    assert again == told
    assert again.digest == told.digest != directory(("a", "z1")).digest
    assert Directory().digest == 0


async def test_entry_hosts_serve_it_without_control_hosts(autojump_clock):
    async with open_world() as world:
        await trio.sleep(2.0)
        for name in list(world.controls):
            world.kill(name)
        await trio.sleep(10.0)
        for host in world.entries.values():
            assert sorted(host.entry_addresses("z1")) == ALL


async def test_leaving_host_is_in_no_directory(autojump_clock):
    async with open_world() as world:
        await trio.sleep(2.0)
        world.entries["e0:1"].leave()
        assert world.entries["e0:1"].entry_addresses("z1") == ["e1:1:callers"]
        await trio.sleep(0.7)
        for host in world.entries.values():
            assert host.entry_addresses("z1") == ["e1:1:callers"]


async def test_lost_entry_host_is_removed(autojump_clock):
    async with open_world() as world:
        await trio.sleep(2.0)
        world.kill("e0:1")
        await trio.sleep(2.5)
        assert world.entries["e1:1"].entry_addresses("z1") == ["e1:1:callers"]


async def test_restarted_control_hosts_remove_no_entry_host(autojump_clock):
    async with open_world() as world:
        await trio.sleep(2.0)
        seeds = tuple(sorted(world.controls))
        for name in seeds:
            world.kill(name)
        await trio.sleep(1.7)
        for name in seeds:
            await world.start_control(name, seeds, is_first=False)
        for _ in range(40):
            await trio.sleep(0.1)
            for host in world.entries.values():
                assert sorted(host.entry_addresses("z1")) == ALL


async def test_starting_entry_host_soon_has_directory(autojump_clock):
    async with open_world() as world:
        await trio.sleep(2.0)
        world.kill("e0:1")
        entry = await world.start_entry("e0:1", tuple(sorted(world.controls)))
        await trio.sleep(0.3)
        assert "e1:1:callers" in entry.entry_addresses("z1")


def reports_of(counts: dict[str, int]) -> list[EntryReport]:
    return [
        EntryReport(f"{zone}-{number}:1", 1, f"{zone}-{number}:callers", zone, True)
        for zone, count in counts.items()
        for number in range(count)
    ]


def test_a_zone_with_many_entry_hosts_gets_its_own_and_few_others():
    """With 64 addresses, a third of the callers' traffic went to other zones."""
    reports = reports_of({"a": 41, "b": 36, "c": 40, "d": 35, "e": 39})
    named = {
        zone: Directory.from_reports(reports, zone).addresses(zone) for zone in "abcde"
    }
    for zone, addresses in named.items():
        own = [address for address in addresses if address.startswith(zone)]
        assert len(own) == sum(report.zone == zone for report in reports)
        assert 1 <= len(addresses) - len(own) <= len(addresses) / 8
        assert addresses[: len(own)] == own
    others = [
        address
        for zone, addresses in named.items()
        for address in addresses
        if not address.startswith(zone)
    ]
    # So that no host gets much of the other zones' traffic.
    assert max(others.count(address) for address in others) <= 2


def test_a_zone_with_few_entry_hosts_gets_all():
    reports = reports_of({"a": 3, "b": 2, "c": 60})
    assert len(Directory.from_reports(reports, "a").entries) == MAX_ADDRESSES
    assert len(Directory.from_reports(reports, "b").addresses("b")) == MAX_ADDRESSES
    assert len(Directory.from_reports(reports[:5], "a").entries) == 5


def test_keepers_are_the_same_for_all_zones_and_change_little():
    reports = reports_of({"a": 90, "b": 100})
    keepers = Directory.from_reports(reports, "a").keepers
    assert keepers == Directory.from_reports(reports[::-1], "b").keepers
    # Each keeper costs each host a connection, with threads of its own.
    assert len(keepers) == 16
    rest = [report for report in reports if report.host != keepers[0]]
    assert len(set(Directory.from_reports(rest, "a").keepers) - set(keepers)) == 1


async def test_directory_is_limited_to_what_callers_accept(autojump_clock):
    async with open_world() as world:
        reports = world.controls["c0:1"].entries.ready() * MAX_ADDRESSES
        told = Directory.from_reports(reports, "z1")
        assert len(told.entries) == MAX_ADDRESSES
