"""Leaders that are cut off, frozen or late, and the ones that follow them."""

import random
from dataclasses import replace

import pytest
import trio

from pepperstep.errors import Code, Failure
from pepperstep.fakes import FakeAgreement, FakeTimers
from pepperstep.fleet import Action, ActionKind, FleetStateMachine, FleetTuning
from pepperstep.fleet.record import FleetRecord
from tests.fleet.site import QUICK, Site, loads

HOUR = 3600.0


async def test_leader_cut_off_for_an_hour(autojump_clock):
    slow = replace(QUICK, period=10.0, notice_period=10.0)
    async with Site.start(tuning=slow) as site:
        await trio.sleep(60)
        site.check_whole(3)
        # It still reaches upstreams and cloud, and no quorum of the log.
        site.log.cut_hosts.add("control-0")
        site.cloud.reclaim(6, zone="sapporo-hall")
        await trio.sleep(5)
        site.lead("control-1")
        await trio.sleep(HOUR)
        site.log.cut_hosts.clear()
        await trio.sleep(120)
        assert not [c for c in site.calls if c[1] == "control-0" and c[0] > 60]
        site.check_whole(3)


@pytest.mark.parametrize("step", range(2, 115, 4))
async def test_frozen_leader_does_no_harm_on_return(step, autojump_clock):
    async with Site.start() as site:
        site.kill_at = step
        site.freeze_seconds = 40.0
        await trio.sleep(20)
        site.cloud.reclaim(6, zone="sapporo-hall")
        await trio.sleep(24)
        site.busy["zaseki-model"] = 5.0
        await trio.sleep(96)
        site.check_whole(2)
        assert len(site.cloud.hosts) == 5
        for fences in site.upstreams.carried_out.values():
            assert fences == sorted(fences)


@pytest.mark.parametrize("step", range(2, 115, 4))
async def test_cut_leader_sends_nothing_it_has_recorded(step, autojump_clock):
    async with Site.start() as site:
        site.kill_at = step
        site.is_cutting = True
        await trio.sleep(20)
        site.cloud.reclaim(6, zone="sapporo-hall")
        await trio.sleep(24)
        site.busy["zaseki-model"] = 5.0
        await trio.sleep(96)
        own = [call for call in site.calls if call[1] == "control-0"]
        # A call that had begun goes out.
        is_begun = site.points[step - 1] in ("start_host", "stop_host", "send_order")
        assert len(own) <= is_begun
        site.check_whole(2)


@pytest.mark.parametrize("checks_fencing", [True, False])
@pytest.mark.parametrize("is_set_by", ["upstream", "deployment"])
async def test_late_orders_of_the_last_leader(
    checks_fencing, is_set_by, autojump_clock
):
    options = {"checks_fencing": checks_fencing} if is_set_by == "deployment" else {}
    async with Site.start(**options) as site:
        if is_set_by == "upstream":
            site.checks_fencing = checks_fencing
        # Its loads arrive when the next leader may have given orders already.
        site.upstreams.late_seconds = 4.5
        while not loads(site):
            await trio.sleep(0.1)
        sent_at = trio.current_time()
        site.crash("control-0")
        site.lead("control-1")
        site.upstreams.late_seconds = 0.0
        await trio.sleep(40)
        site.check_whole(3)
        assert len(site.upstreams.carried_out) == 3
        for fences in site.upstreams.carried_out.values():
            assert fences == sorted(fences), "An older order came after a newer one."
        again = [s.time for s in loads(site) if s.sender == "control-1"]
        if checks_fencing:
            assert min(again) < sent_at + 4.5
        else:
            # The late order was read back as carried out.
            assert not again


async def test_doubtful_order_is_read_back_before_another(autojump_clock):
    async with Site.start() as site:
        site.checks_fencing = False
        site.upstreams.late_seconds = 3.0
        await trio.sleep(60)
        site.check_whole(3)
        # Found loaded when read back: no second load was sent.
        assert len(loads(site)) == 3


async def test_order_is_not_sent_at_the_lease_end(autojump_clock):
    async with Site.start() as site:
        site.log.lease = QUICK.order_ttl / 2
        await trio.sleep(60)
        assert not site.sent
        site.log.lease = 1.0
        await trio.sleep(20)
        site.check_whole(3)


async def test_machine_refuses_an_older_epoch(autojump_clock):
    async with Site.start() as site:
        await trio.sleep(5)
        old = FleetRecord(
            "control-9",
            FakeAgreement("control-0", site.log),
            site.machine,
            FakeTimers(),
            random.Random(5),
            FleetTuning(),
        )
        await old.begin()
        site.lead("control-1")
        await trio.sleep(10)
        act = Action(id="fleet-x", kind=ActionKind.STOP, host_id="host-1")
        with pytest.raises(Failure) as caught:
            await old.commit(acts=[act])
        assert caught.value.code is Code.FENCED
        assert not old.is_valid
        assert "fleet-x" not in site.machine.acts
        # A host that missed the newer term can't open an epoch either.
        site.log.term -= 1
        with pytest.raises(Failure, match="newer term"):
            await FleetRecord(
                "control-9",
                FakeAgreement("control-0", site.log),
                site.machine,
                FakeTimers(),
                random.Random(6),
                FleetTuning(),
            ).begin()


async def test_snapshot_and_repeats_give_the_same_record(autojump_clock):
    async with Site.start() as site:
        site.log.copies = 2
        site.log.lost_replies = 3
        await trio.sleep(60)
        site.check_whole(3)
        assert len(site.cloud.hosts) == 3
        restored = FleetStateMachine()
        restored.restore(site.machine.snapshot())
        assert restored.snapshot() == site.machine.snapshot()
        # Half of the log, then a snapshot, then the rest.
        other = FleetStateMachine()
        entries = [command for name, command in site.log.entries if name == "fleet"]
        for index, command in enumerate(entries):
            if index == len(entries) // 2:
                data = other.snapshot()
                other = FleetStateMachine()
                other.restore(data)
            other.apply(index, command)
        assert other.snapshot() == site.machine.snapshot()
        site.machine.apply(0, b"\xff")
        with pytest.raises(Failure):
            FleetStateMachine().restore(b"\xff")
