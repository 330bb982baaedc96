"""Membership by hosts and regions, calm, at losses and at cuts.

The packages run alone in virtual time, so bytes are those of the encoded
messages, without gRPC's and HTTP/2's own.
"""

import random
from collections import Counter

import trio

from measure.capacity_lines import (
    Meter,
    Point,
    count_senders,
    run_virtual,
    trace_bytes,
)
from pepperstep.entities import Host
from pepperstep.fakes import FakeNetwork, FakePeers, FakeTimers
from pepperstep.membership import Membership, MemberState, Seed
from pepperstep.membership.members import Member, MemberTable

__all__ = [
    "measure_cut",
    "measure_known",
    "measure_membership",
    "measure_restarts",
    "measure_zone_loss",
]

_ZONES = 4
_WARM_SECONDS = 10.0
# A host that has nothing to pass on sends about 5.4 messages a second, and a
# bridge of its region two more.
_IDLE_MESSAGES = 6.5
_BRIDGES = 3
_SECONDS = 20.0
_VIEW_LIMIT = 60.0


class _Hosts:
    """Hosts with a membership each, in equal regions of four zones."""

    def __init__(self, nursery: trio.Nursery, count: int, regions: int = 1):
        self.nursery = nursery
        self.network = FakeNetwork(random.Random(1))
        self.regions = regions
        self.places = {
            f"entry-{n:04d}": (f"region-{n % regions}", n // regions % _ZONES)
            for n in range(count)
        }
        firsts = [f"entry-{n:04d}" for n in range(min(count, 3 * regions))]
        self.seeds = [Seed(name, name) for name in firsts]
        self.members: dict[str, Membership] = {}
        self.peers: dict[str, FakePeers] = {}
        self.scopes: dict[str, trio.CancelScope] = {}
        self.lives: Counter[str] = Counter()

    def start(self, names=None) -> None:
        for name in names or self.places:
            self._start(name)

    def crash(self, name: str) -> None:
        self.scopes.pop(name).cancel()
        self.network.detach(name)
        del self.members[name]

    async def settle(self) -> float:
        """Return the seconds until the news of the start is passed on."""
        started = trio.current_time()
        messages = float("inf")
        limit = _IDLE_MESSAGES
        if self.regions > 1:
            limit += 2 * _BRIDGES * self.regions / len(self.places)
        while messages > limit:
            meter = Meter(self.network)
            await trio.sleep(_WARM_SECONDS)
            messages = meter.read(len(self.members), _WARM_SECONDS).messages
        return trio.current_time() - started

    async def wait_for(self, names: set[str], is_gone: bool) -> float:
        """Return the seconds until all hosts see `names` so, inf if too late."""
        started = trio.current_time()
        while not self._agree(names, is_gone):
            if trio.current_time() - started > _VIEW_LIMIT:
                return float("inf")
            await trio.sleep(0.1)
        return trio.current_time() - started

    def _agree(self, names: set[str], is_gone: bool) -> bool:
        for membership in self.members.values():
            for name in names:
                state = membership.state_of(name)
                if state is None or (state >= MemberState.DEAD) != is_gone:
                    return False
        return True

    def _start(self, name: str) -> None:
        region, zone = self.places[name]
        self.lives[name] += 1
        host = _host(name, region, zone)
        rng = random.Random(f"{name} {self.lives[name]}")
        timers = FakeTimers(rng)
        peers = FakePeers(name, self.network, timers, self.nursery)
        membership = Membership.from_config(
            host, self.seeds, peers, timers, rng, self.lives[name]
        )
        self.peers[name] = peers
        self.members[name] = membership
        self.scopes[name] = scope = trio.CancelScope()

        async def run() -> None:
            with scope:
                await membership.run()

        self.nursery.start_soon(run)


def measure_membership(hosts: int, regions: int = 1) -> Point:
    """Return the cost of hosts that only watch one another."""

    async def run() -> Point:
        async with trio.open_nursery() as nursery:
            cluster = _Hosts(nursery, hosts, regions)
            cluster.start()
            settled = await cluster.settle()
            meter = Meter(cluster.network)
            await trio.sleep(_SECONDS)
            point = _idle_point(meter, hosts, regions)
            point.figures["settled_after"] = settled
            point.figures["bytes_of_busiest_host"] = await _busiest(cluster)
            nursery.cancel_scope.cancel()
        return point

    return run_virtual(run)


def measure_known(hosts: int) -> Point:
    """Return the memory of members that a host knows."""
    table = MemberTable(Member(_host("own", "region-0", 0), 1))
    with trace_bytes() as taken:
        for number in range(hosts):
            host = _host(f"entry-{number:04d}", f"region-{number % 6}", number % _ZONES)
            table.merge(Member(host, 1), 0.0)
    return Point("members known", {"hosts": hosts}, {"memory_bytes": taken[0]})


def _host(name: str, region: str, zone: int) -> Host:
    url = f"http://{name}:8000"
    return Host(name, f"{name}:7000", url, f"{region}-{zone}", region, "kitahara")


def measure_zone_loss(hosts: int) -> Point:
    """Return what it costs a region's hosts that a zone is gone at once."""

    async def run() -> Point:
        async with trio.open_nursery() as nursery:
            cluster = _Hosts(nursery, hosts)
            cluster.start()
            await cluster.settle()
            lost = {name for name, (_, zone) in cluster.places.items() if not zone}
            for name in lost:
                cluster.crash(name)
            point = await _watch_loss(cluster, lost)
            nursery.cancel_scope.cancel()
        return point

    return run_virtual(run)


async def _busiest(cluster: _Hosts) -> float:
    """Return the bytes a second that the busiest host sends, a bridge."""
    with count_senders(cluster.network) as sent:
        await trio.sleep(_SECONDS)
    return max(sent.values()) / _SECONDS


async def _watch_loss(cluster: _Hosts, lost: set[str]) -> Point:
    """Measure by seconds until all know the loss, and ten seconds more."""
    worst_host = worst_mean = 0.0
    started = trio.current_time()
    known_after = 0.0
    meter = Meter(cluster.network)
    while trio.current_time() - started < _VIEW_LIMIT:
        with count_senders(cluster.network) as sent:
            await trio.sleep(1.0)
        worst_host = max(worst_host, max(sent.values(), default=0))
        worst_mean = max(worst_mean, sent.total() / len(cluster.members))
        if not known_after and cluster._agree(lost, is_gone=True):
            known_after = trio.current_time() - started
        if known_after and trio.current_time() - started > known_after + 10:
            break
    seconds = trio.current_time() - started
    traffic = meter.read(len(cluster.members), seconds)
    wrong = sum(
        membership.state_of(name) >= MemberState.DEAD
        for membership in cluster.members.values()
        for name in cluster.members
    )
    return Point(
        "zone lost",
        {"hosts": len(cluster.places), "lost": len(lost)},
        {
            "known_after": known_after or float("inf"),
            "wrongly_dead": wrong,
            "worst_second_of_a_host": worst_host,
            "worst_second_in_the_mean": worst_mean,
            "processor": traffic.processor,
        },
        traffic.bytes_by_kind,
    )


def measure_restarts(hosts: int, restarts: int = 4) -> Point:
    """Return the bytes that one host's crash and return cost all together."""

    async def run() -> Point:
        async with trio.open_nursery() as nursery:
            cluster = _Hosts(nursery, hosts)
            cluster.start()
            await cluster.settle()
            idle = Meter(cluster.network)
            await trio.sleep(_SECONDS)
            before = idle.read(1, _SECONDS)
            meter = Meter(cluster.network)
            started = trio.current_time()
            slowest = 0.0
            for number in range(restarts):
                name = f"entry-{hosts - 1 - number:04d}"
                cluster.crash(name)
                await trio.sleep(5.0)
                cluster.start([name])
                slowest = max(slowest, await cluster.wait_for({name}, False))
                await cluster.settle()
            seconds = trio.current_time() - started
            traffic = meter.read(1, seconds)
            nursery.cancel_scope.cancel()
        extra = (traffic.bytes - before.bytes) * seconds / restarts
        return Point(
            "restart",
            {"hosts": hosts},
            {"extra_bytes": extra, "known_after": slowest},
        )

    return run_virtual(run)


def measure_cut(hosts: int, regions: int, seconds: float = 120.0) -> Point:
    """Return what a region costs that is cut off, and how its return goes."""

    async def run() -> Point:
        async with trio.open_nursery() as nursery:
            cluster = _Hosts(nursery, hosts, regions)
            cluster.start()
            await cluster.settle()
            for inner, (region, _) in cluster.places.items():
                for outer, (other, _) in cluster.places.items():
                    if region == "region-0" != other:
                        cluster.network.cut(inner, outer)
                        cluster.network.cut(outer, inner)
            meter = Meter(cluster.network)
            await trio.sleep(seconds)
            traffic = meter.read(hosts, seconds)
            dead = _count_dead(cluster)
            lost = f"entry-{regions:04d}"
            cluster.crash(lost)
            await trio.sleep(10.0)
            cluster.network.heal()
            known = await cluster.wait_for({lost}, True)
            nursery.cancel_scope.cancel()
        return Point(
            "region cut off",
            {"hosts": hosts, "regions": regions, "seconds": seconds},
            {
                "bytes": traffic.bytes,
                "wrongly_dead": dead,
                "death_known_after_heal": known,
            },
        )

    return run_virtual(run)


def _count_dead(cluster: _Hosts) -> int:
    return sum(
        membership.state_of(name) is MemberState.DEAD
        for membership in cluster.members.values()
        for name in cluster.members
    )


def _idle_point(meter: Meter, hosts: int, regions: int) -> Point:
    traffic = meter.read(hosts, _SECONDS)
    return Point(
        "membership",
        {"hosts": hosts, "regions": regions},
        {
            "messages": traffic.messages,
            "bytes": traffic.bytes,
            "processor": traffic.processor,
        },
        traffic.bytes_by_kind,
    )
