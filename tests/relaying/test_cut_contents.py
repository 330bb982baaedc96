"""Contents whose runs break because hosts are cut off from upstreams."""

import random
from collections import Counter

import pytest
import trio

from pepperstep.fakes.relaying import FakeExchange, LinkCut, Reply
from pepperstep.ports.exchange import AnswerHead, CallerGone
from tests.relaying.test_cut_off_hosts import head_of
from tests.relaying.upstreams import serving

HOST_COUNT = 12
# Requests per second of each host, all with the same content.
RATE = 6.0


class Popular:
    """An upstream that takes a moment and never fails."""

    def answer(self, sent) -> Reply:
        """Return an answer."""
        attempt = sent.head.first(b"pepperstep-attempt-id")
        head = AnswerHead(200, ((b"pepperstep-attempt-id", attempt),))
        return Reply(head, (b"popular",), delay=0.15)


class Callers:
    """Callers that all ask for one content, each at a fixed host."""

    def __init__(self, world):
        self._world = world
        self._rng = random.Random(0)

    async def ask_all(self, seconds: float) -> Counter[tuple[str, bool]]:
        """Return how many requests were served or not, by host."""
        outcomes: Counter[tuple[str, bool]] = Counter()
        ends_at = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            while trio.current_time() < ends_at:
                await trio.sleep(self._rng.expovariate(RATE * HOST_COUNT))
                host = self._rng.choice(sorted(self._world.entries))
                nursery.start_soon(self._ask, host, outcomes)
        return outcomes

    async def _ask(self, host: str, outcomes: Counter[tuple[str, bool]]) -> None:
        attempt = b"id-%d" % self._rng.getrandbits(60)
        now = trio.current_time()
        exchange = FakeExchange(head_of("/unsafe/1", attempt), b"same", now)
        try:
            await self._world.entries[host].relay.handle(exchange)
        except CallerGone:
            exchange.abort()
        outcomes[host, exchange.status == 200] += 1


def served_share(outcomes, hosts) -> float:
    """Return the share of requests at some hosts that were served."""
    served = sum(outcomes[host, True] for host in hosts)
    return served / (served + sum(outcomes[host, False] for host in hosts))


@pytest.mark.parametrize("cut_count", [3, 10, 11])
async def test_hosts_that_lose_their_links_convict_no_content(
    autojump_clock, cut_count
):
    async with serving([Popular()] * 6, entries=HOST_COUNT) as world:
        callers = Callers(world)
        hosts = sorted(world.entries)
        cut, sound = hosts[:cut_count], hosts[cut_count:]
        outcomes: list[Counter] = []

        async def ask() -> None:
            outcomes.append(await callers.ask_all(6.0))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await trio.sleep(2.0)
            for host in cut:
                world.connector.cut(host, LinkCut.RESET)
        assert served_share(outcomes[0], sound) >= 0.95
        for host in cut:
            world.connector.heal(host)
        await trio.sleep(3.0)
        assert served_share(await callers.ask_all(3.0), hosts) >= 0.95
