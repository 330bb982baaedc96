"""Arbitrary answers of upstreams and the platform.

A damaged answer must raise one of the port's errors. Any other exception would end
the host that reads the answer.
"""

import json
import math

import httpcore
import pytest
import trio
from hypothesis import HealthCheck, given, settings, strategies as st
from trio.testing import MockClock

from pepperstep.adapters.http_cloud import HttpCloud
from pepperstep.adapters.http_upstreams import HttpUpstreams
from pepperstep.adapters.http_weights import HttpWeights
from pepperstep.entities import ModelKey, Priority, Request, RequestKind, Upstream
from pepperstep.entities.upstream import UpstreamKind
from pepperstep.ports.cloud import Offer, PriceClass, StartRefused
from pepperstep.ports.upstreams import (
    EndMark,
    GenerateOrder,
    OrderKind,
    TokenChunk,
    UpstreamFault,
    UpstreamLost,
    UpstreamOrder,
    UpstreamRefused,
)
from tests.fuzz.messages import cut_or_flipped

FUZZ = settings(
    max_examples=150,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
KEY = ModelKey("zaseki-7b", "", "1")
UPSTREAM = Upstream("engine-0", 1, "10.0.0.1:80", UpstreamKind.ENGINE, "a", "hall")
ORDER = GenerateOrder("a.1", KEY, "Seat them.", (), 3, 1, 0)
REQUEST = Request(
    id="a.1",
    workspace="planners",
    kind=RequestKind.SERVICE,
    target="venue-desk",
    priority=Priority.INTERACTIVE,
    deadline=1e9,
    method="POST",
    path="/x",
    body=b"{}",
)
OFFER = Offer("hall", "a1", PriceClass.RECLAIMABLE, 1.0)
MAX_NUMBER = 2**63 - 1


async def generate(client: HttpUpstreams) -> None:
    async with client.generate(UPSTREAM, ORDER) as chunks:
        async for chunk in chunks:
            assert isinstance(chunk, TokenChunk | EndMark)
            if isinstance(chunk, TokenChunk):
                assert "".join(chunk.tokens).encode() is not None
            else:
                numbers = (chunk.count, chunk.computed_tokens, chunk.cached_tokens)
                assert all(0 <= number <= MAX_NUMBER for number in numbers)


async def read_state(client: HttpUpstreams) -> None:
    state = await client.read_state(UPSTREAM)
    assert 0 <= state.fence <= MAX_NUMBER


async def export(client: HttpUpstreams) -> None:
    export = await client.export_cache(UPSTREAM, "a.1", UPSTREAM)
    assert 0 <= export.size_bytes <= MAX_NUMBER


async def list_notices(client: HttpCloud) -> None:
    for notice in await client.list_notices(0):
        assert 0 < notice.id <= MAX_NUMBER


async def weights_rate(client: HttpWeights) -> None:
    assert await client.rate() > 0


EVENTS = (
    b'data: {"attempt_id": "a.1", "position": 0, "tokens": ["a ", "b "]}\n\n'
    b'data: {"attempt_id": "a.1", "position": 2, "tokens": ["c"]}\n\n'
    b'data: {"attempt_id": "a.1", "count": 3, "finish": "stop"}\n\n'
)
STATE = {
    "epoch": 1,
    "models": [{"model": "m", "adapter": "", "version": "1"}],
    "role": "mixed",
    "is_leaving": False,
    "fence": 4,
    "last_order": "o",
}
HOST = {
    "id": "h",
    "token": "t",
    "zone": "hall",
    "machine": "a1",
    "price_class": "reclaimable",
    "price": 1.0,
    "state": "running",
}
OFFERS = [{key: HOST[key] for key in ("zone", "machine", "price_class", "price")}]
# Call of an upstream, and the body of a valid answer.
UPSTREAM_CALLS = {
    "generate": (generate, EVENTS),
    "cancel": (lambda c: c.cancel(UPSTREAM, "a.1"), b'{"is_ended": true}'),
    "export": (export, b'{"tokens": 3, "size_bytes": 9}'),
    "service": (lambda c: c.call_service(UPSTREAM, REQUEST, "a.1"), b"quote"),
    "order": (
        lambda c: c.send_order(UPSTREAM, UpstreamOrder("o", OrderKind.DRAIN, 4)),
        b"{}",
    ),
    "state": (read_state, json.dumps(STATE).encode()),
}
# Client, call of the platform, and the body of a valid answer.
PLATFORM_CALLS = {
    "offers": (HttpCloud, lambda c: c.list_offers(), {"offers": OFFERS}),
    "hosts": (HttpCloud, lambda c: c.list_hosts(), {"hosts": [HOST]}),
    "start": (HttpCloud, lambda c: c.start_host("t", OFFER, "d"), HOST),
    "stop": (HttpCloud, lambda c: c.stop_host("h"), {}),
    "notices": (
        HttpCloud,
        list_notices,
        {"notices": [{"id": 3, "host_id": "h", "at": 5.0}]},
    ),
    "rate": (HttpWeights, weights_rate, {"bytes_per_second": 5.0}),
    "size": (HttpWeights, lambda c: c.size_bytes("m", "1"), {"size_bytes": 5}),
}


class Answering(httpcore.AsyncNetworkBackend):
    """Network whose connections all send the same parts, then close or hang."""

    def __init__(self, parts: list[bytes], is_silent: bool):
        self._parts = parts
        self._is_silent = is_silent

    async def connect_tcp(self, host, port, *args, **options):
        return _Connection(list(self._parts), self._is_silent)


class _Connection(httpcore.AsyncNetworkStream):
    def __init__(self, parts: list[bytes], is_silent: bool):
        self.period = 0.0
        self._parts = parts
        self._is_silent = is_silent

    async def read(self, max_bytes, timeout=None):
        await trio.lowlevel.checkpoint()
        if self._parts:
            part = self._parts.pop(0)
            if len(part) > max_bytes:
                self._parts.insert(0, part[max_bytes:])
            return part[:max_bytes]
        if self._is_silent:
            with trio.move_on_after(timeout or math.inf):
                await trio.sleep_forever()
            raise httpcore.ReadTimeout
        return b""

    async def write(self, buffer, timeout=None):
        await trio.lowlevel.checkpoint()

    async def aclose(self):
        pass

    def get_extra_info(self, info):
        return None


HEADERS = st.sampled_from(
    [
        b"Retry-After: nan",
        b"Retry-After: -1",
        b"Retry-After: 1e999",
        b"Retry-After: 3",
        b"Retry-After: soon",
        b"Content-Type: \xff",
        b"X-Attempt-Id: other",
        b"X-Not-Run: 1",
        b"Transfer-Encoding: chunked",
        b"Content-Length: 7",
        b"Content-Length: -7",
        b"Content-Encoding: gzip",
    ]
)
STATUSES = st.sampled_from([200, 200, 200, 204, 302, 404, 409, 429, 500, 503])


@st.composite
def answers(draw, good: bytes) -> list[bytes]:
    """Draw the parts of an HTTP answer whose head, body or end may be damaged."""
    body = draw(
        st.just(good)
        | cut_or_flipped(good)
        | st.binary(max_size=40)
        | _with_extreme_numbers(good)
        | st.just(good + good)
    )
    lines = [b"HTTP/1.1 %d X" % draw(STATUSES), *draw(st.lists(HEADERS, max_size=2))]
    if draw(st.booleans()):
        lines.append(b"Content-Length: %d" % len(body))
    message = b"\r\n".join(lines) + b"\r\n\r\n" + body
    if draw(st.integers(0, 3)) == 0:
        message = draw(cut_or_flipped(message))
    split_at = draw(st.integers(0, len(message)))
    return [part for part in (message[:split_at], message[split_at:]) if part]


def _with_extreme_numbers(good: bytes) -> st.SearchStrategy[bytes]:
    numbers = st.sampled_from([b"-1", b"1e400", b"9" * 30, b"0.5", b"null", b"[]"])
    return numbers.map(lambda n: good.replace(b": 3", b": " + n).replace(b": 4", n))


def run(call, client) -> Exception | None:
    async def ask() -> None:
        with trio.fail_after(100):
            await call(client)

    try:
        trio.run(ask, clock=MockClock(autojump_threshold=0))
    except (UpstreamFault, StartRefused, OSError, KeyError) as error:
        return error
    return None


@FUZZ
@pytest.mark.parametrize("name", UPSTREAM_CALLS)
@given(data=st.data(), is_silent=st.booleans())
def test_any_answer_of_an_upstream(name, data, is_silent):
    call, good = UPSTREAM_CALLS[name]
    client = HttpUpstreams("key")
    client._backend = Answering(data.draw(answers(good)), is_silent)
    error = run(call, client)
    assert error is None or isinstance(error, UpstreamLost | UpstreamRefused)
    retry_after = getattr(error, "retry_after", None)
    assert retry_after is None or 0 <= retry_after < math.inf


@FUZZ
@pytest.mark.parametrize("name", PLATFORM_CALLS)
@given(data=st.data(), is_silent=st.booleans())
def test_any_answer_of_the_platform(name, data, is_silent):
    client_type, call, good = PLATFORM_CALLS[name]
    parts = data.draw(answers(json.dumps(good).encode()))
    client = client_type("http://10.0.0.1:80")
    client._client._pool._network_backend = Answering(parts, is_silent)
    error = run(call, client)
    assert error is None or isinstance(error, StartRefused | OSError | KeyError)
    assert not isinstance(error, KeyError) or name == "size"
    assert not isinstance(error, StartRefused) or 0 <= error.retry_after < math.inf


HEAD = b"HTTP/1.1 200 OK\r\n\r\n"
HUGE = b": " + b"9" * 30


@pytest.mark.parametrize(
    "parts",
    [
        [b"data: " + b"x" * 2**20] * 2,
        [b"x" * 2**21],
        [EVENTS, EVENTS],
        [EVENTS.replace(b"c", b"\\ud800")],
        [EVENTS.replace(b"c", b"\xff")],
        [EVENTS.replace(b": 3", HUGE)],
        [EVENTS.replace(b": 3", b": -3")],
    ],
    ids=["endless", "huge", "twice", "half of a pair", "no UTF-8", "count", "sign"],
)
def test_damaged_streams_raise_upstream_lost(parts):
    client = HttpUpstreams("key")
    client._backend = Answering([HEAD, *parts], False)
    assert isinstance(run(generate, client), UpstreamLost)


@pytest.mark.parametrize("status", [400, 404, 421, 429, 503])
@pytest.mark.parametrize(
    ("echoed", "error_type"),
    [(b"a.0", UpstreamLost), (b"a.1", UpstreamRefused), (b"", UpstreamRefused)],
)
def test_refusal_counts_only_for_its_own_call(status, echoed, error_type):
    """Guards against a second run of a call since an earlier one was refused."""
    lines = [b"HTTP/1.1 %d X" % status, b"X-Not-Run: 1", b"Content-Length: 0"]
    lines += [b"X-Attempt-Id: " + echoed] if echoed else []
    client = HttpUpstreams("key")
    client._backend = Answering([b"\r\n".join(lines) + b"\r\n\r\n"], False)
    error = run(UPSTREAM_CALLS["service"][0], client)
    expected = UpstreamLost if status in (400, 421) else error_type
    assert type(error) is expected


@pytest.mark.parametrize("value", [b"0", b"false", b"2", b"1, 0"])
@pytest.mark.parametrize("status", [429, 503])
def test_only_the_documented_statement_says_that_a_call_has_not_run(value, status):
    """Guards against a second run of a call whose service denies a refusal."""
    head = b"HTTP/1.1 %d X\r\nX-Not-Run: %s\r\nContent-Length: 0\r\n\r\n"
    client = HttpUpstreams("key")
    client._backend = Answering([head % (status, value)], False)
    answers = []

    async def call(client: HttpUpstreams) -> None:
        answers.append(await client.call_service(UPSTREAM, REQUEST, "a.1"))

    assert run(call, client) is None
    assert [answer.status for answer in answers] == [status]


@pytest.mark.parametrize("client_type", [HttpCloud, HttpWeights])
def test_numbers_too_large_for_a_message_are_an_error(client_type):
    client = client_type("http://10.0.0.1:80")
    body = json.dumps({"notices": [{"id": 10**30, "host_id": "h", "at": 5.0}]})
    backend = Answering([HEAD, body.encode()], False)
    client._client._pool._network_backend = backend
    call = list_notices if client_type is HttpCloud else weights_rate
    assert isinstance(run(call, client), OSError)
