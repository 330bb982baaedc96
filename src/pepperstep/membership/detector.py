"""Failure detector: direct and indirect probes, suspicion and death.

A failed probe makes its target a suspect only if a helper answers that its own
probe of the target failed too. Without any helper's answer, this host may be the
isolated one.
"""

import random
from dataclasses import replace

import trio
from absl import logging

from pepperstep.membership.exchange import Exchange
from pepperstep.membership.health import LocalHealth
from pepperstep.membership.members import (
    Member,
    MemberChange,
    MemberState,
    MemberTable,
)
from pepperstep.membership.settings import MembershipSettings
from pepperstep.ports import Timers

__all__ = ["Detector"]

_MAX_CONCURRENT_PROBES = 8
# With only two hosts in a region, no third host can tell which one is isolated, so
# a suspect gets this many times the usual time to refute.
_TWO_HOST_TIMEOUT_FACTOR = 9


class Detector:
    """Probes the members of this host's region and declares silent ones dead."""

    def __init__(
        self,
        table: MemberTable,
        exchange: Exchange,
        health: LocalHealth,
        timers: Timers,
        rng: random.Random,
        settings: MembershipSettings,
    ):
        self._table = table
        self._exchange = exchange
        self._health = health
        self._timers = timers
        self._rng = rng
        self._settings = settings
        # Names of members still to probe in this round.
        self._probe_round: list[str] = []
        self._suspects: list[Member] = []
        self._suspect_added = trio.Event()
        self._limiter = trio.CapacityLimiter(_MAX_CONCURRENT_PROBES)
        table.subscribe(self._on_change)

    async def run(self) -> None:
        """Probe one member per period until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_suspects)
            ticks = self._timers.subscribe(self._settings.probe_period, 0.2)
            async for _ in ticks:
                target = self._next_target()
                if target is not None and self._limiter.available_tokens:
                    nursery.start_soon(self._probe, target)

    async def _probe(self, target: Member) -> None:
        async with self._limiter:
            is_reached = await self._is_reachable(target)
        if is_reached:
            self._health.record_success()
        elif is_reached is None and not self._is_two_host_region():
            self._health.record_failure()
        else:
            self._suspect(target)

    async def _is_reachable(self, target: Member) -> bool | None:
        """Return whether this host or a helper reaches `target`.

        Return None if neither the target nor any helper answers.
        """
        timeout = self._settings.probe_timeout * self._health.timeout_factor
        if await self._exchange.ping(target.name, timeout):
            return True
        answers: list[bool] = []
        async with trio.open_nursery() as nursery:
            for helper in self._choose_helpers(target):
                nursery.start_soon(
                    self._ping_through, helper.name, target.name, answers
                )
        return any(answers) if answers else None

    async def _ping_through(
        self, helper: str, target: str, answers: list[bool]
    ) -> None:
        # Longer than the helper's own probe, so that its failure is reported.
        timeout = 1.5 * self._settings.probe_timeout * self._health.timeout_factor
        answer = await self._exchange.ping_indirectly(helper, target, timeout)
        if answer is not None:
            answers.append(answer)

    def _choose_helpers(self, target: Member) -> list[Member]:
        """Return helpers: one from this host's zone, the rest from other zones.

        The helper in the same zone can still answer if all other zones are lost.
        """
        zone = self._table.own.host.zone
        others = [
            member for member in self._region_peers() if member.name != target.name
        ]
        self._rng.shuffle(others)
        others.sort(key=lambda member: member.state is MemberState.SUSPECT)
        near = [member for member in others if member.host.zone == zone][:1]
        far = [member for member in others if member.host.zone != zone]
        return (near + far)[: self._settings.helper_count]

    def _next_target(self) -> Member | None:
        while self._probe_round:
            member = self._table.get(self._probe_round.pop())
            if member is not None and not member.is_gone:
                return member
        self._probe_round = [member.name for member in self._region_peers()]
        self._rng.shuffle(self._probe_round)
        return self._table.get(self._probe_round.pop()) if self._probe_round else None

    def _region_peers(self) -> list[Member]:
        return self._table.others(self._table.own.host.region)

    def _is_two_host_region(self) -> bool:
        return len(self._region_peers()) <= 1

    def _suspect(self, target: Member) -> None:
        known = self._table.get(target.name)
        if known is None or known.state >= MemberState.SUSPECT:
            return
        suspect = replace(known, state=MemberState.SUSPECT)
        self._table.merge(suspect, self._timers.now())

    def _on_change(self, change: MemberChange) -> None:
        own_region = self._table.own.host.region
        is_watched = change.after.host.region == own_region
        if is_watched and change.after.state is MemberState.SUSPECT:
            self._suspects.append(change.after)
            self._suspect_added.set()

    async def _watch_suspects(self) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                await self._suspect_added.wait()
                self._suspect_added = trio.Event()
                for suspect in self._suspects:
                    nursery.start_soon(self._await_refutation, suspect)
                self._suspects.clear()

    async def _await_refutation(self, suspect: Member) -> None:
        """Declare `suspect` dead unless it refutes the suspicion in time."""
        while True:
            timeout = self._settings.suspicion_timeout * self._health.timeout_factor
            if self._is_two_host_region():
                timeout *= _TWO_HOST_TIMEOUT_FACTOR
            due = self._timers.now() + timeout
            await self._timers.sleep(timeout)
            known = self._table.get(suspect.name)
            if known is None or known.version != suspect.version:
                return
            if self._can_declare_dead(due, timeout):
                break
        logging.info("membership: %s is dead.", suspect.name)
        dead = replace(suspect, state=MemberState.DEAD)
        self._table.merge(dead, self._timers.now())

    def _can_declare_dead(self, due: float, timeout: float) -> bool:
        """Return whether a refutation would have reached this host by now.

        It would not if this host was paused or had no recent contact.
        """
        if self._health.was_paused(due):
            return False
        return self._is_two_host_region() or self._health.has_contact_since(
            due - timeout / 2
        )
