"""Kills the leader at every step of its work.

Guards against starts, stops and orders that are lost, doubled or left open when a
leader fails between a commit and a call, or between a call and its answer.
"""

import pytest
import trio

from tests.fleet.cluster import Cluster

# Fault points that `_run_scaling` passes without a fault.
_STEPS = 114


async def _run_scaling(cluster: Cluster) -> None:
    """Scale up to three hosts, lose a zone, scale down to two."""
    await trio.sleep(20)
    cluster.cloud.reclaim(6, zone="sapporo-hall")
    await trio.sleep(24)
    cluster.busy["zaseki-model"] = 5.0
    await trio.sleep(66)


async def test_scaling_without_faults(autojump_clock):
    async with Cluster.start() as cluster:
        await _run_scaling(cluster)
        cluster.check_consistent(2)
        assert len(cluster.cloud.hosts) == 5
        assert len(cluster.passed_points) == _STEPS
        times = {(e.kind, e.subject): e.time for e in cluster.machine.events.since()}
        stopped = [host for kind, host in times if kind == "stop_done"]
        assert len(stopped) == 2
        for host in stopped:
            waited = times["stop_done", host] - times["stop", host]
            assert waited >= cluster.tuning.drain_settle


@pytest.mark.parametrize("step", range(1, _STEPS + 1))
async def test_next_leader_completes_open_actions(step, autojump_clock):
    async with Cluster.start() as cluster:
        cluster.fault_point = step
        await _run_scaling(cluster)
        await trio.sleep(30)
        assert cluster.log.leader == "control-1"
        cluster.check_consistent(2)
        # Each start gave one host, however often it was sent.
        assert len(cluster.cloud.hosts) == 5
        assert {number for _, number in cluster.delivered_notices} == {1}
        assert len(cluster.delivered_notices) <= 2
