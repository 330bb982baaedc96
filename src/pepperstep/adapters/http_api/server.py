"""Serves the ASGI application by hypercorn, within a limit on connections."""

import socket
from collections.abc import Awaitable, Callable
from functools import partial

import hypercorn.config
import trio
from absl import logging
from hypercorn.trio.worker_context import WorkerContext

from pepperstep.adapters.http_api.connection import Application, Connection
from pepperstep.configuration import Limits
from pepperstep.settings import Settings

__all__ = ["serve_api"]

_KEEP_ALIVE_SECONDS = 30.0
_HANDSHAKE_SECONDS = 10.0
_GRACEFUL_SECONDS = 3600.0
# Time in which a caller must take what it was sent.
_UNTAKEN_SECONDS = 30
_BACKLOG = 1024
# Requests on one connection; afterwards the caller chooses a host again.
_MAX_KEEP_ALIVE_REQUESTS = 10_000
# Longer headers get a bare 431, as they can't be read to the end.
_LONGEST_HEADERS = 256 * 1024

_TOO_MANY = (
    b"HTTP/1.1 503 Service Unavailable\r\n"
    b"content-type: application/json\r\n"
    b"content-length: %d\r\n"
    b"retry-after: 1\r\nx-should-retry: true\r\nx-execution: not_run\r\n"
    b"connection: close\r\n\r\n%s"
)
_TOO_MANY_BODY = (
    b'{"error":{"message":"Too many connections.","type":"overloaded",'
    b'"code":"overloaded","param":null,"execution":"not_run","retry_after":1.0}}'
)


async def serve_api(
    application: Application,
    settings: Settings,
    limits: Callable[[], Limits],
    stop: Callable[[], Awaitable[None]],
    task_status=trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve until `stop` returns, then let open requests end.

    `limits` returns those in force, which may change meanwhile. Raise OSError if
    the address can't be listened on.
    """
    config = _config_of(settings)
    listeners = _open_listeners(config)
    server = _Server(application, config, limits)
    async with trio.open_nursery() as connections:
        async with trio.open_nursery() as accepting:
            serve = partial(
                trio.serve_listeners,
                server.handle,
                listeners,
                handler_nursery=connections,
            )
            accepting.start_soon(serve)
            task_status.started()
            await stop()
            accepting.cancel_scope.cancel()
        await server.close_idle()
        connections.cancel_scope.deadline = trio.current_time() + _GRACEFUL_SECONDS


class _Server:
    """Handles connections, each by hypercorn's protocol."""

    def __init__(
        self,
        application: Application,
        config: hypercorn.config.Config,
        limits: Callable[[], Limits],
    ):
        self._application = application
        self._config = config
        self._limits = limits
        self._context = WorkerContext(None)
        self._open = 0

    async def handle(self, stream: trio.abc.Stream) -> None:
        """Serve one connection to its end, or refuse it."""
        if self._open >= self._limits().max_connections:
            await _refuse(stream)
            return
        self._open += 1
        try:
            await Connection(self._application, self._config, self._context, stream)
        except Exception:
            # One connection's fault must not end the others.
            logging.exception("api: A connection failed.")
        finally:
            self._open -= 1

    async def close_idle(self) -> None:
        """Close connections as soon as they have no open request."""
        await self._context.terminated.set()


def _config_of(settings: Settings) -> hypercorn.config.Config:
    config = hypercorn.config.Config()
    config.bind = [settings.host.caller_address]
    config.backlog = _BACKLOG
    config.accesslog = None
    config.errorlog = None
    config.alpn_protocols = ["http/1.1"]
    config.keep_alive_timeout = _KEEP_ALIVE_SECONDS
    config.keep_alive_max_requests = _MAX_KEEP_ALIVE_REQUESTS
    config.ssl_handshake_timeout = _HANDSHAKE_SECONDS
    config.include_server_header = False
    config.h11_max_incomplete_size = _LONGEST_HEADERS
    if settings.tls.caller_certificate:
        config.certfile = settings.tls.caller_certificate
        config.keyfile = settings.tls.caller_key
    return config


def _open_listeners(config: hypercorn.config.Config) -> list:
    sockets = config.create_sockets()
    context = config.create_ssl_context()
    listeners = []
    for each in (*sockets.secure_sockets, *sockets.insecure_sockets):
        _bound_sending(each)
        each.listen(config.backlog)
        listener = trio.SocketListener(trio.socket.from_stdlib_socket(each))
        if context is not None:
            listener = trio.SSLListener(listener, context, https_compatible=True)
        listeners.append(listener)
    return listeners


def _bound_sending(listening: socket.socket) -> None:
    """Let the system cut connections whose caller takes nothing any more."""
    option = getattr(socket, "TCP_USER_TIMEOUT", None)
    if option is not None:
        listening.setsockopt(socket.IPPROTO_TCP, option, _UNTAKEN_SECONDS * 1000)


async def _refuse(stream: trio.abc.Stream) -> None:
    with trio.move_on_after(1.0):
        try:
            await stream.send_all(_TOO_MANY % (len(_TOO_MANY_BODY), _TOO_MANY_BODY))
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return
        finally:
            await trio.aclose_forcefully(stream)
