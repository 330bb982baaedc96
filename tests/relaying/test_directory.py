"""The directory for callers, served by control hosts and entry hosts."""

import math
import random
from dataclasses import replace

import pytest
import trio
import xxhash

from pepperstep.coordination import Directory, EntryReport
from pepperstep.coordination.directory import MAX_ADDRESSES, DirectoryEntry
from tests.relaying.world import open_world

ALL_ADDRESSES = ["e0:1:callers", "e1:1:callers"]


def directory(*entries: tuple[str, str]) -> Directory:
    """Return a directory of addresses with their zones."""
    return Directory(tuple(DirectoryEntry(*entry) for entry in entries))


def test_addresses_of_the_callers_zone_come_first():
    original = directory(("a", "z1"), ("b", "z2"), ("c", "z1"))
    assert original.addresses("z2") == ["b", "a", "c"]
    assert original.addresses("z3") == ["a", "b", "c"]
    assert original.addresses("z1", without="a") == ["c", "b"]


def test_directory_crosses_the_wire():
    original = directory(("a", "z1"), ("b", "z2"))
    decoded = Directory.from_message(original.to_message())
    assert decoded == original
    assert decoded.digest == original.digest != directory(("a", "z1")).digest
    assert Directory().digest == 0


async def test_entry_hosts_serve_it_without_control_hosts(autojump_clock):
    async with open_world() as world:
        await trio.sleep(2.0)
        for name in list(world.controls):
            world.kill(name)
        await trio.sleep(10.0)
        for host in world.entries.values():
            assert sorted(host.entry_addresses("z1")) == ALL_ADDRESSES


async def test_leaving_host_is_in_no_directory(autojump_clock):
    async with open_world() as world:
        await trio.sleep(2.0)
        world.entries["e0:1"].leave(world.timers["e0:1"].now())
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
                assert sorted(host.entry_addresses("z1")) == ALL_ADDRESSES


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
    """Guards against traffic between zones.

    With 64 addresses in each directory, a third of the callers' traffic crossed zones.
    """
    reports = reports_of({"a": 41, "b": 36, "c": 40, "d": 35, "e": 39})
    named = {
        zone: Directory.from_reports(reports, zone).addresses(zone) for zone in "abcde"
    }
    for zone, addresses in named.items():
        in_zone = [address for address in addresses if address.startswith(zone)]
        assert len(in_zone) == sum(report.zone == zone for report in reports)
        assert 1 <= len(addresses) - len(in_zone) <= len(addresses) / 8
        assert addresses[: len(in_zone)] == in_zone
    others = [
        address
        for zone, addresses in named.items()
        for address in addresses
        if not address.startswith(zone)
    ]
    # No host receives much of the other zones' traffic.
    assert max(others.count(address) for address in others) <= 2


def test_a_zone_with_few_entry_hosts_gets_all():
    reports = reports_of({"a": 3, "b": 2, "c": 60})
    assert len(Directory.from_reports(reports, "a").entries) == MAX_ADDRESSES
    assert len(Directory.from_reports(reports, "b").addresses("b")) == MAX_ADDRESSES
    assert len(Directory.from_reports(reports[:5], "a").entries) == 5


def cut_off(reports: list[EntryReport], zones: str) -> list[EntryReport]:
    return [
        replace(each, is_cut_off=each.zone in zones, forward_address=f"{each.host}:f")
        for each in reports
    ]


@pytest.mark.parametrize("counts", [{"a": 3, "b": 2}, {"a": 41, "b": 36, "c": 40}])
def test_zone_that_is_cut_off_is_sent_to_the_others(counts):
    """Guards against callers of a zone that are left with few or no entry hosts."""
    reports = cut_off(reports_of(counts), "a")
    for zone in counts:
        named = Directory.from_reports(reports, zone)
        assert not any(each.startswith("a") for each in named.addresses(zone))
        assert len(named.forward_addresses("")) == len(named.entries)
    others = sum(counts.values()) - counts["a"]
    assert len(Directory.from_reports(reports, "a").entries) == min(others, 64)


def test_few_hosts_that_reach_upstreams_are_not_sent_all_callers():
    reports = cut_off(reports_of({"a": 30, "b": 30, "c": 4}), "ab")
    named = Directory.from_reports(reports, "a")
    assert len(named.addresses("a")) == MAX_ADDRESSES
    assert sorted(named.forward_addresses("")) == [f"c-{n}:1:f" for n in range(4)]
    assert Directory.from_message(named.to_message()) == named
    own = named.forward_addresses(without="c-0:callers")
    assert len(own) == 3


def test_hosts_of_earlier_releases_are_not_sent_forwarded_requests():
    """Guards against an empty address where a host's report has none."""
    named = Directory.from_reports(reports_of({"a": 3}), "a")
    assert len(named.addresses("a")) == 3
    assert named.forward_addresses("") == []


def test_lost_upstreams_empty_no_directory():
    reports = cut_off(reports_of({"a": 3, "b": 3}), "ab")
    assert len(Directory.from_reports(reports, "a").addresses("a")) == 6
    assert Directory.from_reports(reports, "a").forward_addresses("") == []


def test_keepers_are_the_same_for_all_zones_and_change_little():
    reports = reports_of({"a": 90, "b": 100})
    keepers = Directory.from_reports(reports, "a").keepers
    assert keepers == Directory.from_reports(reports[::-1], "b").keepers
    # Each keeper costs each host a connection, with its own threads.
    assert len(keepers) == 16
    rest = [report for report in reports if report.host != keepers[0]]
    assert len(set(Directory.from_reports(rest, "a").keepers) - set(keepers)) == 1


def hash_of(report: EntryReport) -> int:
    return xxhash.xxh64_intdigest(report.host.encode())


@pytest.mark.parametrize("capacity", [0.0, 0.387, 1.0, 1.29])
def test_keepers_of_equal_capacity_have_the_lowest_hashes(capacity):
    """Guards against other keepers than those of earlier releases."""
    reports = reports_of({"a": 41, "b": 36, "c": 40, "d": 35, "e": 39})
    equal = [replace(report, capacity=capacity) for report in reports]
    lowest = sorted(reports, key=hash_of)[:16]
    named = Directory.from_reports(equal, "a").keepers
    assert named == tuple(report.host for report in lowest)


def test_small_differences_of_capacity_dont_matter():
    """Guards against new keepers because of small differences between machines."""
    reports = reports_of({"a": 30, "b": 30})
    rng = random.Random(1)
    similar = [replace(each, capacity=rng.uniform(0.92, 1.09)) for each in reports]
    before = Directory.from_reports(reports, "a").keepers
    assert Directory.from_reports(similar, "a").keepers == before


def test_keepers_have_the_highest_capacities():
    """Guards against small hosts that are overloaded by the work of all.

    Hosts whose capacity is unknown or invalid are the last choice.
    """
    capacities = [1.29, 0.86, 0.387, 0.0, math.nan, math.inf, -1.0]
    reports = [
        replace(report, capacity=capacities[number % 7])
        for number, report in enumerate(reports_of({"a": 35, "b": 35}))
    ]
    named = Directory.from_reports(reports, "a").keepers
    by_host = {report.host: report for report in reports}
    assert [by_host[host].capacity for host in named] == [1.29] * 10 + [0.86] * 6
    hashes = [hash_of(by_host[host]) for host in named]
    assert hashes[:10] == sorted(hashes[:10])
    assert hashes[10:] == sorted(hashes[10:])
    unknown = [report for report in reports if report.capacity in (0.0, 0.387)]
    named = Directory.from_reports(unknown, "a").keepers
    assert [by_host[host].capacity for host in named] == [0.387] * 10 + [0.0] * 6


@pytest.mark.parametrize(
    "capacities",
    [
        # Classes relative to the largest host would move with it.
        pytest.param([1.5, *(1.0 + 0.007 * n for n in range(40))], id="largest"),
        # Classes without gaps of 20% inside would merge by the host in between.
        pytest.param([1.14, *[1.0] * 20, *[1.3] * 20], id="between"),
        pytest.param([0.387 + 0.0226 * n for n in range(41)], id="even"),
    ],
)
def test_one_host_less_changes_at_most_one_keeper(capacities):
    """Guards against capacity classes that depend on the other hosts' capacities."""
    reports = [
        replace(report, capacity=capacity)
        for report, capacity in zip(reports_of({"a": 41}), capacities, strict=True)
    ]
    keepers = set(Directory.from_reports(reports, "a").keepers)
    for report in reports:
        rest = [each for each in reports if each is not report]
        named = set(Directory.from_reports(rest, "a").keepers)
        assert len(named - keepers) == (report.host in keepers)


def test_addresses_for_callers_dont_depend_on_capacities():
    """Guards against moving callers' traffic together with the keepers."""
    reports = reports_of({"a": 41, "b": 36})
    rng = random.Random(1)
    mixed = [replace(each, capacity=rng.uniform(0.387, 1.29)) for each in reports]
    before, after = (Directory.from_reports(each, "a") for each in (reports, mixed))
    assert before.entries == after.entries
    assert before.keepers != after.keepers


async def test_hosts_with_the_most_capacity_become_owners(autojump_clock):
    """Guards against a capacity that is lost between the settings and the directory."""
    async with open_world(entries=0) as world:
        seeds = tuple(sorted(world.controls))
        for number in range(20):
            capacity = 0.387 if number < 4 else 1.29
            await world.start_entry(f"e{number}:1", seeds, capacity=capacity)
        await trio.sleep(2.0)
        owners = {f"e{number}:1" for number in range(4, 20)}
        for name, host in world.entries.items():
            assert set(host.sync.directory.keepers) == owners
            gauge = host.metrics.registry.get_sample_value("pepperstep_owner")
            assert gauge == (name in owners)


async def test_directory_is_limited_to_what_callers_accept(autojump_clock):
    async with open_world() as world:
        reports = world.controls["c0:1"].entries.ready() * MAX_ADDRESSES
        original = Directory.from_reports(reports, "z1")
        assert len(original.entries) == MAX_ADDRESSES
