"""Upstreams of a run: they record what they get, and have the plan's faults."""

from dataclasses import dataclass
from functools import partial

import trio

from pepperstep.ports.exchange import Answer, AnswerHead, CallerGone, Exchange
from soak.plan import UpstreamFault
from standins.platform_site import Site, StandInUpstream

__all__ = ["Arrival", "Upstreams"]

_WORK_SECONDS = 0.03
_SLOW_SECONDS = 0.6
_EVENT_PAUSE_SECONDS = 0.05
_NOT_EXECUTED = (b"pepperstep-not-executed", b"1")
# From the announcement that an upstream leaves until it ends.
_LEAVING_SECONDS = 2.5


@dataclass(slots=True)
class Arrival:
    """A request that an upstream has got; times are trio's."""

    attempt: bytes
    upstream: str
    at: float
    # Time since the upstream came back under the id that it had before, else infinite.
    since_return: float
    ended_at: float = float("inf")
    # "running", "answered", "refused", "dropped" by the host or "crashed".
    outcome: str = "running"

    @property
    def has_run(self) -> bool:
        """Whether the upstream has run the request, at least in part."""
        return self.outcome != "refused"


class _SoakUpstream(StandInUpstream):
    """An upstream that works on each request, and may be silent, slow or refuse."""

    def __init__(self, arrivals: list[Arrival], *arguments):
        super().__init__(*arguments)
        self._arrivals = arrivals
        self.born = int(trio.current_time() * 1000)
        self.silent_until = 0.0
        self.slow_until = 0.0
        self.refuses_until = 0.0
        self.is_crashed = False
        # When it came back under the id that it had before.
        self.returned_at = float("-inf")

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        attempt = exchange.head.first(b"pepperstep-attempt-id")
        now = trio.current_time()
        arrival = Arrival(attempt, self.name, now, now - self.returned_at)
        headers = (
            (b"pepperstep-attempt-id", attempt),
            (b"pepperstep-replica-seal", self.name.encode()),
        )
        if exchange.head.first(b"pepperstep-expect-replica") != self.name.encode():
            await exchange.answer(Answer(421, b"", headers))
            return
        self._arrivals.append(arrival)
        if trio.current_time() < self.refuses_until:
            arrival.outcome, arrival.ended_at = "refused", trio.current_time()
            await exchange.answer(Answer(503, b"", (*headers, _NOT_EXECUTED)))
            return
        try:
            with trio.CancelScope() as scope:
                exchange.cancel_when_disconnected(scope)
                if exchange.head.target.startswith(b"/stream"):
                    await self._stream(exchange, headers, attempt)
                else:
                    await self._work()
                    await exchange.answer(Answer(200, exchange.body, headers))
                arrival.outcome = "answered"
        except CallerGone:
            pass
        finally:
            arrival.ended_at = trio.current_time()
            if arrival.outcome == "running":
                arrival.outcome = "crashed" if self.is_crashed else "dropped"

    def beat(self) -> bytes:
        """Return the body of the next announcement, with the time of the start."""
        return super().beat()[:-1] + b', "born": %d}' % self.born

    async def _stream(self, exchange: Exchange, headers, attempt: bytes) -> None:
        """Send as many events as the target's last part asks for."""
        count = int(exchange.head.target.rpartition(b"/")[2])
        await self._work()
        kind = (b"content-type", b"text/event-stream")
        await exchange.begin(
            AnswerHead(200, (*headers, kind)), b"data: %s 1\n\n" % attempt
        )
        for number in range(2, count + 1):
            await trio.sleep(_EVENT_PAUSE_SECONDS)
            await trio.sleep_until(self.silent_until)
            await exchange.send(b"data: %s %d\n\n" % (attempt, number))
        await exchange.finish()

    async def _work(self) -> None:
        is_slow = trio.current_time() < self.slow_until
        await trio.sleep(_SLOW_SECONDS if is_slow else _WORK_SECONDS)
        await trio.sleep_until(self.silent_until)


class Upstreams:
    """All upstreams of a run, by their names in the plan."""

    def __init__(self, site: Site):
        self._site = site
        self._current: dict[str, _SoakUpstream] = {}
        self._lives: dict[str, int] = {}
        # Faults of an upstream come one after the other.
        self._locks: dict[str, trio.Lock] = {}
        self.arrivals: list[Arrival] = []
        # Services and times of crashes.
        self.crashes: list[tuple[str, float]] = []

    async def start(self, name: str, service: str, *, is_renamed: bool = True) -> None:
        """Start an upstream, with a new id if `is_renamed`."""
        life = self._lives.get(name, 0) + int(is_renamed)
        self._lives[name] = life
        self._locks.setdefault(name, trio.Lock())
        upstream = await self._site.upstream(
            f"{name}-{life}",
            service,
            int(name[1:]),
            partial(_SoakUpstream, self.arrivals),
        )
        if not is_renamed:
            upstream.returned_at = trio.current_time()
        self._current[name] = upstream

    async def apply(self, fault: UpstreamFault) -> None:
        """Let an upstream have a fault, and return once it's over."""
        async with self._locks[fault.upstream]:
            upstream = self._current[fault.upstream]
            end = trio.current_time() + fault.seconds
            if fault.kind == "silence":
                upstream.silent_until = end
            elif fault.kind == "slow":
                upstream.slow_until = end
            elif fault.kind == "refuse":
                upstream.refuses_until = end
            else:
                if fault.kind == "leave":
                    upstream.state = "draining"
                    await trio.sleep(_LEAVING_SECONDS)
                upstream.is_crashed = True
                self.crashes.append((upstream.service, trio.current_time()))
                self._site.crash(upstream.name)
                await trio.sleep_until(end)
                await self.start(
                    fault.upstream, upstream.service, is_renamed=fault.is_renamed
                )
            await trio.sleep_until(end)
