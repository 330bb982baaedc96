"""What the driver asks of whoever keeps crashing requests away from upstreams."""

import enum
from dataclasses import dataclass
from typing import Protocol

import trio

from pepperstep.entities import Request, Upstream
from pepperstep.requests.probes import Diagnosis
from pepperstep.requests.run import Run

__all__ = ["Admission", "Guard", "NoGuard", "Permission"]


class Permission(enum.Enum):
    """Whether a run may start on an upstream."""

    GRANTED = enum.auto()
    WAIT = enum.auto()
    SHARE = enum.auto()


@dataclass(frozen=True, slots=True)
class Admission:
    """Permission to run, and how."""

    permission: Permission
    # Names of the upstreams to share.
    upstreams: frozenset[str] = frozenset()
    # Whether it must be the only suspect on its upstream, and that to its end.
    is_suspect: bool = False
    is_strict: bool = False


class Guard(Protocol):
    """What the driver asks before and tells after an attempt."""

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Work until cancelled."""

    def check(self, request: Request) -> None:
        """Raise `Failure` with `CRASHING_REQUEST` for a convicted content."""

    async def admit(self, run: Run, upstream: Upstream) -> Admission:
        """Return whether the run may start; raise `Failure` as `check` does."""

    async def reserve_upstream(self, run: Run, upstream: Upstream) -> bool:
        """Return whether the run is the only suspect on the upstream now."""

    def release_upstream(self, run: Run, upstream: Upstream) -> None:
        """Let other suspects run on an upstream that was held."""

    def record_passed(self, run: Run) -> None:
        """Note that a suspect ran on past its loss, and release its upstream."""

    def record_end(self, run: Run, is_answered: bool) -> None:
        """Note that the run is on no upstream now."""

    async def report_loss(
        self, run: Run, upstream: Upstream, diagnosis: Diagnosis, is_shared: bool
    ) -> bool:
        """Return whether a loss counts against the run's content.

        Raise `Failure` with `CRASHING_REQUEST` if it convicts the content.
        """


class NoGuard:
    """Guard that lets everything run anywhere (baseline)."""

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Return at once."""
        task_status.started()

    def check(self, request: Request) -> None:
        """Do nothing."""

    async def admit(self, run: Run, upstream: Upstream) -> Admission:
        """Grant the run."""
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
