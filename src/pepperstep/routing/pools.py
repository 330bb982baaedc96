"""Pools of upstreams that serve the same requests, synced with the registry."""

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
# Shortest predicted wait whose error corrects later predictions.
_MIN_LEARNED_WAIT_SECONDS = 0.1
_MAX_WAIT_ERROR = 4.0


class UpstreamView(Protocol):
    """The live upstreams that this host knows and that accept work."""

    def candidates(self) -> Iterable[Upstream]:
        """Return the upstreams that hold a lease and aren't leaving."""


class Pool:
    """The upstreams that serve one model key or service, and its queue."""

    def __init__(self, key: Hashable, queue: FairQueue):
        self.key = key
        self.queue = queue
        self.members: list[TrackedUpstream] = []
        self.by_name: dict[str, TrackedUpstream] = {}
        # Seconds per prefilled token and per decode step of the fastest member.
        self.prefill_seconds = 0.0
        self.decode_seconds = 0.0
        # This host's attempts in flight, in all and by priority class.
        self.in_flight = 0
        self.class_in_flight = [0 for _ in Priority]
        # Seconds that an attempt holds its slot, by priority class and overall.
        self.hold_times = [MovingAverage() for _ in Priority]
        self.hold_time = MovingAverage()
        # Seconds from dispatch to the first token.
        self.first_token = MovingAverage()
        # Generated tokens as a share of max_tokens, by priority class.
        self.answer_shares = [MovingAverage(0.05, initial=0.5) for _ in Priority]
        self.tokens_per_character = MovingAverage(
            0.05, initial=_INITIAL_TOKENS_PER_CHARACTER
        )
        # Actual waits as a multiple of predicted ones, by priority class.
        self.wait_errors = [MovingAverage(0.002, initial=1.0) for _ in Priority]
        # Time of the last request of each priority class.
        self.last_request_at = [float("-inf") for _ in Priority]
        # Time of computation and result of `lower_quartiles`.
        self._quartiles = (float("-inf"), 0.0, 0.0)

    def share_of(self, priority: Priority, now: float, settings) -> float:
        """Return the share of an upstream's limit that a class may use."""
        above = max(self.last_request_at[:priority], default=float("-inf"))
        is_above_used = now - above < settings.class_seconds
        share = settings.class_shares[priority]
        return share if is_above_used else max(1.0, share)

    def set_members(self, members: list[TrackedUpstream]) -> None:
        """Replace the upstreams that serve the pool's key."""
        self.members = members
        self.by_name = {each.upstream.name: each for each in members}
        loads = [each.upstream.load for each in members]
        if loads:
            self.prefill_seconds = min(load.prefill_seconds for load in loads)
            self.decode_seconds = min(load.decode_seconds for load in loads)

    def record_wait(self, waiter: Waiter, now: float) -> None:
        """Correct future predictions by the error of a wait that has ended."""
        if waiter.predicted_wait > _MIN_LEARNED_WAIT_SECONDS:
            error = (now - waiter.queued_at) / waiter.predicted_wait
            errors = self.wait_errors[waiter.work.request.priority]
            errors.add(min(_MAX_WAIT_ERROR, error * errors.value))

    def lower_quartiles(self, now: float) -> tuple[float, float]:
        """Return the lower quartiles of the members' overheads and token gaps."""
        computed_at, overhead, gap = self._quartiles
        if now - computed_at > 0.5:
            overhead = _lower_quartile(each.overhead for each in self.members)
            gap = _lower_quartile(each.gap for each in self.members)
            self._quartiles = (now, overhead, gap)
        return overhead, gap


class Pools:
    """The pools of this host by key, synced with its view of the upstreams."""

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
        """Return the pool of a key after syncing it."""
        self.sync(now)
        pool = self._pools.get(key)
        if pool is None or not pool.members:
            self.sync(now, 0.0)
            pool = self._pools.get(key)
        if pool is None:
            pool = self._pools[key] = Pool(key, self._new_queue())
        return pool

    def find(self, name: str, epoch: int) -> TrackedUpstream | None:
        """Return the upstream in the view if its epoch is `epoch`."""
        tracked = self._tracked.get(name)
        if tracked is None or tracked.upstream.epoch != epoch:
            return None
        return tracked

    def sync(self, now: float, max_age: float | None = None) -> None:
        """Sync all pools with the view if they are older than `max_age` seconds."""
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
