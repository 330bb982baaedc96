"""Entry hosts that tell each other what upstreams have yet to read."""

import random
from contextlib import asynccontextmanager

import pytest
import trio

from pepperstep.coordination import Announcement, UpstreamCatalog
from pepperstep.entities.routes import Service
from pepperstep.fakes import FakeNetwork, FakePeers, FakeTimers
from pepperstep.fakes.relaying import FakeConnector, Reply
from pepperstep.ports.exchange import AnswerHead
from pepperstep.ports.relaying import PromptPart, RequestFacts
from pepperstep.proto import coordination_pb2 as pb
from pepperstep.relay import Chooser, Pools
from pepperstep.relay.keepers import KeyOwners
from pepperstep.relay.prompts import PrefillTracker
from pepperstep.relay.shared_load import TOLD_TOKENS, SharedLoad
from tests.relaying.world import open_world, request

OK = AnswerHead(200, ((b"pepperstep-attempt-id", b"id-1"),))
KEEPERS = 16
UPSTREAMS = ("u1", "u2", "u3")
SERVICE = Service("model", "", 0)
# The largest prompts of the users' sheet, and the mean of the small ones.
LARGE = 54_600
SMALL = 1_800


class Host:
    """One entry host's placement."""

    def __init__(self, name: str, names, network, nursery, seed: int = 0):
        self.name = name
        self.names = names
        timers = FakeTimers(random.Random(seed))
        peers = FakePeers(name, network, timers, nursery)
        self.catalog = UpstreamCatalog(trio.current_time)
        for upstream in UPSTREAMS:
            self.catalog.record(Announcement(upstream, "model", f"{upstream}:80", "z1"))
        prompts = PrefillTracker(trio.current_time)
        self.keepers = KeyOwners(name, peers, timers, lambda: names[:KEEPERS])
        self.load = SharedLoad(
            self.keepers, peers, timers, lambda key: self.chooser.work_at(key)
        )
        pools = Pools(FakeConnector(), lambda: len(names), trio.current_time)
        self.chooser = Chooser(
            self.catalog,
            pools,
            "z1",
            lambda: len(names),
            trio.current_time,
            random.Random(seed),
            prompts,
            self.load,
        )
        nursery.start_soon(self.load.run)

    async def send(self, tokens: int):
        """Place a prompt of its own tokens and return the choice."""
        facts = RequestFacts(b"", prompt_parts=(PromptPart("own", tokens),))
        choice = await self.chooser.choose(SERVICE, facts, ())
        self.chooser.begin(choice, facts)
        return choice

    async def others_at(self, choice) -> int:
        """Return other hosts' unread tokens at a chosen upstream."""
        key = choice.upstream.key
        return (await self.load.ask([key]))[key].unread


@asynccontextmanager
async def open_hosts(count: int):
    """Give entry hosts with three upstreams, and their network."""
    names = [f"e{number}" for number in range(1, count + 1)]
    network = FakeNetwork(random.Random(0))
    async with trio.open_nursery() as nursery:
        hosts = [
            Host(name, names, network, nursery, seed) for seed, name in enumerate(names)
        ]
        yield hosts, network
        nursery.cancel_scope.cancel()


@pytest.fixture
async def hosts(autojump_clock):
    """Give three entry hosts with three upstreams."""
    async with open_hosts(3) as (hosts, _):
        yield hosts


async def test_small_prompts_avoid_what_reads_another_hosts_large_one(hosts):
    one, two, three = hosts
    large = (await one.send(LARGE)).upstream.id
    await trio.sleep(0.05)
    for host in (two, three):
        for _ in range(10):
            choice = await host.send(SMALL)
            assert choice.upstream.id != large
            host.chooser.record_prefill(choice, 0.1)


async def test_two_hosts_place_large_prompts_apart(hosts):
    one, two, _ = hosts
    first = (await one.send(LARGE)).upstream.id
    await trio.sleep(0.05)
    assert (await two.send(LARGE)).upstream.id != first


async def test_what_was_read_counts_no_more(hosts):
    one, two, _ = hosts
    choice = await one.send(LARGE)
    await trio.sleep(0.05)
    assert await two.others_at(choice) == LARGE
    one.chooser.record_prefill(choice, 0.9)
    await trio.sleep(0.05)
    assert await two.others_at(choice) == 0


async def test_prediction_takes_in_what_others_have_sent(hosts):
    one, two, _ = hosts
    for _ in UPSTREAMS:
        await one.send(LARGE)
        await trio.sleep(0.05)
    before = LARGE / 36_000
    assert (await two.send(SMALL)).first_token >= before


async def test_host_that_died_is_believed_for_as_long_as_a_prompt_is_read(hosts):
    one, two, _ = hosts
    choice = await one.send(LARGE)
    await trio.sleep(0.05)
    assert await two.others_at(choice) == LARGE
    await trio.sleep(1.5)
    assert await two.others_at(choice) == 0


async def test_small_changes_are_not_told(hosts):
    one, two, _ = hosts
    choice = await one.send(TOLD_TOKENS - 1)
    await trio.sleep(0.1)
    assert await two.others_at(choice) == 0


async def test_notice_that_was_overtaken_is_left_out(hosts):
    _, two, _ = hosts

    async def notice(number: int, tokens: int) -> None:
        message = pb.WorkNotice(upstream="u1", unread=tokens, number=number)
        await two.load._on_notice(message, "e9")

    async def kept() -> int:
        message = pb.WorkNotice(upstream="u1", number=1)
        return (await two.load._on_notice(message, "e8")).unread

    await notice(2, 100)
    await notice(1, 50_000)
    assert await kept() == 100
    # A host that has started again begins anew.
    await trio.sleep(1.5)
    await notice(1, 300)
    assert await kept() == 300


async def test_messages_of_a_request_do_not_grow_with_the_number_of_hosts(
    autojump_clock,
):
    """With 16 peers that are told each change, it was 64 at 70 hosts and more."""
    for count in (7, 70, 200):
        async with open_hosts(count) as (hosts, network):
            # Until all have greeted the keepers.
            await trio.sleep(4.0)
            network.sent.clear()
            for host in hosts[:7]:
                choice = await host.send(LARGE)
                await trio.sleep(0.05)
                host.chooser.record_prefill(choice, 0.5)
                await trio.sleep(0.05)
            sent = network.sent["WorkNotice"] + network.sent["WorkNoticeReply"]
            assert sent <= 7 * 2 * 5


async def test_a_keeper_that_is_silent_holds_requests_up_for_a_moment_only(
    autojump_clock,
):
    async with open_hosts(3) as (hosts, network):
        host = hosts[1]
        keeper = host.keepers.keeper_of(UPSTREAMS[0])
        assert keeper != host.name
        network.isolate(keeper)
        begun = trio.current_time()
        assert await host.send(SMALL) is not None
        assert trio.current_time() - begun <= 0.05
        begun = trio.current_time()
        for _ in range(10):
            await host.send(SMALL)
        assert trio.current_time() - begun <= 0.05


async def test_keepers_are_connected_to_before_the_first_request(autojump_clock):
    async with open_hosts(40) as (hosts, network):
        await trio.sleep(3.0)
        # Each host has greeted all keepers but itself.
        assert network.sent["WorkNotice"] == 40 * KEEPERS - KEEPERS
        network.sent.clear()
        await trio.sleep(5.0)
        assert network.sent["WorkNotice"] == 0


async def test_keepers_that_change_each_moment_are_not_all_connected_to(autojump_clock):
    """As while hosts start together; each connection stays for a while."""
    async with open_hosts(40) as (hosts, network):
        names = hosts[0].names
        for _ in range(10):
            await trio.sleep(0.5)
            names.append(names.pop(0))
        assert network.sent["WorkNotice"] == 0
        await trio.sleep(4.0)
        assert network.sent["WorkNotice"] == 40 * KEEPERS - KEEPERS


async def test_keeper_forgets_what_is_over(hosts):
    """Notices of an upstream may arrive after its end, so its end isn't enough."""
    _, two, _ = hosts
    for number in range(100):
        notice = pb.WorkNotice(upstream=f"u{number}", unread=100, number=number + 1)
        await two.load._on_notice(notice, "e9")
    assert len(two.load._kept) == 100
    await trio.sleep(2.5)
    assert not two.load._kept


async def test_an_upstream_that_left_meanwhile_gets_nothing(autojump_clock):
    async with open_hosts(3) as (hosts, network):
        network.min_delay = network.max_delay = 0.01
        host = hosts[1]
        assert host.keepers.keeper_of(UPSTREAMS[0]) != host.name
        async with trio.open_nursery() as nursery:
            chosen = []

            async def send() -> None:
                chosen.append(await host.send(SMALL))

            nursery.start_soon(send)
            await trio.sleep(0.005)
            for upstream in UPSTREAMS[:2]:
                leaving = Announcement(
                    upstream, "model", "", "z1", sequence=1, is_leaving=True
                )
                host.catalog.record(leaving)
        assert chosen[0].upstream.id == UPSTREAMS[2]


async def test_the_next_keeper_is_told_when_one_is_lost(autojump_clock):
    async with open_hosts(3) as (hosts, network):
        one, two, three = hosts
        choice = await one.send(LARGE)
        await trio.sleep(0.05)
        keeper = one.keepers.keeper_of(choice.upstream.id)
        one.names.remove(keeper)
        one.chooser.record_prefill(choice, 0.2)
        again = await one.send(LARGE)
        await trio.sleep(0.05)
        asker = next(each for each in (two, three) if each.name != keeper)
        assert await asker.others_at(again) >= LARGE


async def test_hosts_that_are_gone_are_told_only_now_and_then(autojump_clock):
    async with open_world() as world:
        await trio.sleep(2.0)
        world.connector.scripts["u1:80"] = lambda sent: Reply(OK, (b"data: 1\n\n",))
        await world.announce("c0:1", "u1", "model")
        await trio.sleep(1.0)
        for name in [*world.controls, "e1:1"]:
            world.kill(name)
        world.network.sent.clear()
        for number in range(20):
            part = (b"pepperstep-prompt-prefix", b"%x:5000" % number)
            answer = await world.ask("e0:1", request("/stream/x", part))
            assert answer.status == 200
            await trio.sleep(0.05)
        assert world.network.sent["WorkNotice"] <= 2
