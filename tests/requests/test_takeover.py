"""Requests go on when the host that owns them, or its second, ends."""

import trio

from pepperstep.fakes import answer_of
from tests.requests.entry_hosts import Hosts


async def test_answer_is_whole(autojump_clock):
    async with Hosts.start() as hosts:
        request = hosts.request()
        await hosts.all["entry-0"].service.submit(request)
        tokens, outcome = await hosts.read("entry-0", request.id)
    assert tokens == answer_of(request)
    assert outcome.is_answered


async def test_caller_goes_on_at_another_host_after_owner_died(autojump_clock):
    async with Hosts.start() as hosts:
        request = hosts.request()
        await hosts.all["entry-0"].service.submit(request)
        before, _ = await hosts.read("entry-0", request.id, limit=10)
        hosts.crash("entry-0")
        hosts.declare_gone("entry-0")
        after, outcome = await hosts.read("entry-1", request.id, len(before))
    assert before + after == answer_of(request)
    assert outcome.is_answered


async def test_stream_goes_on_after_second_died(autojump_clock):
    async with Hosts.start() as hosts:
        request = hosts.request()
        await hosts.all["entry-0"].service.submit(request)
        before, _ = await hosts.read("entry-0", request.id, limit=10)
        for name in ("entry-1", "entry-2"):
            if hosts.all[name].service._held.find(request.id):
                hosts.crash(name)
                hosts.declare_gone(name)
        after, outcome = await hosts.read("entry-0", request.id, len(before))
    assert before + after == answer_of(request)
    assert outcome.is_answered


async def test_upstream_death_is_not_seen_by_the_caller(autojump_clock):
    async with Hosts.start() as hosts:
        request = hosts.request()
        run = await hosts.all["entry-0"].service.submit(request)
        before, _ = await hosts.read("entry-0", request.id, limit=10)
        hosts.upstreams.all[run.upstream].die()
        after, outcome = await hosts.read("entry-0", request.id, len(before))
    assert before + after == answer_of(request)
    assert outcome.is_answered


async def test_paused_owner_gives_no_second_answer(autojump_clock):
    async with Hosts.start() as hosts:
        request = hosts.request()
        run = await hosts.all["entry-0"].service.submit(request)
        before, _ = await hosts.read("entry-0", request.id, limit=10)
        hosts.all["entry-0"].timers.pause()
        released = run.released
        hosts.declare_gone("entry-0")
        after, _ = await hosts.read("entry-1", request.id, len(before))
        hosts.all["entry-0"].timers.resume()
        await trio.sleep(2)
        assert run.is_lost
        # The acknowledgement of one batch may still have been on its way.
        assert run.released <= released + 5
    assert before + after == answer_of(request)
