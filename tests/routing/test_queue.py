"""Fair queueing, concurrency limits, admission control and deadlines.

Faults guarded against: a large workspace or a higher class starves others, requests
are accepted that can't be answered in time, and limits don't follow latency.
"""

from collections import Counter

import pytest
import trio
from hypothesis import given, settings, strategies as st

from pepperstep.configuration.schema import Limits, Workspace
from pepperstep.entities import Priority, Request, RequestKind
from pepperstep.errors import Code, Execution, Failure
from pepperstep.routing.limits import LIMITS, AdaptiveLimit, LatencySample
from pepperstep.routing.queue import FairQueue, Waiter, order_fairly
from pepperstep.routing.work import WorkEstimate
from tests.routing.harness import NO_UPSTREAMS, RouterHarness

BATCH = {"priority": Priority.BATCH, "workspace": "large"}
REPLY = {"priority": Priority.INTERACTIVE, "workspace": "desk"}


async def run_waves(
    harness: RouterHarness, waves: list[tuple[int, dict]], hold: float = 1.0
):
    """Send waves of requests; return the requests in the order of their starts."""
    requests = {}
    async with trio.open_nursery() as nursery:
        for count, changes in waves:
            for _ in range(count):
                request = harness.request(**changes)
                requests[request.id] = request
                nursery.start_soon(harness.answer, request, hold)
            await trio.sleep(0.001)
    return [requests[request_id] for request_id in harness.started]


@pytest.mark.parametrize(
    ("waves", "count", "name", "minimum", "baseline"),
    [
        # Interactive requests overtake waiting batch requests.
        ([(20, BATCH), (4, REPLY)], 6, "desk", 4, {"queue": "fifo"}),
        # A small workspace gets half of the starts beside a large one.
        (
            [(40, BATCH), (10, BATCH | {"workspace": "small"})],
            *(22, "small", 9, {"queue": "fifo"}),
        ),
        # Batch requests get some starts beside constant interactive load.
        (
            [(2, REPLY), (10, BATCH), (60, REPLY)],
            *(50, "large", 2, {"lower_class_share": 0.0}),
        ),
    ],
)
async def test_starts_are_fair(autojump_clock, waves, count, name, minimum, baseline):
    for changes, is_fair in (({}, True), (baseline, False)):
        harness = RouterHarness(engines=1, slots=2, refuses_early=False, **changes)
        started = await run_waves(harness, waves)
        got = Counter(each.workspace for each in started[:count])[name]
        assert (got >= minimum) is is_fair


async def test_weights_and_in_flight_limits(autojump_clock):
    workspaces = {
        "large": Workspace(weight=3.0),
        "small": Workspace(weight=1.0, max_in_flight=2),
    }
    harness = RouterHarness(
        engines=1, slots=8, workspaces=workspaces, refuses_early=False
    )
    small = {"workspace": "small", "priority": Priority.BATCH}
    async with trio.open_nursery() as nursery:
        nursery.start_soon(run_waves, harness, [(40, BATCH), (40, small)])
        await trio.sleep(1.5)
        assert Counter(harness.router._dispatcher._in_flight) == {
            "large": 6,
            "small": 2,
        }
        nursery.cancel_scope.cancel()


def make_waiter(workspace: str, cost: float) -> Waiter:
    request = Request(
        "r", workspace, RequestKind.CHAT, "pool", Priority.STANDARD, deadline=0.0
    )
    return Waiter(
        WorkEstimate(request, 1, 1, 1.0, [], 0.0), NO_UPSTREAMS, cost, 0.0, 0.0
    )


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
            queue.push(make_waiter(name, cost_of[name]))
    got = Counter(dict.fromkeys(weights, 0.0))
    for _ in range(100):
        head = next(queue.heads())
        queue.pop(head)
        name = head.work.request.workspace
        got[name] += head.cost / weights[name]
        spread = max(got.values()) - min(got.values())
        maximum = max(cost_of[each] / weights[each] for each in weights)
        assert spread <= maximum + 1e-9


async def find_refusal(harness: RouterHarness, request: Request) -> Failure | None:
    """Return the failure of the admission check, which must come at once."""
    before = trio.current_time()
    try:
        harness.router.check(request)
    except Failure as failure:
        assert trio.current_time() == before
        return failure
    return None


@pytest.mark.parametrize("backlog", [0, 12])
async def test_late_requests_are_rejected_with_retry_after(autojump_clock, backlog):
    harness = RouterHarness(engines=1, slots=4)
    async with trio.open_nursery() as nursery:
        for _ in range(4):
            await harness.answer(hold=1.0)
        # Four requests run for a second each; the backlog waits.
        for _ in range(4 + backlog if backlog else 0):
            nursery.start_soon(harness.answer, harness.request(), 1.0)
        await trio.sleep(0.01)
        wall = harness.timers.wall()
        soon = harness.request(deadline=wall + 2.5)
        reply = harness.request(**REPLY)
        late = harness.request(deadline=wall + 60)
        refusals = [await find_refusal(harness, each) for each in (soon, reply, late)]
    codes = [refusal and refusal.code for refusal in refusals]
    # The interactive request overtakes the backlog.
    expected = [Code.OVERLOADED if backlog else None, None, None]
    assert codes == expected
    if backlog:
        # 13 requests wait for 4 slots of a second each; retry when 2.5 s suffice.
        assert 0.5 < refusals[0].retry_after < 3.5
        assert refusals[0].execution is Execution.NOT_RUN


async def test_interactive_request_is_rejected_at_a_multiple_of_its_target(
    autojump_clock,
):
    harness = RouterHarness(engines=1, slots=4)
    await harness.answer(harness.request(**REPLY), hold=1.0)
    async with trio.open_nursery() as nursery:
        is_refused = []
        for _ in range(24):
            request = harness.request(**REPLY)
            is_refused.append(await find_refusal(harness, request) is not None)
            if not is_refused[-1]:
                nursery.start_soon(harness.answer, request, 1.0)
                await trio.sleep(0.001)
    # Five run for a second each; four times the target of 0.54 s lets ten wait.
    assert 14 <= is_refused.index(True) <= 16
    assert all(is_refused[16:])


async def test_full_queue_refuses_one_workspace(autojump_clock):
    harness = RouterHarness(engines=1, slots=1, limits=Limits(max_queue=3))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(harness.answer)
        await trio.sleep(0.01)
        for _ in range(2):
            nursery.start_soon(harness.answer)
        await trio.sleep(0.01)
        # This request is admitted, but not queued yet.
        assert await find_refusal(harness, harness.request()) is None
        refusal = await find_refusal(harness, harness.request())
        assert (refusal.code, refusal.execution) == (Code.QUEUE_FULL, Execution.NOT_RUN)
        assert refusal.retry_after > 0
        assert await find_refusal(harness, harness.request(workspace="other")) is None


async def test_request_is_never_rejected_with_free_slots(autojump_clock):
    harness = RouterHarness(engines=1, slots=2)
    for _ in range(10):
        await harness.answer(hold=30.0)
    assert (
        await find_refusal(harness, harness.request(**REPLY, max_tokens=16_000)) is None
    )


async def test_attempt_that_cannot_meet_its_deadline_fails_early(autojump_clock):
    harness = RouterHarness(engines=1, slots=1)
    # All answers have the full 50 tokens and take at least 1 s.
    for _ in range(10):
        await harness.answer(hold=1.0)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(harness.answer, harness.request(), 10.0)
        await trio.sleep(0.01)
        deadline = harness.timers.wall() + 4.0
        before = trio.current_time()
        with pytest.raises(Failure) as caught:
            await harness.answer(harness.request(deadline=deadline), attempt=2)
        assert caught.value.code is Code.DEADLINE_EXPIRED
        assert caught.value.execution is Execution.MAY_HAVE_RUN
        assert 2.9 < trio.current_time() - before < 3.2
        assert harness.router.status.waiting == 0


@pytest.mark.parametrize("policy", list(LIMITS))
def test_limits_follow_latency_within_their_bounds(policy):
    limit = AdaptiveLimit(LIMITS[policy], minimum=4, maximum=16, period=0.5)
    values = []
    for step in range(200):
        # Latency grows with the attempts in flight until step 150.
        in_flight = limit.value
        measured = 0.02 * max(1.0, in_flight / 8) if step < 150 else 0.02
        limit.update(LatencySample(measured, 0.02), 1.2, now=step * 0.6)
        values.append(limit.value)
    assert all(4 <= value <= 16 for value in values)
    if policy == "fixed":
        assert set(values) == {16}
    else:
        assert values[149] < 14
        assert values[-1] > values[149]


async def test_slow_steps_lower_an_upstreams_limit(autojump_clock):
    harness = RouterHarness(engines=1, slots=16)
    placement = await harness.place()
    with placement:
        for step in range(200):
            await trio.sleep(0.02 if step < 50 else 0.1)
            placement.record_tokens(1)
    assert harness.router.status.upstreams[0].limit < 8


async def test_late_timers_lower_the_hosts_limit(autojump_clock):
    harness = RouterHarness(
        engines=1, slots=16, max_host_in_flight=4, min_host_in_flight=1
    )
    async with trio.open_nursery() as nursery:
        await nursery.start(harness.router.run)
        await trio.sleep(5)
        assert harness.router.status.host_limit == 4
        for _ in range(30):
            harness.timers.pause()
            await trio.sleep(0.4)
            harness.timers.resume()
            await trio.sleep(0.1)
        assert harness.router.status.host_limit < 2
        await harness.place()
        with pytest.raises(trio.TooSlowError):
            await harness.place()
        nursery.cancel_scope.cancel()
