"""Typed pieces of HTTP over ASGI: calls, replies and errors."""

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

# Time in which a whole body must arrive.
_BODY_SECONDS = 30.0
# What is read of a refused body, so that its sender gets to see the refusal.
_DISCARD_SECONDS = 2.0
_DISCARD_BYTES = 64 * 1024 * 1024
# Clients take a longer `Retry-After` for none and come back at once.
_LONGEST_REPEAT_SECONDS = 60.0
# Headers whose second value would contradict the first.
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

# HTTP status of each code; 500 for the others.
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
    """A whole answer."""

    status: int
    body: bytes
    content_type: str = "application/json"
    headers: tuple[tuple[bytes, bytes], ...] = ()


class Call:
    """One HTTP request as ASGI gives it."""

    def __init__(self, scope: dict, receive: Receive, send: Send):
        self.method: str = scope["method"]
        self.path: str = scope["path"]
        self.receive = receive
        self.send = send
        # Id of the request that the call has become, "" before.
        self.request_id = ""
        # Whether the first event of a streamed answer has been sent.
        self.is_streaming = False
        self.is_body_read = False
        self._scope = scope
        self._headers: dict[bytes, bytes] = dict(scope["headers"])

    @property
    def key(self) -> str:
        """The bearer key, "" if there is none."""
        scheme, _, key = self.header("authorization").partition(" ")
        return key.strip() if scheme.lower() == "bearer" else ""

    @property
    def target(self) -> str:
        """Path and query as they were sent, not decoded."""
        path = self._scope.get("raw_path") or self.path.encode()
        query = self._scope["query_string"]
        target = path + b"?" + query if query else path
        return target.decode("latin-1")

    def header(self, name: str) -> str:
        """Return a header's value by its name in lower case, "" if missing."""
        return self._headers.get(name.encode(), b"").decode("latin-1")

    def query(self, name: str) -> str:
        """Return the first value of a query parameter, "" if missing."""
        text = self._scope["query_string"].decode("latin-1")
        return parse_qs(text, max_num_fields=100).get(name, [""])[0]

    def check_headers(self, max_bytes: int) -> None:
        """Raise `Failure` if the headers are too long or contradict themselves."""
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

        Raise `Failure`: `BODY_TOO_LARGE`, `INVALID_REQUEST` if it doesn't
        arrive in time, or `CANCELLED` if the caller left.
        """
        length = self.header("content-length")
        if length.isdecimal() and int(length) > max_bytes:
            raise _too_large(max_bytes)
        with timers.move_on_after(_BODY_SECONDS):
            return await self._read_events(max_bytes)
        raise _invalid(f"The body didn't arrive within {_BODY_SECONDS:.0f} s.")

    async def discard_body(self) -> None:
        """Read what is left of the body, up to some bytes and seconds."""
        size = 0
        with trio.move_on_after(_DISCARD_SECONDS):
            while not self.is_body_read and size < _DISCARD_BYTES:
                size += len(await self._read_event())

    async def _read_events(self, max_bytes: int) -> bytes:
        body = bytearray()
        while not self.is_body_read:
            body += await self._read_event()
            if len(body) > max_bytes:
                raise _too_large(max_bytes)
        return bytes(body)

    async def _read_event(self) -> bytes:
        event = await self.receive()
        if event["type"] == "http.disconnect":
            self.is_body_read = True
            raise Failure(Code.CANCELLED, "The caller left.")
        self.is_body_read = not event.get("more_body")
        return event.get("body", b"")


def decode_body(decode: Callable[[bytes], object], data: bytes, name: str):
    """Return the message that `decode` makes of `data`.

    Raise `Failure` with `INVALID_REQUEST` if it makes none.
    """
    try:
        return decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise _invalid(f"{name}: {error}.") from error
    except RecursionError as error:
        raise _invalid(f"{name}: It nests too deep.") from error


def json_reply(value: object, status: int = 200) -> Reply:
    """Return `value` as JSON."""
    return Reply(status, msgspec.json.encode(value))


async def until_disconnect(call: Call, job: Callable[[], Awaitable[None]]) -> None:
    """Run `job`, which is cancelled when the caller leaves."""
    failure = None
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_cancel_at_disconnect, call, nursery.cancel_scope)
        try:
            await job()
        except Failure as error:
            # Outside of the nursery, which would wrap it.
            failure = error
        nursery.cancel_scope.cancel()
    if failure is not None:
        raise failure


async def send_reply(send: Send, reply: Reply) -> None:
    """Send a whole answer."""
    await send(_start_event(reply))
    await send({"type": "http.response.body", "body": reply.body})


async def send_failure(
    call: Call, failure: Failure, entry_hosts: tuple[str, ...] = ()
) -> None:
    """Send an error with its code, its execution and when to come back.

    `entry_hosts` are URLs of others to ask.
    """
    body = msgspec.json.encode({"error": _error_of(failure, entry_hosts)})
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
    # The whole answer goes out, but a caller that still sends its body must not
    # have its connection cut before it has read the answer.
    await call.send(_start_event(reply))
    await call.send({"type": "http.response.body", "body": body, "more_body": True})
    await _discard(call)
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
        (b"x-execution", failure.execution.encode()),
        (b"x-should-retry", b"true" if _should_repeat(failure) else b"false"),
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


def _should_repeat(failure: Failure) -> bool:
    """Whether a client may repeat the call without asking anyone.

    Not what may have run, and not before the time that it's told.
    """
    if failure.retry_after is None or failure.execution is not Execution.NOT_RUN:
        return False
    return failure.retry_after <= _LONGEST_REPEAT_SECONDS


def _error_of(failure: Failure, entry_hosts: tuple[str, ...]) -> dict:
    """Return an error in the form of the OpenAI interface."""
    error = {
        "message": failure.text,
        "type": failure.code,
        "code": failure.code,
        "param": None,
        "execution": failure.execution,
        "retry_after": failure.retry_after,
    }
    if entry_hosts:
        error["entry_hosts"] = entry_hosts
    return error


async def _discard(call: Call) -> None:
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
