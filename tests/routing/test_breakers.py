"""Circuit breakers: a failing or slow upstream is ejected, probed and restored.

A breaker that is too lax keeps sending requests to a broken upstream; one that is too
strict ejects all upstreams or punishes one for cancelled callers.
"""

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
from tests.routing.harness import NO_UPSTREAMS, RouterHarness

SUCCESS, FAILURE = True, False


@pytest.mark.parametrize(
    ("policy", "results", "expected"),
    [
        ("none", [FAILURE] * 20, BreakerState.HEALTHY),
        (
            "consecutive",
            [FAILURE] * 4 + [SUCCESS] + [FAILURE] * 4,
            BreakerState.HEALTHY,
        ),
        ("consecutive", [FAILURE] * 5, BreakerState.EJECTED),
    ],
)
def test_consecutive_failures_eject(policy, results, expected):
    breaker = Breaker(RoutingSettings())
    for step, is_success in enumerate(results):
        BREAKERS[policy](breaker, is_success, step * 0.1)
    assert breaker.refresh(len(results) * 0.1) is expected


def test_ejections_double_up_to_the_cap():
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
    # The duration is reset after a long healthy time.
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
    # The earliest ejections are kept.
    assert limited == set(breakers[:ejected])


async def test_failing_upstream_is_ejected_and_probed(autojump_clock):
    harness = RouterHarness(engines=3, slots=16, choice="round_robin")
    names = []
    is_broken = True
    for step in range(600):
        bad = "a" if is_broken else "none"
        names.append(await harness.fail(bad))
        await trio.sleep(0.05)
        if step == 300:
            is_broken = False
    assert 3 < names[:300].count("a") < 12
    # After recovery, a probe succeeds and the upstream gets its share again.
    assert names[450:].count("a") == 50
    assert {harness.router.explain(f"r{n}")[0].reason for n in range(1, 300)} == {
        "round robin",
        "probe of an ejected upstream",
    }


async def test_one_repeatable_first_attempt_probes(autojump_clock):
    harness = RouterHarness(engines=2, slots=16, choice="round_robin")
    for _ in range(10):
        await harness.fail("a")
    await trio.sleep(1.5)
    kept = [harness.request(is_repeatable=False), harness.request()]
    for attempt, request in zip((1, 2), kept, strict=True):
        placement = await harness.router.acquire(
            request, 0, NO_UPSTREAMS, attempt=attempt
        )
        assert placement.upstream.name == "b"
    placed = [await harness.place() for _ in range(4)]
    assert [each.upstream.name for each in placed] == ["a", "b", "b", "b"]


async def test_slow_upstream_is_ejected_unless_all_are(autojump_clock):
    for slow, expected in (("a", {"a"}), ("abcd", set())):
        harness = RouterHarness(engines=4, slots=16, choice="round_robin")
        for _ in range(40):
            with trio.move_on_after(100):
                placement = await harness.place()
                with placement:
                    name = placement.upstream.name
                    await trio.sleep(2.0 if name in slow else 0.05)
                    placement.record_tokens(1)
                    placement.record_answer(EndMark("", 50, "length"))
        ejected = {u.name for u in harness.router.status.upstreams if u.ejections}
        assert ejected == expected


async def test_silence_counts_as_failure(autojump_clock):
    harness = RouterHarness(engines=1)
    for _ in range(5):
        with trio.move_on_after(10):
            with await harness.place():
                await trio.sleep_forever()
    assert harness.router.status.upstreams[0].ejections == 1
    # The only upstream is used even if ejected.
    harness.router.check(harness.request())
    await harness.place()


async def test_cancellation_by_the_caller_is_no_failure(autojump_clock):
    harness = RouterHarness(engines=1)
    for _ in range(5):
        with trio.move_on_after(0.5):
            with await harness.place():
                await trio.sleep_forever()
    assert harness.router.status.upstreams[0].ejections == 0
