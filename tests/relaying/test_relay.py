"""Answers that callers get, depending on how upstreams handle their requests."""

import json

import pytest
import trio
from absl import logging

from pepperstep.fakes.relaying import FakeExchange, Reply
from pepperstep.observability.decisions import (
    QuotaExceeded,
    RequestChosen,
    RequestEnded,
    RequestFailed,
    RequestRefused,
)
from pepperstep.ports.exchange import AnswerHead, CallerGone
from tests.relaying.world import document, open_world, request

EVENTS = (b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n", b"id: 3\ndata: c\n\n")


def head(status: int, *headers: tuple[bytes, bytes], attempt=b"id-1") -> AnswerHead:
    """Return an upstream's answer head that echoes the request's id."""
    return AnswerHead(status, ((b"pepperstep-attempt-id", attempt), *headers))


def answers(text: bytes, **facts):
    """Return the script of an upstream that answers with `text`."""
    return lambda sent: Reply(head(200), (text,), **facts)


def refuses(sent) -> Reply:
    """Refuse a request, stating that it hasn't run."""
    return Reply(head(503, (b"pepperstep-not-executed", b"1")))


def breaks(sent) -> Reply:
    """Break the connection before the answer."""
    return Reply()


async def serve(world, service: str, *scripts) -> None:
    """Announce one upstream of a service for each script, and wait until all know."""
    for number, script in enumerate(scripts):
        name = f"{service}{number}"
        world.connector.scripts[f"{name}:80"] = script
        await world.announce("c0:1", name, service)
    await trio.sleep(1.0)


async def test_forwarded_request_has_the_systems_headers(autojump_clock):
    async with open_world() as world:
        await serve(world, "plain", answers(b"chart"))
        forged = (b"pepperstep-tenant", b"other"), (b"kv-from", b"x:1/2")
        exchange = await world.ask("e0:1", request("/unsafe/1", *forged), b"body")
        assert (exchange.status, exchange.received) == (200, b"chart")
        [sent] = world.connector.sent
        values = dict(sent.head.headers)
        assert sent.body == b"body"
        assert values[b"pepperstep-tenant"] == b"desk"
        assert values[b"pepperstep-expect-replica"] == b"plain0"
        assert 1300 < int(values[b"pepperstep-deadline-ms"]) <= 1500
        assert b"authorization" not in values and b"kv-from" not in values


async def test_route_and_key_are_checked(autojump_clock):
    async with open_world() as world:
        await serve(world, "plain", answers(b"chart"))
        assert (await world.ask("e0:1", request("/nowhere/1"))).status == 404
        wrong = request("/unsafe/1", key="wrong")
        assert (await world.ask("e0:1", wrong)).status == 401
        assert world.connector.sent == []


async def test_host_without_routes_refuses_with_a_retry_after(autojump_clock):
    async with open_world() as world:
        entry = await world.start_entry("e9:1", ("nobody:1",))
        assert not entry.is_ready
        exchange = await world.ask("e9:1", request("/nowhere/1"))
        assert exchange.status == 503
        assert float(dict(exchange.answer_head.headers)[b"retry-after"]) > 0


async def test_refused_request_is_retried_elsewhere(autojump_clock):
    async with open_world() as world:
        await serve(world, "plain", refuses, refuses, answers(b"chart"))
        statuses = set()
        for _ in range(20):
            exchange = await world.ask("e0:1", request("/safe/1"))
            statuses.add(exchange.status)
        # Both of a request's two attempts may meet an upstream that refuses.
        assert statuses <= {200, 503} and 200 in statuses


async def test_refusal_of_the_only_attempt_says_not_run(autojump_clock):
    async with open_world() as world:
        await serve(world, "plain", refuses)
        exchange = await world.ask("e0:1", request("/unsafe/1"))
        assert exchange.status == 503
        assert b"retry-after" in dict(exchange.answer_head.headers)


async def test_broken_once_only_request_is_never_reported_as_not_run(autojump_clock):
    async with open_world() as world:
        await serve(world, "plain", breaks, answers(b"chart"))
        for _ in range(10):
            exchange = await world.ask("e0:1", request("/unsafe/1"))
            assert exchange.status in (200, 502)
        assert len(world.connector.sent) == 10


async def test_once_only_request_with_attempts_left_runs_once(autojump_clock):
    table = json.loads(document(2))
    for route in table["routes"]:
        route["max_attempts"] = 3
    async with open_world() as world:
        await serve(world, "plain", breaks, answers(b"chart"))
        await world.put(2, json.dumps(table).encode())
        await trio.sleep(1.0)
        for _ in range(10):
            await world.ask("e0:1", request("/unsafe/1"))
        assert len(world.connector.sent) == 10


async def test_broken_repeatable_request_is_retried(autojump_clock):
    async with open_world() as world:
        await serve(world, "plain", breaks, answers(b"chart"))
        for _ in range(10):
            exchange = await world.ask("e0:1", request("/safe/1"))
            assert exchange.status == 200


async def test_upstreams_error_answer_reaches_the_caller(autojump_clock):
    async with open_world() as world:
        seal = (b"pepperstep-replica-seal", b"s")
        await serve(world, "plain", lambda sent: Reply(head(500, seal), (b"oops",)))
        exchange = await world.ask("e0:1", request("/safe/1"))
        assert (exchange.status, exchange.received) == (500, b"oops")
        assert dict(exchange.answer_head.headers)[b"pepperstep-replica-seal"] == b"s"


@pytest.mark.parametrize("path", ["/safe/1", "/unsafe/1", "/stream/1"])
async def test_request_that_failed_at_an_upstream_counts_as_usage(autojump_clock, path):
    """A request counts once, however often it's retried."""
    async with open_world() as world:
        for service in ("plain", "model"):
            fails = [lambda sent: Reply(head(500), (b"oops",))] * 2
            await serve(world, service, *fails)
        assert (await world.ask("e0:1", request(path))).status == 500
        await trio.sleep(1.0)
        assert count_runs(world) == 1


@pytest.mark.parametrize("path", ["/safe/1", "/unsafe/1", "/stream/1"])
async def test_request_whose_answer_was_lost_counts_as_usage(autojump_clock, path):
    """The upstream got the request, and most requests with lost answers have run."""
    async with open_world() as world:
        for service in ("plain", "model"):
            await serve(world, service, breaks, breaks)
        assert (await world.ask("e0:1", request(path))).status == 502
        await trio.sleep(1.0)
        assert count_runs(world) == 1


async def test_request_that_no_upstream_started_does_not_count_as_usage(autojump_clock):
    async with open_world() as world:
        await serve(world, "plain", refuses)
        assert (await world.ask("e0:1", request("/safe/1"))).status == 503
        await trio.sleep(1.0)
        assert count_runs(world) == 0


def count_runs(world) -> int:
    """Return the runs that a control host counts in the latest windows."""
    entries = world.controls["c0:1"].entries
    newest = int(world.timers["c0:1"].wall() // 5)
    windows = (entries.counts_of(newest - age) for age in range(4))
    return sum(sum(counts.values()) for counts in windows)


async def test_truncated_answer_is_not_forwarded(autojump_clock):
    async with open_world() as world:
        await serve(world, "plain", lambda sent: Reply(head(200), (b"ch",), True))
        exchange = await world.ask("e0:1", request("/unsafe/1"))
        assert exchange.status == 502


async def test_late_answer_of_another_request_is_skipped(autojump_clock):
    async with open_world() as world:
        stray = head(200, attempt=b"id-0")
        await serve(world, "plain", answers(b"chart", strays=(stray,)))
        exchange = await world.ask("e0:1", request("/unsafe/1"))
        assert (exchange.status, exchange.received) == (200, b"chart")


async def test_answer_without_the_requests_id_is_refused(autojump_clock):
    async with open_world() as world:
        await serve(world, "plain", lambda sent: Reply(AnswerHead(200, ()), (b"x",)))
        exchange = await world.ask("e0:1", request("/unsafe/1"))
        assert exchange.status == 502


async def test_stream_events_are_forwarded_as_they_arrive(autojump_clock):
    async with open_world() as world:
        await serve(world, "model", lambda s: Reply(head(200), EVENTS, pause=0.1))
        exchange = await world.ask("e0:1", request("/stream/1"))
        assert exchange.pieces == list(EVENTS)
        assert exchange.is_complete


async def test_broken_stream_never_looks_complete(autojump_clock):
    async with open_world() as world:
        await serve(world, "model", lambda s: Reply(head(200), EVENTS[:2], True))
        exchange = await world.ask("e0:1", request("/stream/1"))
        assert exchange.is_aborted and not exchange.is_complete


async def test_broken_stream_resumes_after_the_last_complete_event(autojump_clock):
    def broken_once(sent) -> Reply:
        last = dict(sent.head.headers).get(b"last-event-id")
        if last is None:
            return Reply(head(200), (EVENTS[0], EVENTS[1], EVENTS[2][:6]), True)
        assert last == b"2"
        return Reply(head(200), (EVENTS[2],))

    async with open_world() as world:
        await serve(world, "model", broken_once, broken_once)
        exchange = await world.ask("e0:1", request("/resumable/1"))
        assert exchange.received == b"".join(EVENTS)
        assert exchange.is_complete


async def test_disconnected_caller_ends_the_upstreams_work(autojump_clock):
    async with open_world() as world:
        await serve(world, "model", lambda s: Reply(head(200), EVENTS, pause=0.5))
        async with trio.open_nursery() as nursery:

            async def ask() -> None:
                with pytest.raises(CallerGone):
                    await world.entries["e0:1"].relay.handle(exchange)

            now = trio.current_time()
            exchange = FakeExchange(request("/stream/1"), b"", now)
            nursery.start_soon(ask)
            await trio.sleep(0.6)
            exchange.leave()
        assert trio.current_time() - now < 0.7
        assert world.connector.closed == 1


async def test_silent_upstream_fails_at_the_routes_timeout(autojump_clock):
    async with open_world() as world:
        await serve(world, "plain", answers(b"chart", delay=60.0))
        start = trio.current_time()
        exchange = await world.ask("e0:1", request("/unsafe/1"))
        assert exchange.status == 504
        assert 1.4 < trio.current_time() - start <= 1.5


async def test_retries_stop_when_their_budget_is_exhausted(autojump_clock):
    async with open_world() as world:
        await serve(world, "plain", breaks, breaks)
        for number in range(400):
            await world.ask("e0:1", request("/safe/1"), b"%d" % number)
            await trio.sleep(0.01)
        retries = len(world.connector.sent) - 400
        # A fifth of the requests and half of the allowance of 50.
        assert 0 < retries <= 0.2 * 400 + 25


async def test_quota_holds_across_all_hosts(autojump_clock):
    quota = {"rate_per_s": 10, "burst": 10}
    tenants = [{"name": "desk", "api_keys": ["key-of-desk"], **quota}]
    async with open_world(entries=3) as world:
        await serve(world, "plain", answers(b"chart"))
        await world.put(2, document(2, tenants=tenants))
        await trio.sleep(1.0)
        served = 0
        for turn in range(600):
            entry = f"e{turn % 3}:1"
            exchange = await world.ask(entry, request("/safe/1"))
            served += exchange.status == 200
            assert exchange.status in (200, 429)
            await trio.sleep(0.02)
        # 12 s at 10 a second plus a burst of 10, with a margin for late counts.
        assert 100 <= served <= 150


async def test_first_spending_of_another_host_counts(autojump_clock):
    """Guards against an excess by what each host spends before its first report."""
    tenant = {"name": "desk", "api_keys": ["key-of-desk"], "rate_per_s": 1, "burst": 9}
    async with open_world(entries=2) as world:
        await serve(world, "plain", answers(b"chart"))
        await world.put(2, document(2, tenants=[tenant]))
        await trio.sleep(12.0)
        for _ in range(7):
            assert (await world.ask("e0:1", request("/safe/1"))).status == 200
        await trio.sleep(0.5)
        statuses = [
            (await world.ask("e1:1", request("/safe/1"))).status for _ in range(7)
        ]
        assert statuses.count(200) <= 4


async def test_refusal_by_quota_is_logged_with_its_inputs(autojump_clock, monkeypatch):
    events = []
    monkeypatch.setattr(
        logging, "info", lambda text, *values: events.extend(values), raising=True
    )
    quota = {"rate_per_s": 1, "burst": 1}
    tenants = [{"name": "desk", "api_keys": ["key-of-desk"], **quota}]
    async with open_world() as world:
        await serve(world, "plain", answers(b"chart"))
        await world.put(2, document(2, tenants=tenants))
        await trio.sleep(0.2)
        exchange = await world.ask("e0:1", request("/safe/1"))
        assert exchange.status == 429
    [over] = [each for each in events if isinstance(each, QuotaExceeded)]
    assert (over.request, over.workspace, over.cost) == ("id-1", "desk", 1.0)
    assert over.left - over.reserve < 1.0
    assert over.hosts == 2
    [refused] = [each for each in events if isinstance(each, RequestRefused)]
    assert refused.workspace == "desk"


async def test_quota_of_a_request_that_has_not_run_is_refunded(autojump_clock):
    quota = {"rate_per_s": 10, "burst": 100, "unit": "token_stream"}
    tenants = [{"name": "desk", "api_keys": ["key-of-desk"], **quota}]
    tokens = (b"pepperstep-token-counts", b"40,10")
    async with open_world(entries=1) as world:
        await world.put(2, document(2, tenants=tenants))
        await trio.sleep(10.0)
        statuses = []
        for path in ("/safe/1", "/safe/1", "/safe/1"):
            exchange = await world.ask("e0:1", request(path, tokens))
            statuses.append(exchange.status)
        assert statuses == [503, 503, 503]


async def test_quota_of_the_largest_request_can_be_spent(autojump_clock):
    quota = {"rate_per_s": 1000, "burst": 1000, "unit": "token_stream"}
    tenants = [{"name": "desk", "api_keys": ["key-of-desk"], **quota}]
    async with open_world() as world:
        await serve(world, "plain", answers(b"chart"))
        await world.put(2, document(2, tenants=tenants))
        await trio.sleep(3.0)
        tokens = (b"pepperstep-token-counts", b"900,90")
        exchange = await world.ask("e0:1", request("/safe/1", tokens))
        assert exchange.status == 200


async def test_leaving_upstream_gets_no_new_requests(autojump_clock):
    async with open_world() as world:
        await serve(world, "plain", answers(b"a"), answers(b"b"))
        await world.announce("c2:1", "plain0", "plain", sequence=2, is_leaving=True)
        await trio.sleep(0.5)
        for _ in range(20):
            exchange = await world.ask("e0:1", request("/safe/1"))
            assert exchange.received == b"b"


async def test_document_is_read_back_as_sent(autojump_clock):
    async with open_world() as world:
        await world.put(4)
        data = await world.controls["c1:1"].read_table()
        assert json.loads(data)["version"] == 4


async def test_request_waits_for_routes_that_arrive_soon(autojump_clock):
    async with open_world() as world:
        await serve(world, "plain", answers(b"chart"))
        world.kill("e0:1")
        async with trio.open_nursery() as nursery:
            await world.start_entry("e0:1", ("c0:1", "c1:1", "c2:1"))
            assert not world.entries["e0:1"].is_ready
            statuses = []

            async def ask() -> None:
                exchange = await world.ask("e0:1", request("/safe/1"))
                statuses.append(exchange.status)

            nursery.start_soon(ask)
        assert statuses == [200]


async def test_request_waits_for_an_upstream_that_is_announced_soon(autojump_clock):
    async with open_world() as world:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve, world, "plain", answers(b"chart"))
            exchange = await world.ask("e0:1", request("/unsafe/1"))
        assert exchange.status == 200


async def test_service_without_upstreams_is_refused_as_not_run(autojump_clock):
    async with open_world() as world:
        exchange = await world.ask("e0:1", request("/unsafe/1"))
        assert exchange.status == 503


async def test_workspace_within_its_quota_is_not_refused(autojump_clock):
    quota = {"rate_per_s": 40, "burst": 40}
    tenants = [{"name": "desk", "api_keys": ["key-of-desk"], **quota}]
    async with open_world(entries=3) as world:
        await serve(world, "plain", answers(b"chart"))
        await world.put(2, document(2, tenants=tenants))
        await trio.sleep(2.0)
        statuses = []
        # Half of the quota's rate, but in bursts of eight at a single host.
        for turn in range(20):
            for _ in range(8):
                exchange = await world.ask(f"e{turn % 3}:1", request("/safe/1"))
                statuses.append(exchange.status)
            await trio.sleep(0.4)
        assert statuses.count(200) == len(statuses)


@pytest.mark.parametrize("status", [200, 504])
async def test_answer_just_before_the_deadline_is_sent_completely(
    autojump_clock, status
):
    class SlowExchange(FakeExchange):
        async def answer(self, answer) -> None:
            self.has_begun = True
            await trio.sleep(0.05)
            await super().answer(answer)

    async with open_world() as world:
        late = lambda sent: Reply(head(status), (b"x",), delay=1.46)  # noqa: E731
        await serve(world, "plain", late)
        exchange = SlowExchange(request("/unsafe/1"), b"", trio.current_time())
        await world.entries["e0:1"].relay.handle(exchange)
        assert (exchange.status, exchange.is_aborted) == (status, False)
        assert exchange.is_complete


@pytest.mark.parametrize("status", [500, 504, 400, 302])
async def test_error_answer_does_not_continue_a_broken_stream(autojump_clock, status):
    """Guards against a truncated stream that looks complete to its caller.

    An upstream crashed in the middle of a stream, and the upstream that should resume
    the stream answered 500 within a millisecond. The error's body was forwarded as the
    rest and the stream was ended as complete, so the caller got its first events and
    its end with the rest missing. An error's body must not continue a stream.
    """

    def broken_then_failing(sent) -> Reply:
        if b"last-event-id" not in dict(sent.head.headers):
            return Reply(head(200), (EVENTS[0], EVENTS[1][:6]), True)
        return Reply(head(status), (b"failed\n\n",))

    async with open_world() as world:
        await serve(world, "model", broken_then_failing, broken_then_failing)
        exchange = await world.ask("e0:1", request("/resumable/1"))
        assert exchange.received == EVENTS[0]
        assert exchange.is_aborted and not exchange.is_complete


async def test_large_answer_that_breaks_off_is_not_restarted(autojump_clock):
    piece = 64 * 1024 * b"x"

    def breaks_off(sent) -> Reply:
        return Reply(head(200), (piece,) * 8, True)

    async with open_world() as world:
        await serve(world, "plain", breaks_off, breaks_off)
        exchange = await world.ask("e0:1", request("/safe/1"))
        assert len(world.connector.sent) == 1
        assert exchange.is_aborted and not exchange.is_complete


async def test_line_of_a_broken_attempt_has_the_digest_of_its_content(
    autojump_clock, monkeypatch
):
    events = []
    monkeypatch.setattr(logging, "info", lambda text, *fields: events.extend(fields))
    async with open_world(entries=2) as world:
        await serve(world, "plain", breaks)
        for entry, body in (("e0:1", b"a"), ("e1:1", b"a"), ("e1:1", b"b")):
            await world.ask(entry, request("/unsafe/1"), body)
    first, second, other = [
        each.content for each in events if isinstance(each, RequestFailed)
    ]
    assert first == second != other


async def test_log_tells_how_an_answer_was_framed(autojump_clock, monkeypatch):
    events = []
    monkeypatch.setattr(logging, "info", lambda text, *values: events.extend(values))
    framed = (b"transfer-encoding", b"chunked")
    scripts = [
        lambda sent: Reply(head(200), EVENTS),
        lambda sent: Reply(head(200, framed), EVENTS),
    ]
    async with open_world() as world:
        await serve(world, "model", *scripts)
        for _ in range(20):
            await world.ask("e0:1", request("/stream/1"))
    ended = [each for each in events if isinstance(each, RequestEnded)]
    assert {each.framing for each in ended} == {"close", "chunked"}


async def test_log_tells_at_which_version_a_stream_is_resumed(
    autojump_clock, monkeypatch
):
    events = []
    monkeypatch.setattr(logging, "info", lambda text, *values: events.extend(values))
    async with open_world() as world:
        await serve(world, "model", lambda sent: Reply(head(200), EVENTS[1:]))
        await world.announce("c0:1", "model0", "model", sequence=2, software="v1")
        await trio.sleep(1.0)
        await world.ask("e0:1", request("/resumable/1"))
        resumed = (b"last-event-id", b"1"), (b"resumes", b"id-1")
        await world.ask("e0:1", request("/resumable/1", *resumed))
    chosen = [each for each in events if isinstance(each, RequestChosen)]
    found = [(each.software, each.last_event, each.resumes) for each in chosen]
    assert found == [("v1", "", ""), ("v1", "1", "id-1")]
