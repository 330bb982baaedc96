"""Claims, their outcomes and fences, as the jobs see them."""

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

# Answers up to this size are kept with the claim, of others the hash.
MAX_INLINE_BYTES = 4096


class ClaimStatus(enum.StrEnum):
    """How a claim ended."""

    # The owner, and nobody else, may send the request to an upstream.
    GRANTED = "granted"
    # Another claim holds the key; its outcome may be known.
    HELD = "held"
    # The key was used for a request with other content.
    CONFLICT = "conflict"
    # The claim was given up before it was committed; nothing was sent.
    RELEASED = "released"
    # The claim came after its own time to live; nothing was sent.
    EXPIRED = "expired"
    # The owner is fenced; its requests belong to other hosts.
    FENCED = "fenced"
    # No room for more claims.
    FULL = "full"


class OutcomeKind(enum.StrEnum):
    """What is known of a claimed request that has ended."""

    ANSWERED = "answered"
    MAY_HAVE_RUN = "may_have_run"
    # Nothing was sent, which frees the key.
    NOT_RUN = "not_run"


class FenceStatus(enum.StrEnum):
    """How a join or a fence ended."""

    # The incarnation is given out.
    JOINED = "joined"
    # The host is fenced by the sender, now or by an earlier call.
    FENCED = "fenced"
    # Another host fenced it first.
    LOST = "lost"
    # The sender itself is fenced.
    REFUSED = "refused"
    # The incarnation was never given out.
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class HostIdentity:
    """One life of a host; the log gives out its incarnation."""

    host: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class ClaimOutcome:
    """How a claimed request ended."""

    kind: OutcomeKind
    # Empty if it was longer than MAX_INLINE_BYTES.
    answer: bytes = b""
    # SHA-256 of the answer.
    digest: bytes = b""

    @classmethod
    def from_answer(cls, answer: bytes) -> "ClaimOutcome":
        """Return the outcome of an answered request."""
        kept = answer if len(answer) <= MAX_INLINE_BYTES else b""
        return cls(OutcomeKind.ANSWERED, kept, hashlib.sha256(answer).digest())


@dataclass(frozen=True, slots=True)
class Claim:
    """One attempt to run a request, which names its owner."""

    workspace: str
    key: str
    claim_id: str
    request_id: str
    owner: HostIdentity
    fingerprint: str
    # Unix times in seconds.
    claimed_at: float
    expires_at: float
    # None while it's open.
    outcome: ClaimOutcome | None = None
    # Grows by one each time that another host takes the request over.
    epoch: int = 1

    @classmethod
    def from_record(cls, record: claims_pb2.ClaimRecord) -> "Claim":
        """Return the claim that a record holds."""
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
        """Return the record of an open claim."""
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
    """Whether a claim is granted, and who holds the key if not."""

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
    """How a fence ended, and who fenced the host."""

    status: FenceStatus
    fenced_by: HostIdentity

    @property
    def is_won(self) -> bool:
        """Whether it was the caller that fenced the host."""
        return self.status == FenceStatus.FENCED
