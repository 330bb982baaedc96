"""State machine of the claims: at most one for each key until it expires.

The machine's clock is the latest time that a command has carried. The id of a
released claim is kept until the claim expires, so that a late or repeated commit
of its command can't grant it.
"""

import heapq

from google.protobuf.message import DecodeError

from pepperstep.claims.fences import HostFenceMachine
from pepperstep.claims.records import ClaimStatus, OutcomeKind
from pepperstep.errors import Code, Failure
from pepperstep.proto.claims_pb2 import (
    ClaimBatch,
    ClaimBatchResult,
    ClaimRecord,
    ClaimResult,
    ClaimsCommand,
    ClaimsState,
    FenceResult,
    FinishClaim,
    ReleasedClaim,
)

__all__ = ["MACHINE_NAME", "ClaimMachine"]

# Name of the state machine in the log.
MACHINE_NAME = "claims"

# Limit of claims and released ids together; each takes about half a kilobyte.
_MAX_CLAIMS = 500_000

_ClaimKey = tuple[str, str]


class ClaimMachine:
    """State machine of the claims and fences on a control host."""

    def __init__(self) -> None:
        self._fences = HostFenceMachine()
        self._clear()

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a `ClaimsCommand` and return the result for its kind."""
        try:
            message = ClaimsCommand.FromString(command)
        except DecodeError:
            return b""
        match message.WhichOneof("kind"):
            case "batch":
                result = self._apply_batch(message.batch)
            case "join":
                result = self._fences.join(message.join)
            case "fence":
                result = self._fences.fence(message.fence)
            case _:
                result = FenceResult()
        return result.SerializeToString()

    def snapshot(self) -> bytes:
        """Return the state as a serialized `ClaimsState`."""
        state = ClaimsState(clock=self._clock, fences=self._fences.snapshot())
        state.claims.extend(self._claims[key] for key in sorted(self._claims))
        for claim_id, expires_at in sorted(self._released.items()):
            released = ReleasedClaim(claim_id=claim_id, expires_at=expires_at)
            state.released.append(released)
        return state.SerializeToString()

    def restore(self, data: bytes) -> None:
        """Replace the state by a snapshot; raise `Failure` if it is damaged."""
        try:
            state = ClaimsState.FromString(data)
        except DecodeError as error:
            text = "The claims' snapshot can't be read."
            raise Failure(Code.CORRUPT_STORAGE, text) from error
        self._clear()
        self._clock = state.clock
        self._fences.restore(state.fences)
        for record in state.claims:
            self._store(record)
        for released in state.released:
            self._release(released.claim_id, released.expires_at)

    def _clear(self) -> None:
        self._clock = 0.0
        self._claims: dict[_ClaimKey, ClaimRecord] = {}
        # Expiration times of released claims by claim id.
        self._released: dict[str, float] = {}
        self._claim_expirations: list[tuple[float, _ClaimKey]] = []
        self._release_expirations: list[tuple[float, str]] = []

    def _apply_batch(self, batch: ClaimBatch) -> ClaimBatchResult:
        self._clock = max(self._clock, batch.sent_at)
        self._prune()
        for finish in batch.finishes:
            self._finish(finish)
        results = [self._claim(record) for record in batch.claims]
        return ClaimBatchResult(results=results)

    def _claim(self, record: ClaimRecord) -> ClaimResult:
        if record.expires_at <= self._clock:
            return ClaimResult(status=ClaimStatus.EXPIRED)
        if record.claim_id in self._released:
            return ClaimResult(status=ClaimStatus.RELEASED)
        holder = self._claims.get((record.workspace, record.key))
        if holder is None:
            return self._grant(record)
        if holder.fingerprint != record.fingerprint:
            return ClaimResult(status=ClaimStatus.CONFLICT, record=holder)
        if holder.claim_id == record.claim_id and not holder.HasField("outcome"):
            return self._grant(record)
        if _is_takeover(record, holder) and not self._is_fenced(record):
            del self._claims[record.workspace, record.key]
            self._release(holder.claim_id, holder.expires_at)
            return self._grant(record)
        return ClaimResult(status=ClaimStatus.HELD, record=holder)

    def _grant(self, record: ClaimRecord) -> ClaimResult:
        if self._is_fenced(record):
            return ClaimResult(status=ClaimStatus.FENCED)
        key = (record.workspace, record.key)
        if key not in self._claims:
            if len(self._claims) + len(self._released) >= _MAX_CLAIMS:
                return ClaimResult(status=ClaimStatus.FULL)
            self._store(record)
        return ClaimResult(status=ClaimStatus.GRANTED, record=self._claims[key])

    def _is_fenced(self, record: ClaimRecord) -> bool:
        return self._fences.is_fenced(record.owner, record.incarnation)

    def _finish(self, finish: FinishClaim) -> None:
        if finish.expires_at <= self._clock:
            return
        key = (finish.workspace, finish.key)
        holder = self._claims.get(key)
        is_holder = holder is not None and holder.claim_id == finish.claim_id
        if finish.outcome.kind == OutcomeKind.NOT_RUN:
            # Only the owner knows that the request was not sent.
            if is_holder and _is_releasable(holder, finish):
                del self._claims[key]
            if not is_holder or key not in self._claims:
                self._release(finish.claim_id, finish.expires_at)
        elif is_holder and _is_outcome_open(holder):
            holder.outcome.CopyFrom(finish.outcome)

    def _store(self, record: ClaimRecord) -> None:
        kept = ClaimRecord()
        kept.CopyFrom(record)
        key = (record.workspace, record.key)
        self._claims[key] = kept
        heapq.heappush(self._claim_expirations, (record.expires_at, key))

    def _release(self, claim_id: str, expires_at: float) -> None:
        if claim_id not in self._released:
            self._released[claim_id] = expires_at
            heapq.heappush(self._release_expirations, (expires_at, claim_id))

    def _prune(self) -> None:
        while self._claim_expirations and self._claim_expirations[0][0] <= self._clock:
            _, key = heapq.heappop(self._claim_expirations)
            record = self._claims.get(key)
            # The key may already belong to a later claim.
            if record is not None and record.expires_at <= self._clock:
                del self._claims[key]
        while (
            self._release_expirations and self._release_expirations[0][0] <= self._clock
        ):
            _, claim_id = heapq.heappop(self._release_expirations)
            self._released.pop(claim_id, None)


def _is_takeover(record: ClaimRecord, holder: ClaimRecord) -> bool:
    """Whether a new owner of the holder's request replaces its open claim."""
    is_same = record.request_id == holder.request_id
    is_open = not holder.HasField("outcome")
    return is_same and is_open and record.epoch > holder.epoch


def _is_outcome_open(record: ClaimRecord) -> bool:
    """Whether an outcome may be recorded: there is none or it is `MAY_HAVE_RUN`."""
    is_open = not record.HasField("outcome")
    return is_open or record.outcome.kind == OutcomeKind.MAY_HAVE_RUN


def _is_releasable(record: ClaimRecord, finish: FinishClaim) -> bool:
    sender = (finish.sender, finish.incarnation)
    return _is_outcome_open(record) and sender == (record.owner, record.incarnation)
