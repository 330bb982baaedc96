"""Leaders that are isolated, frozen or slow, and their successors.

Guards against calls of an old leader that take effect after the next one has begun: a
leader that loses its quorum or its processor may still reach the cloud and upstreams.
"""

import random
from dataclasses import replace

import pytest
import trio

from pepperstep.errors import Code, Failure
from pepperstep.fakes import FakeAgreement, FakeTimers
from pepperstep.fleet import Action, ActionKind, FleetStateMachine, FleetTuning
from pepperstep.fleet.record import FleetRecord
from tests.fleet.cluster import QUICK, Cluster, sent_loads

HOUR = 3600.0


async def test_leader_cut_off_for_an_hour(autojump_clock):
    slow = replace(QUICK, period=10.0, notice_period=10.0)
    async with Cluster.start(tuning=slow) as cluster:
        await trio.sleep(60)
        cluster.check_consistent(3)
        # The leader still reaches upstreams and the cloud, but no quorum of the log.
        cluster.log.cut_hosts.add("control-0")
        cluster.cloud.reclaim(6, zone="sapporo-hall")
        await trio.sleep(5)
        cluster.elect("control-1")
        await trio.sleep(HOUR)
        cluster.log.cut_hosts.clear()
        await trio.sleep(120)
        assert not [c for c in cluster.calls if c[1] == "control-0" and c[0] > 60]
        cluster.check_consistent(3)


@pytest.mark.parametrize("step", range(2, 115, 4))
async def test_resumed_leader_sends_no_stale_orders(step, autojump_clock):
    async with Cluster.start() as cluster:
        cluster.fault_point = step
        cluster.freeze_seconds = 40.0
        await trio.sleep(20)
        cluster.cloud.reclaim(6, zone="sapporo-hall")
        await trio.sleep(24)
        cluster.busy["zaseki-model"] = 5.0
        await trio.sleep(96)
        cluster.check_consistent(2)
        assert len(cluster.cloud.hosts) == 5
        for fences in cluster.upstreams.executed_fences.values():
            assert fences == sorted(fences)


@pytest.mark.parametrize("step", range(2, 115, 4))
async def test_isolated_leader_sends_no_recorded_actions(step, autojump_clock):
    async with Cluster.start() as cluster:
        cluster.fault_point = step
        cluster.cuts_off_leader = True
        await trio.sleep(20)
        cluster.cloud.reclaim(6, zone="sapporo-hall")
        await trio.sleep(24)
        cluster.busy["zaseki-model"] = 5.0
        await trio.sleep(96)
        own = [call for call in cluster.calls if call[1] == "control-0"]
        # A call that was in progress at the cut is sent.
        is_begun = cluster.passed_points[step - 1] in (
            "start_host",
            "stop_host",
            "send_order",
        )
        assert len(own) <= is_begun
        cluster.check_consistent(2)


@pytest.mark.parametrize("checks_fencing", [True, False])
@pytest.mark.parametrize("is_set_by", ["upstream", "deployment"])
async def test_late_orders_of_the_previous_leader(
    checks_fencing, is_set_by, autojump_clock
):
    options = {"checks_fencing": checks_fencing} if is_set_by == "deployment" else {}
    async with Cluster.start(**options) as cluster:
        if is_set_by == "upstream":
            cluster.checks_fencing = checks_fencing
        # Load orders arrive after the next leader may have sent its own.
        cluster.upstreams.order_delay_seconds = 4.5
        while not sent_loads(cluster):
            await trio.sleep(0.1)
        sent_at = trio.current_time()
        cluster.crash("control-0")
        cluster.elect("control-1")
        cluster.upstreams.order_delay_seconds = 0.0
        await trio.sleep(40)
        cluster.check_consistent(3)
        assert len(cluster.upstreams.executed_fences) == 3
        for fences in cluster.upstreams.executed_fences.values():
            assert fences == sorted(fences), (
                "An older order was executed after a newer one."
            )
        again = [s.time for s in sent_loads(cluster) if s.sender == "control-1"]
        if checks_fencing:
            assert min(again) < sent_at + 4.5
        else:
            # The next leader read back that the late order was executed.
            assert not again


async def test_unconfirmed_order_is_read_back_before_retry(autojump_clock):
    async with Cluster.start() as cluster:
        cluster.checks_fencing = False
        cluster.upstreams.order_delay_seconds = 3.0
        await trio.sleep(60)
        cluster.check_consistent(3)
        # The model was loaded when the state was read back: no second order.
        assert len(sent_loads(cluster)) == 3


async def test_order_is_not_sent_at_the_lease_end(autojump_clock):
    async with Cluster.start() as cluster:
        cluster.log.lease = QUICK.order_ttl / 2
        await trio.sleep(60)
        assert not cluster.sent
        cluster.log.lease = 1.0
        await trio.sleep(20)
        cluster.check_consistent(3)


async def test_state_machine_fences_off_older_epochs(autojump_clock):
    async with Cluster.start() as cluster:
        await trio.sleep(5)
        old = FleetRecord(
            "control-9",
            FakeAgreement("control-0", cluster.log),
            cluster.machine,
            FakeTimers(),
            random.Random(5),
            FleetTuning(),
        )
        await old.begin()
        cluster.elect("control-1")
        await trio.sleep(10)
        action = Action(id="fleet-x", kind=ActionKind.STOP, host_id="host-1")
        with pytest.raises(Failure) as caught:
            await old.commit(actions=[action])
        assert caught.value.code is Code.FENCED
        assert not old.is_valid
        assert "fleet-x" not in cluster.machine.actions
        # A host that leads in an older term can't open an epoch.
        cluster.log.term -= 1
        with pytest.raises(Failure, match="newer term"):
            await FleetRecord(
                "control-9",
                FakeAgreement("control-0", cluster.log),
                cluster.machine,
                FakeTimers(),
                random.Random(6),
                FleetTuning(),
            ).begin()


async def test_snapshot_and_repeated_commands_give_the_same_state(autojump_clock):
    async with Cluster.start() as cluster:
        cluster.log.copies = 2
        cluster.log.lost_replies = 3
        await trio.sleep(60)
        cluster.check_consistent(3)
        assert len(cluster.cloud.hosts) == 3
        restored = FleetStateMachine()
        restored.restore(cluster.machine.snapshot())
        assert restored.snapshot() == cluster.machine.snapshot()
        # Apply half of the log, restore a snapshot of it, and apply the other half.
        other = FleetStateMachine()
        entries = [command for name, command in cluster.log.entries if name == "fleet"]
        for index, command in enumerate(entries):
            if index == len(entries) // 2:
                data = other.snapshot()
                other = FleetStateMachine()
                other.restore(data)
            other.apply(index, command)
        assert other.snapshot() == cluster.machine.snapshot()
        cluster.machine.apply(0, b"\xff")
        with pytest.raises(Failure):
            FleetStateMachine().restore(b"\xff")
