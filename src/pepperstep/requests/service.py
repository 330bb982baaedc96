"""Takes requests on, keeps them through failures of hosts, and answers them."""

from collections.abc import AsyncIterator
from dataclasses import dataclass, field

import trio
from absl import logging

from pepperstep.entities import Host, Request
from pepperstep.errors import Code, Failure
from pepperstep.observability.explanations import Explanations, StepKind
from pepperstep.observability.recorder import Recorder
from pepperstep.ports import Agreement, PeerNetwork, Timers
from pepperstep.ports.directory import Directory
from pepperstep.ports.upstreams import UpstreamClient
from pepperstep.proto import journal_pb2
from pepperstep.requests.acceptance import Acceptance
from pepperstep.requests.claim_book import ClaimBook, NoClaims, claim_outcome
from pepperstep.requests.driver import Driver
from pepperstep.requests.finder import Finder
from pepperstep.requests.held import HeldRecords
from pepperstep.requests.journal import Journal
from pepperstep.requests.keys import Keys
from pepperstep.requests.links import LinkDecisions, LinkKey, back_link, link_key
from pepperstep.requests.reader import AnswerPart, Reader
from pepperstep.requests.recovery import Recovery
from pepperstep.requests.remote import RemoteReads
from pepperstep.requests.run import Run
from pepperstep.requests.taken import TakenLists
from pepperstep.routing import Router

__all__ = ["RequestService", "Submitted"]

_WATCH_SECONDS = 0.25
_PRUNE_SECONDS = 1.0
_FINISH_SECONDS = 1.0
# An owner that leaves waits this long for its requests to have a new second.
_HAND_OVER_SECONDS = 2.0
_CANCEL_SECONDS = 1.0
# An ended run stays with a second for this time, for readers that are behind.
_KEEP_ENDED_SECONDS = 30.0


@dataclass(frozen=True, slots=True)
class Submitted:
    """The earlier request that answers a caller, as it has the same key."""

    id: str


@dataclass(slots=True)
class _Submission:
    """What becomes of a request that a caller has just sent."""

    run: Run
    done: trio.Event = field(default_factory=trio.Event)
    request_id: str = ""
    failure: Failure | None = None


class RequestService:
    """All requests that this host owns or keeps as second."""

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
        claims: ClaimBook | None = None,
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
        self._resume_grace = resume_grace_seconds
        self._outcome_seconds = outcome_seconds
        self._claims = claims or NoClaims()
        self._owned: dict[str, Run] = {}
        self._ended_at: dict[str, float] = {}
        # Links whose takeover this host is about to decide.
        self._taking: set[LinkKey] = set()
        taken = TakenLists(peers, directory)
        self._held = HeldRecords(incarnation, timers, decisions, taken)
        self._journal = Journal(
            host,
            incarnation,
            peers,
            timers,
            directory,
            decisions,
            taken,
            is_single,
            self._hold_back,
        )
        self._keys = Keys(host, peers, timers, directory, outcome_seconds)
        self._finder = Finder(host, self._owned, self._held, peers, directory)
        self._remote = RemoteReads(peers, timers)
        self._reader = Reader(self._owned, self._finder, self._remote, peers, timers)
        self._acceptance = Acceptance(
            self._journal, self._keys, self._finder, self._claims, timers
        )
        self._recovery = recovery or Recovery.idle(upstreams, timers)
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
        peers.handle(journal_pb2.OpenLink, self._held.handle_open)
        peers.handle(journal_pb2.JournalBatch, self._held.handle_batch)
        peers.handle(journal_pb2.ForgetLink, self._held.handle_forget)
        peers.handle(journal_pb2.ListTaken, self._held.handle_list)
        peers.handle(journal_pb2.HandOver, self._handle_hand_over)
        peers.handle(journal_pb2.CancelRequest, self._handle_cancel)

    @property
    def running(self) -> int:
        """Number of owned requests without an outcome that readers may have."""
        return sum(
            run.released_outcome is None and not run.is_lost
            for run in self._owned.values()
        )

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Work on requests until cancelled."""
        async with trio.open_nursery() as self._nursery:
            self._remote.start(self._nursery)
            await self._nursery.start(self._journal.run, self._nursery)
            await self._nursery.start(self._recovery.run)
            self._nursery.start_soon(self._watch_owners)
            self._nursery.start_soon(self._watch_runs)
            task_status.started()
            await trio.sleep_forever()

    async def submit(self, request: Request) -> Run | Submitted:
        """Accept a request: return once its second host has recorded it.

        A repeat gets the earlier request with its idempotency key. Raise `Failure`
        if there is no request that will answer; this one has not run then.
        """
        self._router.check(request)
        self._recovery.guard.check(request)
        submission = _Submission(Run(request))
        self._take_in(submission.run)
        self._nursery.start_soon(self._accept, submission)
        await submission.done.wait()
        if submission.failure is not None:
            raise submission.failure
        if submission.request_id == request.id:
            self._explain(request.id, StepKind.ACCEPTED)
            return submission.run
        return Submitted(submission.request_id)

    def read(
        self, request_id: str, workspace: str, position: int = 0
    ) -> AsyncIterator[AnswerPart]:
        """Yield the answer's parts from token `position` on (see `Reader`)."""
        return self._reader.read(request_id, workspace, position)

    async def cancel(self, request_id: str, workspace: str) -> bool:
        """Stop a request at its owner; return whether it was found."""
        if self._cancel_here(request_id, workspace):
            return True
        found = await self._finder.find(request_id)
        if not found.is_owned or found.owner == self._host.name:
            return False
        message = journal_pb2.CancelRequest(request_id=request_id, workspace=workspace)
        try:
            answer = await self._peers.call(found.owner, message, _CANCEL_SECONDS)
        except Failure:
            return False
        return answer.is_found

    async def hand_over(self) -> None:
        """Ask the second hosts to own what this host owns, as it leaves."""
        await self._journal.hand_over()

    async def _accept(self, submission: _Submission) -> None:
        run = submission.run
        try:
            submission.request_id = await self._acceptance.accept(run)
        except Failure as failure:
            if run.is_lost:
                # Its new owner may run it for another caller with the key.
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
        """End a run that won't run, and return what to tell its caller."""
        failure = await self._acceptance.refuse(run, failure)
        self._note_end(run)
        await self._settle_claim(run)
        return failure

    async def _drive(self, run: Run) -> None:
        if run.outcome is None:
            await self._driver.run(run)
        self._note_end(run)
        await self._settle_claim(run)

    async def _settle_claim(self, run: Run) -> None:
        """Record with the claim how the run ended."""
        if run.outcome is None:
            return
        if run.claim is None and run.epoch > 1 and not run.request.is_repeatable:
            # The earlier owner's claim may be open.
            await self._acceptance.take_claim(run)
        if run.claim is not None:
            outcome = claim_outcome(run.tokens, run.outcome)
            await self._claims.finish(run.claim, outcome, _FINISH_SECONDS)

    def _take_in(self, run: Run) -> None:
        earlier = self._owned.get(run.id)
        if earlier is not None:
            # The request comes back to this host by another owner.
            self._journal.remove(earlier)
            earlier.lose()
        run.reader_left_at = self._timers.now()
        self._owned[run.id] = run
        self._ended_at.pop(run.id, None)

    def _note_end(self, run: Run) -> None:
        # The request may have come back to this host as another run.
        if self._owned.get(run.id) is run:
            self._ended_at[run.id] = self._timers.now()

    async def _handle_hand_over(
        self, message: journal_pb2.HandOver, sender: str
    ) -> journal_pb2.HandOverDone:
        runs = await self._held.take_over(message.link)
        self._own(message.link, runs)
        with self._timers.move_on_after(_HAND_OVER_SECONDS):
            for run in runs:
                await run.wait_confirmed()
        return journal_pb2.HandOverDone(is_taken=self._held.has_taken(message.link))

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
        """Take over from owners whose process has ended."""
        async for _ in self._timers.subscribe(_WATCH_SECONDS):
            for link in self._held.links_due(self._directory.is_gone):
                if link_key(link) not in self._taking:
                    self._taking.add(link_key(link))
                    self._nursery.start_soon(self._take_over, link)

    async def _take_over(self, link: journal_pb2.Link) -> None:
        try:
            self._own(link, await self._held.take_over(link))
        except Failure as failure:
            logging.warning("requests: Takeover of %s waits: %s", link.owner, failure)
        finally:
            self._taking.discard(link_key(link))

    def _own(self, link: journal_pb2.Link, runs: list[Run]) -> None:
        """Go on with the runs of a link that this host has taken over."""
        if not runs:
            return
        for run in runs:
            self._take_in(run)
            self._explain(
                run.id, StepKind.TAKEN_OVER, f"{link.owner} no longer owns it."
            )
        self._journal.adopt(back_link(link), runs)
        for run in runs:
            self._nursery.start_soon(self._go_on, run)

    def _explain(self, request_id: str, kind: StepKind, reason: str = "") -> None:
        if self._explanations is not None:
            self._explanations.note(
                request_id, kind, host=self._host.name, reason=reason
            )

    def _hold_back(self, link: journal_pb2.Link, runs: list[Run]) -> None:
        """Hold runs that the second of `link` has taken over, until it is safe."""
        self._held.adopt(back_link(link), runs)

    async def _go_on(self, run: Run) -> None:
        """Bring a run that was taken over to its end.

        One that hasn't started may have been refused, so it waits for its caller.
        """
        if run.outcome is None and run.attempt == 0:
            await run.wanted.wait()
        if not run.request.is_repeatable and not run.scope.cancel_called:
            try:
                await self._claim_again(run)
            except Failure as failure:
                if run.outcome is None and not run.is_dispatched:
                    await self._refuse(run, failure)
                    return
        await self._drive(run)

    async def _claim_again(self, run: Run) -> None:
        """Take over the claim of the run's earlier owner, or its outcome."""
        holder = await self._acceptance.claim(run)
        if holder != run.id:
            text = f"Request {holder} has the Idempotency-Key."
            raise Failure(Code.NOT_READY, text, retry_after=0.1)

    async def _watch_runs(self) -> None:
        """Stop runs that nobody reads, and forget those that ended."""
        async for now in self._timers.subscribe(_PRUNE_SECONDS):
            for run in list(self._owned.values()):
                ended_at = self._ended_at.get(run.id)
                if ended_at is None:
                    self._stop_unread(run, now)
                else:
                    self._prune(run, now - ended_at)
            self._held.prune(self._outcome_seconds)
            self._keys.table.prune()
            await self._keys.keep(self._keyed_requests())

    def _stop_unread(self, run: Run, now: float) -> None:
        # What may run only once is worth its end to the caller's repeat.
        is_worth_its_end = run.is_dispatched and not run.request.is_repeatable
        is_unread = run.readers == 0 and now - run.reader_left_at > self._resume_grace
        if is_unread and not is_worth_its_end:
            run.stop()

    def _prune(self, run: Run, seconds: float) -> None:
        is_released = run.released_outcome is not None or run.is_lost
        if run.is_kept and is_released and seconds > _KEEP_ENDED_SECONDS:
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
