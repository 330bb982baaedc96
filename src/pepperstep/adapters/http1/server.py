"""Server of HTTP/1.1 whose handlers see each request whole."""

import socket
from collections.abc import Callable

import trio
from absl import logging

from pepperstep.adapters.http1.connection import CallerConnection
from pepperstep.entities.routes import CallerLimits
from pepperstep.ports.exchange import CallerGone, ExchangeHandler

__all__ = ["Http1Server"]

# Connections that wait for `accept`. A burst of callers that all reconnect at
# once must not overflow it: a dropped opening packet costs the caller seconds.
_BACKLOG = 1_024
# Pause after the system refused a connection for want of descriptors, in seconds.
_ACCEPT_PAUSE_SECONDS = 0.05


class Http1Server:
    """Listens on one address and hands each request to `handler`."""

    def __init__(
        self,
        address: str,
        handler: ExchangeHandler,
        limits: Callable[[], CallerLimits],
        now: Callable[[], float],
    ):
        self._address = address
        self._handler = handler
        self._limits = limits
        self._now = now
        self._connections: set[CallerConnection] = set()
        self._is_closing = False

    @property
    def busy_count(self) -> int:
        """Number of connections with a request under way."""
        return sum(connection.is_busy for connection in self._connections)

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled; raise OSError if the address is taken."""
        host, _, port = self._address.rpartition(":")
        listener = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            await listener.bind((host, int(port)))
        except OSError as error:
            listener.close()
            text = f"Can't listen on {self._address}: {error.strerror}"
            raise OSError(error.errno, text) from error
        listener.listen(_BACKLOG)
        try:
            async with trio.open_nursery() as nursery:
                task_status.started()
                await self._accept(listener, nursery)
        finally:
            listener.close()

    def announce_closing(self) -> None:
        """Tell callers with each answer that the connection ends with it."""
        self._is_closing = True

    async def _accept(
        self, listener: trio.socket.SocketType, nursery: trio.Nursery
    ) -> None:
        while True:
            try:
                sock, _ = await listener.accept()
            except ConnectionError:
                continue
            except OSError as error:
                logging.warning("http: No connection accepted: %s.", error.strerror)
                await trio.sleep(_ACCEPT_PAUSE_SECONDS)
                continue
            nursery.start_soon(self._serve, sock)

    async def _serve(self, sock: trio.socket.SocketType) -> None:
        connection = CallerConnection(
            sock, self._handler, self._limits, self._now, lambda: self._is_closing
        )
        self._connections.add(connection)
        try:
            await connection.run()
        except (OSError, CallerGone):
            # The caller's end; what it waited for was told by `wait_disconnected`.
            connection.abort()
        except Exception:
            # One request's fault must not end the others.
            logging.exception("http: A request's handler failed.")
            connection.abort()
        finally:
            self._connections.discard(connection)
            sock.close()
