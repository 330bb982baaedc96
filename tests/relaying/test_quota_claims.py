"""Claims on a nearly exhausted quota, granted by the workspace's owner."""

import random
from contextlib import asynccontextmanager

import pytest
import trio

from pepperstep.entities.routes import Quota, RouteTable, Workspace
from pepperstep.fakes import FakeNetwork, FakePeers, FakeTimers
from pepperstep.relay import Quotas
from pepperstep.relay.keepers import KeyOwners
from pepperstep.relay.quota_claims import QuotaClaims

QUOTA = Quota(rate=100, burst=1_000, counts_tokens=True, plain_tokens=1)
WORKSPACE = Workspace("desk", ("k",), quota=QUOTA)
NAMES = ("e1", "e2", "e3")


class Host:
    """One entry host's quotas and claims."""

    def __init__(self, name: str, network: FakeNetwork, nursery: trio.Nursery):
        timers = FakeTimers(random.Random(0))
        peers = FakePeers(name, network, timers, nursery)
        self.name = name
        self.quotas = Quotas(lambda: len(NAMES), trio.current_time)
        self.owners = KeyOwners(name, peers, timers, lambda: NAMES)
        self.claims = QuotaClaims(self.owners, peers, self.quotas)

    async def fill_quota(self) -> None:
        """Create the workspace's bucket and wait until it's full."""
        self.quotas.watch(RouteTable(1, workspaces=(WORKSPACE,)))
        await trio.sleep(QUOTA.burst / QUOTA.rate)


@asynccontextmanager
async def open_hosts():
    """Open three hosts; yield the owner, the other hosts and the network."""
    network = FakeNetwork(random.Random(0))
    async with trio.open_nursery() as nursery:
        hosts = {name: Host(name, network, nursery) for name in NAMES}
        owner = hosts["e1"].owners.owner_of("desk")
        others = [host for name, host in hosts.items() if name != owner]
        yield hosts[owner], others, network
        nursery.cancel_scope.cancel()


async def test_remaining_quota_is_granted_only_once(autojump_clock):
    async with open_hosts() as (owner, others, _):
        await owner.fill_quota()
        granted = 0
        for number in range(30):
            granted += not (await others[number % 2].claims.claim("desk", 90)).wait
        assert 0 < granted * 90 <= QUOTA.burst
        # The grants also reduce what the owner's own requests can get.
        own = await owner.claims.claim("desk", 90)
        assert own.wait > 0
        assert own.asked == owner.name


async def test_refused_claim_has_a_usable_retry_time(autojump_clock):
    async with open_hosts() as (owner, others, _):
        await owner.fill_quota()
        while not (refused := await others[0].claims.claim("desk", 100)).wait:
            pass
        assert refused.wait <= 5.0
        assert (refused.asked, refused.left) == (owner.name, pytest.approx(100, abs=1))
        await trio.sleep(refused.wait + 0.01)
        assert not (await others[0].claims.claim("desk", 100)).wait


async def test_grants_are_not_charged_again_when_reported(autojump_clock):
    async with open_hosts() as (owner, others, _):
        await owner.fill_quota()
        owner.quotas.record_spent_elsewhere("desk", 0)
        for _ in range(3):
            assert not (await others[0].claims.claim("desk", 100)).wait
        owner.quotas.record_spent_elsewhere("desk", 250)
        assert owner.quotas.state_of("desk").level >= QUOTA.burst - 300
        owner.quotas.record_spent_elsewhere("desk", 400)
        assert owner.quotas.state_of("desk").level <= QUOTA.burst - 390


async def test_silent_owner_is_asked_rarely(autojump_clock):
    async with open_hosts() as (owner, others, network):
        host = others[0]
        network.isolate(owner.name)
        network.sent.clear()
        started_at = trio.current_time()
        for _ in range(20):
            assert await host.claims.claim("desk", 10) is None
        assert trio.current_time() - started_at <= 0.06
        assert network.sent["QuotaClaim"] == 1
        network.heal()
        await owner.fill_quota()
        assert not (await host.claims.claim("desk", 10)).wait


async def test_host_without_the_workspace_grants_nothing(autojump_clock):
    async with open_hosts() as (_, others, _):
        assert await others[0].claims.claim("desk", 10) is None
