"""Access to the replicated log for hosts without a copy of it."""

import random

import trio

from pepperstep.consensus.forwarding import Forwarder, new_proposal
from pepperstep.consensus.tuning import Tuning
from pepperstep.ports import Machine, PeerNetwork, Timers

__all__ = ["RemoteAgreement"]


class RemoteAgreement:
    """Forwards proposals to the control hosts while `run` is running."""

    def __init__(self, forwarder: Forwarder, timers: Timers, rng: random.Random):
        self._forwarder = forwarder
        self._timers = timers
        self._rng = rng

    @classmethod
    def from_config(
        cls,
        *,
        voters: tuple[str, ...],
        peers: PeerNetwork,
        timers: Timers,
        rng: random.Random,
        group: str = "control",
        tuning: Tuning | None = None,
    ) -> "RemoteAgreement":
        """Return a client that reaches `voters` over `peers`."""
        forwarder = Forwarder(
            group, voters, peers.call, timers, rng, tuning or Tuning()
        )
        return cls(forwarder, timers, rng)

    @property
    def is_leader(self) -> bool:
        """Always False, as this host has no log."""
        return False

    @property
    def lease_remaining(self) -> float:
        """Always 0, as this host has no log."""
        return 0.0

    @property
    def term(self) -> int:
        """Latest term that a control host has reported."""
        return self._forwarder.term

    def register(self, name: str, machine: Machine) -> None:
        """Do nothing, as state machines run on control hosts only."""

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Forward proposals until cancelled."""
        task_status.started()
        await self._forwarder.run()

    async def leave(self) -> None:
        """Do nothing, as this host has neither a vote nor the lead."""

    async def propose(self, name: str, command: bytes, timeout: float) -> bytes:
        """Return the state machine's result once the command is applied.

        Raise `Failure` with `NO_QUORUM` after `timeout` seconds.
        """
        proposal = new_proposal(self._rng, name, command, self._forwarder.known_index)
        return await self._forwarder.propose(proposal, self._timers.now() + timeout)

    async def barrier(self, timeout: float) -> int:
        """Return a log index that includes all entries committed before this call.

        Raise `Failure` with `NO_QUORUM` after `timeout` seconds.
        """
        return await self._forwarder.barrier(self._timers.now() + timeout)
