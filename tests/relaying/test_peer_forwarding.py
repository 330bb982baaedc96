"""Both ends of the forwarding between entry hosts, over loopback sockets."""

import random
from dataclasses import dataclass

import pytest
import trio

from pepperstep.adapters.http1 import Http1Connector
from pepperstep.adapters.timers import TrioTimers
from pepperstep.coordination import StreamOrigin
from pepperstep.entities.routes import Repetition, Route, Service, Share
from pepperstep.fakes.relaying import FakeExchange
from pepperstep.observability.relay_metrics import RelayMetrics
from pepperstep.platform import PlatformWire
from pepperstep.ports.exchange import Answer, AnswerHead, CallerGone, RequestHead
from pepperstep.relay.attempt import Outcome
from pepperstep.relay.peer_forwarding import (
    Declined,
    ForwardedRequests,
    PeerForwarder,
)
from pepperstep.relay.promises import mark_refused
from pepperstep.relay.relayed_request import RelayedRequest
from tests.relaying.test_http1 import open_server
from tests.relaying.world import request

ROUTES_VERSION = 7


@dataclass
class Peer:
    """The other entry host."""

    status: int = 200
    pieces: tuple[bytes, ...] = (b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n")
    # Whether it states that it has refused the request itself.
    refuses: bool = False
    # Whether the answer breaks off after its first piece.
    breaks: bool = False
    declines: bool = False
    version: int = ROUTES_VERSION

    def __post_init__(self):
        self.seen = []
        self.attempts: list[int | None] = []
        self.origins: list[StreamOrigin | None] = []
        self.has_lost_sender = False
        self.forwarded = ForwardedRequests(
            self._serve, lambda: True, lambda: self.version, trio.current_time
        )

    async def _serve(self, exchange, attempts, origin) -> None:
        if self.declines:
            raise Declined
        self.seen.append(exchange.head)
        self.attempts.append(attempts)
        self.origins.append(origin)
        if not self.pieces:
            with trio.CancelScope() as scope:
                exchange.cancel_when_disconnected(scope)
                await trio.sleep_forever()
            self.has_lost_sender = True
            raise CallerGone
        if self.status != 200:
            answer = Answer(self.status, b"{}", ((b"retry-after", b"0.50"),))
            await exchange.answer(mark_refused(answer) if self.refuses else answer)
            return
        await exchange.begin(AnswerHead(200, ()), self.pieces[0])
        if self.breaks:
            exchange.abort()
            return
        for piece in self.pieces[1:]:
            await exchange.send(piece)
        await exchange.finish()


def make_request(
    is_stream: bool = True, repetition: Repetition = Repetition.ONCE
) -> RelayedRequest:
    """Return a caller's request with a second left."""
    now = TrioTimers(random.Random(0)).now()
    wire = PlatformWire()
    head = request("/stream/1", (b"last-event-id", b"0"))
    route = Route(
        name="r",
        host="a.example",
        path_prefix="/stream/",
        shares=(Share("model", 1.0),),
        repetition=repetition,
        timeout=5.0,
        is_stream=is_stream,
    )
    return RelayedRequest(
        exchange=FakeExchange(head, b"body", now),
        facts=wire.read_request(head),
        route=route,
        service=Service("model"),
        workspace=None,
        priority=0,
        deadline=now + 1.0,
    )


def make_forwarder(*hosts: str) -> PeerForwarder:
    timers = TrioTimers(random.Random(0))
    return PeerForwarder(
        PlatformWire(),
        Http1Connector(timers.now),
        lambda: hosts,
        lambda: ROUTES_VERSION,
        RelayMetrics(),
        timers,
        random.Random(0),
    )


@pytest.mark.parametrize("is_admitted", [False, True])
async def test_stream_is_passed_on_with_the_time_that_is_left(is_admitted):
    peer = Peer()
    sent = make_request()
    sent.attempt_count = 1
    async with open_server(peer.forwarded.handle) as (address, _):
        outcome = await make_forwarder(address).forward(sent, is_admitted=is_admitted)
    assert outcome is Outcome.ANSWERED and sent.answered_by == address
    assert sent.exchange.received == b"".join(peer.pieces)
    assert sent.exchange.is_complete
    [head] = peer.seen
    assert head.target == b"/stream/1" and head.first(b"authorization")
    assert 500 <= int(head.first(b"pepperstep-deadline-ms")) <= 1000
    assert not any(name.startswith(b"forwarded-") for name, _ in head.headers)
    assert peer.attempts == [1 if is_admitted else None]


@pytest.mark.parametrize("reason", ["declines", "version"])
async def test_next_host_is_asked_after_one_that_declines(reason):
    declining = Peer(**{reason: ROUTES_VERSION - 1 if reason == "version" else True})
    accepting = Peer()
    async with (
        open_server(declining.forwarded.handle) as (first, _),
        open_server(accepting.forwarded.handle) as (second, _),
    ):
        forwarder = make_forwarder(first, second, "127.0.0.1:1")
        for _ in range(6):
            outcome = await forwarder.forward(make_request(), is_admitted=False)
            assert outcome is Outcome.ANSWERED
    assert len(accepting.seen) == 6 and not declining.seen


async def test_answer_that_breaks_off_is_never_sent_to_another_host():
    """Guards against a second run of a request that may have run."""
    peers = [Peer(breaks=True), Peer(breaks=True)]
    sent = make_request(is_stream=False)
    async with (
        open_server(peers[0].forwarded.handle) as (first, _),
        open_server(peers[1].forwarded.handle) as (second, _),
    ):
        forwarder = make_forwarder(first, second)
        assert await forwarder.forward(sent, is_admitted=False) is Outcome.FAILED
    assert sent.may_have_run
    assert sum(len(each.seen) for each in peers) == 1


@pytest.mark.parametrize("has_run", [False, True])
async def test_promise_is_passed_on_only_if_it_is_true(has_run):
    peer = Peer(status=503, refuses=True)
    sent = make_request()
    sent.may_have_run = has_run
    async with open_server(peer.forwarded.handle) as (address, _):
        outcome = await make_forwarder(address).forward(sent, is_admitted=True)
    assert outcome is (Outcome.FAILED if has_run else Outcome.ANSWERED)
    assert sent.exchange.status == (0 if has_run else 503)
    assert sent.may_have_run is has_run
    headers = dict(sent.exchange.answer_head.headers) if not has_run else {}
    assert not any(name.startswith(b"forwarded-") for name in headers)


@pytest.mark.parametrize("status", [408, 429, 503])
@pytest.mark.parametrize("is_repeatable", [False, True])
async def test_status_from_another_host_alone_is_no_promise(status, is_repeatable):
    """Guards against an upstream's status that another host has passed on."""
    peer = Peer(status=status)
    repetition = Repetition.REPEATABLE if is_repeatable else Repetition.ONCE
    sent = make_request(is_stream=False, repetition=repetition)
    async with open_server(peer.forwarded.handle) as (address, _):
        outcome = await make_forwarder(address).forward(sent, is_admitted=False)
    assert outcome is (Outcome.ANSWERED if is_repeatable else Outcome.FAILED)
    assert sent.exchange.status == (status if is_repeatable else 0)
    assert sent.may_have_run


async def test_work_ends_when_the_caller_leaves():
    peer = Peer(pieces=())
    async with open_server(peer.forwarded.handle) as (address, _):
        with trio.move_on_after(0.1):
            await make_forwarder(address).forward(make_request(), is_admitted=False)
        with trio.fail_after(0.5):
            while not peer.has_lost_sender:
                await trio.sleep(0.01)
    assert peer.forwarded.in_flight == 0


async def test_resumed_stream_is_passed_on_with_its_origin():
    peer = Peer()
    sent = make_request()
    now = trio.current_time()
    sent.origin = StreamOrigin("model/ä", "v1 2", ("u1", 7), now)
    async with open_server(peer.forwarded.handle) as (address, _):
        outcome = await make_forwarder(address).forward(sent, is_admitted=False)
    assert outcome is Outcome.ANSWERED
    [origin] = peer.origins
    assert (origin.service, origin.software) == ("model/ä", "v1 2")
    assert not any(name.startswith(b"forwarded-") for name, _ in peer.seen[0].headers)


async def test_resumed_stream_is_declined_by_a_host_with_older_routes():
    peer = Peer(version=ROUTES_VERSION - 1)
    sent = make_request()
    sent.origin = StreamOrigin("model", "v1", ("u1", 7), trio.current_time())
    async with open_server(peer.forwarded.handle) as (address, _):
        outcome = await make_forwarder(address).forward(sent, is_admitted=False)
    assert outcome is Outcome.NOT_RUN and not peer.seen


@pytest.mark.parametrize("is_resumed", [False, True])
async def test_host_of_an_earlier_release_declines_only_resumed_streams(is_resumed):
    async def answer_as_before(exchange) -> None:
        version = int(exchange.head.first(b"forwarded-routes-version"))
        if version > ROUTES_VERSION:
            await exchange.answer(Answer(421))
            return
        await exchange.begin(AnswerHead(200, ()), b"id: 1\ndata: a\n\n")
        await exchange.finish()

    sent = make_request()
    if is_resumed:
        sent.origin = StreamOrigin("model", "v1", ("u1", 7), trio.current_time())
    async with open_server(answer_as_before) as (address, _):
        outcome = await make_forwarder(address).forward(sent, is_admitted=False)
    assert outcome is (Outcome.NOT_RUN if is_resumed else Outcome.ANSWERED)


async def test_callers_headers_are_not_taken_for_the_sending_hosts():
    peer = Peer()
    sent = make_request()
    head = sent.exchange.head
    forged = (b"forwarded-origin", b"model v9"), (b"forwarded-attempts", b"7")
    sent.exchange.head = RequestHead(head.method, head.target, (*head.headers, *forged))
    async with open_server(peer.forwarded.handle) as (address, _):
        await make_forwarder(address).forward(sent, is_admitted=False)
    assert (peer.origins, peer.attempts) == ([None], [None])
