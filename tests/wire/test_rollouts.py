"""Roll-outs by real daemons on loopback, with upstreams of two versions.

A good version must be rolled out without failed requests, also if a control host is
killed. A bad one must be rolled back before it gets too many requests.
"""

import json
import random

import pytest
import trio

from pepperstep.ports.exchange import Answer, Exchange
from standins.platform_site import Site, StandInUpstream
from tests.wire.test_wire import KEY, start_all

DURATION_SECONDS = 16.0
# Concurrent callers, each of which sends one request at a time.
CALLER_COUNT = 8
PAUSE_SECONDS = 0.1


class NewUpstream(StandInUpstream):
    """An upstream of version v2 that may fail or be slow."""

    failure_rate = 0.0
    delay_seconds = 0.0

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.version = "v2"
        self._rng = random.Random(self.name)

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request, with status 500 for a share of `failure_rate`."""
        await trio.sleep(self.delay_seconds)
        if self._rng.random() >= self.failure_rate:
            await super().handle(exchange)
            return
        self.seen.append(exchange.head)
        attempt = exchange.head.first(b"pepperstep-attempt-id")
        await exchange.answer(Answer(500, b"", ((b"pepperstep-attempt-id", attempt),)))


class FailingUpstream(NewUpstream):
    failure_rate = 0.4


class SlowUpstream(NewUpstream):
    delay_seconds = 0.25


async def send_forever(site: Site, statuses: list[int], caller: int) -> None:
    number = 0
    while True:
        number += 1
        attempt = (b"pepperstep-attempt-id", b"%d-%d" % (caller, number))
        entry = f"entry-{4 + caller % 2}"
        received = await site.request(entry, "/once/1", KEY, attempt, body=b"chart")
        statuses.append(0 if received is None else received.status)
        await trio.sleep(PAUSE_SECONDS)


async def read_state(site: Site) -> str:
    received = await site.operate(b"GET", "/-/Rollouts.Read/plain")
    return json.loads(received.body)["state"]


async def roll_out(site: Site, upstream_type: type[NewUpstream], kill: str = ""):
    """Roll out v2; return the final state, its upstreams and the callers' statuses."""
    await start_all(site)
    await site.upstream("u2", "plain", 10)
    statuses: list[int] = []
    async with trio.open_nursery() as nursery:
        for caller in range(CALLER_COUNT):
            nursery.start_soon(send_forever, site, statuses, caller)
        await trio.sleep(0.5)
        order = {"service": "plain", "to": "v2", "duration_s": DURATION_SECONDS}
        body = json.dumps(order).encode()
        accepted = await site.operate(b"POST", "/-/Rollouts.Start", body)
        assert accepted.status == 200
        new_upstreams = [
            await site.upstream(f"n{each}", "plain", 20 + each, upstream_type)
            for each in (1, 2)
        ]
        if kill:
            await trio.sleep(2.0)
            site.daemons[kill].process.kill()
        state = "running"
        with trio.fail_after(DURATION_SECONDS + 10.0):
            while state == "running":
                await trio.sleep(0.2)
                state = await read_state(site)
        nursery.cancel_scope.cancel()
    return state, new_upstreams, statuses


@pytest.mark.parametrize("kill", ["", "control-1"])
async def test_good_version(tmp_path, kill):
    async with Site.open(tmp_path) as site:
        state, new_upstreams, statuses = await roll_out(site, NewUpstream, kill)
        assert state == "succeeded"
        assert set(statuses) == {200}
        assert all(upstream.seen for upstream in new_upstreams)


@pytest.mark.parametrize("upstream_type", [FailingUpstream, SlowUpstream])
async def test_bad_version(tmp_path, upstream_type):
    async with Site.open(tmp_path) as site:
        state, new_upstreams, statuses = await roll_out(site, upstream_type)
        assert state == "rolled_back"
        exposed = sum(len(upstream.seen) for upstream in new_upstreams)
        assert exposed <= 0.1 * len(statuses) + 50
        assert set(statuses) <= {200, 500}
