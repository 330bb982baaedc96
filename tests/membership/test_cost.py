"""Network and processor cost of an idle host.

Guards against gossip and replication whose bytes per host grow with the number of
hosts. `pytest -s` prints the measured bytes and processor seconds.
"""

import random
import time
from dataclasses import dataclass, replace

import pytest
import trio

from pepperstep.entities import Load, ModelKey, Upstream, UpstreamKind
from pepperstep.membership import UpstreamRegistry

SECONDS = 20
MODELS = frozenset({ModelKey("draft", "", "1")})


@dataclass
class Cost:
    members: float
    upstreams: float
    processor: float


async def send_heartbeats(registry, name):
    fields = ("c-" + name, "makati-a", "ncr", "", MODELS)
    upstream = Upstream(name, 1, "10.0.0.1:80", UpstreamKind.ENGINE, *fields)
    for sequence in range(1, 1000):
        load = Load(running=sequence % 9, waiting=sequence % 2)
        registry.announce(replace(upstream, load=load), sequence)
        await trio.sleep(1)


async def measure(cluster, hosts, upstreams):
    """Return the cost per host and second, without the overhead of HTTP/2."""
    await cluster.start(hosts, seconds=0)
    registries = []
    for node in cluster.nodes.values():
        membership = node.membership
        registry = UpstreamRegistry.from_config(
            membership.own.host,
            membership.hosts,
            node.peers,
            node.timers,
            random.Random(membership.own.name),
        )
        registries.append(registry)
        cluster.nursery.start_soon(registry.run)
    for index in range(upstreams):
        registry = registries[index % hosts]
        cluster.nursery.start_soon(send_heartbeats, registry, f"pool-{index}")
        await trio.sleep(0.07)
    await trio.sleep(10)
    sent = cluster.network.bytes_sent.copy()
    started = time.process_time()
    await trio.sleep(SECONDS)
    sent = cluster.network.bytes_sent - sent
    replication = sum(
        count for kind, count in sent.items() if kind.startswith("Upstream")
    )
    share = SECONDS * hosts
    processor = (time.process_time() - started) / share
    return Cost((sent.total() - replication) / share, replication / share, processor)


@pytest.mark.parametrize(
    ("hosts", "upstreams"), [(7, 0), (7, 15), (7, 60), (14, 15), (28, 15)]
)
async def test_idle_cost_is_small(autojump_clock, cluster, hosts, upstreams):
    cost = await measure(cluster, hosts, upstreams)
    print(f"{hosts} hosts, {upstreams} upstreams, a host and second: {cost}")
    assert cost.members < 700
    assert cost.upstreams < 200 + 100 * hosts + 60 * upstreams
