"""Interface of the guard that keeps crashing requests away from upstreams."""

import enum
from dataclasses import dataclass
from typing import Protocol

import trio

from pepperstep.entities import Request, Upstream
from pepperstep.requests.probes import Diagnosis
from pepperstep.requests.run import Run

__all__ = ["Admission", "Guard", "NoGuard", "Permission"]


class Permission(enum.Enum):
    """Whether a run may start on an upstream.

    `WAIT`: another run of the content has to end first. `SHARE`: only upstreams that
    already run the content are allowed.
    """

    GRANTED = enum.auto()
    WAIT = enum.auto()
    SHARE = enum.auto()


@dataclass(frozen=True, slots=True)
class Admission:
    """A guard's decision on starting a run."""

    permission: Permission
    # With `SHARE`, names of the upstreams that are allowed.
    upstreams: frozenset[str] = frozenset()
    # Whether the run must be the only suspect on its upstream, and whether it must
    # remain so until it ends.
    is_suspect: bool = False
    is_strict: bool = False


class Guard(Protocol):
    """Admits the attempts of a request and learns how they ended."""

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Work until cancelled."""

    def check(self, request: Request) -> None:
        """Raise `Failure` with `CRASHING_REQUEST` for a blocked content."""

    async def admit(self, run: Run, upstream: Upstream) -> Admission:
        """Return whether the run may start; raise `Failure` as `check` does."""

    async def reserve_upstream(self, run: Run, upstream: Upstream) -> bool:
        """Return whether the run is now the only suspect on the upstream."""

    def release_upstream(self, run: Run, upstream: Upstream) -> None:
        """Release the upstream, if reserved, so that other suspects may run on it."""

    def record_passed(self, run: Run) -> None:
        """Record that a suspect survived its earlier loss; release its upstream."""

    def record_end(self, run: Run, is_answered: bool) -> None:
        """Record that the run is on no upstream any longer."""

    async def report_loss(
        self, run: Run, upstream: Upstream, diagnosis: Diagnosis, is_shared: bool
    ) -> bool:
        """Return whether a loss counts against the run's content.

        Raise `Failure` with `CRASHING_REQUEST` if the loss blocks the content.
        """


class NoGuard:
    """Guard that admits every run on any upstream (baseline)."""

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Return at once."""
        task_status.started()

    def check(self, request: Request) -> None:
        """Do nothing."""

    async def admit(self, run: Run, upstream: Upstream) -> Admission:
        """Admit the run."""
        return Admission(Permission.GRANTED)

    async def reserve_upstream(self, run: Run, upstream: Upstream) -> bool:
        """Return True."""
        return True

    def release_upstream(self, run: Run, upstream: Upstream) -> None:
        """Do nothing."""

    def record_passed(self, run: Run) -> None:
        """Do nothing."""

    def record_end(self, run: Run, is_answered: bool) -> None:
        """Do nothing."""

    async def report_loss(
        self, run: Run, upstream: Upstream, diagnosis: Diagnosis, is_shared: bool
    ) -> bool:
        """Return False."""
        return False
