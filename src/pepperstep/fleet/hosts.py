"""Starts and stops rented hosts, as the record says.

The cloud starts one host for each token however often it's asked, so a start
in doubt is asked for again, also by the next leader. A host whose token isn't
in the record is stopped. Who starts an engine on a host: the host's image
does, and the engine announces itself with the cloud's host id as its `host`;
the fleet then orders its models loaded.
"""

import random
from collections.abc import Callable

import trio
from absl import logging

from pepperstep.errors import Failure
from pepperstep.fleet.acts import Action, ActionKind, ActionState, Step
from pepperstep.fleet.history import Mark, MarkKind, Pool, PoolKey
from pepperstep.fleet.record import FleetRecord
from pepperstep.fleet.tuning import FleetTuning
from pepperstep.ports import Timers
from pepperstep.ports.cloud import Cloud, CloudHost, StartRefused

__all__ = ["TOKEN_PREFIX", "HostKeeper"]

# Tokens of the fleet begin so; hosts with other tokens are left alone.
TOKEN_PREFIX = "fleet"

# Listings in a row that must lack a host before it counts as gone.
_MISSING_LISTINGS = 2
_MAX_EXPONENT = 16


class HostKeeper:
    """Rented hosts in one epoch."""

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
        self._missing: dict[str, int] = {}
        self._orphans_since: dict[str, float] = {}

    async def list_hosts(self) -> list[CloudHost]:
        """Return the cloud's hosts, and record what became of the known ones.

        Raise OSError if the cloud can't be reached.
        """
        known = self._record.machine.hosts()
        hosts = None
        with self._timers.move_on_after(self._tuning.cloud_timeout):
            hosts = await self._cloud.list_hosts()
        if hosts is None:
            raise OSError("The cloud doesn't answer.")
        await self._note_listing(known, hosts)
        await self._stop_orphans(hosts)
        return hosts

    async def advance(self, is_drained: Callable[[str], bool]) -> None:
        """Bring all open starts and stops as far as it goes now.

        `is_drained` tells whether a host's engines run nothing any more.
        """
        until = self._timers.now() + self._tuning.cloud_timeout
        async with trio.open_nursery() as nursery:
            for act in self._record.machine.open_actions():
                if act.kind is ActionKind.START:
                    nursery.start_soon(self._guard, self._start, act, until)
                elif act.kind is ActionKind.STOP and self._may_stop(act, is_drained):
                    nursery.start_soon(self._guard, self._stop, act, until)

    async def _guard(self, work: Callable, act: Action, until: float) -> None:
        """Do the work, a few at a time; what isn't begun by `until` waits."""
        async with self._calls:
            if self._timers.now() >= until:
                return
            try:
                await work(act)
            except Failure as failure:
                text = failure.text
                logging.warning("fleet: %s %s waits: %s", act.kind, act.id, text)

    async def _start(self, act: Action) -> None:
        if await self._is_given_up(act):
            return
        if not await self._mark_sent(act):
            return
        host = None
        try:
            with self._timers.move_on_after(self._tuning.cloud_timeout):
                host = await self._cloud.start_host(act.id, act.offer, act.deployment)
        except StartRefused as refusal:
            await self._note_refused(act, refusal)
        except OSError as error:
            logging.warning("fleet: Start %s is in doubt: %s", act.id, error)
        if host is not None:
            await self._note_started(act, host.id)

    async def _mark_sent(self, act: Action) -> bool:
        """Return whether the act is recorded as sent and this host leads now."""
        if act.state is ActionState.RECORDED:
            touched = await self._record.commit(steps=[Step.of(act, ActionState.SENT)])
            return bool(touched) and self._record.is_valid
        return self._record.is_valid

    async def _is_given_up(self, act: Action) -> bool:
        age = self._timers.wall() - act.recorded_at
        if age < self._tuning.start_timeout:
            return False
        reason = f"No answer of the cloud for {age:.0f} s."
        await self._record.commit(steps=[Step.of(act, ActionState.UNDONE, reason)])
        return True

    async def _note_started(self, act: Action, host_id: str) -> None:
        step = Step.of(act, ActionState.DONE, host_id=host_id)
        mark = Mark(PoolKey.of(act.offer), MarkKind.STARTED)
        await self._record.commit(steps=[step], marks=[mark])

    async def _note_refused(self, act: Action, refusal: StartRefused) -> None:
        key = PoolKey.of(act.offer)
        seconds = max(refusal.retry_after, self._backoff(key))
        mark = Mark(key, MarkKind.REFUSED, self._timers.wall() + seconds)
        reason = f"{refusal}; no start in {key} for {seconds:.0f} s."
        step = Step.of(act, ActionState.REFUSED, reason)
        await self._record.commit(steps=[step], marks=[mark])

    def _backoff(self, key: PoolKey) -> float:
        """Return seconds that grow with each refusal in a row, with jitter."""
        pool = self._record.machine.pools.get(key, Pool())
        if self._timers.wall() < pool.blocked_until:
            return 0.0
        exponent = min(pool.refusals_in_row, _MAX_EXPONENT)
        longest = min(
            self._tuning.max_backoff, self._tuning.first_backoff * 2**exponent
        )
        return longest * (0.5 + self._rng.random() / 2)

    def _may_stop(self, act: Action, is_drained: Callable[[str], bool]) -> bool:
        age = self._timers.wall() - act.recorded_at
        if is_drained(act.host_id):
            return age >= self._tuning.drain_settle
        return age >= self._tuning.drain_timeout

    async def _stop(self, act: Action) -> None:
        if not await self._mark_sent(act):
            return
        is_stopped = False
        try:
            with self._timers.move_on_after(self._tuning.cloud_timeout):
                await self._cloud.stop_host(act.host_id)
                is_stopped = True
        except OSError as error:
            logging.warning("fleet: Stop of %s is in doubt: %s", act.host_id, error)
        if is_stopped:
            await self._note_gone(act.host_id, "It was stopped.")

    async def _note_listing(self, known: list[Action], hosts: list[CloudHost]) -> None:
        """Record starts that are found, and hosts that are gone.

        `known` are the starts from before the listing.
        """
        by_token = {host.token: host for host in hosts}
        for act in known:
            host = by_token.get(act.id)
            if host is not None:
                self._missing.pop(act.id, None)
                if act.is_open:
                    await self._note_started(act, host.id)
            elif act.state is ActionState.DONE:
                self._missing[act.id] = self._missing.get(act.id, 0) + 1
                if self._missing[act.id] >= _MISSING_LISTINGS:
                    del self._missing[act.id]
                    await self._note_gone(act.host_id, "The cloud lists it no longer.")

    async def _note_gone(self, host_id: str, reason: str) -> None:
        """End a host's start, and its stop if one is open."""
        steps = []
        for act in self._record.machine.acts.values():
            if act.host_id != host_id:
                continue
            is_start = act.kind is ActionKind.START
            state = ActionState.ENDED if is_start else ActionState.DONE
            steps.append(Step.of(act, state, reason))
        await self._record.commit(steps=steps)

    async def _stop_orphans(self, hosts: list[CloudHost]) -> None:
        acts = self._record.machine.acts
        now = self._timers.now()
        orphans = {
            host.id: host
            for host in hosts
            if host.token.startswith(TOKEN_PREFIX + "-") and host.token not in acts
        }
        self._orphans_since = {
            host_id: self._orphans_since.get(host_id, now) for host_id in orphans
        }
        for host_id, since in self._orphans_since.items():
            if now - since >= self._tuning.orphan_grace:
                await self._stop_orphan(orphans[host_id])

    async def _stop_orphan(self, host: CloudHost) -> None:
        reason = f"Its token {host.token} is not in the record."
        act = Action(
            id=self._record.new_id("stop"),
            kind=ActionKind.STOP,
            deployment=host.deployment,
            host_id=host.id,
            reason=reason,
        )
        stops = {a.host_id for a in self._record.machine.open_actions()}
        if host.id not in stops:
            await self._record.commit(acts=[act])
