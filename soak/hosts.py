"""Processes of a run's hosts, and the signals that they get."""

import signal
from dataclasses import dataclass, field
from pathlib import Path

import trio

from pepperstep.adapters.http1 import Http1Connector
from pepperstep.ports.exchange import ConnectionFault
from soak.plan import STOPS, SignalSeries
from standins.platform_site import Site

__all__ = ["Hosts", "Life"]

_POLL_SECONDS = 0.01
_LISTEN_SECONDS = 30.0
# Time for a process to end by a signal's default action.
_END_SECONDS = 0.2
# A process that still runs this long after its grace period is killed.
_OVERDUE_SECONDS = 5.0


@dataclass(slots=True)
class Life:
    """A process of a host; times are trio's."""

    host: str
    started_at: float
    log: Path
    # Size of the log file at the start and the end.
    log_begin: int
    log_end: int | None = None
    signals: list[tuple[float, str]] = field(default_factory=list)
    listens_at: float = float("inf")
    ended_at: float = float("inf")
    code: int | None = None

    @property
    def stopped_at(self) -> float:
        """Time of the first signal that asks for a stop, infinite without one."""
        return min((at for at, name in self.signals if name in STOPS), default=_NEVER)

    @property
    def killed_at(self) -> float:
        """Time of SIGKILL, infinite without one."""
        return min((at for at, name in self.signals if name == "KILL"), default=_NEVER)

    def pauses(self) -> list[tuple[float, float]]:
        """Return the intervals in which the process was frozen."""
        begins = [at for at, name in self.signals if name == "STOP"]
        ends = [at for at, name in self.signals if name == "CONT"]
        return [
            (begin, min((end for end in ends if end >= begin), default=self.ended_at))
            for begin in begins
        ]

    def lines(self) -> list[str]:
        """Return the lines that the process has logged."""
        data = self.log.read_bytes()[self.log_begin : self.log_end]
        return data.decode("utf-8", "replace").splitlines()


_NEVER = float("inf")


class Hosts:
    """Starts, signals and restarts a site's hosts, and records their processes."""

    def __init__(self, site: Site, controls: tuple[str, ...], grace: float):
        self._site = site
        self._seeds = [_number_of(name) for name in controls]
        self._grace = grace
        self._connector = Http1Connector(trio.current_time)
        # Series of signals to a host come one after the other.
        self._locks: dict[str, trio.Lock] = {}
        self._current: dict[str, Life] = {}
        self.lives: list[Life] = []
        # Set once no series begins any longer.
        self.is_ending = False

    def start(self, name: str, *, is_first: bool = False) -> Life:
        """Start a host's process."""
        number = _number_of(name)
        self._site.start(name, number, is_first=is_first, seeds=self._seeds)
        log = self._site.daemons[name].log
        life = Life(name, trio.current_time(), log, log.stat().st_size)
        self._locks.setdefault(name, trio.Lock())
        self._current[name] = life
        self.lives.append(life)
        return life

    async def apply(self, series: SignalSeries) -> None:
        """Send a series of signals, and start the host again if it ends."""
        async with self._locks[series.host]:
            if self.is_ending:
                return
            life = self._current[series.host]
            if series.anchor != "running":
                await self._end(life, "KILL")
                life = self.start(series.host)
                if series.anchor == "listen":
                    await self._wait_listening(life)
            begin = trio.current_time()
            for delay, name in series.steps:
                await trio.sleep_until(begin + delay)
                self._send(life, name)
            # SIGHUP at the start may end a process before it can handle it.
            await trio.sleep(_END_SECONDS)
            ends = min(life.stopped_at, life.killed_at) < _NEVER
            if ends or self._has_ended(life):
                await self._wait_end(life)
                await trio.sleep(series.back)
                self.start(series.host)

    def start_ended(self) -> None:
        """Start the hosts whose processes have ended."""
        for life in list(self._current.values()):
            if self._has_ended(life):
                self.start(life.host)

    async def watch(self) -> None:
        """Record when processes begin to listen and end, until cancelled."""
        async with trio.open_nursery() as nursery:
            watched = 0
            while True:
                for life in self.lives[watched:]:
                    nursery.start_soon(self._wait_listening, life)
                watched = len(self.lives)
                for life in self._current.values():
                    self._has_ended(life)
                await trio.sleep(_POLL_SECONDS)

    async def stop_all(
        self, names: tuple[str, ...], steps: tuple[tuple[float, str], ...]
    ) -> None:
        """Send the same signals to several hosts, and wait until they have ended."""

        async def stop(name: str) -> None:
            async with self._locks[name]:
                life = self._current[name]
                begin = trio.current_time()
                for delay, each in steps:
                    await trio.sleep_until(begin + delay)
                    self._send(life, each)
                await self._wait_end(life)

        async with trio.open_nursery() as nursery:
            for name in names:
                nursery.start_soon(stop, name)

    async def _end(self, life: Life, name: str) -> None:
        self._send(life, name)
        while not self._has_ended(life):
            await trio.sleep(_POLL_SECONDS)

    async def _wait_end(self, life: Life) -> None:
        """Wait until a stopping process has ended; kill one that is overdue."""
        self._send_missing_continue(life)
        with trio.move_on_at(self._due(life) + _OVERDUE_SECONDS):
            while not self._has_ended(life):
                await trio.sleep(_POLL_SECONDS)
            return
        await self._end(life, "KILL")

    def _due(self, life: Life) -> float:
        stopped_at = min(life.stopped_at, trio.current_time())
        return stopped_at + self._grace + sum(b - a for a, b in life.pauses())

    def _send_missing_continue(self, life: Life) -> None:
        if any(end == _NEVER for _, end in life.pauses()):
            self._send(life, "CONT")

    def _send(self, life: Life, name: str) -> None:
        if self._has_ended(life):
            return
        life.signals.append((trio.current_time(), name))
        self._site.daemons[life.host].stop(getattr(signal, f"SIG{name}"))

    def _has_ended(self, life: Life) -> bool:
        if life.code is None and self._current[life.host] is life:
            life.code = self._site.daemons[life.host].process.poll()
            if life.code is not None:
                life.ended_at = trio.current_time()
                life.log_end = life.log.stat().st_size
        return life.code is not None

    async def _wait_listening(self, life: Life) -> None:
        """Record when the process first accepts a connection of a caller."""
        if life.host.startswith("control"):
            address = self._site.control_address(life.host, 1)
        else:
            address = self._site.address(life.host)
        with trio.move_on_after(_LISTEN_SECONDS):
            while life.code is None and life.listens_at == _NEVER:
                try:
                    connection = await self._connector.connect(address, 0.5)
                except ConnectionFault:
                    await trio.sleep(_POLL_SECONDS)
                else:
                    life.listens_at = min(life.listens_at, trio.current_time())
                    connection.close()


def _number_of(name: str) -> int:
    return int(name.rpartition("-")[2])
