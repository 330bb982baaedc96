"""Hosts that run the daemon, and upstreams that have announced themselves."""

from pepperstep.membership.members import Member, MemberChange, MemberState
from pepperstep.membership.membership import Membership, Seed
from pepperstep.membership.settings import MembershipSettings, RegistrySettings

__all__ = [
    "Member",
    "MemberChange",
    "MemberState",
    "Membership",
    "MembershipSettings",
    "RegistrySettings",
    "Seed",
]
