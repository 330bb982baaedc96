"""Agreement for hosts that keep no log."""

import random

import trio

from pepperstep.consensus.forwarding import Forwarder, new_proposal
from pepperstep.consensus.tuning import Tuning
from pepperstep.ports import Machine, PeerNetwork, Timers

__all__ = ["RemoteAgreement"]


class RemoteAgreement:
    """Forwards to the control hosts; `run` must run for it to work."""

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
        """Return the agreement of a host that reaches `voters` over `peers`."""
        forwarder = Forwarder(
            group, voters, peers.call, timers, rng, tuning or Tuning()
        )
        return cls(forwarder, timers, rng)

    @property
    def is_leader(self) -> bool:
        """Never: this host has no log."""
        return False

    @property
    def lease_remaining(self) -> float:
        """Always 0: this host has no log."""
        return 0.0

    @property
    def term(self) -> int:
        """Latest term that a control host has answered."""
        return self._forwarder.term

    def register(self, name: str, machine: Machine) -> None:
        """Take no notice: machines run on control hosts."""

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Forward until cancelled."""
        task_status.started()
        await self._forwarder.run()

    async def propose(self, name: str, command: bytes, timeout: float) -> bytes:
        """Return the machine's result once the command is committed and applied.

        Raise `Failure` with `NO_QUORUM` after `timeout` seconds.
        """
        proposal = new_proposal(self._rng, name, command, self._forwarder.known_index)
        return await self._forwarder.propose(proposal, self._timers.now() + timeout)

    async def barrier(self, timeout: float) -> int:
        """Return a log position that covers all commits up to this call.

        Raise `Failure` with `NO_QUORUM` after `timeout` seconds.
        """
        return await self._forwarder.barrier(self._timers.now() + timeout)
