"""The leader killed at every step of its acts; the next one goes on."""

import pytest
import trio

from tests.fleet.cluster import Cluster

# Steps that the life below takes without a fault.
_STEPS = 114


async def _run_life(cluster: Cluster) -> None:
    """Grow to three hosts, lose a zone, shrink to two."""
    await trio.sleep(20)
    cluster.cloud.reclaim(6, zone="sapporo-hall")
    await trio.sleep(24)
    cluster.busy["zaseki-model"] = 5.0
    await trio.sleep(66)


async def test_life_without_faults(autojump_clock):
    async with Cluster.start() as cluster:
        await _run_life(cluster)
        cluster.check_whole(2)
        assert len(cluster.cloud.hosts) == 5
        assert len(cluster.points) == _STEPS
        times = {(e.kind, e.subject): e.time for e in cluster.machine.events.since()}
        stopped = [host for kind, host in times if kind == "stop_done"]
        assert len(stopped) == 2
        for host in stopped:
            waited = times["stop_done", host] - times["stop", host]
            assert waited >= cluster.tuning.drain_settle


@pytest.mark.parametrize("step", range(1, _STEPS + 1))
async def test_next_leader_finishes_what_was_begun(step, autojump_clock):
    async with Cluster.start() as cluster:
        cluster.kill_at = step
        await _run_life(cluster)
        await trio.sleep(30)
        assert cluster.log.leader == "control-1"
        cluster.check_whole(2)
        # Each start made one host, however often it was asked for.
        assert len(cluster.cloud.hosts) == 5
        assert {number for _, number in cluster.handed} == {1}
        assert len(cluster.handed) <= 2
