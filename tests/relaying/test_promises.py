"""Statuses that promise a caller that its request hasn't run and never will."""

import json

import pytest
import trio
from absl import logging
from hypothesis import HealthCheck, Phase, given, settings, strategies as st
from trio.testing import MockClock

from pepperstep.fakes.relaying import LinkCut, Reply, Sent
from pepperstep.observability.decisions import (
    RequestEnded,
    RequestFailed,
    RequestRefused,
)
from pepperstep.ports.exchange import AnswerHead, Header, RequestHead
from tests.relaying.upstreams import serving
from tests.relaying.world import document, request

PROPERTY = settings(
    max_examples=60,
    derandomize=True,
    deadline=None,
    # An example takes too long to be shrunk.
    phases=(Phase.explicit, Phase.generate),
    suppress_health_check=list(HealthCheck),
)
ID = b"pepperstep-attempt-id"
SEAL = (b"pepperstep-replica-seal", b"3e1b.07")
NOT_EXECUTED = (b"pepperstep-not-executed", b"1")
RUN_ONCE = ("/unsafe/1", "/stream/1")
REPEATABLE = ("/safe/1", "/resumable/1")

headers = st.sets(
    st.sampled_from(
        (
            (b"retry-after", b"0.2"),
            (b"content-type", b"text/event-stream"),
            (b"content-length", b"5"),
            (b"connection", b"close"),
        )
    )
)


class Upstream:
    """Runs each request, and answers with one status and its seal."""

    def __init__(self, status: int, *headers: Header, states_not_run: bool = False):
        self.status = status
        self.headers = headers
        self.states_not_run = states_not_run
        self.runs = 0

    def answer(self, sent: Sent) -> Reply:
        """Answer a request."""
        stated = (NOT_EXECUTED,) if self.states_not_run else ()
        self.runs += not self.states_not_run
        echoed = (ID, sent.head.first(ID))
        head = AnswerHead(self.status, (echoed, SEAL, *stated, *self.headers))
        return Reply(head, (b"busy\n",))


async def allow_attempts(world, count: int) -> None:
    """Let each route send a request to several upstreams."""
    table = json.loads(document(2))
    for route in table["routes"]:
        route["max_attempts"] = count
    await world.put(2, json.dumps(table).encode())
    await trio.sleep(1.0)


def numbered(path: str, number: int) -> RequestHead:
    """Return a request with an id of its own."""
    head = request(path)
    kept = [each for each in head.headers if each[0] != ID]
    return RequestHead(head.method, head.target, (*kept, (ID, b"id-%d" % number)))


@PROPERTY
@given(st.sampled_from((408, 429, 503)), headers, st.sampled_from(RUN_ONCE))
def test_upstream_that_ran_a_request_makes_no_promise(status, headers, path):
    """Guards against a caller that repeats a request which has run."""

    async def main() -> None:
        upstreams = [Upstream(status, *sorted(headers)) for _ in range(2)]
        async with serving(upstreams, entries=1) as world:
            await allow_attempts(world, 2)
            exchange = await world.ask("e0:1", request(path))
        assert sum(each.runs for each in upstreams) == 1
        assert exchange.status == 502
        # An upstream's seal stands for the status that it gave.
        assert not exchange.answer_head.first(SEAL[0])

    trio.run(main, clock=MockClock(autojump_threshold=0))


@pytest.mark.parametrize("status", [400, 404, 409, 422, 500, 501, 502, 504])
@pytest.mark.parametrize("path", RUN_ONCE)
async def test_upstream_status_that_promises_nothing_is_kept(
    autojump_clock, status, path
):
    upstream = Upstream(status)
    async with serving([upstream], entries=1) as world:
        exchange = await world.ask("e0:1", request(path))
    assert (exchange.status, exchange.received) == (status, b"busy\n")
    assert exchange.answer_head.first(SEAL[0]) == SEAL[1]


@pytest.mark.parametrize("status", [408, 429, 503])
@pytest.mark.parametrize("path", REPEATABLE)
async def test_status_of_a_repeatable_request_is_kept(autojump_clock, status, path):
    async with serving([Upstream(status)], entries=1) as world:
        exchange = await world.ask("e0:1", request(path))
    assert (exchange.status, exchange.received) == (status, b"busy\n")
    assert exchange.answer_head.first(SEAL[0]) == SEAL[1]


@pytest.mark.parametrize("status", [400, 408, 421, 429, 503])
@pytest.mark.parametrize("path", RUN_ONCE)
async def test_stated_refusal_is_a_promise(autojump_clock, status, path):
    async with serving([Upstream(status, states_not_run=True)], entries=1) as world:
        exchange = await world.ask("e0:1", request(path))
    assert exchange.status == 503


@pytest.mark.parametrize("cut", [{"breaks": True}, {"pause": 30.0}])
@pytest.mark.parametrize("path", RUN_ONCE)
async def test_refusal_is_a_promise_although_its_body_is_cut(autojump_clock, cut, path):
    """Guards against a caller that can't repeat a request which was refused."""

    def refuse(sent: Sent) -> Reply:
        headers = ((ID, sent.head.first(ID)), SEAL, NOT_EXECUTED)
        return Reply(AnswerHead(503, headers), (b"busy\n",), **cut)

    async with serving([Upstream(503)], entries=1) as world:
        for service in ("plain0:80", "model0:80"):
            world.connector.scripts[service] = refuse
        exchange = await world.ask("e0:1", request(path))
    assert exchange.status == 503
    assert not exchange.answer_head.first(SEAL[0])


@pytest.mark.parametrize("status", [408, 429])
async def test_upstream_with_a_status_of_its_own_stays_in_use(autojump_clock, status):
    """Guards against a pause of an upstream that refuses one caller's requests."""
    upstreams = [Upstream(status), Upstream(200)]
    async with serving(upstreams, entries=1) as world:
        for number in range(60):
            exchange = await world.ask("e0:1", numbered("/unsafe/1", number))
            assert exchange.status in (200, 502)
    assert upstreams[0].runs >= 15


async def test_upstream_with_a_503_of_its_own_is_paused(autojump_clock):
    """Guards against requests to an upstream that fails all of them."""
    upstreams = [Upstream(503), Upstream(200)]
    async with serving(upstreams, entries=1) as world:
        for number in range(60):
            await world.ask("e0:1", numbered("/unsafe/1", number))
    assert upstreams[0].runs <= 5


@pytest.mark.parametrize("status", [408, 429, 500, 503])
async def test_failure_at_once_teaches_no_prefill_rate(autojump_clock, status):
    """Guards against predictions from upstreams that fail before they read a prompt."""
    parts = (b"pepperstep-prompt-prefix", b"a1:4000,b2:2000")
    async with serving([Upstream(status)], entries=1) as world:
        chooser = world.entries["e0:1"]._chooser
        before = chooser._prefill_rate_of("model").tokens_per_second
        for number in range(5):
            head = numbered("/stream/1", number)
            head = RequestHead(head.method, head.target, (*head.headers, parts))
            await world.ask("e0:1", head)
            await trio.sleep(60.0)
        assert chooser._prefill_rate_of("model").tokens_per_second == before


@pytest.mark.parametrize("status", [408, 429, 503])
async def test_request_whose_answer_is_withheld_is_in_the_usage(
    autojump_clock, monkeypatch, status
):
    """Guards against runs that are missing in the usage report."""
    counted = []
    async with serving([Upstream(status)], entries=1) as world:
        counts = world.entries["e0:1"]._counts
        monkeypatch.setattr(counts, "record_run", counted.append)
        await world.ask("e0:1", request("/unsafe/1"))
    assert counted == ["desk"]


async def cut_off(world) -> None:
    """Cut one of two hosts off from all upstreams, so that it forwards requests."""
    world.connector.cut("e0:1", LinkCut.RESET)
    await world.ask("e0:1", numbered("/safe/1", 1000))
    await trio.sleep(1.5)


@pytest.mark.parametrize("status", [408, 429, 503])
@pytest.mark.parametrize("path", (*RUN_ONCE, *REPEATABLE))
async def test_forwarded_request_that_ran_gets_no_promise(autojump_clock, status, path):
    """Guards against a status that one host takes for another host's refusal."""
    upstream = Upstream(status, (b"forwarded-refused", b"1"))
    async with serving([upstream], entries=2) as world:
        await cut_off(world)
        exchange = await world.ask("e0:1", numbered(path, 1))
    assert exchange.status == (502 if path in RUN_ONCE else status)


@pytest.mark.parametrize("status", [408, 429, 503])
async def test_upstream_cannot_mark_a_refusal(autojump_clock, status):
    """Guards against an upstream's mark, passed on by a host with other routes."""
    upstream = Upstream(status, (b"forwarded-refused", b"1"))
    async with serving([upstream], entries=2) as world:
        await cut_off(world)
        world.cut_off("e0:1")
        table = json.loads(document(2))
        for route in table["routes"]:
            if route["name"] == "unsafe":
                route["kind"] = "safe"
        await world.put(2, json.dumps(table).encode())
        await trio.sleep(1.0)
        versions = [each.tables.current.version for each in world.entries.values()]
        assert versions == [1, 2]
        before = upstream.runs
        exchange = await world.ask("e0:1", numbered("/unsafe/1", 1))
    assert upstream.runs > before
    assert exchange.status == 502


@pytest.mark.parametrize("path", RUN_ONCE)
async def test_refusal_of_a_forwarded_request_is_a_promise(autojump_clock, path):
    """Guards against a refusal whose caller is told that its request may have run."""
    async with serving([Upstream(503, states_not_run=True)], entries=2) as world:
        await cut_off(world)
        exchange = await world.ask("e0:1", numbered(path, 1))
    assert exchange.status == 503
    assert not exchange.answer_head.first(b"forwarded-refused")


async def test_failure_that_was_sent_is_not_cut_off(autojump_clock):
    """Guards against a reset behind a whole answer, which callers may lose then.

    The host learns during the attempt that it's cut off, and the host that it forwards
    the request to refuses it.
    """

    def fail(sent: Sent) -> Reply:
        refused = sent.host != "e0:1"
        stated = (NOT_EXECUTED,) if refused else ()
        head = AnswerHead(500, ((ID, sent.head.first(ID)), SEAL, *stated))
        return Reply(head, (b"busy\n",), delay=0.0 if refused else 0.8)

    async with serving([Upstream(200)], entries=2) as world:
        await world.ask("e0:1", numbered("/safe/1", 1))
        world.connector.scripts["plain0:80"] = fail
        world.connector.cut("e0:1", LinkCut.REFUSE_NEW)
        async with trio.open_nursery() as nursery:
            # It needs a new connection.
            nursery.start_soon(world.ask, "e0:1", numbered("/safe/1", 2))
            exchange = await world.ask("e0:1", numbered("/safe/1", 3))
    assert exchange.status == 500
    assert exchange.is_complete and not exchange.is_aborted


@pytest.fixture
def events(monkeypatch) -> list:
    """Return the list of the events that are logged from now on."""
    found = []
    monkeypatch.setattr(logging, "info", lambda text, *values: found.extend(values))
    return found


def statuses_in(world, entry: str) -> list[str]:
    """Return the lines of a host's metric of statuses."""
    text = world.entries[entry].metrics.render().decode()
    return [line for line in text.splitlines() if "pepperstep_statuses_total{" in line]


async def test_log_tells_who_gave_a_status(autojump_clock, events):
    upstreams = {
        "own": Upstream(500),
        "refused": Upstream(503, states_not_run=True),
    }
    found = {}
    for name, upstream in upstreams.items():
        async with serving([upstream], entries=1) as world:
            await world.ask("e0:1", request("/unsafe/1"))
            found[name] = statuses_in(world, "e0:1")
    [failed, refusal] = [each for each in events if isinstance(each, RequestFailed)]
    assert (failed.status, failed.states_not_run) == (500, False)
    assert (refusal.status, refusal.states_not_run) == (503, True)
    [ended] = [each for each in events if isinstance(each, RequestEnded)]
    assert (ended.status, ended.upstream) == (500, "plain0")
    [refused] = [each for each in events if isinstance(each, RequestRefused)]
    assert (refused.status, refused.attempts) == (503, 1)
    assert (refused.upstream, refused.upstream_status) == ("plain0", 503)
    counter = 'pepperstep_statuses_total{source="%s",status="%d"} 1.0'
    assert found["own"] == [counter % ("upstream", 500)]
    assert found["refused"] == [counter % ("host", 503)]


async def test_log_tells_the_status_of_a_success(autojump_clock, events):
    async with serving([Upstream(200)], entries=1) as world:
        await world.ask("e0:1", request("/unsafe/1"))
        assert not statuses_in(world, "e0:1")
    [ended] = [each for each in events if isinstance(each, RequestEnded)]
    assert ended.status == 200


async def test_status_is_logged_with_its_own_upstream(
    autojump_clock, events, monkeypatch
):
    """Guards against a line that gives an upstream the status of another one."""
    async with serving([Upstream(500), Upstream(500)], entries=1) as world:
        budget = world.entries["e0:1"].relay._budget
        monkeypatch.setattr(budget, "try_spend", lambda service: False)
        await world.ask("e0:1", request("/safe/1"))
    failed = [each for each in events if isinstance(each, RequestFailed)]
    assert failed[1].reason == "no retry budget"
    assert [each.status for each in failed] == [500, 0]


async def test_refusal_names_no_upstream_that_has_not_answered(autojump_clock, events):
    """Guards against a status that seems to be the latest upstream's."""
    broken, own = Upstream(200), Upstream(503, states_not_run=True)
    broken.answer = lambda sent: Reply(None)
    async with serving([broken], entries=1) as world:
        await world.ask("e0:1", request("/unsafe/1"))
    async with serving([own, broken], entries=1) as world:
        await allow_attempts(world, 2)
        for number in range(10):
            await world.ask("e0:1", numbered("/unsafe/1", number))
            await trio.sleep(10.0)
    refused = [each for each in events if isinstance(each, RequestRefused)]
    assert {(each.upstream, each.upstream_status) for each in refused} <= {
        ("", 0),
        ("plain0", 503),
    }
    assert (refused[0].upstream, refused[0].upstream_status) == ("", 0)


async def test_status_of_a_forwarded_request_is_counted_once(autojump_clock):
    """Guards against callers that seem to get each error of another host twice."""
    async with serving([Upstream(500)], entries=2) as world:
        await cut_off(world)
        before = {name: statuses_in(world, name) for name in world.entries}
        await world.ask("e0:1", numbered("/unsafe/1", 1))
        after = {name: statuses_in(world, name) for name in world.entries}
    assert 'pepperstep_statuses_total{source="peer",status="500"} 1.0' in after["e0:1"]
    assert before["e1:1"] == after["e1:1"]
