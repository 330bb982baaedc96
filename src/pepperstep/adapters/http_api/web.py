"""Typed calls, replies and errors on top of ASGI."""

import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from urllib.parse import parse_qs

import msgspec
import trio

from pepperstep.errors import Code, Execution, Failure
from pepperstep.ports import Timers

__all__ = [
    "Call",
    "Reply",
    "decode_body",
    "json_reply",
    "send_failure",
    "send_reply",
    "until_disconnect",
]

Receive = Callable[[], Awaitable[dict]]
Send = Callable[[dict], Awaitable[None]]

# Time limit for receiving a whole body.
_BODY_SECONDS = 30.0
# Limits on reading the rest of a refused body, so that its sender gets the refusal.
_DISCARD_SECONDS = 2.0
_DISCARD_BYTES = 64 * 1024 * 1024
# Clients ignore a longer `Retry-After` and retry at once.
_MAX_RETRY_AFTER_SECONDS = 60.0
# Headers that may occur only once, because a second value would contradict the first.
_SINGLE_HEADERS = frozenset(
    {
        b"authorization",
        b"idempotency-key",
        b"last-event-id",
        b"x-deadline-seconds",
        b"x-priority",
        b"x-repeatable",
        b"x-workspace",
    }
)

# HTTP status by code; 500 for codes not listed.
_STATUS = {
    Code.INVALID_REQUEST: 400,
    Code.BODY_TOO_LARGE: 413,
    Code.PROMPT_TOO_LONG: 400,
    Code.UNAUTHORIZED: 401,
    Code.FORBIDDEN: 403,
    Code.UNKNOWN_MODEL: 404,
    Code.UNKNOWN_SERVICE: 404,
    Code.UNKNOWN_WORKSPACE: 403,
    Code.UNKNOWN_REQUEST: 404,
    Code.UNKNOWN_NAME: 404,
    Code.IDEMPOTENCY_CONFLICT: 409,
    Code.DEADLINE_EXPIRED: 504,
    Code.OVERLOADED: 429,
    Code.QUEUE_FULL: 429,
    Code.NO_UPSTREAM: 503,
    Code.RETRIES_EXHAUSTED: 503,
    Code.CRASHING_REQUEST: 422,
    Code.UPSTREAM_FAILED: 502,
    Code.UPSTREAM_REFUSED: 503,
    Code.UPSTREAM_PROTOCOL: 502,
    Code.MAY_HAVE_RUN: 502,
    Code.CANCELLED: 499,
    Code.NOT_READY: 503,
    Code.DRAINING: 503,
    Code.NO_QUORUM: 503,
    Code.NOT_LEADER: 503,
    Code.FENCED: 503,
    Code.REVISION_CONFLICT: 409,
    Code.INVALID_CONFIGURATION: 422,
    Code.PEER_UNREACHABLE: 503,
}


@dataclass(frozen=True, slots=True)
class Reply:
    """A complete HTTP response."""

    status: int
    body: bytes
    content_type: str = "application/json"
    headers: tuple[tuple[bytes, bytes], ...] = ()


class Call:
    """An HTTP request received over ASGI."""

    def __init__(self, scope: dict, receive: Receive, send: Send):
        self.method: str = scope["method"]
        self.path: str = scope["path"]
        self.receive = receive
        self.send = send
        # Id of the accepted request, "" before it's accepted.
        self.request_id = ""
        # Whether the head of a streamed answer has been sent.
        self.is_streaming = False
        self.is_body_read = False
        self._scope = scope
        self._headers: dict[bytes, bytes] = dict(scope["headers"])

    @property
    def key(self) -> str:
        """The bearer token, "" if there is none."""
        scheme, _, key = self.header("authorization").partition(" ")
        return key.strip() if scheme.lower() == "bearer" else ""

    @property
    def target(self) -> str:
        """Path and query as sent, without decoding."""
        path = self._scope.get("raw_path") or self.path.encode()
        query = self._scope["query_string"]
        target = path + b"?" + query if query else path
        return target.decode("latin-1")

    def header(self, name: str) -> str:
        """Return the value of header `name` (lower case), "" if missing."""
        return self._headers.get(name.encode(), b"").decode("latin-1")

    def query(self, name: str) -> str:
        """Return the first value of a query parameter, "" if missing."""
        text = self._scope["query_string"].decode("latin-1")
        return parse_qs(text, max_num_fields=100).get(name, [""])[0]

    def check_headers(self, max_bytes: int) -> None:
        """Raise `Failure` if headers exceed `max_bytes` or repeat a single one."""
        headers = self._scope["headers"]
        size = sum(len(name) + len(value) for name, value in headers)
        if size > max_bytes:
            raise _invalid(f"The headers may have {max_bytes} bytes at most.")
        if len(self._headers) == len(headers):
            return
        names = [name for name, _ in headers]
        for name in _SINGLE_HEADERS:
            if names.count(name) > 1:
                raise _invalid(f"The header {name.decode()} stands twice.")

    async def read_body(self, max_bytes: int, timers: Timers) -> bytes:
        """Return the whole body.

        Raise `Failure`: `BODY_TOO_LARGE`, `INVALID_REQUEST` if it doesn't arrive
        in time, or `CANCELLED` if the caller disconnects.
        """
        length = self.header("content-length")
        if length.isdecimal() and int(length) > max_bytes:
            raise _too_large(max_bytes)
        with timers.move_on_after(_BODY_SECONDS):
            return await self._receive_body(max_bytes)
        raise _invalid(f"The body didn't arrive within {_BODY_SECONDS:.0f} s.")

    async def discard_body(self) -> None:
        """Read and discard the rest of the body, within limits on time and size."""
        size = 0
        with trio.move_on_after(_DISCARD_SECONDS):
            while not self.is_body_read and size < _DISCARD_BYTES:
                size += len(await self._receive_body_part())

    async def _receive_body(self, max_bytes: int) -> bytes:
        body = bytearray()
        while not self.is_body_read:
            body += await self._receive_body_part()
            if len(body) > max_bytes:
                raise _too_large(max_bytes)
        return bytes(body)

    async def _receive_body_part(self) -> bytes:
        event = await self.receive()
        if event["type"] == "http.disconnect":
            self.is_body_read = True
            raise Failure(Code.CANCELLED, "The caller left.")
        self.is_body_read = not event.get("more_body")
        return event.get("body", b"")


def decode_body(decode: Callable[[bytes], object], data: bytes, name: str):
    """Return `decode(data)`; `name` names the message in errors.

    Raise `Failure` with `INVALID_REQUEST` if it can't be decoded.
    """
    try:
        return decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise _invalid(f"{name}: {error}.") from error
    except RecursionError as error:
        raise _invalid(f"{name}: It nests too deep.") from error


def json_reply(value: object, status: int = 200) -> Reply:
    """Return a reply with `value` as JSON."""
    return Reply(status, msgspec.json.encode(value))


async def until_disconnect(call: Call, job: Callable[[], Awaitable[None]]) -> None:
    """Run `job`, and cancel it if the caller disconnects."""
    failure = None
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_cancel_at_disconnect, call, nursery.cancel_scope)
        try:
            await job()
        except Failure as error:
            # Raised after the nursery, which would wrap it in an exception group.
            failure = error
        nursery.cancel_scope.cancel()
    if failure is not None:
        raise failure


async def send_reply(send: Send, reply: Reply) -> None:
    """Send a complete response."""
    await send(_start_event(reply))
    await send({"type": "http.response.body", "body": reply.body})


async def send_failure(
    call: Call, failure: Failure, entry_hosts: tuple[str, ...] = ()
) -> None:
    """Send an error response with code, execution and time to retry.

    `entry_hosts` are URLs of other entry hosts that the caller can try.
    """
    body = msgspec.json.encode({"error": _error_object(failure, entry_hosts)})
    if call.is_streaming:
        event = b"event: error\ndata: " + body + b"\n\n"
        await call.send({"type": "http.response.body", "body": event})
        return
    status = _STATUS.get(failure.code, 500)
    headers = _failure_headers(call, failure)
    reply = Reply(status, body, headers=tuple(headers))
    if call.is_body_read:
        await send_reply(call.send, reply)
        return
    # The connection is closed only after the rest of the body has been read. A caller
    # that is still sending would otherwise lose the answer to a connection reset.
    await call.send(_start_event(reply))
    await call.send({"type": "http.response.body", "body": body, "more_body": True})
    await _discard_body(call)
    await call.send({"type": "http.response.body", "body": b""})


def _start_event(reply: Reply) -> dict:
    headers = [
        (b"content-type", reply.content_type.encode("latin-1")),
        (b"content-length", str(len(reply.body)).encode()),
        *reply.headers,
    ]
    return {"type": "http.response.start", "status": reply.status, "headers": headers}


def _failure_headers(call: Call, failure: Failure) -> list[tuple[bytes, bytes]]:
    headers = [
        (b"x-execution", _execution_of(failure).encode()),
        (b"x-should-retry", b"true" if _should_retry(failure) else b"false"),
    ]
    if call.request_id:
        headers.append((b"x-request-id", call.request_id.encode()))
    if failure.retry_after is not None:
        milliseconds = max(1, math.ceil(failure.retry_after * 1000))
        seconds = math.ceil(milliseconds / 1000)
        headers.append((b"retry-after", str(seconds).encode()))
        headers.append((b"retry-after-ms", str(milliseconds).encode()))
    if failure.code is Code.UNAUTHORIZED:
        headers.append((b"www-authenticate", b"Bearer"))
    return headers


def _execution_of(failure: Failure) -> Execution:
    """Return what the caller is told; an internal error proves nothing."""
    if failure.code is Code.INTERNAL:
        return Execution.MAY_HAVE_RUN
    return failure.execution


def _should_retry(failure: Failure) -> bool:
    """Whether a client may retry the call automatically after `retry_after`.

    Calls that may have run must not be retried automatically, nor calls with a
    `retry_after` that clients would ignore.
    """
    execution = _execution_of(failure)
    if failure.retry_after is None or execution is not Execution.NOT_RUN:
        return False
    return failure.retry_after <= _MAX_RETRY_AFTER_SECONDS


def _error_object(failure: Failure, entry_hosts: tuple[str, ...]) -> dict:
    """Return an error object of the OpenAI API."""
    error = {
        "message": failure.text,
        "type": failure.code,
        "code": failure.code,
        "param": None,
        "execution": _execution_of(failure),
        "retry_after": failure.retry_after,
    }
    if entry_hosts:
        error["entry_hosts"] = entry_hosts
    return error


async def _discard_body(call: Call) -> None:
    try:
        await call.discard_body()
    except Failure:
        return


async def _cancel_at_disconnect(call: Call, scope: trio.CancelScope) -> None:
    while (await call.receive())["type"] != "http.disconnect":
        continue
    scope.cancel()


def _invalid(text: str) -> Failure:
    return Failure(Code.INVALID_REQUEST, text)


def _too_large(max_bytes: int) -> Failure:
    return Failure(Code.BODY_TOO_LARGE, f"The body may have {max_bytes} bytes at most.")
