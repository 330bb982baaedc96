"""Calls of operators and upstreams that a control host answers while it stops."""

import itertools
import random
import socket

import pytest
import trio

from pepperstep.adapters.http1 import Http1Connector, Http1Server
from pepperstep.adapters.timers import TrioTimers
from pepperstep.entities.routes import CallerLimits
from pepperstep.platform import ControlHandler
from pepperstep.ports.exchange import Answer, Exchange, RequestHead
from pepperstep.programs.draining import Drain, DrainSchedule
from pepperstep.programs.relay_settings import RelayBounds
from tests.relaying.test_http1 import VALID_REQUEST, open_server

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


async def test_request_that_a_closing_server_receives_is_cut(monkeypatch):
    """Guards against a close between the receipt of a request and its handling."""
    # The server looks for idle connections whenever other tasks have run, on a host so
    # busy that seconds pass meanwhile.
    monkeypatch.setattr("pepperstep.adapters.http1.server._CLOSE_POLL_SECONDS", 0.0)
    now = map(float, itertools.count())
    handled = []

    async def handle(exchange: Exchange) -> None:
        handled.append(exchange.head.target)
        await exchange.answer(Answer(200))

    with socket.create_server(("127.0.0.1", 0)) as probe:
        host, port = probe.getsockname()
    server = Http1Server(f"{host}:{port}", handle, CallerLimits, now.__next__)
    async with trio.open_nursery() as nursery:
        await nursery.start(server.run)
        callers = [socket.create_connection((host, port)) for _ in range(8)]
        for each in callers:
            each.sendall(VALID_REQUEST)
        await server.close()
        nursery.cancel_scope.cancel()
    answers = []
    for each in callers:
        with each:
            answers.append(each.recv(4_096)[:12])
    assert len(handled) == len(callers)
    assert answers == [b"HTTP/1.1 200"] * len(callers)
