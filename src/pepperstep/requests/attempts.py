"""Attempts in progress on upstreams, and how to stop them."""

import enum
from dataclasses import dataclass

import trio

from pepperstep.entities import Upstream
from pepperstep.requests.run import Run

__all__ = ["ActiveAttempt", "AttemptStopped", "Attempts", "Cause", "Resumption"]


class Cause(enum.StrEnum):
    """Why a request needs another attempt."""

    RECLAIM = "reclaim"
    CRASH = "crash"
    UNREACHABLE = "unreachable"
    BROKEN_STREAM = "broken_stream"
    SILENCE = "silence"
    REFUSAL = "refusal"
    TAKEOVER = "takeover"


@dataclass(frozen=True, slots=True)
class Resumption:
    """How a request continues after its attempt was stopped."""

    cause: Cause
    # Upstream for the next attempt, "" for any.
    target: str = ""
    # Attempt whose KV cache the target has imported, "" for none.
    imported_attempt: str = ""


class AttemptStopped(Exception):
    """Raised when this host stops an attempt so that the request moves elsewhere."""

    def __init__(self, resumption: Resumption):
        super().__init__(f"Stopped: {resumption.cause}.")
        self.resumption = resumption


class ActiveAttempt:
    """An attempt whose answer stream is being read."""

    def __init__(self, run: Run, upstream: Upstream, attempt_id: str, now: float):
        self.run = run
        self.upstream = upstream
        self.attempt_id = attempt_id
        # Number of tokens that the request had when the attempt started.
        self.start = len(run.tokens)
        self.last_chunk_at = now
        self.is_ended = False
        # Whether its KV cache is being exported, which may end its stream.
        self.is_exporting = False
        self.scope = trio.CancelScope()
        self._resumption: Resumption | None = None
        self._stopped = trio.Event()

    @property
    def is_stopped(self) -> bool:
        """Whether `stop` was called."""
        return self._resumption is not None

    def stop(self, resumption: Resumption) -> None:
        """Stop the attempt; later calls don't change the resumption."""
        if self._resumption is None:
            self._resumption = resumption
        self._stopped.set()
        self.scope.cancel()

    async def wait_stopped(self) -> Resumption:
        """Wait until the attempt is stopped and return how the request continues."""
        await self._stopped.wait()
        return self._resumption


class Attempts:
    """All attempts in progress on this host."""

    def __init__(self) -> None:
        self._active: dict[str, ActiveAttempt] = {}

    def add(self, active: ActiveAttempt) -> None:
        """Add an attempt that has started."""
        self._active[active.attempt_id] = active

    def remove(self, active: ActiveAttempt) -> None:
        """Remove an attempt that has ended."""
        active.is_ended = True
        self._active.pop(active.attempt_id, None)

    def active(self) -> list[ActiveAttempt]:
        """Return all attempts in progress."""
        return list(self._active.values())

    def count_on(self, upstream: str) -> int:
        """Return the number of attempts in progress on an upstream."""
        return sum(each.upstream.name == upstream for each in self._active.values())
