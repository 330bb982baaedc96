"""A crashing request is blocked after two upstreams; other requests complete.

Without the guard, retries of such a request would crash one upstream after another.
Other requests on these upstreams must neither be blocked nor be lost.
"""

import pytest
import trio

from pepperstep.errors import Code, Execution, Failure
from pepperstep.fakes import FakeEngine
from pepperstep.requests.crash_guard import CrashGuard
from pepperstep.requests.journal import rank_hosts
from pepperstep.requests.suspects import content_hash
from tests.moves.moving_hosts import MovingHosts
from tests.requests.entry_hosts import KEY, ZONES

POISON = "divide the hall by zero"


async def start_bystanders(hosts, count, **changes):
    """Submit ordinary requests at all hosts and let them start."""
    names = list(hosts.all)
    requests = {}
    for number in range(count):
        host = names[number % len(names)]
        request = hosts.request(host, number, **({"max_tokens": 150} | changes))
        requests[request.id] = request
        await hosts.submit(request, host)
    await trio.sleep(0.5)
    return requests


async def send_poison(hosts, host, number=900, **changes):
    """Send the crashing request and return its outcome and the time it took."""
    request = hosts.request(host, number, prompt=POISON, **changes)
    started_at = trio.current_time()
    try:
        await hosts.submit(request, host)
    except Failure as failure:
        return failure, trio.current_time() - started_at
    _, outcome = await hosts.read(host, request.id)
    return outcome, trio.current_time() - started_at


async def assert_bystanders_complete(hosts, requests):
    hosts.assert_complete(requests, await hosts.read_all(requests))


@pytest.mark.parametrize(
    ("count", "engines", "bystanders"), [(1, 6, 6), (2, 3, 8), (3, 6, 12), (5, 4, 10)]
)
async def test_poison_is_blocked_and_bystanders_are_answered(
    autojump_clock, count, engines, bystanders
):
    async with MovingHosts.start(count=count, engines=engines) as hosts:
        requests = await start_bystanders(hosts, bystanders)
        hosts.poison(POISON)
        outcome, seconds = await send_poison(hosts, "entry-0")
        assert outcome.code is Code.CRASHING_REQUEST
        assert outcome.execution is Execution.MAY_HAVE_RUN
        assert outcome.retry_after > 0
        assert seconds < 5
        await assert_bystanders_complete(hosts, requests)
        assert len(hosts.crashed_engines) == 2


async def test_poison_crashes_every_engine_without_guard(autojump_clock):
    async with MovingHosts.start(is_guarded=False) as hosts:
        hosts.poison(POISON)
        request = hosts.request(prompt=POISON, deadline=hosts.wall() + 20)
        await hosts.submit(request)
        await hosts.read("entry-0", request.id)
        assert len(hosts.crashed_engines) == 6


async def test_retried_poison_is_refused_at_every_host(autojump_clock):
    async with MovingHosts.start(count=5) as hosts:
        hosts.network.loss = 0.2
        hosts.poison(POISON)
        await send_poison(hosts, "entry-0")
        await trio.sleep(2)
        for number, host in enumerate(hosts.all):
            outcome, seconds = await send_poison(
                hosts, host, number, seed=number, idempotency_key=f"again-{number}"
            )
            assert outcome.code is Code.CRASHING_REQUEST
            assert outcome.execution is Execution.NOT_RUN
            assert outcome.retry_after > 0
            assert seconds < 0.1
        assert len(hosts.crashed_engines) == 2


async def test_host_that_starts_later_has_the_verdict(autojump_clock):
    async with MovingHosts.start() as hosts:
        hosts.poison(POISON)
        await send_poison(hosts, "entry-0")
        hosts.fail_host("entry-2")
        await trio.sleep(1)
        await hosts.start_host("entry-2")
        await trio.sleep(1)
        with pytest.raises(Failure, match=Code.CRASHING_REQUEST):
            request = hosts.request("entry-2", 5, prompt=POISON)
            hosts.recoveries["entry-2"].guard.check(request)


@pytest.mark.parametrize("gap", [0.0, 0.0007, 0.01, 0.03, 0.3])
async def test_concurrent_poison_crashes_two_engines(autojump_clock, gap):
    async with MovingHosts.start(count=5) as hosts:
        requests = await start_bystanders(hosts, 6)
        hosts.poison(POISON)
        outcomes = []

        async def send(number: int, host: str) -> None:
            await trio.sleep(number * gap)
            sent = await send_poison(hosts, host, 900 + number, seed=number)
            outcomes.append(sent[0].code)

        async with trio.open_nursery() as nursery:
            for number, host in enumerate(hosts.all):
                nursery.start_soon(send, number, host)
        assert set(outcomes) == {Code.CRASHING_REQUEST}
        await assert_bystanders_complete(hosts, requests)
        assert len(hosts.crashed_engines) == 2


async def test_poison_retried_at_other_hosts_crashes_two_engines(autojump_clock):
    """The caller cancels after each crash and retries at the next host."""
    async with MovingHosts.start(count=4) as hosts:
        hosts.poison(POISON)
        for number, host in enumerate(hosts.all):
            request = hosts.request(host, number, prompt=POISON, seed=number)
            try:
                run = await hosts.submit(request, host)
            except Failure:
                continue
            await trio.sleep(0.05)
            run.scope.cancel()
        await trio.sleep(1)
        assert len(hosts.crashed_engines) == 2


@pytest.mark.parametrize("delay", [0.015, 0.021, 0.03, 0.05, 0.15])
@pytest.mark.parametrize("is_owner_lost", [False, True])
async def test_poison_crashes_two_engines_if_owner_or_deciding_host_fails(
    autojump_clock, delay, is_owner_lost
):
    async with MovingHosts.start(count=4) as hosts:
        requests = await start_bystanders(hosts, 6)
        hosts.poison(POISON)
        poison = hosts.request("entry-0", 900, prompt=POISON)
        deciding_host = rank_hosts(hosts.directory.entry_hosts(), content_hash(poison))[
            0
        ].name
        others = [name for name in hosts.all if name != deciding_host]
        sender = deciding_host if is_owner_lost else others[0]
        poison = hosts.request(sender, 900, prompt=POISON)
        await hosts.submit(poison, sender)
        await trio.sleep(delay)
        hosts.crash(deciding_host)
        retry = hosts.request(others[1], 901, prompt=POISON, seed=5)
        await hosts.submit(retry, others[1])
        await trio.sleep(0.4)
        hosts.declare_gone(deciding_host)
        for request in (poison, retry):
            _, outcome = await hosts.read(others[2], request.id)
            assert outcome.code is Code.CRASHING_REQUEST
        await assert_bystanders_complete(hosts, requests)
        assert len(hosts.crashed_engines) == 2


async def test_two_poisons_crash_two_engines_each(autojump_clock):
    async with MovingHosts.start(engines=9) as hosts:
        requests = await start_bystanders(hosts, 9)
        hosts.poison("poison")
        async with trio.open_nursery() as nursery:
            for number in range(2):
                request = hosts.request(
                    f"entry-{number}", 900 + number, prompt=f"poison {number}"
                )
                await hosts.submit(request, f"entry-{number}")
                nursery.start_soon(hosts.read, f"entry-{number}", request.id)
        await assert_bystanders_complete(hosts, requests)
        assert len(hosts.crashed_engines) <= 4


class DelayedCrashEngine(FakeEngine):
    """Engine that the poison crashes only after 100 tokens."""

    async def _step(self, attempt) -> None:
        await super()._step(attempt)
        done = attempt.position - len(attempt.order.prefix)
        if attempt.order.prompt == POISON and done >= 100:
            self.die()


@pytest.mark.parametrize(("engines", "bystanders"), [(3, 9), (6, 9)])
async def test_delayed_poison_crashes_two_engines(autojump_clock, engines, bystanders):
    async with MovingHosts.start(engines=0) as hosts:
        for number in range(engines):
            hosts.upstreams.add(
                DelayedCrashEngine(f"late-{number}", ZONES[number % 3], KEY)
            )
        await trio.sleep(1)
        requests = await start_bystanders(hosts, bystanders, max_tokens=300)
        outcome, _ = await send_poison(hosts, "entry-0", max_tokens=400)
        assert outcome.code is Code.CRASHING_REQUEST
        await assert_bystanders_complete(hosts, requests)
        assert len(hosts.crashed_engines) == 2


async def test_bystanders_of_a_crash_run_isolated(autojump_clock):
    async with MovingHosts.start(engines=0) as hosts:
        hosts.upstreams.add(DelayedCrashEngine("first", ZONES[0], KEY))
        requests = await start_bystanders(hosts, 6, max_tokens=500)
        await trio.sleep(2)
        poison = hosts.request(number=900, prompt=POISON, max_tokens=400)
        await hosts.submit(poison)
        await trio.sleep(0.1)
        hosts.upstreams.add(DelayedCrashEngine("second", ZONES[1], KEY))
        _, outcome = await hosts.read("entry-0", poison.id)
        hosts.upstreams.add(DelayedCrashEngine("third", ZONES[2], KEY))
        assert outcome.code is Code.CRASHING_REQUEST
        await assert_bystanders_complete(hosts, requests)
        assert len(hosts.crashed_engines) == 2


@pytest.mark.parametrize("zones", [ZONES[:1], ZONES[:2]])
@pytest.mark.parametrize("interval", [0.0, 0.05])
async def test_zone_failures_block_no_content(autojump_clock, zones, interval):
    async with MovingHosts.start(engines=9) as hosts:
        requests = await start_bystanders(hosts, 12)
        for zone in zones:
            for upstream in hosts.upstreams.all.values():
                if upstream.upstream.zone == zone:
                    hosts.crash_upstream(upstream.upstream.name)
                    await trio.sleep(interval)
            await trio.sleep(0.3)
        await assert_bystanders_complete(hosts, requests)


@pytest.mark.parametrize("count", [1, 4])
async def test_reclaims_block_no_content(autojump_clock, count):
    async with MovingHosts.start() as hosts:
        requests = await start_bystanders(hosts, 12)
        for number in range(count):
            hosts.reclaim([f"engine-{number}"], 0.01)
            await trio.sleep(0.3)
        await assert_bystanders_complete(hosts, requests)


async def test_broken_streams_of_live_upstreams_block_no_content(autojump_clock):
    async with MovingHosts.start() as hosts:
        for engine in hosts.upstreams.engines[:3]:
            engine.cut_after = 20
        requests = await start_bystanders(hosts, 6)
        await assert_bystanders_complete(hosts, requests)


async def test_suspects_run_one_by_one_on_the_last_upstream(autojump_clock):
    async with MovingHosts.start(engines=2) as hosts:
        requests = await start_bystanders(hosts, 10)
        hosts.engine("engine-0").die()
        await assert_bystanders_complete(hosts, requests)


async def test_bystanders_run_if_no_deciding_host_answers(autojump_clock):
    async with MovingHosts.start(count=4) as hosts:
        requests = await start_bystanders(hosts, 8)
        # Only the messages of guards fail; requests are still replicated.
        for recovery in hosts.recoveries.values():
            guard = recovery.guard
            assert isinstance(guard, CrashGuard)
            guard._call = raise_unreachable
        hosts.engine("engine-0").die()
        requests |= await start_bystanders(hosts, 4)
        await assert_bystanders_complete(hosts, requests)


async def raise_unreachable(host, message, *limits):
    await trio.sleep(0.25)
    raise Failure(Code.PEER_UNREACHABLE, f"{host} doesn't answer.")


@pytest.mark.parametrize("fault", ["silent", "unreachable"])
async def test_stream_moves_off_a_silent_upstream(autojump_clock, monkeypatch, fault):
    async with MovingHosts.start() as hosts:
        requests = await start_bystanders(hosts, 6, max_tokens=300)
        engine = hosts.engine("engine-0")
        engine.is_silent = True
        if fault == "unreachable":
            read_state = hosts.upstreams.read_state

            async def read(upstream):
                if upstream.name == engine.name:
                    await trio.sleep_forever()
                return await read_state(upstream)

            monkeypatch.setattr(hosts.upstreams, "read_state", read)
        await assert_bystanders_complete(hosts, requests)
        assert trio.current_time() < (25 if fault == "silent" else 12)
