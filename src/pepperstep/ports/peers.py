"""Remote procedure calls between entry and control hosts."""

from collections.abc import Awaitable, Callable
from typing import Protocol, TypeVar

from google.protobuf.message import Message

__all__ = ["Handler", "PeerNetwork"]

M = TypeVar("M", bound=Message)

# Receives a message and the name of the sending host, returns the answer.
Handler = Callable[[M, str], Awaitable[Message]]


class PeerNetwork(Protocol):
    """Calls to other hosts, and handlers for calls from them.

    A call may be lost, delayed, duplicated or answered after its timeout. In each
    of these cases the receiver may have handled it.
    """

    def set_address(self, peer: str, address: str) -> None:
        """Set the address of `peer` (host:port), replacing an earlier one."""

    def handle(self, message_type: type[M], handler: Handler[M]) -> None:
        """Register the one handler for `message_type`."""

    async def call(self, peer: str, message: Message, timeout: float) -> Message:
        """Return the answer of `peer`.

        Raise `Failure` with `PEER_UNREACHABLE` after `timeout` seconds, on a
        connection error or for an unknown peer, and with the handler's code
        if the handler raised a `Failure`.
        """

    async def call_single(self, peer: str, message: Message, timeout: float) -> Message:
        """Return the answer of `peer`; raise the same errors as `call`.

        Suits many peers that are called rarely and answer quickly: a call costs more
        than with `call`, but nothing is spent between calls.
        """
