"""Client for the claims of one host, which sends them to the log in batches.

If a refusal, a timeout or a cancellation keeps the caller from receiving a grant,
its claim is released. The release is sent until it is committed, and it prevents a
later grant even if it is committed before the claim.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import trio
from absl import logging

from pepperstep.claims.machine import MACHINE_NAME
from pepperstep.claims.records import (
    Claim,
    ClaimAnswer,
    ClaimOutcome,
    ClaimStatus,
    HostIdentity,
    OutcomeKind,
)
from pepperstep.errors import Code, Failure
from pepperstep.ports import Agreement, Timers
from pepperstep.proto import claims_pb2

__all__ = ["Claims"]

_MAX_BATCH_ITEMS = 256
_PROPOSE_TIMEOUT_SECONDS = 2.0
_RETRY_DELAY_SECONDS = 0.1
_FULL_RETRY_AFTER_SECONDS = 60.0

_NOT_RUN = ClaimOutcome(OutcomeKind.NOT_RUN)

# Results after which a claim can no longer be granted.
_TERMINAL_STATUSES = (ClaimStatus.RELEASED, ClaimStatus.EXPIRED, ClaimStatus.FENCED)


@dataclass(slots=True, eq=False)
class _PendingClaim:
    """A claim that awaits its result."""

    claim: Claim
    # Recorded for the key if the claim is given up after it was granted.
    release: ClaimOutcome
    done: trio.Event = field(default_factory=trio.Event)
    # Whether the claim was sent, so that it may be committed.
    is_sent: bool = False
    result: claims_pb2.ClaimResult | None = None


@dataclass(slots=True, eq=False)
class _PendingFinish:
    """A finish that isn't known to be committed yet."""

    message: claims_pb2.FinishClaim
    done: trio.Event = field(default_factory=trio.Event)


class Claims:
    """Client for claims and finishes of one host, which `run` sends to the log."""

    def __init__(
        self,
        identity: Callable[[], HostIdentity],
        agreement: Agreement,
        timers: Timers,
        claim_seconds: Callable[[], float],
    ):
        self._identity = identity
        self._agreement = agreement
        self._timers = timers
        self._claim_seconds = claim_seconds
        self._claim_count = 0
        self._claims: dict[str, _PendingClaim] = {}
        self._finishes: deque[_PendingFinish] = deque()
        self._arrived = trio.Event()

    @classmethod
    def from_config(
        cls,
        identity: Callable[[], HostIdentity],
        agreement: Agreement,
        timers: Timers,
        claim_seconds: Callable[[], float],
    ) -> "Claims":
        """Return the client of a host.

        `identity` returns the host's current identity, see `Fences.join`.
        `claim_seconds` returns the time to live of a claim.
        """
        return cls(identity, agreement, timers, claim_seconds)

    @property
    def uncommitted_finish_count(self) -> int:
        """Number of finishes that aren't known to be committed yet."""
        return len(self._finishes)

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
        """Claim the right to send a request and return the committed answer.

        A host that takes over a request claims it with a higher `epoch`, which
        replaces the open claim of the previous owner. If that owner may have sent
        the request, `release` says so: giving up this claim must not free the key.

        A granted claim must be ended by `finish`, with `NOT_RUN` if the request
        isn't sent. Raise `Failure` if the request must not be sent and didn't
        run: with `NO_QUORUM` after `timeout` seconds, with `FENCED`, or with
        `OVERLOADED` if there are too many claims.
        """
        pending = _PendingClaim(
            self._new_claim(workspace, key, request_id, fingerprint, epoch), release
        )
        self._claims[pending.claim.claim_id] = pending
        self._arrived.set()
        is_granted = False
        try:
            with self._timers.move_on_after(timeout):
                await pending.done.wait()
            answer = _to_answer(pending)
            is_granted = answer.is_granted
        finally:
            self._claims.pop(pending.claim.claim_id, None)
            if not is_granted:
                self._release(pending)
        return answer

    async def finish(self, claim: Claim, outcome: ClaimOutcome, timeout: float) -> bool:
        """Record the outcome of a claimed request; return whether it is committed.

        After `timeout` seconds, sending continues in the background. Only the
        first outcome counts, but `MAY_HAVE_RUN` may be replaced by a later one.
        """
        pending = self._queue_finish(claim, outcome)
        with self._timers.move_on_after(timeout):
            await pending.done.wait()
        return pending.done.is_set()

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Send batches until cancelled."""
        task_status.started()
        while True:
            if not self._claims and not self._finishes:
                self._arrived = trio.Event()
                await self._arrived.wait()
            try:
                await self._send_batch()
            except Failure as failure:
                logging.warning("claims: Batch was not committed: %s", failure.text)
                await self._timers.sleep(_RETRY_DELAY_SECONDS)

    async def _send_batch(self) -> None:
        self._drop_expired()
        finishes = list(self._finishes)[:_MAX_BATCH_ITEMS]
        claims: list[_PendingClaim] = []
        # A claim must not be committed before the release of an earlier claim of
        # this host, so claims wait until all finishes fit into the batch.
        if len(finishes) == len(self._finishes):
            claims = list(self._claims.values())[:_MAX_BATCH_ITEMS]
        if not finishes and not claims:
            return
        for pending in claims:
            pending.is_sent = True
        batch = claims_pb2.ClaimBatch(
            sent_at=self._timers.wall(),
            finishes=[pending.message for pending in finishes],
            claims=[pending.claim.to_record() for pending in claims],
        )
        command = claims_pb2.ClaimsCommand(batch=batch).SerializeToString()
        data = await self._agreement.propose(
            MACHINE_NAME, command, _PROPOSE_TIMEOUT_SECONDS
        )
        self._set_results(
            claims, finishes, claims_pb2.ClaimBatchResult.FromString(data)
        )

    def _set_results(
        self,
        claims: list[_PendingClaim],
        finishes: list[_PendingFinish],
        result: claims_pb2.ClaimBatchResult,
    ) -> None:
        for finished in finishes:
            finished.done.set()
            self._finishes.remove(finished)
        for pending, each in zip(claims, result.results, strict=True):
            pending.result = each
            pending.done.set()
            self._claims.pop(pending.claim.claim_id, None)

    def _new_claim(
        self, workspace: str, key: str, request_id: str, fingerprint: str, epoch: int
    ) -> Claim:
        owner = self._identity()
        if not owner.incarnation:
            raise Failure(Code.NOT_READY, "This host hasn't joined the log yet.")
        self._claim_count += 1
        now = self._timers.wall()
        return Claim(
            workspace=workspace,
            key=key,
            # Unique, since each start of a host gets a new incarnation.
            claim_id=f"{owner.host}.{owner.incarnation}.{self._claim_count}",
            request_id=request_id,
            owner=owner,
            fingerprint=fingerprint,
            claimed_at=now,
            expires_at=now + self._claim_seconds(),
            epoch=epoch,
        )

    def _release(self, pending: _PendingClaim) -> None:
        """Give the claim up; one given up as not run can't be granted later."""
        if not pending.is_sent:
            return
        status = None if pending.result is None else pending.result.status
        if status in (None, ClaimStatus.GRANTED):
            self._queue_finish(pending.claim, pending.release)
        elif status not in _TERMINAL_STATUSES:
            # A refused claim replaced no other, but could still be granted if it is
            # committed twice.
            self._queue_finish(pending.claim, _NOT_RUN)

    def _queue_finish(self, claim: Claim, outcome: ClaimOutcome) -> _PendingFinish:
        sender = self._identity()
        message = claims_pb2.FinishClaim(
            workspace=claim.workspace,
            key=claim.key,
            claim_id=claim.claim_id,
            sender=sender.host,
            incarnation=sender.incarnation,
            outcome=claims_pb2.ClaimOutcome(
                kind=outcome.kind, answer=outcome.answer, digest=outcome.digest
            ),
            expires_at=claim.expires_at,
        )
        pending = _PendingFinish(message)
        self._finishes.append(pending)
        self._arrived.set()
        return pending

    def _drop_expired(self) -> None:
        now = self._timers.wall()
        while self._finishes and self._finishes[0].message.expires_at <= now:
            self._finishes.popleft()


def _to_answer(pending: _PendingClaim) -> ClaimAnswer:
    if pending.result is None:
        raise Failure(Code.NO_QUORUM, "No quorum agrees that the request may run.")
    status = ClaimStatus(pending.result.status)
    if status == ClaimStatus.FENCED:
        text = "This host is fenced, its requests are taken over."
        raise Failure(Code.FENCED, text)
    if status == ClaimStatus.FULL:
        text = "No more claims can be kept."
        raise Failure(Code.OVERLOADED, text, retry_after=_FULL_RETRY_AFTER_SECONDS)
    if status in _TERMINAL_STATUSES:
        raise Failure(Code.NO_QUORUM, "The claim came too late.")
    return ClaimAnswer(status, Claim.from_record(pending.result.record))
