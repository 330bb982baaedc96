"""Forwarding of answers to callers, as whole bodies or as streams of events."""

from collections.abc import Callable

import trio

from pepperstep.ports.exchange import Answer, AnswerHead, Exchange, UpstreamConnection
from pepperstep.ports.relaying import RelayWire
from pepperstep.relay.relayed_request import RelayedRequest

__all__ = ["AnswerForwarder"]

# Answers up to this size are read completely before their head is forwarded, so that
# the request can be retried if the answer breaks off.
_MAX_BUFFERED_BYTES = 262_144
# Time to send a complete answer to the caller, even past the deadline.
_SEND_TIMEOUT_SECONDS = 1.0


class AnswerForwarder:
    """Forwards answers; `on_first_byte` is called before each part sent."""

    def __init__(
        self, wire: RelayWire, on_first_byte: Callable[[RelayedRequest], None]
    ):
        self._wire = wire
        self._on_first_byte = on_first_byte

    async def forward_body(
        self, request: RelayedRequest, connection: UpstreamConnection, head: AnswerHead
    ) -> None:
        """Forward a non-streamed answer, buffering a small one until it's complete."""
        exchange = request.exchange
        pieces: list[bytes] = []
        size = 0
        async for piece in connection.pieces():
            if exchange.has_begun:
                await exchange.send(piece)
                continue
            pieces.append(piece)
            size += len(piece)
            if size > _MAX_BUFFERED_BYTES:
                self._on_first_byte(request)
                headers = self._wire.write_answer(head, is_framed=False)
                begun = AnswerHead(head.status, headers)
                await exchange.begin(begun, b"".join(pieces))
        self._on_first_byte(request)
        if exchange.has_begun:
            await exchange.finish()
            return
        headers = self._wire.write_answer(head, is_framed=True)
        await self.send(request, Answer(head.status, b"".join(pieces), headers))

    async def forward_events(
        self, request: RelayedRequest, connection: UpstreamConnection, head: AnswerHead
    ) -> None:
        """Forward a stream's events as they arrive, only complete ones."""
        exchange = request.exchange
        events = request.events
        events.take_partial()
        async for piece in connection.pieces():
            complete_events = events.feed(piece)
            if complete_events:
                self._on_first_byte(request)
                await self._forward_piece(exchange, head, complete_events)
        partial = events.take_partial()
        request.ends_in_event = bool(partial)
        if partial:
            await self._forward_piece(exchange, head, partial)
        if not exchange.has_begun:
            await self._forward_piece(exchange, head, b"")
        await exchange.finish()

    async def send(self, request: RelayedRequest, answer: Answer) -> None:
        """Send a complete answer, shielded from the request's deadline.

        Without the shield, a deadline that expires during the sending would break the
        connection although the answer has arrived.
        """
        with trio.move_on_after(_SEND_TIMEOUT_SECONDS, shield=True):
            await request.exchange.answer(answer)

    async def _forward_piece(
        self, exchange: Exchange, head: AnswerHead, data: bytes
    ) -> None:
        if exchange.has_begun:
            await exchange.send(data)
            return
        headers = self._wire.write_answer(head, is_framed=True)
        await exchange.begin(AnswerHead(head.status, headers), data)
