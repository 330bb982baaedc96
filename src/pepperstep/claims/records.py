"""Values of the claims and fences clients."""

import enum
import hashlib
from dataclasses import dataclass

from pepperstep.proto import claims_pb2

__all__ = [
    "MAX_INLINE_BYTES",
    "Claim",
    "ClaimAnswer",
    "ClaimOutcome",
    "ClaimStatus",
    "FenceAnswer",
    "FenceStatus",
    "HostIdentity",
    "OutcomeKind",
]

# Answers up to this size are stored with the claim; longer ones only as a hash.
MAX_INLINE_BYTES = 4096


class ClaimStatus(enum.StrEnum):
    """Result of a claim."""

    # Only the owner may send the request to an upstream.
    GRANTED = "granted"
    # Another claim holds the key; its outcome may already be recorded.
    HELD = "held"
    # The key was used for a request with different content.
    CONFLICT = "conflict"
    # The claim was released before it was committed; the request was not sent.
    RELEASED = "released"
    # The claim was committed after it had expired; the request was not sent.
    EXPIRED = "expired"
    # The owner is fenced; other hosts take over its requests.
    FENCED = "fenced"
    # There are too many claims.
    FULL = "full"


class OutcomeKind(enum.StrEnum):
    """Outcome of a claimed request."""

    ANSWERED = "answered"
    MAY_HAVE_RUN = "may_have_run"
    # The request was not sent; the key is free again.
    NOT_RUN = "not_run"


class FenceStatus(enum.StrEnum):
    """Result of a join or a fence."""

    # The incarnation was issued.
    JOINED = "joined"
    # The sender fenced the host, by this or an earlier call.
    FENCED = "fenced"
    # Another host fenced the host first.
    LOST = "lost"
    # The sender itself is fenced.
    REFUSED = "refused"
    # The incarnation was never issued.
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class HostIdentity:
    """One start of a host, identified by an incarnation that the log issues."""

    host: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class ClaimOutcome:
    """Outcome of a claimed request, with its answer if it is short."""

    kind: OutcomeKind
    # Empty if the answer was longer than MAX_INLINE_BYTES.
    answer: bytes = b""
    # SHA-256 hash of the answer.
    digest: bytes = b""

    @classmethod
    def from_answer(cls, answer: bytes) -> "ClaimOutcome":
        """Return the outcome of an answered request."""
        kept = answer if len(answer) <= MAX_INLINE_BYTES else b""
        return cls(OutcomeKind.ANSWERED, kept, hashlib.sha256(answer).digest())


@dataclass(frozen=True, slots=True)
class Claim:
    """The right of one owner to run a request."""

    workspace: str
    key: str
    claim_id: str
    request_id: str
    owner: HostIdentity
    fingerprint: str
    # Unix times in seconds.
    claimed_at: float
    expires_at: float
    # None until an outcome is recorded.
    outcome: ClaimOutcome | None = None
    # Incremented whenever another host takes over the request.
    epoch: int = 1

    @classmethod
    def from_record(cls, record: claims_pb2.ClaimRecord) -> "Claim":
        """Return the claim in `record`."""
        outcome = None
        if record.HasField("outcome"):
            kind = OutcomeKind(record.outcome.kind)
            outcome = ClaimOutcome(kind, record.outcome.answer, record.outcome.digest)
        return cls(
            workspace=record.workspace,
            key=record.key,
            claim_id=record.claim_id,
            request_id=record.request_id,
            owner=HostIdentity(record.owner, record.incarnation),
            fingerprint=record.fingerprint,
            claimed_at=record.claimed_at,
            expires_at=record.expires_at,
            outcome=outcome,
            epoch=record.epoch,
        )

    def to_record(self) -> claims_pb2.ClaimRecord:
        """Return the record of this claim, without its outcome."""
        return claims_pb2.ClaimRecord(
            workspace=self.workspace,
            key=self.key,
            claim_id=self.claim_id,
            request_id=self.request_id,
            owner=self.owner.host,
            incarnation=self.owner.incarnation,
            fingerprint=self.fingerprint,
            claimed_at=self.claimed_at,
            expires_at=self.expires_at,
            epoch=self.epoch,
        )


@dataclass(frozen=True, slots=True)
class ClaimAnswer:
    """Result of a claim and the claim that holds the key."""

    # GRANTED, HELD or CONFLICT.
    status: ClaimStatus
    # The granted claim, or the one that holds the key.
    claim: Claim

    @property
    def is_granted(self) -> bool:
        """Whether the owner may send the request now."""
        return self.status == ClaimStatus.GRANTED


@dataclass(frozen=True, slots=True)
class FenceAnswer:
    """Result of a fence and the host that won it."""

    status: FenceStatus
    fenced_by: HostIdentity

    @property
    def is_won(self) -> bool:
        """Whether the caller fenced the host."""
        return self.status == FenceStatus.FENCED
