"""A retry with the same idempotency key gets the first request's answer.

Without this, a retry at another host, or after a failure of the owner, would run the
request a second time.
"""

import pytest
import trio

from pepperstep.errors import Code, Failure
from pepperstep.fakes import answer_of
from tests.requests.entry_hosts import Hosts

KEY = {"idempotency_key": "seats", "fingerprint": "f"}


async def no_fault(hosts):
    return


async def wait_until_answered(hosts):
    await trio.sleep(3)


async def fail_owner(hosts):
    hosts.fail_host("entry-0")


async def fail_owner_after_answer(hosts):
    await trio.sleep(3)
    hosts.fail_host("entry-0")


async def fail_all_but_owner_and_backup(hosts):
    """Fail the hosts one at a time, so that keys must be reserved again."""
    backup = hosts.backup_of("entry-0.0")
    for name in set(hosts.all) - {"entry-0", backup}:
        hosts.fail_host(name)
        await trio.sleep(2)


@pytest.mark.parametrize(
    "action",
    [
        no_fault,
        wait_until_answered,
        fail_owner,
        fail_owner_after_answer,
        fail_all_but_owner_and_backup,
    ],
)
async def test_retry_gets_the_first_answer(autojump_clock, action):
    async with Hosts.start(count=6) as hosts:
        keys = [{"idempotency_key": f"seats-{n}", "fingerprint": "f"} for n in range(6)]
        firsts = [hosts.request(number=n, **key) for n, key in enumerate(keys)]
        for first in firsts:
            await hosts.all["entry-0"].service.submit(first)
        await trio.sleep(0.2)
        await action(hosts)
        for number, first in enumerate(firsts):
            name = sorted(hosts.all)[number % len(hosts.all)]
            retry = hosts.request(name, 10 + number, **keys[number])
            submitted = await hosts.all[name].service.submit(retry)
            assert submitted.id == first.id
            tokens, outcome = await hosts.read(name, submitted.id)
            assert (tokens, outcome.is_answered) == (answer_of(first), True)


async def test_concurrent_retries_run_once(autojump_clock):
    async with Hosts.start(count=5) as hosts:
        ids = []

        async def submit(name: str, number: int) -> None:
            request = hosts.request(name, number, **KEY)
            ids.append((await hosts.all[name].service.submit(request)).id)

        async with trio.open_nursery() as nursery:
            for number in range(3):
                for name in hosts.all:
                    nursery.start_soon(submit, name, number)
        assert len(ids) == 15
        assert len(set(ids)) == 1


@pytest.mark.parametrize("change", [{"fingerprint": "g"}, {"workspace": "desks"}, {}])
async def test_key_with_other_content_or_workspace(autojump_clock, change):
    async with Hosts.start() as hosts:
        await hosts.all["entry-0"].service.submit(hosts.request(**KEY))
        retry = hosts.request("entry-1", 1, **(KEY | change))
        try:
            submitted = await hosts.all["entry-1"].service.submit(retry)
            found = submitted.id
        except Failure as failure:
            found = failure.code
    expected = {"fingerprint": Code.IDEMPOTENCY_CONFLICT, "workspace": retry.id}
    assert found == expected.get("".join(change), "entry-0.0")


async def test_retry_of_failed_or_lost_request_runs_again(autojump_clock):
    async with Hosts.start(count=4) as hosts:
        first = hosts.request(**KEY)
        await hosts.all["entry-0"].service.submit(first)
        assert await hosts.all["entry-1"].service.cancel(first.id, "planners")
        _, outcome = await hosts.read("entry-2", first.id)
        assert outcome.code is Code.CANCELLED
        retry = hosts.request("entry-0", 1, **KEY)
        await hosts.all["entry-0"].service.submit(retry)
        backup = hosts.backup_of(retry.id)
        hosts.fail_host("entry-0")
        hosts.fail_host(backup)
        name = next(iter(hosts.all))
        last_retry = hosts.request(name, 2, **KEY)
        assert (await hosts.all[name].service.submit(last_retry)).id == last_retry.id
        tokens, _ = await hosts.read(name, last_retry.id)
        assert tokens == answer_of(last_retry)


@pytest.mark.parametrize("host", ["entry-0", "entry-1"])
async def test_answer_is_visible_in_its_workspace_only(autojump_clock, host):
    async with Hosts.start() as hosts:
        request = hosts.request()
        await hosts.all["entry-0"].service.submit(request)
        service = hosts.all[host].service
        assert not await service.cancel(request.id, "desks")
        codes = []
        try:
            async for part in service.read(request.id, "desks"):
                assert not part.tokens
                codes.append(part.outcome.code)
        except Failure as failure:
            codes.append(failure.code)
    assert codes == [Code.UNKNOWN_REQUEST]


async def test_request_without_readers_is_cancelled(autojump_clock):
    async with Hosts.start() as hosts:
        request = hosts.request(max_tokens=5000)
        run = await hosts.all["entry-0"].service.submit(request)
        await hosts.read("entry-1", request.id, limit=5)
        await trio.sleep(8)
        await hosts.read("entry-2", request.id, limit=5)
        await trio.sleep(8)
        assert run.outcome is None
        await trio.sleep(6)
        assert run.outcome.code is Code.CANCELLED
        assert not any(engine.load.running for engine in hosts.upstreams.engines)
