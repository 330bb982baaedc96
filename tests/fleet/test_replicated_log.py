"""The fleet on the replicated log itself, whose lease is by the clock."""

import random
from dataclasses import replace

import trio

from pepperstep.consensus import Consensus, Tuning
from pepperstep.fakes import FakeDisk, FakeNetwork, FakePeers, FakeTimers
from tests.fleet.site import QUICK, Site

# Slow, so that an hour takes few messages.
_LOG = Tuning(
    heartbeat_interval=2.0, election_timeout=8.0, call_timeout=2.0, forward_timeout=6.0
)
_FLEET = replace(
    QUICK, period=8.0, notice_period=8.0, lease=_LOG.lease, commit_timeout=10.0
)


class ReplicatedSite(Site):
    """A site whose hosts have a replicated log."""

    def __init__(self, **options):
        super().__init__(hosts=3, tuning=_FLEET, **options)
        self.network = FakeNetwork(random.Random(3))
        self.agreements: dict[str, Consensus] = {}
        self._disks = {name: FakeDisk() for name in self.names}

    @property
    def leader(self) -> str:
        """The host that leads, "" for none."""
        for name, agreement in self.agreements.items():
            if agreement.is_leader:
                return name
        return ""

    def make_agreement(self, name: str, nursery: trio.Nursery) -> Consensus:
        timers = FakeTimers(random.Random(name))
        self.agreements[name] = Consensus.from_config(
            name=name,
            voters=tuple(self.names),
            storage=self._disks[name],
            peers=FakePeers(name, self.network, timers, nursery),
            timers=timers,
            rng=random.Random(f"{name} {len(self.agreements)}"),
            tuning=_LOG,
        )
        return self.agreements[name]

    async def run_agreement(self, agreement: Consensus) -> None:
        await agreement.run()

    def crash(self, name: str) -> None:
        super().crash(name)
        self.network.detach(name)
        del self.agreements[name]


async def test_leader_isolated_for_an_hour(autojump_clock):
    async with ReplicatedSite.start() as site:
        await trio.sleep(120)
        site.check_whole(3)
        old = site.leader
        site.network.isolate(old)
        isolated_at = trio.current_time()
        # It still reaches the cloud and the upstreams.
        site.cloud.reclaim(10, zone="sapporo-hall")
        site.busy["zaseki-model"] = 150.0
        await trio.sleep(3600)
        assert site.leader not in ("", old)
        late = [
            call
            for call in site.calls
            if call[1] == old and call[0] > isolated_at + _LOG.lease
        ]
        assert not late
        count = len(site.cloud.living)
        site.network.heal()
        await trio.sleep(120)
        assert not [call for call in site.calls if call[1] == old and call[0] > 3700]
        site.check_whole(count)
        records = {name: fleet.machine for name, fleet in site.fleets.items()}
        snapshots = {machine.snapshot() for machine in records.values()}
        assert len(snapshots) == 1


async def test_leaders_crash_in_turn(autojump_clock):
    async with ReplicatedSite.start() as site:
        for busy in (32.0, 150.0, 5.0, 80.0):
            site.busy["zaseki-model"] = busy
            await trio.sleep(25)
            name = site.leader
            assert name
            site.crash(name)
            await trio.sleep(5)
            await site.start_host(name)
            await trio.sleep(60)
        await trio.sleep(120)
        site.check_whole(len(site.cloud.living))
        asked = site.cloud.asked
        assert {host.token for host in site.cloud.hosts} == set(asked)
