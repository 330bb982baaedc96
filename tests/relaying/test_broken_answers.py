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
