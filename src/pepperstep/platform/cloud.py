"""Client of the platform's API; each call carries the holder's fencing token."""

import msgspec

from pepperstep.errors import Code, Failure
from pepperstep.platform import names
from pepperstep.ports import Timers
from pepperstep.ports.exchange import (
    Answer,
    ConnectionFault,
    RequestHead,
    UpstreamConnector,
)
from pepperstep.ports.orders import UpstreamOrder
from pepperstep.ports.usage import UsageReport

__all__ = ["PlatformCloud"]

# Timeout of a call with its answer; the API is slow at times.
_CALL_SECONDS = 1.5
# Part of an answer that is read; only its status counts, and its start is logged.
_MAX_ANSWER_BYTES = 65_536


class _Usage(msgspec.Struct):
    """Usage in one window: its number, and the started runs by tenant."""

    window_id: int
    counts: dict[str, int]


class _Scale(msgspec.Struct):
    """Desired number of replicas of a service in a zone, by price class."""

    service: str
    zone: str
    desired: int
    # Whether they may be reclaimed.
    spot: bool


class PlatformCloud:
    """Client of the platform's API at `address`."""

    def __init__(self, address: str, connector: UpstreamConnector, timers: Timers):
        self._address = address
        self._connector = connector
        self._timers = timers

    async def report(self, report: UsageReport) -> None:
        """Report the usage of one window."""
        body = _Usage(report.window, report.counts)
        await self._call(names.USAGE, report.holder, report.fence, body)

    async def order(self, order: UpstreamOrder, holder: str, fence: int) -> None:
        """Set the desired number of upstreams of a service in a zone."""
        body = _Scale(order.service, order.zone, order.count, order.is_reclaimable)
        await self._call(names.SCALE, holder, fence, body)

    async def _call(
        self, path: bytes, holder: str, fence: int, body: msgspec.Struct
    ) -> None:
        """Make a call; raise `Failure` unless it succeeds."""
        head = RequestHead(
            b"POST",
            path,
            (
                (b"host", self._address.encode()),
                (b"content-type", b"application/json"),
                (names.HOLDER, holder.encode()),
                (names.FENCE, b"%d" % fence),
            ),
        )
        answer = Answer(0)
        with self._timers.move_on_after(_CALL_SECONDS):
            answer = await self._send(head, msgspec.json.encode(body))
        if 200 <= answer.status < 300:
            return
        text = f"The platform's answer is {answer.status}: {answer.body[:200]!r}"
        if answer.status == 409 and path == names.SCALE:
            # Either the platform has no capacity, or another host has a higher
            # fencing token. In the second case its orders apply, so that treating
            # the conflict as lack of capacity here does no harm.
            raise Failure(Code.OVERLOADED, text)
        code = Code.FENCED if answer.status == 409 else Code.PEER_UNREACHABLE
        raise Failure(code, text)

    async def _send(self, head: RequestHead, body: bytes) -> Answer:
        try:
            connection = await self._connector.connect(self._address, _CALL_SECONDS)
        except ConnectionFault as fault:
            raise Failure(Code.PEER_UNREACHABLE, fault.text) from fault
        try:
            answer = await connection.send(head, body)
            body = bytearray()
            async for piece in connection.pieces():
                body += piece
                if len(body) > _MAX_ANSWER_BYTES:
                    break
        except ConnectionFault as fault:
            raise Failure(Code.PEER_UNREACHABLE, fault.text) from fault
        finally:
            connection.close()
        return Answer(answer.status, bytes(body))
