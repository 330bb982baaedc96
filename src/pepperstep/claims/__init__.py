"""Claims for running a request at most once, granted through the replicated log."""

from pepperstep.claims.client import Claims
from pepperstep.claims.fences import Fences, HostFenceMachine
from pepperstep.claims.machine import MACHINE_NAME, ClaimMachine
from pepperstep.claims.records import (
    MAX_INLINE_BYTES,
    Claim,
    ClaimAnswer,
    ClaimOutcome,
    ClaimStatus,
    FenceAnswer,
    FenceStatus,
    HostIdentity,
    OutcomeKind,
)

__all__ = [
    "MACHINE_NAME",
    "MAX_INLINE_BYTES",
    "Claim",
    "ClaimAnswer",
    "ClaimMachine",
    "ClaimOutcome",
    "ClaimStatus",
    "Claims",
    "FenceAnswer",
    "FenceStatus",
    "Fences",
    "HostFenceMachine",
    "HostIdentity",
    "OutcomeKind",
]
