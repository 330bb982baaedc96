"""Start and stop of rented hosts, as committed in the fleet's state machine.

Starts are idempotent: the cloud starts one host for each token however often it is
asked. A start without a definite answer is therefore sent again, by this leader or the
next. A host whose token the state machine doesn't have is an orphan and is stopped.

The image of a host starts an engine, which announces itself with the cloud's host id as
its `host`; the fleet then orders it to load its models.
"""

import random
from collections.abc import Callable

import trio
from absl import logging

from pepperstep.errors import Failure
from pepperstep.fleet.actions import Action, ActionKind, ActionState, Transition
from pepperstep.fleet.history import PoolEvent, PoolEventKind, PoolHistory, PoolKey
from pepperstep.fleet.record import FleetRecord
from pepperstep.fleet.tuning import FleetTuning
from pepperstep.ports import Timers
from pepperstep.ports.cloud import Cloud, CloudHost, StartRefused

__all__ = ["TOKEN_PREFIX", "HostManager"]

# Prefix of the fleet's tokens; hosts with other tokens are never stopped.
TOKEN_PREFIX = "fleet"

# Consecutive listings without a host after which it counts as stopped.
_MAX_MISSING_LISTINGS = 2
_MAX_BACKOFF_EXPONENT = 16


class HostManager:
    """Starts, stops and tracks rented hosts during one leadership epoch."""

    def __init__(
        self,
        record: FleetRecord,
        cloud: Cloud,
        timers: Timers,
        rng: random.Random,
        tuning: FleetTuning,
    ):
        self._record = record
        self._cloud = cloud
        self._timers = timers
        self._rng = rng
        self._tuning = tuning
        self._calls = trio.CapacityLimiter(tuning.cloud_calls)
        self._missing_listings: dict[str, int] = {}
        self._orphans_since: dict[str, float] = {}

    async def list_hosts(self) -> list[CloudHost]:
        """Return the cloud's hosts, and commit which starts succeeded or ended.

        Raise OSError if the cloud API is unreachable.
        """
        known = self._record.machine.live_starts()
        hosts = None
        with self._timers.move_on_after(self._tuning.cloud_timeout):
            hosts = await self._cloud.list_hosts()
        if hosts is None:
            raise OSError("Listing hosts timed out.")
        await self._record_listing(known, hosts)
        await self._stop_orphans(hosts)
        return hosts

    async def advance(self, is_drained: Callable[[str], bool]) -> None:
        """Send all open starts and the stops that are due.

        `is_drained` returns whether the engines on a host have no requests left.
        """
        until = self._timers.now() + self._tuning.cloud_timeout
        async with trio.open_nursery() as nursery:
            for action in self._record.machine.open_actions():
                if action.kind is ActionKind.START:
                    nursery.start_soon(self._run_limited, self._start, action, until)
                elif action.kind is ActionKind.STOP and self._may_stop(
                    action, is_drained
                ):
                    nursery.start_soon(self._run_limited, self._stop, action, until)

    async def _run_limited(
        self, function: Callable, action: Action, until: float
    ) -> None:
        """Run `function` under the limit of concurrent calls to the cloud.

        If `until` has passed by then, leave it to the next period.
        """
        async with self._calls:
            if self._timers.now() >= until:
                return
            try:
                await function(action)
            except Failure as failure:
                text = failure.text
                logging.warning(
                    "fleet: %s %s is delayed: %s", action.kind, action.id, text
                )

    async def _start(self, action: Action) -> None:
        if await self._undo_if_expired(action):
            return
        if not await self._mark_sent(action):
            return
        host = None
        try:
            with self._timers.move_on_after(self._tuning.cloud_timeout):
                host = await self._cloud.start_host(
                    action.id, action.offer, action.deployment
                )
        except StartRefused as refusal:
            await self._record_refused(action, refusal)
        except OSError as error:
            logging.warning(
                "fleet: Start %s has no definite answer: %s", action.id, error
            )
        if host is not None:
            await self._record_started(action, host.id)

    async def _mark_sent(self, action: Action) -> bool:
        """Commit the action as sent; return whether it may be sent by this host."""
        if action.state is ActionState.RECORDED:
            changed = await self._record.commit(
                transitions=[Transition.of(action, ActionState.SENT)]
            )
            return bool(changed) and self._record.is_valid
        return self._record.is_valid

    async def _undo_if_expired(self, action: Action) -> bool:
        age = self._timers.wall() - action.recorded_at
        if age < self._tuning.start_timeout:
            return False
        reason = f"No answer of the cloud for {age:.0f} s."
        await self._record.commit(
            transitions=[Transition.of(action, ActionState.UNDONE, reason)]
        )
        return True

    async def _record_started(self, action: Action, host_id: str) -> None:
        transition = Transition.of(action, ActionState.DONE, host_id=host_id)
        pool_event = PoolEvent(PoolKey.of(action.offer), PoolEventKind.STARTED)
        await self._record.commit(transitions=[transition], pool_events=[pool_event])

    async def _record_refused(self, action: Action, refusal: StartRefused) -> None:
        key = PoolKey.of(action.offer)
        seconds = max(refusal.retry_after, self._backoff(key))
        pool_event = PoolEvent(
            key, PoolEventKind.REFUSED, self._timers.wall() + seconds
        )
        reason = f"{refusal}; no start in {key} for {seconds:.0f} s."
        transition = Transition.of(action, ActionState.REFUSED, reason)
        await self._record.commit(transitions=[transition], pool_events=[pool_event])

    def _backoff(self, key: PoolKey) -> float:
        """Return the exponential backoff with jitter, in seconds.

        Starts refused while the pool is blocked were sent together with an earlier
        refused one and don't add to the backoff.
        """
        pool = self._record.machine.pools.get(key, PoolHistory())
        if self._timers.wall() < pool.blocked_until:
            return 0.0
        exponent = min(pool.refusals_in_row, _MAX_BACKOFF_EXPONENT)
        limit = min(self._tuning.max_backoff, self._tuning.first_backoff * 2**exponent)
        return limit * (0.5 + self._rng.random() / 2)

    def _may_stop(self, action: Action, is_drained: Callable[[str], bool]) -> bool:
        age = self._timers.wall() - action.recorded_at
        if is_drained(action.host_id):
            return age >= self._tuning.drain_settle
        return age >= self._tuning.drain_timeout

    async def _stop(self, action: Action) -> None:
        if not await self._mark_sent(action):
            return
        is_stopped = False
        try:
            with self._timers.move_on_after(self._tuning.cloud_timeout):
                await self._cloud.stop_host(action.host_id)
                is_stopped = True
        except OSError as error:
            logging.warning(
                "fleet: Stop of %s has no definite answer: %s", action.host_id, error
            )
        if is_stopped:
            await self._record_gone(action.host_id, "It was stopped.")

    async def _record_listing(
        self, known: list[Action], hosts: list[CloudHost]
    ) -> None:
        """Commit starts whose host is listed, and hosts that are no longer listed.

        `known` are the starts as of before the listing, so that a start committed
        meanwhile isn't taken for a missing host.
        """
        by_token = {host.token: host for host in hosts}
        for action in known:
            host = by_token.get(action.id)
            if host is not None:
                self._missing_listings.pop(action.id, None)
                if action.is_open:
                    await self._record_started(action, host.id)
            elif action.state is ActionState.DONE:
                self._missing_listings[action.id] = (
                    self._missing_listings.get(action.id, 0) + 1
                )
                if self._missing_listings[action.id] >= _MAX_MISSING_LISTINGS:
                    del self._missing_listings[action.id]
                    await self._record_gone(
                        action.host_id, "The cloud lists it no longer."
                    )

    async def _record_gone(self, host_id: str, reason: str) -> None:
        """Commit that a host has stopped: end its start and complete its stop."""
        transitions = []
        for action in self._record.machine.actions.values():
            if action.host_id != host_id:
                continue
            is_start = action.kind is ActionKind.START
            state = ActionState.ENDED if is_start else ActionState.DONE
            transitions.append(Transition.of(action, state, reason))
        await self._record.commit(transitions=transitions)

    async def _stop_orphans(self, hosts: list[CloudHost]) -> None:
        actions = self._record.machine.actions
        now = self._timers.now()
        orphans = {
            host.id: host
            for host in hosts
            if host.token.startswith(TOKEN_PREFIX + "-") and host.token not in actions
        }
        self._orphans_since = {
            host_id: self._orphans_since.get(host_id, now) for host_id in orphans
        }
        for host_id, since in self._orphans_since.items():
            if now - since >= self._tuning.orphan_grace:
                await self._stop_orphan(orphans[host_id])

    async def _stop_orphan(self, host: CloudHost) -> None:
        reason = f"Its token {host.token} is not in the record."
        action = Action(
            id=self._record.new_id("stop"),
            kind=ActionKind.STOP,
            deployment=host.deployment,
            host_id=host.id,
            reason=reason,
        )
        stops = {a.host_id for a in self._record.machine.open_actions()}
        if host.id not in stops:
            await self._record.commit(actions=[action])
