"""Takes the cloud's reclaim notices in and hands them on.

A notice is committed before it's handed on, and marked once it was; the next
leader goes on from there. A leader that dies between the two makes the next
one hand the same notice on again, under the same id.
"""

from collections.abc import Awaitable, Callable

from absl import logging

from pepperstep.fleet.history import Mark, MarkKind, PoolKey
from pepperstep.fleet.machine import FleetStateMachine
from pepperstep.fleet.record import FleetRecord
from pepperstep.fleet.tuning import FleetTuning
from pepperstep.ports import Timers
from pepperstep.ports.cloud import Cloud, ReclaimNotice

__all__ = ["OnReclaim", "ReclaimWatch"]

# Takes notices that are new; an id may come again after a change of leader.
OnReclaim = Callable[[list[ReclaimNotice]], Awaitable[None]]

# Time after a zone's reclaim during which its pools start nothing.
_CLOSED_SECONDS = 60.0


class ReclaimWatch:
    """Reclaim notices in one epoch."""

    def __init__(
        self,
        record: FleetRecord,
        cloud: Cloud,
        timers: Timers,
        tuning: FleetTuning,
        on_reclaim: OnReclaim,
    ):
        self._record = record
        self._cloud = cloud
        self._timers = timers
        self._tuning = tuning
        self._on_reclaim = on_reclaim

    async def poll(self) -> None:
        """Commit new notices and hand on all that weren't yet.

        Raise OSError if the cloud can't be reached.
        """
        machine = self._record.machine
        await self._hand_on(machine)
        notices = None
        with self._timers.move_on_after(self._tuning.cloud_timeout):
            notices = await self._cloud.list_notices(machine.last_notice)
        if notices is None:
            raise OSError("The cloud doesn't answer.")
        new = [notice for notice in notices if notice.id > machine.last_notice]
        if new and self._record.is_valid:
            await self._record.commit(notices=new, marks=self._marks(machine, new))
            await self._hand_on(machine)

    async def _hand_on(self, machine: FleetStateMachine) -> None:
        waiting = [
            notice
            for notice in machine.notices.values()
            if notice.id not in machine.handed_notices
        ]
        if not waiting or not self._record.is_valid:
            return
        logging.info("fleet: Hands on %d reclaim notices.", len(waiting))
        is_handed = False
        with self._timers.move_on_after(self._tuning.hand_on_timeout):
            await self._on_reclaim(waiting)
            is_handed = True
        if is_handed:
            ids = [notice.id for notice in waiting]
            await self._record.commit(handed_notices=ids)

    def _marks(
        self, machine: FleetStateMachine, notices: list[ReclaimNotice]
    ) -> list[Mark]:
        offers = {act.host_id: act.offer for act in machine.hosts()}
        marks = {}
        for notice in notices:
            offer = offers.get(notice.host_id)
            if offer is not None:
                key = PoolKey.of(offer)
                until = notice.at + _CLOSED_SECONDS
                marks[key] = Mark(key, MarkKind.RECLAIMED, until)
        return list(marks.values())
