"""What keeps requests going when upstreams leave, end or fall silent."""

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
# An upstream that sends nothing for this time is probed.
_PROBE_AFTER_SECONDS = 1.5
# One that answers probes but sends no token is given up after this time, or
# after the second one if no token of the attempt has come yet.
_STALLED_STREAM_SECONDS = 10.0
_STALLED_START_SECONDS = 60.0


class _NoMoves:
    """Moves of a host that hears of no reclaim and knows no upstreams."""

    def __init__(self) -> None:
        self.attempts = Attempts()

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Return at once."""
        task_status.started()

    def is_leaving(self, upstream: Upstream) -> bool:
        """Return what the upstream says."""
        return upstream.is_leaving

    def candidates(self) -> list[Upstream]:
        """Return nothing."""
        return []


class Recovery:
    """Moves, the guard against crashing requests, and probes of one host."""

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
        """Return the parts put together; `moves` is then the router's view."""
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
        """Return parts that move nothing and guard against nothing."""
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
        """Stop an attempt whose upstream doesn't answer, or that is stuck."""
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
