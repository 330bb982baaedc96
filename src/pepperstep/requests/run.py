"""State of one accepted request on the host that owns it."""

import msgspec
import trio

from pepperstep.entities import Outcome, Request
from pepperstep.proto import journal_pb2

__all__ = ["Run"]


class Run:
    """A request with the tokens generated so far and its outcome.

    Tokens and outcome reach readers only once the second host has them, so
    whoever owns the request later goes on from what its caller has seen.
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
        # Upstreams that died without notice while they ran this request.
        self.lost_upstreams: list[str] = []
        self.outcome: Outcome | None = None
        # Whether another host has become the owner.
        self.is_lost = False
        # Readers now, and when the last one left (monotonic seconds).
        self.readers = 0
        self.reader_left_at = 0.0
        # Stops the work of this host on the request.
        self.scope = trio.CancelScope()
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

    def release(self, token_count: int, has_outcome: bool) -> None:
        """Let readers have the first `token_count` tokens, and the outcome."""
        self._released = max(self._released, token_count)
        if has_outcome:
            self._is_outcome_released = True
        self._notify()

    def lose(self) -> None:
        """Stop the work on this host, as another one owns the request."""
        self.is_lost = True
        self.scope.cancel()
        self._notify()

    async def wait_change(self) -> None:
        """Return after the next release, or when the run is lost."""
        await self._changed.wait()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    def _encode_outcome(self) -> bytes:
        return b"" if self.outcome is None else msgspec.json.encode(self.outcome)
