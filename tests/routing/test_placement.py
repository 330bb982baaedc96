"""Choice of upstreams, and the estimates of load and prefix caches behind it.

Wrong estimates send attempts to busy upstreams, let all hosts choose the same one, or
miss a cached prefix.
"""

import pytest
import trio

from pepperstep.entities import Load, ModelKey, Role
from pepperstep.errors import Code, Failure
from pepperstep.ports.upstreams import EndMark
from pepperstep.routing import CacheEvent
from pepperstep.routing.prefixes import PrefixIndex, hash_blocks
from tests.routing.harness import KEY, NO_UPSTREAMS, RouterHarness

LONG = "Clause and benefit of a contract. " * 200


async def place_all(harness: RouterHarness, count: int, **changes) -> list[str]:
    """Return the upstreams of requests placed one after another."""
    placed = [await harness.place(harness.request(**changes)) for _ in range(count)]
    return [each.upstream.name for each in placed]


@pytest.mark.parametrize(
    ("better", "worse"),
    [
        ({"load": Load(running=1)}, {"load": Load(running=4, waiting=3)}),
        ({"zone": "makati-a"}, {"zone": "pasig-b"}),
        ({"region": "ncr"}, {"region": "dosanko", "zone": "sapporo-hall"}),
        ({}, {"load": Load(prefill_seconds=0.001)}),
        ({"role": Role.DECODE}, {"role": Role.PREFILL}),
    ],
)
async def test_least_predicted_time_is_chosen(autojump_clock, better, worse):
    for name, other in ("ab", "ba"):
        harness = RouterHarness(engines=2, slots=16)
        harness.view.set(other, **worse)
        harness.view.set(name, **better)
        assert (await harness.place()).upstream.name == name


async def test_own_attempts_count_before_the_next_report(autojump_clock):
    harness = RouterHarness(engines=4, choices=4)
    # All placements use the same load report, which shows no load.
    assert sorted(await place_all(harness, 8)) == sorted("aabbccdd")


async def test_own_attempts_in_a_report_count_once(autojump_clock):
    harness = RouterHarness(engines=1, slots=4)
    await place_all(harness, 2)
    harness.view.report("a", running=2)
    harness.router.status  # noqa: B018 - applies the report
    status = harness.router.status.upstreams[0]
    assert (status.in_flight, status.others_in_flight) == (2, 0)
    harness.view.report("a", running=5)
    assert harness.router.status.upstreams[0].others_in_flight == 3


async def test_other_hosts_are_assumed_to_start_as_many(autojump_clock):
    alone, shared = (
        RouterHarness(engines=1, slots=6),
        RouterHarness(engines=1, slots=6, hosts=3),
    )
    for harness, expected in ((alone, 6), (shared, 2)):
        with trio.move_on_after(1):
            while True:
                await harness.router.acquire(harness.request(), 0, NO_UPSTREAMS)
        assert harness.router.status.in_flight == expected


async def test_only_upstreams_with_the_version_are_chosen(autojump_clock):
    harness = RouterHarness(engines=3)
    other = ModelKey("pool-7b", "", "2")
    harness.view.set("c", models=frozenset({other, KEY}))
    assert set(await place_all(harness, 2, model_key=other)) == {"c"}
    with pytest.raises(Failure) as caught:
        harness.router.check(
            harness.request(model_key=ModelKey("pool-7b", "quotes", "1"))
        )
    assert caught.value.code is Code.NO_UPSTREAM


async def test_excluded_upstream_is_used_only_without_another(autojump_clock):
    harness = RouterHarness(engines=2)
    excluded = frozenset({"a"})
    request = harness.request()
    for _ in range(3):
        placement = await harness.router.acquire(request, 0, excluded)
        assert placement.upstream.name == "b"
    harness.view.set("b", is_leaving=True)
    assert (await harness.router.acquire(request, 0, excluded)).upstream.name == "a"


@pytest.mark.parametrize("policy", ["round_robin", "least_in_flight", "random"])
async def test_baseline_policies(autojump_clock, policy):
    harness = RouterHarness(engines=3, choice=policy)
    names = await place_all(harness, 9)
    if policy == "random":
        assert len(set(names)) > 1
    else:
        assert sorted(names) == sorted("aaabbbccc")


async def test_prompt_is_routed_to_its_cached_prefix(autojump_clock):
    harness = RouterHarness(engines=8, slots=16, choices=1)
    first = await harness.answer(harness.request(prompt=LONG + "One?"))
    names = [
        await harness.answer(harness.request(prompt=LONG + f"{n}?"), hold=0.1)
        for n in range(5)
    ]
    assert set(names) == {first}
    explanation = harness.router.explain("r2")[0]
    parts = {each.upstream: each for each in explanation.considered}
    assert explanation.upstream == first
    assert parts[first].cached_tokens > 0.9 * len(LONG) / 4
    assert parts[first].seconds == min(each.seconds for each in parts.values())


async def test_long_wait_outweighs_a_cached_prefix(autojump_clock):
    harness = RouterHarness(engines=2, slots=4)
    first = await harness.answer(harness.request(prompt=LONG))
    harness.view.report(first, running=4, waiting=40)
    assert await harness.answer(harness.request(prompt=LONG)) != first


HASHES = hash_blocks(LONG)


@pytest.mark.parametrize(
    ("events", "low", "high"),
    [
        ([], 20, 21),
        # The tenth and later blocks are evicted.
        ([(1, 2, (), HASHES[9:])], 7, 8),
        # An event of an earlier epoch is ignored.
        ([(1, 2, (), HASHES[9:]), (0, 3, HASHES, ())], 7, 8),
        # Missed events halve the confidence in earlier blocks.
        ([(1, 9, (), ())], 9, 11),
        # A new epoch starts with an empty cache.
        ([(2, 1, (), ())], 0, 0),
        # An eviction older than the last placement is ignored.
        ([(1, 2, (), HASHES[9:])] * 2 + ["placed", (1, 3, (), HASHES)], 25, 26),
    ],
)
def test_cached_blocks_follow_events(events, low, high):
    index = PrefixIndex(half_life=600, blocks_per_upstream=100, event_lag=2.0)
    index.apply_event(CacheEvent("a", 1, 1), 0.0)
    index.record_placement("a", HASHES, 0.0)
    for event in events:
        if event == "placed":
            index.record_placement("a", HASHES, 199.0)
        else:
            index.apply_event(CacheEvent("a", *event), 200.0)
    assert low <= index.cached_blocks("a", HASHES, 200.0) <= high


def test_cached_blocks_are_bounded_and_scaled_by_hit_ratio():
    index = PrefixIndex(half_life=600, blocks_per_upstream=10, event_lag=2.0)
    index.record_placement("a", HASHES, 0.0)
    # Eviction keeps the leading blocks.
    assert index.cached_blocks("a", HASHES, 0.0) == 10
    assert index.find_holders(HASHES) == ["a"]
    for _ in range(40):
        index.record_hits("a", expected=10, found=0)
    assert index.cached_blocks("a", HASHES, 0.0) < 1
    index.forget("a")
    assert index.find_holders(HASHES) == []


async def test_late_first_tokens_are_penalized(autojump_clock):
    harness = RouterHarness(engines=2, slots=16, breaker="none", choices=2)
    harness.view.set("b", zone="pasig-b")
    for _ in range(3):
        placement = await harness.place()
        assert placement.upstream.name == "a"
        with placement:
            await trio.sleep(3)
            placement.record_tokens(1)
            placement.record_answer(EndMark("", 50, "length"))
        if len(harness.router.explain("r1")) and placement.tracked.excess.at(3) > 0.3:
            break
    assert (await harness.place()).upstream.name == "b"
    # The penalty decays.
    await trio.sleep(200)
    assert (await harness.place()).upstream.name == "a"


async def test_view_is_synced_once_a_period_or_without_upstreams(autojump_clock):
    harness = RouterHarness(view_period=1.0)
    calls = []
    plain = harness.view.candidates
    harness.view.candidates = lambda: calls.append(1) or plain()
    await place_all(harness, 3)
    assert len(calls) == 1
    await trio.sleep(1.0)
    await place_all(harness, 3)
    assert len(calls) == 2
    other = ModelKey("quotes")
    harness.view.set("a", models=frozenset({other}))
    assert await place_all(harness, 1, model_key=other) == ["a"]


async def test_cancelled_poller_is_replaced(autojump_clock):
    harness = RouterHarness(engines=1, slots=1)
    placement = await harness.place()
    async with trio.open_nursery() as nursery:
        scopes = []
        for _ in range(2):
            scope = trio.CancelScope()
            scopes.append(scope)

            async def wait(scope=scope):
                with scope:
                    await harness.answer()

            nursery.start_soon(wait)
            await trio.sleep(0.2)
        nursery.start_soon(harness.answer)
        await trio.sleep(0.2)
        # The first waiter polls on behalf of all.
        scopes[0].cancel()
        await trio.sleep(0.2)
        # A new upstream that only polling discovers.
        harness.view.set("b", slots=1)
        await trio.sleep(0.5)
        assert len(harness.started) == 1
        with placement:
            placement.record_answer(EndMark("", 50, "length"))
    assert len(harness.started) == 2
    assert (harness.router.status.in_flight, harness.router.status.waiting) == (0, 0)
