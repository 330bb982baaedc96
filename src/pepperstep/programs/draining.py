"""Drain of a host that stops: what it still takes, and when it may end.

The reasons for the times are in `docs/design/draining.md`.
"""

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass

import trio
from absl import logging

from pepperstep.adapters.http1 import Http1Server, PendingWork
from pepperstep.observability.decisions import DrainEnded
from pepperstep.ports import Timers
from pepperstep.programs.relay_settings import RelayBounds

__all__ = ["DIRECTORY_SECONDS", "Drain", "DrainSchedule"]

# Time to live of the entry hosts' addresses at callers. Some callers keep the
# addresses three times as long, and a stopping host must wait for them.
DIRECTORY_SECONDS = 1.5
_MAX_DIRECTORY_LIFETIMES = 3
# Time until no host's answers name a stopping host any longer.
_DIRECTORY_LAG_SECONDS = 0.5
# Requests of any length are taken for this long, at most for this share of the grace
# period. Requests that may still run at the kill are taken only early in the period.
_ANY_LENGTH_SECONDS = 2.5
_ANY_LENGTH_SHARE = 0.3125
# Shares of the grace period, which ends with the kill.
_ANSWERED_SHARE = 0.92
_CLOSED_SHARE = 0.97


@dataclass(frozen=True, slots=True)
class DrainSchedule:
    """Times of a drain in seconds after the stop signal."""

    # Callers may have this host's address until then.
    addressed: float
    # Afterwards, requests are taken only if their deadlines expire before `answered`.
    any_length: float
    # No request is in progress any longer.
    answered: float
    # The process ends, even if connections are open.
    closed: float

    @classmethod
    def from_config(
        cls, bounds: RelayBounds, *, has_addresses_cached: bool = True
    ) -> "DrainSchedule":
        """Return the schedule of a host that is killed after the grace period.

        `has_addresses_cached` is whether callers may know the host's address.
        """
        grace = bounds.grace_seconds
        answered = _ANSWERED_SHARE * grace
        cached = 0.0
        if has_addresses_cached:
            lifetime = min(DIRECTORY_SECONDS, bounds.directory_seconds)
            cached = _DIRECTORY_LAG_SECONDS + _MAX_DIRECTORY_LIFETIMES * lifetime
        return cls(
            addressed=min(cached, answered),
            any_length=min(_ANY_LENGTH_SECONDS, _ANY_LENGTH_SHARE * grace),
            answered=answered,
            closed=_CLOSED_SHARE * grace,
        )

    def accepts(self, elapsed: float, remaining: float) -> bool:
        """Whether a request is taken `elapsed` seconds after the start.

        `remaining` is the time until its deadline.
        """
        return elapsed < self.any_length or elapsed + remaining <= self.answered


def _do_nothing(*_) -> None:
    pass


class Drain:
    """Ends a host's work and closes its connections, so that no request is cut.

    `start_leaving` gets the time of the stop signal and tells other hosts of the stop.
    `hand_over` returns once they have taken over what this host holds. `end_work`
    answers what is still in progress and refuses what comes.
    """

    def __init__(
        self,
        servers: Sequence[Http1Server],
        schedule: DrainSchedule,
        timers: Timers,
        *,
        start_leaving: Callable[[float], None] = _do_nothing,
        hand_over: Callable[[], Awaitable[None]] = trio.lowlevel.checkpoint,
        end_work: Callable[[], None] = _do_nothing,
    ):
        self._servers = servers
        self._start_leaving = start_leaving
        self._hand_over = hand_over
        self._end_work = end_work
        self._schedule = schedule
        self._timers = timers
        self._started_at = 0.0

    async def run(self, started_at: float) -> None:
        """Return once all connections are closed, or when their time is over.

        `started_at` is the time of the stop signal.
        """
        self._started_at = started_at
        for server in self._servers:
            server.announce_closing()
        self._start_leaving(started_at)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._end_work_in_time)
            await self._wait_unneeded()
            with self._timers.move_on_after(self._schedule.closed - self._elapsed):
                async with trio.open_nursery() as closing:
                    for server in self._servers:
                        closing.start_soon(server.close)
            self._record_end()
            nursery.cancel_scope.cancel()

    @property
    def _elapsed(self) -> float:
        return self._timers.now() - self._started_at

    @property
    def _pending(self) -> PendingWork:
        return sum((each.pending_work for each in self._servers), PendingWork())

    async def _wait_unneeded(self) -> None:
        """Return once nobody needs this host's addresses, or its time is over.

        Requests may be in progress and still come: closing the servers answers those.
        Waiting until there are none would hold a host for as long as callers call.
        """
        with self._timers.move_on_after(self._schedule.answered - self._elapsed):
            await self._hand_over()
            await self._timers.sleep(self._schedule.addressed - self._elapsed)

    async def _end_work_in_time(self) -> None:
        await self._timers.sleep(self._schedule.answered - self._elapsed)
        self._end_work()

    def _record_end(self) -> None:
        pending = self._pending
        event = DrainEnded(
            after_ms=round(1000 * self._elapsed),
            in_progress=pending.in_progress,
            unread=pending.unread,
            unaccepted=pending.unaccepted,
        )
        logging.info("daemon: %s", event)
