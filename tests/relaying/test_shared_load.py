"""Entry hosts that tell each other what upstreams have yet to read."""

import random

import pytest
import trio

from pepperstep.coordination import Announcement, UpstreamBook
from pepperstep.entities.routes import Service
from pepperstep.fakes import FakeNetwork, FakePeers, FakeTimers
from pepperstep.fakes.relaying import FakeConnector, Reply
from pepperstep.ports.exchange import AnswerHead
from pepperstep.ports.relaying import PromptPart, RequestFacts
from pepperstep.proto import coordination_pb2 as pb
from pepperstep.relay import Chooser, Pools
from pepperstep.relay.prompts import PromptMemory
from pepperstep.relay.shared_load import SharedLoad
from tests.relaying.world import open_world, request

OK = AnswerHead(200, ((b"pepperstep-attempt-id", b"id-1"),))
UPSTREAMS = ("u1", "u2", "u3")
SERVICE = Service("model", "", 0)
# The largest prompts of the users' sheet, and the mean of the small ones.
LARGE = 54_600
SMALL = 1_800


class Host:
    """One entry host's placement."""

    def __init__(self, name: str, names, network, nursery, seed: int = 0):
        timers = FakeTimers(random.Random(seed))
        peers = FakePeers(name, network, timers, nursery)
        book = UpstreamBook(trio.current_time)
        for upstream in UPSTREAMS:
            book.note(Announcement(upstream, "model", f"{upstream}:80", "z1"))
        prompts = PromptMemory(trio.current_time)
        self.load = SharedLoad(name, peers, timers, prompts.all_unread, lambda: names)
        pools = Pools(FakeConnector(), lambda: len(names), trio.current_time)
        self.chooser = Chooser(
            book,
            pools,
            "z1",
            lambda: len(names),
            trio.current_time,
            random.Random(seed),
            prompts,
            self.load,
        )
        nursery.start_soon(self.load.run)

    def send(self, tokens: int):
        """Place a prompt of its own tokens and return the choice."""
        facts = RequestFacts(b"", prompt_parts=(PromptPart("own", tokens),))
        choice = self.chooser.choose(SERVICE, facts, ())
        self.chooser.begin(choice, facts)
        return choice


@pytest.fixture
async def hosts(autojump_clock):
    """Give three entry hosts with three upstreams."""
    names = ["e1", "e2", "e3"]
    network = FakeNetwork(random.Random(0))
    async with trio.open_nursery() as nursery:
        yield [
            Host(name, names, network, nursery, seed) for seed, name in enumerate(names)
        ]
        nursery.cancel_scope.cancel()


async def test_small_prompts_avoid_what_reads_another_hosts_large_one(hosts):
    one, two, three = hosts
    large = one.send(LARGE).upstream.id
    await trio.sleep(0.05)
    for host in (two, three):
        for _ in range(10):
            choice = host.send(SMALL)
            assert choice.upstream.id != large
            host.chooser.note_read(choice, 0.1)


async def test_two_hosts_place_large_prompts_apart(hosts):
    one, two, _ = hosts
    first = one.send(LARGE).upstream.id
    await trio.sleep(0.05)
    assert two.send(LARGE).upstream.id != first


async def test_what_was_read_counts_no_more(hosts):
    one, two, _ = hosts
    choice = one.send(LARGE)
    await trio.sleep(0.05)
    assert two.load.unread_of(choice.upstream.key) == LARGE
    one.chooser.note_read(choice, 0.9)
    await trio.sleep(0.05)
    assert two.load.unread_of(choice.upstream.key) == 0
    assert two.load.heard_count == 1


async def test_prediction_takes_in_what_others_have_sent(hosts):
    one, two, _ = hosts
    for _ in UPSTREAMS:
        one.send(LARGE)
        await trio.sleep(0.05)
    before = LARGE / 36_000
    assert two.send(SMALL).first_token >= before


async def test_host_that_died_is_believed_for_as_long_as_a_prompt_is_read(hosts):
    one, two, _ = hosts
    choice = one.send(LARGE)
    await trio.sleep(0.05)
    await trio.sleep(1.5)
    assert two.load.unread_of(choice.upstream.key) == 0
    await trio.sleep(10.0)
    assert two.load.heard_count == 0


async def test_small_changes_are_not_told(hosts):
    one, two, _ = hosts
    one.send(SMALL)
    await trio.sleep(0.1)
    assert two.load.heard_count == 0


async def test_notice_that_was_overtaken_is_left_out(hosts):
    _, two, _ = hosts

    async def notice(number: int, tokens: int) -> None:
        unread = [pb.UnreadTokens(upstream="u1", tokens=tokens)]
        await two.load._on_notice(pb.UnreadNotice(unread=unread, number=number), "e9")

    await notice(2, 100)
    await notice(1, 50_000)
    assert two.load.unread_of(("u1", 0)) == 100
    # A host that has started again begins anew.
    await trio.sleep(1.5)
    await notice(1, 300)
    assert two.load.unread_of(("u1", 0)) == 300


async def test_many_hosts_tell_a_bounded_number_of_others(autojump_clock):
    names = [f"e{number}" for number in range(70)]
    network = FakeNetwork(random.Random(0))
    async with trio.open_nursery() as nursery:
        hosts = [Host(name, names, network, nursery) for name in names]
        hosts[0].send(LARGE)
        await trio.sleep(0.1)
        told = sum(host.load.heard_count for host in hosts)
        assert told == 16
        nursery.cancel_scope.cancel()


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
        assert world.network.sent["UnreadNotice"] <= 2
