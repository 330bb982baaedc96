"""Requests survive the failure of their owner or of its backup host.

A takeover must not lose, repeat or change tokens that the caller has already read.
"""

import pytest
import trio

from pepperstep.errors import Code, Execution, Failure
from pepperstep.fakes import answer_of
from pepperstep.requests import Run
from tests.requests.entry_hosts import Hosts

OWNER = "entry-0"


async def fail_owner(hosts, backup):
    hosts.fail_host(OWNER)


async def fail_owner_then_new_owner(hosts, backup):
    hosts.fail_host(OWNER)
    await trio.sleep(1)
    hosts.fail_host(hosts.owner_of(f"{OWNER}.0"))


async def restart_owner(hosts, backup):
    hosts.fail_host(OWNER)
    await hosts.start_host(OWNER)


async def fail_backup(hosts, backup):
    hosts.fail_host(backup)


async def restart_backup_unnoticed(hosts, backup):
    hosts.crash(backup)
    await hosts.start_host(backup)


async def fail_backup_then_owner(hosts, backup):
    hosts.fail_host(backup)
    await trio.sleep(1)
    hosts.fail_host(OWNER)


async def backup_leaves(hosts, backup):
    hosts.directory.leaving.add(backup)
    await trio.sleep(1)
    hosts.fail_host(backup)


async def owner_leaves(hosts, backup):
    hosts.directory.leaving.add(OWNER)
    await hosts.all[OWNER].service.hand_over()
    hosts.fail_host(OWNER)


async def owner_is_partitioned(hosts, backup):
    hosts.network.isolate(OWNER)
    hosts.log.cut_hosts.add(OWNER)
    hosts.declare_gone(OWNER)


async def owner_pauses(hosts, backup):
    timers = hosts.all[OWNER].timers
    timers.pause()
    hosts.declare_gone(OWNER)
    await trio.sleep(3)
    timers.resume()


async def owner_is_only_suspected(hosts, backup):
    hosts.declare_gone(OWNER)
    await trio.sleep(1)


async def cut_owner_to_backup(hosts, backup):
    hosts.network.cut(OWNER, backup)


async def cut_backup_to_owner(hosts, backup):
    hosts.network.cut(backup, OWNER)


async def unreliable_network(hosts, backup):
    hosts.network.loss = 0.1
    hosts.network.duplication = 0.3
    hosts.network.max_delay = 0.15


async def fail_owner_without_quorum(hosts, backup):
    hosts.log.has_quorum = False
    hosts.fail_host(OWNER)
    await trio.sleep(3)
    hosts.log.has_quorum = True


async def suspect_owner_without_quorum(hosts, backup):
    """Leave the backup's takeover and the owner's drop undecided at first."""
    hosts.log.has_quorum = False
    hosts.declare_gone(OWNER)
    await trio.sleep(3)
    del hosts.directory.gone[OWNER]
    hosts.log.has_quorum = True


async def lose_reply_of_takeover(hosts, backup):
    hosts.log.lost_replies = 1
    hosts.fail_host(OWNER)


async def lose_reply_of_drop(hosts, backup):
    hosts.log.lost_replies = 1
    hosts.fail_host(backup)


async def new_owner_fails_before_it_has_a_backup(hosts, backup):
    """Leave the only copy with the previous owner, which was only suspected."""
    third = next(name for name in hosts.all if name not in (OWNER, backup))
    hosts.network.cut(backup, third)
    hosts.declare_gone(OWNER)
    await trio.sleep(0.3)
    assert hosts.owner_of(f"{OWNER}.0") == backup
    del hosts.directory.gone[OWNER]
    hosts.fail_host(backup)


async def engine_crashes(hosts, backup):
    run = hosts.all[OWNER].service._owned[f"{OWNER}.0"]
    hosts.upstreams.all[run.upstream].die()


async def duplicate_chunks(hosts, backup):
    for engine in hosts.upstreams.engines:
        engine.is_doubled = True


def choose_reader(hosts) -> str:
    """Return a host to continue reading at, preferably one that reaches the owner."""
    cut = hosts.network.is_cut
    others = [name for name in hosts.all if name != OWNER]
    return min(others, key=lambda name: cut(name, OWNER) or cut(OWNER, name))


FAULTS = [
    (fail_owner, 3),
    (fail_owner_then_new_owner, 4),
    (restart_owner, 3),
    (fail_backup, 3),
    (restart_backup_unnoticed, 3),
    (fail_backup_then_owner, 4),
    (backup_leaves, 3),
    (owner_leaves, 3),
    (owner_is_partitioned, 3),
    (owner_pauses, 3),
    (owner_is_only_suspected, 3),
    (cut_owner_to_backup, 3),
    (cut_backup_to_owner, 3),
    (unreliable_network, 3),
    (fail_owner_without_quorum, 3),
    (suspect_owner_without_quorum, 3),
    (lose_reply_of_takeover, 3),
    (lose_reply_of_drop, 3),
    (new_owner_fails_before_it_has_a_backup, 3),
    (engine_crashes, 3),
    (duplicate_chunks, 3),
]


@pytest.mark.parametrize(
    ("fault", "count"), FAULTS, ids=[fault.__name__ for fault, _ in FAULTS]
)
async def test_answer_is_complete_after_fault(autojump_clock, fault, count):
    async with Hosts.start(count=count) as hosts:
        request = hosts.request(max_tokens=200)
        await hosts.all[OWNER].service.submit(request)
        before, _ = await hosts.read(OWNER, request.id, limit=10)
        await fault(hosts, hosts.backup_of(request.id))
        reader = choose_reader(hosts)
        with trio.fail_after(60):
            after, outcome = await hosts.read(reader, request.id, len(before))
        # A host that has lost the request must return the same tokens.
        if OWNER in hosts.all and not hosts.network.is_cut(OWNER, "entry-1"):
            again, _ = await hosts.read(OWNER, request.id)
            assert again == before + after
    assert before + after == answer_of(request)
    assert outcome.is_answered


async def test_loss_of_both_copies_is_reported(autojump_clock):
    async with Hosts.start() as hosts:
        request = hosts.request()
        await hosts.all[OWNER].service.submit(request)
        backup = hosts.backup_of(request.id)
        hosts.fail_host(OWNER)
        hosts.fail_host(backup)
        reader = next(iter(hosts.all))
        with pytest.raises(Failure) as failed, trio.fail_after(4):
            await hosts.read(reader, request.id)
    assert failed.value.code is Code.UNKNOWN_REQUEST


@pytest.mark.parametrize("fault", ["no second", "no acknowledgement"])
async def test_request_is_refused_without_backup(autojump_clock, fault):
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
        # The backup host may have the record but must not run the request.
        hosts.fail_host(OWNER)
        await trio.sleep(20)
        attempts = [
            each for engine in hosts.upstreams.engines for each in engine.attempts
        ]
        assert not [each for each in attempts if each.startswith(request.id)]
    assert failed.value.code is Code.NOT_READY
    assert failed.value.execution is Execution.NOT_RUN
    assert failed.value.retry_after is not None


async def test_requests_after_backup_has_taken_over(autojump_clock):
    """The backup host owns earlier requests of the link, but none that come later."""
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


async def test_request_taken_back_ends_its_earlier_run(autojump_clock):
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


async def test_new_owner_knows_not_of_each_dispatch(autojump_clock):
    """Guards against "not run" for a request that the earlier owner has sent."""
    async with Hosts.start() as hosts:
        deadline = hosts.all[OWNER].timers.wall() + 5
        request = hosts.request(OWNER, deadline=deadline)
        await hosts.all[OWNER].service.submit(request)
        # The backup host has the request, but not yet its dispatch.
        hosts.network.isolate(OWNER)
        await trio.sleep(0.01)
        assert sum(engine.load.running for engine in hosts.upstreams.engines) == 1
        hosts.fail_host(OWNER)
        for engine in hosts.upstreams.engines:
            engine.die()
        hosts.network.heal()
        _, outcome = await hosts.read("entry-1", request.id)
        assert outcome.code is Code.DEADLINE_EXPIRED
        assert outcome.execution is Execution.MAY_HAVE_RUN
