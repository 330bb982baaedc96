"""Attempts that are open on upstreams, and how they are stopped."""

import enum
from dataclasses import dataclass

import trio

from pepperstep.entities import Upstream
from pepperstep.requests.run import Run

__all__ = ["ActiveAttempt", "AttemptStopped", "Attempts", "Cause", "Resumption"]


class Cause(enum.StrEnum):
    """Why a request needs one more attempt."""

    RECLAIM = "reclaim"
    CRASH = "crash"
    UNREACHABLE = "unreachable"
    BROKEN_STREAM = "broken_stream"
    SILENCE = "silence"
    REFUSAL = "refusal"
    TAKEOVER = "takeover"


@dataclass(frozen=True, slots=True)
class Resumption:
    """How a request goes on after its attempt was stopped."""

    cause: Cause
    # Upstream to go on at, "" for any.
    target: str = ""
    # Attempt whose KV cache has arrived there, "" for none.
    imported_attempt: str = ""


class AttemptStopped(Exception):
    """An attempt was stopped here, for the request to go on elsewhere."""

    def __init__(self, resumption: Resumption):
        super().__init__(f"Stopped: {resumption.cause}.")
        self.resumption = resumption


class ActiveAttempt:
    """An attempt whose answer is being read."""

    def __init__(self, run: Run, upstream: Upstream, attempt_id: str, now: float):
        self.run = run
        self.upstream = upstream
        self.attempt_id = attempt_id
        # Tokens that the request had at the attempt's start.
        self.start = len(run.tokens)
        self.last_chunk_at = now
        self.is_ended = False
        # Whether its KV cache is on the way, so that its stream may break.
        self.is_exporting = False
        self.scope = trio.CancelScope()
        self._resumption: Resumption | None = None
        self._stopped = trio.Event()

    @property
    def is_stopped(self) -> bool:
        """Whether the attempt is to be given up."""
        return self._resumption is not None

    def stop(self, resumption: Resumption) -> None:
        """Give the attempt up; the first call counts."""
        if self._resumption is None:
            self._resumption = resumption
        self._stopped.set()
        self.scope.cancel()

    async def wait_stopped(self) -> Resumption:
        """Return how the request goes on, once the attempt was stopped."""
        await self._stopped.wait()
        return self._resumption


class Attempts:
    """All open attempts of this host."""

    def __init__(self) -> None:
        self._active: dict[str, ActiveAttempt] = {}

    def add(self, active: ActiveAttempt) -> None:
        """Take in an attempt."""
        self._active[active.attempt_id] = active

    def remove(self, active: ActiveAttempt) -> None:
        """Forget an attempt that has ended."""
        active.is_ended = True
        self._active.pop(active.attempt_id, None)

    def active(self) -> list[ActiveAttempt]:
        """Return all open attempts."""
        return list(self._active.values())

    def count_on(self, upstream: str) -> int:
        """Return the number of open attempts on an upstream."""
        return sum(each.upstream.name == upstream for each in self._active.values())
