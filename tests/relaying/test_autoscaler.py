"""What stands of a service while zones take their reclaimable upstreams back."""

import dataclasses
import json
import random
from contextlib import asynccontextmanager

import pytest
import trio
from absl import logging

from pepperstep.coordination import (
    Announcement,
    ServiceWork,
    TableStore,
    UpstreamCatalog,
)
from pepperstep.coordination.autoscaler import Autoscaler
from pepperstep.coordination.leader_lease import LeaderLease
from pepperstep.coordination.table_updates import Document
from pepperstep.errors import Code, Failure
from pepperstep.fakes import FakeTimers
from pepperstep.observability.decisions import UpstreamsPlanned
from pepperstep.platform import TableDecoder
from tests.relaying.world import document

ZONES = ("a", "b", "c")
BOOT_SECONDS = 4.0
# An engine that works on so many requests makes none of them wait.
REQUESTS_EACH = 5
SCALING = {
    "min_replicas": 1,
    "max_replicas": 6,
    "boot_s": BOOT_SECONDS,
    "spot_price": 0.2,
    "zone_prices": {"a": 0.85, "b": 1.2, "c": 1.0},
}


class FakeAgreementState:
    """A log of which only leader and term are asked."""

    def __init__(self) -> None:
        self.is_leader = True
        self.term = 1


class FakeDesk:
    """Entry hosts' reports, as far as the work under way goes."""

    def __init__(self) -> None:
        self.load = 0.0

    def work_of(self, service: str) -> ServiceWork:
        # An upstream that reads for 0.6 of its time makes no request wait.
        return ServiceWork(self.load, 0.6 * self.load / REQUESTS_EACH)


class FakePlatform:
    """Starts and stops upstreams as ordered, and takes zones' reclaimable ones."""

    def __init__(self, catalog: UpstreamCatalog, nursery: trio.Nursery):
        self.is_dry = False
        # Time, holder and fence of each order.
        self.orders: list[tuple[float, str, int]] = []
        self.most = 0
        self._catalog = catalog
        self._nursery = nursery
        self._wanted: dict[tuple[str, bool], int] = {}
        self._standing: dict[tuple[str, bool], list[str]] = {}
        self._number = 0

    @property
    def count(self) -> int:
        return len(self._catalog.working("model"))

    def steady_orders(self) -> dict[str, int]:
        """Return the latest order for steady ones of each zone."""
        wanted = self._wanted.items()
        return {zone: count for (zone, kind), count in wanted if not kind}

    async def order(self, order, holder: str, fence: int) -> None:
        key = (order.zone, order.is_reclaimable)
        self.orders.append((trio.current_time(), holder, fence))
        standing = self._standing.setdefault(key, [])
        if order.is_reclaimable and self.is_dry and order.count > len(standing):
            raise Failure(Code.OVERLOADED, "None of that kind is to be had.")
        self._wanted[key] = order.count
        while len(standing) > order.count:
            self._catalog.mark_gone(standing.pop())
        self._nursery.start_soon(self._boot, key)

    async def _boot(self, key: tuple[str, bool]) -> None:
        await trio.sleep(BOOT_SECONDS)
        self.fill(key)

    def fill(self, key: tuple[str, bool], count: int | None = None) -> None:
        standing = self._standing.setdefault(key, [])
        while len(standing) < (self._wanted.get(key, 0) if count is None else count):
            self._number += 1
            name = f"u{self._number}"
            standing.append(name)
            self._note(name, key)

    async def reclaim(self, zone: str, seconds: float = 2.3) -> None:
        """Announce the end of a zone's reclaimable upstreams, then end them."""
        leaving = self._standing.pop((zone, True), [])
        self._wanted.pop((zone, True), None)
        for name in leaving:
            self._note(name, (zone, True), sequence=2, is_leaving=True)
        await trio.sleep(seconds)
        for name in leaving:
            self._catalog.mark_gone(name)

    def _note(self, name: str, key: tuple[str, bool], **facts) -> None:
        zone, is_reclaimable = key
        facts = {"sequence": 1, "is_reclaimable": is_reclaimable} | facts
        self._catalog.record(Announcement(name, "model", f"{name}:80", zone, **facts))


class World:
    """One control host's ordering against the platform's model."""

    def __init__(self, nursery: trio.Nursery):
        self._nursery = nursery
        self.timers = FakeTimers(random.Random(0))
        self.catalog = UpstreamCatalog(self.timers.now)
        self.platform = FakePlatform(self.catalog, nursery)
        self.desk = FakeDesk()
        self.agreement = FakeAgreementState()
        tables = TableStore(TableDecoder().decode_in_steps)
        services = [{"name": "plain"}, {"name": "model", "autoscale": SCALING}]
        data = json.loads(document(1)) | {"services": services}
        tables.install(Document(1, json.dumps(data).encode()))
        self.autoscaler = Autoscaler(
            LeaderLease("c0", self.agreement, self.timers, 3.0),
            self.platform,
            tables,
            self.desk,
            self.catalog,
            lambda: ZONES,
            self.timers,
        )
        for zone in ZONES:
            self.platform.fill((zone, False), 3)
        nursery.start_soon(self.autoscaler.run)

    def reclaim(self, zone: str) -> None:
        """Let the platform take a zone's reclaimable upstreams back."""
        self._nursery.start_soon(self.platform.reclaim, zone)

    async def watch(self, seconds: float) -> int:
        """Return the least count of upstreams that stand in the next seconds."""
        least = self.platform.count
        for _ in range(int(seconds / 0.1)):
            await trio.sleep(0.1)
            least = min(least, self.platform.count)
        return least


@asynccontextmanager
async def start_world():
    """Give one control host that orders for a service with three steady upstreams."""
    async with trio.open_nursery() as nursery:
        yield World(nursery)
        nursery.cancel_scope.cancel()


async def test_reclaimable_upstreams_replace_steady_ones(autojump_clock):
    async with start_world() as world:
        world.desk.load = 20.0
        assert await world.watch(12.0) >= 4
        kinds = {each.is_reclaimable for each in world.catalog.working("model")}
        assert kinds == {True}


@pytest.mark.parametrize("is_dry", [False, True])
@pytest.mark.parametrize("order", ["ab", "bc", "ca"])
async def test_capacity_suffices_after_two_zone_losses(autojump_clock, is_dry, order):
    """The next zone is lost 6 s after the first, with the demand of all along."""
    async with start_world() as world:
        world.desk.load = 22.0
        await trio.sleep(12.0)
        world.platform.is_dry = is_dry
        for zone in order:
            world.reclaim(zone)
            assert await world.watch(6.0) >= 22 / REQUESTS_EACH
        assert await world.watch(8.0) >= 22 / REQUESTS_EACH


async def test_three_zone_losses_are_replaced_at_once(autojump_clock):
    """As soon as the last one leaves, all the work is ordered, and not by and by."""
    async with start_world() as world:
        world.desk.load = 40.0
        await trio.sleep(12.0)
        world.platform.is_dry = True
        for zone, pause in (("a", 4.0), ("b", 2.0), ("c", 1.1 + BOOT_SECONDS)):
            world.reclaim(zone)
            await trio.sleep(pause)
        assert world.platform.count >= 40 / REQUESTS_EACH


async def test_steady_follow_mean_while_zone_is_exhausted(autojump_clock):
    """Work comes in waves, and the next zone may go in the next one.

    Reclaimable ones are there for the waves' peaks, and steady ones make up for the
    mean: the peak of 22 would cost half as much again for as many answers in time.
    """
    async with start_world() as world:
        world.desk.load = 22.0
        await trio.sleep(12.0)
        world.desk.load = 8.0
        await trio.sleep(2.0)
        world.platform.is_dry = True
        world.reclaim("a")
        assert await world.watch(3.0) >= (5 * 22 + 5 * 8) / 10 / REQUESTS_EACH
        world.desk.load = 22.0
        await trio.sleep(3.0)
        world.reclaim("b")
        assert await world.watch(6.0) >= (4 * 22 + 6 * 8) / 10 / REQUESTS_EACH


async def test_steady_stay_until_reclaimable_run_again(autojump_clock):
    """When zones give out some again, the work may just be low for a moment."""
    async with start_world() as world:
        world.desk.load = 40.0
        await trio.sleep(12.0)
        world.platform.is_dry = True
        for zone in ZONES:
            world.reclaim(zone)
        await trio.sleep(10.0)
        assert world.platform.count >= 40 / REQUESTS_EACH
        world.platform.is_dry = False
        world.desk.load = 10.0
        for second in range(1, 9):
            mean = ((10 - second) * 40 + second * 10) / 10
            assert await world.watch(1.0) >= int(mean / REQUESTS_EACH)


async def test_unused_upstreams_are_released_at_system_start(
    autojump_clock,
):
    """Nine upstreams at the full price stand at the start; one a zone stays."""
    async with start_world() as world:
        await trio.sleep(2.0)
        assert world.platform.count == len(ZONES)
        await trio.sleep(8.0)
        kinds = [each.is_reclaimable for each in world.catalog.working("model")]
        assert kinds and all(kinds)


async def test_unannounced_upstreams_are_not_all_released(
    autojump_clock,
):
    async with start_world() as world:
        heard_late = world.catalog.working("model")[3:]
        for each in heard_late:
            world.catalog.mark_gone(each.id)
        await trio.sleep(2.0)
        assert world.platform.steady_orders() in ({"a": 3}, {})
        for each in heard_late:
            later = dataclasses.replace(each, id=f"{each.id}-again")
            world.catalog.record(later)
        await trio.sleep(0.6)
        assert world.platform.steady_orders() == dict.fromkeys(ZONES, 1)


@pytest.mark.parametrize("load", [0.0, 5.0])
async def test_later_holder_or_demand_delays_release(autojump_clock, load):
    """After a restart, what is asked for may not be known yet."""
    async with start_world() as world:
        world.agreement.term = 1 if load else 2
        world.desk.load = load
        await trio.sleep(3.4)
        assert world.platform.count == 9


async def test_plan_is_logged_with_demand(autojump_clock, monkeypatch):
    events = []
    monkeypatch.setattr(logging, "info", lambda text, *values: events.extend(values))
    async with start_world() as world:
        world.desk.load = 20.0
        await trio.sleep(3.0)
    planned = [each for each in events if isinstance(each, UpstreamsPlanned)]
    assert planned[0].needed_at_peak == 4.0
    assert {zone.zone for zone in planned[0].zones} == set(ZONES)
    assert {zone.steady_standing for zone in planned[0].zones} == {3}


async def test_new_holder_orders_soon(autojump_clock):
    """The loss of a zone may come with that of the host that has ordered."""
    async with start_world() as world:
        world.agreement.is_leader = False
        world.desk.load = 22.0
        await trio.sleep(12.0)
        assert world.platform.orders == []
        world.desk.load = 8.0
        world.agreement.term = 2
        world.agreement.is_leader = True
        await trio.sleep(2.6)
        first, holder, fence = world.platform.orders[0]
        assert (holder, fence) == ("c0", 2)
        # Two hosts that take turns must leave a lease between one's own acts.
        assert first >= 12.0 + 2 / 3 * 3.0
        await trio.sleep(BOOT_SECONDS)
        # Ordered for the peak that this host has seen before it was the holder.
        reclaimable = [e for e in world.catalog.working("model") if e.is_reclaimable]
        assert len(reclaimable) >= 9
