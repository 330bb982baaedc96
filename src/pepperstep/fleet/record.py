"""A leader's access to the fleet's agreed record."""

import random
from collections.abc import Iterable

from absl import logging

from pepperstep.errors import Code, Failure
from pepperstep.fleet.acts import Action, Step
from pepperstep.fleet.costs import CostKey
from pepperstep.fleet.events import Event
from pepperstep.fleet.history import Mark
from pepperstep.fleet.machine import MACHINE_NAME, FleetStateMachine
from pepperstep.fleet.messages import (
    act_from,
    act_to,
    event_to,
    mark_to,
    notice_to,
    step_to,
)
from pepperstep.fleet.tuning import FleetTuning
from pepperstep.ports import Agreement, Timers
from pepperstep.ports.cloud import ReclaimNotice
from pepperstep.proto import fleet_pb2 as pb

__all__ = ["FleetRecord", "record_events"]

_LEASE_POLL_SECONDS = 0.05
_LEASE_POLLS = 20


class FleetRecord:
    """Changes of the record in one epoch, which `begin` opens."""

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
        self._count = 0

    @property
    def epoch(self) -> int:
        """Epoch that this host leads in, 0 before it has begun."""
        return self._epoch

    @property
    def is_valid(self) -> bool:
        """Whether this host leads in this epoch now, under its lease."""
        return (
            self._epoch != 0
            and self._agreement.is_leader
            and self._agreement.term == self._term
            and self.machine.epoch == self._epoch
        )

    async def begin(self) -> None:
        """Open an epoch, from which on all earlier ones are refused."""
        command = self._command(self._random_id())
        command.lead.leader = self._host
        command.lead.term = self._term
        result = await self._propose(command)
        if result.is_fenced:
            raise Failure(Code.FENCED, "Another host leads in a newer term.")
        self._epoch = result.epoch
        logging.info("fleet: Leads in epoch %d, term %d.", self._epoch, self._term)

    async def commit(
        self,
        *,
        acts: Iterable[Action] = (),
        steps: Iterable[Step] = (),
        marks: Iterable[Mark] = (),
        notices: Iterable[ReclaimNotice] = (),
        handed_notices: Iterable[int] = (),
        rates: dict[CostKey, float] | None = None,
        events: Iterable[Event] = (),
    ) -> list[Action]:
        """Commit changes together and return the acts that they touched.

        Raise `Failure` with `FENCED` if a newer epoch has begun, and with
        `NO_QUORUM` if it isn't known whether the changes were committed.
        """
        command = self._command(self.new_id("command"))
        command.acts.extend(act_to(act) for act in acts)
        command.steps.extend(step_to(step) for step in steps)
        command.marks.extend(mark_to(mark) for mark in marks)
        command.notices.extend(notice_to(notice) for notice in notices)
        command.handed_notices.extend(handed_notices)
        command.events.extend(event_to(event) for event in events)
        if rates is not None:
            command.rates.SetInParent()
            for key, rate in rates.items():
                command.rates.rates.add(
                    deployment=key.deployment, price_class=key.price_class, rate=rate
                )
        result = await self._propose(command)
        if result.is_fenced:
            raise Failure(Code.FENCED, f"Epoch {result.epoch} has begun.")
        return [act_from(act) for act in result.acts]

    async def wait_lease(self, seconds: float) -> bool:
        """Return whether the lease holds for more than `seconds` from now on.

        Nothing else runs between the check and the caller's next step.
        """
        for _ in range(_LEASE_POLLS):
            if not self.is_valid:
                return False
            if self._agreement.lease_remaining > seconds:
                return True
            await self._timers.sleep(_LEASE_POLL_SECONDS)
        return False

    def new_id(self, prefix: str) -> str:
        """Return an id that no other host and no other epoch gives."""
        self._count += 1
        return f"{prefix}-{self._epoch}-{self._count}"

    def event(self, kind: str, subject: str, text: str, reason: str = "") -> Event:
        """Return an event that happens now."""
        return Event(self._timers.wall(), kind, subject, text, reason)

    def _command(self, command_id: str) -> pb.FleetCommand:
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
    """Add events to the record from any host; `command_id` must be unique."""
    command = pb.FleetCommand(id=command_id)
    command.events.extend(event_to(event) for event in events)
    await _propose(agreement, command, timeout)


async def _propose(
    agreement: Agreement, command: pb.FleetCommand, timeout: float
) -> pb.FleetResult:
    data = command.SerializeToString()
    return pb.FleetResult.FromString(
        await agreement.propose(MACHINE_NAME, data, timeout)
    )
