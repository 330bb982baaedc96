"""Pushes of new revisions down a tree of hosts.

The tree is laid anew for each revision, so that the work of its inner hosts
goes round. Who can't reach a host takes over what stands below it.
"""

from collections.abc import Callable, Sequence

import trio
import xxhash

from pepperstep.errors import Failure
from pepperstep.ports import PeerNetwork
from pepperstep.proto.configuration_pb2 import ConfigurationPush

__all__ = ["PushTree"]

_FAN_OUT = 4
_ATTEMPTS = 3
_CALL_SECONDS = 0.3

_ROOT = -1


class PushTree:
    """One host's part in the trees; `hosts` gives the names of all in them."""

    def __init__(
        self, name: str, network: PeerNetwork, hosts: Callable[[], Sequence[str]]
    ):
        self._name = name
        self._network = network
        self._hosts = hosts
        self._forwarded = 0

    def start_from_root(self, nursery: trio.Nursery, push: ConfigurationPush) -> None:
        """Push to the first hosts of the tree."""
        order = self._order(push.update.revision)
        self._start_below(nursery, order, _ROOT, push)

    def start_forwarding(self, nursery: trio.Nursery, push: ConfigurationPush) -> None:
        """Push to the hosts below this one, once for a revision."""
        revision = push.update.revision
        if revision <= self._forwarded:
            return
        self._forwarded = revision
        order = self._order(revision)
        if self._name in order:
            self._start_below(nursery, order, order.index(self._name), push)

    def _order(self, revision: int) -> list[str]:
        def position(name: str) -> int:
            return xxhash.xxh3_64_intdigest(name.encode(), revision)

        return sorted(self._hosts(), key=position)

    def _start_below(
        self,
        nursery: trio.Nursery,
        order: list[str],
        position: int,
        push: ConfigurationPush,
    ) -> None:
        first = _FAN_OUT * (position + 1)
        for child in range(first, min(first + _FAN_OUT, len(order))):
            nursery.start_soon(self._push_to, nursery, order, child, push)

    async def _push_to(
        self,
        nursery: trio.Nursery,
        order: list[str],
        position: int,
        push: ConfigurationPush,
    ) -> None:
        for _ in range(_ATTEMPTS):
            try:
                await self._network.call(order[position], push, _CALL_SECONDS)
            except Failure:
                continue
            return
        self._start_below(nursery, order, position, push)
