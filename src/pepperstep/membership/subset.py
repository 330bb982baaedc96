"""Subsetting: which entry hosts route to an upstream.

Each host routes to a bounded number of upstreams. The assignment depends on names
only: rendezvous hashing within each zone, with a number of hosts per zone that is
proportional to the zone's share of the hosts.
"""

import heapq
import math
from collections.abc import Iterable, Sequence

import xxhash

from pepperstep.entities import Host

__all__ = ["choose_routers", "routing_subset"]

_SCALE = 1 << 32
# An upstream with a single routing host would become unreachable with that host.
_MIN_ROUTERS = 2


def choose_routers(upstream: str, hosts: Sequence[Host], count: int) -> frozenset[str]:
    """Return the names of the `count` hosts that route to `upstream`, 0 for all."""
    if count <= 0 or count >= len(hosts):
        return frozenset(host.name for host in hosts)
    zones: dict[str, list[str]] = {}
    for host in hosts:
        zones.setdefault(host.zone, []).append(host.name)
    chosen: list[str] = []
    seen = 0
    start = offset = _hash(upstream)
    for zone in sorted(zones):
        # The offset rounds a zone's share up for some upstreams, down for others.
        seen += len(zones[zone])
        end = count * seen * _SCALE // len(hosts) + offset
        quota = end // _SCALE - start // _SCALE
        start = end
        chosen += heapq.nsmallest(
            quota, zones[zone], key=lambda name: (_hash(f"{upstream} {name}"), name)
        )
    return frozenset(chosen)


def routing_subset(
    host: str, upstreams: Iterable[str], hosts: Sequence[Host], size: int
) -> frozenset[str]:
    """Return the upstreams of one deployment that `host` routes to.

    The subset has about `size` upstreams, or all of them if `size` is 0. `hosts`
    are the entry hosts of the region.
    """
    names = list(upstreams)
    if not names or size <= 0:
        return frozenset(names)
    count = max(_MIN_ROUTERS, math.ceil(size * len(hosts) / len(names)))
    return frozenset(
        name for name in names if host in choose_routers(name, hosts, count)
    )


def _hash(text: str) -> int:
    return xxhash.xxh32_intdigest(text.encode())
