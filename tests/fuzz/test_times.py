"""Timeouts that have already expired.

The rest of a timeout can be zero or slightly negative when a deadline passes between
two waits, and trio rejects negative values.
"""

import random

import pytest
import trio

from pepperstep.adapters.timers import TrioTimers
from pepperstep.errors import Code, Failure
from pepperstep.fakes.timers import FakeTimers
from tests.whole.test_whole_hosts import start_hosts


@pytest.mark.parametrize("timers_type", [TrioTimers, FakeTimers])
@pytest.mark.parametrize("seconds", [-1.0, -1e-17, 0.0])
async def test_expired_timeout_cancels_block_at_once(timers_type, seconds):
    with timers_type(random.Random(1)).move_on_after(seconds) as scope:
        await trio.sleep_forever()
    assert scope.cancelled_caught


async def test_proposals_at_a_leader_without_quorum_time_out():
    """Runs on the real clock, where a wait ends slightly after its deadline."""
    async with start_hosts(3) as hosts:
        leader = hosts.hosts[hosts.leader]
        hosts.network.isolate(hosts.leader)
        for _ in range(3):
            with pytest.raises(Failure) as caught:
                await leader.node.agreement.propose("links", b"", 0.05)
            assert caught.value.code is Code.NO_QUORUM
