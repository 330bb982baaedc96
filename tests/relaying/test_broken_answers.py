"""Answers of upstreams that break off, by their framing and the way they end."""

import pytest

from pepperstep.fakes.relaying import LinkCut, Reply
from tests.relaying.test_relay import EVENTS, head, serve
from tests.relaying.world import open_world, request

FRAMINGS = {
    "close": (),
    "chunked": ((b"transfer-encoding", b"chunked"),),
    "length": ((b"content-length", b"1000"),),
}
STREAM = (b"content-type", b"text/event-stream")


def stream(framing: str, *pieces: bytes, breaks: bool = False) -> Reply:
    """Return an upstream's stream of events."""
    return Reply(head(200, STREAM, *FRAMINGS[framing]), pieces, breaks)


@pytest.mark.parametrize("through", ["this host", "another host"])
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize(
    "pieces",
    [
        (EVENTS[0][:6],),
        (EVENTS[0], EVENTS[1][:6]),
        (EVENTS[0], EVENTS[1] + EVENTS[2][:-1]),
        (EVENTS[0], EVENTS[1][:1]),
    ],
)
async def test_stream_that_ends_inside_an_event_does_not_look_complete(
    autojump_clock, pieces, framing, through
):
    async with open_world() as world:
        await serve(world, "model", lambda sent: stream(framing, *pieces))
        if through == "another host":
            world.connector.cut("e0:1", LinkCut.RESET)
            for _ in range(5):
                await world.ask("e0:1", request("/stream/1"))
        world.connector.sent.clear()
        exchange = await world.ask("e0:1", request("/stream/1"))
        [sent] = world.connector.sent
        assert sent.host == ("e1:1" if through == "another host" else "e0:1")
        if exchange.status == 200:
            assert exchange.is_aborted and not exchange.is_complete
            assert exchange.received == b"".join(
                each for each in EVENTS if each in b"".join(pieces)
            )
        else:
            assert exchange.status == 502


async def test_stream_closed_before_its_first_event_fails(autojump_clock):
    async with open_world() as world:
        await serve(world, "model", lambda sent: stream("close"))
        exchange = await world.ask("e0:1", request("/stream/1"))
        assert exchange.status == 502


@pytest.mark.parametrize("framing", ["chunked", "length"])
async def test_empty_stream_whose_framing_is_complete_is_complete(
    autojump_clock, framing
):
    async with open_world() as world:
        await serve(world, "model", lambda sent: stream(framing))
        exchange = await world.ask("e0:1", request("/stream/1"))
        assert (exchange.status, exchange.is_complete) == (200, True)


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("partial", [EVENTS[2][:6], EVENTS[2][:-1], b""])
async def test_stream_that_ends_inside_an_event_is_resumed_after_the_last_whole_one(
    autojump_clock, framing, partial
):
    def upstream(sent) -> Reply:
        if not sent.head.first(b"last-event-id"):
            return stream(framing, *EVENTS[:2], partial, breaks=not partial)
        assert sent.head.first(b"last-event-id") == b"2"
        return stream(framing, EVENTS[2])

    async with open_world() as world:
        await serve(world, "model", upstream, upstream)
        exchange = await world.ask("e0:1", request("/resumable/1"))
        assert exchange.received == b"".join(EVENTS)
        assert exchange.is_complete


@pytest.mark.parametrize("framing", FRAMINGS)
async def test_body_that_is_no_event_stream_reaches_the_caller_whole(
    autojump_clock, framing
):
    json_body = (b"content-type", b"application/json"), *FRAMINGS[framing]
    answers = {
        status: Reply(head(status, *json_body), (b'{"error":', b'"too long"}'))
        for status in (400, 200)
    }
    async with open_world() as world:
        await serve(world, "model", lambda sent: answers[status])
        for status in answers:
            exchange = await world.ask("e0:1", request("/stream/1"))
            assert exchange.status == status
            assert exchange.received == b'{"error":"too long"}'
            assert exchange.is_complete


async def test_body_that_is_no_event_stream_does_not_continue_a_stream(autojump_clock):
    def upstream(sent) -> Reply:
        if not sent.head.first(b"last-event-id"):
            return stream("close", EVENTS[0], EVENTS[1][:6])
        return Reply(head(200, (b"content-type", b"application/json")), (b"{}",))

    async with open_world() as world:
        await serve(world, "model", upstream, upstream)
        exchange = await world.ask("e0:1", request("/resumable/1"))
        assert exchange.received == EVENTS[0]
        assert exchange.is_aborted and not exchange.is_complete
