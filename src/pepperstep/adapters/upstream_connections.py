"""Pool of persistent connections to one upstream.

httpcore's pool checks every connection on every request, which costs more than
the request itself with some dozens of open connections. This pool reuses the
most recently used connection and checks only that one.
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import httpcore
import trio

__all__ = ["UpstreamConnections"]

_IDLE_SECONDS = 30.0
# Idle connections beyond this number are closed.
_MAX_IDLE = 64


class UpstreamConnections:
    """Pool of idle connections to one origin; a connection serves one request."""

    def __init__(self, origin: httpcore.Origin, backend, ssl_context=None):
        self._origin = origin
        self._backend = backend
        self._ssl_context = ssl_context
        self._idle: list[httpcore.AsyncHTTPConnection] = []

    @asynccontextmanager
    async def stream(
        self, request: httpcore.Request
    ) -> AsyncIterator[httpcore.Response]:
        """Send a request and give the response; its body is read in the block.

        The connection is closed if it broke or the body wasn't read completely.
        """
        connection = await self._acquire()
        try:
            response = await connection.handle_async_request(request)
            try:
                yield response
            finally:
                await response.aclose()
        finally:
            await self._release(connection)

    async def aclose(self) -> None:
        """Close all idle connections."""
        while self._idle:
            await self._idle.pop().aclose()

    async def _acquire(self) -> httpcore.AsyncHTTPConnection:
        while self._idle:
            connection = self._idle.pop()
            if connection.is_available() and not connection.has_expired():
                return connection
            await connection.aclose()
        return httpcore.AsyncHTTPConnection(
            self._origin,
            ssl_context=self._ssl_context,
            keepalive_expiry=_IDLE_SECONDS,
            network_backend=self._backend,
        )

    async def _release(self, connection: httpcore.AsyncHTTPConnection) -> None:
        is_usable = connection.is_idle() and not connection.is_closed()
        if is_usable and len(self._idle) < _MAX_IDLE:
            self._idle.append(connection)
            return
        with trio.CancelScope(shield=True):
            await connection.aclose()
