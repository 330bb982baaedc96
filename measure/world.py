"""Whole hosts of both partners under load, with accounts of all that happens."""

import random
from collections import deque
from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace

import trio
from trio._core import _run as run_module
from trio.testing import MockClock

from measure.accounts import Ledger, Sample
from measure.callers import Caller
from measure.engines import MeasuredEngine, MeasuredUpstreams
from measure.mix import PARTNERS, Arrival, Partner, Speed, arrivals, base_document
from pepperstep.entities import Load, Request, RequestKind
from pepperstep.errors import Failure
from pepperstep.fakes import FakeCloud, FakeService
from pepperstep.fakes.hosts import FakeHosts, HostPlace
from pepperstep.fakes.timers import EPOCH
from pepperstep.node import Policies
from pepperstep.ports.cloud import CloudHost, HostState, PriceClass

__all__ = ["Case", "World", "run_case"]

_HOSTS = 6
_WARM_SECONDS = 3.0
# Time until the load has reached its height.
_RISE_SECONDS = 5.0
# After the last arrival requests have this long to end.
_LAST_SECONDS = 150.0
_ANNOUNCE_SECONDS = 1.0
_EXPORT_RATE = 1e9
_PRICE = 0.35


Fault = Callable[["World"], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class Case:
    """One scenario under one set of policies."""

    policies: Policies
    # Times the partners' capacity, and seconds of arrivals.
    load: float = 0.5
    seconds: float = 20.0
    seed: int = 1
    speed: Speed = Speed()
    # Seconds by which reports of load are late, besides the heartbeat's period.
    lag: float = 0.0
    easy_batch: int | None = None
    retry_share: float = 0.1
    fault: Fault | None = None
    partners: tuple[Partner, ...] = PARTNERS


class World:
    """Hosts, upstreams, a cloud and callers of one run."""

    def __init__(self, case: Case):
        self.case = case
        self.ledger = Ledger()
        self.samples: list[Sample] = []
        self.upstreams = MeasuredUpstreams()
        self.cloud = _make_cloud(case.partners)
        self.hosts: FakeHosts | None = None
        self.started_at = 0.0
        self.rng = random.Random(case.seed)
        self._heartbeat_rng = random.Random(case.seed)
        # Requests that a fault sends besides the load, and upstreams lost by it.
        self.extra: list[Sample] = []
        self.losses = 0
        self._sequence = 0
        self._requests: dict[str, Request] = {}
        self._reports: dict[str, deque[Load]] = {}
        for partner in case.partners:
            self._add_upstreams(partner)

    @property
    def capacity(self) -> float:
        """Seconds of slots within the window."""
        begin, end = self.ledger.window
        slots = sum(each.upstream.slots for each in self.upstreams.engines)
        return slots * (end - begin)

    @property
    def doubled(self) -> int:
        """Calls that must not be repeated and ran more than once."""
        return sum(
            self.runs_of(request) > 1
            for request in self._requests.values()
            if not request.is_repeatable
        )

    @property
    def decoded_again(self) -> int:
        """Tokens that were generated more than once."""
        decoded = self.ledger.decoded
        return sum(
            max(0, decoded[request.id] - request.max_tokens)
            for request in self._requests.values()
            if request.kind is not RequestKind.SERVICE
        )

    @asynccontextmanager
    async def run(self):
        """Run the hosts until the block ends."""
        case = self.case
        async with trio.open_nursery() as nursery:
            async with FakeHosts.start(
                _places(case.partners),
                self.upstreams,
                base_document(case.retry_share),
                cloud=self.cloud,
                seed=case.seed,
                policies=case.policies,
                is_announcing=False,
            ) as self.hosts:
                self._rent_hosts()
                nursery.start_soon(self._announce_always)
                await trio.sleep(_WARM_SECONDS)
                self.started_at = trio.current_time()
                end = self.started_at + case.seconds
                self.ledger.window = (self.started_at + _RISE_SECONDS, end)
                yield self
            nursery.cancel_scope.cancel()

    async def send_load(self) -> None:
        """Send the case's load and return when all requests have ended."""
        case = self.case
        async with trio.open_nursery() as faults:
            if case.fault is not None:
                faults.start_soon(case.fault, self)
            with trio.move_on_after(case.seconds + _LAST_SECONDS):
                async with trio.open_nursery() as nursery:
                    for partner in case.partners:
                        nursery.start_soon(self._send, partner, nursery)
            faults.cancel_scope.cancel()

    async def ask(self, arrival: Arrival, host: str, is_extra: bool = False) -> Sample:
        """Send a request to an entry host, read its answer and account for it."""
        now = trio.current_time()
        request = replace(arrival.request, deadline=EPOCH + now + arrival.type.deadline)
        self._requests[request.id] = request
        sample = self._new_sample(arrival, now)
        (self.extra if is_extra else self.samples).append(sample)
        caller = Caller(self.hosts, request, sample, self.rng, self.runs_of)
        try:
            await caller.submit(host)
            await caller.read_all()
        except Failure as failure:
            caller.note_failure(failure.code, failure.execution)
        return sample

    def entry_hosts(self, partner: Partner) -> list[str]:
        """Return the names of a partner's hosts that run."""
        places = self.hosts.places
        return [name for name in self.hosts.hosts if places[name].site == partner.name]

    def engines_of(self, zone: str) -> list[MeasuredEngine]:
        """Return the engines of a zone."""
        return [e for e in self.upstreams.engines if e.upstream.zone == zone]

    def runs_of(self, request: Request) -> int:
        """Return how often a plain service ran a call."""
        return sum(
            each.runs[request.body]
            for each in self.upstreams.all.values()
            if isinstance(each, FakeService)
        )

    def _rent_hosts(self) -> None:
        """Let the cloud list the engines' hosts."""
        for partner in self.case.partners:
            for zone in partner.zones:
                for engine in self.engines_of(zone):
                    host = CloudHost(
                        engine.upstream.host,
                        f"rented-{engine.name}",
                        zone,
                        "gpu",
                        PriceClass.RECLAIMABLE,
                        _PRICE,
                        HostState.RUNNING,
                        partner.deployment,
                    )
                    self.cloud.add_host(host)

    async def _send(self, partner: Partner, nursery: trio.Nursery) -> None:
        case = self.case
        load = arrivals(partner, case.speed, case.load, case.seconds, case.seed)
        for arrival in load:
            await trio.sleep_until(self.started_at + arrival.at)
            host = self.rng.choice(self.entry_hosts(partner))
            nursery.start_soon(self.ask, arrival, host)

    def _new_sample(self, arrival: Arrival, now: float) -> Sample:
        each = arrival.type
        work = 0.0
        if not each.is_call:
            work = each.work(self.case.speed, arrival.request.max_tokens)
        return Sample(
            arrival.request.id,
            arrival.partner.name,
            each.name,
            arrival.workspace,
            each.priority.name.lower(),
            now,
            now + each.deadline,
            work,
        )

    async def _announce_always(self) -> None:
        """Renew each upstream's lease, with a load that may be late."""
        while True:
            self._sequence += 1
            for partner in self.case.partners:
                for each in self.upstreams.all.values():
                    if each.is_alive and each.upstream.region == partner.region:
                        host = self._heartbeat_rng.choice(self.entry_hosts(partner))
                        self._announce(each, host)
            await trio.sleep(_ANNOUNCE_SECONDS)

    def _announce(self, each, host: str) -> None:
        upstream = each.upstream
        if isinstance(each, MeasuredEngine):
            kept = 1 + round(self.case.lag / _ANNOUNCE_SECONDS)
            reports = self._reports.setdefault(each.name, deque(maxlen=kept))
            reports.append(each.load)
            upstream = replace(upstream, load=reports[0])
        self.hosts.hosts[host].node.registry.announce(upstream, self._sequence)

    def _add_upstreams(self, partner: Partner) -> None:
        speed = self.case.speed
        for number in range(partner.engines):
            engine = MeasuredEngine(
                f"{partner.deployment}-{number}",
                partner.zones[number % 3],
                partner.key,
                region=partner.region,
                slots=speed.slots,
                prefill_seconds=speed.prefill_seconds,
                decode_seconds=speed.decode_seconds,
                easy_batch=self.case.easy_batch or speed.slots,
                export_rate=_EXPORT_RATE,
                ledger=self.ledger,
            )
            self.upstreams.add(engine)
        for number in range(partner.services):
            name = f"{partner.service}-{number}"
            service = FakeService(name, partner.service, partner.zones[number % 3])
            service.upstream = replace(service.upstream, region=partner.region)
            self.upstreams.add(service)


def run_case(case: Case) -> World:
    """Run a case in virtual time, in the same order of tasks each time."""

    async def main() -> World:
        world = World(case)
        async with world.run():
            await world.send_load()
        return world

    run_module._ALLOW_DETERMINISTIC_SCHEDULING = True
    run_module._r.seed(case.seed)
    return trio.run(main, clock=MockClock(autojump_threshold=0))


def _places(partners: tuple[Partner, ...]) -> list[HostPlace]:
    return [
        HostPlace(
            f"{partner.name}-entry-{number}",
            partner.zones[number % 3],
            partner.region,
            partner.name,
            is_control=partner is partners[0] and number < 3,
        )
        for partner in partners
        for number in range(_HOSTS)
    ]


def _make_cloud(partners: tuple[Partner, ...]) -> FakeCloud:
    """Return a cloud that starts nothing."""
    cloud = FakeCloud([])
    cloud.refused = {zone for partner in partners for zone in partner.zones}
    return cloud
