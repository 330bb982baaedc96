"""Control loop with refused starts, reclaims, orphans, rollouts and costs."""

from dataclasses import replace

import pytest
import trio

from pepperstep.configuration import Configuration
from pepperstep.entities import ModelKey
from pepperstep.fakes import FakeAgreement
from pepperstep.fleet import ActionKind, CostKey, Event, record_events
from pepperstep.ports.cloud import CloudHost, HostState, PriceClass
from pepperstep.ports.upstreams import GenerateOrder, OrderKind
from tests.fleet.cluster import KEY, OFFERS, Cluster, deployment, sent_loads

NAME = "zaseki-model"
NEW = ModelKey("zaseki-7b", "", "2")


def _classes(cluster: Cluster) -> list[tuple[str, str]]:
    return sorted((host.zone[:3], host.price_class) for host in cluster.cloud.living)


async def test_refused_starts_back_off_and_others_are_tried(autojump_clock):
    async with Cluster.start() as cluster:
        cluster.cloud.refused = {"sapporo-hall", "asahikawa-hall"}
        await trio.sleep(60)
        # One reclaimable zone remains, and on-demand hosts must cover its loss. At a
        # cost weight of 0.5 they may fill up to the wanted number. The refusing zones
        # refuse them as well.
        assert _classes(cluster) == [("hak", "on_demand")] * 2 + [
            ("hak", "reclaimable")
        ]
        refusals = cluster.cloud.refusals
        await trio.sleep(600)
        # Exponential backoff: far less than one attempt per period.
        assert cluster.cloud.refusals - refusals < 30
        cluster.cloud.refused.clear()
        await trio.sleep(700)
        assert {price_class for _, price_class in _classes(cluster)} == {"reclaimable"}
        cluster.check_consistent(3)


async def test_wave_with_refused_replacements(autojump_clock):
    async with Cluster.start() as cluster:
        await trio.sleep(40)
        cluster.cloud.refused = {PriceClass.RECLAIMABLE}
        cluster.cloud.reclaim(8, zone="hakodate-hall")
        await trio.sleep(40)
        ready = [
            host for host in cluster.cloud.living if host.state is HostState.RUNNING
        ]
        assert len(ready) >= 3
        assert ("hak", "reclaimable") not in _classes(cluster)
        texts = [event.reason for event in cluster.machine.events.since()]
        assert any("on-demand as" in text for text in texts)
        assert any("No host in" in text for text in texts)


async def test_unreachable_cloud_and_lost_replies(autojump_clock):
    async with Cluster.start() as cluster:
        cluster.cloud.lost_replies = 3
        await trio.sleep(30)
        assert len(cluster.cloud.hosts) == 3
        cluster.cloud.is_down = True
        cluster.configuration = Configuration(
            deployments={NAME: deployment(version="2")}
        )
        cluster.weights.sizes["zaseki-7b", "2"] = 10**9
        await trio.sleep(30)
        # Orders to upstreams don't depend on the cloud.
        assert all(NEW in engine.upstream.models for engine in cluster.engines)
        cluster.cloud.is_down = False
        cluster.cloud.delay = 11.0
        await trio.sleep(60)
        cluster.cloud.delay = 0.01
        await trio.sleep(30)
        assert len(cluster.cloud.hosts) == 3


async def test_slow_cloud_gets_few_calls_at_a_time(autojump_clock):
    async with Cluster.start(max_replicas=100) as cluster:
        cluster.busy[NAME] = 1000.0
        cluster.cloud.delay = 4.0
        await trio.sleep(30)
        # Starts not sent within the timeout of one call wait for the next period.
        assert 0 < len(cluster.cloud.hosts) <= 3 * cluster.tuning.cloud_calls
        await trio.sleep(200)
        assert len(cluster.cloud.hosts) > 80
        assert cluster.cloud.most_calls <= cluster.tuning.cloud_calls + 1
        assert max(cluster.cloud.asked.values()) == 1


async def test_orphans_are_stopped_and_foreign_hosts_kept(autojump_clock):
    async with Cluster.start() as cluster:
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
            cluster.cloud.add_host(host)
        await trio.sleep(5)
        assert "fleet-9-9" in {host.token for host in cluster.cloud.living}
        await trio.sleep(60)
        tokens = {host.token for host in cluster.cloud.living}
        assert "by-hand" in tokens
        assert "fleet-9-9" not in tokens


async def test_requests_end_before_a_host_is_stopped(autojump_clock):
    async with Cluster.start() as cluster:
        await trio.sleep(40)
        cluster.busy[NAME] = 5.0
        # The most expensive host is stopped first.
        chosen = next(e for e in cluster.engines if e.upstream.zone == "hakodate-hall")
        order = GenerateOrder("a", KEY, "Seat them.", (), 3000, 1, 0)
        async with cluster.upstreams.generate(chosen.upstream, order) as chunks:
            async for _ in chunks:
                assert chosen.is_alive
        assert chosen.upstream.is_leaving
        await trio.sleep(20)
        cluster.check_consistent(2)
        times = {e.kind: e.time for e in cluster.machine.events.since()}
        assert times["stop_done"] - times["stop"] >= cluster.tuning.drain_settle


async def test_host_that_never_becomes_ready_is_replaced(autojump_clock):
    async with Cluster.start() as cluster:
        await trio.sleep(30)
        cluster.upstreams.all["engine-host-1"].die()
        await trio.sleep(120)
        assert "host-1" not in {host.id for host in cluster.cloud.living}
        cluster.check_consistent(3)


@pytest.mark.parametrize("busy", [32.0, 150.0])
async def test_version_rolls_without_a_gap(busy, autojump_clock):
    async with Cluster.start() as cluster:
        cluster.busy[NAME] = busy
        cluster.load_seconds = 3.0
        await trio.sleep(60)
        count = len(cluster.engines)
        cluster.weights.sizes["zaseki-7b", "2"] = 20 * 10**9
        cluster.configuration = Configuration(
            deployments={NAME: deployment(version="2")}
        )
        unloads_seen = 0
        for _ in range(300):
            await trio.sleep(0.5)
            views = cluster.announced_upstreams()
            old = sum(KEY in view.models for view in views)
            new = sum(NEW in view.models for view in views)
            # The old version stays until all engines have the new one.
            assert old == count or new == count
            unloads_seen += old < count
        assert unloads_seen
        assert old == 0
        assert new == count == len(cluster.engines)


async def test_loads_share_the_rate_of_the_weight_store(autojump_clock):
    async with Cluster.start() as cluster:
        cluster.busy[NAME] = 150.0
        # A load takes 12 s; concurrent loads may take 30 s.
        cluster.weights.sizes[KEY.model, KEY.version] = 12 * 10**9
        cluster.load_seconds = 12.0
        await trio.sleep(200)
        times = [sent.time for sent in sent_loads(cluster)]
        assert len(times) == len(cluster.engines) > 6
        for start in times:
            assert sum(start <= time < start + 11 for time in times) <= 2
        cluster.check_consistent(len(cluster.engines))


async def test_model_that_the_store_lacks_is_not_ordered(autojump_clock):
    async with Cluster.start() as cluster:
        del cluster.weights.sizes[KEY.model, KEY.version]
        await trio.sleep(30)
        assert len(cluster.engines) == 3
        assert not sent_loads(cluster)
        cluster.weights.is_down = True
        cluster.weights.sizes[KEY.model, KEY.version] = 1
        await trio.sleep(10)
        cluster.weights.is_down = False
        await trio.sleep(10)
        assert len(sent_loads(cluster)) == 3


async def test_refused_order_is_given_again_after_a_pause(autojump_clock):
    async with Cluster.start() as cluster:
        await trio.sleep(9.9)
        # The engines have seen higher fencing numbers than this log gives.
        for engine in cluster.engines:
            engine.fence = 1000
        await trio.sleep(40)
        # Three engines, one attempt in six seconds.
        assert len(sent_loads(cluster)) <= 3 * 8
        for engine in cluster.engines:
            engine.fence = 12
        await trio.sleep(20)
        cluster.check_consistent(3)
        refused = [a for a in cluster.machine.finished if a.state == "refused"]
        assert refused
        assert all(
            "Old fencing number" in e.reason for e in _events(cluster, "refused")
        )


def _events(cluster: Cluster, ending: str) -> list[Event]:
    return [e for e in cluster.machine.events.since() if e.kind.endswith(ending)]


async def test_notices_are_delivered_once_and_in_order(autojump_clock):
    async with Cluster.start() as cluster:
        await trio.sleep(40)
        for host_id in ("host-2", "host-1"):
            cluster.cloud.reclaim(30, host_id=host_id)
            await trio.sleep(3)
        cluster.elect("control-1")
        await trio.sleep(30)
        assert cluster.delivered_notices == [("control-0", 1), ("control-0", 2)]
        assert cluster.machine.last_notice == 2
        # Retained after delivery until their retention time has passed.
        assert set(cluster.machine.notices) == {1, 2}
        await trio.sleep(800)
        assert not cluster.machine.notices


async def test_unhandled_notices_are_delivered_again(autojump_clock):
    async with Cluster.start() as cluster:
        await trio.sleep(40)
        cluster.handler_seconds = 100.0
        cluster.cloud.reclaim(60, host_id="host-2")
        await trio.sleep(20)
        assert not cluster.delivered_notices
        assert not cluster.machine.handed_notices
        # The control loop goes on meanwhile.
        assert len(cluster.cloud.hosts) > 3
        cluster.handler_seconds = 0.01
        await trio.sleep(10)
        assert cluster.delivered_notices == [("control-0", 1)]


async def test_costs_are_counted_by_deployment_and_class(autojump_clock):
    async with Cluster.start() as cluster:
        await trio.sleep(40)
        now = 1_800_000_000 + trio.current_time()
        costs = cluster.machine.costs
        key = CostKey(NAME, PriceClass.RECLAIMABLE)
        assert costs.rates == {key: pytest.approx(0.30 + 0.34 + 0.38)}
        before = costs.totals_at(now)[key]
        cluster.elect("control-1")
        await trio.sleep(1800)
        after = cluster.machine.costs.totals_at(now + 1800)[key]
        assert after - before == pytest.approx(1.02 / 2, rel=0.01)


async def test_events_explain_and_may_come_from_any_host(autojump_clock):
    async with Cluster.start() as cluster:
        await trio.sleep(30)
        agreement = FakeAgreement("entry-7", cluster.log)
        event = Event(5.0, "drain", "entry-7", "Drains.", "An operator asked.")
        for _ in range(2):
            await record_events(agreement, [event], "entry-7-1", 1.0)
        events = cluster.machine.events.since()
        assert events[-1] == replace(event, sequence=cluster.machine.events.last)
        assert sum(e.subject == "entry-7" for e in events) == 1
        starts = [e for e in events if e.kind == ActionKind.START]
        assert all("replicas wanted for 32 requests" in e.reason for e in starts)
        assert {s.order.kind for s in cluster.sent} == {OrderKind.LOAD}
