"""The loop with refusals, reclaims, orphans, versions, weights and costs."""

from dataclasses import replace

import pytest
import trio

from pepperstep.configuration import Configuration
from pepperstep.entities import ModelKey
from pepperstep.fakes import FakeAgreement
from pepperstep.fleet import ActionKind, CostKey, Event, record_events
from pepperstep.ports.cloud import CloudHost, HostState, PriceClass
from pepperstep.ports.upstreams import GenerateOrder, OrderKind
from tests.fleet.site import KEY, OFFERS, Site, deployment, loads

NAME = "zaseki-model"
NEW = ModelKey("zaseki-7b", "", "2")


def _classes(site: Site) -> list[tuple[str, str]]:
    return sorted((host.zone[:3], host.price_class) for host in site.cloud.living)


async def test_refused_starts_back_off_and_others_are_tried(autojump_clock):
    async with Site.start() as site:
        site.cloud.refused = {"sapporo-hall", "asahikawa-hall"}
        await trio.sleep(60)
        # One reclaimable zone is left, whose loss on-demand hosts must bear. At
        # an equal weight on cost they may fill all that is wanted; in the
        # refusing zones they are refused as well.
        assert _classes(site) == [("hak", "on_demand")] * 2 + [("hak", "reclaimable")]
        refusals = site.cloud.refusals
        await trio.sleep(600)
        # Back-off with a growing time: far fewer than one try a period.
        assert site.cloud.refusals - refusals < 30
        site.cloud.refused.clear()
        await trio.sleep(700)
        assert {price_class for _, price_class in _classes(site)} == {"reclaimable"}
        site.check_whole(3)


async def test_wave_with_refused_replacements(autojump_clock):
    async with Site.start() as site:
        await trio.sleep(40)
        site.cloud.refused = {PriceClass.RECLAIMABLE}
        site.cloud.reclaim(8, zone="hakodate-hall")
        await trio.sleep(40)
        ready = [host for host in site.cloud.living if host.state is HostState.RUNNING]
        assert len(ready) >= 3
        assert ("hak", "reclaimable") not in _classes(site)
        texts = [event.reason for event in site.machine.events.since()]
        assert any("on-demand as" in text for text in texts)
        assert any("No host in" in text for text in texts)


async def test_cloud_out_of_reach_and_lost_replies(autojump_clock):
    async with Site.start() as site:
        site.cloud.lost_replies = 3
        await trio.sleep(30)
        assert len(site.cloud.hosts) == 3
        site.cloud.is_down = True
        site.configuration = Configuration(deployments={NAME: deployment(version="2")})
        site.weights.sizes["zaseki-7b", "2"] = 10**9
        await trio.sleep(30)
        # Orders to upstreams go on.
        assert all(NEW in engine.upstream.models for engine in site.engines)
        site.cloud.is_down = False
        site.cloud.delay = 11.0
        await trio.sleep(60)
        site.cloud.delay = 0.01
        await trio.sleep(30)
        assert len(site.cloud.hosts) == 3


async def test_slow_cloud_gets_few_calls_at_a_time(autojump_clock):
    async with Site.start(max_replicas=100) as site:
        site.busy[NAME] = 1000.0
        site.cloud.delay = 4.0
        await trio.sleep(30)
        # Begun within the time of one call, the others in the next period.
        assert 0 < len(site.cloud.hosts) <= 3 * site.tuning.cloud_calls
        await trio.sleep(200)
        assert len(site.cloud.hosts) > 80
        assert site.cloud.most_calls <= site.tuning.cloud_calls + 1
        assert max(site.cloud.asked.values()) == 1


async def test_orphans_are_stopped_and_foreign_hosts_left(autojump_clock):
    async with Site.start() as site:
        await trio.sleep(40)
        zone, machine, price_class, price = (
            OFFERS[0].zone,
            OFFERS[0].machine,
            PriceClass.RECLAIMABLE,
            0.3,
        )
        for token in ("fleet-9-9", "by-hand"):
            host = CloudHost(
                f"host-{token}",
                token,
                zone,
                machine,
                price_class,
                price,
                HostState.RUNNING,
                NAME,
            )
            site.cloud.add_host(host)
        await trio.sleep(5)
        assert "fleet-9-9" in {host.token for host in site.cloud.living}
        await trio.sleep(60)
        tokens = {host.token for host in site.cloud.living}
        assert "by-hand" in tokens
        assert "fleet-9-9" not in tokens


async def test_requests_end_before_a_host_is_stopped(autojump_clock):
    async with Site.start() as site:
        await trio.sleep(40)
        site.busy[NAME] = 5.0
        # Its host is the dearest.
        chosen = next(e for e in site.engines if e.upstream.zone == "hakodate-hall")
        order = GenerateOrder("a", KEY, "Seat them.", (), 3000, 1, 0)
        async with site.upstreams.generate(chosen.upstream, order) as chunks:
            async for _ in chunks:
                assert chosen.is_alive
        assert chosen.upstream.is_leaving
        await trio.sleep(20)
        site.check_whole(2)
        times = {e.kind: e.time for e in site.machine.events.since()}
        assert times["stop_done"] - times["stop"] >= site.tuning.drain_settle


async def test_host_that_never_becomes_ready_is_replaced(autojump_clock):
    async with Site.start() as site:
        await trio.sleep(30)
        site.upstreams.all["engine-host-1"].die()
        await trio.sleep(120)
        assert "host-1" not in {host.id for host in site.cloud.living}
        site.check_whole(3)


@pytest.mark.parametrize("busy", [32.0, 150.0])
async def test_version_rolls_without_a_gap(busy, autojump_clock):
    async with Site.start() as site:
        site.busy[NAME] = busy
        site.load_seconds = 3.0
        await trio.sleep(60)
        count = len(site.engines)
        site.weights.sizes["zaseki-7b", "2"] = 20 * 10**9
        site.configuration = Configuration(deployments={NAME: deployment(version="2")})
        unloads_seen = 0
        for _ in range(300):
            await trio.sleep(0.5)
            views = site.upstream_view()
            old = sum(KEY in view.models for view in views)
            new = sum(NEW in view.models for view in views)
            # Old ones stay until the new ones can take all.
            assert old == count or new == count
            unloads_seen += old < count
        assert unloads_seen
        assert old == 0
        assert new == count == len(site.engines)


async def test_loads_share_the_rate_of_the_weight_store(autojump_clock):
    async with Site.start() as site:
        site.busy[NAME] = 150.0
        # A load takes 12 s; 30 s of the rate may be on order.
        site.weights.sizes[KEY.model, KEY.version] = 12 * 10**9
        site.load_seconds = 12.0
        await trio.sleep(200)
        times = [sent.time for sent in loads(site)]
        assert len(times) == len(site.engines) > 6
        for start in times:
            assert sum(start <= time < start + 11 for time in times) <= 2
        site.check_whole(len(site.engines))


async def test_model_that_the_store_lacks_is_not_ordered(autojump_clock):
    async with Site.start() as site:
        del site.weights.sizes[KEY.model, KEY.version]
        await trio.sleep(30)
        assert len(site.engines) == 3
        assert not loads(site)
        site.weights.is_down = True
        site.weights.sizes[KEY.model, KEY.version] = 1
        await trio.sleep(10)
        site.weights.is_down = False
        await trio.sleep(10)
        assert len(loads(site)) == 3


async def test_refused_order_is_given_again_after_a_pause(autojump_clock):
    async with Site.start() as site:
        await trio.sleep(9.9)
        # Another life of the system has given higher numbers.
        for engine in site.engines:
            engine.fence = 1000
        await trio.sleep(40)
        # Three engines, one try in six seconds.
        assert len(loads(site)) <= 3 * 8
        for engine in site.engines:
            engine.fence = 12
        await trio.sleep(20)
        site.check_whole(3)
        refused = [a for a in site.machine.finished if a.state == "refused"]
        assert refused
        assert all("Old fencing number" in e.reason for e in _events(site, "refused"))


def _events(site: Site, ending: str) -> list[Event]:
    return [e for e in site.machine.events.since() if e.kind.endswith(ending)]


async def test_notices_are_handed_on_once_and_in_order(autojump_clock):
    async with Site.start() as site:
        await trio.sleep(40)
        for host_id in ("host-2", "host-1"):
            site.cloud.reclaim(30, host_id=host_id)
            await trio.sleep(3)
        site.lead("control-1")
        await trio.sleep(30)
        assert site.handed == [("control-0", 1), ("control-0", 2)]
        assert site.machine.last_notice == 2
        # Kept until they can't matter any more.
        assert set(site.machine.notices) == {1, 2}
        await trio.sleep(800)
        assert not site.machine.notices


async def test_notices_that_were_not_taken_are_handed_on_again(autojump_clock):
    async with Site.start() as site:
        await trio.sleep(40)
        site.take_seconds = 100.0
        site.cloud.reclaim(60, host_id="host-2")
        await trio.sleep(20)
        assert not site.handed
        assert not site.machine.handed_notices
        # Nothing else waits for it.
        assert len(site.cloud.hosts) > 3
        site.take_seconds = 0.01
        await trio.sleep(10)
        assert site.handed == [("control-0", 1)]


async def test_costs_are_counted_by_deployment_and_class(autojump_clock):
    async with Site.start() as site:
        await trio.sleep(40)
        now = 1_800_000_000 + trio.current_time()
        costs = site.machine.costs
        key = CostKey(NAME, PriceClass.RECLAIMABLE)
        assert costs.rates == {key: pytest.approx(0.30 + 0.34 + 0.38)}
        before = costs.totals_at(now)[key]
        site.lead("control-1")
        await trio.sleep(1800)
        after = site.machine.costs.totals_at(now + 1800)[key]
        assert after - before == pytest.approx(1.02 / 2, rel=0.01)


async def test_events_explain_and_may_come_from_any_host(autojump_clock):
    async with Site.start() as site:
        await trio.sleep(30)
        agreement = FakeAgreement("entry-7", site.log)
        event = Event(5.0, "drain", "entry-7", "Drains.", "An operator asked.")
        for _ in range(2):
            await record_events(agreement, [event], "entry-7-1", 1.0)
        events = site.machine.events.since()
        assert events[-1] == replace(event, sequence=site.machine.events.last)
        assert sum(e.subject == "entry-7" for e in events) == 1
        starts = [e for e in events if e.kind == ActionKind.START]
        assert all("replicas wanted for 32 requests" in e.reason for e in starts)
        assert {s.order.kind for s in site.sent} == {OrderKind.LOAD}
