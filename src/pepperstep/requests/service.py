"""Accepts requests, takes over those of failed hosts, and serves their answers."""

from collections.abc import AsyncIterator
from dataclasses import dataclass, field

import trio
from absl import logging

from pepperstep.entities import Host, Request
from pepperstep.errors import Code, Execution, Failure
from pepperstep.observability.explanations import Explanations, StepKind
from pepperstep.observability.recorder import Recorder
from pepperstep.ports import Agreement, PeerNetwork, Timers
from pepperstep.ports.directory import Directory
from pepperstep.ports.upstreams import UpstreamClient
from pepperstep.proto import journal_pb2
from pepperstep.requests.acceptance import Acceptance
from pepperstep.requests.backup_records import BackupRecords
from pepperstep.requests.claim_registry import ClaimRegistry, NoClaims, claim_outcome
from pepperstep.requests.driver import Driver
from pepperstep.requests.finder import Finder
from pepperstep.requests.idempotency_keys import IdempotencyKeys
from pepperstep.requests.journal import Journal
from pepperstep.requests.links import LinkDecisions, LinkKey, link_key, reverse_link
from pepperstep.requests.reader import AnswerPart, Reader
from pepperstep.requests.recovery import Recovery
from pepperstep.requests.remote import RemoteReads
from pepperstep.requests.run import Run
from pepperstep.requests.takeovers import TakeoverQueries
from pepperstep.routing import Router

__all__ = ["EarlierRequest", "RequestService"]

_OWNER_CHECK_INTERVAL_SECONDS = 0.25
_RUN_CHECK_INTERVAL_SECONDS = 1.0
_CLAIM_FINISH_TIMEOUT_SECONDS = 1.0
# How long a new owner waits for its own backup before it confirms a handover.
_HANDOVER_WAIT_SECONDS = 2.0
_CANCEL_TIMEOUT_SECONDS = 1.0
# Readers may still ask for an ended run, so its backup copy is kept this long.
_ENDED_BACKUP_SECONDS = 30.0


@dataclass(frozen=True, slots=True)
class EarlierRequest:
    """The id of an earlier request with the same idempotency key."""

    id: str


@dataclass(slots=True)
class _Submission:
    """The pending result of a `submit` call."""

    run: Run
    done: trio.Event = field(default_factory=trio.Event)
    request_id: str = ""
    failure: Failure | None = None


class RequestService:
    """All requests that this host owns, and records it keeps as a backup."""

    def __init__(
        self,
        host: Host,
        incarnation: int,
        peers: PeerNetwork,
        timers: Timers,
        directory: Directory,
        agreement: Agreement,
        router: Router,
        upstreams: UpstreamClient,
        *,
        is_single: bool = False,
        resume_grace_seconds: float = 10.0,
        outcome_seconds: float = 600.0,
        claims: ClaimRegistry | None = None,
        recorder: Recorder | None = None,
        recovery: Recovery | None = None,
        explanations: Explanations | None = None,
    ):
        decisions = LinkDecisions(agreement)
        self._host = host
        self._peers = peers
        self._timers = timers
        self._directory = directory
        self._router = router
        self._explanations = explanations
        self._resume_grace_seconds = resume_grace_seconds
        self._outcome_seconds = outcome_seconds
        self._claims = claims or NoClaims()
        self._owned: dict[str, Run] = {}
        self._ended_at: dict[str, float] = {}
        # Links for which a takeover by this host is in progress.
        self._pending_takeovers: set[LinkKey] = set()
        takeovers = TakeoverQueries(peers, directory)
        self._backup_records = BackupRecords(incarnation, timers, decisions, takeovers)
        self._journal = Journal(
            host,
            incarnation,
            peers,
            timers,
            directory,
            decisions,
            takeovers,
            is_single,
            self._keep_as_backup,
        )
        self._keys = IdempotencyKeys(host, peers, timers, directory, outcome_seconds)
        self._finder = Finder(host, self._owned, self._backup_records, peers, directory)
        self._remote = RemoteReads(peers, timers)
        self._reader = Reader(self._owned, self._finder, self._remote, peers, timers)
        self._acceptance = Acceptance(
            self._journal, self._keys, self._finder, self._claims, timers
        )
        self._recovery = recovery or Recovery.disabled(upstreams, timers)
        self._driver = Driver(
            router,
            upstreams,
            self._journal,
            timers,
            recorder,
            self._recovery,
            explanations,
        )
        self._nursery: trio.Nursery | None = None
        self._is_accepting = True
        peers.handle(journal_pb2.OpenLink, self._backup_records.handle_open)
        peers.handle(journal_pb2.JournalBatch, self._backup_records.handle_batch)
        peers.handle(journal_pb2.ForgetLink, self._backup_records.handle_forget)
        peers.handle(journal_pb2.ListTaken, self._backup_records.handle_list)
        peers.handle(journal_pb2.HandOver, self._handle_hand_over)
        peers.handle(journal_pb2.CancelRequest, self._handle_cancel)

    @property
    def running(self) -> int:
        """Number of owned requests whose outcome readers can't see yet."""
        return sum(map(_is_running, self._owned.values()))

    @property
    def running_once(self) -> int:
        """Number of those that an upstream may run and no other host can continue.

        None remains once their deadlines have passed.
        """
        now = self._timers.wall()
        return sum(
            _is_running(run)
            and run.is_dispatched
            and not run.request.is_repeatable
            and now < run.request.deadline
            for run in self._owned.values()
        )

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Process requests until cancelled."""
        async with trio.open_nursery() as self._nursery:
            self._remote.start(self._nursery)
            await self._nursery.start(self._journal.run, self._nursery)
            await self._nursery.start(self._recovery.run)
            self._nursery.start_soon(self._watch_owners)
            self._nursery.start_soon(self._watch_runs)
            task_status.started()
            await trio.sleep_forever()

    async def submit(self, request: Request) -> Run | EarlierRequest:
        """Accept a request and return once a backup host has recorded it.

        Return an `EarlierRequest` if another request with the same idempotency key
        answers the caller. Raise `Failure` if no request will answer; this one has then
        not run.
        """
        if not self._is_accepting:
            raise _draining_failure(request)
        self._router.check(request)
        self._recovery.guard.check(request)
        submission = _Submission(Run(request))
        self._register(submission.run)
        self._nursery.start_soon(self._accept, submission)
        await submission.done.wait()
        if submission.failure is not None:
            raise submission.failure
        if submission.request_id == request.id:
            self._explain(request.id, StepKind.ACCEPTED)
            return submission.run
        return EarlierRequest(submission.request_id)

    def stop_accepting(self) -> None:
        """Refuse new requests from callers; those accepted so far are finished."""
        self._is_accepting = False

    def read(
        self, request_id: str, workspace: str, position: int = 0
    ) -> AsyncIterator[AnswerPart]:
        """Yield the answer's parts from token `position` on (see `Reader.read`)."""
        return self._reader.read(request_id, workspace, position)

    async def cancel(self, request_id: str, workspace: str) -> bool:
        """Cancel a request at its owner and return whether it was found."""
        if self._cancel_here(request_id, workspace):
            return True
        found = await self._finder.find(request_id)
        if not found.is_owned or found.owner == self._host.name:
            return False
        message = journal_pb2.CancelRequest(request_id=request_id, workspace=workspace)
        try:
            answer = await self._peers.call(
                found.owner, message, _CANCEL_TIMEOUT_SECONDS
            )
        except Failure:
            return False
        return answer.is_found

    async def hand_over(self) -> None:
        """Ask the backup hosts to take over all requests, before a shutdown."""
        await self._journal.hand_over()

    async def _accept(self, submission: _Submission) -> None:
        run = submission.run
        try:
            submission.request_id = await self._acceptance.accept(run)
        except Failure as failure:
            if run.is_lost:
                # The new owner may run it for another caller with the same idempotency
                # key, so this caller must read that answer rather than get a refusal.
                submission.request_id = run.id
            else:
                submission.failure = await self._refuse(run, failure)
            submission.done.set()
            return
        submission.done.set()
        if submission.request_id != run.id:
            text = f"Request {submission.request_id} has the Idempotency-Key."
            await self._refuse(run, Failure(Code.CANCELLED, text))
            return
        await self._drive(run)

    async def _refuse(self, run: Run, failure: Failure) -> Failure:
        """End a run that won't be executed and return the failure for its caller."""
        failure = await self._acceptance.refuse(run, failure)
        self._record_end(run)
        await self._settle_claim(run)
        return failure

    async def _drive(self, run: Run) -> None:
        if run.outcome is None:
            await self._driver.run(run)
        self._record_end(run)
        await self._settle_claim(run)

    async def _settle_claim(self, run: Run) -> None:
        """Record the run's outcome in its claim."""
        if run.outcome is None:
            return
        if run.claim is None and run.epoch > 1 and not run.request.is_repeatable:
            # The previous owner may have left its claim open.
            await self._acceptance.take_over_claim(run)
        if run.claim is not None:
            outcome = claim_outcome(run.tokens, run.outcome)
            await self._claims.finish(run.claim, outcome, _CLAIM_FINISH_TIMEOUT_SECONDS)

    def _register(self, run: Run) -> None:
        earlier = self._owned.get(run.id)
        if earlier is not None:
            # The request was taken over from here and has now been taken back.
            self._journal.remove(earlier)
            earlier.mark_lost()
        run.last_reader_left_at = self._timers.now()
        self._owned[run.id] = run
        self._ended_at.pop(run.id, None)

    def _record_end(self, run: Run) -> None:
        # A newer run of the same request may have been registered here since.
        if self._owned.get(run.id) is run:
            self._ended_at[run.id] = self._timers.now()

    async def _handle_hand_over(
        self, message: journal_pb2.HandOver, sender: str
    ) -> journal_pb2.HandOverDone:
        runs = await self._backup_records.take_over(message.link)
        self._adopt_runs(message.link, runs)
        with self._timers.move_on_after(_HANDOVER_WAIT_SECONDS):
            for run in runs:
                await run.wait_confirmed()
        return journal_pb2.HandOverDone(
            is_taken=self._backup_records.has_taken_over(message.link)
        )

    async def _handle_cancel(
        self, message: journal_pb2.CancelRequest, sender: str
    ) -> journal_pb2.CancelDone:
        is_found = self._cancel_here(message.request_id, message.workspace)
        return journal_pb2.CancelDone(is_found=is_found)

    def _cancel_here(self, request_id: str, workspace: str) -> bool:
        run = self._owned.get(request_id)
        if run is None or run.is_lost or run.request.workspace != workspace:
            return False
        run.stop()
        return True

    async def _watch_owners(self) -> None:
        """Take over the requests of owners whose process has ended."""
        async for _ in self._timers.subscribe(_OWNER_CHECK_INTERVAL_SECONDS):
            for link in self._backup_records.links_to_take_over(
                self._directory.is_gone
            ):
                if link_key(link) not in self._pending_takeovers:
                    self._pending_takeovers.add(link_key(link))
                    self._nursery.start_soon(self._take_over, link)

    async def _take_over(self, link: journal_pb2.Link) -> None:
        try:
            self._adopt_runs(link, await self._backup_records.take_over(link))
        except Failure as failure:
            logging.warning(
                "requests: Takeover from %s will be retried: %s", link.owner, failure
            )
        finally:
            self._pending_takeovers.discard(link_key(link))

    def _adopt_runs(self, link: journal_pb2.Link, runs: list[Run]) -> None:
        """Continue the runs of a link that this host has taken over."""
        if not runs:
            return
        for run in runs:
            self._register(run)
            self._explain(
                run.id, StepKind.TAKEN_OVER, f"{link.owner} no longer owns it."
            )
        self._journal.back_up_elsewhere(reverse_link(link), runs)
        for run in runs:
            self._nursery.start_soon(self._resume, run)

    def _explain(self, request_id: str, kind: StepKind, reason: str = "") -> None:
        if self._explanations is not None:
            self._explanations.note(
                request_id, kind, host=self._host.name, reason=reason
            )

    def _keep_as_backup(self, link: journal_pb2.Link, runs: list[Run]) -> None:
        """Keep backup records of runs that the link's backup host has taken over.

        This protects them until the new owner has a backup host of its own.
        """
        self._backup_records.add_runs(reverse_link(link), runs)

    async def _resume(self, run: Run) -> None:
        """Run a request that was taken over to its outcome.

        A request without an attempt may have been refused by its previous owner, so it
        starts only when a caller asks for it.
        """
        if run.outcome is None and run.attempt == 0:
            await run.start_requested.wait()
        if not run.request.is_repeatable and not run.scope.cancel_called:
            try:
                await self._reacquire_claim(run)
            except Failure as failure:
                if run.outcome is None and not run.is_dispatched:
                    await self._refuse(run, failure)
                    return
        await self._drive(run)

    async def _reacquire_claim(self, run: Run) -> None:
        """Acquire the claim of the run's previous owner, or adopt its outcome."""
        holder = await self._acceptance.claim(run)
        if holder != run.id:
            text = f"Request {holder} has the Idempotency-Key."
            raise Failure(Code.NOT_READY, text, retry_after=0.1)

    async def _watch_runs(self) -> None:
        """Cancel runs without readers and remove expired ones."""
        async for now in self._timers.subscribe(_RUN_CHECK_INTERVAL_SECONDS):
            for run in list(self._owned.values()):
                ended_at = self._ended_at.get(run.id)
                if ended_at is None:
                    self._stop_unread(run, now)
                else:
                    self._prune(run, now - ended_at)
            self._backup_records.prune(self._outcome_seconds)
            self._keys.local_reservations.prune()
            await self._keys.refresh(self._keyed_requests())

    def _stop_unread(self, run: Run, now: float) -> None:
        # A non-repeatable request can't be sent again, so its answer is kept for a
        # caller who retries.
        is_required_to_finish = run.is_dispatched and not run.request.is_repeatable
        is_unread = (
            run.reader_count == 0
            and now - run.last_reader_left_at > self._resume_grace_seconds
        )
        if is_unread and not is_required_to_finish:
            run.stop()

    def _prune(self, run: Run, seconds: float) -> None:
        is_released = run.released_outcome is not None or run.is_lost
        if run.is_backup_needed and is_released and seconds > _ENDED_BACKUP_SECONDS:
            self._journal.remove(run)
        if is_released and seconds > self._outcome_seconds:
            del self._owned[run.id]
            del self._ended_at[run.id]

    def _keyed_requests(self) -> list[Request]:
        return [
            run.request
            for run in self._owned.values()
            if run.request.idempotency_key and run.request.is_repeatable
        ]


def _is_running(run: Run) -> bool:
    return run.released_outcome is None and not run.is_lost


def _draining_failure(request: Request) -> Failure:
    """Return the refusal of a host that leaves.

    An earlier request with the same idempotency key may have run.
    """
    has_key = bool(request.idempotency_key)
    return Failure(
        Code.DRAINING,
        "This host is about to end.",
        execution=Execution.MAY_HAVE_RUN if has_key else Execution.NOT_RUN,
        retry_after=0.0,
    )
