"""Typed pieces of HTTP over ASGI: calls, replies and errors."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from urllib.parse import parse_qs

import msgspec

from pepperstep.errors import Code, Failure

__all__ = ["Call", "Reply", "error_body", "json_reply", "send_failure", "send_reply"]

Receive = Callable[[], Awaitable[dict]]
Send = Callable[[dict], Awaitable[None]]

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
        self.query = parse_qs(scope["query_string"].decode("latin-1"))
        self.receive = receive
        self.send = send
        self._headers = {
            name: value.decode("latin-1") for name, value in scope["headers"]
        }

    def header(self, name: str) -> str:
        """Return a header's value by its name in lower case, "" if missing."""
        return self._headers.get(name.encode(), "")

    @property
    def key(self) -> str:
        """The bearer key, "" if there is none."""
        scheme, _, key = self.header("authorization").partition(" ")
        return key.strip() if scheme.lower() == "bearer" else ""

    async def read_body(self, max_bytes: int) -> bytes:
        """Return the whole body.

        Raise `Failure`: `BODY_TOO_LARGE`, or `CANCELLED` if the caller left.
        """
        body = bytearray()
        while True:
            event = await self.receive()
            if event["type"] == "http.disconnect":
                raise Failure(Code.CANCELLED, "The caller left.")
            body += event.get("body", b"")
            if len(body) > max_bytes:
                raise Failure(
                    Code.BODY_TOO_LARGE, f"The body may have {max_bytes} bytes at most."
                )
            if not event.get("more_body"):
                return bytes(body)


def json_reply(value: object, status: int = 200) -> Reply:
    """Return `value` as JSON."""
    return Reply(status, msgspec.json.encode(value))


def error_body(failure: Failure) -> dict:
    """Return the body of an error, in the form of the OpenAI interface."""
    return {
        "error": {
            "message": failure.text,
            "type": failure.code,
            "code": failure.code,
            "param": None,
            "execution": failure.execution,
            "retry_after": failure.retry_after,
        }
    }


async def send_reply(send: Send, reply: Reply) -> None:
    """Send a whole answer."""
    headers = [
        (b"content-type", reply.content_type.encode()),
        (b"content-length", str(len(reply.body)).encode()),
        *reply.headers,
    ]
    await send(
        {"type": "http.response.start", "status": reply.status, "headers": headers}
    )
    await send({"type": "http.response.body", "body": reply.body})


async def send_failure(
    send: Send, failure: Failure, headers: tuple[tuple[bytes, bytes], ...] = ()
) -> None:
    """Send an error with its code, its execution and when to come back."""
    extra = [
        (b"x-execution", failure.execution.encode()),
        # Clients must not repeat on their own what may have run, nor before
        # the time that they are told.
        (b"x-should-retry", b"false" if failure.retry_after is None else b"true"),
    ]
    if failure.retry_after is not None:
        seconds = max(1, round(failure.retry_after))
        extra.append((b"retry-after", str(seconds).encode()))
    body = msgspec.json.encode(error_body(failure))
    status = _STATUS.get(failure.code, 500)
    await send_reply(send, Reply(status, body, headers=(*headers, *extra)))
