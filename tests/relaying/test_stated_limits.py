"""Upstreams that state a rate limit in their answers."""

from collections.abc import Callable
from dataclasses import dataclass, field

import pytest
import trio
from absl import logging

from pepperstep.fakes.relaying import Reply
from pepperstep.observability.decisions import UpstreamHeld
from pepperstep.ports.exchange import AnswerHead
from tests.relaying.upstreams import serving
from tests.relaying.world import request

# Time after a limit is first stated until it must hold.
SETTLING_SECONDS = 3.0
WINDOW = 4.0
SEEDS = ("c0:1", "c1:1", "c2:1")


@dataclass
class Upstream:
    """An upstream whose answers state the current `limit`, None for no limit."""

    limit: Callable[[float], float | None] = lambda now: None
    # Times at which requests arrived.
    arrivals: list[float] = field(default_factory=list)

    def answer(self, sent) -> Reply:
        """Answer a request."""
        self.arrivals.append(sent.time)
        headers = [(b"pepperstep-attempt-id", b"id-1")]
        limit = self.limit(sent.time)
        if limit is not None:
            headers.append((b"server-limit", b"%.3f" % limit))
        return Reply(AnswerHead(200, tuple(headers)), (b"data: 1\n\n",), delay=0.02)

    def most_in_window(self, begin: float, end: float = float("inf")) -> int:
        """Return the maximum number of requests in any window between two times."""
        times = [each for each in self.arrivals if begin <= each <= end]
        return max(
            (sum(first <= each < first + WINDOW for each in times) for first in times),
            default=0,
        )

    def rate(self, begin: float, end: float) -> float:
        """Return the requests a second between two times."""
        return sum(begin <= each < end for each in self.arrivals) / (end - begin)


def allowed(limit: float) -> float:
    """Return the maximum number of requests permitted in a window."""
    return 1.5 * limit * WINDOW + 5


def owner_of_permits(world, upstream: str) -> str:
    """Return the host that grants an upstream's permits."""
    entry = world.entries["e0:1"]
    return entry._permits._owners.owner_of(upstream)


def lose(world, name: str, fault: str) -> None:
    """Make an entry host fail by a crash, a freeze or isolation."""
    if fault == "killed":
        world.kill(name)
    elif fault == "frozen":
        world.timers[name].pause()
    else:
        world.network.isolate(name)


@dataclass
class Load:
    """Requests that callers send to all hosts in turn, and their results."""

    world: object
    path: str = "/safe/1"
    # Requests a second of all callers.
    rate: float = 40.0
    statuses: list[int] = field(default_factory=list)
    retry_after: list[float] = field(default_factory=list)
    waits: list[float] = field(default_factory=list)

    async def run(self, seconds: float) -> None:
        """Send requests for some seconds and wait for their answers."""
        async with trio.open_nursery() as nursery:
            for number in range(round(seconds * self.rate)):
                nursery.start_soon(self._ask, number)
                await trio.sleep(1 / self.rate)

    async def _ask(self, number: int) -> None:
        entries = sorted(self.world.entries)
        head = request(self.path)
        if self.path.startswith("/stream"):
            prompt = (b"pepperstep-prompt-prefix", b"%x:500" % number)
            head = request(self.path, prompt)
        started_at = trio.current_time()
        exchange = await self.world.ask(entries[number % len(entries)], head)
        self.waits.append(trio.current_time() - started_at)
        self.statuses.append(exchange.status)
        headers = dict(exchange.answer_head.headers)
        if exchange.status == 503:
            self.retry_after.append(float(headers[b"retry-after"]))


@pytest.mark.parametrize("path", ["/safe/1", "/stream/1"])
@pytest.mark.parametrize(("hosts", "limit"), [(7, 1.0), (7, 5.0), (40, 1.0)])
async def test_all_hosts_together_obey_an_upstreams_limit(
    autojump_clock, hosts, limit, path
):
    limited = Upstream(lambda now: limit)
    others = [Upstream(), Upstream()]
    async with serving([limited, *others], hosts) as world:
        load = Load(world, path)
        begin = trio.current_time()
        await load.run(20.0)
        assert limited.most_in_window(begin + SETTLING_SECONDS) <= allowed(limit)
        assert set(load.statuses) == {200}


@pytest.mark.parametrize("limit", [1.0, 5.0])
async def test_stated_limit_is_used_fully(autojump_clock, limit):
    limited = Upstream(lambda now: limit)
    async with serving([limited, Upstream()], 7) as world:
        begin = trio.current_time()
        await Load(world).run(30.0)
        assert limited.rate(begin + 5.0, begin + 30.0) >= 0.8 * limit


async def test_load_below_a_stated_limit_is_served(autojump_clock):
    """All upstreams state a limit, and the load is half of the sum."""
    upstreams = [Upstream(lambda now: 10.0) for _ in range(3)]
    async with serving(upstreams, 7) as world:
        load = Load(world, rate=15.0)
        await load.run(20.0)
        assert load.statuses.count(200) >= 0.95 * len(load.statuses)


async def test_log_event_names_the_host_that_refused_a_permit(
    autojump_clock, monkeypatch
):
    events = []
    record_event = lambda text, event=None, *_: events.append(event)  # noqa: E731
    monkeypatch.setattr(logging, "info", record_event)
    async with serving([Upstream(lambda now: 1.0), Upstream()], 3) as world:
        await Load(world).run(3.0)
        owner = owner_of_permits(world, "plain0")
    held = [each for each in events if isinstance(each, UpstreamHeld)]
    assert {each.upstream for each in held} == {"plain0"}
    assert {each.asked for each in held} == {owner}
    assert all(each.for_ms > 0 for each in held)


async def test_requests_beyond_all_limits_are_refused_at_once(autojump_clock):
    async with serving([Upstream(lambda now: 2.0)], 7) as world:
        load = Load(world, rate=20.0)
        await load.run(20.0)
        assert set(load.statuses) == {200, 503}
        assert load.statuses.count(200) >= 0.8 * 2.0 * 20.0
        assert max(load.waits) <= 0.5
        assert all(0.0 < each <= 2.0 for each in load.retry_after)


async def test_ended_limit_no_longer_applies(autojump_clock):
    limited = Upstream(lambda now: 1.0 if now < 20.0 else None)
    async with serving([limited, Upstream()], 7) as world:
        await trio.sleep_until(10.0)
        await Load(world).run(30.0)
        assert limited.most_in_window(13.0, 20.0) <= allowed(1.0)
        assert limited.rate(26.0, 40.0) >= 15.0


async def test_lowered_limit_applies(autojump_clock):
    limited = Upstream(lambda now: 8.0 if now < 20.0 else 1.0)
    async with serving([limited, Upstream()], 7) as world:
        await trio.sleep_until(10.0)
        await Load(world).run(30.0)
        assert limited.most_in_window(13.0, 20.0) <= allowed(8.0)
        assert limited.most_in_window(20.0 + SETTLING_SECONDS) <= allowed(1.0)
        assert limited.rate(26.0, 40.0) >= 0.8


async def test_limit_of_zero_stops_requests_until_it_ends(autojump_clock):
    limited = Upstream(lambda now: 0.0 if now < 30.0 else None)
    async with serving([limited, Upstream()], 7) as world:
        await trio.sleep_until(10.0)
        await Load(world).run(40.0)
        assert limited.most_in_window(13.0, 30.0) <= 2
        assert limited.rate(41.0, 50.0) >= 15.0


async def test_hosts_learn_a_limit_from_another_hosts_answer(autojump_clock):
    """An upstream's answer to one host is enough to inform all hosts."""
    limited = Upstream(lambda now: 1.0)
    async with serving([limited, Upstream()], 40) as world:
        load = Load(world, rate=40.0)
        begin = trio.current_time()
        await load.run(6.0)
        assert limited.most_in_window(begin + 0.5) <= allowed(1.0)


@pytest.mark.parametrize("unreachable_count", [1, 2])
async def test_limit_holds_while_hosts_disagree_on_the_owner(
    autojump_clock, unreachable_count
):
    """Partitioned control hosts name different sets of entry hosts as owners."""
    limited = Upstream(lambda now: 8.0)
    async with serving([limited, Upstream()], 12) as world:
        ranked = world.entries["e0:1"]._permits._owners.ranked("plain0")
        for name in sorted(world.entries)[::2]:
            owners = world.entries[name]._permits._owners
            owners._names = lambda: ranked[unreachable_count:]
        begin = trio.current_time()
        await Load(world, rate=80.0).run(20.0)
        assert limited.most_in_window(begin + SETTLING_SECONDS) <= allowed(8.0)
        assert limited.rate(begin + 5.0, begin + 20.0) >= 0.8 * 8.0


@pytest.mark.parametrize("fault", ["killed", "isolated", "frozen"])
async def test_limit_holds_while_the_owner_is_lost(autojump_clock, fault):
    limited = Upstream(lambda now: 1.0)
    async with serving([limited, Upstream(), Upstream()], 7) as world:
        load = Load(world)
        async with trio.open_nursery() as nursery:
            begin = trio.current_time()
            nursery.start_soon(load.run, 25.0)
            await trio.sleep(8.0)
            lose(world, owner_of_permits(world, "plain0"), fault)
        assert limited.most_in_window(begin + SETTLING_SECONDS) <= allowed(1.0)
        assert limited.rate(begin + 15.0, begin + 25.0) >= 0.5


async def test_limit_holds_while_control_hosts_are_down_and_hosts_restart(
    autojump_clock,
):
    limited = Upstream(lambda now: 1.0)
    async with serving([limited, Upstream(), Upstream()], 7) as world:
        load = Load(world)
        async with trio.open_nursery() as nursery:
            begin = trio.current_time()
            nursery.start_soon(load.run, 25.0)
            await trio.sleep(8.0)
            for name in list(world.controls):
                world.kill(name)
            await trio.sleep(5.0)
            for name in ("c0:1", "c1:1", "c2:1"):
                await world.start_control(name, SEEDS, is_first=False)
            await trio.sleep(3.0)
            world.kill("e3:1")
            await world.start_entry("e3:1", SEEDS)
        assert limited.most_in_window(begin + SETTLING_SECONDS) <= allowed(1.0)


async def test_restarted_upstream_loses_its_previous_limit(autojump_clock):
    restarted = Upstream(lambda now: 1.0 if now < 20.0 else None)
    async with serving([restarted, Upstream()], 7) as world:
        await trio.sleep_until(10.0)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(Load(world).run, 15.0)
            await trio.sleep_until(20.0)
            await world.announce("c1:1", "plain0", "plain", incarnation=7)
        assert restarted.rate(20.5, 25.0) >= 15.0
