"""Claims on nearly exhausted quotas, granted by one host for all.

If each of many hosts kept to its share of a quota, uneven traffic would make one host
refuse requests while another host's share has tokens left. Therefore one host, the
workspace's owner, grants the remaining tokens to all. A claim is never repeated, as it
may have been granted although no answer arrived.
"""

from dataclasses import replace

from pepperstep.ports import PeerNetwork
from pepperstep.proto import coordination_pb2 as pb
from pepperstep.relay.keepers import KeyOwners
from pepperstep.relay.quotas import Admission, Quotas

__all__ = ["QuotaClaims"]

# Timeout of a claim, during which a request waits.
_CLAIM_TIMEOUT_SECONDS = 0.05


class QuotaClaims:
    """Claims quota for this host and grants claims of other hosts."""

    def __init__(self, owners: KeyOwners, network: PeerNetwork, quotas: Quotas):
        self._owners = owners
        self._quotas = quotas
        network.handle(pb.QuotaClaim, self._on_claim)

    async def claim(self, workspace: str, cost: float) -> Admission | None:
        """Return the owner's decision on charging `cost` to a workspace's quota.

        Return None if the owner doesn't answer or can't decide.
        """
        owner = self._owners.owner_of(workspace)
        if owner is None:
            return None
        if owner == self._owners.own_name:
            local_grant = self._quotas.grant(workspace, cost, is_own=True)
            return None if local_grant is None else replace(local_grant, asked=owner)
        message = pb.QuotaClaim(workspace=workspace, cost=cost)
        reply = await self._owners.ask(owner, message, _CLAIM_TIMEOUT_SECONDS)
        if reply is None or not reply.is_known:
            return None
        return Admission(reply.wait, owner, reply.left)

    async def _on_claim(
        self, message: pb.QuotaClaim, sender: str
    ) -> pb.QuotaClaimReply:
        grant = self._quotas.grant(message.workspace, message.cost, is_own=False)
        if grant is None:
            return pb.QuotaClaimReply()
        return pb.QuotaClaimReply(is_known=True, wait=grant.wait, left=grant.left)
