"""Claims on quotas that little is left of, granted by one host for all.

A host's own part of a quota tells little where many hosts share it: callers' requests
come to hosts unevenly, so one host refuses what another one's part has room for. So
what is left of a workspace's quota is granted by one host for all.
A claim is asked for once, as it may have been granted though no answer came.
"""

from dataclasses import replace

from pepperstep.ports import PeerNetwork
from pepperstep.proto import coordination_pb2 as pb
from pepperstep.relay.keepers import KeyOwners
from pepperstep.relay.quotas import Admission, Quotas

__all__ = ["QuotaClaims"]

# Time that the granting host has for its answer while a request waits, in seconds.
_CLAIM_SECONDS = 0.05


class QuotaClaims:
    """Claims of this host, and its grants to others."""

    def __init__(self, keepers: KeyOwners, network: PeerNetwork, quotas: Quotas):
        self._keepers = keepers
        self._quotas = quotas
        network.handle(pb.QuotaClaim, self._on_claim)

    async def claim(self, workspace: str, cost: float) -> Admission | None:
        """Return whether `cost` is granted.

        None where the host that grants doesn't answer or can't tell.
        """
        keeper = self._keepers.keeper_of(workspace)
        if keeper is None:
            return None
        if keeper == self._keepers.own_name:
            own = self._quotas.grant(workspace, cost, is_own=True)
            return None if own is None else replace(own, asked=keeper)
        message = pb.QuotaClaim(workspace=workspace, cost=cost)
        reply = await self._keepers.ask(keeper, message, _CLAIM_SECONDS)
        if reply is None or not reply.is_known:
            return None
        return Admission(reply.wait, keeper, reply.left)

    async def _on_claim(
        self, message: pb.QuotaClaim, sender: str
    ) -> pb.QuotaClaimReply:
        grant = self._quotas.grant(message.workspace, message.cost, is_own=False)
        if grant is None:
            return pb.QuotaClaimReply()
        return pb.QuotaClaimReply(is_known=True, wait=grant.wait, left=grant.left)
