"""One connection of a caller, by hypercorn's protocol with a shorter way out."""

import socket
from collections.abc import Awaitable, Callable

import hypercorn.config
import trio
from hypercorn.events import Event, RawData
from hypercorn.trio.tcp_server import TCPServer
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.typing import ConnectionState

__all__ = ["Application", "Connection"]

# Application of ASGI.
Application = Callable[[dict, Callable, Callable], Awaitable[None]]


class Connection(TCPServer):
    """Connection that makes few calls of the system and waits only if it must.

    Hypercorn makes a call for each piece of an answer, and for each takes a lock
    and opens a cancel scope, which costs as much as all the rest of relaying a
    token. Here head and first piece go out together, as do the last two, and
    nothing waits where the system takes all at once.
    """

    def __init__(
        self,
        application: Application,
        config: hypercorn.config.Config,
        context: WorkerContext,
        stream: trio.abc.Stream,
    ):
        super().__init__(
            self._run_application, config, context, ConnectionState({}), stream
        )
        self._application = application
        self._raw: socket.socket | None = None
        # Data that waits for what goes out with it, None for nothing.
        self._held: list[bytes] | None = None

    async def run(self) -> None:
        """Serve the connection to its end."""
        if not isinstance(self.stream, trio.SocketStream):
            await super().run()
            return
        # The same descriptor, which the stream goes on to own.
        self._raw = socket.socket(fileno=self.stream.socket.fileno())
        try:
            await super().run()
        finally:
            self._raw.detach()
            self._raw = None

    async def protocol_send(self, event: Event) -> None:
        """Send data, or do what else the protocol asks for."""
        if not isinstance(event, RawData):
            await self._flush()
            await super().protocol_send(event)
        elif self._held is not None:
            self._held.append(event.data)
        else:
            await self._send(event.data)

    async def _run_application(
        self, scope: dict, receive: Callable, send: Callable, *_: Callable
    ) -> None:
        """Run the application for one request; called by hypercorn."""

        async def send_together(event: dict) -> None:
            if self._held is None:
                self._held = []
            if event.get("more_body") or event["type"] == "http.response.start":
                await send(event)
            else:
                await self._send_end(send, event)
            if event["type"] != "http.response.start":
                await self._flush()

        await self._application(scope, receive, send_together)

    async def _send_end(self, send: Callable, event: dict) -> None:
        """Send an answer's last piece.

        Hypercorn tells the application that all is over while it's still to be
        sent, and the application then ends what it does for the answer.
        """
        with trio.CancelScope(shield=True):
            await send(event)
            await self._flush()

    async def _flush(self) -> None:
        held = self._held
        self._held = None
        if held:
            await self._send(b"".join(held))

    async def _send(self, data: bytes) -> None:
        if self._can_send_now():
            data = self._send_now(data)
        if data:
            await super().protocol_send(RawData(data=data))

    def _can_send_now(self) -> bool:
        """Whether the descriptor is open and nothing waits to be sent before."""
        if self._raw is None or self.send_lock.locked():
            return False
        return self.stream.socket.fileno() >= 0

    def _send_now(self, data: bytes) -> bytes:
        """Send what the system takes and return what is left."""
        try:
            count = self._raw.send(data)
        except OSError:
            # Waiting, and errors too, are for the longer way.
            return data
        return data[count:]
