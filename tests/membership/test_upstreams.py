"""Upstream leases on all entry hosts under message loss, delays and restarts.

Guards against requests to upstreams that have left or whose lease has expired, and
against live upstreams that disappear. Late, repeated or reordered messages and
pauses of hosts cause the first, lost pushes the second.
"""

import random
from dataclasses import replace

import pytest
import trio
from hypothesis import given, settings, strategies as st

from pepperstep.entities import Host, Load, ModelKey, Upstream, UpstreamKind
from pepperstep.errors import Code, Failure
from pepperstep.fakes import FakeNetwork, FakePeers, FakeTimers
from pepperstep.membership import RegistrySettings, UpstreamRegistry
from pepperstep.membership.records import (
    Record,
    from_message,
    merge_records,
    to_message,
)

MODEL = ModelKey("draft", "", "1")
LEASE = RegistrySettings().lease


class RegistryCluster:
    """Registries of the hosts e0, e1, ..., and heartbeats of upstreams."""

    def __init__(self, nursery, count, settings=None):
        self.settings = settings
        self.nursery = nursery
        self.network = FakeNetwork(random.Random(1))
        self.rng = random.Random(2)
        self.hosts = [
            Host(f"e{i}", f"e{i}", f"http://e{i}", f"z{i % 3}", "ncr", "bantayog")
            for i in range(count)
        ]
        self.registries = {}
        self.timers = {}
        self.sequences = {}
        for host in self.hosts:
            self.start(host)

    def start(self, host, life=1):
        timers = self.timers[host.name] = FakeTimers(random.Random(host.name))
        peers = FakePeers(host.name, self.network, timers, self.nursery)
        rng = random.Random(f"{host.name} {life}")
        registry = UpstreamRegistry.from_config(
            host, lambda: self.hosts, peers, timers, rng, self.settings
        )
        self.registries[host.name] = registry
        self.nursery.start_soon(registry.run)

    def upstream(self, name="u0", epoch=1, **fields):
        fields = {"models": frozenset({MODEL}), "region": "ncr", **fields}
        return Upstream(
            name, epoch, f"{name}:80", UpstreamKind.ENGINE, f"c-{name}", "z0", **fields
        )

    def send_heartbeat(self, upstream, at=None, **lease):
        """Announce `upstream` with its next number, at `at` or a random host."""
        sequence = self.sequences[upstream.name] = (
            self.sequences.get(upstream.name, 0) + 1
        )
        registry = self.registries[at or self.rng.choice(self.hosts).name]
        return registry.announce(upstream, sequence, **lease)

    async def send_heartbeats(self, upstream, seconds, at=None):
        for second in range(int(seconds)):
            self.send_heartbeat(replace(upstream, load=Load(running=second % 7)), at)
            await trio.sleep(1)

    def hosts_with_candidate(self, name="u0"):
        """Return the hosts that have the upstream among their candidates."""
        return {
            host
            for host, registry in self.registries.items()
            if any(found.name == name for found in registry.candidates(MODEL))
        }


@pytest.fixture
async def registry_cluster(autojump_clock):
    async with trio.open_nursery() as nursery:
        yield RegistryCluster(nursery, 7)
        nursery.cancel_scope.cancel()


async def test_announced_upstream_is_known_while_heartbeats_arrive(
    autojump_clock, registry_cluster
):
    changes = []
    registry_cluster.registries["e6"].subscribe(changes.append)
    registry_cluster.network.loss = 0.05
    upstream = registry_cluster.upstream()
    registry_cluster.nursery.start_soon(registry_cluster.send_heartbeats, upstream, 30)
    await trio.sleep(1.5)
    for _ in range(280):
        assert len(registry_cluster.hosts_with_candidate()) == 7
        await trio.sleep(0.1)
    assert registry_cluster.registries["e6"].candidates(service="quote-api") == []
    assert registry_cluster.registries["e6"].get("u0").load.running > 0
    await trio.sleep(3.5)
    assert not registry_cluster.hosts_with_candidate()
    await trio.sleep(0.5)
    assert [(c.before, c.after and c.after.name) for c in changes][0] == (None, "u0")
    assert [c.after for c in changes][-1] is None
    assert len(changes) == 2


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("is_cut", [False, True])
async def test_leaving_upstream_is_not_chosen_after_its_lease(
    autojump_clock, registry_cluster, seed, is_cut
):
    rng = registry_cluster.network.rng = random.Random(seed)
    registry_cluster.network.loss = 0.2
    registry_cluster.network.max_delay = 2.0
    upstream = registry_cluster.upstream()
    # Last lease from each host and its arrival time.
    leases = {}

    async def beat_late(sequence, registry):
        lease, came_at = leases.get(registry, (None, 0))
        token = lease.token if lease else "1.0"
        held = trio.current_time() - came_at
        await trio.sleep(rng.uniform(0, 4))
        lease = registry.announce(upstream, sequence, token, held)
        leases[registry] = lease, trio.current_time()

    for sequence in range(1, 40):
        registry = rng.choice(list(registry_cluster.registries.values()))
        registry_cluster.nursery.start_soon(beat_late, sequence, registry)
        await trio.sleep(0.25)
    assert registry_cluster.hosts_with_candidate()
    if is_cut:
        registry_cluster.network.isolate("e3")
    registry_cluster.registries["e0"].announce(replace(upstream, is_leaving=True), 40)
    await trio.sleep(LEASE)
    for _ in range(200):
        assert not registry_cluster.hosts_with_candidate()
        await trio.sleep(0.05)


async def test_late_messages_of_an_earlier_epoch_are_ignored(
    autojump_clock, registry_cluster
):
    first = registry_cluster.upstream(epoch=1)
    registry_cluster.send_heartbeat(first, at="e0")
    await trio.sleep(1)
    second = replace(first, epoch=2, models=frozenset())
    registry_cluster.send_heartbeat(second, at="e1")
    await trio.sleep(1)
    with pytest.raises(Failure) as caught:
        registry_cluster.send_heartbeat(first, at="e2")
    assert caught.value.code is Code.FENCED
    for registry in registry_cluster.registries.values():
        registry.mark_leaving("u0", 1)
        assert registry.get("u0") == second
    registry_cluster.registries["e3"].remove("u0", 2)
    await trio.sleep(1)
    assert {
        registry.get("u0") for registry in registry_cluster.registries.values()
    } == {None}
    with pytest.raises(Failure):
        registry_cluster.send_heartbeat(second, at="e2")
    registry_cluster.send_heartbeat(replace(first, epoch=3), at="e2")
    await trio.sleep(1)
    assert len(registry_cluster.hosts_with_candidate()) == 7


async def test_late_heartbeat_changes_nothing(autojump_clock, registry_cluster):
    old = registry_cluster.upstream(load=Load(running=1))
    registry_cluster.registries["e0"].announce(replace(old, models=frozenset()), 9)
    await trio.sleep(2)
    registry_cluster.registries["e0"].announce(old, 8)
    await trio.sleep(1.1)
    assert registry_cluster.registries["e0"].get("u0").models == frozenset()
    assert not registry_cluster.registries["e0"].is_live("u0")


async def test_upstreams_on_a_leaving_host_are_leaving(
    autojump_clock, registry_cluster
):
    registry_cluster.nursery.start_soon(
        registry_cluster.send_heartbeats, registry_cluster.upstream(), 9
    )
    await trio.sleep(1)
    registry_cluster.registries["e2"].mark_host_leaving("c-u0")
    registry_cluster.registries["e2"].mark_host_leaving("c-u1")
    await trio.sleep(0.5)
    assert not registry_cluster.hosts_with_candidate()
    assert [u.name for u in registry_cluster.registries["e5"].upstreams()] == ["u0"]
    registry_cluster.send_heartbeat(registry_cluster.upstream("u1"), at="e4")
    await trio.sleep(0.8)
    assert not registry_cluster.hosts_with_candidate("u1")


async def test_lease_survives_a_partition_between_two_hosts(
    autojump_clock, registry_cluster
):
    registry_cluster.nursery.start_soon(
        registry_cluster.send_heartbeats, registry_cluster.upstream(), 30, "e0"
    )
    await trio.sleep(1.5)
    registry_cluster.network.cut("e0", "e1")
    registry_cluster.network.cut("e1", "e0")
    for _ in range(250):
        assert len(registry_cluster.hosts_with_candidate()) == 7
        await trio.sleep(0.1)


async def test_change_is_retransmitted_until_acknowledged(
    autojump_clock, registry_cluster
):
    registry_cluster.send_heartbeat(registry_cluster.upstream(), at="e0")
    await trio.sleep(1)
    registry_cluster.network.loss = 0.4
    registry_cluster.registries["e0"].mark_leaving("u0", 1)
    await trio.sleep(1.5)
    assert not registry_cluster.hosts_with_candidate()


async def test_leaving_state_survives_the_pause_of_its_originator(
    autojump_clock, registry_cluster
):
    registry_cluster.nursery.start_soon(
        registry_cluster.send_heartbeats, registry_cluster.upstream(), 30, "e1"
    )
    await trio.sleep(1.5)
    registry_cluster.network.isolate("e1")
    registry_cluster.registries["e0"].mark_leaving("u0", 1)
    await trio.sleep(2)
    registry_cluster.timers["e0"].pause()
    registry_cluster.network.heal()
    await trio.sleep(8)
    assert not registry_cluster.hosts_with_candidate() & {"e1"}


async def test_restarted_host_recovers_all_upstreams(autojump_clock, registry_cluster):
    for index in range(15):
        upstream = registry_cluster.upstream(f"u{index}")
        registry_cluster.nursery.start_soon(
            registry_cluster.send_heartbeats, upstream, 30
        )
    await trio.sleep(3)
    registry_cluster.timers["e2"].pause()
    registry_cluster.start(registry_cluster.hosts[2], life=2)
    await trio.sleep(1.5)
    assert len(registry_cluster.registries["e2"].candidates(MODEL)) == 15


async def test_only_routing_hosts_know_an_upstream(autojump_clock, registry_cluster):
    routed = RegistryCluster(
        registry_cluster.nursery, 20, RegistrySettings(routers_per_upstream=4)
    )
    await trio.sleep(1)
    lease = routed.send_heartbeat(routed.upstream(), at="e0")
    assert len(lease.entry_hosts) == 4
    for _ in range(8):
        for _ in range(4):
            await trio.sleep(0.25)
            routers = {
                f"http://{host}" for host in routed.hosts_with_candidate() - {"e0"}
            }
        routed.send_heartbeat(
            routed.upstream(), at=lease.entry_hosts[0].removeprefix("http://")
        )
        assert routers == set(lease.entry_hosts) - {"http://e0"}


async def test_paused_host_uses_no_expired_lease(autojump_clock, registry_cluster):
    registry_cluster.nursery.start_soon(
        registry_cluster.send_heartbeats, registry_cluster.upstream(), 5, "e0"
    )
    await trio.sleep(4)
    registry_cluster.timers["e2"].pause()
    await trio.sleep(20)
    registry_cluster.timers["e2"].resume()
    for _ in range(100):
        assert not registry_cluster.hosts_with_candidate()
        await trio.sleep(0.05)


async def test_replication_traffic_is_small(autojump_clock, registry_cluster):
    for index in range(15):
        upstream = registry_cluster.upstream(f"u{index}")
        registry_cluster.nursery.start_soon(
            registry_cluster.send_heartbeats, upstream, 40
        )
        await trio.sleep(0.07)
    await trio.sleep(10)
    before = registry_cluster.network.bytes_sent.total()
    pushes = registry_cluster.network.sent["UpstreamPush"]
    await trio.sleep(20)
    assert (registry_cluster.network.bytes_sent.total() - before) / 20 / 7 < 1500
    # One push per second to each other host.
    assert (registry_cluster.network.sent["UpstreamPush"] - pushes) / 20 / 7 < 6.5


numbers = st.tuples(st.integers(1, 3), st.integers(1, 4))
records = st.builds(
    lambda number, leaving, removed, models, running, age: Record(
        replace(
            RegistryCluster.upstream(None, "u", number[0]),
            models=frozenset(ModelKey(m) for m in models),
            load=Load(running=running),
            is_leaving=leaving,
        ),
        number[1],
        removed,
        age,
    ),
    numbers,
    st.booleans(),
    st.booleans(),
    st.sets(st.sampled_from("ab")),
    st.integers(0, 2),
    st.integers(0, 9).map(float),
)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(records, min_size=1, max_size=6), st.randoms(use_true_random=False))
def test_order_and_repeats_make_no_difference(news, rng):
    states = set()
    for _ in range(4):
        shuffled = news + rng.choices(news, k=2)
        rng.shuffle(shuffled)
        state, ended = None, set()
        for record in shuffled:
            before = state
            state = merge_records(state, record)
            if before is not None:
                assert state.number >= before.number
            if record.is_ending:
                ended.add(record.epoch)
            assert state.is_ending or state.epoch not in ended
        states.add(state)
    assert len(states) == 1


@settings(derandomize=True, max_examples=100, deadline=None)
@given(records, records, st.booleans())
def test_message_holds_the_whole_record(record, known, is_full):
    message = to_message(record, 10.0, is_full)
    if is_full:
        assert from_message(message, None, 10.0) == record
        return
    copy = from_message(message, known, 10.0)
    assert from_message(message, None, 10.0) is None
    assert copy in (None, record)
    assert (copy is None) == (
        (known.epoch, known.upstream.models) != (record.epoch, record.upstream.models)
    )
