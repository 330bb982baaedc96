"""Answers go on whole when the hosts under them are announced to end."""

import pytest
import trio

from pepperstep.entities import Priority
from pepperstep.observability.recorder import RecomputeCause
from pepperstep.requests.mover import MoveSettings
from tests.moves.moving_hosts import PROMPT, MovingHosts


def busiest(hosts):
    """Return the engine with the most requests."""
    return max(hosts.upstreams.engines, key=lambda engine: engine.load.running)


def pick(hosts, is_zone):
    """Return the names of the busiest engine, or of its zone's engines."""
    chosen = busiest(hosts)
    return [
        engine.name
        for engine in hosts.upstreams.engines
        if engine is chosen or is_zone and engine.upstream.zone == chosen.upstream.zone
    ]


async def stream_through(hosts, is_zone, seconds, count=9):
    """Reclaim engines in the middle of long streams; check all answers."""
    requests = {}
    for number in range(count):
        request = hosts.request(
            f"entry-{number % 3}",
            number,
            prompt=PROMPT.format(number=number),
            max_tokens=240,
            priority=Priority.BATCH,
        )
        requests[request.id] = request
        await hosts.submit(request, f"entry-{number % 3}")
    await trio.sleep(1.5)
    hosts.reclaim(pick(hosts, is_zone), seconds)
    hosts.check_whole(requests, await hosts.read_all(requests))
    return hosts.recorder.recomputed


async def run_wave(policy, seconds=2.0, is_zone=True, export_rate=1e9):
    settings = MoveSettings(policy=policy, bytes_per_second=export_rate)
    async with MovingHosts.start(settings=settings) as hosts:
        for engine in hosts.upstreams.engines:
            engine.export_rate = export_rate
        return await stream_through(hosts, is_zone, seconds)


@pytest.mark.parametrize("is_zone", [False, True])
async def test_planned_moves_compute_a_fifth_of_the_baseline(autojump_clock, is_zone):
    planned = await run_wave("planned", is_zone=is_zone)
    always = await run_wave("always_recompute", is_zone=is_zone)
    finished = await run_wave("always_finish", is_zone=is_zone)
    assert always[RecomputeCause.RECLAIM] > 500
    assert finished[RecomputeCause.RECLAIM] > 500
    assert sum(planned.values()) * 5 <= sum(always.values())


@pytest.mark.parametrize(
    ("seconds", "export_rate"), [(0.2, 1e9), (2.0, 1e6), (1.0, 1e8)]
)
async def test_short_notice_and_slow_export_lose_nothing(
    autojump_clock, seconds, export_rate
):
    planned = await run_wave("planned", seconds, export_rate=export_rate)
    always = await run_wave("always_recompute", seconds, export_rate=export_rate)
    assert sum(planned.values()) <= sum(always.values())


async def test_leaving_upstreams_get_nothing_new(autojump_clock):
    async with MovingHosts.start() as hosts:
        hosts.reclaim(["engine-0", "engine-1"], 30.0)
        await trio.sleep(1)
        before = [sum(hosts.engine(f"engine-{n}").attempts.values()) for n in (0, 1)]
        requests = {}
        for number in range(9):
            request = hosts.request(f"entry-{number % 3}", number)
            requests[request.id] = request
            await hosts.submit(request, f"entry-{number % 3}")
        hosts.check_whole(requests, await hosts.read_all(requests))
        after = [sum(hosts.engine(f"engine-{n}").attempts.values()) for n in (0, 1)]
    assert after == before


async def test_every_entry_host_learns_of_a_notice_through_losses(autojump_clock):
    async with MovingHosts.start(count=6) as hosts:
        hosts.network.loss = 0.4
        hosts.network.duplication = 0.3
        notices = hosts.reclaim(["engine-2"], 30.0)
        # The one who got it first ends at once after telling few.
        await trio.sleep(0.1)
        hosts.crash("entry-0")
        hosts.declare_gone("entry-0")
        await trio.sleep(2)
        engine = hosts.engine("engine-2").upstream
        known = [
            name
            for name in hosts.all
            if hosts.recoveries[name].moves.is_leaving(engine)
        ]
        hosts.recoveries["entry-1"].moves.add_notices(notices)
    assert known == list(hosts.all)


async def test_doubled_notices_move_each_request_once(autojump_clock):
    async with MovingHosts.start() as hosts:
        request = hosts.request(max_tokens=300, prompt=PROMPT)
        run = await hosts.submit(request)
        await trio.sleep(1)
        names = [run.upstream]
        for _ in range(3):
            for host in hosts.all:
                hosts.reclaim(names, 4.0, host)
            await trio.sleep(0.1)
        hosts.check_whole(
            {request.id: request}, await hosts.read_all({request.id: request})
        )
    assert run.attempt == 2
    assert not hosts.recorder.recomputed


async def test_target_that_ends_during_the_export_costs_one_recomputation(
    autojump_clock,
):
    settings = MoveSettings(bytes_per_second=1e8)
    async with MovingHosts.start(settings=settings) as hosts:
        request = hosts.request(max_tokens=300, prompt=PROMPT, priority=Priority.BATCH)
        run = await hosts.submit(request)
        await trio.sleep(1)
        hosts.engine(run.upstream).export_rate = 1e8
        hosts.reclaim([run.upstream], 4.0)
        await trio.sleep(0.3)
        move = hosts.recoveries["entry-0"].moves.last_move(request.id)
        assert move.kind == "export"
        hosts.engine(move.target).die()
        hosts.check_whole(
            {request.id: request}, await hosts.read_all({request.id: request})
        )
    assert run.attempt == 2
    assert list(hosts.recorder.recomputed) == [RecomputeCause.RECLAIM]


async def test_entry_host_that_ends_amid_moves_loses_no_stream(autojump_clock):
    settings = MoveSettings(bytes_per_second=1e8)
    async with MovingHosts.start(settings=settings) as hosts:
        requests = {}
        for number in range(6):
            request = hosts.request(
                "entry-0", number, max_tokens=300, prompt=PROMPT.format(number=number)
            )
            requests[request.id] = request
            await hosts.submit(request)
        for engine in hosts.upstreams.engines:
            engine.export_rate = 1e8
        await trio.sleep(2)
        hosts.reclaim(pick(hosts, True), 4.0)
        await trio.sleep(0.4)
        hosts.crash("entry-0")
        hosts.declare_gone("entry-0")
        hosts.check_whole(requests, await hosts.read_all(requests))


@pytest.mark.parametrize(
    ("fault", "is_answered"), [("none", True), ("no_cancel", False)]
)
async def test_not_repeatable_goes_on_only_if_its_old_attempt_surely_ended(
    autojump_clock, monkeypatch, fault, is_answered
):
    settings = MoveSettings(policy="always_recompute")
    async with MovingHosts.start(settings=settings) as hosts:
        request = hosts.request(max_tokens=300, is_repeatable=False)
        run = await hosts.submit(request)
        await trio.sleep(1)
        if fault == "no_cancel":

            async def cancel(upstream, attempt_id):
                return False

            monkeypatch.setattr(hosts.upstreams, "cancel", cancel)
        hosts.reclaim([run.upstream], 3.0)
        _, outcome = await hosts.read("entry-0", request.id)
    assert outcome.is_answered == is_answered
    assert outcome.code == (None if is_answered else "may_have_run")
