"""Claims that allow non-repeatable requests to run at most once."""

from typing import Protocol

import msgspec

from pepperstep.claims import Claim, ClaimAnswer, ClaimOutcome, OutcomeKind
from pepperstep.entities import Outcome, Request
from pepperstep.errors import Code, Execution, Failure

__all__ = ["ClaimRegistry", "NoClaims", "RecordedAnswer", "claim_key", "claim_outcome"]

_NOT_RUN = ClaimOutcome(OutcomeKind.NOT_RUN)


class ClaimRegistry(Protocol):
    """Claims committed by a quorum (see `pepperstep.claims.Claims`)."""

    async def claim(
        self,
        workspace: str,
        key: str,
        request_id: str,
        fingerprint: str,
        timeout: float,
        epoch: int = 1,
        release: ClaimOutcome = _NOT_RUN,
    ) -> ClaimAnswer:
        """Return who holds the claim; raise `Failure` if that isn't known."""

    async def finish(self, claim: Claim, outcome: ClaimOutcome, timeout: float) -> bool:
        """Record how the claim's request ended."""


class NoClaims:
    """Registry of a host without a replicated log, which grants no claims."""

    async def claim(
        self,
        workspace: str,
        key: str,
        request_id: str,
        fingerprint: str,
        timeout: float,
        epoch: int = 1,
        release: ClaimOutcome = _NOT_RUN,
    ) -> ClaimAnswer:
        """Raise `Failure` with `NO_QUORUM`."""
        raise Failure(Code.NO_QUORUM, "This host keeps no claims.")

    async def finish(self, claim: Claim, outcome: ClaimOutcome, timeout: float) -> bool:
        """Return False."""
        return False


class RecordedAnswer(msgspec.Struct, frozen=True):
    """Tokens and outcome of an answered request, as stored in its claim."""

    tokens: list[str]
    outcome: Outcome

    @classmethod
    def from_claim(cls, claim: Claim) -> "RecordedAnswer":
        """Return the answer that a finished claim contains."""
        if claim.outcome.answer:
            return msgspec.json.decode(claim.outcome.answer, type=cls)
        text = "A request with this key may have run; there is no answer."
        if claim.outcome.kind is OutcomeKind.ANSWERED:
            text = "A request with this key was answered; the answer is too long."
        execution = Execution.MAY_HAVE_RUN
        outcome = Outcome(code=Code.MAY_HAVE_RUN, text=text, execution=execution)
        return cls([], outcome)


def claim_key(request: Request) -> str:
    """Return the key under which a non-repeatable request is claimed."""
    return request.idempotency_key or request.id


def claim_outcome(tokens: list[str], outcome: Outcome) -> ClaimOutcome:
    """Return the outcome to store in the claim of a request that has ended."""
    if outcome.is_answered:
        return ClaimOutcome.from_answer(
            msgspec.json.encode(RecordedAnswer(tokens, outcome))
        )
    if outcome.execution is Execution.NOT_RUN:
        return _NOT_RUN
    return ClaimOutcome(OutcomeKind.MAY_HAVE_RUN)
