"""Serves the ASGI application with hypercorn and limits the open connections."""

import socket
from collections.abc import Awaitable, Callable

import hypercorn.config
import trio
from absl import logging
from hypercorn.trio.worker_context import WorkerContext

from pepperstep.adapters.http_api.connection import Application, Connection
from pepperstep.configuration import Limits
from pepperstep.settings import Settings

__all__ = ["serve_api"]

Listener = trio.SocketListener | trio.SSLListener

_KEEP_ALIVE_SECONDS = 30.0
_HANDSHAKE_SECONDS = 10.0
_GRACEFUL_SECONDS = 3600.0
# TCP_USER_TIMEOUT: how long sent data may stay unacknowledged by a caller.
_UNACKNOWLEDGED_SECONDS = 30
_BACKLOG = 1024
# Pause after `accept` failed, for example for lack of file descriptors.
_ACCEPT_PAUSE_SECONDS = 0.1
# How long a stopping server goes on until it finds no connection that isn't accepted.
_ACCEPT_SECONDS = 1.0
_ACCEPT_POLL_SECONDS = 0.005
# After this many requests on a connection the caller must choose a host again.
_MAX_KEEP_ALIVE_REQUESTS = 10_000
# Larger headers get a 431 without body, because they can't be read completely.
_MAX_HEADER_BYTES = 256 * 1024

_REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\n"
    b"content-type: application/json\r\n"
    b"content-length: %d\r\n"
    b"retry-after: 1\r\nx-should-retry: true\r\nx-execution: not_run\r\n"
    b"connection: close\r\n\r\n%s"
)
_REFUSAL_BODY = (
    b'{"error":{"message":"Too many connections.","type":"overloaded",'
    b'"code":"overloaded","param":null,"execution":"not_run","retry_after":1.0}}'
)


async def serve_api(
    application: Application,
    settings: Settings,
    limits: Callable[[], Limits],
    stop: Callable[[], Awaitable[None]],
    task_status=trio.TASK_STATUS_IGNORED,
    *,
    is_leaving: Callable[[], bool] = lambda: False,
) -> None:
    """Serve until `stop` returns, then answer the requests that have arrived.

    `limits` returns the limits in force, which may change while serving. While
    `is_leaving` returns True, answers ask callers to close their connections. Raise
    OSError if the address can't be bound.
    """
    config = _make_config(settings)
    listeners = _open_listeners(config)
    server = _Server(application, config, limits, is_leaving)
    async with trio.open_nursery() as connections:
        try:
            async with trio.open_nursery() as accepting:
                for each in listeners:
                    accepting.start_soon(_accept, each, server.handle, connections)
                task_status.started()
                await stop()
                await _wait_accepted(listeners)
                _close(listeners)
        finally:
            _close(listeners)
        await server.close_idle()
        connections.cancel_scope.deadline = trio.current_time() + _GRACEFUL_SECONDS


async def _accept(
    listener: Listener,
    handle: Callable[[trio.abc.Stream], Awaitable[None]],
    nursery: trio.Nursery,
) -> None:
    """Accept connections until the listener is closed."""
    while True:
        try:
            stream = await listener.accept()
        except trio.ClosedResourceError:
            return
        except OSError as error:
            logging.warning("api: Failed to accept a connection: %s.", error.strerror)
            await trio.sleep(_ACCEPT_PAUSE_SECONDS)
        else:
            nursery.start_soon(handle, stream)


async def _wait_accepted(listeners: list[Listener]) -> None:
    """Return once no connection waits to be accepted, or after a time limit."""
    with trio.move_on_after(_ACCEPT_SECONDS):
        while any(_socket_of(each).is_readable() for each in listeners):
            await trio.sleep(_ACCEPT_POLL_SECONDS)


def _close(listeners: list[Listener]) -> None:
    for each in listeners:
        _socket_of(each).close()


def _socket_of(listener: Listener) -> trio.socket.SocketType:
    if isinstance(listener, trio.SSLListener):
        listener = listener.transport_listener
    return listener.socket


class _Server:
    """Serves connections with hypercorn's protocol."""

    def __init__(
        self,
        application: Application,
        config: hypercorn.config.Config,
        limits: Callable[[], Limits],
        is_leaving: Callable[[], bool],
    ):
        self._application = application
        self._config = config
        self._limits = limits
        self._is_leaving = is_leaving
        self._context = WorkerContext(None)
        self._open_connections = 0

    async def handle(self, stream: trio.abc.Stream) -> None:
        """Serve a connection, or refuse it at the limit on connections."""
        if self._open_connections >= self._limits().max_connections:
            await _refuse(stream)
            return
        self._open_connections += 1
        try:
            await Connection(
                self._application,
                self._config,
                self._context,
                stream,
                self._is_closing,
            )
        except Exception:
            # An error on one connection must not stop the server.
            logging.exception("api: Error while serving a connection.")
        finally:
            self._open_connections -= 1
            await trio.aclose_forcefully(stream)

    async def close_idle(self) -> None:
        """Close each connection once it has no request in progress or unread."""
        await self._context.terminated.set()

    def _is_closing(self) -> bool:
        return self._is_leaving() or self._context.terminated.is_set()


def _make_config(settings: Settings) -> hypercorn.config.Config:
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
    config.h11_max_incomplete_size = _MAX_HEADER_BYTES
    if settings.tls.caller_certificate:
        config.certfile = settings.tls.caller_certificate
        config.keyfile = settings.tls.caller_key
    return config


def _open_listeners(config: hypercorn.config.Config) -> list[Listener]:
    sockets = config.create_sockets()
    context = config.create_ssl_context()
    listeners = []
    for each in (*sockets.secure_sockets, *sockets.insecure_sockets):
        _limit_unacknowledged_time(each)
        each.listen(config.backlog)
        listener = trio.SocketListener(trio.socket.from_stdlib_socket(each))
        if context is not None:
            listener = trio.SSLListener(listener, context, https_compatible=True)
        listeners.append(listener)
    return listeners


def _limit_unacknowledged_time(listening: socket.socket) -> None:
    """Let the kernel close connections whose caller acknowledges no data."""
    option = getattr(socket, "TCP_USER_TIMEOUT", None)
    if option is not None:
        listening.setsockopt(socket.IPPROTO_TCP, option, _UNACKNOWLEDGED_SECONDS * 1000)


async def _refuse(stream: trio.abc.Stream) -> None:
    with trio.move_on_after(1.0):
        try:
            await stream.send_all(_REFUSAL % (len(_REFUSAL_BODY), _REFUSAL_BODY))
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return
        finally:
            await trio.aclose_forcefully(stream)
