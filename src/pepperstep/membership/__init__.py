"""Membership of the hosts that run the daemon, and the registry of upstreams."""

from pepperstep.membership.members import Member, MemberChange, MemberState
from pepperstep.membership.membership import Membership, Seed
from pepperstep.membership.registry import Lease, UpstreamChange, UpstreamRegistry
from pepperstep.membership.settings import MembershipSettings, RegistrySettings
from pepperstep.membership.subset import choose_routers, routing_subset

__all__ = [
    "Lease",
    "Member",
    "MemberChange",
    "MemberState",
    "Membership",
    "MembershipSettings",
    "RegistrySettings",
    "Seed",
    "UpstreamChange",
    "UpstreamRegistry",
    "choose_routers",
    "routing_subset",
]
