"""Takes requests on, keeps them through failures of hosts, and answers them."""

import trio
from absl import logging

from pepperstep.entities import Host, Request
from pepperstep.errors import Code, Failure
from pepperstep.ports import (
    Agreement,
    Directory,
    PeerNetwork,
    Timers,
    UpstreamClient,
)
from pepperstep.proto import journal_pb2
from pepperstep.requests.driver import Driver
from pepperstep.requests.held import HeldRecords
from pepperstep.requests.journal import Journal
from pepperstep.requests.links import LinkDecisions
from pepperstep.requests.reader import Reader
from pepperstep.requests.run import Run
from pepperstep.routing import Router

__all__ = ["RequestService"]

_WATCH_SECONDS = 0.25
_PRUNE_SECONDS = 5.0


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
        resume_grace: float = 10.0,
        outcome_seconds: float = 600.0,
    ):
        decisions = LinkDecisions(agreement)
        self._timers = timers
        self._directory = directory
        self._router = router
        self._resume_grace = resume_grace
        self._outcome_seconds = outcome_seconds
        self._owned: dict[str, Run] = {}
        self._ended_at: dict[str, float] = {}
        self._held = HeldRecords(incarnation, timers, decisions)
        self._journal = Journal(
            host, incarnation, peers, timers, directory, decisions, is_single
        )
        self._driver = Driver(router, upstreams, self._journal, timers)
        self._reader = Reader(host, self._owned, self._held, peers, timers, directory)
        self._nursery: trio.Nursery | None = None
        peers.handle(journal_pb2.JournalBatch, self._held.handle_batch)
        peers.handle(journal_pb2.ReadAnswer, self._reader.handle_read)
        peers.handle(journal_pb2.HandOver, self._handle_hand_over)

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
            await self._nursery.start(self._journal.run)
            self._nursery.start_soon(self._watch_owners)
            self._nursery.start_soon(self._watch_runs)
            task_status.started()
            await trio.sleep_forever()

    async def submit(self, request: Request) -> Run:
        """Accept a request: return once its second host has recorded it.

        Raise `Failure` if it isn't accepted; it has not run then.
        """
        self._router.check(request)
        run = Run(request)
        run.reader_left_at = self._timers.now()
        self._journal.add(run)
        self._owned[run.id] = run
        self._nursery.start_soon(self._drive, run)
        return run

    def read(self, request_id: str, workspace: str, position: int = 0):
        """Yield the answer's parts from token `position` on (see `Reader`)."""
        return self._reader.read(request_id, workspace, position)

    async def hand_over(self) -> None:
        """Ask the second hosts to own what this host owns, as it leaves."""
        await self._journal.hand_over()

    async def _drive(self, run: Run) -> None:
        await self._driver.run(run)
        self._ended_at[run.id] = self._timers.now()

    async def _handle_hand_over(
        self, message: journal_pb2.HandOver, sender: str
    ) -> journal_pb2.HandOverDone:
        runs = await self._held.take_link(message.link)
        self._own(runs)
        return journal_pb2.HandOverDone(is_taken=bool(runs))

    async def _watch_owners(self) -> None:
        """Take over from owners whose process has ended."""
        async for _ in self._timers.subscribe(_WATCH_SECONDS):
            for owner, incarnation in self._held.owners():
                if self._directory.is_gone(owner, incarnation):
                    await self._take_over(owner, incarnation)

    async def _take_over(self, owner: str, incarnation: int) -> None:
        try:
            self._own(await self._held.take_over(owner, incarnation))
        except Failure as failure:
            if failure.code is not Code.NO_QUORUM:
                raise
            logging.warning("requests: Takeover of %s waits for a quorum.", owner)

    def _own(self, runs: list[Run]) -> None:
        for run in runs:
            run.reader_left_at = self._timers.now()
            self._owned[run.id] = run
            self._nursery.start_soon(self._go_on, run)

    async def _go_on(self, run: Run) -> None:
        while True:
            try:
                self._journal.add(run)
                break
            except Failure:
                await self._timers.sleep(_WATCH_SECONDS)
        if run.outcome is None:
            await self._drive(run)
        else:
            self._ended_at[run.id] = self._timers.now()

    async def _watch_runs(self) -> None:
        """Cancel runs that nobody reads, and forget those that ended."""
        async for now in self._timers.subscribe(_PRUNE_SECONDS):
            for run in list(self._owned.values()):
                is_read = run.readers > 0 or run.outcome is not None
                if not is_read and now - run.reader_left_at > self._resume_grace:
                    run.scope.cancel()
                ended_at = self._ended_at.get(run.id, now)
                if now - ended_at > self._outcome_seconds:
                    del self._owned[run.id]
                    del self._ended_at[run.id]
            self._held.prune(self._outcome_seconds)
