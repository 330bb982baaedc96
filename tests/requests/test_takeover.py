"""Requests go on when the host that owns them, or its second, fails."""

import pytest
import trio

from pepperstep.errors import Code, Execution, Failure
from pepperstep.fakes import answer_of
from pepperstep.requests import Run
from tests.requests.entry_hosts import Hosts

OWNER = "entry-0"


async def lose_owner(hosts, second):
    hosts.lose_host(OWNER)


async def lose_owner_then_new_owner(hosts, second):
    hosts.lose_host(OWNER)
    await trio.sleep(1)
    hosts.lose_host(hosts.owner_of(f"{OWNER}.0"))


async def restart_owner(hosts, second):
    hosts.lose_host(OWNER)
    await hosts.start_host(OWNER)


async def lose_second(hosts, second):
    hosts.lose_host(second)


async def restart_second_unnoticed(hosts, second):
    hosts.crash(second)
    await hosts.start_host(second)


async def lose_second_then_owner(hosts, second):
    hosts.lose_host(second)
    await trio.sleep(1)
    hosts.lose_host(OWNER)


async def second_leaves(hosts, second):
    hosts.directory.leaving.add(second)
    await trio.sleep(1)
    hosts.lose_host(second)


async def owner_leaves(hosts, second):
    hosts.directory.leaving.add(OWNER)
    await hosts.all[OWNER].service.hand_over()
    hosts.lose_host(OWNER)


async def owner_is_cut_off(hosts, second):
    hosts.network.isolate(OWNER)
    hosts.log.cut_hosts.add(OWNER)
    hosts.declare_gone(OWNER)


async def owner_pauses(hosts, second):
    timers = hosts.all[OWNER].timers
    timers.pause()
    hosts.declare_gone(OWNER)
    await trio.sleep(3)
    timers.resume()


async def owner_is_only_suspected(hosts, second):
    hosts.declare_gone(OWNER)
    await trio.sleep(1)


async def cut_to_second(hosts, second):
    hosts.network.cut(OWNER, second)


async def cut_to_owner(hosts, second):
    hosts.network.cut(second, OWNER)


async def bad_network(hosts, second):
    hosts.network.loss = 0.1
    hosts.network.duplication = 0.3
    hosts.network.max_delay = 0.15


async def lose_owner_without_quorum(hosts, second):
    hosts.log.has_quorum = False
    hosts.lose_host(OWNER)
    await trio.sleep(3)
    hosts.log.has_quorum = True


async def cut_and_suspected_without_quorum(hosts, second):
    """The second waits for its takeover, the owner for its drop."""
    hosts.log.has_quorum = False
    hosts.declare_gone(OWNER)
    await trio.sleep(3)
    del hosts.directory.gone[OWNER]
    hosts.log.has_quorum = True


async def lose_reply_of_takeover(hosts, second):
    hosts.log.lost_replies = 1
    hosts.lose_host(OWNER)


async def lose_reply_of_drop(hosts, second):
    hosts.log.lost_replies = 1
    hosts.lose_host(second)


async def new_owner_dies_before_it_has_a_second(hosts, second):
    """The owner was only suspected and has the one copy that is left."""
    third = next(name for name in hosts.all if name not in (OWNER, second))
    hosts.network.cut(second, third)
    hosts.declare_gone(OWNER)
    await trio.sleep(0.3)
    assert hosts.owner_of(f"{OWNER}.0") == second
    del hosts.directory.gone[OWNER]
    hosts.lose_host(second)


async def engine_dies(hosts, second):
    run = hosts.all[OWNER].service._owned[f"{OWNER}.0"]
    hosts.upstreams.all[run.upstream].die()


async def chunks_come_twice(hosts, second):
    for engine in hosts.upstreams.engines:
        engine.is_doubled = True


def reader_in(hosts) -> str:
    """Return a host to read on at, rather one that reaches the owner."""
    cut = hosts.network.is_cut
    others = [name for name in hosts.all if name != OWNER]
    return min(others, key=lambda name: cut(name, OWNER) or cut(OWNER, name))


FAULTS = [
    (lose_owner, 3),
    (lose_owner_then_new_owner, 4),
    (restart_owner, 3),
    (lose_second, 3),
    (restart_second_unnoticed, 3),
    (lose_second_then_owner, 4),
    (second_leaves, 3),
    (owner_leaves, 3),
    (owner_is_cut_off, 3),
    (owner_pauses, 3),
    (owner_is_only_suspected, 3),
    (cut_to_second, 3),
    (cut_to_owner, 3),
    (bad_network, 3),
    (lose_owner_without_quorum, 3),
    (cut_and_suspected_without_quorum, 3),
    (lose_reply_of_takeover, 3),
    (lose_reply_of_drop, 3),
    (new_owner_dies_before_it_has_a_second, 3),
    (engine_dies, 3),
    (chunks_come_twice, 3),
]


@pytest.mark.parametrize(
    ("fault", "count"), FAULTS, ids=[fault.__name__ for fault, _ in FAULTS]
)
async def test_answer_is_whole_after(autojump_clock, fault, count):
    async with Hosts.start(count=count) as hosts:
        request = hosts.request(max_tokens=200)
        await hosts.all[OWNER].service.submit(request)
        before, _ = await hosts.read(OWNER, request.id, limit=10)
        await fault(hosts, hosts.second_of(request.id))
        reader = reader_in(hosts)
        with trio.fail_after(60):
            after, outcome = await hosts.read(reader, request.id, len(before))
        # A host that has lost the request says the same, or nothing more.
        if OWNER in hosts.all and not hosts.network.is_cut(OWNER, "entry-1"):
            again, _ = await hosts.read(OWNER, request.id)
            assert again == before + after
    assert before + after == answer_of(request)
    assert outcome.is_answered


async def test_both_copies_lost_is_said(autojump_clock):
    async with Hosts.start() as hosts:
        request = hosts.request()
        await hosts.all[OWNER].service.submit(request)
        second = hosts.second_of(request.id)
        hosts.lose_host(OWNER)
        hosts.lose_host(second)
        reader = next(iter(hosts.all))
        with pytest.raises(Failure) as failed, trio.fail_after(4):
            await hosts.read(reader, request.id)
    assert failed.value.code is Code.UNKNOWN_REQUEST


@pytest.mark.parametrize("fault", ["no second", "no acknowledgement"])
async def test_refused_without_a_second(autojump_clock, fault):
    async with Hosts.start(count=2) as hosts:
        if fault == "no second":
            hosts.network.isolate("entry-1")
        else:
            await hosts.all[OWNER].service.submit(hosts.request(number=1))
            await hosts.read(OWNER, f"{OWNER}.1")
            hosts.network.cut("entry-1", OWNER)
        request = hosts.request()
        with pytest.raises(Failure) as failed, trio.fail_after(4):
            await hosts.all[OWNER].service.submit(request)
        hosts.network.heal()
        # The second may have the record, and mustn't run it.
        hosts.lose_host(OWNER)
        await trio.sleep(20)
        attempts = [
            each for engine in hosts.upstreams.engines for each in engine.attempts
        ]
        assert not [each for each in attempts if each.startswith(request.id)]
    assert failed.value.code is Code.NOT_READY
    assert failed.value.execution is Execution.NOT_RUN
    assert failed.value.retry_after is not None


async def test_requests_for_a_second_that_has_taken_over(autojump_clock):
    """It has what was recorded before, and nothing of what comes after."""
    async with Hosts.start() as hosts:
        requests = [hosts.request(number=number) for number in range(8)]
        for request in requests[:4]:
            await hosts.all[OWNER].service.submit(request)
        hosts.declare_gone(OWNER)
        await trio.sleep(0.252)
        async with trio.open_nursery() as nursery:
            for request in requests[4:]:
                nursery.start_soon(hosts.all[OWNER].service.submit, request)
        for request in requests:
            tokens, _ = await hosts.read(OWNER, request.id)
            assert tokens == answer_of(request)


async def test_request_that_comes_back_ends_its_earlier_run(autojump_clock):
    async with Hosts.start() as hosts:
        service = hosts.all[OWNER].service
        request = hosts.request()
        earlier = await service.submit(request)
        await hosts.read(OWNER, request.id, limit=10)
        link = service._journal._link_by_request[request.id].message
        service._adopt_runs(link, [Run.from_record(earlier.to_record())])
        assert earlier.is_lost
        tokens, _ = await hosts.read(OWNER, request.id)
    assert tokens == answer_of(request)
