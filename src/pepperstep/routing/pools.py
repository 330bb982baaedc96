"""Upstreams by what they serve, kept up to date with this host's view."""

from collections.abc import Callable, Hashable, Iterable
from typing import Protocol

from pepperstep.entities import Priority, Upstream
from pepperstep.routing.averages import MovingAverage
from pepperstep.routing.queue import FairQueue, Waiter
from pepperstep.routing.service_levels import ServiceLevels
from pepperstep.routing.settings import RoutingSettings
from pepperstep.routing.tracked import TrackedUpstream
from pepperstep.routing.work import pool_keys

__all__ = ["Pool", "Pools", "UpstreamView"]

_INITIAL_TOKENS_PER_CHARACTER = 0.25
# Predicted waits from which on errors are learned, and the largest error.
_MIN_LEARNED_WAIT_SECONDS = 0.1
_MAX_WAIT_ERROR = 4.0


class UpstreamView(Protocol):
    """Upstreams that live and take new work, as this host knows them."""

    def candidates(self) -> Iterable[Upstream]:
        """Return the upstreams with a lease that aren't leaving."""


class Pool:
    """All upstreams that serve one model key or service, and its queue."""

    def __init__(self, key: Hashable, queue: FairQueue):
        self.key = key
        self.queue = queue
        self.members: list[TrackedUpstream] = []
        self.by_name: dict[str, TrackedUpstream] = {}
        # Seconds to prefill a token and for a decode step, at the fastest member.
        self.prefill_seconds = 0.0
        self.decode_seconds = 0.0
        # Attempts of this host in flight for requests of the pool.
        self.in_flight = 0
        self.class_in_flight = [0 for _ in Priority]
        # Seconds that an attempt holds its place, by class, and for all.
        self.hold_times = [MovingAverage() for _ in Priority]
        self.hold_time = MovingAverage()
        # Seconds from dispatch to the first token.
        self.first_token = MovingAverage()
        # Tokens generated as a share of the most that were asked for, by class.
        self.answer_shares = [MovingAverage(0.05, initial=0.5) for _ in Priority]
        self.tokens_per_character = MovingAverage(
            0.05, initial=_INITIAL_TOKENS_PER_CHARACTER
        )
        # Waits as a multiple of what was predicted, by class.
        self.wait_errors = [MovingAverage(0.002, initial=1.0) for _ in Priority]
        # When each class was last asked for.
        self.last_request_at = [float("-inf") for _ in Priority]
        self._typical = (float("-inf"), 0.0, 0.0)

    def share_of(self, priority: Priority, now: float, settings) -> float:
        """Return the share of places that a class may take now."""
        above = max(self.last_request_at[:priority], default=float("-inf"))
        is_above_used = now - above < settings.class_seconds
        share = settings.class_shares[priority]
        return share if is_above_used else max(1.0, share)

    def set_members(self, members: list[TrackedUpstream]) -> None:
        """Take the upstreams that serve the key now."""
        self.members = members
        self.by_name = {each.upstream.name: each for each in members}
        loads = [each.upstream.load for each in members]
        if loads:
            self.prefill_seconds = min(load.prefill_seconds for load in loads)
            self.decode_seconds = min(load.decode_seconds for load in loads)

    def record_wait(self, waiter: Waiter, now: float) -> None:
        """Learn from a wait that has ended how far the prediction was off."""
        if waiter.predicted_wait > _MIN_LEARNED_WAIT_SECONDS:
            error = (now - waiter.queued_at) / waiter.predicted_wait
            errors = self.wait_errors[waiter.work.request.priority]
            errors.add(min(_MAX_WAIT_ERROR, error * errors.value))

    def typical(self, now: float) -> tuple[float, float]:
        """Return the lower quartiles of the members' overheads and gaps."""
        computed_at, overhead, gap = self._typical
        if now - computed_at > 0.5:
            overhead = _lower_quartile(each.overhead for each in self.members)
            gap = _lower_quartile(each.gap for each in self.members)
            self._typical = (now, overhead, gap)
        return overhead, gap


class Pools:
    """All pools of this host."""

    def __init__(
        self,
        view: UpstreamView,
        settings: RoutingSettings,
        service_levels: ServiceLevels,
        new_queue: Callable[[], FairQueue],
        forget: Callable[[str], None],
    ):
        self._view = view
        self._settings = settings
        self._service_levels = service_levels
        self._new_queue = new_queue
        self._forget = forget
        self._pools: dict[Hashable, Pool] = {}
        self._tracked: dict[str, TrackedUpstream] = {}
        self._synced_at = float("-inf")

    def __iter__(self):
        return iter(list(self._pools.values()))

    @property
    def upstreams(self) -> list[TrackedUpstream]:
        """All upstreams in the view."""
        return list(self._tracked.values())

    def get(self, key: Hashable, now: float) -> Pool:
        """Return the pool of a key, brought up to date."""
        self.sync(now)
        pool = self._pools.get(key)
        if pool is None or not pool.members:
            self.sync(now, 0.0)
            pool = self._pools.get(key)
        if pool is None:
            pool = self._pools[key] = Pool(key, self._new_queue())
        return pool

    def find(self, name: str, epoch: int) -> TrackedUpstream | None:
        """Return an upstream if this start of it is in the view."""
        tracked = self._tracked.get(name)
        if tracked is None or tracked.upstream.epoch != epoch:
            return None
        return tracked

    def sync(self, now: float, max_age: float | None = None) -> None:
        """Bring all pools up to date, if they are older than some seconds."""
        if max_age is None:
            max_age = self._settings.view_period
        if now - self._synced_at >= max_age:
            self._synced_at = now
            self._track(self._view.candidates(), now)

    def _track(self, candidates: Iterable[Upstream], now: float) -> None:
        before = self._tracked
        peer_count = self._service_levels.peer_count
        self._tracked = {}
        members: dict[Hashable, list[TrackedUpstream]] = {}
        for upstream in candidates:
            tracked = self._update(before.get(upstream.name), upstream, now)
            tracked.peer_count = peer_count
            self._tracked[upstream.name] = tracked
            for key in pool_keys(upstream):
                members.setdefault(key, []).append(tracked)
        for name in before.keys() - self._tracked.keys():
            self._forget(name)
        for key in members.keys() - self._pools.keys():
            self._pools[key] = Pool(key, self._new_queue())
        for key, pool in self._pools.items():
            pool.set_members(members.get(key, []))

    def _update(
        self, tracked: TrackedUpstream | None, upstream: Upstream, now: float
    ) -> TrackedUpstream:
        if tracked is None:
            return TrackedUpstream(upstream, self._settings, now)
        if tracked.upstream.epoch != upstream.epoch:
            self._forget(upstream.name)
            return TrackedUpstream(upstream, self._settings, now)
        tracked.update(upstream, now)
        return tracked


def _lower_quartile(averages: Iterable[MovingAverage]) -> float:
    values = sorted(each.value for each in averages if each.count)
    return values[len(values) // 4] if values else 0.0
