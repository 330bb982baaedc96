"""Messages between the project's own hosts."""

from collections.abc import Awaitable, Callable
from typing import Protocol, TypeVar

from google.protobuf.message import Message

__all__ = ["Handler", "PeerNetwork"]

M = TypeVar("M", bound=Message)

# Takes a message and the name of the host that sent it, returns the answer.
Handler = Callable[[M, str], Awaitable[Message]]


class PeerNetwork(Protocol):
    """Calls to other hosts, and handlers for what they call here.

    A call may be lost, late, doubled or answered after its timeout, and the
    receiver may have handled it in each of these cases.
    """

    def set_address(self, peer: str, address: str) -> None:
        """Say where `peer` listens (host:port); a later call replaces it."""

    def handle(self, message_type: type[M], handler: Handler[M]) -> None:
        """Register the one handler for `message_type`."""

    async def call(self, peer: str, message: Message, timeout: float) -> Message:
        """Return the answer of `peer`.

        Raise `Failure` with `PEER_UNREACHABLE` after `timeout` seconds, at a
        connection error or for an unknown peer, and with the handler's code
        if the handler failed.
        """

    async def call_single(self, peer: str, message: Message, timeout: float) -> Message:
        """Return the answer of `peer`, as `call` does.

        For quick answers of many peers that are called now and then: it costs more
        for each call, and nothing between calls.
        """
