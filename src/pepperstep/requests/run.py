"""State of one accepted request on the host that owns it."""

import msgspec
import trio

from pepperstep.claims import Claim
from pepperstep.entities import Outcome, Request
from pepperstep.proto import journal_pb2

__all__ = ["Run"]


class Run:
    """A request with the tokens generated so far and its outcome.

    Tokens and outcome reach readers only once the second host has them and no
    other host can take the request over, so whoever owns the request later goes
    on from what its caller has seen.
    """

    def __init__(self, request: Request, epoch: int = 1):
        self.request = request
        self.epoch = epoch
        self.tokens: list[str] = []
        # Attempts started so far, and the upstream of the last one.
        self.attempt = 0
        self.upstream = ""
        # Whether a byte of the request may have reached an upstream.
        self.is_dispatched = False
        # Claim under which this host may run what isn't repeatable.
        self.claim: Claim | None = None
        # Upstreams that died without notice while they ran this request.
        self.lost_upstreams: list[str] = []
        self.outcome: Outcome | None = None
        # Grows with each change that the second host is to know.
        self.version = 0
        # Whether another host has become the owner, and which one if known.
        self.is_lost = False
        self.new_owner = ""
        # False once the run has ended and no second need keep it any more.
        self.is_backup_needed = True
        # Earlier links whose second may still take the request over.
        self.prior_links: list[journal_pb2.Link] = []
        # Monotonic time since which nothing can be released, None if it can.
        self.stalled_since: float | None = None
        # Readers now, and when the last one left (monotonic seconds).
        self.readers = 0
        self.last_reader_left_at = 0.0
        # Set once somebody has asked for the answer, or it is to be stopped.
        self.start_requested = trio.Event()
        # Stops the work of this host on the request.
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
        """Return the run of a new owner, one epoch after the record's."""
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
    def released(self) -> int:
        """Number of tokens that readers may have."""
        return self._released

    @property
    def released_outcome(self) -> Outcome | None:
        """The outcome once readers may have it."""
        return self.outcome if self._is_outcome_released else None

    @property
    def is_recorded(self) -> bool:
        """Whether the present second host has a record of the request."""
        return self._is_recorded

    @property
    def is_confirmed(self) -> bool:
        """Whether the present second has all, and no other host can take over."""
        return self._is_committed and self._acknowledged_version >= self.version

    def to_record(self) -> journal_pb2.RequestRecord:
        """Return the whole state as a record for the second host."""
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
        """Return what the run has added from token `position` on."""
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
        """Release nothing until another second has the run and `prior` is dropped."""
        self.prior_links.append(prior)
        self._is_recorded = False
        self._acknowledged_version = -1
        if self.stalled_since is None:
            self.stalled_since = now

    def remove_prior_link(self, prior: journal_pb2.Link) -> None:
        """Note that the agreed log has dropped the link `prior`."""
        self.prior_links.remove(prior)
        self._release()

    def acknowledge(self, token_count: int, has_outcome: bool, version: int) -> None:
        """Note what the present second host has."""
        self._is_recorded = True
        self._acknowledged = max(self._acknowledged, token_count)
        self._acknowledged_version = version
        self._is_outcome_acknowledged |= has_outcome
        self._release()

    def release_outcome(self) -> None:
        """Let readers have the outcome of a run that wasn't accepted at once."""
        self._is_outcome_released = True
        self._notify()

    def stop(self) -> None:
        """Stop the work on this host."""
        self.scope.cancel()
        self.start_requested.set()

    def mark_lost(self, new_owner: str = "") -> None:
        """Stop the work on this host, as another one owns the request."""
        self.is_lost = True
        self.new_owner = new_owner
        self.stop()
        self._notify()

    def stop_backup(self) -> None:
        """Note that no second need keep the run any more."""
        self.is_backup_needed = False
        self._notify()

    async def wait_change(self) -> None:
        """Return after the next release, or when the run is lost."""
        await self._changed.wait()

    async def wait_recorded(self) -> None:
        """Return once the present second has a record, or none need have it."""
        while not self._is_recorded and self.is_backup_needed and not self.is_lost:
            await self._changed.wait()

    async def wait_confirmed(self) -> None:
        """Return once the run `is_confirmed`, or never will be."""
        while not self.is_confirmed and self.is_backup_needed and not self.is_lost:
            await self._changed.wait()

    @property
    def _is_committed(self) -> bool:
        """Whether what the present second has counts."""
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
