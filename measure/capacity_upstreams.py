"""The registry by upstreams and hosts; verdicts and notices told to all hosts.

The packages run alone in virtual time, so bytes are those of the encoded
messages, without gRPC's and HTTP/2's own.
"""

import random
from collections import Counter
from dataclasses import replace

import trio
from pepperstep.requests.broadcast import Broadcast

from measure.capacity_lines import Meter, Point, run_virtual, trace_bytes
from pepperstep.entities import Host, Load, ModelKey, Upstream, UpstreamKind
from pepperstep.fakes import FakeDirectory, FakeNetwork, FakePeers, FakeTimers
from pepperstep.membership import RegistrySettings, UpstreamRegistry
from pepperstep.proto import verdicts_pb2

__all__ = [
    "measure_kept_items",
    "measure_known",
    "measure_registry",
    "measure_verdicts",
]

_ZONES = 4
_WARM_SECONDS = 10.0
_SECONDS = 10.0
_MODELS = frozenset({ModelKey("zaseki-7b", "", "1")})


def measure_registry(
    hosts: int, upstreams: int, routers: int = 0, controls: int = 0
) -> Point:
    """Return the cost of upstreams that renew their leases once a second.

    `routers` is how many hosts route to an upstream, 0 for all of the region;
    `controls` more hosts of another region are control hosts.
    """

    async def run() -> Point:
        async with trio.open_nursery() as nursery:
            network = FakeNetwork(random.Random(1))
            places = _registry_hosts(hosts, controls)
            registries = [
                _start_registry(nursery, network, host, places, routers)
                for host in places
            ]
            for number in range(upstreams):
                home = registries[number % hosts]
                nursery.start_soon(_renew, home, f"engine-{number:05d}")
            await trio.sleep(_WARM_SECONDS)
            meter = Meter(network)
            await trio.sleep(_SECONDS)
            traffic = meter.read(hosts, _SECONDS)
            known = sum(len(each.upstreams()) for each in registries[:hosts]) / hosts
            nursery.cancel_scope.cancel()
        sizes = {"hosts": hosts, "upstreams": upstreams, "routers": routers}
        figures = {
            "messages": traffic.messages,
            "bytes": traffic.bytes,
            "processor": traffic.processor,
            "known": known,
        }
        kinds = traffic.bytes_by_kind
        return Point("registry", sizes | {"controls": controls}, figures, kinds)

    return run_virtual(run)


def _registry_hosts(hosts: int, controls: int) -> list[Host]:
    entry = [
        Host(f"entry-{n}", "", f"http://entry-{n}", f"zone-{n % _ZONES}", "r", "s")
        for n in range(hosts)
    ]
    far = [
        Host(f"control-{n}", "", "", "zone-x", "other", "s", is_control=True)
        for n in range(controls)
    ]
    return entry + far


def _start_registry(nursery, network, host, hosts, routers) -> UpstreamRegistry:
    rng = random.Random(host.name)
    timers = FakeTimers(rng)
    peers = FakePeers(host.name, network, timers, nursery)
    settings = RegistrySettings(routers_per_upstream=routers)
    registry = UpstreamRegistry.from_config(
        host, lambda: hosts, peers, timers, rng, settings
    )
    nursery.start_soon(registry.run)
    return registry


def _upstream(name: str) -> Upstream:
    return Upstream(
        name,
        1,
        "10.0.0.1:8000",
        UpstreamKind.ENGINE,
        f"host-of-{name}",
        "zone-0",
        "r",
        "",
        _MODELS,
    )


async def _renew(registry: UpstreamRegistry, name: str) -> None:
    """Renew a lease with a load that changes, as an engine does."""
    upstream = _upstream(name)
    await trio.sleep(random.Random(name).random())
    for sequence in range(1, 1_000_000):
        load = Load(running=sequence % 9, waiting=sequence % 2)
        registry.announce(replace(upstream, load=load), sequence)
        await trio.sleep(1)


def measure_known(upstreams: int) -> Point:
    """Return the memory of upstreams that a host knows."""

    async def run() -> int:
        async with trio.open_nursery() as nursery:
            network = FakeNetwork(random.Random(1))
            hosts = _registry_hosts(1, 0)
            registry = _start_registry(nursery, network, hosts[0], hosts, 0)
            await trio.sleep(1.0)
            with trace_bytes() as taken:
                for number in range(upstreams):
                    registry.announce(_upstream(f"engine-{number:05d}"), 1)
            nursery.cancel_scope.cancel()
        return taken[0]

    figures = {"memory_bytes": run_virtual(run)}
    return Point("upstreams known", {"upstreams": upstreams}, figures)


def measure_verdicts(hosts: int, verdicts: int = 1) -> Point:
    """Return what it costs to tell one verdict to all entry hosts."""

    async def run() -> Point:
        network = FakeNetwork(random.Random(1))
        names = [f"entry-{number:04d}" for number in range(hosts)]
        directory = FakeDirectory([Host(n, n, "", "z", "r", "s") for n in names])
        counts: Counter[str] = Counter()
        async with trio.open_nursery() as nursery:
            broadcasts = [
                _start_broadcast(nursery, network, directory, name, counts)
                for name in names
            ]
            await trio.sleep(_WARM_SECONDS)
            meter = Meter(network)
            for number in range(verdicts):
                broadcasts[number % hosts].add(f"{number:032x}", _verdict(number), 2e9)
            while counts["read"] < verdicts * (hosts - 1):
                await trio.sleep(0.05)
            await trio.sleep(1.0)
            traffic = meter.read(verdicts, 1)
            nursery.cancel_scope.cancel()
        figures = {
            "messages": traffic.messages,
            "bytes": traffic.bytes,
            "processor": traffic.processor,
        }
        sizes = {"hosts": hosts, "pairs": hosts * (hosts - 1)}
        return Point("verdicts", sizes, figures)

    return run_virtual(run)


def measure_kept_items(hosts: int, items: int) -> Point:
    """Return a host's processor time while items are kept that all know.

    So it is with reclaim notices and verdicts for ten minutes each.
    """

    async def run() -> Point:
        names = [f"entry-{number:04d}" for number in range(hosts)]
        directory = FakeDirectory([Host(n, n, "", "z", "r", "s") for n in names])
        async with trio.open_nursery() as nursery:
            network = FakeNetwork(random.Random(1))
            broadcast = _start_broadcast(
                nursery, network, directory, names[0], Counter()
            )
            for name in names[1:]:
                peers = FakePeers(name, network, FakeTimers(), nursery)
                peers.handle(verdicts_pb2.Verdicts, _acknowledge)
            for number in range(items):
                broadcast.add(f"{number:032x}", _verdict(number), 2e9)
            await trio.sleep(_WARM_SECONDS)
            meter = Meter(network)
            await trio.sleep(_SECONDS)
            traffic = meter.read(1, _SECONDS)
            nursery.cancel_scope.cancel()
        figures = {"messages": traffic.messages, "processor": traffic.processor}
        return Point("items kept", {"hosts": hosts, "items": items}, figures)

    return run_virtual(run)


async def _acknowledge(message, sender) -> verdicts_pb2.Verdicts:
    return verdicts_pb2.Verdicts()


def _verdict(number: int) -> verdicts_pb2.Verdict:
    upstreams = ["engine-00001/1", "engine-00002/1"]
    return verdicts_pb2.Verdict(
        content=f"{number:032x}", upstreams=upstreams, until=2e9
    )


def _start_broadcast(nursery, network, directory, name, counts) -> Broadcast:
    rng = random.Random(name)
    timers = FakeTimers(rng)
    peers = FakePeers(name, network, timers, nursery)

    def build(verdicts, is_pull):
        return verdicts_pb2.Verdicts(verdicts=verdicts, is_pull=is_pull)

    def read(message) -> None:
        for verdict in message.verdicts:
            counts["read"] += broadcast.add(verdict.content, verdict, 2e9, is_own=False)

    broadcast = Broadcast(name, peers, timers, directory, rng, build, read)

    async def handle(message, sender):
        read(message)
        return build(broadcast.items() if message.is_pull else [], False)

    peers.handle(verdicts_pb2.Verdicts, handle)
    nursery.start_soon(broadcast.run)
    return broadcast
