"""Commits changes to the fleet's replicated state machine."""

import random
from collections.abc import Iterable

from absl import logging

from pepperstep.errors import Code, Failure
from pepperstep.fleet.actions import Action, Transition
from pepperstep.fleet.costs import CostKey
from pepperstep.fleet.events import Event
from pepperstep.fleet.history import PoolEvent
from pepperstep.fleet.machine import MACHINE_NAME, FleetStateMachine
from pepperstep.fleet.messages import (
    action_from_message,
    action_to_message,
    event_to_message,
    notice_to_message,
    pool_event_to_message,
    transition_to_message,
)
from pepperstep.fleet.tuning import FleetTuning
from pepperstep.ports import Agreement, Timers
from pepperstep.ports.cloud import ReclaimNotice
from pepperstep.proto import fleet_pb2 as pb

__all__ = ["FleetRecord", "record_events"]

_LEASE_POLL_SECONDS = 0.05
_LEASE_POLLS = 20


class FleetRecord:
    """Commits the leader's changes during one epoch, which `begin` opens."""

    def __init__(
        self,
        host: str,
        agreement: Agreement,
        machine: FleetStateMachine,
        timers: Timers,
        rng: random.Random,
        tuning: FleetTuning,
    ):
        self.machine = machine
        self.began_at = timers.now()
        self._host = host
        self._agreement = agreement
        self._timers = timers
        self._rng = rng
        self._tuning = tuning
        self._term = agreement.term
        self._epoch = 0
        self._id_count = 0

    @property
    def epoch(self) -> int:
        """Epoch opened by `begin`, 0 before that."""
        return self._epoch

    @property
    def is_valid(self) -> bool:
        """Whether this host still leads in this epoch."""
        return (
            self._epoch != 0
            and self._agreement.is_leader
            and self._agreement.term == self._term
            and self.machine.epoch == self._epoch
        )

    async def begin(self) -> None:
        """Open a new epoch, which fences off the commands of all earlier epochs.

        Raise `Failure` with `FENCED` if another host leads in a newer term.
        """
        command = self._make_command(self._random_id())
        command.lead.leader = self._host
        command.lead.term = self._term
        result = await self._propose(command)
        if result.is_fenced:
            raise Failure(Code.FENCED, "Another host leads in a newer term.")
        self._epoch = result.epoch
        logging.info("fleet: Leading in epoch %d, term %d.", self._epoch, self._term)

    async def commit(
        self,
        *,
        actions: Iterable[Action] = (),
        transitions: Iterable[Transition] = (),
        pool_events: Iterable[PoolEvent] = (),
        notices: Iterable[ReclaimNotice] = (),
        handed_notices: Iterable[int] = (),
        rates: dict[CostKey, float] | None = None,
        events: Iterable[Event] = (),
    ) -> list[Action]:
        """Commit changes atomically and return the actions that they changed.

        Raise `Failure` with `FENCED` if a newer epoch has begun, and with
        `NO_QUORUM` if the outcome of the commit is unknown.
        """
        command = self._make_command(self.new_id("command"))
        command.acts.extend(action_to_message(action) for action in actions)
        command.steps.extend(
            transition_to_message(transition) for transition in transitions
        )
        command.marks.extend(
            pool_event_to_message(pool_event) for pool_event in pool_events
        )
        command.notices.extend(notice_to_message(notice) for notice in notices)
        command.handed_notices.extend(handed_notices)
        command.events.extend(event_to_message(event) for event in events)
        if rates is not None:
            command.rates.SetInParent()
            for key, rate in rates.items():
                command.rates.rates.add(
                    deployment=key.deployment, price_class=key.price_class, rate=rate
                )
        result = await self._propose(command)
        if result.is_fenced:
            raise Failure(Code.FENCED, f"Epoch {result.epoch} has begun.")
        return [action_from_message(action) for action in result.acts]

    async def wait_for_lease(self, seconds: float) -> bool:
        """Wait for a lease of more than `seconds`; return whether there is one.

        There is no checkpoint between the check and the return, so that the caller
        acts while the result still holds.
        """
        for _ in range(_LEASE_POLLS):
            if not self.is_valid:
                return False
            if self._agreement.lease_remaining > seconds:
                return True
            await self._timers.sleep(_LEASE_POLL_SECONDS)
        return False

    def new_id(self, prefix: str) -> str:
        """Return an id that is unique over all hosts and epochs."""
        self._id_count += 1
        return f"{prefix}-{self._epoch}-{self._id_count}"

    def event(self, kind: str, subject: str, text: str, reason: str = "") -> Event:
        """Return an event with the current time."""
        return Event(self._timers.wall(), kind, subject, text, reason)

    def _make_command(self, command_id: str) -> pb.FleetCommand:
        return pb.FleetCommand(
            epoch=self._epoch, id=command_id, time=self._timers.wall()
        )

    def _random_id(self) -> str:
        return f"{self._host}-{self._rng.getrandbits(64):016x}"

    async def _propose(self, command: pb.FleetCommand) -> pb.FleetResult:
        return await _propose(self._agreement, command, self._tuning.commit_timeout)


async def record_events(
    agreement: Agreement,
    events: Iterable[Event],
    command_id: str,
    timeout: float,
) -> None:
    """Commit events from any host, leader or not; `command_id` must be unique."""
    command = pb.FleetCommand(id=command_id)
    command.events.extend(event_to_message(event) for event in events)
    await _propose(agreement, command, timeout)


async def _propose(
    agreement: Agreement, command: pb.FleetCommand, timeout: float
) -> pb.FleetResult:
    data = command.SerializeToString()
    return pb.FleetResult.FromString(
        await agreement.propose(MACHINE_NAME, data, timeout)
    )
