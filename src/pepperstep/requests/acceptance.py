"""Accepts requests: idempotency key, backup record and claim."""

from pepperstep.claims import ClaimAnswer, ClaimOutcome, ClaimStatus, OutcomeKind
from pepperstep.entities import Outcome, Request
from pepperstep.errors import Code, Execution, Failure
from pepperstep.ports import Timers
from pepperstep.requests.claim_registry import (
    ClaimRegistry,
    RecordedAnswer,
    claim_key,
    claim_outcome,
)
from pepperstep.requests.finder import Finder, LookupStatus
from pepperstep.requests.idempotency_keys import IdempotencyKeys
from pepperstep.requests.journal import Journal
from pepperstep.requests.run import Run

__all__ = ["Acceptance"]

# A request that isn't recorded or claimed within this time is refused.
_ACCEPT_TIMEOUT_SECONDS = 3.0
_RETRY_DELAY_SECONDS = 0.1
# A refusal that isn't replicated within this time is reported as MAY_HAVE_RUN.
_REFUSAL_TIMEOUT_SECONDS = 0.5
# How long to search for an earlier request with the same key.
_SEARCH_TIMEOUT_SECONDS = 3.0


class Acceptance:
    """Decides whether a new request or an earlier one answers the caller."""

    def __init__(
        self,
        journal: Journal,
        keys: IdempotencyKeys,
        finder: Finder,
        claims: ClaimRegistry,
        timers: Timers,
    ):
        self._journal = journal
        self._keys = keys
        self._finder = finder
        self._claims = claims
        self._timers = timers

    async def accept(self, run: Run) -> str:
        """Return the id of the request that answers: `run` or an earlier one.

        Raise `Failure` if there is none; `run` has then not run and never will.
        """
        request = run.request
        if request.is_repeatable and request.idempotency_key:
            holder_id = await self._reserve(request)
            if holder_id != run.id:
                return holder_id
        await self._replicate(run)
        return run.id if request.is_repeatable else await self.claim(run)

    async def claim(self, run: Run) -> str:
        """Return the id of the request that holds the claim.

        If the claim already has an outcome, the run adopts it and its own id is
        returned. Raise `Failure` if the claim isn't granted and no answer is known.
        """
        give_up_at = self._timers.now() + _SEARCH_TIMEOUT_SECONDS
        while True:
            answer = await self._request_claim(run)
            if answer.is_granted:
                run.claim = answer.claim
                return run.id
            if answer.status is ClaimStatus.CONFLICT:
                raise _conflict_failure()
            holder = answer.claim.request_id
            if answer.claim.outcome is not None:
                self._adopt_answer(run, RecordedAnswer.from_claim(answer.claim))
                return run.id
            if holder == run.id:
                raise Failure(Code.NOT_READY, "A later owner has the request's claim.")
            found = await self._finder.find(holder)
            if found.status in (LookupStatus.OWNED, LookupStatus.HELD):
                return holder
            # A holder that hasn't run releases its claim soon, so asking again may
            # succeed.
            if self._timers.now() > give_up_at:
                if found.status is LookupStatus.FAILED:
                    return holder
                raise _uncertain_failure(holder)
            await self._timers.sleep(_RETRY_DELAY_SECONDS)

    async def take_over_claim(self, run: Run) -> None:
        """Acquire the previous owner's claim for an ended run, if it is open."""
        while run.claim is None and run.is_backup_needed and not run.is_lost:
            try:
                answer = await self._request_claim(run)
            except Failure as failure:
                if failure.code is not Code.NO_QUORUM:
                    return
                await self._timers.sleep(_RETRY_DELAY_SECONDS)
                continue
            if not answer.is_granted:
                return
            run.claim = answer.claim

    async def refuse(self, run: Run, failure: Failure) -> Failure:
        """End a run that won't be executed and return the failure for its caller.

        If a backup may have a copy of the run but not the refusal, it could take over
        and execute the run for a caller with the same key, or with the id of a request
        that was accepted earlier. The failure then says that the request may have run.
        """
        run.outcome = _failed_outcome(failure)
        is_known = bool(run.request.idempotency_key) or run.epoch > 1
        is_safe = not is_known or not self._journal.is_sent(run)
        if not is_safe:
            with self._timers.move_on_after(_REFUSAL_TIMEOUT_SECONDS):
                is_safe = await self._journal.confirm(run)
        if not is_safe:
            failure.execution = Execution.MAY_HAVE_RUN
            run.outcome = _failed_outcome(failure)
        run.release_outcome()
        self._journal.mark_changed(run, is_urgent=True)
        return failure

    async def _reserve(self, request: Request) -> str:
        """Return the id of the request that holds the idempotency key."""
        replaces = ""
        give_up_at = self._timers.now() + _SEARCH_TIMEOUT_SECONDS
        while True:
            holder = await self._keys.reserve(request, replaces)
            if holder.request_id == request.id:
                return request.id
            if holder.fingerprint != request.fingerprint:
                raise _conflict_failure()
            found = await self._finder.find(holder.request_id)
            if found.status in (LookupStatus.OWNED, LookupStatus.HELD):
                return holder.request_id
            is_timed_out = self._timers.now() > give_up_at
            if is_timed_out or found.status is not LookupStatus.UNCLEAR:
                # The earlier request failed or is lost, so the new one replaces it.
                replaces = holder.request_id
                continue
            await self._timers.sleep(_RETRY_DELAY_SECONDS)

    async def _replicate(self, run: Run) -> None:
        self._journal.add(run)
        with self._timers.move_on_after(self._seconds_left(run)):
            await run.wait_confirmed()
        if not run.is_confirmed or run.is_lost:
            raise Failure(
                Code.NOT_READY,
                "No second entry host has recorded the request in time.",
                retry_after=1.0,
            )

    async def _request_claim(self, run: Run) -> ClaimAnswer:
        request = run.request
        return await self._claims.claim(
            request.workspace,
            claim_key(request),
            request.id,
            request.fingerprint,
            _ACCEPT_TIMEOUT_SECONDS if run.outcome else self._seconds_left(run),
            run.epoch,
            _release_of(run),
        )

    def _seconds_left(self, run: Run) -> float:
        remaining = run.request.deadline - self._timers.wall()
        return max(0.0, min(_ACCEPT_TIMEOUT_SECONDS, remaining))

    def _adopt_answer(self, run: Run, answer: RecordedAnswer) -> None:
        """End a run with the answer recorded in its claim."""
        if run.outcome is not None:
            return
        run.tokens[:] = answer.tokens
        run.outcome = answer.outcome
        self._journal.mark_changed(run, is_urgent=True)


def _release_of(run: Run) -> ClaimOutcome:
    """Return what to record if a claim for the run is given up."""
    if run.outcome is not None:
        return claim_outcome(run.tokens, run.outcome)
    kind = OutcomeKind.MAY_HAVE_RUN if run.is_dispatched else OutcomeKind.NOT_RUN
    return ClaimOutcome(kind)


def _failed_outcome(failure: Failure) -> Outcome:
    return Outcome(
        code=failure.code,
        text=failure.text,
        execution=failure.execution,
        retry_after=failure.retry_after,
    )


def _conflict_failure() -> Failure:
    return Failure(
        Code.IDEMPOTENCY_CONFLICT,
        "The Idempotency-Key belongs to a request with another content.",
    )


def _uncertain_failure(request_id: str) -> Failure:
    return Failure(
        Code.MAY_HAVE_RUN,
        f"Request {request_id} with this key may have run; its answer is lost.",
        execution=Execution.MAY_HAVE_RUN,
    )
