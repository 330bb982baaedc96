"""Claims on quotas that little is left of, granted by one host for all.

A host's own part of a quota tells little where many hosts share it: callers' requests
come to hosts unevenly, so one host refuses what another one's part has room for. So
what is left of a workspace's quota is granted by one host, which all find by hashes.
A claim is asked for once, as it may have been granted though no answer came.
"""

from collections.abc import Callable, Sequence
from dataclasses import replace

import xxhash
from absl import logging

from pepperstep.errors import Failure
from pepperstep.ports import PeerNetwork, Timers
from pepperstep.proto import coordination_pb2 as pb
from pepperstep.relay.quotas import Admission, Quotas

__all__ = ["QuotaClaims"]

# Time that the granting host has for its answer while a request waits, in seconds.
_CLAIM_SECONDS = 0.05
# Time for which a host that didn't answer is asked nothing, in seconds.
_REST_SECONDS = 2.0


class QuotaClaims:
    """Claims of this host, and its grants to others.

    `keepers` gives the hosts that may grant, the same ones on all hosts.
    """

    def __init__(
        self,
        name: str,
        network: PeerNetwork,
        timers: Timers,
        quotas: Quotas,
        keepers: Callable[[], Sequence[str]],
    ):
        self._name = name
        self._network = network
        self._timers = timers
        self._quotas = quotas
        self._keepers = keepers
        self._resting: dict[str, float] = {}
        network.handle(pb.QuotaClaim, self._on_claim)

    async def claim(self, workspace: str, cost: float) -> Admission | None:
        """Return whether `cost` is granted.

        None where the host that grants doesn't answer or can't tell.
        """
        keeper = self._keeper_of(workspace)
        if keeper is None or self._resting.get(keeper, 0.0) > self._timers.now():
            return None
        if keeper == self._name:
            own = self._quotas.grant(workspace, cost, is_own=True)
            return None if own is None else replace(own, asked=self._name)
        message = pb.QuotaClaim(workspace=workspace, cost=cost)
        try:
            reply = await self._network.call_single(keeper, message, _CLAIM_SECONDS)
        except Failure as failure:
            logging.info("quotas: %s grants nothing: %s", keeper, failure.text)
            self._resting[keeper] = self._timers.now() + _REST_SECONDS
            return None
        if not reply.is_known:
            return None
        return Admission(reply.wait, keeper, reply.left)

    def _keeper_of(self, workspace: str) -> str | None:
        def rank(keeper: str) -> int:
            return xxhash.xxh64_intdigest(f"{keeper}/{workspace}".encode())

        return min(self._keepers(), key=rank, default=None)

    async def _on_claim(
        self, message: pb.QuotaClaim, sender: str
    ) -> pb.QuotaClaimReply:
        grant = self._quotas.grant(message.workspace, message.cost, is_own=False)
        if grant is None:
            return pb.QuotaClaimReply()
        return pb.QuotaClaimReply(is_known=True, wait=grant.wait, left=grant.left)
