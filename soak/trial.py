"""Carries out a plan, and returns the record of what happened."""

import signal
from dataclasses import dataclass, field
from pathlib import Path

import trio

from soak.callers import Callers, Sent
from soak.hosts import Hosts, Life
from soak.operators import Operators, Probe, Version
from soak.plan import ConfigChange, Plan
from soak.upstreams import Arrival, Upstreams
from standins.platform_site import Site

__all__ = ["Record", "run_plan"]

# Bounds of waits that say nothing about the hosts' speed.
_START_SECONDS = 60.0
_CHANGE_SECONDS = 20.0
_SETTLE_SECONDS = 30.0
_PACE_SECONDS = 0.05
_FIRST = ConfigChange(0.0, timeout_ms=9_000, idle_ms=15_000)


@dataclass(slots=True)
class Record:
    """What callers, upstreams, operators and the platform saw; times are trio's."""

    plan: Plan
    begun_at: float = 0.0
    sent: list[Sent] = field(default_factory=list)
    refused: list[tuple[str, float]] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    # Services and times of upstreams' crashes.
    crashes: list[tuple[str, float]] = field(default_factory=list)
    lives: list[Life] = field(default_factory=list)
    versions: list[Version] = field(default_factory=list)
    probes: list[Probe] = field(default_factory=list)
    reads: list[tuple[int, int]] = field(default_factory=list)
    # Start of the calm before the last stop.
    settled_at: float = 0.0
    # What didn't come about in the calm, "" for nothing.
    unsettled: str = ""
    # Largest delay of the soak's own timers in seconds.
    delay: float = 0.0


async def run_plan(plan: Plan, folder: Path, daemon: Path | None = None) -> Record:
    """Carry out a plan with settings, data and logs in `folder`.

    `daemon` is the program of the hosts, None for this checkout's.
    """
    _restore_signals()
    options = {"bounds": {"grace_s": plan.grace}}
    if daemon is not None:
        options["daemon"] = daemon
    async with Site.open(folder, **options) as site:
        return await _Trial(plan, site).run()


def _restore_signals() -> None:
    """Restore default actions of signals that this process was started to ignore.

    Hosts would inherit them. Shells start background jobs in this way.
    """
    for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        if signal.getsignal(number) is signal.SIG_IGN:
            signal.signal(number, signal.SIG_DFL)


class _Trial:
    """A plan that is carried out on a site."""

    def __init__(self, plan: Plan, site: Site):
        self._plan = plan
        self._site = site
        self._record = Record(plan)
        self._hosts = Hosts(site, plan.controls, plan.grace)
        self._upstreams = Upstreams(site)
        self._operators = Operators(site, plan.controls, plan.entries)
        self._callers = Callers(plan.callers, plan.seed, site.address)

    async def run(self) -> Record:
        """Return the record of the run."""
        record = self._record
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._measure_delay)
            await self._start(nursery)
            record.begun_at = trio.current_time()
            async with trio.open_nursery() as calls:
                calls.start_soon(self._callers.run)
                await self._play()
                await self._settle()
                await self._hosts.stop_all(self._plan.entries, self._plan.last)
                self._callers.end()
            await self._hosts.stop_all(self._plan.controls, self._plan.last)
            nursery.cancel_scope.cancel()
        record.sent, record.refused = self._callers.sent, self._callers.refused
        record.arrivals, record.lives = self._upstreams.arrivals, self._hosts.lives
        record.crashes = self._upstreams.crashes
        record.versions = self._operators.versions
        record.probes, record.reads = self._operators.probes, self._operators.reads
        return record

    async def _start(self, nursery: trio.Nursery) -> None:
        for name in (*self._plan.controls, *self._plan.entries):
            self._hosts.start(name, is_first=True)
        nursery.start_soon(self._hosts.watch)
        for name, service in self._plan.upstreams.items():
            await self._upstreams.start(name, service)
        with trio.fail_after(_START_SECONDS):
            await self._operators.change(_FIRST, _START_SECONDS)
            await self._wait_ready()
        nursery.start_soon(self._operators.watch)
        nursery.start_soon(self._operators.read_repeatedly)

    async def _play(self) -> None:
        """Let all events happen, and return once they are over."""
        async with trio.open_nursery() as nursery:
            for series in self._plan.series:
                nursery.start_soon(self._at, series.at, self._hosts.apply, series)
            for fault in self._plan.faults:
                nursery.start_soon(self._at, fault.at, self._upstreams.apply, fault)
            for change in self._plan.changes:
                nursery.start_soon(
                    self._at, change.at, self._operators.change, change, _CHANGE_SECONDS
                )
            await trio.sleep(self._plan.seconds)
            self._hosts.is_ending = True

    async def _settle(self) -> None:
        """Change the configuration once more in the calm, and read it."""
        self._record.settled_at = trio.current_time()
        with trio.move_on_after(_SETTLE_SECONDS) as scope:
            self._hosts.start_ended()
            self._record.unsettled = "an entry host isn't ready"
            await self._wait_ready()
            self._record.unsettled = "a change isn't acknowledged"
            await self._operators.change(_FIRST, _SETTLE_SECONDS)
            self._record.unsettled = "no control host answers"
            while not await self._operators.read():
                await trio.sleep(_PACE_SECONDS)
            self._record.unsettled = "a version isn't in force everywhere"
            while not self._is_in_force():
                await trio.sleep(_PACE_SECONDS)
        if not scope.cancelled_caught:
            self._record.unsettled = ""

    def _is_in_force(self) -> bool:
        latest = self._operators.acknowledged
        seen = {
            probe.host
            for probe in self._operators.probes
            if probe.version == latest and probe.is_in_force
        }
        return seen == set(self._plan.entries)

    async def _wait_ready(self) -> None:
        for name in self._plan.entries:
            while not await self._site.is_ready(name):
                await trio.sleep(_PACE_SECONDS)

    async def _at(self, at: float, action, *arguments) -> None:
        await trio.sleep_until(self._record.begun_at + at)
        await action(*arguments)

    async def _measure_delay(self) -> None:
        """Measure how late this process's timers are, until cancelled."""
        while True:
            due = trio.current_time() + _PACE_SECONDS
            await trio.sleep_until(due)
            self._record.delay = max(self._record.delay, trio.current_time() - due)
