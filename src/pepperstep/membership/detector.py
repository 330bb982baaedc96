"""Failure detector: probes, suspicion, and when a suspect counts as dead.

A failed probe counts against its target only if a helper answers that it
fails too; else this host may be the one that is cut off.
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

_MAX_PROBES = 8
# Longer timeout where there is no third host that could tell who is cut off.
_PAIR_FACTOR = 9


class Detector:
    """Probes the members of this host's region and judges those that are silent."""

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
        # Names still to probe in this round.
        self._round: list[str] = []
        self._suspects: list[Member] = []
        self._has_suspects = trio.Event()
        self._limiter = trio.CapacityLimiter(_MAX_PROBES)
        table.subscribe(self._on_change)

    async def run(self) -> None:
        """Probe one member each period."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._judge_all)
            ticks = self._timers.subscribe(self._settings.probe_period, 0.2)
            async for _ in ticks:
                target = self._next_target()
                if target is not None and self._limiter.available_tokens:
                    nursery.start_soon(self._probe, target)

    async def _probe(self, target: Member) -> None:
        async with self._limiter:
            is_reached = await self._reaches(target)
        if is_reached:
            self._health.note_success()
        elif is_reached is None and not self._is_pair():
            self._health.note_failure()
        else:
            self._suspect(target)

    async def _reaches(self, target: Member) -> bool | None:
        """Return whether anybody reaches `target`, None if no helper answers."""
        timeout = self._settings.probe_timeout * self._health.factor
        if await self._exchange.ping(target.name, timeout):
            return True
        answers: list[bool] = []
        async with trio.open_nursery() as nursery:
            for helper in self._choose_helpers(target):
                nursery.start_soon(self._ask, helper.name, target.name, answers)
        return any(answers) if answers else None

    async def _ask(self, helper: str, target: str, answers: list[bool]) -> None:
        # Long enough for the helper's own probe to fail.
        timeout = 1.5 * self._settings.probe_timeout * self._health.factor
        answer = await self._exchange.ask_helper(helper, target, timeout)
        if answer is not None:
            answers.append(answer)

    def _choose_helpers(self, target: Member) -> list[Member]:
        """Return helpers from other zones, but for one of this host's own.

        The one can answer where all other zones are lost.
        """
        zone = self._table.own.host.zone
        others = [member for member in self._watched() if member.name != target.name]
        self._rng.shuffle(others)
        others.sort(key=lambda member: member.state is MemberState.SUSPECT)
        near = [member for member in others if member.host.zone == zone][:1]
        far = [member for member in others if member.host.zone != zone]
        return (near + far)[: self._settings.helper_count]

    def _next_target(self) -> Member | None:
        while self._round:
            member = self._table.get(self._round.pop())
            if member is not None and not member.is_gone:
                return member
        self._round = [member.name for member in self._watched()]
        self._rng.shuffle(self._round)
        return self._table.get(self._round.pop()) if self._round else None

    def _watched(self) -> list[Member]:
        return self._table.others(self._table.own.host.region)

    def _is_pair(self) -> bool:
        return len(self._watched()) <= 1

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
            self._has_suspects.set()

    async def _judge_all(self) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                await self._has_suspects.wait()
                self._has_suspects = trio.Event()
                for suspect in self._suspects:
                    nursery.start_soon(self._judge, suspect)
                self._suspects.clear()

    async def _judge(self, suspect: Member) -> None:
        """Declare `suspect` dead unless it refutes in time."""
        while True:
            timeout = self._settings.suspicion_timeout * self._health.factor
            if self._is_pair():
                timeout *= _PAIR_FACTOR
            due = self._timers.now() + timeout
            await self._timers.sleep(timeout)
            known = self._table.get(suspect.name)
            if known is None or known.version != suspect.version:
                return
            if self._can_judge(due, timeout):
                break
        logging.info("membership: %s is dead.", suspect.name)
        dead = replace(suspect, state=MemberState.DEAD)
        self._table.merge(dead, self._timers.now())

    def _can_judge(self, due: float, timeout: float) -> bool:
        """Return whether a refutation would have reached this host."""
        if self._health.was_paused(due):
            return False
        return self._is_pair() or self._health.has_contact_since(due - timeout / 2)
