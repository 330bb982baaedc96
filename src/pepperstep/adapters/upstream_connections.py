"""Connections to one upstream, kept open between requests.

httpcore's own pool looks at each of its connections for each request, which
costs more than the request itself once some dozens are open. Here the one used
last is taken first, and only that one is looked at.
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import httpcore
import trio

__all__ = ["UpstreamConnections"]

_IDLE_SECONDS = 30.0
# More idle connections than this are closed.
_MAX_IDLE = 64


class UpstreamConnections:
    """Idle connections to one origin; a request in progress has one of its own."""

    def __init__(self, origin: httpcore.Origin, backend, ssl_context=None):
        self._origin = origin
        self._backend = backend
        self._ssl_context = ssl_context
        self._idle: list[httpcore.AsyncHTTPConnection] = []

    @asynccontextmanager
    async def stream(
        self, request: httpcore.Request
    ) -> AsyncIterator[httpcore.Response]:
        """Send a request and give the response, whose body is read in the block.

        A connection that broke, or whose body wasn't read to its end, is closed.
        """
        connection = await self._take()
        try:
            response = await connection.handle_async_request(request)
            try:
                yield response
            finally:
                await response.aclose()
        finally:
            await self._give_back(connection)

    async def aclose(self) -> None:
        """Close all idle connections."""
        while self._idle:
            await self._idle.pop().aclose()

    async def _take(self) -> httpcore.AsyncHTTPConnection:
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

    async def _give_back(self, connection: httpcore.AsyncHTTPConnection) -> None:
        is_usable = connection.is_idle() and not connection.is_closed()
        if is_usable and len(self._idle) < _MAX_IDLE:
            self._idle.append(connection)
            return
        with trio.CancelScope(shield=True):
            await connection.aclose()
