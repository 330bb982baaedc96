"""Starts waiting attempts as upstream slots become free."""

from collections import Counter
from collections.abc import Callable

from pepperstep.entities import Priority, Request
from pepperstep.errors import Code, Failure
from pepperstep.ports import Timers
from pepperstep.routing.admission import Room
from pepperstep.routing.breakers import Breaker, BreakerState, limit_ejected
from pepperstep.routing.candidates import Candidates
from pepperstep.routing.feedback import Feedback
from pepperstep.routing.limits import AdaptiveLimit, LatencySample
from pepperstep.routing.placement import Placement
from pepperstep.routing.pools import Pool, Pools
from pepperstep.routing.prediction import CHOICES, Choice, ChoiceContext
from pepperstep.routing.queue import Waiter
from pepperstep.routing.service_levels import ServiceLevels
from pepperstep.routing.settings import RoutingSettings
from pepperstep.routing.tracked import TrackedUpstream

__all__ = ["Dispatcher"]


class Dispatcher:
    """Assigns this host's waiting attempts to upstreams within all limits."""

    def __init__(
        self,
        pools: Pools,
        timers: Timers,
        service_levels: ServiceLevels,
        context: ChoiceContext,
        feedback: Feedback,
        on_placed: Callable[[Placement, Choice], None],
        on_released: Callable[[Placement], None],
    ):
        self._pools = pools
        self._timers = timers
        self._service_levels = service_levels
        self._context = context
        self._settings: RoutingSettings = context.settings
        self._choose = CHOICES[self._settings.choice]
        self._feedback = feedback
        self._on_placed = on_placed
        self._on_released = on_released
        self._host_limit = AdaptiveLimit.from_host(self._settings)
        self._in_flight: Counter[str] = Counter()
        self._in_flight_total = 0
        self._waiting: Counter[str] = Counter()
        # Waiter that polls for changed upstreams on behalf of all waiters.
        self._poller: Waiter | None = None

    @property
    def in_flight(self) -> int:
        """Number of attempts in flight at this host."""
        return self._in_flight_total

    @property
    def host_limit(self) -> float:
        """Number of attempts that may be in flight at this host."""
        return self._host_limit.value

    def record_timer_delay(self, delay: float, now: float) -> None:
        """Adapt the host's limit to its timer delay in seconds."""
        is_limited = self.in_flight >= 0.8 * self._host_limit.value
        sample = LatencySample(delay, 0.0, self._settings.host_delay, is_limited)
        self._host_limit.update(sample, 1.0, now)

    def check_room(self, request: Request, pool: Pool, wanted: int, now: float) -> Room:
        """Return whether `wanted` new requests like `request` could start now."""
        waiting = self._waiting[request.workspace]
        is_first = pool.queue.is_empty_for(request)
        if not is_first or not self._is_below_limits(request):
            return Room(False, waiting)
        share = pool.share_of(request.priority, now, self._settings)
        free = 0.0
        for tracked in pool.members:
            if tracked.has_room(share):
                free += max(1.0, tracked.limit.value * share - tracked.total)
                if free >= wanted:
                    return Room(True, waiting)
        return Room(False, waiting)

    async def wait(self, waiter: Waiter, pool: Pool) -> Placement:
        """Queue a waiter and return its placement, or raise its failure."""
        self._add(waiter, pool)
        try:
            while not waiter.is_settled:
                await self._wait_for_change(waiter)
        except BaseException:
            self._abandon(waiter, pool)
            raise
        if waiter.failure is not None:
            raise waiter.failure
        return waiter.result

    def start_waiters(self) -> None:
        """Start all attempts that can start, and fail those that are too late."""
        now = self._timers.now()
        for pool in self._pools:
            if len(pool.queue):
                self._fail_expired(pool)
                self._start(pool, now)

    def _add(self, waiter: Waiter, pool: Pool) -> None:
        pool.queue.push(waiter)
        self._waiting[waiter.work.request.workspace] += 1
        self._start(pool, self._timers.now())

    async def _wait_for_change(self, waiter: Waiter) -> None:
        if self._poller is None:
            self._poller = waiter
        if self._poller is not waiter:
            await waiter.changed.wait()
            return
        try:
            with self._timers.move_on_after(self._settings.poll_period):
                await waiter.changed.wait()
        finally:
            if waiter.is_settled:
                self._hand_over_polling()
        if not waiter.is_settled:
            self._pools.sync(self._timers.now())
            self.start_waiters()
            if waiter.is_settled:
                self._hand_over_polling()

    def _hand_over_polling(self) -> None:
        """Wake one remaining waiter, which becomes the poller."""
        self._poller = None
        for pool in self._pools:
            for waiter in pool.queue.heads():
                waiter.wake()
                return

    def _abandon(self, waiter: Waiter, pool: Pool) -> None:
        if waiter.result is not None:
            self._release(waiter.result)
        elif waiter.failure is None:
            pool.queue.remove(waiter)
            self._waiting[waiter.work.request.workspace] -= 1
        if self._poller is waiter:
            self._hand_over_polling()

    def _fail_expired(self, pool: Pool) -> None:
        now = self._timers.now()
        for waiter in pool.queue.pop_expired(self._timers.wall()):
            request = waiter.work.request
            pool.record_wait(waiter, now)
            self._waiting[request.workspace] -= 1
            waiter.failure = Failure(
                Code.DEADLINE_EXPIRED,
                "The answer can't be whole by the deadline any more.",
                execution=waiter.execution,
            )
            waiter.wake()

    def _start(self, pool: Pool, now: float) -> None:
        while (
            len(pool.queue)
            and self._in_flight_total < self._host_limit.value
            and self._start_one(pool, now)
        ):
            pass

    def _start_one(self, pool: Pool, now: float) -> bool:
        ejected = self._ejected(pool, now)
        # Priority classes that no upstream has a slot for.
        full_classes: set[Priority] = set()
        for waiter in pool.queue.heads():
            request = waiter.work.request
            if request.priority in full_classes or not self._is_below_limits(request):
                continue
            choice = self._choose_for(waiter, pool, ejected, now)
            if choice is not None:
                self._place(waiter, pool, choice)
                return True
            if not waiter.excluded:
                full_classes.add(request.priority)
        return False

    def _is_below_limits(self, request: Request) -> bool:
        workspace = request.workspace
        if self.in_flight >= self._host_limit.value:
            return False
        return self._in_flight[workspace] < self._service_levels.max_in_flight_of(
            workspace
        )

    def _share_of(self, pool: Pool, request: Request, now: float) -> float:
        if pool.queue.has_credit(request):
            return max(self._settings.class_shares)
        return pool.share_of(request.priority, now, self._settings)

    def _ejected(self, pool: Pool, now: float) -> set[Breaker]:
        healthy = BreakerState.HEALTHY
        if not [1 for each in pool.members if each.breaker.state is not healthy]:
            return set()
        breakers = [each.breaker for each in pool.members]
        return limit_ejected(breakers, now, self._settings.max_ejected_share)

    def _choose_for(
        self, waiter: Waiter, pool: Pool, ejected: set[Breaker], now: float
    ) -> Choice | None:
        share = self._share_of(pool, waiter.work.request, now)
        if ejected:
            probe = self._find_probe(waiter, pool, ejected, share)
            if probe is not None:
                return Choice(probe, "probe of an ejected upstream")
        candidates = self._find_candidates(waiter, pool, ejected, share)
        return self._choose(candidates, waiter.work, self._context, now)

    def _find_probe(
        self, waiter: Waiter, pool: Pool, ejected: set[Breaker], share: float
    ) -> TrackedUpstream | None:
        """Return a recovering upstream to probe; only first attempts may probe."""
        if waiter.attempt > 1 or not waiter.work.request.is_repeatable:
            return None
        for tracked in pool.members:
            breaker = tracked.breaker
            if breaker not in ejected or breaker.state is not BreakerState.RECOVERING:
                continue
            if breaker.probes == 0 and tracked.has_room(share):
                return tracked
        return None

    def _find_candidates(
        self, waiter: Waiter, pool: Pool, ejected: set[Breaker], share: float
    ) -> Candidates:
        """Return the upstreams not ejected; excluded ones only if no other is left."""
        excluded = waiter.excluded
        if not excluded and not ejected:
            return Candidates(
                pool.members, pool.by_name, lambda each: each.has_room(share)
            )
        members = [each for each in pool.members if each.breaker not in ejected]
        not_excluded = [each for each in members if each.upstream.name not in excluded]
        members = not_excluded or members
        by_name = {each.upstream.name: each for each in members}
        return Candidates(members, by_name, lambda each: each.has_room(share))

    def _place(self, waiter: Waiter, pool: Pool, choice: Choice) -> None:
        pool.queue.pop(waiter)
        pool.record_wait(waiter, self._timers.now())
        tracked = choice.chosen
        placement = Placement(
            tracked, pool, waiter, self._feedback, self._timers, self._release
        )
        request = waiter.work.request
        self._on_placed(placement, choice)
        tracked.record_start(round(placement.uncached_tokens), placement.started_at)
        if tracked.breaker.state is BreakerState.RECOVERING:
            tracked.breaker.probes += 1
            placement.is_probe = True
        pool.in_flight += 1
        pool.class_in_flight[request.priority] += 1
        self._waiting[request.workspace] -= 1
        self._in_flight[request.workspace] += 1
        self._in_flight_total += 1
        waiter.result = placement
        waiter.wake()

    def _release(self, placement: Placement) -> None:
        now = self._timers.now()
        waiter = placement.waiter
        workspace = waiter.work.request.workspace
        placement.end(now)
        placement.pool.in_flight -= 1
        placement.pool.class_in_flight[waiter.work.request.priority] -= 1
        self._in_flight[workspace] -= 1
        self._in_flight_total -= 1
        if not self._in_flight[workspace]:
            del self._in_flight[workspace]
        held = now - placement.started_at
        placement.pool.queue.adjust_charge(waiter, held - waiter.cost)
        self._on_released(placement)
        self.start_waiters()
