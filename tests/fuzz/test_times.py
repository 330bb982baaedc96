"""Times that are over, or are none."""

import random

import pytest
import trio

from pepperstep.adapters.timers import TrioTimers
from pepperstep.errors import Code, Failure
from pepperstep.fakes.timers import FakeTimers
from tests.whole.test_whole_hosts import start_hosts


@pytest.mark.parametrize("timers_type", [TrioTimers, FakeTimers])
@pytest.mark.parametrize("seconds", [-1.0, -1e-17, 0.0])
async def test_a_time_that_is_over_ends_a_block_at_once(timers_type, seconds):
    with timers_type(random.Random(1)).move_on_after(seconds) as scope:
        await trio.sleep_forever()
    assert scope.cancelled_caught


async def test_proposals_at_a_leader_without_quorum_time_out():
    """On the real clock, where a wait ends a little behind its deadline."""
    async with start_hosts(3) as hosts:
        leader = hosts.hosts[hosts.leader]
        hosts.network.isolate(hosts.leader)
        for _ in range(3):
            with pytest.raises(Failure) as caught:
                await leader.node.agreement.propose("links", b"", 0.05)
            assert caught.value.code is Code.NO_QUORUM
