"""The configuration by hosts, changes and deployments, and when a region is cut."""

import random
import time

import tomli_w
import trio

from measure.capacity_lines import Meter, Point, run_virtual, trace_bytes
from pepperstep.configuration import (
    BASE,
    Change,
    ConfigurationStore,
    StoreSettings,
    hash_key,
)
from pepperstep.configuration.machine import merge_texts
from pepperstep.fakes import (
    FakeAgreement,
    FakeDisk,
    FakeLog,
    FakeNetwork,
    FakePeers,
    FakeTimers,
)

__all__ = [
    "deployment_text",
    "measure_configuration",
    "measure_configuration_cut",
    "measure_reading",
]

_SECONDS = 20.0
_WARM_SECONDS = 5.0
_CHANGE_TIMEOUT = 5.0
_MANY_HOSTS = 100
_CUT_SECONDS = 60.0
_REGIONS = 6


def deployment_text(deployments: int, mark: int = 0) -> str:
    """Return a base with so many deployments; `mark` makes one value differ."""
    base = {
        "sites": {"kitahara": {"regions": ["dosanko"]}},
        "operators": {"root": {"key_sha256": hash_key("r"), "may_change_base": True}},
        "workspaces": {"planners": {}},
        "deployments": {
            f"model-{number:05d}": {
                "model": f"zaseki-{number:05d}",
                "version": "1",
                "workspaces": ["planners"],
                "max_replicas": 12 + (mark if not number else 0),
            }
            for number in range(deployments)
        },
    }
    return tomli_w.dumps(base)


def measure_reading(deployments: int) -> Point:
    """Return processor time and memory of a host's configuration in force."""
    text = deployment_text(deployments)
    started = time.process_time()
    merge_texts({BASE: text}, 1)
    whole = time.process_time() - started
    times = []
    for mark in range(1, 6):
        changed = deployment_text(deployments, mark)
        started = time.process_time()
        merge_texts({BASE: changed}, mark + 1)
        times.append(time.process_time() - started)
    with trace_bytes() as taken:
        kept = merge_texts({BASE: deployment_text(deployments, 9)}, 9)
    assert len(kept.deployments) == deployments
    figures = {
        "text_bytes": len(text),
        "first_seconds": whole,
        "change_seconds": sorted(times)[2],
        "memory_bytes": taken[0],
    }
    return Point("configuration read", {"deployments": deployments}, figures)


def measure_configuration(hosts: int, changes: float, loss: float = 0.0) -> Point:
    """Return the cost of `changes` a second to hosts, five of them control.

    Also the longest time from an operator's change until all hosts have it.
    """

    async def run() -> Point:
        async with trio.open_nursery() as nursery:
            network = FakeNetwork(random.Random(1))
            network.loss = loss
            network.max_delay = 0.005
            stores = await _start_stores(nursery, network, hosts)
            first = next(iter(stores.values()))
            await _change(first, 0)
            await trio.sleep(_WARM_SECONDS)
            meter = Meter(network)
            slowest = await _change_always(stores, changes)
            traffic = meter.read(hosts, _SECONDS)
            nursery.cancel_scope.cancel()
        figures = {
            "messages": traffic.messages,
            "bytes": traffic.bytes,
            "processor": traffic.processor,
            "in_force_after": slowest,
        }
        sizes = {
            "hosts": hosts,
            "changes_a_day": changes * 86_400,
            "loss": loss,
            # Larger clusters poll less often.
            "is_many": int(hosts > _MANY_HOSTS),
        }
        return Point("configuration", sizes, figures, traffic.bytes_by_kind)

    return run_virtual(run)


def measure_configuration_cut(hosts: int) -> Point:
    """Return how a change reaches five regions and, after the cut, the sixth."""

    async def run() -> Point:
        async with trio.open_nursery() as nursery:
            network = FakeNetwork(random.Random(1))
            network.max_delay = 0.005
            stores = await _start_stores(nursery, network, hosts)
            inside = list(stores)[-hosts // _REGIONS :]
            outside = [name for name in stores if name not in inside]
            await _change(stores[outside[0]], 0)
            await trio.sleep(_WARM_SECONDS)
            for one in inside:
                for other in outside:
                    network.cut(one, other)
                    network.cut(other, one)
            await trio.sleep(_CUT_SECONDS)
            revision = await _change(stores[outside[0]], 1)
            reached = await _seconds_to(stores, outside, revision)
            say_so = sum(stores[name].is_isolated for name in inside)
            network.heal()
            healed = await _seconds_to(stores, inside, revision)
            nursery.cancel_scope.cancel()
        figures = {
            "outside_after": reached,
            "inside_after_heal": healed,
            "share_that_said_so": say_so / len(inside),
        }
        return Point("configuration cut", {"hosts": hosts}, figures)

    return run_virtual(run)


async def _seconds_to(stores: dict, names: list[str], revision: int) -> float:
    started = trio.current_time()
    for name in names:
        await stores[name].wait_for(revision)
    return trio.current_time() - started


async def _start_stores(nursery, network, hosts: int) -> dict[str, ConfigurationStore]:
    log = FakeLog()
    log.leader = "host-0000"
    names = [f"host-{number:04d}" for number in range(hosts)]
    controls = names[:5]
    stores = {}
    for name in names:
        rng = random.Random(name)
        timers = FakeTimers(rng)
        stores[name] = ConfigurationStore.from_config(
            StoreSettings(name, name in controls, lambda: names, lambda: controls),
            FakeAgreement(name, log),
            FakePeers(name, network, timers, nursery),
            timers,
            rng,
            FakeDisk() if name in controls else None,
        )
        await nursery.start(stores[name].run)
    return stores


async def _change(store: ConfigurationStore, mark: int) -> int:
    change = Change(
        f"change-{mark}", BASE, deployment_text(20, mark), store.revision, "root", ""
    )
    answer = await store.apply_change(change, _CHANGE_TIMEOUT)
    if not answer.is_accepted:
        raise RuntimeError(f"The change was refused: {answer}")
    return answer.revision


async def _change_always(stores: dict, changes: float) -> float:
    """Make changes for the run's time; return the slowest one's seconds."""
    first = next(iter(stores.values()))
    slowest = 0.0
    ends_at = trio.current_time() + _SECONDS
    for mark in range(1, int(_SECONDS * changes) + 1):
        started = trio.current_time()
        revision = await _change(first, mark)
        for store in stores.values():
            await store.wait_for(revision)
        slowest = max(slowest, trio.current_time() - started)
        await trio.sleep_until(min(ends_at, started + 1 / changes))
    await trio.sleep_until(ends_at)
    return slowest
