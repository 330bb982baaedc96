"""The simplest relay that could be written, as a baseline for the daemon.

A bare ASGI application on hypercorn sends each chunk on as httpcore reads it:
no keys, no queue, no second host, no checks.
"""

import httpcore
import hypercorn.config
import hypercorn.trio
import trio
from absl import app, flags

__all__ = ["main"]

_ADDRESS = flags.DEFINE_string("address", "127.0.0.1:9500", "Address to listen on.")
_ENGINE = flags.DEFINE_string("engine", "127.0.0.1:9100", "Address of the engine.")

_START = {
    "type": "http.response.start",
    "status": 200,
    "headers": [(b"content-type", b"text/event-stream")],
}


class _Relay:
    """ASGI application that relays each body to the engine."""

    def __init__(self, pool: httpcore.AsyncConnectionPool):
        self._pool = pool

    async def __call__(self, scope: dict, receive, send) -> None:
        if scope["type"] == "lifespan":
            await _serve_lifespan(receive, send)
            return
        body = await _read_body(receive)
        url = f"http://{_ENGINE.value}/engine/v1/generate"
        async with self._pool.stream("POST", url, content=body) as response:
            await send(_START)
            async for data in response.aiter_stream():
                await send(
                    {"type": "http.response.body", "body": data, "more_body": True}
                )
            await send({"type": "http.response.body"})


async def _read_body(receive) -> bytes:
    body = b""
    while True:
        event = await receive()
        body += event.get("body", b"")
        if not event.get("more_body"):
            return body


async def _serve_lifespan(receive, send) -> None:
    while True:
        kind = (await receive())["type"]
        await send({"type": f"{kind}.complete"})
        if kind == "lifespan.shutdown":
            return


async def _run() -> None:
    config = hypercorn.config.Config()
    config.bind = [_ADDRESS.value]
    config.accesslog = None
    config.errorlog = None
    async with httpcore.AsyncConnectionPool(max_connections=1000) as pool:
        await hypercorn.trio.serve(_Relay(pool), config)


def main(_: list[str]) -> None:
    """Relay until SIGTERM."""
    trio.run(_run)


if __name__ == "__main__":
    app.run(main)
