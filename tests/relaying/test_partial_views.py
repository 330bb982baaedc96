"""What a control host tells that hears of a part of the entry hosts only.

The cause is that of `test_silent_upstreams`: what one host doesn't hear isn't there
for it, and entry hosts took the latest answer of any control host for the whole.
"""

import pytest
import trio
from absl import logging

from pepperstep.fakes.relaying import Reply
from pepperstep.observability.decisions import QuotaExceeded
from pepperstep.ports.exchange import AnswerHead
from tests.relaying.world import KEY, document, open_world, request

# Longer than control hosts count a silent entry host.
LONG_SECONDS = 17.0


@pytest.mark.parametrize("partial", ["c0:1", "c1:1", "c2:1"])
async def test_entry_count_is_highest_of_any_control_host(autojump_clock, partial):
    async with open_world(entries=4) as world:
        world.cut_off(partial, [*world.controls, "e1:1", "e2:1", "e3:1"])
        await trio.sleep(LONG_SECONDS)
        for _ in range(40):
            await trio.sleep(0.1)
            assert world.entries["e0:1"].sync.entry_count == 4
        # One that has ended is counted no longer, once nobody hears of it.
        world.kill("e3:1")
        await trio.sleep(LONG_SECONDS)
        assert world.entries["e0:1"].sync.entry_count == 3


@pytest.mark.parametrize("partial", ["c0:1", "c1:1", "c2:1"])
async def test_directory_holds_all_entry_hosts(autojump_clock, partial):
    async with open_world(entries=4) as world:
        world.cut_off(partial, [*world.controls, "e1:1", "e2:1", "e3:1"])
        await trio.sleep(3.0)
        for _ in range(40):
            await trio.sleep(0.1)
            assert len(world.entries["e0:1"].entry_addresses("z1")) == 4


async def test_quotas_are_divided_by_all_hosts_despite_a_cut(
    autojump_clock, monkeypatch
):
    events = []
    monkeypatch.setattr(logging, "info", lambda text, *values: events.extend(values))
    tenants = [
        {"name": "desk", "api_keys": [KEY], "rate_per_s": 8, "burst": 8},
    ]
    async with open_world(entries=4) as world:
        await world.put(2, document(2, tenants=tenants))
        await world.announce("c0:1", "u1", "plain")
        head = AnswerHead(200, ((b"pepperstep-attempt-id", b"id-1"),))
        world.connector.scripts["u1:80"] = lambda sent: Reply(head)
        await trio.sleep(1.0)
        for name in ("c1:1", "c2:1", "e1:1", "e2:1", "e3:1"):
            for side in ("c0:1", "e0:1"):
                world.cut_off(side, [name])
        await trio.sleep(LONG_SECONDS)
        events.clear()
        for _ in range(40):
            await world.ask("e0:1", request("/safe/1"))
    refused = [each for each in events if isinstance(each, QuotaExceeded)]
    assert {each.hosts for each in refused} == {4}
