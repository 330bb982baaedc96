"""Retry budgets, causes of retries and backoff.

Retries beyond a share of first attempts would multiply the load of an overloaded
system; too few would lose requests whose upstream died.
"""

import random
import statistics

import pytest
import trio

from pepperstep.configuration.schema import Limits
from pepperstep.errors import Code, Execution, Failure
from pepperstep.ports.upstreams import EndMark
from pepperstep.routing import RetryBudget, RetryCause, RoutingSettings
from pepperstep.routing.retries import draw_backoff
from tests.routing.harness import NO_UPSTREAMS, RouterHarness


@pytest.mark.parametrize("rate", [0.05, 1.0, 20.0, 500.0])
def test_retries_stay_within_their_share(rate):
    budget = RetryBudget(RoutingSettings())
    firsts = 3000
    granted = 0
    for number in range(firsts):
        now = number / rate
        budget.record_first_attempt("offices", 0.1, now)
        # All attempts fail.
        while budget.spend("offices", now):
            granted += 1
    quiet = firsts / rate / RoutingSettings().retry_floor_period
    assert granted <= 3 + max(0.1 * firsts, min(firsts, quiet))
    assert granted >= 0.09 * firsts


def test_single_failures_at_low_load_get_a_retry():
    budget = RetryBudget(RoutingSettings())
    granted = []
    for hour in range(20):
        budget.record_first_attempt("offices", 0.1, hour * 3600.0)
        granted.append(budget.spend("offices", hour * 3600.0))
    assert all(granted)


def test_one_workspace_cannot_use_up_anothers_budget():
    budget = RetryBudget(RoutingSettings())
    for number in range(1000):
        budget.record_first_attempt("large", 0.1, number * 0.01)
        budget.record_first_attempt("small", 0.1, number * 0.01)
        while budget.spend("large", number * 0.01):
            pass
    assert budget.spend("small", 10.0)


def test_debts_are_paid_back():
    budget = RetryBudget(RoutingSettings(retry_burst=5))
    for _ in range(100):
        budget.spend("offices", 0.0, may_overdraw=True)
    firsts = 0
    while not budget.spend("offices", 0.0):
        budget.record_first_attempt("offices", 0.1, 0.0)
        firsts += 1
    # Repays the host's debt of 50 retries.
    assert 500 <= firsts <= 520


def test_backoff_has_full_jitter():
    settings = RoutingSettings()
    for retry, largest in ((1, 0.05), (3, 0.2), (50, 2.0)):
        rng = random.Random(retry)
        backoffs = [draw_backoff(retry, rng, settings) for _ in range(2000)]
        assert max(backoffs) <= largest
        assert statistics.mean(backoffs) == pytest.approx(largest / 2, rel=0.1)


async def lose(harness: RouterHarness, request, attempt: int = 1, **outcome) -> str:
    """Run one attempt that fails, and return its upstream."""
    placement = await harness.router.acquire(request, 0, NO_UPSTREAMS, attempt=attempt)
    with placement:
        await trio.sleep(0.01)
        if "retry_after" in outcome:
            placement.record_refusal(outcome["retry_after"])
        else:
            placement.record_loss()
    return placement.upstream.name


async def answer(harness: RouterHarness) -> None:
    placement = await harness.place()
    with placement:
        placement.record_tokens(1)
        placement.record_answer(EndMark("", 1, "length"))


@pytest.mark.parametrize(
    ("case", "cause"),
    [
        ("busy", RetryCause.REFUSED),
        ("died", RetryCause.DIED),
        ("lease ended", RetryCause.RECLAIMED),
        ("leaving", RetryCause.RECLAIMED),
        ("started again", RetryCause.RECLAIMED),
        ("answers others", RetryCause.FAILED),
        ("still announced", RetryCause.FAILED),
        ("took over", RetryCause.DIED),
    ],
)
async def test_cause_is_inferred_from_how_the_attempt_ended(
    autojump_clock, case, cause
):
    harness = RouterHarness(engines=1, breaker="none")
    request = harness.request()
    if case == "answers others":
        await lose(harness, harness.request())
        await trio.sleep(0.1)
        await answer(harness)
    if case == "still announced":
        await lose(harness, harness.request())
        await trio.sleep(6)
    if case != "took over":
        await lose(harness, request, **({"retry_after": 1.0} if case == "busy" else {}))
    harness.view.set("b")
    if case == "lease ended":
        del harness.view.upstreams["a"]
    elif case == "leaving":
        harness.view.set("a", is_leaving=True)
    elif case == "started again":
        harness.view.set("a", epoch=2)
    await harness.router.acquire(request, 0, NO_UPSTREAMS, attempt=2)
    assert harness.router.explain(request.id)[-1].retry_cause == cause


@pytest.mark.parametrize("is_dead", [True, False])
async def test_empty_budget_refuses_only_retries_on_live_upstreams(
    autojump_clock, is_dead
):
    settings = {"retry_wait": 12.0, "retry_floor_period": 60.0}
    harness = RouterHarness(
        engines=2, breaker="none", limits=Limits(retry_share=0.0), **settings
    )
    harness.router._retries = RetryBudget(RoutingSettings(retry_burst=1, **settings))
    requests = [harness.request() for _ in range(4)]
    for request in requests:
        await lose(harness, request, **({} if is_dead else {"retry_after": 0.1}))
    results = []
    for request in requests:
        before = trio.current_time()
        try:
            await harness.router.acquire(request, 0, NO_UPSTREAMS, attempt=2)
            results.append(trio.current_time() - before)
        except Failure as failure:
            assert failure.code is Code.RETRIES_EXHAUSTED
            assert failure.execution is Execution.MAY_HAVE_RUN
            # The retry waits for the budget, but at most `retry_wait` seconds.
            assert 12.0 <= trio.current_time() - before <= 12.4
            results.append(None)
    if is_dead:
        # The first is retried at once, the others after a backoff.
        assert results[0] == 0.0
        assert all(0.0 < pause <= 0.05 for pause in results[1:])
    else:
        assert results[1:] == [None] * 3


async def test_accepted_request_waits_for_the_budget(autojump_clock):
    settings = {"retry_wait": 12.0, "retry_floor_period": 10.0}
    harness = RouterHarness(
        engines=2, breaker="none", limits=Limits(retry_share=0.0), **settings
    )
    harness.router._retries = RetryBudget(RoutingSettings(retry_burst=1, **settings))
    for waits in (0.0, 10.0):
        request = harness.request()
        await lose(harness, request, retry_after=0.1)
        before = trio.current_time()
        await harness.router.acquire(request, 0, NO_UPSTREAMS, attempt=2)
        assert waits <= trio.current_time() - before <= waits + 0.5


async def test_no_retry_is_made_past_the_deadline(autojump_clock):
    harness = RouterHarness()
    request = harness.request(deadline=harness.timers.wall() + 0.5)
    await lose(harness, request)
    with pytest.raises(Failure) as caught:
        for attempt in range(2, 20):
            await lose(harness, request, attempt=attempt)
    assert caught.value.code is Code.DEADLINE_EXPIRED
    assert harness.timers.wall() <= request.deadline
