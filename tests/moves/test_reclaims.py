"""Answers stay complete when the hosts of their upstreams are reclaimed.

Requests must leave before the announced end, with little recomputation, even if notices
are lost or duplicated or a host fails during a move.
"""

import pytest
import trio

from pepperstep.entities import Priority
from pepperstep.observability.recorder import RecomputeCause
from pepperstep.requests.mover import MoveSettings
from tests.moves.moving_hosts import PROMPT, MovingHosts


def busiest(hosts):
    """Return the engine with the most running requests."""
    return max(hosts.upstreams.engines, key=lambda engine: engine.load.running)


def busiest_engines(hosts, is_zone):
    """Return the name of the busiest engine, or the names of its zone's engines."""
    chosen = busiest(hosts)
    return [
        engine.name
        for engine in hosts.upstreams.engines
        if engine is chosen or is_zone and engine.upstream.zone == chosen.upstream.zone
    ]


async def reclaim_during_streams(hosts, is_zone, seconds, count=9):
    """Reclaim engines during long streams and check all answers.

    Return the recomputed tokens by cause.
    """
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
    hosts.reclaim(busiest_engines(hosts, is_zone), seconds)
    hosts.assert_complete(requests, await hosts.read_all(requests))
    return hosts.recorder.recomputed


async def run_reclaim(policy, seconds=2.0, is_zone=True, export_rate=1e9):
    settings = MoveSettings(policy=policy, bytes_per_second=export_rate)
    async with MovingHosts.start(settings=settings) as hosts:
        for engine in hosts.upstreams.engines:
            engine.export_rate = export_rate
        return await reclaim_during_streams(hosts, is_zone, seconds)


@pytest.mark.parametrize("is_zone", [False, True])
async def test_planned_moves_recompute_a_fifth_of_the_baseline(autojump_clock, is_zone):
    planned = await run_reclaim("planned", is_zone=is_zone)
    always = await run_reclaim("always_recompute", is_zone=is_zone)
    finished = await run_reclaim("always_finish", is_zone=is_zone)
    assert always[RecomputeCause.RECLAIM] > 500
    assert finished[RecomputeCause.RECLAIM] > 500
    assert sum(planned.values()) * 5 <= sum(always.values())


@pytest.mark.parametrize(
    ("seconds", "export_rate"), [(0.2, 1e9), (2.0, 1e6), (1.0, 1e8)]
)
async def test_short_notice_and_slow_export_lose_nothing(
    autojump_clock, seconds, export_rate
):
    planned = await run_reclaim("planned", seconds, export_rate=export_rate)
    always = await run_reclaim("always_recompute", seconds, export_rate=export_rate)
    assert sum(planned.values()) <= sum(always.values())


async def test_leaving_upstreams_get_no_new_requests(autojump_clock):
    async with MovingHosts.start() as hosts:
        hosts.reclaim(["engine-0", "engine-1"], 30.0)
        await trio.sleep(1)
        before = [sum(hosts.engine(f"engine-{n}").attempts.values()) for n in (0, 1)]
        requests = {}
        for number in range(9):
            request = hosts.request(f"entry-{number % 3}", number)
            requests[request.id] = request
            await hosts.submit(request, f"entry-{number % 3}")
        hosts.assert_complete(requests, await hosts.read_all(requests))
        after = [sum(hosts.engine(f"engine-{n}").attempts.values()) for n in (0, 1)]
    assert after == before


async def test_notice_reaches_every_entry_host_despite_message_loss(autojump_clock):
    async with MovingHosts.start(count=6) as hosts:
        hosts.network.loss = 0.4
        hosts.network.duplication = 0.3
        notices = hosts.reclaim(["engine-2"], 30.0)
        # The first host to receive the notice crashes before all others have it.
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


async def test_duplicate_notices_move_each_request_once(autojump_clock):
    async with MovingHosts.start() as hosts:
        request = hosts.request(max_tokens=300, prompt=PROMPT)
        run = await hosts.submit(request)
        await trio.sleep(1)
        names = [run.upstream]
        for _ in range(3):
            for host in hosts.all:
                hosts.reclaim(names, 4.0, host)
            await trio.sleep(0.1)
        hosts.assert_complete(
            {request.id: request}, await hosts.read_all({request.id: request})
        )
    assert run.attempt == 2
    assert not hosts.recorder.recomputed


async def test_target_crash_during_export_costs_one_recomputation(
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
        hosts.assert_complete(
            {request.id: request}, await hosts.read_all({request.id: request})
        )
    assert run.attempt == 2
    assert list(hosts.recorder.recomputed) == [RecomputeCause.RECLAIM]


async def test_entry_host_crash_during_moves_loses_no_stream(autojump_clock):
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
        hosts.reclaim(busiest_engines(hosts, True), 4.0)
        await trio.sleep(0.4)
        hosts.crash("entry-0")
        hosts.declare_gone("entry-0")
        hosts.assert_complete(requests, await hosts.read_all(requests))


@pytest.mark.parametrize(
    ("fault", "is_answered"), [("none", True), ("no_cancel", False)]
)
async def test_non_repeatable_request_moves_only_if_old_attempt_is_confirmed_ended(
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
