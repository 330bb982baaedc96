"""One host's claims, sent to the log in batches.

A claim that isn't granted to a caller that takes it is given up for good: its
release goes to the log until it's committed, before or after the claim itself.
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

_MAX_BATCH = 256
_PROPOSE_SECONDS = 2.0
_RETRY_SECONDS = 0.1
_FULL_RETRY_SECONDS = 60.0

# Results after which the claim can't be granted any more.
_FINAL = (ClaimStatus.RELEASED, ClaimStatus.EXPIRED, ClaimStatus.FENCED)


@dataclass(slots=True, eq=False)
class _PendingClaim:
    """A claim whose result is awaited."""

    claim: Claim
    done: trio.Event = field(default_factory=trio.Event)
    # Whether it may be committed.
    is_sent: bool = False
    result: claims_pb2.ClaimResult | None = None


@dataclass(slots=True, eq=False)
class _PendingFinish:
    """A finish that isn't known to be committed."""

    message: claims_pb2.FinishClaim
    done: trio.Event = field(default_factory=trio.Event)


class Claims:
    """Claims and finishes of one host; `run` sends them."""

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
        self._count = 0
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
        """Return the claims of a host.

        `identity` tells this life of the host, which has joined the log's
        fences. `claim_seconds` is the time to live of a claim.
        """
        return cls(identity, agreement, timers, claim_seconds)

    @property
    def unfinished(self) -> int:
        """Finishes that aren't known to be committed."""
        return len(self._finishes)

    async def claim(
        self,
        workspace: str,
        key: str,
        request_id: str,
        fingerprint: str,
        timeout: float,
        epoch: int = 1,
    ) -> ClaimAnswer:
        """Return whether this host may send the request, once that's committed.

        A host that has taken a request over claims it anew with a higher `epoch`,
        which ends the open claim of the host before it.

        Who gets a grant must end it by `finish`, with `NOT_RUN` if it sends
        nothing. Raise `Failure`, after which the request must not be sent and
        did not run: with `NO_QUORUM` after `timeout` seconds, with `FENCED`,
        with `OVERLOADED` if no more claims can be kept.
        """
        pending = _PendingClaim(
            self._new_claim(workspace, key, request_id, fingerprint, epoch)
        )
        self._claims[pending.claim.claim_id] = pending
        self._arrived.set()
        is_granted = False
        try:
            with self._timers.move_on_after(timeout):
                await pending.done.wait()
            answer = _answer_of(pending)
            is_granted = answer.is_granted
        finally:
            self._claims.pop(pending.claim.claim_id, None)
            if not is_granted:
                self._give_up(pending)
        return answer

    async def finish(self, claim: Claim, outcome: ClaimOutcome, timeout: float) -> bool:
        """Record how the claim's request ended; return whether that's committed.

        After `timeout` seconds it goes on in the background. The first outcome
        stands, but for a doubt, which a later answer replaces.
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
                logging.warning("claims: Batch isn't committed: %s", failure.text)
                await self._timers.sleep(_RETRY_SECONDS)

    async def _send_batch(self) -> None:
        self._drop_expired()
        finishes = list(self._finishes)[:_MAX_BATCH]
        claims: list[_PendingClaim] = []
        # No claim overtakes the release of an earlier one of this host.
        if len(finishes) == len(self._finishes):
            claims = list(self._claims.values())[:_MAX_BATCH]
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
        data = await self._agreement.propose(MACHINE_NAME, command, _PROPOSE_SECONDS)
        self._deliver(claims, finishes, claims_pb2.ClaimBatchResult.FromString(data))

    def _deliver(
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
        self._count += 1
        now = self._timers.wall()
        return Claim(
            workspace=workspace,
            key=key,
            # Unique, since no other life of the host has this incarnation.
            claim_id=f"{owner.host}.{owner.incarnation}.{self._count}",
            request_id=request_id,
            owner=owner,
            fingerprint=fingerprint,
            claimed_at=now,
            expires_at=now + self._claim_seconds(),
            epoch=epoch,
        )

    def _give_up(self, pending: _PendingClaim) -> None:
        """See to it that the claim is held by nobody, now or later."""
        if not pending.is_sent:
            return
        # A second commit of a refused claim could still be granted.
        if pending.result is None or pending.result.status not in _FINAL:
            self._queue_finish(pending.claim, ClaimOutcome(OutcomeKind.NOT_RUN))

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


def _answer_of(pending: _PendingClaim) -> ClaimAnswer:
    if pending.result is None:
        raise Failure(Code.NO_QUORUM, "No quorum agrees that the request may run.")
    status = ClaimStatus(pending.result.status)
    if status == ClaimStatus.FENCED:
        text = "This host is fenced, its requests are taken over."
        raise Failure(Code.FENCED, text)
    if status == ClaimStatus.FULL:
        text = "No more claims can be kept."
        raise Failure(Code.OVERLOADED, text, retry_after=_FULL_RETRY_SECONDS)
    if status in _FINAL:
        raise Failure(Code.NO_QUORUM, "The claim came too late.")
    return ClaimAnswer(status, Claim.from_record(pending.result.record))
