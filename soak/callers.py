"""Callers of a run, which use open connections until the host's process is gone."""

import random
from collections.abc import Callable
from dataclasses import dataclass

import trio

from pepperstep.adapters.http1 import Http1Connector
from pepperstep.ports.exchange import ConnectionFault, RequestHead
from soak.plan import CallerPlan
from soak.slow_connections import SlowConnection

__all__ = ["Callers", "Sent"]

_KEY = (b"authorization", b"Bearer key-of-desk")
_CONNECT_SECONDS = 1.0
# Pause after a refused connection or request.
_REFUSED_SECONDS = 0.1
# Time beyond a request's deadline after which a caller gives up.
_PATIENCE_SECONDS = 2.0
# Longest stream, in events and in events for each second of the deadline.
_MAX_EVENTS = 100
_EVENTS_PER_SECOND = 17
_UNAVAILABLE = 503


@dataclass(slots=True)
class Sent:
    """A request and how it ended; times are trio's."""

    attempt: bytes
    host: str
    kind: str
    service: str
    deadline: float
    sent_at: float
    is_kept: bool
    ended_at: float = 0.0
    # Status of a complete answer, 0 if the connection ended without one.
    status: int = 0
    has_begun: bool = False
    has_left: bool = False
    # What is wrong with the answer's content, "" for nothing.
    fault: str = ""
    # Body of an answer with an error of this system.
    error: bytes = b""


class Callers:
    """All callers of a run; `address` returns where a host accepts connections."""

    def __init__(self, plans: tuple[CallerPlan, ...], seed: int, address: Callable):
        self._plans = plans
        self._seed = seed
        self._address = address
        self._connector = Http1Connector(trio.current_time)
        self._is_ending = False
        self.sent: list[Sent] = []
        # Hosts and times of refused connections.
        self.refused: list[tuple[str, float]] = []

    async def run(self) -> None:
        """Send requests until `end` was called and all of them have ended."""
        async with trio.open_nursery() as nursery:
            for plan in self._plans:
                nursery.start_soon(self._call_repeatedly, plan)

    def end(self) -> None:
        """Send no further requests."""
        self._is_ending = True

    async def _call_repeatedly(self, plan: CallerPlan) -> None:
        rng = random.Random(self._seed * 1_000 + plan.number)
        connection = None
        number = 0
        try:
            while not self._is_ending:
                await trio.sleep(plan.pause * rng.uniform(0.5, 1.5))
                is_kept = rng.random() < plan.kept_share
                if connection is not None and not (
                    is_kept and connection.is_reusable()
                ):
                    connection.close()
                    connection = None
                is_kept = connection is not None
                if connection is None:
                    connection = await self._connect(plan)
                if connection is None:
                    continue
                number += 1
                attempt = b"%d-%d" % (plan.number, number)
                sent = Sent(
                    attempt,
                    plan.host,
                    plan.kind,
                    plan.service,
                    plan.deadline,
                    trio.current_time(),
                    is_kept,
                )
                if not await self._call(plan, rng, sent, connection):
                    connection.close()
                    connection = None
                if sent.status == _UNAVAILABLE:
                    await trio.sleep(_REFUSED_SECONDS)
        finally:
            if connection is not None:
                connection.close()

    async def _connect(self, plan: CallerPlan):
        address = self._address(plan.host)
        try:
            if plan.piece_pause:
                return await SlowConnection.open(
                    address, plan.piece_pause, _CONNECT_SECONDS
                )
            return await self._connector.connect(address, _CONNECT_SECONDS)
        except ConnectionFault:
            self.refused.append((plan.host, trio.current_time()))
            await trio.sleep(_REFUSED_SECONDS)
        return None

    async def _call(self, plan: CallerPlan, rng, sent: Sent, connection) -> bool:
        """Send a request; return whether the connection may be used again."""
        self.sent.append(sent)
        longest = min(_MAX_EVENTS, round(_EVENTS_PER_SECOND * plan.deadline))
        count = rng.randint(1, longest)
        path = b"/%s-%s/%d" % (plan.kind.encode(), plan.service.encode(), count)
        headers = (
            (b"host", b"a.example"),
            (b"pepperstep-attempt-id", sent.attempt),
            (b"pepperstep-deadline-ms", b"%d" % round(1000 * plan.deadline)),
            _KEY,
        )
        body = (sent.attempt + b" " + rng.randbytes(16).hex().encode() + b" ") * (
            plan.body_bytes // 40
        )
        leaves = rng.random() < plan.leaving_share
        patience = rng.uniform(0.0, 0.3) if leaves else plan.deadline
        patience += 0 if leaves else _PATIENCE_SECONDS
        is_reusable = False
        pieces = []
        try:
            with trio.move_on_after(patience) as scope:
                answer = await connection.send(
                    RequestHead(b"POST", path, headers), body
                )
                sent.has_begun = True
                async for piece in connection.pieces():
                    pieces.append(piece)
                sent.status = answer.status
                is_reusable = answer.first(b"connection") != b"close"
                expected = body
                if plan.kind == "stream":
                    expected = b"".join(
                        b"data: %s %d\n\n" % (sent.attempt, number)
                        for number in range(1, count + 1)
                    )
                _check_content(sent, answer, b"".join(pieces), expected)
            sent.has_left = leaves and scope.cancelled_caught
        except ConnectionFault:
            pass
        sent.ended_at = trio.current_time()
        return is_reusable


def _check_content(sent: Sent, answer, body: bytes, expected: bytes) -> None:
    """Record what is wrong with a complete answer's content."""
    attempt = answer.first(b"pepperstep-attempt-id")
    if attempt not in (sent.attempt, b""):
        sent.fault = f"answer to {attempt!r}"
    elif answer.status != 200:
        sent.error = body
    elif body != expected:
        sent.fault = f"{len(body)} bytes in place of {len(expected)}"
