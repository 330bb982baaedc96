"""Replicated log of the control hosts and the state machines that it drives.

A component registers a `Machine` under a unique name on each control host and
proposes commands from any host. All control hosts apply them in the same order.
"""

from typing import Protocol

__all__ = ["Agreement", "Machine"]


class Machine(Protocol):
    """Deterministic, replicated state machine.

    It must not use clocks, random numbers or any other input than its commands.
    A command may be applied twice, so commands must be idempotent.
    """

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply the command at log position `index` and return its result."""

    def snapshot(self) -> bytes:
        """Return the whole state in serialized form."""

    def restore(self, data: bytes) -> None:
        """Replace the state by one that `snapshot` returned."""


class Agreement(Protocol):
    """Access to the replicated log from one host."""

    @property
    def is_leader(self) -> bool:
        """Whether this host is the leader and holds a valid lease."""

    @property
    def lease_remaining(self) -> float:
        """Seconds until this host's leader lease expires, 0 without a lease."""

    @property
    def term(self) -> int:
        """Highest term that this host has seen."""

    def register(self, name: str, machine: Machine) -> None:
        """Register a machine before the log runs; ignored except on control hosts."""

    async def propose(self, name: str, command: bytes, timeout: float) -> bytes:
        """Return the machine's result once the command is committed and applied.

        Works on any host. Raise `Failure` with `NO_QUORUM` after `timeout`
        seconds; the command may still be committed later. A command may be
        committed twice, so the machine must detect duplicates.
        """

    async def barrier(self, timeout: float) -> int:
        """Return a log position at or after every commit before this call.

        On a control host, the local machines have applied the log up to this
        position when the call returns.
        Raise `Failure` with `NO_QUORUM` after `timeout` seconds.
        """
