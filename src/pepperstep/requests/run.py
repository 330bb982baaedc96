"""State of an accepted request on its owner."""

import msgspec
import trio

from pepperstep.claims import Claim
from pepperstep.entities import Outcome, Request
from pepperstep.errors import Execution
from pepperstep.proto import journal_pb2

__all__ = ["Run"]


class Run:
    """A request with the tokens generated so far and its outcome.

    Readers see tokens and the outcome only once the backup host has them and no other
    host can take over the request. A later owner therefore never contradicts what the
    caller has already read.
    """

    def __init__(self, request: Request, epoch: int = 1):
        self.request = request
        self.epoch = epoch
        self.tokens: list[str] = []
        # Number of attempts started, and the upstream of the last one.
        self.attempt = 0
        self.upstream = ""
        # Whether a byte of the request may have reached an upstream.
        self.is_dispatched = False
        # Permission to execute a non-repeatable request.
        self.claim: Claim | None = None
        # Upstreams that crashed while they ran this request (see `incarnation_id`).
        self.lost_upstreams: list[str] = []
        self.outcome: Outcome | None = None
        # Increases with each change that has to be replicated to the backup host.
        self.version = 0
        # Whether another host has taken over the request, and its name if known.
        self.is_lost = False
        self.new_owner = ""
        # False once no backup host has to keep a record of the run.
        self.is_backup_needed = True
        # Earlier links whose backup host may still take over the request.
        self.prior_links: list[journal_pb2.Link] = []
        # Monotonic time since which nothing could be released to readers, None while it
        # can.
        self.stalled_since: float | None = None
        # Number of current readers, and when the last one left (monotonic seconds).
        self.reader_count = 0
        self.last_reader_left_at = 0.0
        # Set when a caller asks for the answer or the run is cancelled.
        self.start_requested = trio.Event()
        # Cancels this host's work on the request.
        self.scope = trio.CancelScope()
        self._is_recorded = False
        self._acknowledged = 0
        self._acknowledged_version = -1
        self._is_outcome_acknowledged = False
        self._released = 0
        self._is_outcome_released = False
        self._changed = trio.Event()

    @classmethod
    def from_record(cls, record: journal_pb2.RequestRecord) -> "Run":
        """Return the run of a new owner, with the record's epoch increased by one."""
        request = msgspec.json.decode(record.request, type=Request)
        run = cls(request, record.epoch + 1)
        run.tokens = list(record.tokens)
        run.attempt = record.attempt
        run.upstream = record.upstream
        run.is_dispatched = record.is_dispatched
        run.lost_upstreams = list(record.lost_upstreams)
        if record.outcome:
            run.outcome = msgspec.json.decode(record.outcome, type=Outcome)
        return run

    @property
    def id(self) -> str:
        """Id of the request."""
        return self.request.id

    @property
    def execution(self) -> Execution:
        """Whether the request may have been executed, as a failure reports it.

        The previous owner may have sent a repeatable request without a record of it,
        since only for others it waits until the backup host knows of the dispatch.
        """
        is_unknown = self.epoch > 1 and self.request.is_repeatable
        if self.is_dispatched or is_unknown:
            return Execution.MAY_HAVE_RUN
        return Execution.NOT_RUN

    @property
    def released(self) -> int:
        """Number of tokens that readers may see."""
        return self._released

    @property
    def released_outcome(self) -> Outcome | None:
        """The outcome, or None until readers may see it."""
        return self.outcome if self._is_outcome_released else None

    @property
    def is_recorded(self) -> bool:
        """Whether the current backup host has a record of the request."""
        return self._is_recorded

    @property
    def is_confirmed(self) -> bool:
        """Whether the backup host is up to date and no other host can take over."""
        return self._is_committed and self._acknowledged_version >= self.version

    def to_record(self) -> journal_pb2.RequestRecord:
        """Return the full state as a record for the backup host."""
        return journal_pb2.RequestRecord(
            request_id=self.id,
            epoch=self.epoch,
            request=msgspec.json.encode(self.request),
            tokens=self.tokens,
            attempt=self.attempt,
            upstream=self.upstream,
            outcome=self._encode_outcome(),
            is_dispatched=self.is_dispatched,
            lost_upstreams=self.lost_upstreams,
            priors=self.prior_links,
        )

    def to_checkpoint(self, position: int) -> journal_pb2.Checkpoint:
        """Return the changes of the run from token `position` on."""
        return journal_pb2.Checkpoint(
            request_id=self.id,
            position=position,
            tokens=self.tokens[position:],
            attempt=self.attempt,
            upstream=self.upstream,
            outcome=self._encode_outcome(),
            is_dispatched=self.is_dispatched,
            lost_upstreams=self.lost_upstreams,
        )

    def add_prior_link(self, prior: journal_pb2.Link, now: float) -> None:
        """Release nothing until another backup has the run and `prior` is dropped."""
        self.prior_links.append(prior)
        self._is_recorded = False
        self._acknowledged_version = -1
        if self.stalled_since is None:
            self.stalled_since = now

    def remove_prior_link(self, prior: journal_pb2.Link) -> None:
        """Record that the backup host of `prior` can't take over the request."""
        self.prior_links.remove(prior)
        self._release()

    def acknowledge(self, token_count: int, has_outcome: bool, version: int) -> None:
        """Record what the current backup host has acknowledged."""
        self._is_recorded = True
        self._acknowledged = max(self._acknowledged, token_count)
        self._acknowledged_version = version
        self._is_outcome_acknowledged |= has_outcome
        self._release()

    def release_outcome(self) -> None:
        """Let readers see the outcome of a refused run without waiting for a backup."""
        self._is_outcome_released = True
        self._notify()

    def stop(self) -> None:
        """Cancel the work on this host."""
        self.scope.cancel()
        self.start_requested.set()

    def mark_lost(self, new_owner: str = "") -> None:
        """Cancel the work on this host because another host owns the request."""
        self.is_lost = True
        self.new_owner = new_owner
        self.stop()
        self._notify()

    def stop_backup(self) -> None:
        """Record that no backup host has to keep the run any longer."""
        self.is_backup_needed = False
        self._notify()

    async def wait_change(self) -> None:
        """Wait for the next release, or for the loss of the run."""
        await self._changed.wait()

    async def wait_recorded(self) -> None:
        """Wait until the backup host has a record, or no record is needed."""
        while not self._is_recorded and self.is_backup_needed and not self.is_lost:
            await self._changed.wait()

    async def wait_confirmed(self) -> None:
        """Wait until the run `is_confirmed`, or can't become so."""
        while not self.is_confirmed and self.is_backup_needed and not self.is_lost:
            await self._changed.wait()

    @property
    def _is_committed(self) -> bool:
        """Whether acknowledgements of the current backup host may be released."""
        return self._is_recorded and not self.prior_links

    def _release(self) -> None:
        if self._is_committed:
            self.stalled_since = None
            self._released = self._acknowledged
            self._is_outcome_released |= self._is_outcome_acknowledged
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    def _encode_outcome(self) -> bytes:
        return b"" if self.outcome is None else msgspec.json.encode(self.outcome)
