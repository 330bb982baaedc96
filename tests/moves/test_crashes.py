"""A request that crashes upstreams is convicted at its second; all else goes on."""

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
    """Submit streams at all hosts and let them begin."""
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
    """Send the poison and return its outcome, and how long that took."""
    request = hosts.request(host, number, prompt=POISON, **changes)
    started_at = trio.current_time()
    try:
        await hosts.submit(request, host)
    except Failure as failure:
        return failure, trio.current_time() - started_at
    _, outcome = await hosts.read(host, request.id)
    return outcome, trio.current_time() - started_at


async def check_bystanders(hosts, requests):
    hosts.check_whole(requests, await hosts.read_all(requests))


@pytest.mark.parametrize(
    ("count", "engines", "bystanders"), [(1, 6, 6), (2, 3, 8), (3, 6, 12), (5, 4, 10)]
)
async def test_poison_is_convicted_and_bystanders_are_whole(
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
        await check_bystanders(hosts, requests)
        assert len(hosts.dead) == 2


async def test_without_a_guard_poison_ends_every_engine(autojump_clock):
    async with MovingHosts.start(is_guarded=False) as hosts:
        hosts.poison(POISON)
        request = hosts.request(prompt=POISON, deadline=hosts.wall() + 20)
        await hosts.submit(request)
        await hosts.read("entry-0", request.id)
        assert len(hosts.dead) == 6


async def test_poison_sent_again_is_refused_at_once_everywhere(autojump_clock):
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
        assert len(hosts.dead) == 2


async def test_host_that_starts_later_knows_the_verdict(autojump_clock):
    async with MovingHosts.start() as hosts:
        hosts.poison(POISON)
        await send_poison(hosts, "entry-0")
        hosts.lose_host("entry-2")
        await trio.sleep(1)
        await hosts.start_host("entry-2")
        await trio.sleep(1)
        with pytest.raises(Failure, match=Code.CRASHING_REQUEST):
            request = hosts.request("entry-2", 5, prompt=POISON)
            hosts.recoveries["entry-2"].guard.check(request)


@pytest.mark.parametrize("gap", [0.0, 0.0007, 0.01, 0.03, 0.3])
async def test_poison_sent_at_several_hosts_at_once_ends_two(autojump_clock, gap):
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
        await check_bystanders(hosts, requests)
        assert len(hosts.dead) == 2


async def test_impatient_caller_of_poison_ends_two_in_all(autojump_clock):
    """The caller leaves after each loss and sends it again at the next host."""
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
        assert len(hosts.dead) == 2


@pytest.mark.parametrize("after", [0.015, 0.021, 0.03, 0.05, 0.15])
@pytest.mark.parametrize("is_owner_lost", [False, True])
async def test_poison_ends_two_though_its_owner_or_deciding_host_ends(
    autojump_clock, after, is_owner_lost
):
    async with MovingHosts.start(count=4) as hosts:
        requests = await start_bystanders(hosts, 6)
        hosts.poison(POISON)
        poison = hosts.request("entry-0", 900, prompt=POISON)
        home = rank_hosts(hosts.directory.entry_hosts(), content_hash(poison))[0].name
        others = [name for name in hosts.all if name != home]
        sender = home if is_owner_lost else others[0]
        poison = hosts.request(sender, 900, prompt=POISON)
        await hosts.submit(poison, sender)
        await trio.sleep(after)
        hosts.crash(home)
        again = hosts.request(others[1], 901, prompt=POISON, seed=5)
        await hosts.submit(again, others[1])
        await trio.sleep(0.4)
        hosts.declare_gone(home)
        for request in (poison, again):
            _, outcome = await hosts.read(others[2], request.id)
            assert outcome.code is Code.CRASHING_REQUEST
        await check_bystanders(hosts, requests)
        assert len(hosts.dead) == 2


async def test_two_poisons_at_once_end_two_upstreams_each(autojump_clock):
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
        await check_bystanders(hosts, requests)
        assert len(hosts.dead) <= 4


class LateEngine(FakeEngine):
    """Engine that poison ends after it has run for some tokens."""

    async def _step(self, attempt) -> None:
        await super()._step(attempt)
        done = attempt.position - len(attempt.order.prefix)
        if attempt.order.prompt == POISON and done >= 100:
            self.die()


@pytest.mark.parametrize(("engines", "bystanders"), [(3, 9), (6, 9)])
async def test_poison_that_acts_late_ends_two(autojump_clock, engines, bystanders):
    async with MovingHosts.start(engines=0) as hosts:
        for number in range(engines):
            hosts.upstreams.add(LateEngine(f"late-{number}", ZONES[number % 3], KEY))
        await trio.sleep(1)
        requests = await start_bystanders(hosts, bystanders, max_tokens=300)
        outcome, _ = await send_poison(hosts, "entry-0", max_tokens=400)
        assert outcome.code is Code.CRASHING_REQUEST
        await check_bystanders(hosts, requests)
        assert len(hosts.dead) == 2


async def test_bystanders_that_lost_the_same_upstream_run_apart(autojump_clock):
    async with MovingHosts.start(engines=0) as hosts:
        hosts.upstreams.add(LateEngine("first", ZONES[0], KEY))
        requests = await start_bystanders(hosts, 6, max_tokens=500)
        await trio.sleep(2)
        poison = hosts.request(number=900, prompt=POISON, max_tokens=400)
        await hosts.submit(poison)
        await trio.sleep(0.1)
        hosts.upstreams.add(LateEngine("second", ZONES[1], KEY))
        _, outcome = await hosts.read("entry-0", poison.id)
        hosts.upstreams.add(LateEngine("third", ZONES[2], KEY))
        assert outcome.code is Code.CRASHING_REQUEST
        await check_bystanders(hosts, requests)
        assert len(hosts.dead) == 2


@pytest.mark.parametrize("zones", [ZONES[:1], ZONES[:2]])
@pytest.mark.parametrize("spread", [0.0, 0.05])
async def test_lost_zones_convict_nobody(autojump_clock, zones, spread):
    async with MovingHosts.start(engines=9) as hosts:
        requests = await start_bystanders(hosts, 12)
        for zone in zones:
            for upstream in hosts.upstreams.all.values():
                if upstream.upstream.zone == zone:
                    hosts.end(upstream.upstream.name)
                    await trio.sleep(spread)
            await trio.sleep(0.3)
        await check_bystanders(hosts, requests)


@pytest.mark.parametrize("count", [1, 4])
async def test_reclaimed_upstreams_convict_nobody(autojump_clock, count):
    async with MovingHosts.start() as hosts:
        requests = await start_bystanders(hosts, 12)
        for number in range(count):
            hosts.reclaim([f"engine-{number}"], 0.01)
            await trio.sleep(0.3)
        await check_bystanders(hosts, requests)


async def test_broken_streams_of_live_upstreams_convict_nobody(autojump_clock):
    async with MovingHosts.start() as hosts:
        for engine in hosts.upstreams.engines[:3]:
            engine.cut_after = 20
        requests = await start_bystanders(hosts, 6)
        await check_bystanders(hosts, requests)


async def test_suspects_go_on_one_after_another_on_the_last_upstream(autojump_clock):
    async with MovingHosts.start(engines=2) as hosts:
        requests = await start_bystanders(hosts, 10)
        hosts.engine("engine-0").die()
        await check_bystanders(hosts, requests)


async def test_guard_that_nobody_answers_lets_bystanders_run(autojump_clock):
    async with MovingHosts.start(count=4) as hosts:
        requests = await start_bystanders(hosts, 8)
        # All hosts but the owners' seconds are cut off from the messages of guards.
        for recovery in hosts.recoveries.values():
            guard = recovery.guard
            assert isinstance(guard, CrashGuard)
            guard._call = unreachable
        hosts.engine("engine-0").die()
        requests |= await start_bystanders(hosts, 4)
        await check_bystanders(hosts, requests)


async def unreachable(host, message, *limits):
    await trio.sleep(0.25)
    raise Failure(Code.PEER_UNREACHABLE, f"{host} doesn't answer.")


@pytest.mark.parametrize("fault", ["silent", "unreachable"])
async def test_stream_leaves_a_silent_upstream(autojump_clock, monkeypatch, fault):
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
        await check_bystanders(hosts, requests)
        assert trio.current_time() < (25 if fault == "silent" else 12)
