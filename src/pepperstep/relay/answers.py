"""Forwarding of answers to callers, as whole bodies or as streams of events."""

from collections.abc import Callable

import trio

from pepperstep.ports.exchange import (
    Answer,
    AnswerHead,
    CallerGone,
    ConnectionFault,
    Exchange,
    Framing,
    UpstreamConnection,
)
from pepperstep.ports.relaying import RelayWire
from pepperstep.relay.relayed_request import RelayedRequest

__all__ = ["AnswerForwarder", "is_event_stream"]

# Answers up to this size are read completely before their head is forwarded, so that
# the request can be retried if the answer breaks off.
_MAX_BUFFERED_BYTES = 262_144
# Largest event of a stream. The end of an event is needed before it's forwarded.
_MAX_EVENT_BYTES = 262_144
# Time to send a complete answer to the caller, even past the deadline.
_SEND_TIMEOUT_SECONDS = 1.0
_SUCCESS_STATUSES = range(200, 300)
_EVENT_STREAM = b"text/event-stream"
# Method whose answers have no body.
_METHOD_WITHOUT_BODY = b"HEAD"


class AnswerForwarder:
    """Forwards answers; `on_first_byte` is called before each part sent."""

    def __init__(
        self, wire: RelayWire, on_first_byte: Callable[[RelayedRequest], None]
    ):
        self._wire = wire
        self._on_first_byte = on_first_byte

    async def forward(
        self, request: RelayedRequest, connection: UpstreamConnection, head: AnswerHead
    ) -> None:
        """Forward an answer to its end; raise `ConnectionFault` if it broke off."""
        request.sent_status = head.status
        has_body = request.exchange.head.method != _METHOD_WITHOUT_BODY
        if request.route.is_stream and has_body and is_event_stream(head):
            await self._forward_events(request, connection, head)
        else:
            await self._forward_body(request, connection, head)

    async def _forward_body(
        self, request: RelayedRequest, connection: UpstreamConnection, head: AnswerHead
    ) -> None:
        """Forward a non-streamed answer, buffering a small one until it's complete.

        A connection that is closed may end an answer without a length or chunks, or
        break it off. A success whose body would be empty counts as broken off, as an
        upstream with nothing to say states the length 0.
        """
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
        if not size and _ends_by_close(request, head):
            raise ConnectionFault("closed before the body", True)
        self._on_first_byte(request)
        if exchange.has_begun:
            await exchange.finish()
            return
        headers = self._wire.write_answer(head, is_framed=True)
        await self.send(request, Answer(head.status, b"".join(pieces), headers))

    async def _forward_events(
        self, request: RelayedRequest, connection: UpstreamConnection, head: AnswerHead
    ) -> None:
        """Forward a stream's events as they arrive, only complete ones.

        A connection that is closed may end an answer without a length or chunks, or
        break it off. A stream that ends inside an event or before its first one has
        been broken off.
        """
        exchange = request.exchange
        events = request.events
        events.take_partial()
        has_events = False
        async for piece in connection.pieces():
            complete_events = events.feed(piece)
            if complete_events:
                has_events = True
                self._on_first_byte(request)
                await self._forward_piece(exchange, head, complete_events)
            if events.partial_bytes > _MAX_EVENT_BYTES:
                raise ConnectionFault("an event is too long", True)
        if events.has_partial:
            raise ConnectionFault(f"ended inside an event, by {head.framing}", True)
        if not has_events and head.framing is Framing.CLOSE:
            raise ConnectionFault("closed before the first event", True)
        await self._forward_piece(exchange, head, events.take_partial())
        await exchange.finish()

    async def send(self, request: RelayedRequest, answer: Answer) -> None:
        """Send a complete answer, shielded from the request's deadline.

        Without the shield, a deadline that expires during the sending would break the
        connection although the answer has arrived.

        Raise `CallerGone` if the caller doesn't take it in time, so that no other
        answer follows a part of it.
        """
        request.sent_status = answer.status
        with trio.move_on_after(_SEND_TIMEOUT_SECONDS, shield=True) as scope:
            await request.exchange.answer(answer)
        if scope.cancelled_caught:
            raise CallerGone

    async def _forward_piece(
        self, exchange: Exchange, head: AnswerHead, data: bytes
    ) -> None:
        if not exchange.has_begun:
            headers = self._wire.write_answer(head, is_framed=True)
            await exchange.begin(AnswerHead(head.status, headers), data)
        elif data:
            await exchange.send(data)


def is_event_stream(head: AnswerHead) -> bool:
    """Whether an answer of a stream route is a stream, not one whole body."""
    content_type = head.first(b"content-type").strip().lower()
    is_stream = not content_type or content_type.startswith(_EVENT_STREAM)
    return is_stream and head.status in _SUCCESS_STATUSES


def _ends_by_close(request: RelayedRequest, head: AnswerHead) -> bool:
    """Whether a success has a body whose end only the connection's end marks."""
    if request.exchange.head.method == _METHOD_WITHOUT_BODY:
        return False
    return head.status in _SUCCESS_STATUSES and head.framing is Framing.CLOSE
