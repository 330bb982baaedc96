"""Fairness, limits, early refusals and deadlines."""

from collections import Counter

import pytest
import trio
from hypothesis import given, settings, strategies as st

from pepperstep.configuration.schema import Limits, Workspace
from pepperstep.entities import Priority, Request, RequestKind
from pepperstep.errors import Code, Execution, Failure
from pepperstep.routing.limits import LIMITS, AdaptiveLimit, LatencySample
from pepperstep.routing.queue import FairQueue, Waiter, order_fairly
from pepperstep.routing.work import Work
from tests.routing.sites import NONE, Site

BATCH = {"priority": Priority.BATCH, "workspace": "large"}
REPLY = {"priority": Priority.INTERACTIVE, "workspace": "desk"}


async def started_of(site: Site, waves: list[tuple[int, dict]], hold: float = 1.0):
    """Ask in waves at once; return the requests in the order of their starts."""
    requests = {}
    async with trio.open_nursery() as nursery:
        for count, changes in waves:
            for _ in range(count):
                request = site.request(**changes)
                requests[request.id] = request
                nursery.start_soon(site.answer, request, hold)
            await trio.sleep(0.001)
    return [requests[request_id] for request_id in site.started]


@pytest.mark.parametrize(
    ("waves", "count", "name", "least", "baseline"),
    [
        # Replies overtake the reviews that wait.
        ([(20, BATCH), (4, REPLY)], 6, "desk", 4, {"queue": "fifo"}),
        # A small workspace gets its half beside a large one.
        (
            [(40, BATCH), (10, BATCH | {"workspace": "small"})],
            *(22, "small", 9, {"queue": "fifo"}),
        ),
        # Reviews get some of the starts beside replies that keep coming.
        (
            [(2, REPLY), (10, BATCH), (60, REPLY)],
            *(50, "large", 2, {"lower_class_share": 0.0}),
        ),
    ],
)
async def test_starts_are_fair(autojump_clock, waves, count, name, least, baseline):
    for changes, is_fair in (({}, True), (baseline, False)):
        site = Site(engines=1, slots=2, refuses_early=False, **changes)
        started = await started_of(site, waves)
        got = Counter(each.workspace for each in started[:count])[name]
        assert (got >= least) is is_fair


async def test_weights_and_most_in_flight(autojump_clock):
    workspaces = {
        "large": Workspace(weight=3.0),
        "small": Workspace(weight=1.0, max_in_flight=2),
    }
    site = Site(engines=1, slots=8, workspaces=workspaces, refuses_early=False)
    small = {"workspace": "small", "priority": Priority.BATCH}
    async with trio.open_nursery() as nursery:
        nursery.start_soon(started_of, site, [(40, BATCH), (40, small)])
        await trio.sleep(1.5)
        assert Counter(site.router._dispatcher._in_flight) == {"large": 6, "small": 2}
        nursery.cancel_scope.cancel()


def waiter_of(workspace: str, cost: float) -> Waiter:
    request = Request(
        "r", workspace, RequestKind.CHAT, "pool", Priority.STANDARD, deadline=0.0
    )
    return Waiter(Work(request, 1, 1, 1.0, [], 0.0), NONE, cost, 0.0, 0.0)


@settings(derandomize=True, max_examples=60, deadline=None)
@given(
    st.dictionaries(st.sampled_from("abcd"), st.integers(1, 5), min_size=2),
    st.lists(st.sampled_from([0.5, 1.0, 4.0]), min_size=4, max_size=4),
)
def test_backlogged_workspaces_get_their_weights(weights, costs):
    cost_of = dict(zip("abcd", costs, strict=True))
    queue = FairQueue(order_fairly, lambda name: float(weights[name]), 0.05)
    for name in weights:
        for _ in range(100):
            queue.push(waiter_of(name, cost_of[name]))
    got = Counter(dict.fromkeys(weights, 0.0))
    for _ in range(100):
        head = next(queue.heads())
        queue.pop(head)
        name = head.work.request.workspace
        got[name] += head.cost / weights[name]
        spread = max(got.values()) - min(got.values())
        largest = max(cost_of[each] / weights[each] for each in weights)
        assert spread <= largest + 1e-9


async def refusal_of(site: Site, request: Request) -> Failure | None:
    """Return the refusal, which must come at once."""
    before = trio.current_time()
    try:
        site.router.check(request)
    except Failure as failure:
        assert trio.current_time() == before
        return failure
    return None


@pytest.mark.parametrize("backlog", [0, 12])
async def test_hopeless_requests_are_refused_with_a_time_to_return(
    autojump_clock, backlog
):
    site = Site(engines=1, slots=4)
    async with trio.open_nursery() as nursery:
        for _ in range(4):
            await site.answer(hold=1.0)
        # Four run a second each, the backlog waits.
        for _ in range(4 + backlog if backlog else 0):
            nursery.start_soon(site.answer, site.request(), 1.0)
        await trio.sleep(0.01)
        wall = site.timers.wall()
        soon = site.request(deadline=wall + 2.5)
        reply = site.request(**REPLY)
        late = site.request(deadline=wall + 60)
        refusals = [await refusal_of(site, each) for each in (soon, reply, late)]
    codes = [refusal and refusal.code for refusal in refusals]
    # The reply overtakes the backlog.
    expected = [Code.OVERLOADED if backlog else None, None, None]
    assert codes == expected
    if backlog:
        # 13 wait for 4 places of a second; back when 2.5 s are enough.
        assert 0.5 < refusals[0].retry_after < 3.5
        assert refusals[0].execution is Execution.NOT_RUN


async def test_reply_is_refused_at_a_multiple_of_its_target(autojump_clock):
    site = Site(engines=1, slots=4)
    await site.answer(site.request(**REPLY), hold=1.0)
    async with trio.open_nursery() as nursery:
        is_refused = []
        for _ in range(24):
            request = site.request(**REPLY)
            is_refused.append(await refusal_of(site, request) is not None)
            if not is_refused[-1]:
                nursery.start_soon(site.answer, request, 1.0)
                await trio.sleep(0.001)
    # Five run a second each; four times the target of 0.54 s lets ten wait.
    assert 14 <= is_refused.index(True) <= 16
    assert all(is_refused[16:])


async def test_full_queue_refuses_one_workspace(autojump_clock):
    site = Site(engines=1, slots=1, limits=Limits(max_queue=3))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(site.answer)
        await trio.sleep(0.01)
        for _ in range(2):
            nursery.start_soon(site.answer)
        await trio.sleep(0.01)
        # Accepted, but not in the queue yet.
        assert await refusal_of(site, site.request()) is None
        refusal = await refusal_of(site, site.request())
        assert (refusal.code, refusal.execution) == (Code.QUEUE_FULL, Execution.NOT_RUN)
        assert refusal.retry_after > 0
        assert await refusal_of(site, site.request(workspace="other")) is None


async def test_idle_places_are_never_refused(autojump_clock):
    site = Site(engines=1, slots=2)
    for _ in range(10):
        await site.answer(hold=30.0)
    assert await refusal_of(site, site.request(**REPLY, max_tokens=16_000)) is None


async def test_what_cannot_be_in_time_is_answered_at_once(autojump_clock):
    site = Site(engines=1, slots=1)
    # Answers are always whole, of 50 tokens in 1 s at least.
    for _ in range(10):
        await site.answer(hold=1.0)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(site.answer, site.request(), 10.0)
        await trio.sleep(0.01)
        deadline = site.timers.wall() + 4.0
        before = trio.current_time()
        with pytest.raises(Failure) as caught:
            await site.answer(site.request(deadline=deadline), attempt=2)
        assert caught.value.code is Code.DEADLINE_EXPIRED
        assert caught.value.execution is Execution.MAY_HAVE_RUN
        assert 2.9 < trio.current_time() - before < 3.2
        assert site.router.status.waiting == 0


@pytest.mark.parametrize("policy", list(LIMITS))
def test_limits_follow_latency_within_their_bounds(policy):
    limit = AdaptiveLimit(LIMITS[policy], least=4, largest=16, period=0.5)
    values = []
    for step in range(200):
        # Latency grows with what is in flight, up to step 150.
        in_flight = limit.value
        measured = 0.02 * max(1.0, in_flight / 8) if step < 150 else 0.02
        limit.note(LatencySample(measured, 0.02), 1.2, now=step * 0.6)
        values.append(limit.value)
    assert all(4 <= value <= 16 for value in values)
    if policy == "fixed":
        assert set(values) == {16}
    else:
        assert values[149] < 14
        assert values[-1] > values[149]


async def test_slow_steps_lower_an_upstreams_limit(autojump_clock):
    site = Site(engines=1, slots=16)
    placement = await site.place()
    with placement:
        for step in range(200):
            await trio.sleep(0.02 if step < 50 else 0.1)
            placement.record_tokens(1)
    assert site.router.status.upstreams[0].limit < 8


async def test_late_timers_lower_the_hosts_limit(autojump_clock):
    site = Site(engines=1, slots=16, max_host_in_flight=4, min_host_in_flight=1)
    async with trio.open_nursery() as nursery:
        await nursery.start(site.router.run)
        await trio.sleep(5)
        assert site.router.status.host_limit == 4
        for _ in range(30):
            site.timers.pause()
            await trio.sleep(0.4)
            site.timers.resume()
            await trio.sleep(0.1)
        assert site.router.status.host_limit < 2
        await site.place()
        with pytest.raises(trio.TooSlowError):
            await site.place()
        nursery.cancel_scope.cancel()
