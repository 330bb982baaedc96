"""Whether this host can open connections to a service's upstreams.

A fault of one connection says little: its upstream may have failed. This host is cut
off from a service if it can't open a connection to any of several upstreams.
Connections that were open before may live on meanwhile.
"""

import random
from collections.abc import Callable

import trio
from absl import logging

from pepperstep.coordination import Announcement, UpstreamCatalog
from pepperstep.observability.decisions import UpstreamContactChanged
from pepperstep.ports import Timers
from pepperstep.relay.pools import Pools

__all__ = ["UpstreamContact"]

# Upstreams of a service that are tried before this host counts as cut off. Fewer could
# all have failed together.
_TRIED_UPSTREAMS = 8
# Delay between the starts of two tries. A try that succeeds ends the others, so a
# host in contact opens one connection only.
_STAGGER_SECONDS = 0.025
# While this host is cut off: upstreams that are tried at a time, the interval between
# two times, and successes in a row after which it's in contact again. A cut that comes
# and goes within seconds counts as one.
_RETRIED_UPSTREAMS = 2
_RETRY_SECONDS = 0.5
_RETURN_SUCCESSES = 2
# Least time between two searches for a reachable upstream by a host in contact.
_PAUSE_SECONDS = 0.5


class UpstreamContact:
    """Tracks to which services' upstreams this host can open connections."""

    def __init__(
        self,
        catalog: UpstreamCatalog,
        pools: Pools,
        timers: Timers,
        rng: random.Random,
    ):
        self._catalog = catalog
        self._pools = pools
        self._timers = timers
        self._rng = rng
        self._cut_off: set[str] = set()
        # Services whose upstreams are being tried or were tried a moment ago.
        self._searching: set[str] = set()
        self._nursery: trio.Nursery | None = None
        self._subscribers: list[Callable[[], None]] = []

    @property
    def is_cut_off(self) -> bool:
        """Whether this host is cut off from all services that have upstreams."""
        return bool(self._cut_off) and self._cut_off >= self._services()

    @property
    def cut_off_count(self) -> int:
        """Number of services from which this host is cut off."""
        return len(self._cut_off)

    def is_cut_off_from(self, service: str) -> bool:
        """Whether no upstream of a service can be reached by a new connection."""
        return service in self._cut_off

    def subscribe(self, subscriber: Callable[[], None]) -> None:
        """Call `subscriber` after each change."""
        self._subscribers.append(subscriber)

    def record_fault(self, service: str, started_at: float) -> None:
        """Record that a connection to a service's upstream failed in an attempt.

        `started_at` is the monotonic time at which the attempt began. A connection that
        was opened since shows that this host is in contact.
        """
        opened = (
            self._pools.connected_at(each.key) for each in self._catalog.usable(service)
        )
        if max(opened, default=float("-inf")) <= started_at:
            self._search(service)

    async def run(self) -> None:
        """Look for reachable upstreams after faults until cancelled."""
        async with trio.open_nursery() as self._nursery:
            await trio.sleep_forever()

    def _services(self) -> set[str]:
        """Return the services that have upstreams."""
        services = {each.service for each in self._catalog.all()}
        return {each for each in services if self._catalog.usable(each)}

    def _search(self, service: str) -> None:
        if service not in self._searching and self._nursery is not None:
            self._searching.add(service)
            self._nursery.start_soon(self._find_upstream, service)

    async def _find_upstream(self, service: str) -> None:
        tried = self._sample(service, _TRIED_UPSTREAMS)
        if tried and not await self._reaches_any(tried):
            self._set_cut_off(service, True, len(tried))
            # A host that has lost one service may have lost all.
            for other in self._services() - self._cut_off:
                self._search(other)
            await self._wait_for_return(service)
            self._set_cut_off(service, False, _RETRIED_UPSTREAMS)
        await self._timers.sleep(_PAUSE_SECONDS)
        self._searching.discard(service)

    async def _wait_for_return(self, service: str) -> None:
        """Return once upstreams have been reached several times in a row."""
        successes = 0
        while successes < _RETURN_SUCCESSES:
            await self._timers.sleep(_RETRY_SECONDS)
            tried = self._sample(service, _RETRIED_UPSTREAMS)
            is_reached = not tried or await self._reaches_any(tried)
            successes = successes + 1 if is_reached else 0

    def _sample(self, service: str, count: int) -> list[Announcement]:
        usable = self._catalog.usable(service)
        return self._rng.sample(usable, min(count, len(usable)))

    async def _reaches_any(self, upstreams: list[Announcement]) -> bool:
        """Return whether a connection to one of the upstreams could be opened."""
        reached: list[str] = []

        async def try_upstream(upstream: Announcement, ended: trio.Event) -> None:
            if await self._pools.open_idle(upstream.key, upstream.address):
                reached.append(upstream.id)
                nursery.cancel_scope.cancel()
            ended.set()

        async with trio.open_nursery() as nursery:
            for upstream in upstreams:
                ended = trio.Event()
                nursery.start_soon(try_upstream, upstream, ended)
                with self._timers.move_on_after(_STAGGER_SECONDS):
                    await ended.wait()
        return bool(reached)

    def _set_cut_off(self, service: str, is_cut_off: bool, tried: int) -> None:
        if is_cut_off:
            self._cut_off.add(service)
        else:
            self._cut_off.discard(service)
        event = UpstreamContactChanged(
            service=service,
            is_in_contact=not is_cut_off,
            tried=tried,
            upstreams=len(self._catalog.working(service)),
            services_cut_off=len(self._cut_off),
        )
        logging.info("contact: %s", event)
        for subscriber in self._subscribers:
            subscriber()
