"""Ejection of upstreams, and their return."""

import pytest
import trio

from pepperstep.ports.upstreams import EndMark
from pepperstep.routing.breakers import (
    BREAKERS,
    Breaker,
    BreakerState,
    limit_ejected,
)
from pepperstep.routing.settings import RoutingSettings
from tests.routing.sites import NONE, Site

G, B = True, False


@pytest.mark.parametrize(
    ("policy", "results", "expected"),
    [
        ("none", [B] * 20, BreakerState.HEALTHY),
        ("consecutive", [B] * 4 + [G] + [B] * 4, BreakerState.HEALTHY),
        ("consecutive", [B] * 5, BreakerState.EJECTED),
    ],
)
def test_results_eject(policy, results, expected):
    breaker = Breaker(RoutingSettings())
    for step, is_good in enumerate(results):
        BREAKERS[policy](breaker, is_good, step * 0.1)
    assert breaker.refresh(len(results) * 0.1) is expected


def test_each_ejection_that_follows_soon_is_longer():
    breaker = Breaker(RoutingSettings())
    note = BREAKERS["consecutive"]
    now = 0.0
    waits = []
    for _ in range(7):
        while breaker.refresh(now) is not BreakerState.EJECTED:
            note(breaker, False, now)
        start = now
        while breaker.refresh(now) is BreakerState.EJECTED:
            now += 0.5
        waits.append(now - start)
    assert waits == [1.0, 2.0, 4.0, 8.0, 16.0, 30.0, 30.0]
    note(breaker, True, now)
    assert breaker.refresh(now) is BreakerState.HEALTHY
    # A long time without failures is forgiven.
    for _ in range(5):
        note(breaker, False, now + 100)
    assert breaker.refresh(now + 101) is BreakerState.RECOVERING


@pytest.mark.parametrize(
    ("count", "bad", "share", "ejected"),
    [(1, 1, 0.5, 0), (2, 2, 0.1, 1), (9, 9, 0.5, 4), (9, 2, 0.5, 2), (3, 3, 1.0, 2)],
)
def test_share_ejected_is_capped(count, bad, share, ejected):
    breakers = [Breaker(RoutingSettings()) for _ in range(count)]
    for number, breaker in enumerate(breakers[:bad]):
        breaker.eject(number * 0.01)
    limited = limit_ejected(breakers, 0.5, share)
    # Those ejected first stay so.
    assert limited == set(breakers[:ejected])


async def test_failing_upstream_is_left_alone_and_probed(autojump_clock):
    site = Site(engines=3, slots=16, choice="round_robin")
    names = []
    is_broken = True
    for step in range(600):
        bad = "a" if is_broken else "none"
        names.append(await site.fail(bad))
        await trio.sleep(0.05)
        if step == 300:
            is_broken = False
    assert 3 < names[:300].count("a") < 12
    # Whole again, it gets its part after the probe that found it so.
    assert names[450:].count("a") == 50
    assert {site.router.explain(f"r{n}")[0].reason for n in range(1, 300)} == {
        "round robin",
        "probe of an ejected upstream",
    }


async def test_probes_are_few_repeatable_and_first_attempts(autojump_clock):
    site = Site(engines=2, slots=16, choice="round_robin")
    for _ in range(10):
        await site.fail("a")
    await trio.sleep(1.5)
    kept = [site.request(is_repeatable=False), site.request()]
    for attempt, request in zip((1, 2), kept, strict=True):
        placement = await site.router.acquire(request, 0, NONE, attempt=attempt)
        assert placement.upstream.name == "b"
    placed = [await site.place() for _ in range(4)]
    assert [each.upstream.name for each in placed] == ["a", "b", "b", "b"]


async def test_slow_upstream_is_ejected_unless_all_are(autojump_clock):
    for slow, expected in (("a", {"a"}), ("abcd", set())):
        site = Site(engines=4, slots=16, choice="round_robin")
        for _ in range(40):
            with trio.move_on_after(100):
                placement = await site.place()
                with placement:
                    name = placement.upstream.name
                    await trio.sleep(2.0 if name in slow else 0.05)
                    placement.record_tokens(1)
                    placement.record_answer(EndMark("", 50, "length"))
        ejected = {u.name for u in site.router.status.upstreams if u.ejections}
        assert ejected == expected


async def test_silence_counts_as_failure(autojump_clock):
    site = Site(engines=1)
    for _ in range(5):
        with trio.move_on_after(10):
            with await site.place():
                await trio.sleep_forever()
    assert site.router.status.upstreams[0].ejections == 1
    # The only one is used all the same.
    site.router.check(site.request())
    await site.place()


async def test_a_callers_leaving_counts_for_nothing(autojump_clock):
    site = Site(engines=1)
    for _ in range(5):
        with trio.move_on_after(0.5):
            with await site.place():
                await trio.sleep_forever()
    assert site.router.status.upstreams[0].ejections == 0
