"""Where attempts are placed."""

import pytest
import trio

from pepperstep.entities import Load, ModelKey, Role
from pepperstep.errors import Code, Failure
from pepperstep.ports.upstreams import EndMark
from pepperstep.routing import CacheEvent
from pepperstep.routing.prefixes import PrefixIndex, hash_blocks
from tests.routing.sites import KEY, NONE, Site

LONG = "Clause and benefit of a contract. " * 200


async def place_all(site: Site, count: int, **changes) -> list[str]:
    """Return the upstreams of requests placed one after another."""
    placed = [await site.place(site.request(**changes)) for _ in range(count)]
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
        site = Site(engines=2, slots=16)
        site.view.set(other, **worse)
        site.view.set(name, **better)
        assert (await site.place()).upstream.name == name


async def test_own_work_counts_before_the_report_does(autojump_clock):
    site = Site(engines=4, choices=4)
    # One report of no load stands for all placements.
    assert sorted(await place_all(site, 8)) == sorted("aabbccdd")


async def test_own_work_in_a_report_counts_once(autojump_clock):
    site = Site(engines=1, slots=4)
    await place_all(site, 2)
    site.view.report("a", running=2)
    site.router.status  # noqa: B018 - takes the report in
    status = site.router.status.upstreams[0]
    assert (status.in_flight, status.others) == (2, 0)
    site.view.report("a", running=5)
    assert site.router.status.upstreams[0].others == 3


async def test_other_hosts_are_taken_to_start_as_much(autojump_clock):
    alone, shared = Site(engines=1, slots=6), Site(engines=1, slots=6, hosts=3)
    for site, expected in ((alone, 6), (shared, 2)):
        with trio.move_on_after(1):
            while True:
                await site.router.acquire(site.request(), 0, NONE)
        assert site.router.status.in_flight == expected


async def test_only_upstreams_with_the_version_are_chosen(autojump_clock):
    site = Site(engines=3)
    other = ModelKey("pool-7b", "", "2")
    site.view.set("c", models=frozenset({other, KEY}))
    assert set(await place_all(site, 2, model_key=other)) == {"c"}
    with pytest.raises(Failure) as caught:
        site.router.check(site.request(model_key=ModelKey("pool-7b", "quotes", "1")))
    assert caught.value.code is Code.NO_UPSTREAM


async def test_excluded_is_taken_only_without_another(autojump_clock):
    site = Site(engines=2)
    excluded = frozenset({"a"})
    request = site.request()
    for _ in range(3):
        placement = await site.router.acquire(request, 0, excluded)
        assert placement.upstream.name == "b"
    site.view.set("b", is_leaving=True)
    assert (await site.router.acquire(request, 0, excluded)).upstream.name == "a"


@pytest.mark.parametrize("policy", ["round_robin", "least_in_flight", "random"])
async def test_baselines(autojump_clock, policy):
    site = Site(engines=3, choice=policy)
    names = await place_all(site, 9)
    if policy == "random":
        assert len(set(names)) > 1
    else:
        assert sorted(names) == sorted("aaabbbccc")


async def test_prompt_goes_where_its_prefix_is(autojump_clock):
    site = Site(engines=8, slots=16, choices=1)
    first = await site.answer(site.request(prompt=LONG + "One?"))
    names = [
        await site.answer(site.request(prompt=LONG + f"{n}?"), hold=0.1)
        for n in range(5)
    ]
    assert set(names) == {first}
    explanation = site.router.explain("r2")[0]
    parts = {each.upstream: each for each in explanation.considered}
    assert explanation.upstream == first
    assert parts[first].cached_tokens > 0.9 * len(LONG) / 4
    assert parts[first].seconds == min(each.seconds for each in parts.values())


async def test_prefix_gives_way_to_a_long_wait(autojump_clock):
    site = Site(engines=2, slots=4)
    first = await site.answer(site.request(prompt=LONG))
    site.view.report(first, running=4, waiting=40)
    assert await site.answer(site.request(prompt=LONG)) != first


HASHES = hash_blocks(LONG)


@pytest.mark.parametrize(
    ("events", "low", "high"),
    [
        ([], 20, 21),
        # Removed from the tenth on.
        ([(1, 2, (), HASHES[9:])], 7, 8),
        # An event that came before the start counts for nothing.
        ([(1, 2, (), HASHES[9:]), (0, 3, HASHES, ())], 7, 8),
        # A gap halves what was believed before it.
        ([(1, 9, (), ())], 9, 11),
        # A new start has nothing.
        ([(2, 1, (), ())], 0, 0),
        # A removal older than the last placement.
        ([(1, 2, (), HASHES[9:])] * 2 + ["placed", (1, 3, (), HASHES)], 25, 26),
    ],
)
def test_beliefs_follow_events(events, low, high):
    index = PrefixIndex(half_life=600, blocks_per_upstream=100, event_lag=2.0)
    index.note_event(CacheEvent("a", 1, 1), 0.0)
    index.note_placed("a", HASHES, 0.0)
    for event in events:
        if event == "placed":
            index.note_placed("a", HASHES, 199.0)
        else:
            index.note_event(CacheEvent("a", *event), 200.0)
    assert low <= index.cached_blocks("a", HASHES, 200.0) <= high


def test_beliefs_are_bounded_and_trusted_by_what_is_found():
    index = PrefixIndex(half_life=600, blocks_per_upstream=10, event_lag=2.0)
    index.note_placed("a", HASHES, 0.0)
    # The first blocks are those that are kept.
    assert index.cached_blocks("a", HASHES, 0.0) == 10
    assert index.find_holders(HASHES) == ["a"]
    for _ in range(40):
        index.note_found("a", expected=10, found=0)
    assert index.cached_blocks("a", HASHES, 0.0) < 1
    index.forget("a")
    assert index.find_holders(HASHES) == []


async def test_history_turns_requests_away(autojump_clock):
    site = Site(engines=2, slots=16, breaker="none", choices=2)
    site.view.set("b", zone="pasig-b")
    for _ in range(3):
        placement = await site.place()
        assert placement.upstream.name == "a"
        with placement:
            await trio.sleep(3)
            placement.record_tokens(1)
            placement.record_answer(EndMark("", 50, "length"))
        if len(site.router.explain("r1")) and placement.tracked.excess.at(3) > 0.3:
            break
    assert (await site.place()).upstream.name == "b"
    # What is held against it fades.
    await trio.sleep(200)
    assert (await site.place()).upstream.name == "a"


async def test_view_is_read_once_a_period_or_when_nothing_serves(autojump_clock):
    site = Site(view_period=1.0)
    calls = []
    plain = site.view.candidates
    site.view.candidates = lambda: calls.append(1) or plain()
    await place_all(site, 3)
    assert len(calls) == 1
    await trio.sleep(1.0)
    await place_all(site, 3)
    assert len(calls) == 2
    other = ModelKey("quotes")
    site.view.set("a", models=frozenset({other}))
    assert await place_all(site, 1, model_key=other) == ["a"]


async def test_cancelled_waiters_block_nobody(autojump_clock):
    site = Site(engines=1, slots=1)
    placement = await site.place()
    async with trio.open_nursery() as nursery:
        scopes = []
        for _ in range(2):
            scope = trio.CancelScope()
            scopes.append(scope)

            async def wait(scope=scope):
                with scope:
                    await site.answer()

            nursery.start_soon(wait)
            await trio.sleep(0.2)
        nursery.start_soon(site.answer)
        await trio.sleep(0.2)
        # The first of them looks for changes for all.
        scopes[0].cancel()
        await trio.sleep(0.2)
        # Room that only a report shows.
        site.view.set("b", slots=1)
        await trio.sleep(0.5)
        assert len(site.started) == 1
        with placement:
            placement.record_answer(EndMark("", 50, "length"))
    assert len(site.started) == 2
    assert (site.router.status.in_flight, site.router.status.waiting) == (0, 0)
