"""Non-repeatable requests run at most once, and their outcomes are correct.

A caller that is told NOT_RUN may send the request again, so this must never be said of
a request that was executed.
"""

import pytest
import trio

from pepperstep.claims import MACHINE_NAME
from pepperstep.errors import Code, Execution
from tests.requests.entry_hosts import Hosts

ANSWERED = "answered"
OWNER, OTHER = "entry-0", "entry-1"


def result_of(outcome) -> str:
    """Return "answered" or what the outcome says about the execution."""
    return ANSWERED if outcome.is_answered else outcome.execution


async def no_fault(hosts):
    return


async def fail_owner(hosts):
    hosts.fail_host(OWNER)


async def crash_one_service_before_run(hosts):
    hosts.upstreams.all["quote-0"].dies = "before"


async def crash_services_during_run(hosts):
    for name in ("quote-0", "quote-1"):
        hosts.upstreams.all[name].dies = "during"


async def crash_services_before_run(hosts):
    for name in ("quote-0", "quote-1"):
        hosts.upstreams.all[name].dies = "before"


async def lose_quorum(hosts):
    hosts.log.has_quorum = False


async def lose_reply_of_claim(hosts):
    hosts.log.lost_replies = 1


async def fail_backup(hosts):
    hosts.fail_host("entry-2")


# A fault before the request, one while it runs, the result for the caller, the result
# for its retry at another host, and the number of executions in total.
CASES = [
    (no_fault, no_fault, ANSWERED, ANSWERED, 1),
    (lose_reply_of_claim, no_fault, ANSWERED, ANSWERED, 1),
    (crash_one_service_before_run, no_fault, ANSWERED, ANSWERED, 1),
    (no_fault, fail_backup, ANSWERED, ANSWERED, 1),
    (
        crash_services_during_run,
        no_fault,
        Execution.MAY_HAVE_RUN,
        Execution.MAY_HAVE_RUN,
        1,
    ),
    (no_fault, fail_owner, None, Execution.MAY_HAVE_RUN, 1),
    (crash_services_before_run, no_fault, Execution.NOT_RUN, ANSWERED, 1),
    (lose_quorum, no_fault, Execution.NOT_RUN, ANSWERED, 1),
]


@pytest.mark.parametrize(
    ("before", "during", "expected_result", "expected_retry_result", "runs"),
    CASES,
    ids=[f"{before.__name__}-{during.__name__}" for before, during, *_ in CASES],
)
async def test_outcomes_of_request_and_retry(
    autojump_clock, before, during, expected_result, expected_retry_result, runs
):
    async with Hosts.start() as hosts:
        deadline = hosts.all[OWNER].timers.wall() + 5
        quote = hosts.quote(OWNER, 0, deadline=deadline)
        retry = hosts.quote(OTHER, 0, id="entry-1.9", deadline=deadline + 20)
        await before(hosts)
        results = []

        async def call() -> None:
            results.append(result_of(await hosts.outcome_of(OWNER, quote)))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call)
            # The service runs for 0.05 s after acceptance and claim, so the fault hits
            # it while it runs.
            await trio.sleep(0.03)
            await during(hosts)
            await trio.sleep(10)
            nursery.cancel_scope.cancel()
        assert results == ([] if expected_result is None else [expected_result])
        hosts.log.has_quorum = True
        for name in ("quote-0", "quote-1"):
            hosts.upstreams.all[name].dies = ""
            hosts.upstreams.all[name].is_alive = True
        assert result_of(await hosts.outcome_of(OTHER, retry)) == expected_retry_result
        assert hosts.runs_of(quote) == runs


async def test_concurrent_retries_run_once(autojump_clock):
    async with Hosts.start() as hosts:
        outcomes = []

        async def call(name: str, number: int) -> None:
            quote = hosts.quote(name, 0, id=f"{name}.{number}")
            outcomes.append(result_of(await hosts.outcome_of(name, quote)))

        async with trio.open_nursery() as nursery:
            for number in range(3):
                for name in hosts.all:
                    nursery.start_soon(call, name, number)
        assert outcomes == [ANSWERED] * 9
        assert hosts.runs_of(hosts.quote()) == 1


async def test_key_with_other_content_is_refused(autojump_clock):
    async with Hosts.start() as hosts:
        await hosts.outcome_of(OWNER, hosts.quote(OWNER))
        other = hosts.quote(OTHER, 0, id="entry-1.9", body=b"another")
        outcome = await hosts.outcome_of(OTHER, other)
        assert outcome.code is Code.IDEMPOTENCY_CONFLICT
        assert hosts.runs_of(other) == 0


@pytest.mark.parametrize("wait", [1, 15])
async def test_nothing_is_sent_before_backup_records_dispatch(autojump_clock, wait):
    async with Hosts.start(count=3) as hosts:
        hosts.network.min_delay = hosts.network.max_delay = 0.005
        quote = hosts.quote(OWNER)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(hosts.outcome_of, OWNER, quote)
            while not any(name == MACHINE_NAME for name, _ in hosts.log.entries):
                await trio.sleep(0.0005)
            # The claim is granted, but the dispatch isn't recorded yet.
            hosts.network.isolate(OWNER)
            await trio.sleep(2)
            assert hosts.runs_of(quote) == 0
            hosts.fail_host(OWNER)
            nursery.cancel_scope.cancel()
        hosts.network.heal()
        # The new owner runs the request for the retry, or eventually releases the
        # claim.
        await trio.sleep(wait)
        retry = hosts.quote(OTHER, 0, id="entry-1.9")
        assert result_of(await hosts.outcome_of(OTHER, retry)) == ANSWERED
        assert hosts.runs_of(quote) == 1


@pytest.mark.parametrize("is_answered", [True, False])
async def test_request_taken_over_before_its_claim(autojump_clock, is_answered):
    """Another request with the same key may have run before the new owner claims."""
    async with Hosts.start(count=4) as hosts:
        hosts.log.has_quorum = False
        quote = hosts.quote(OWNER)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(hosts.outcome_of, OWNER, quote)
            await trio.sleep(1)
            nursery.cancel_scope.cancel()
        backup = hosts.backup_of(quote.id)
        hosts.fail_host(OWNER)
        hosts.log.has_quorum = True
        await trio.sleep(1)
        assert hosts.owner_of(quote.id) == backup
        for name in ("quote-0", "quote-1"):
            hosts.upstreams.all[name].seconds = 2
        retry = hosts.quote(OTHER, 0, id="entry-1.9")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(hosts.outcome_of, OTHER, retry)
            await trio.sleep(3 if is_answered else 1)
            _, outcome = await hosts.read(OTHER, quote.id)
            assert result_of(outcome) == (
                ANSWERED if is_answered else Execution.NOT_RUN
            )
        assert hosts.runs_of(quote) == 1


async def test_answer_is_kept_for_retry_after_caller_left(autojump_clock):
    async with Hosts.start() as hosts:
        for name in ("quote-0", "quote-1"):
            hosts.upstreams.all[name].seconds = 20
        await hosts.all[OWNER].service.submit(hosts.quote(OWNER))
        await trio.sleep(25)
        retry = hosts.quote(OTHER, 0, id="entry-1.9")
        assert result_of(await hosts.outcome_of(OTHER, retry)) == ANSWERED
        assert hosts.runs_of(retry) == 1


async def test_refusal_by_a_cut_off_owner_is_no_promise(autojump_clock):
    """Guards against "not run" for a request that a later owner runs."""
    async with Hosts.start(count=4) as hosts:
        hosts.log.has_quorum = False
        quote = hosts.quote(OWNER, idempotency_key="")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(hosts.outcome_of, OWNER, quote)
            await trio.sleep(1)
            nursery.cancel_scope.cancel()
        hosts.fail_host(OWNER)
        hosts.log.has_quorum = True
        await trio.sleep(2)
        new_owner = hosts.owner_of(quote.id)
        hosts.log.has_quorum = False
        hosts.network.isolate(new_owner)
        _, refusal = await hosts.read(new_owner, quote.id)
        hosts.fail_host(new_owner)
        hosts.network.heal()
        hosts.log.has_quorum = True
        await trio.sleep(1)
        reader = next(iter(hosts.all))
        _, outcome = await hosts.read(reader, quote.id)
        assert (result_of(outcome), hosts.runs_of(quote)) == (ANSWERED, 1)
        assert refusal.code is Code.NO_QUORUM
        assert refusal.execution is Execution.MAY_HAVE_RUN


async def lose_services(hosts):
    for name in ("quote-0", "quote-1"):
        hosts.upstreams.all[name].is_alive = False


@pytest.mark.parametrize("fault", [lose_quorum, lose_services])
async def test_refused_repeat_does_not_tell_that_its_key_has_not_run(
    autojump_clock, fault
):
    """Guards against a caller who sends what ran again, with another key."""
    async with Hosts.start() as hosts:
        quote = hosts.quote(OWNER)
        await hosts.all[OWNER].service.submit(quote)
        await trio.sleep(1)
        assert hosts.runs_of(quote) == 1
        await fault(hosts)
        retry = hosts.quote(OTHER, 0, id="entry-1.9")
        outcome = await hosts.outcome_of(OTHER, retry)
        assert result_of(outcome) == Execution.MAY_HAVE_RUN
