"""Assignment of upstreams to entry hosts.

Guards against hosts with too many upstreams, against zones without a routing host,
and against a change of one host that moves many assignments.
"""

from collections import Counter

import pytest

from pepperstep.entities import Host
from pepperstep.membership import choose_routers, routing_subset


def make_hosts(count, zones=4):
    # One zone has twice as many hosts as the others.
    names = [f"z{i % (zones + 1) % zones}" for i in range(count)]
    return [Host(f"e{i}", "", "u", zone, "r", "s") for i, zone in enumerate(names)]


def assign(hosts, count, replicas):
    return {f"u{i}": choose_routers(f"u{i}", hosts, count) for i in range(replicas)}


@pytest.mark.parametrize(("count", "expected"), [(0, 9), (9, 9), (20, 9), (3, 3)])
def test_number_of_routers(count, expected):
    assert len(choose_routers("u", make_hosts(9), count)) == expected


def test_load_is_balanced_across_hosts_and_zones():
    hosts = make_hosts(183)
    zone_of = {host.name: host.zone for host in hosts}
    zones = Counter(zone_of.values())
    assigned = assign(hosts, 7, 1667)
    known = Counter(name for names in assigned.values() for name in names)
    mean = 7 * 1667 / 183
    assert set(known) == set(zone_of)
    assert 0.55 * mean < min(known.values()) and max(known.values()) < 1.45 * mean
    for names in assigned.values():
        in_zones = Counter(zone_of[name] for name in names)
        assert all(abs(in_zones[z] - 7 * zones[z] / 183) < 2 for z in zones)


@pytest.mark.parametrize("is_added", [True, False])
def test_adding_or_removing_a_host_moves_few_assignments(is_added):
    hosts = make_hosts(183)
    changed = [*hosts, Host("new", "", "u", "z1", "r", "s")] if is_added else hosts[1:]
    before, after = assign(hosts, 7, 1000), assign(changed, 7, 1000)
    moved = sum(len(after[name] - before[name]) for name in before)
    # One host has 38 of the 7,000 assignments on average.
    assert moved < 4 * 7 * 1000 / 183


def test_order_of_hosts_makes_no_difference():
    hosts = make_hosts(30)
    assert assign(hosts, 5, 50) == assign(hosts[::-1], 5, 50)


@pytest.mark.parametrize(("replicas", "low", "high"), [(10, 10, 10), (1667, 35, 95)])
def test_subset_of_a_host_is_bounded(replicas, low, high):
    hosts = make_hosts(183)
    names = [f"u{i}" for i in range(replicas)]
    for host in hosts[:20]:
        assert low <= len(routing_subset(host.name, names, hosts, 64)) <= high
    assert routing_subset("e0", names, hosts, 0) == set(names)
    assert routing_subset("e0", [], hosts, 64) == set()
