"""Replicated log of the control hosts, based on Raft."""

from pepperstep.consensus.node import Consensus
from pepperstep.consensus.remote import RemoteAgreement
from pepperstep.consensus.status import MemberStatus, Status
from pepperstep.consensus.tuning import Tuning

__all__ = ["Consensus", "MemberStatus", "RemoteAgreement", "Status", "Tuning"]
