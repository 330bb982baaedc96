"""Clusters of hosts in one process, on virtual time."""

import random

import pytest
import trio

from pepperstep.entities import Host
from pepperstep.fakes import FakeNetwork, FakePeers, FakeTimers
from pepperstep.membership import Membership, MembershipSettings, MemberState, Seed

ZONES = ("makati-a", "pasig-b", "taguig-c")


class Node:
    """One host of a cluster."""

    def __init__(self, cluster, name, zone, region, life):
        host = Host(name, name, f"http://{name}", zone, region, "bantayog")
        rng = random.Random(f"{name} {life}")
        self.timers = FakeTimers(rng)
        self.scope = trio.CancelScope()
        self.peers = FakePeers(name, cluster.network, self.timers, cluster.nursery)
        self.membership = Membership.from_config(
            host, cluster.seeds, self.peers, self.timers, rng, life, cluster.settings
        )
        self.changes = []
        self.membership.subscribe(self.changes.append)

    async def run(self):
        with self.scope:
            await self.membership.run()


class Cluster:
    """Hosts h0, h1, ..., assigned to the zones in rotation."""

    def __init__(self, nursery, settings):
        self.nursery = nursery
        self.settings = settings
        self.network = FakeNetwork(random.Random(1))
        self.seeds = [Seed("h0", "h0"), Seed("h1", "h1"), Seed("h2")]
        self.nodes = {}

    async def start(self, count, region="ncr", seconds=5.0):
        first = len(self.nodes)
        for index in range(first, first + count):
            self.add(f"h{index}", ZONES[index % 3], region)
        await trio.sleep(seconds)

    def add(self, name, zone=ZONES[0], region="ncr", life=1):
        node = self.nodes[name] = Node(self, name, zone, region, life)
        self.nursery.start_soon(node.run)

    def crash(self, name):
        self.nodes.pop(name).scope.cancel()
        self.network.detach(name)

    def views(self, name):
        """Return the states of host `name` according to the other running hosts."""
        return {
            node.membership.state_of(name)
            for other, node in self.nodes.items()
            if other != name
        }

    def all_alive(self):
        return all(self.views(name) == {MemberState.ALIVE} for name in self.nodes)

    async def wait_until(self, condition, limit):
        """Wait until `condition()` is true, and return the seconds that it took."""
        start = trio.current_time()
        while not condition():
            assert trio.current_time() - start < limit, "too late"
            await trio.sleep(0.05)
        return trio.current_time() - start


@pytest.fixture
async def cluster(autojump_clock):
    async with trio.open_nursery() as nursery:
        yield Cluster(nursery, MembershipSettings())
        nursery.cancel_scope.cancel()
