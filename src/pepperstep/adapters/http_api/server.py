"""Serves the ASGI application by hypercorn."""

from collections.abc import Awaitable, Callable

import hypercorn.config
import hypercorn.trio

from pepperstep.configuration import Limits
from pepperstep.settings import Settings

__all__ = ["serve_api"]

_KEEP_ALIVE_SECONDS = 30.0
_READ_SECONDS = 30.0
_GRACEFUL_SECONDS = 3600.0


async def serve_api(
    application: Callable,
    settings: Settings,
    limits: Limits,
    stop: Callable[[], Awaitable[None]],
    task_status,
) -> None:
    """Serve until `stop` returns, then let open requests end."""
    config = hypercorn.config.Config()
    config.bind = [settings.host.caller_address]
    config.accesslog = None
    config.errorlog = None
    config.keep_alive_timeout = _KEEP_ALIVE_SECONDS
    config.read_timeout = None
    config.graceful_timeout = _GRACEFUL_SECONDS
    config.h11_max_incomplete_size = limits.max_header_bytes
    if settings.tls.caller_certificate:
        config.certfile = settings.tls.caller_certificate
        config.keyfile = settings.tls.caller_key
    await hypercorn.trio.serve(
        application, config, shutdown_trigger=stop, task_status=task_status, mode="asgi"
    )
