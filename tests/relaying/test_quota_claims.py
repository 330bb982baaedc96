"""Hosts that ask one of them for what is left of a workspace's quota."""

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
        self.keepers = KeyOwners(name, peers, timers, lambda: NAMES)
        self.claims = QuotaClaims(self.keepers, peers, self.quotas)

    async def know(self) -> None:
        """Let the host know the workspace until nothing of its quota is spent."""
        self.quotas.watch(RouteTable(1, workspaces=(WORKSPACE,)))
        await trio.sleep(QUOTA.burst / QUOTA.rate)


@asynccontextmanager
async def open_hosts():
    """Give three hosts by name, those that claim first, and their network."""
    network = FakeNetwork(random.Random(0))
    async with trio.open_nursery() as nursery:
        hosts = {name: Host(name, network, nursery) for name in NAMES}
        keeper = hosts["e1"].keepers.keeper_of("desk")
        others = [host for name, host in hosts.items() if name != keeper]
        yield hosts[keeper], others, network
        nursery.cancel_scope.cancel()


async def test_what_is_left_is_granted_once_to_all(autojump_clock):
    async with open_hosts() as (keeper, others, _):
        await keeper.know()
        granted = 0
        for number in range(30):
            granted += not (await others[number % 2].claims.claim("desk", 90)).wait
        assert 0 < granted * 90 <= QUOTA.burst
        # The granting host has taken it off for its own requests, too.
        own = await keeper.claims.claim("desk", 90)
        assert own.wait > 0
        assert own.asked == keeper.name


async def test_refused_claims_tell_when_to_come_back(autojump_clock):
    async with open_hosts() as (keeper, others, _):
        await keeper.know()
        while not (refused := await others[0].claims.claim("desk", 100)).wait:
            pass
        assert refused.wait <= 5.0
        assert (refused.asked, refused.left) == (keeper.name, pytest.approx(400, abs=1))
        await trio.sleep(refused.wait + 0.01)
        assert not (await others[0].claims.claim("desk", 100)).wait


async def test_grants_are_taken_once_though_they_are_told_later(autojump_clock):
    async with open_hosts() as (keeper, others, _):
        await keeper.know()
        keeper.quotas.record_spent_elsewhere("desk", 0)
        for _ in range(3):
            assert not (await others[0].claims.claim("desk", 100)).wait
        keeper.quotas.record_spent_elsewhere("desk", 250)
        assert keeper.quotas.state_of("desk").level >= QUOTA.burst - 300
        keeper.quotas.record_spent_elsewhere("desk", 400)
        assert keeper.quotas.state_of("desk").level <= QUOTA.burst - 390


async def test_silent_host_is_asked_now_and_then_only(autojump_clock):
    async with open_hosts() as (keeper, others, network):
        host = others[0]
        network.isolate(keeper.name)
        network.sent.clear()
        begun = trio.current_time()
        for _ in range(20):
            assert await host.claims.claim("desk", 10) is None
        assert trio.current_time() - begun <= 0.06
        assert network.sent["QuotaClaim"] == 1
        network.heal()
        await keeper.know()
        assert not (await host.claims.claim("desk", 10)).wait


async def test_host_that_does_not_know_the_workspace_grants_nothing(autojump_clock):
    async with open_hosts() as (_, others, _):
        assert await others[0].claims.claim("desk", 10) is None
