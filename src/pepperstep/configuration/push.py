"""Dissemination of new revisions along a tree of hosts.

Each revision has its own tree, so that the load of the inner nodes rotates among
the hosts. A host that can't reach a child pushes to the child's children instead.
"""

from collections.abc import Callable, Sequence

import trio
import xxhash

from pepperstep.errors import Failure
from pepperstep.ports import PeerNetwork
from pepperstep.proto.configuration_pb2 import ConfigurationPush

__all__ = ["PushTree"]

_MAX_CHILDREN = 4
_MAX_ATTEMPTS = 3
_CALL_TIMEOUT_SECONDS = 0.3

_ROOT = -1


class PushTree:
    """Pushes revisions from one host; `hosts` returns the names in the tree."""

    def __init__(
        self, name: str, network: PeerNetwork, hosts: Callable[[], Sequence[str]]
    ):
        self._name = name
        self._network = network
        self._hosts = hosts
        self._forwarded_revision = 0

    def start_from_root(self, nursery: trio.Nursery, push: ConfigurationPush) -> None:
        """Push to the top level of the tree."""
        order = self._order(push.update.revision)
        self._push_to_children(nursery, order, _ROOT, push)

    def start_forwarding(self, nursery: trio.Nursery, push: ConfigurationPush) -> None:
        """Push to this host's children, once per revision."""
        revision = push.update.revision
        if revision <= self._forwarded_revision:
            return
        self._forwarded_revision = revision
        order = self._order(revision)
        if self._name in order:
            self._push_to_children(nursery, order, order.index(self._name), push)

    def _order(self, revision: int) -> list[str]:
        def position(name: str) -> int:
            return xxhash.xxh3_64_intdigest(name.encode(), revision)

        return sorted(self._hosts(), key=position)

    def _push_to_children(
        self,
        nursery: trio.Nursery,
        order: list[str],
        position: int,
        push: ConfigurationPush,
    ) -> None:
        first = _MAX_CHILDREN * (position + 1)
        for child in range(first, min(first + _MAX_CHILDREN, len(order))):
            nursery.start_soon(self._push_to, nursery, order, child, push)

    async def _push_to(
        self,
        nursery: trio.Nursery,
        order: list[str],
        position: int,
        push: ConfigurationPush,
    ) -> None:
        for _ in range(_MAX_ATTEMPTS):
            try:
                await self._network.call(order[position], push, _CALL_TIMEOUT_SECONDS)
            except Failure:
                continue
            return
        self._push_to_children(nursery, order, position, push)
