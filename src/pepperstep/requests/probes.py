"""Probes upstreams whose stream failed, to find out why."""

import enum
from dataclasses import dataclass

import trio

from pepperstep.entities import Upstream
from pepperstep.ports import Timers
from pepperstep.ports.upstreams import UpstreamClient, UpstreamFault
from pepperstep.requests.suspects import incarnation_id
from pepperstep.routing import UpstreamView

__all__ = ["Diagnosis", "Health", "Probes"]

_PROBE_TIMEOUT_SECONDS = 0.5
# A single broken connection doesn't show that the process has ended.
_PROBE_TRIES = 2
_PROBE_SHARING_SECONDS = 0.1
# Limit on the neighbours that are probed with an upstream.
_MAX_NEIGHBOURS = 4
# A neighbour known to be dead for longer was lost independently.
_JOINT_LOSS_SECONDS = 1.0
# A neighbour last seen longer ago than this was lost independently.
_RECENTLY_SEEN_SECONDS = 1.2
_SEEN_RETENTION_SECONDS = 60.0
# Must be longer than the lease of an upstream.
_RESULT_RETENTION_SECONDS = 10.0


class Health(enum.Enum):
    """State of one incarnation of an upstream."""

    ALIVE = enum.auto()
    # The process has ended: connections are refused, or a new incarnation answers.
    ENDED = enum.auto()
    # Nothing answers in time: the host or the network path to it failed.
    UNREACHABLE = enum.auto()


@dataclass(frozen=True, slots=True)
class Diagnosis:
    """Health of an upstream and of its neighbours.

    Neighbours are the upstreams on the same cloud host or, if there are none, those in
    the same zone.
    """

    health: Health
    dead_peers: tuple[str, ...] = ()
    live_peers: int = 0


@dataclass(slots=True)
class _Probe:
    done: trio.Event
    started_at: float
    diagnosis: Diagnosis | None = None


class Probes:
    """Probes upstreams, with at most one probe in progress for each."""

    def __init__(self, upstreams: UpstreamClient, view: UpstreamView, timers: Timers):
        self._upstreams = upstreams
        self._view = view
        self._timers = timers
        self._probes: dict[str, _Probe] = {}
        # Recently seen upstreams, kept because the view may drop lost ones at once.
        self._seen: dict[str, tuple[Upstream, float]] = {}
        # When each upstream incarnation was first found dead (monotonic seconds).
        self._dead_since: dict[str, float] = {}

    def record_live_upstreams(self) -> None:
        """Remember the upstreams of the current view; call this periodically."""
        now = self._timers.now()
        for upstream in self._view.candidates():
            self._seen[upstream.name] = (upstream, now)
        for name, (_, seen_at) in list(self._seen.items()):
            if now - seen_at > _SEEN_RETENTION_SECONDS:
                del self._seen[name]

    def last_seen(self, name: str) -> Upstream | None:
        """Return an upstream as last seen, or None if that was too long ago."""
        upstream, _ = self._seen.get(name, (None, 0.0))
        return upstream

    async def diagnose(self, upstream: Upstream) -> Diagnosis:
        """Return the upstream's current state; concurrent calls share a probe."""
        key = incarnation_id(upstream)
        asked_at = self._timers.now()
        while True:
            probe = self._probes.get(key)
            if probe is None or asked_at - probe.started_at > _PROBE_SHARING_SECONDS:
                return await self._start_probe(key, upstream)
            await probe.done.wait()
            if self._is_current(probe, asked_at):
                return probe.diagnosis
            if self._probes.get(key) is probe:
                del self._probes[key]

    async def check(self, upstream: Upstream) -> Health:
        """Return whether this incarnation of the upstream is alive."""
        health = Health.UNREACHABLE
        with self._timers.move_on_after(_PROBE_TIMEOUT_SECONDS):
            health = await self._read_state(upstream)
        if health is Health.ENDED:
            key = incarnation_id(upstream)
            self._dead_since.setdefault(key, self._timers.now())
        return health

    def _is_current(self, probe: _Probe, asked_at: float) -> bool:
        """Whether a probe is valid at `asked_at`.

        A probe that began earlier is valid only if it found the upstream dead, which is
        final.
        """
        if probe.diagnosis is None:
            return False
        is_ended = probe.diagnosis.health is Health.ENDED
        return is_ended or probe.started_at >= asked_at

    async def _start_probe(self, key: str, upstream: Upstream) -> Diagnosis:
        probe = self._probes[key] = _Probe(trio.Event(), self._timers.now())
        try:
            probe.diagnosis = await self._probe_all(upstream)
        finally:
            probe.done.set()
            self._remove_expired()
        return probe.diagnosis

    async def _read_state(self, upstream: Upstream) -> Health:
        for _ in range(_PROBE_TRIES):
            try:
                state = await self._upstreams.read_state(upstream)
            except UpstreamFault as fault:
                if fault.has_answered:
                    return Health.ALIVE
            else:
                is_same = state.epoch == upstream.epoch
                return Health.ALIVE if is_same else Health.ENDED
        return Health.ENDED

    async def _probe_all(self, upstream: Upstream) -> Diagnosis:
        health = await self.check(upstream)
        if health is not Health.ENDED:
            return Diagnosis(health)
        dead: list[str] = []
        live: list[str] = []
        async with trio.open_nursery() as nursery:
            for peer in self._neighbours(upstream):
                nursery.start_soon(self._classify, peer, dead, live)
        return Diagnosis(health, tuple(dead), len(live))

    async def _classify(self, peer: Upstream, dead: list[str], live: list[str]) -> None:
        health = await self.check(peer)
        names = live if health is Health.ALIVE else dead
        names.append(incarnation_id(peer))

    def _neighbours(self, upstream: Upstream) -> list[Upstream]:
        """Return upstreams that a failure of the same host or zone would also end."""
        self.record_live_upstreams()
        limit = self._timers.now() - _JOINT_LOSS_SECONDS
        others = [
            other
            for other, seen_at in self._seen.values()
            if other.name != upstream.name
            and self._timers.now() - seen_at <= _RECENTLY_SEEN_SECONDS
            and self._dead_since.get(incarnation_id(other), limit) >= limit
        ]
        on_host = [other for other in others if other.host == upstream.host]
        in_zone = [other for other in others if other.zone == upstream.zone]
        return (on_host or in_zone)[:_MAX_NEIGHBOURS]

    def _remove_expired(self) -> None:
        limit = self._timers.now() - _RESULT_RETENTION_SECONDS
        for key, probe in list(self._probes.items()):
            if probe.done.is_set() and probe.started_at < limit:
                del self._probes[key]
        for key, since in list(self._dead_since.items()):
            if since < limit:
                del self._dead_since[key]
