"""Engines that keep a ledger, and exports that share their bandwidth."""

import heapq

import trio

from measure.accounts import Ledger
from measure.routing_site import BatchEngine
from pepperstep.entities import Upstream
from pepperstep.fakes import FakeUpstreams
from pepperstep.ports.upstreams import CacheExport

__all__ = ["MeasuredEngine", "MeasuredUpstreams"]


class _Turns:
    """A lock that goes to the lowest priority number that waits."""

    def __init__(self) -> None:
        self._is_taken = False
        self._waiting: list[tuple[int, int, trio.Event]] = []
        self._count = 0

    async def take(self, priority: int) -> None:
        """Return when it's this one's turn."""
        if not self._is_taken:
            self._is_taken = True
            return
        self._count += 1
        waiting = (priority, self._count, trio.Event())
        heapq.heappush(self._waiting, waiting)
        try:
            await waiting[2].wait()
        except trio.Cancelled:
            if waiting[2].is_set():
                self.give()
            else:
                self._waiting.remove(waiting)
                heapq.heapify(self._waiting)
            raise

    def give(self) -> None:
        """Let the next one go."""
        if self._waiting:
            heapq.heappop(self._waiting)[2].set()
        else:
            self._is_taken = False


class MeasuredEngine(BatchEngine):
    """An engine that keeps a ledger and prefills by priority."""

    def __init__(self, *arguments, ledger: Ledger, **options):
        super().__init__(*arguments, **options)
        self._ledger = ledger
        self._turns = _Turns()

    def close(self, attempt) -> None:
        """End an attempt."""
        super().close(attempt)
        self._ledger.note_end(attempt.order.attempt_id, trio.current_time())

    async def _prefill(self, attempt) -> tuple[int, int]:
        attempt_id = attempt.order.attempt_id
        self._ledger.note_start(attempt_id, trio.current_time())
        # One that is broken off counts whole.
        computed = attempt.tokens
        await self._turns.take(attempt.order.priority)
        try:
            computed, cached = await super()._prefill(attempt)
        finally:
            self._turns.give()
            self._ledger.note_computed(attempt_id, computed)
        return computed, cached

    async def _step(self, attempt) -> None:
        await super()._step(attempt)
        self._ledger.note_decoded(attempt.order.attempt_id)


class MeasuredUpstreams(FakeUpstreams):
    """Upstreams whose exports share each engine's bandwidth."""

    def __init__(self) -> None:
        super().__init__()
        self._exports: dict[str, trio.Lock] = {}

    async def export_cache(
        self, upstream: Upstream, attempt_id: str, target: Upstream
    ) -> CacheExport:
        """Send one cache after another."""
        async with self._exports.setdefault(upstream.name, trio.Lock()):
            return await super().export_cache(upstream, attempt_id, target)
