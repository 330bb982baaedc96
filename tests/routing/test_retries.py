"""Retry budgets, their causes and pauses."""

import random
import statistics

import pytest
import trio

from pepperstep.configuration.schema import Limits
from pepperstep.errors import Code, Execution, Failure
from pepperstep.ports.upstreams import EndMark
from pepperstep.routing import RetryBudget, RetryCause, RoutingSettings
from pepperstep.routing.retries import draw_pause
from tests.routing.sites import NONE, Site


@pytest.mark.parametrize("rate", [0.05, 1.0, 20.0, 500.0])
def test_retries_stay_within_their_share(rate):
    budget = RetryBudget(RoutingSettings())
    firsts = 3000
    paid = 0
    for number in range(firsts):
        now = number / rate
        budget.note_first("offices", 0.1, now)
        # Each attempt fails.
        while budget.take("offices", now):
            paid += 1
    quiet = firsts / rate / RoutingSettings().retry_floor_period
    assert paid <= 3 + max(0.1 * firsts, min(firsts, quiet))
    assert paid >= 0.09 * firsts


def test_single_failures_at_low_load_get_a_retry():
    budget = RetryBudget(RoutingSettings())
    paid = []
    for hour in range(20):
        budget.note_first("offices", 0.1, hour * 3600.0)
        paid.append(budget.take("offices", hour * 3600.0))
    assert all(paid)


def test_one_workspace_cannot_use_up_anothers_budget():
    budget = RetryBudget(RoutingSettings())
    for number in range(1000):
        budget.note_first("large", 0.1, number * 0.01)
        budget.note_first("small", 0.1, number * 0.01)
        while budget.take("large", number * 0.01):
            pass
    assert budget.take("small", 10.0)


def test_debts_are_paid_back():
    budget = RetryBudget(RoutingSettings(retry_burst=5))
    for _ in range(100):
        budget.take("offices", 0.0, may_exceed=True)
    firsts = 0
    while not budget.take("offices", 0.0):
        budget.note_first("offices", 0.1, 0.0)
        firsts += 1
    # The host's debt of 50 retries.
    assert 500 <= firsts <= 520


def test_pauses_have_full_jitter():
    settings = RoutingSettings()
    for retry, largest in ((1, 0.05), (3, 0.2), (50, 2.0)):
        rng = random.Random(retry)
        pauses = [draw_pause(retry, rng, settings) for _ in range(2000)]
        assert max(pauses) <= largest
        assert statistics.mean(pauses) == pytest.approx(largest / 2, rel=0.1)


async def lose(site: Site, request, attempt: int = 1, **notes) -> str:
    """Run one attempt that fails, and return its upstream."""
    placement = await site.router.acquire(request, 0, NONE, attempt=attempt)
    with placement:
        await trio.sleep(0.01)
        if "retry_after" in notes:
            placement.record_refusal(notes["retry_after"])
        else:
            placement.record_loss()
    return placement.upstream.name


async def answer(site: Site) -> None:
    placement = await site.place()
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
async def test_causes_are_told_from_how_the_attempt_ended(autojump_clock, case, cause):
    site = Site(engines=1, breaker="none")
    request = site.request()
    if case == "answers others":
        await lose(site, site.request())
        await trio.sleep(0.1)
        await answer(site)
    if case == "still announced":
        await lose(site, site.request())
        await trio.sleep(6)
    if case != "took over":
        await lose(site, request, **({"retry_after": 1.0} if case == "busy" else {}))
    site.view.set("b")
    if case == "lease ended":
        del site.view.upstreams["a"]
    elif case == "leaving":
        site.view.set("a", is_leaving=True)
    elif case == "started again":
        site.view.set("a", epoch=2)
    await site.router.acquire(request, 0, NONE, attempt=2)
    assert site.router.explain(request.id)[-1].retry_cause == cause


@pytest.mark.parametrize("is_dead", [True, False])
async def test_empty_budget_refuses_only_failures_of_the_living(
    autojump_clock, is_dead
):
    settings = {"retry_wait": 12.0, "retry_floor_period": 60.0}
    site = Site(engines=2, breaker="none", limits=Limits(retry_share=0.0), **settings)
    site.router._retries = RetryBudget(RoutingSettings(retry_burst=1, **settings))
    requests = [site.request() for _ in range(4)]
    for request in requests:
        await lose(site, request, **({} if is_dead else {"retry_after": 0.1}))
    results = []
    for request in requests:
        before = trio.current_time()
        try:
            await site.router.acquire(request, 0, NONE, attempt=2)
            results.append(trio.current_time() - before)
        except Failure as failure:
            assert failure.code is Code.RETRIES_EXHAUSTED
            assert failure.execution is Execution.MAY_HAVE_RUN
            # It waited for the budget, for no longer than is allowed.
            assert 12.0 <= trio.current_time() - before <= 12.4
            results.append(None)
    if is_dead:
        # The first is moved at once, the others are slowed.
        assert results[0] == 0.0
        assert all(0.0 < pause <= 0.05 for pause in results[1:])
    else:
        assert results[1:] == [None] * 3


async def test_accepted_request_waits_for_the_budget(autojump_clock):
    settings = {"retry_wait": 12.0, "retry_floor_period": 10.0}
    site = Site(engines=2, breaker="none", limits=Limits(retry_share=0.0), **settings)
    site.router._retries = RetryBudget(RoutingSettings(retry_burst=1, **settings))
    for waits in (0.0, 10.0):
        request = site.request()
        await lose(site, request, retry_after=0.1)
        before = trio.current_time()
        await site.router.acquire(request, 0, NONE, attempt=2)
        assert waits <= trio.current_time() - before <= waits + 0.5


async def test_no_retry_is_made_past_the_deadline(autojump_clock):
    site = Site()
    request = site.request(deadline=site.timers.wall() + 0.5)
    await lose(site, request)
    with pytest.raises(Failure) as caught:
        for attempt in range(2, 20):
            await lose(site, request, attempt=attempt)
    assert caught.value.code is Code.DEADLINE_EXPIRED
    assert site.timers.wall() <= request.deadline
