"""Upstreams that turn requests away and say for how long they want none."""

from dataclasses import dataclass, field

import pytest
import trio

from pepperstep.fakes.relaying import Reply
from pepperstep.ports.exchange import AnswerHead
from pepperstep.rollouts import Rollout, RolloutState, VersionSplit
from tests.relaying.upstreams import serving
from tests.relaying.world import request

# Time after an answer in which a request may still follow, in seconds.
NOTICE = 0.5
# Requests that may reach the upstream from one host after it, until the time is over.
MOST = 2


@dataclass
class Upstream:
    """An upstream that turns all requests away while it `refuses`."""

    refuses: bool = False
    retry_after: float = 3.0
    # Whether its refusals state that the request hasn't run.
    says_not_run: bool = True
    # Times at which requests arrived.
    arrivals: list[float] = field(default_factory=list)

    def answer(self, sent) -> Reply:
        """Answer a request."""
        self.arrivals.append(sent.time)
        headers = [(b"pepperstep-attempt-id", b"id-1")]
        if not self.refuses:
            return Reply(AnswerHead(200, tuple(headers)), (b"data: 1\n\n",))
        headers.append((b"retry-after", b"%.2f" % self.retry_after))
        if self.says_not_run:
            headers.append((b"pepperstep-not-executed", b"1"))
        return Reply(AnswerHead(503, tuple(headers)), (b"busy",))

    def between(self, begin: float, end: float) -> int:
        """Return the requests that arrived between two times."""
        return sum(begin <= each < end for each in self.arrivals)


async def ask(world, seconds: float, path: str = "/safe/1", pause: float = 0.05):
    """Send requests to all entry hosts in turn, and return what callers got."""
    exchanges = []
    end = trio.current_time() + seconds
    while trio.current_time() < end:
        for name in sorted(world.entries):
            exchanges.append(await world.ask(name, request(path)))
            await trio.sleep(pause)
    return exchanges


def statuses(exchanges) -> list[int]:
    """Return the statuses that callers got."""
    return [exchange.status for exchange in exchanges]


@pytest.mark.parametrize("says_not_run", [True, False])
@pytest.mark.parametrize("path", ["/safe/1", "/unsafe/1", "/stream/1"])
async def test_upstream_that_wants_nothing_for_a_while_gets_nothing(
    autojump_clock, path, says_not_run
):
    refusing = Upstream(refuses=True, says_not_run=says_not_run)
    async with serving([refusing, Upstream()], 1) as world:
        await ask(world, 9.0, path)
        assert refusing.arrivals
        for answered_at in refusing.arrivals:
            begin, end = answered_at + NOTICE, answered_at + refusing.retry_after
            assert refusing.between(begin, end) <= MOST


async def test_upstream_is_used_again_when_its_time_is_over(autojump_clock):
    refusing = Upstream(refuses=True, retry_after=2.0)
    async with serving([refusing, Upstream()], 1) as world:
        await ask(world, 1.0)
        assert refusing.arrivals
        refusing.refuses = False
        over = refusing.arrivals[-1] + refusing.retry_after
        await ask(world, over + 2.0 - trio.current_time())
        assert refusing.between(over, over + 2.0) >= 10


async def test_callers_are_told_when_the_first_upstream_takes_requests_again(
    autojump_clock,
):
    early, late = Upstream(True, retry_after=1.0), Upstream(True, retry_after=1.8)
    async with serving([early, late], 1) as world:
        await ask(world, 0.3)
        [exchange] = await ask(world, 0.01)
        assert exchange.status == 503
        headers = dict(exchange.answer_head.headers)
        first = min(early.arrivals[-1] + 1.0, late.arrivals[-1] + 1.8)
        wait = first - trio.current_time()
        assert wait <= float(headers[b"retry-after"]) <= wait + 0.1


async def test_callers_are_refused_at_once_while_no_upstream_wants_anything(
    autojump_clock,
):
    async with serving([Upstream(True), Upstream(True)], 1) as world:
        await ask(world, 0.5)
        begun = trio.current_time()
        assert (await world.ask("e0:1", request("/safe/1"))).status == 503
        assert trio.current_time() - begun <= 0.01


async def test_request_that_was_turned_away_is_served_by_a_free_upstream(
    autojump_clock,
):
    """Most attempts would meet no free one by chance within the retry budget."""
    refusing = Upstream(refuses=True)
    async with serving([refusing, Upstream(), Upstream()], 5) as world:
        got = statuses(await ask(world, 9.0, pause=0.03))
        assert len(got) >= 250
        assert set(got) == {200}


async def test_time_that_is_no_number_holds_nothing(autojump_clock):
    refusing = Upstream(refuses=True, retry_after=float("inf"))
    async with serving([refusing, Upstream()], 1) as world:
        await ask(world, 2.0)
        refusing.refuses = False
        begin = trio.current_time() + 5.0
        await ask(world, 10.0)
        assert refusing.between(begin, begin + 5.0) > 0


async def test_requests_for_a_version_that_is_left_alone_go_to_the_other(
    autojump_clock,
):
    old, new = Upstream(), Upstream(refuses=True)
    async with serving([old, new], 1) as world:
        await world.announce("c0:1", "plain1", "plain", sequence=2, software="v2")
        await trio.sleep(1.0)
        host = world.entries["e0:1"]
        judged = VersionSplit(trio.current_time, lambda rollout: True)
        judged.update(
            Rollout(
                service="plain",
                to="v2",
                number=1,
                duration=60.0,
                started_at=0.0,
                changed_at=0.0,
                index=1,
                share=1.0,
                state=RolloutState.RUNNING,
            )
        )
        host._chooser._versions = judged
        got = statuses(await ask(world, 9.0))
        assert set(got) == {200}
        assert new.arrivals
