"""Minimal ASGI application with routing, shared by the stand-ins."""

import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import hypercorn.config
import hypercorn.trio
import msgspec
import trio

__all__ = ["Application", "Reply", "json_reply", "serve"]


@dataclass(frozen=True, slots=True)
class Reply:
    """Complete HTTP answer."""

    status: int
    body: bytes
    content_type: str = "application/json"
    headers: tuple[tuple[bytes, bytes], ...] = ()


Route = Callable[[bytes, dict], Awaitable[Reply | None]]


def json_reply(value: object, status: int = 200) -> Reply:
    """Return a reply with `value` as JSON."""
    return Reply(status, msgspec.json.encode(value))


class Application:
    """ASGI application that routes by method and path prefix.

    A route gets the body and the ASGI scope, extended by "send" and "receive". It
    returns a reply, or None if it has sent the answer itself.
    """

    def __init__(self) -> None:
        self._routes: list[tuple[str, str, Route]] = []

    def add(self, method: str, prefix: str, route: Route) -> None:
        """Add a route. Among matching routes the first one added wins."""
        self._routes.append((method, prefix, route))

    async def __call__(self, scope, receive, send) -> None:
        if scope["type"] == "lifespan":
            await _serve_lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        body = await _read_body(receive)
        reply = await self._route(scope, receive, send, body)
        if reply is not None:
            await _send_reply(send, reply)

    async def _route(self, scope, receive, send, body: bytes) -> Reply | None:
        for method, prefix, route in self._routes:
            if scope["method"] == method and scope["path"].startswith(prefix):
                return await route(body, {**scope, "send": send, "receive": receive})
        return json_reply({"error": "not found"}, 404)


async def serve(application: Application, address: str) -> None:
    """Serve until SIGTERM."""
    config = hypercorn.config.Config()
    config.bind = [address]
    config.accesslog = None
    config.errorlog = None
    config.graceful_timeout = 0.2
    stop = trio.Event()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_wait_for_signal, stop)
        await hypercorn.trio.serve(application, config, shutdown_trigger=stop.wait)
        nursery.cancel_scope.cancel()


async def _wait_for_signal(stop: trio.Event) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            stop.set()
            return


async def _serve_lifespan(receive, send) -> None:
    while True:
        event = await receive()
        kind = event["type"]
        await send({"type": f"{kind}.complete"})
        if kind == "lifespan.shutdown":
            return


async def _read_body(receive) -> bytes:
    body = bytearray()
    while True:
        event = await receive()
        body += event.get("body", b"")
        if not event.get("more_body"):
            return bytes(body)


async def _send_reply(send, reply: Reply) -> None:
    headers = [
        (b"content-type", reply.content_type.encode()),
        (b"content-length", str(len(reply.body)).encode()),
        *reply.headers,
    ]
    await send(
        {"type": "http.response.start", "status": reply.status, "headers": headers}
    )
    await send({"type": "http.response.body", "body": reply.body})
