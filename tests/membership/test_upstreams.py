"""Upstreams' leases on all entry hosts, under losses, delays and restarts."""

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


class Entries:
    """Registries of the hosts e0, e1, ..., and upstreams with heartbeats."""

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

    def beat(self, upstream, at=None, **lease):
        """Announce `upstream` with its next number, at a host chosen at random."""
        sequence = self.sequences[upstream.name] = (
            self.sequences.get(upstream.name, 0) + 1
        )
        registry = self.registries[at or self.rng.choice(self.hosts).name]
        return registry.announce(upstream, sequence, **lease)

    async def keep(self, upstream, seconds, at=None):
        for second in range(int(seconds)):
            self.beat(replace(upstream, load=Load(running=second % 7)), at)
            await trio.sleep(1)

    def choosers(self, name="u0"):
        """Return the hosts that would choose the upstream now."""
        return {
            host
            for host, registry in self.registries.items()
            if any(found.name == name for found in registry.candidates(MODEL))
        }


@pytest.fixture
async def entries(autojump_clock):
    async with trio.open_nursery() as nursery:
        yield Entries(nursery, 7)
        nursery.cancel_scope.cancel()


async def test_announced_upstream_is_known_while_it_beats(autojump_clock, entries):
    changes = []
    entries.registries["e6"].subscribe(changes.append)
    entries.network.loss = 0.05
    upstream = entries.upstream()
    entries.nursery.start_soon(entries.keep, upstream, 30)
    await trio.sleep(1.5)
    for _ in range(280):
        assert len(entries.choosers()) == 7
        await trio.sleep(0.1)
    assert entries.registries["e6"].candidates(service="quote-api") == []
    assert entries.registries["e6"].get("u0").load.running > 0
    await trio.sleep(3.5)
    assert not entries.choosers()
    await trio.sleep(0.5)
    assert [(c.before, c.after and c.after.name) for c in changes][0] == (None, "u0")
    assert [c.after for c in changes][-1] is None
    assert len(changes) == 2


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("is_cut", [False, True])
async def test_leaving_upstream_is_not_chosen_after_its_lease(
    autojump_clock, entries, seed, is_cut
):
    rng = entries.network.rng = random.Random(seed)
    entries.network.loss = 0.2
    entries.network.max_delay = 2.0
    upstream = entries.upstream()
    # Last lease of each host, and when it came.
    leases = {}

    async def beat_late(sequence, registry):
        lease, came_at = leases.get(registry, (None, 0))
        token = lease.token if lease else "1.0"
        held = trio.current_time() - came_at
        await trio.sleep(rng.uniform(0, 4))
        lease = registry.announce(upstream, sequence, token, held)
        leases[registry] = lease, trio.current_time()

    for sequence in range(1, 40):
        registry = rng.choice(list(entries.registries.values()))
        entries.nursery.start_soon(beat_late, sequence, registry)
        await trio.sleep(0.25)
    assert entries.choosers()
    if is_cut:
        entries.network.isolate("e3")
    entries.registries["e0"].announce(replace(upstream, is_leaving=True), 40)
    await trio.sleep(LEASE)
    for _ in range(200):
        assert not entries.choosers()
        await trio.sleep(0.05)


async def test_late_messages_of_an_earlier_life_are_ignored(autojump_clock, entries):
    first = entries.upstream(epoch=1)
    entries.beat(first, at="e0")
    await trio.sleep(1)
    second = replace(first, epoch=2, models=frozenset())
    entries.beat(second, at="e1")
    await trio.sleep(1)
    with pytest.raises(Failure) as caught:
        entries.beat(first, at="e2")
    assert caught.value.code is Code.FENCED
    for registry in entries.registries.values():
        registry.mark_leaving("u0", 1)
        assert registry.get("u0") == second
    entries.registries["e3"].remove("u0", 2)
    await trio.sleep(1)
    assert {registry.get("u0") for registry in entries.registries.values()} == {None}
    with pytest.raises(Failure):
        entries.beat(second, at="e2")
    entries.beat(replace(first, epoch=3), at="e2")
    await trio.sleep(1)
    assert len(entries.choosers()) == 7


async def test_late_heartbeat_changes_nothing(autojump_clock, entries):
    old = entries.upstream(load=Load(running=1))
    entries.registries["e0"].announce(replace(old, models=frozenset()), 9)
    await trio.sleep(2)
    entries.registries["e0"].announce(old, 8)
    await trio.sleep(1.1)
    assert entries.registries["e0"].get("u0").models == frozenset()
    assert not entries.registries["e0"].is_live("u0")


async def test_reclaimed_host_takes_its_upstreams_along(autojump_clock, entries):
    entries.nursery.start_soon(entries.keep, entries.upstream(), 9)
    await trio.sleep(1)
    entries.registries["e2"].mark_host_leaving("c-u0")
    entries.registries["e2"].mark_host_leaving("c-u1")
    await trio.sleep(0.5)
    assert not entries.choosers()
    assert [u.name for u in entries.registries["e5"].upstreams()] == ["u0"]
    entries.beat(entries.upstream("u1"), at="e4")
    await trio.sleep(0.8)
    assert not entries.choosers("u1")


async def test_lease_outlives_a_cut_between_two_hosts(autojump_clock, entries):
    entries.nursery.start_soon(entries.keep, entries.upstream(), 30, "e0")
    await trio.sleep(1.5)
    entries.network.cut("e0", "e1")
    entries.network.cut("e1", "e0")
    for _ in range(250):
        assert len(entries.choosers()) == 7
        await trio.sleep(0.1)


async def test_change_is_sent_until_it_arrives(autojump_clock, entries):
    entries.beat(entries.upstream(), at="e0")
    await trio.sleep(1)
    entries.network.loss = 0.4
    entries.registries["e0"].mark_leaving("u0", 1)
    await trio.sleep(1.5)
    assert not entries.choosers()


async def test_end_of_an_upstream_outlives_the_host_that_knew(autojump_clock, entries):
    entries.nursery.start_soon(entries.keep, entries.upstream(), 30, "e1")
    await trio.sleep(1.5)
    entries.network.isolate("e1")
    entries.registries["e0"].mark_leaving("u0", 1)
    await trio.sleep(2)
    entries.timers["e0"].pause()
    entries.network.heal()
    await trio.sleep(8)
    assert not entries.choosers() & {"e1"}


async def test_restarted_host_learns_all_again(autojump_clock, entries):
    for index in range(15):
        upstream = entries.upstream(f"u{index}")
        entries.nursery.start_soon(entries.keep, upstream, 30)
    await trio.sleep(3)
    entries.timers["e2"].pause()
    entries.start(entries.hosts[2], life=2)
    await trio.sleep(1.5)
    assert len(entries.registries["e2"].candidates(MODEL)) == 15


async def test_only_routers_know_an_upstream(autojump_clock, entries):
    routed = Entries(entries.nursery, 20, RegistrySettings(routers_per_upstream=4))
    await trio.sleep(1)
    lease = routed.beat(routed.upstream(), at="e0")
    assert len(lease.entry_hosts) == 4
    for _ in range(8):
        for _ in range(4):
            await trio.sleep(0.25)
            routers = {f"http://{host}" for host in routed.choosers() - {"e0"}}
        routed.beat(routed.upstream(), at=lease.entry_hosts[0].removeprefix("http://"))
        assert routers == set(lease.entry_hosts) - {"http://e0"}


async def test_paused_host_trusts_no_old_lease(autojump_clock, entries):
    entries.nursery.start_soon(entries.keep, entries.upstream(), 5, "e0")
    await trio.sleep(4)
    entries.timers["e2"].pause()
    await trio.sleep(20)
    entries.timers["e2"].resume()
    for _ in range(100):
        assert not entries.choosers()
        await trio.sleep(0.05)


async def test_spread_costs_little(autojump_clock, entries):
    for index in range(15):
        upstream = entries.upstream(f"u{index}")
        entries.nursery.start_soon(entries.keep, upstream, 40)
        await trio.sleep(0.07)
    await trio.sleep(10)
    before = entries.network.bytes_sent.total()
    pushes = entries.network.sent["UpstreamPush"]
    await trio.sleep(20)
    assert (entries.network.bytes_sent.total() - before) / 20 / 7 < 1500
    # One a second to each other host.
    assert (entries.network.sent["UpstreamPush"] - pushes) / 20 / 7 < 6.5


numbers = st.tuples(st.integers(1, 3), st.integers(1, 4))
records = st.builds(
    lambda number, leaving, removed, models, running, age: Record(
        replace(
            Entries.upstream(None, "u", number[0]),
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
