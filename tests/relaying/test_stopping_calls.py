"""Calls of operators and upstreams that a control host answers while it stops."""

import random

import pytest
import trio

from pepperstep.adapters.http1 import Http1Connector
from pepperstep.adapters.timers import TrioTimers
from pepperstep.platform import ControlHandler
from pepperstep.ports.exchange import RequestHead
from pepperstep.programs.draining import Drain, DrainSchedule
from pepperstep.programs.relay_settings import RelayBounds
from tests.relaying.test_http1 import open_server

BOUNDS = RelayBounds(grace_seconds=2.0)
CALLS = [
    (b"GET", b"/-/Config.Read", b""),
    (b"POST", b"/-/Config.Replace", b'{"version":1,"routes":[],"services":[]}'),
    (b"GET", b"/-/Rollouts.Read/plain", b""),
    (b"POST", b"/-/Replicas.Deregister/i-1", b""),
]


class WaitingOperations:
    """Operations of a control host whose group doesn't answer."""

    def __init__(self):
        self.count = 0

    def __getattr__(self, name: str):
        return self._wait

    async def _wait(self, *_) -> None:
        self.count += 1
        await trio.sleep_forever()


async def call(address: str, method: bytes, path: bytes, body: bytes):
    """Return the head of the answer to a call; raise `ConnectionFault` without one."""
    connection = await Http1Connector(trio.current_time).connect(address, 1.0)
    try:
        head = RequestHead(method, path, ((b"host", b"a.example"),))
        answer = await connection.send(head, body)
        async for _ in connection.pieces():
            pass
        return answer
    finally:
        connection.close()


@pytest.mark.parametrize(("method", "path", "body"), CALLS)
async def test_call_in_progress_at_the_end_is_cut(method, path, body):
    """Guards against a handover that takes all the time that a host has."""
    operations = WaitingOperations()
    handler = ControlHandler(operations)
    schedule = DrainSchedule.from_config(BOUNDS, has_addresses_cached=False)
    timers = TrioTimers(random.Random(0))
    answers = []

    async def ask(address: str) -> None:
        with trio.fail_after(BOUNDS.grace_seconds):
            answers.append(await call(address, method, path, body))

    async with (
        open_server(handler.handle) as (address, server),
        trio.open_nursery() as nursery,
    ):
        nursery.start_soon(ask, address)
        drain = Drain(
            [server],
            schedule,
            timers,
            hand_over=trio.sleep_forever,
            end_work=handler.end,
        )
        await drain.run(timers.now())
    [answer] = answers
    assert (answer.status, operations.count) == (503, 1)
    assert float(answer.first(b"retry-after")) < 1.0


async def test_call_after_the_end_takes_effect():
    operations = WaitingOperations()
    handler = ControlHandler(operations)
    handler.end()
    async with open_server(handler.handle) as (address, _):
        for method, path, body in CALLS:
            assert (await call(address, method, path, body)).status == 503
    assert operations.count == 0
