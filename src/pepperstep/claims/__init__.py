"""Claims: who may run a request that must not run twice, agreed by a quorum."""

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
