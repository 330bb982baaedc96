"""Polling of the cloud's reclaim notices and their delivery to the handler.

A notice is committed before it is delivered, and committed as delivered afterwards, so
that the next leader can resume. If a leader fails between delivery and the second
commit, the next leader delivers the notice again under the same id.
"""

from collections.abc import Awaitable, Callable

from absl import logging

from pepperstep.fleet.history import PoolEvent, PoolEventKind, PoolKey
from pepperstep.fleet.machine import FleetStateMachine
from pepperstep.fleet.record import FleetRecord
from pepperstep.fleet.tuning import FleetTuning
from pepperstep.ports import Timers
from pepperstep.ports.cloud import Cloud, ReclaimNotice

__all__ = ["OnReclaim", "ReclaimPoller"]

# Handles new notices; after a change of leader an id may be delivered twice.
OnReclaim = Callable[[list[ReclaimNotice]], Awaitable[None]]

# Time after a host's reclaim during which its pool starts no hosts.
_RECLAIM_PAUSE_SECONDS = 60.0


class ReclaimPoller:
    """Polls and delivers reclaim notices during one leadership epoch."""

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
        """Commit new notices and deliver all undelivered ones.

        Raise OSError if the cloud API is unreachable.
        """
        machine = self._record.machine
        await self._deliver(machine)
        notices = None
        with self._timers.move_on_after(self._tuning.cloud_timeout):
            notices = await self._cloud.list_notices(machine.last_notice)
        if notices is None:
            raise OSError("Listing reclaim notices timed out.")
        new = [notice for notice in notices if notice.id > machine.last_notice]
        if new and self._record.is_valid:
            await self._record.commit(
                notices=new, pool_events=self._reclaim_events(machine, new)
            )
            await self._deliver(machine)

    async def _deliver(self, machine: FleetStateMachine) -> None:
        undelivered = [
            notice
            for notice in machine.notices.values()
            if notice.id not in machine.handed_notices
        ]
        if not undelivered or not self._record.is_valid:
            return
        logging.info("fleet: Delivering %d reclaim notices.", len(undelivered))
        is_delivered = False
        with self._timers.move_on_after(self._tuning.delivery_timeout):
            await self._on_reclaim(undelivered)
            is_delivered = True
        if is_delivered:
            ids = [notice.id for notice in undelivered]
            await self._record.commit(handed_notices=ids)

    def _reclaim_events(
        self, machine: FleetStateMachine, notices: list[ReclaimNotice]
    ) -> list[PoolEvent]:
        offers = {action.host_id: action.offer for action in machine.live_starts()}
        pool_events = {}
        for notice in notices:
            offer = offers.get(notice.host_id)
            if offer is not None:
                key = PoolKey.of(offer)
                until = notice.at + _RECLAIM_PAUSE_SECONDS
                pool_events[key] = PoolEvent(key, PoolEventKind.RECLAIMED, until)
        return list(pool_events.values())
