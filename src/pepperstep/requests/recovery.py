"""Keeps requests running when upstreams are reclaimed, crash or stop responding."""

import random

import trio

from pepperstep.entities import Upstream
from pepperstep.ports import PeerNetwork, Timers
from pepperstep.ports.directory import Directory
from pepperstep.ports.upstreams import UpstreamClient
from pepperstep.requests.attempts import ActiveAttempt, Attempts, Cause, Resumption
from pepperstep.requests.crash_guard import CrashGuard
from pepperstep.requests.guards import Guard, NoGuard
from pepperstep.requests.mover import Moves, MoveSettings
from pepperstep.requests.probes import Health, Probes
from pepperstep.routing import UpstreamView

__all__ = ["Recovery"]

_CHECK_INTERVAL_SECONDS = 0.5
# An upstream whose stream is silent for this time is probed.
_PROBE_AFTER_SECONDS = 1.5
# An upstream that answers probes but sends no token is abandoned after this time.
# Before the attempt's first token, queueing and prefill may take longer.
_STALLED_STREAM_SECONDS = 10.0
_STALLED_START_SECONDS = 60.0


class _NoMoves:
    """Moves of a host that gets no reclaim notices."""

    def __init__(self) -> None:
        self.attempts = Attempts()

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Return at once."""
        task_status.started()

    def is_leaving(self, upstream: Upstream) -> bool:
        """Return whether the upstream itself announced that it leaves."""
        return upstream.is_leaving

    def candidates(self) -> list[Upstream]:
        """Return no upstreams."""
        return []


class Recovery:
    """A host's request moves, crash guard and upstream probes."""

    def __init__(
        self, moves: Moves | _NoMoves, guard: Guard, probes: Probes, timers: Timers
    ):
        self.moves = moves
        self.guard = guard
        self.probes = probes
        self._timers = timers

    @classmethod
    def from_ports(
        cls,
        host: str,
        incarnation: int,
        peers: PeerNetwork,
        timers: Timers,
        directory: Directory,
        upstreams: UpstreamClient,
        rng: random.Random,
        *,
        view: UpstreamView,
        settings: MoveSettings | None = None,
        is_guarded: bool = True,
    ) -> "Recovery":
        """Create all parts; `moves` then serves as the router's upstream view."""
        guard: Guard = NoGuard()
        ignore_losses = None
        if is_guarded:
            guard = CrashGuard(host, incarnation, peers, timers, directory, rng)
            ignore_losses = guard.ignore_losses
        moves = Moves(
            host,
            peers,
            timers,
            directory,
            upstreams,
            view,
            rng,
            settings,
            ignore_losses,
        )
        return cls(moves, guard, Probes(upstreams, view, timers), timers)

    @classmethod
    def disabled(cls, upstreams: UpstreamClient, timers: Timers) -> "Recovery":
        """Return a recovery that moves no requests and blocks none."""
        moves = _NoMoves()
        return cls(moves, NoGuard(), Probes(upstreams, moves, timers), timers)

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Run all parts until cancelled."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self.moves.run)
            await nursery.start(self.guard.run)
            task_status.started()
            async for now in self._timers.subscribe(_CHECK_INTERVAL_SECONDS):
                self.probes.record_live_upstreams()
                for active in self.moves.attempts.active():
                    if now - active.last_chunk_at > _PROBE_AFTER_SECONDS:
                        nursery.start_soon(self._check_silent_attempt, active)

    async def _check_silent_attempt(self, active: ActiveAttempt) -> None:
        """Stop an attempt whose upstream doesn't respond or whose stream stalls."""
        if active.is_exporting:
            return
        last_chunk_at = active.last_chunk_at
        health = await self.probes.check(active.upstream)
        if active.last_chunk_at != last_chunk_at or active.is_exporting:
            return
        silence = self._timers.now() - last_chunk_at
        has_started = len(active.run.tokens) > active.start
        limit = _STALLED_STREAM_SECONDS if has_started else _STALLED_START_SECONDS
        if health is not Health.ALIVE or silence > limit:
            active.stop(Resumption(Cause.SILENCE))
