"""HTTP/1.1 server whose handlers get each request with its whole body."""

import select
import socket
from collections.abc import Callable
from dataclasses import dataclass

import trio
from absl import logging

from pepperstep.adapters.http1.body_budget import BodyBudget
from pepperstep.adapters.http1.connection import CallerConnection
from pepperstep.entities.routes import CallerLimits
from pepperstep.ports.exchange import CallerGone, ExchangeHandler

__all__ = ["Http1Server", "PendingWork"]

# Listen backlog. It must hold a burst of callers that reconnect at once, because a
# dropped SYN costs the caller seconds.
_BACKLOG = 1_024
# Bodies of all requests together. While a body is joined, it's held twice.
_MAX_BODY_BYTES = 67_108_864
# Pause after `accept` failed, for example for lack of file descriptors.
_ACCEPT_PAUSE_SECONDS = 0.05
# Period at which a closing server looks for idle connections.
_CLOSE_POLL_SECONDS = 0.005


@dataclass(frozen=True, slots=True)
class PendingWork:
    """Connections that would be cut if a server ended now, by their state."""

    # A request is being answered.
    in_progress: int = 0
    # A request has arrived, at least in part, and isn't being answered yet.
    unread: int = 0
    # At least one connection waits to be accepted.
    unaccepted: int = 0

    def __bool__(self) -> bool:
        return bool(self.in_progress or self.unread or self.unaccepted)

    def __add__(self, other: "PendingWork") -> "PendingWork":
        return PendingWork(
            self.in_progress + other.in_progress,
            self.unread + other.unread,
            self.unaccepted + other.unaccepted,
        )


class Http1Server:
    """Listens on one address and passes each request to `handler`."""

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
        self._body_budget = BodyBudget(_MAX_BODY_BYTES)
        self._listener: trio.socket.SocketType | None = None
        self._accepting = trio.CancelScope()
        self._connections: set[CallerConnection] = set()
        self._is_closing = False

    @property
    def pending_work(self) -> PendingWork:
        """What would be cut if the server ended now."""
        return PendingWork(
            in_progress=sum(each.is_busy for each in self._connections),
            unread=sum(each.has_unread_request for each in self._connections),
            unaccepted=int(self._has_unaccepted()),
        )

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled; raise OSError if the address can't be bound."""
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
        self._listener = listener
        try:
            async with trio.open_nursery() as nursery:
                task_status.started()
                with self._accepting:
                    await self._accept(listener, nursery)
                self._accept_last(listener, nursery)
        finally:
            listener.close()

    def announce_closing(self) -> None:
        """Send `Connection: close` with each further answer."""
        self._is_closing = True

    async def close(self) -> None:
        """Stop listening, and return once all connections are closed.

        A connection is closed once it has no request in progress or unread. Requests
        that have arrived are still passed to the handler.
        """
        self._is_closing = True
        self._accepting.cancel()
        while self._connections or self._is_listening:
            for connection in list(self._connections):
                connection.close_if_idle()
            await trio.sleep(_CLOSE_POLL_SECONDS)

    async def _accept(
        self, listener: trio.socket.SocketType, nursery: trio.Nursery
    ) -> None:
        while True:
            try:
                sock, _ = await listener.accept()
            except ConnectionError:
                continue
            except OSError as error:
                logging.warning(
                    "http: Failed to accept a connection: %s.", error.strerror
                )
                await trio.sleep(_ACCEPT_PAUSE_SECONDS)
                continue
            self._add_connection(sock, nursery)

    def _accept_last(
        self, listener: trio.socket.SocketType, nursery: trio.Nursery
    ) -> None:
        """Accept the connections that wait, and stop listening.

        Both happen in one step. Callers that connect again and again would otherwise
        keep the listener open, and closing it resets the connections that wait.
        """
        with socket.socket(fileno=listener.detach()) as waiting:
            while True:
                try:
                    sock, _ = waiting.accept()
                except ConnectionError:
                    continue
                except BlockingIOError:
                    return
                except OSError as error:
                    logging.warning(
                        "http: Failed to accept the last connections: %s.",
                        error.strerror,
                    )
                    return
                sock.setblocking(False)
                self._add_connection(trio.socket.from_stdlib_socket(sock), nursery)

    def _add_connection(
        self, sock: trio.socket.SocketType, nursery: trio.Nursery
    ) -> None:
        connection = CallerConnection(
            sock,
            self._handler,
            self._limits,
            self._now,
            lambda: self._is_closing,
            self._body_budget,
        )
        self._connections.add(connection)
        nursery.start_soon(self._serve, connection, sock)

    @property
    def _is_listening(self) -> bool:
        return self._listener is not None and self._listener.fileno() >= 0

    def _has_unaccepted(self) -> bool:
        """Whether a connection waits to be accepted."""
        if not self._is_listening:
            return False
        poll = select.poll()
        poll.register(self._listener.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    async def _serve(
        self, connection: CallerConnection, sock: trio.socket.SocketType
    ) -> None:
        try:
            await connection.run()
        except (OSError, CallerGone):
            # The caller disconnected, and the work for its request has been cancelled.
            connection.abort()
        except Exception:
            # A bug in one request's handler must not stop the server.
            logging.exception("http: A request handler raised an exception.")
            connection.abort()
        finally:
            connection.drop_body()
            self._connections.discard(connection)
            sock.close()
