"""Operators' HTTP calls to start and read roll-outs.

Guards against control hosts that accept an invalid or conflicting order, or that
answer without a quorum.
"""

import json

import pytest
import trio

from pepperstep.fakes.relaying import FakeExchange
from pepperstep.platform import ControlHandler
from pepperstep.ports.exchange import RequestHead
from tests.relaying.world import open_world

ORDER = {"service": "plain", "to": "v2", "duration_s": 12}


async def call(control, method, path, body=b""):
    exchange = FakeExchange(RequestHead(method, path.encode(), ()), body)
    await ControlHandler(control).handle(exchange)
    return exchange.status, json.loads(exchange.received)


async def start(control, **changes):
    body = json.dumps(ORDER | changes).encode()
    return await call(control, b"POST", "/-/Rollouts.Start", body)


async def read(control, service="plain"):
    return await call(control, b"GET", f"/-/Rollouts.Read/{service}")


async def test_order_is_read_back_at_every_control_host(autojump_clock):
    async with open_world() as world:
        status, _ = await start(world.controls["c0:1"])
        assert status == 200
        for control in world.controls.values():
            assert await read(control) == (200, {"state": "running", "to": "v2"})


async def test_response_statuses(autojump_clock):
    async with open_world() as world:
        first, other = list(world.controls.values())[:2]
        assert (await read(first))[0] == 404
        assert (await read(first, "nothing"))[0] == 404
        assert (await start(first))[0] == 200
        assert (await start(other))[0] == 200
        assert (await start(other, to="v3"))[0] == 409
        assert (await read(other))[1]["to"] == "v2"


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b"{",
        b"\xff",
        json.dumps(ORDER | {"service": "nothing"}).encode(),
        json.dumps(ORDER | {"service": 3}).encode(),
        json.dumps(ORDER | {"to": ""}).encode(),
        json.dumps(ORDER | {"duration_s": 0}).encode(),
        json.dumps(ORDER | {"duration_s": -1}).encode(),
        json.dumps(ORDER | {"duration_s": "soon"}).encode(),
        b'{"service":"plain","to":"v2"}',
        b'{"service":"plain","to":"v2","duration_s":1e999}',
    ],
)
async def test_invalid_order_is_refused_with_a_reason(autojump_clock, body):
    async with open_world() as world:
        control = world.controls["c0:1"]
        status, answer = await call(control, b"POST", "/-/Rollouts.Start", body)
        assert status == 400
        assert answer["text"]
        assert (await read(control))[0] == 404


async def test_isolated_control_host_answers_unavailable(autojump_clock):
    async with open_world() as world:
        await start(world.controls["c0:1"])
        world.cut_off("c1:1")
        await trio.sleep(6.0)
        assert (await start(world.controls["c1:1"], to="v3"))[0] == 503
        assert (await read(world.controls["c1:1"]))[0] == 503
