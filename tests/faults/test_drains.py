"""A drained host breaks no request, including those of callers connected elsewhere.

A request runs on its owner, which may be another host than its caller's. A drain that
only waits for its own connections would cut such a request.
"""

import pytest
import trio

from pepperstep.entities import RequestKind
from pepperstep.errors import Code, Execution, Failure
from pepperstep.fakes import answer_of
from tests.faults.scenario import Scenario

# Takes longer than a drain waits.
_LONG_TOKENS = 700
# Exceeds the time for which callers may cache the list of entry hosts.
_LONG_CALL_SECONDS = 5.0
_LONGER_THAN_DRAIN_SECONDS = 30.0
# Time for which callers may cache the list of entry hosts, as configured.
_SERVE_ON_SECONDS = 1.0


async def test_call_of_a_vanished_caller_ends(autojump_clock):
    async with Scenario.start() as scenario:
        hosts = scenario.hosts
        request = hosts.request(
            "entry-3",
            1,
            kind=RequestKind.SERVICE,
            target="quote-api",
            is_repeatable=False,
            idempotency_key="quote",
            body=b"quote",
        )
        for name in ("quote-0", "quote-1"):
            hosts.upstreams.all[name].seconds = _LONG_CALL_SECONDS
        await hosts.call("entry-3", lambda node: node.requests.submit(request))
        scenario.nursery.start_soon(hosts.drain, "entry-3")
        await trio.sleep(_LONG_CALL_SECONDS / 2)
        _, outcome = await hosts.read("entry-1", request.id, "planners")
        assert outcome.is_answered, outcome


async def test_rolling_restart_stalls_no_stream(autojump_clock):
    async with Scenario.start() as scenario:
        hosts = scenario.hosts
        request = hosts.request("entry-3", 1, max_tokens=_LONG_TOKENS, seed=7)
        await hosts.call("entry-3", lambda node: node.requests.submit(request))
        tokens: list[str] = []
        pauses = []

        async def read() -> None:
            heard_at = trio.current_time()
            parts = hosts.hosts["entry-1"].node.requests.read(request.id, "planners", 0)
            async for part in parts:
                pauses.append(trio.current_time() - heard_at)
                heard_at = trio.current_time()
                tokens.extend(part.tokens)
                if part.outcome is not None:
                    assert part.outcome.is_answered
            await parts.aclose()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(read)
            for name in ("entry-3", "entry-0", "entry-2"):
                await hosts.drain(name)
                await hosts.start_host(name)
        assert tokens == answer_of(request)
        assert max(pauses) < 1.0, max(pauses)


async def test_unending_callers_keep_a_drained_host_alive(autojump_clock):
    async with Scenario.start() as scenario:
        hosts = scenario.hosts
        node = hosts.hosts["entry-3"].node
        started = trio.current_time()
        answered_at, refusals = 0.0, []

        async def call_repeatedly(prefix: int) -> None:
            nonlocal answered_at
            number = 1000 * prefix
            while hosts.hosts["entry-3"].node is node and not refusals:
                number += 1
                request = hosts.request("entry-3", number, max_tokens=50)
                try:
                    run = await node.requests.submit(request)
                except Failure as failure:
                    refusals.append(failure)
                    return
                _, outcome = await hosts.read("entry-3", run.id, "planners")
                assert outcome.is_answered
                answered_at = trio.current_time()

        node.start_drain()
        async with trio.open_nursery() as nursery:
            for prefix in range(3):
                nursery.start_soon(call_repeatedly, prefix)
            await node.drain()
            drained_after = trio.current_time() - started
            assert drained_after < _SERVE_ON_SECONDS + 2.0
        # The host serves until callers' lists of entry hosts have expired.
        assert answered_at - started > _SERVE_ON_SECONDS
        refusal = refusals[0]
        assert (refusal.code, refusal.execution) == (Code.DRAINING, Execution.NOT_RUN)
        # An earlier request with the key may have run.
        keyed = hosts.request("entry-3", 9999, idempotency_key="seats")
        with pytest.raises(Failure) as caught:
            await node.requests.submit(keyed)
        assert caught.value.execution is Execution.MAY_HAVE_RUN


async def test_call_that_may_run_once_is_lost_at_the_end_of_a_drain(autojump_clock):
    async with Scenario.start() as scenario:
        hosts = scenario.hosts
        for name in ("quote-0", "quote-1"):
            hosts.upstreams.all[name].seconds = _LONGER_THAN_DRAIN_SECONDS
        request = hosts.request(
            "entry-3",
            1,
            kind=RequestKind.SERVICE,
            target="quote-api",
            is_repeatable=False,
            body=b"quote",
        )
        await hosts.call("entry-3", lambda node: node.requests.submit(request))
        scenario.nursery.start_soon(hosts.drain, "entry-3")
        _, outcome = await hosts.read("entry-1", request.id, "planners")
        assert outcome.is_answered, outcome
