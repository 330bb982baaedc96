"""Operators' calls that one host passes on to another."""

import random
from unittest.mock import Mock

import pytest
import trio

from pepperstep.entities import Host
from pepperstep.errors import Code, Execution, Failure
from pepperstep.fakes import FakeNetwork, FakePeers, FakeTimers
from pepperstep.operations import Operations
from pepperstep.proto import operations_pb2


async def test_drain_without_an_answer_may_have_begun(autojump_clock):
    """Guards against "not run" for a drain whose confirmation is lost."""
    network = FakeNetwork(random.Random(1))
    drained = []
    async with trio.open_nursery() as nursery:
        peers = [
            FakePeers(name, network, FakeTimers(), nursery)
            for name in ("entry-0", "entry-1")
        ]

        async def drain(message, sender):
            drained.append(sender)
            await trio.sleep_forever()

        peers[1].handle(operations_pb2.DrainHost, drain)
        host = Host("entry-0", "entry-0", "", "zone-a", "region", "kitahara")
        operations = Operations(host, peers[0], *[Mock() for _ in range(10)])
        with pytest.raises(Failure) as caught:
            await operations.drain("entry-1")
        nursery.cancel_scope.cancel()
    assert drained == ["entry-0"]
    assert caught.value.code is Code.PEER_UNREACHABLE
    assert caught.value.execution is Execution.MAY_HAVE_RUN
