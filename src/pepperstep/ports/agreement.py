"""Commands that the control hosts agree on, in one order for all.

A job registers a `Machine` on each control host under a name of its own, and
proposes commands from any host.
"""

from typing import Protocol

__all__ = ["Agreement", "Machine"]


class Machine(Protocol):
    """State that follows from the agreed commands alone.

    It must not use clocks, random numbers or anything else outside its
    commands; a command may come twice and must then have no second effect.
    """

    def apply(self, index: int, command: bytes) -> bytes:
        """Carry out the command at log position `index`, return its result."""

    def snapshot(self) -> bytes:
        """Return the whole state."""

    def restore(self, data: bytes) -> None:
        """Take the state that `snapshot` returned."""


class Agreement(Protocol):
    """Access to the replicated log from one host."""

    @property
    def is_leader(self) -> bool:
        """Whether this host leads and its lease holds now."""

    @property
    def lease_remaining(self) -> float:
        """Seconds for which this host surely leads from now on, 0 if it doesn't."""

    @property
    def term(self) -> int:
        """Latest term that this host knows."""

    def register(self, name: str, machine: Machine) -> None:
        """Add a machine, before the log runs; ignored on other than control hosts."""

    async def propose(self, name: str, command: bytes, timeout: float) -> bytes:
        """Return the machine's result once the command is committed and applied.

        Works on any host. Raise `Failure` with `NO_QUORUM` after `timeout`
        seconds; the command may then still be committed later. It may be
        committed twice, so the machine must know a repeat.
        """

    async def barrier(self, timeout: float) -> int:
        """Return a log position that covers all commits up to this call.

        On a control host its own machines have applied that much at return.
        Raise `Failure` with `NO_QUORUM` after `timeout` seconds.
        """
