"""HTTP client for upstreams, based on httpcore (docs/INTERFACES.md)."""

import math
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Annotated

import httpcore
import msgspec
import trio

from pepperstep.adapters.paced_network import (
    NOTHING_READ,
    PacedBackend,
    read_period_for,
)
from pepperstep.adapters.upstream_connections import UpstreamConnections
from pepperstep.entities import ModelKey, Request, Role, ServiceAnswer, Upstream
from pepperstep.ports.upstreams import (
    CacheExport,
    EndMark,
    GenerateOrder,
    TokenChunk,
    UpstreamLost,
    UpstreamOrder,
    UpstreamRefused,
    UpstreamState,
)

__all__ = ["HttpUpstreams"]

_CONNECT_SECONDS = 1.0
# A stream without data for this time counts as lost.
_SILENCE_SECONDS = 15.0
# How long to wait for the end of a body after its end mark, which it follows at once.
_BODY_END_SECONDS = 0.05
_CONTROL_SECONDS = 5.0
_MAX_EVENT_BYTES = 1024 * 1024
_MAX_ANSWER_BYTES = 16 * 1024 * 1024
_EVENT_END = b"\n\n"
_DATA_PREFIX = b"data: "
_JSON = ((b"content-type", b"application/json"),)
# Value of the header with which a service states that it has not run a call.
_NOT_RUN = "1"
# Statuses which guarantee that the upstream didn't run the request.
_REFUSALS = frozenset({401, 404, 409, 429, 503})
# Successes whose answers never have a body.
_STATUSES_WITHOUT_BODY = frozenset({204, 205})


# Range of the integers in messages between hosts.
_Number = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


class _Event(msgspec.Struct):
    """One server-sent event of an engine: tokens or the end mark."""

    attempt_id: str
    position: _Number = 0
    tokens: tuple[str, ...] = ()
    count: _Number | None = None
    finish: str = ""
    computed_tokens: _Number = 0
    cached_tokens: _Number = 0


class _Confirmation(msgspec.Struct):
    """Answer to a cancel order."""

    is_ended: bool


class _Export(msgspec.Struct):
    """Answer to the export of a KV cache."""

    tokens: _Number
    size_bytes: _Number


class _State(msgspec.Struct):
    """Answer to a query of an upstream's state."""

    epoch: _Number
    models: list[ModelKey]
    role: Role
    is_leaving: bool
    fence: _Number
    last_order: str


_decode_event = msgspec.json.Decoder(_Event).decode


class HttpUpstreams:
    """Upstream client with a separate connection pool for each upstream."""

    def __init__(self, key: str, ssl_context=None):
        self._headers = [(b"authorization", b"Bearer " + key.encode())]
        self._ssl_context = ssl_context
        self._backend = PacedBackend()
        self._connections: dict[str, UpstreamConnections] = {}

    @asynccontextmanager
    async def generate(
        self, upstream: Upstream, order: GenerateOrder
    ) -> AsyncIterator[AsyncIterator[TokenChunk | EndMark]]:
        """Start an attempt and give an iterator of its chunks.

        Raise `UpstreamRefused` or `UpstreamLost`.
        """
        body = msgspec.json.encode(order)
        request = self._request(upstream, "/engine/v1/generate", body)
        async with self._open_response(upstream, request) as response:
            if response.status != 200:
                raise await _read_error(response)
            silence = trio.move_on_after(_SILENCE_SECONDS)
            with silence:
                period = read_period_for(upstream.load.decode_seconds)
                yield _read_events(response, silence, period)
            if silence.cancelled_caught:
                raise UpstreamLost("The stream was silent for too long.")

    async def cancel(self, upstream: Upstream, attempt_id: str) -> bool:
        """Cancel an attempt; return whether the upstream confirmed its end."""
        body = msgspec.json.encode({"attempt_id": attempt_id})
        answer = await self._post(upstream, "/engine/v1/cancel", body)
        return _decode(answer, _Confirmation).is_ended

    async def export_cache(
        self, upstream: Upstream, attempt_id: str, target: Upstream
    ) -> CacheExport:
        """Stop the attempt and send its KV cache to `target`."""
        body = msgspec.json.encode({"attempt_id": attempt_id, "target": target.address})
        answer = await self._post(
            upstream, "/engine/v1/kv/export", body, _SILENCE_SECONDS
        )
        export = _decode(answer, _Export)
        return CacheExport(export.tokens, export.size_bytes)

    async def call_service(
        self, upstream: Upstream, request: Request, attempt_id: str
    ) -> ServiceAnswer:
        """Call a plain service and return its whole answer."""
        content_type = request.content_type.encode() or b"application/json"
        headers = (
            (b"content-type", content_type),
            (b"x-attempt-id", attempt_id.encode()),
        )
        call = self._request(
            upstream,
            request.path,
            request.body,
            method=request.method,
            headers=headers,
        )
        async with self._open_response(upstream, call) as response:
            echoed = _header(response, b"x-attempt-id")
            if echoed and echoed != attempt_id:
                raise UpstreamLost(f"Answer of {echoed} came to {attempt_id}.")
            if _header(response, b"x-not-run") == _NOT_RUN:
                raise await _read_error(response)
            body = await _read_whole(response)
            if not body and _ends_by_close(request.method, response):
                raise UpstreamLost("The service closed before its body.")
            content_type = _header(response, b"content-type")
            return ServiceAnswer(response.status, content_type, body)

    async def send_order(self, upstream: Upstream, order: UpstreamOrder) -> None:
        """Send an order; return once the upstream has accepted it."""
        await self._post(upstream, "/upstream/v1/orders", msgspec.json.encode(order))

    async def read_state(self, upstream: Upstream) -> UpstreamState:
        """Query the upstream for its current state."""
        answer = await self._post(upstream, "/upstream/v1/state", b"{}")
        state = _decode(answer, _State)
        return UpstreamState(
            state.epoch,
            frozenset(state.models),
            state.role,
            state.is_leaving,
            state.fence,
            state.last_order,
        )

    async def forget(self, address: str) -> None:
        """Close the connections to an upstream that has left."""
        connections = self._connections.pop(address, None)
        if connections is not None:
            await connections.aclose()

    async def _post(
        self,
        upstream: Upstream,
        path: str,
        body: bytes,
        timeout: float = _CONTROL_SECONDS,
    ) -> bytes:
        request = self._request(upstream, path, body, timeout=timeout)
        async with self._open_response(upstream, request) as response:
            if response.status != 200:
                raise await _read_error(response)
            return await _read_whole(response)

    def _get_connections(self, upstream: Upstream) -> UpstreamConnections:
        connections = self._connections.get(upstream.address)
        if connections is None:
            origin = httpcore.URL(self._url_of(upstream, "/")).origin
            connections = UpstreamConnections(origin, self._backend, self._ssl_context)
            self._connections[upstream.address] = connections
        return connections

    def _url_of(self, upstream: Upstream, path: str) -> str:
        scheme = "http" if self._ssl_context is None else "https"
        return f"{scheme}://{upstream.address}{path}"

    def _request(
        self,
        upstream: Upstream,
        path: str,
        body: bytes,
        *,
        method: str = "POST",
        headers: tuple[tuple[bytes, bytes], ...] = _JSON,
        timeout: float = _SILENCE_SECONDS,
    ) -> httpcore.Request:
        length = (b"content-length", str(len(body)).encode())
        host = (b"host", upstream.address.encode())
        times = {"connect": _CONNECT_SECONDS, "read": timeout, "write": timeout}
        return httpcore.Request(
            method,
            self._url_of(upstream, path),
            headers=[host, length, *headers, *self._headers],
            content=body,
            extensions={"timeout": times},
        )

    @asynccontextmanager
    async def _open_response(
        self, upstream: Upstream, request: httpcore.Request
    ) -> AsyncIterator[httpcore.Response]:
        """Send a request; map httpcore's errors in the block to those of the port."""
        connections = self._get_connections(upstream)
        async with _map_errors(), connections.stream(request) as response:
            _check_order(response)
            yield response


@asynccontextmanager
async def _map_errors() -> AsyncIterator[None]:
    """Map httpcore's errors to `UpstreamRefused` and `UpstreamLost`.

    Only an error before the first byte was sent proves that the request didn't run.
    """
    try:
        yield
    except (
        httpcore.ConnectError,
        httpcore.ConnectTimeout,
        httpcore.PoolTimeout,
    ) as error:
        raise UpstreamRefused(f"No connection: {type(error).__name__}.") from error
    except (
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
    ) as error:
        raise UpstreamLost(f"Connection lost: {type(error).__name__}.") from error


def _check_order(response: httpcore.Response) -> None:
    """Raise `UpstreamLost` if the answer was received before the request was sent.

    httpcore keeps what an upstream sends behind an answer for the next request.
    """
    if response.extensions["network_stream"].get_extra_info(NOTHING_READ):
        raise UpstreamLost("An answer came before its request.")


async def _read_error(response: httpcore.Response) -> UpstreamRefused | UpstreamLost:
    body = await _read_whole(response)
    text = f"Status {response.status}: {body[:200].decode(errors='replace')}"
    if response.status in _REFUSALS:
        retry_after = _parse_seconds(_header(response, b"retry-after"))
        error = UpstreamRefused(text, retry_after)
    else:
        error = UpstreamLost(text)
    error.has_answered = True
    return error


async def _read_events(
    response: httpcore.Response, silence: trio.CancelScope, period: float
) -> AsyncIterator[TokenChunk | EndMark]:
    incomplete_event = b""
    stream = response.aiter_stream()
    connection = response.extensions["network_stream"]
    async for data in stream:
        # The first token is read at once, later ones at the shared ticks.
        connection.period = period
        silence.deadline = trio.current_time() + _SILENCE_SECONDS
        blocks = (incomplete_event + data).split(_EVENT_END)
        incomplete_event = blocks.pop()
        if len(incomplete_event) > _MAX_EVENT_BYTES:
            raise UpstreamLost("An event is too long.")
        for block in blocks:
            event = _decode_event_block(block)
            if isinstance(event, EndMark):
                await _read_body_end(response, stream)
            yield event


async def _read_body_end(
    response: httpcore.Response, stream: AsyncIterator[bytes]
) -> None:
    """Read the end of the body, so that the connection can be reused.

    After `_BODY_END_SECONDS` the connection is closed with the response instead.
    """
    response.extensions["network_stream"].period = 0.0
    with trio.move_on_after(_BODY_END_SECONDS):
        async for data in stream:
            if data:
                raise UpstreamLost("The stream goes on behind its end mark.")


def _decode_event_block(block: bytes) -> TokenChunk | EndMark:
    if not block.startswith(_DATA_PREFIX):
        raise UpstreamLost("The stream is no event stream.")
    try:
        event = _decode_event(block[len(_DATA_PREFIX) :])
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise UpstreamLost("An event can't be decoded.") from error
    if event.count is None:
        return TokenChunk(event.attempt_id, event.position, event.tokens)
    return EndMark(
        event.attempt_id,
        event.count,
        event.finish,
        event.computed_tokens,
        event.cached_tokens,
    )


def _decode(data: bytes, message_type: type):
    try:
        return msgspec.json.decode(data, type=message_type)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise UpstreamLost("An answer can't be decoded.") from error


async def _read_whole(response: httpcore.Response) -> bytes:
    body = bytearray()
    async for data in response.aiter_stream():
        body += data
        if len(body) > _MAX_ANSWER_BYTES:
            raise UpstreamLost("The answer is too long.")
    return bytes(body)


def _ends_by_close(method: str, response: httpcore.Response) -> bool:
    """Whether a success has a body whose end only the connection's end marks.

    Such a close may end the body or break it off.
    """
    if method == "HEAD" or response.status in _STATUSES_WITHOUT_BODY:
        return False
    framings = (b"content-length", b"transfer-encoding")
    is_success = 200 <= response.status < 300
    return is_success and not any(_header(response, name) for name in framings)


def _header(response: httpcore.Response, name: bytes) -> str:
    for key, value in response.headers:
        if key.lower() == name:
            return value.decode("latin-1")
    return ""


def _parse_seconds(text: str) -> float | None:
    try:
        seconds = float(text)
    except ValueError:
        return None
    return seconds if 0 <= seconds < math.inf else None
