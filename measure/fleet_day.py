"""A day of both deployments' fleets under each policy, in virtual time.

The fleet loop runs whole on a fake cloud; engines are only counted. Prices,
demand and waves of reclaims are seeded and the same for all policies.
"""

import math
import random
from collections import defaultdict
from dataclasses import asdict, dataclass, field

import trio
from trio._core import _run as run_module
from trio.testing import MockClock

from measure.mix import PARTNERS, Partner
from pepperstep.configuration import Configuration, Deployment
from pepperstep.entities import Load, Role, Upstream, UpstreamKind
from pepperstep.fakes import FakeAgreement, FakeCloud, FakeLog, FakeTimers
from pepperstep.fleet import POLICIES, Demand, Fleet, FleetPorts, FleetTuning
from pepperstep.ports.cloud import CloudHost, HostState, Offer, PriceClass, StartRefused
from pepperstep.ports.upstreams import OrderKind, UpstreamOrder, UpstreamState

__all__ = ["DayCase", "DayPartner", "DayResult", "day_cases", "run_day"]

_DAY_SECONDS = 86_400.0
_STEP_SECONDS = 15.0
# Demand changes this often.
_DEMAND_SECONDS = 30.0
_SLOTS = 16
_START_SECONDS = 120.0
_NOTICE_SECONDS = 30.0
_REFUSED_SECONDS = 900.0
_WAVE_SECONDS = 300.0
# The fleet grows from nothing; until then nothing counts.
_FIRST_SECONDS = 900.0
_TUNING = FleetTuning(period=30.0, notice_period=5.0, notice_seconds=_NOTICE_SECONDS)
_COST_WEIGHTS = {"kitahara": 0.2, "bantayog": 0.8}


@dataclass(frozen=True, slots=True)
class DayCase:
    """A policy of the fleet and the seed of its day."""

    policy: str
    seed: int = 1
    seconds: float = _DAY_SECONDS
    waves_a_day: float = 6.0


@dataclass(slots=True)
class DayPartner:
    """One partner's day."""

    cost: float = 0.0
    steps: int = 0
    short_steps: int = 0
    wave_steps: int = 0
    short_wave_steps: int = 0
    starts: int = 0
    reclaims: int = 0

    @property
    def held_share(self) -> float:
        """Share of the time in which the ready slots were enough."""
        return 1 - self.short_steps / max(1, self.steps)

    @property
    def held_wave_share(self) -> float:
        """The same for the time shortly after a zone was taken back."""
        return 1 - self.short_wave_steps / max(1, self.wave_steps)


@dataclass(slots=True)
class DayResult:
    """Figures of one policy's day."""

    refusals: int = 0
    partners: dict[str, DayPartner] = field(default_factory=dict)

    def to_dict(self) -> dict:
        """Return what goes into JSON."""
        document = asdict(self)
        for name, partner in self.partners.items():
            document["partners"][name] |= {
                "held_share": partner.held_share,
                "held_wave_share": partner.held_wave_share,
            }
        return document


class DayCloud(FakeCloud):
    """A cloud that refuses reclaimable hosts in some zones for a time."""

    def __init__(self) -> None:
        super().__init__([], start_seconds=_START_SECONDS)
        self.refused_until: dict[str, float] = defaultdict(float)
        self._seen_at = -1.0
        self._seen: list[CloudHost] = []

    @property
    def living(self) -> list[CloudHost]:
        """Hosts that aren't stopped, looked up once an instant."""
        if trio.current_time() != self._seen_at:
            self._seen = super().living
            self._seen_at = trio.current_time()
        return self._seen

    async def start_host(self, token: str, offer: Offer, deployment: str) -> CloudHost:
        """Start a host, or raise `StartRefused`."""
        is_refusing = trio.current_time() < self.refused_until[offer.zone]
        if is_refusing and offer.price_class is PriceClass.RECLAIMABLE:
            self.refusals += 1
            raise StartRefused(f"No host in {offer.zone}.", self.retry_after)
        return await super().start_host(token, offer, deployment)


class DayUpstreams:
    """One engine on each running host, as registry and as client of orders."""

    def __init__(self, cloud: DayCloud, busy: dict[str, float]):
        self._cloud = cloud
        self._busy = busy
        self._keys = {partner.deployment: partner.key for partner in PARTNERS}
        self._leaving: set[str] = set()

    def upstreams(self) -> list[Upstream]:
        """Return the engines."""
        running = [h for h in self._cloud.living if h.state is not HostState.STARTING]
        counts = defaultdict(int)
        for host in running:
            counts[host.deployment] += 1
        return [self._engine(host, counts[host.deployment]) for host in running]

    async def send_order(self, upstream: Upstream, order: UpstreamOrder) -> None:
        """Let an engine leave; other orders change nothing."""
        if order.kind is OrderKind.DRAIN:
            self._leaving.add(upstream.name)

    async def read_state(self, upstream: Upstream) -> UpstreamState:
        """Return that all orders were taken."""
        is_leaving = upstream.name in self._leaving
        models = upstream.models
        return UpstreamState(1, models, Role.MIXED, is_leaving, 2**62, "")

    def _engine(self, host: CloudHost, count: int) -> Upstream:
        name = f"engine-{host.id}"
        is_leaving = name in self._leaving
        running = 0 if is_leaving else math.ceil(self._busy[host.deployment] / count)
        return Upstream(
            name=name,
            epoch=1,
            address=name,
            kind=UpstreamKind.ENGINE,
            host=host.id,
            zone=host.zone,
            models=frozenset({self._keys[host.deployment]}),
            slots=_SLOTS,
            load=Load(min(_SLOTS, running), 0, decode_seconds=0.04),
            is_leaving=is_leaving,
            is_reclaimable=host.price_class is PriceClass.RECLAIMABLE,
        )


class Day:
    """Clouds, demand and accounts of one day."""

    def __init__(self, case: DayCase):
        self.case = case
        self.cloud = DayCloud()
        self.busy = {partner.deployment: 0.0 for partner in PARTNERS}
        self.result = DayResult(partners={p.name: DayPartner() for p in PARTNERS})
        self._upstreams = DayUpstreams(self.cloud, self.busy)
        self._rng = random.Random(case.seed)
        self._last_wave = {partner.name: -math.inf for partner in PARTNERS}

    async def run(self) -> DayResult:
        """Run the fleet and the outside to the day's end."""
        self._change_demand(0.0)
        async with trio.open_nursery() as nursery:
            await nursery.start(self._make_fleet().run)
            while trio.current_time() < self.case.seconds:
                self._step(trio.current_time())
                await trio.sleep(_STEP_SECONDS)
            nursery.cancel_scope.cancel()
        self.result.refusals = self.cloud.refusals
        for partner in PARTNERS:
            self.result.partners[partner.name].starts = sum(
                host.deployment == partner.deployment for host in self.cloud.hosts
            )
        return self.result

    def _make_fleet(self) -> Fleet:
        log = FakeLog()
        log.leader = "control-0"
        ports = FleetPorts(
            host="control-0",
            agreement=FakeAgreement("control-0", log),
            cloud=self.cloud,
            upstreams=self._upstreams,
            registry=self._upstreams,
            timers=FakeTimers(random.Random(self.case.seed)),
            rng=random.Random(self.case.seed),
        )
        configuration = Configuration(
            deployments={p.deployment: _deployment(p) for p in PARTNERS}
        )
        return Fleet.from_config(
            ports,
            lambda: configuration,
            _take_no_notice,
            demand=lambda name: Demand(self.busy[name], _SLOTS),
            policy=self.case.policy,
            tuning=_TUNING,
        )

    def _step(self, now: float) -> None:
        if now % _DEMAND_SECONDS < _STEP_SECONDS:
            self._change_demand(now)
            for partner in PARTNERS:
                self._maybe_reclaim(partner, now)
        for partner in PARTNERS:
            self._count(partner, now)

    def _change_demand(self, now: float) -> None:
        """Set prices and the requests in progress: a day's curve with noise."""
        self.cloud.offers = _offers(now)
        for partner in PARTNERS:
            curve = 0.5 - 0.5 * math.cos(now / _DAY_SECONDS * 2 * math.pi)
            peak = partner.engines * _SLOTS * 0.75
            mean = peak * (0.2 + 0.8 * curve)
            busy = max(0.0, self._rng.gauss(mean, math.sqrt(mean)))
            self.busy[partner.deployment] = busy

    def _maybe_reclaim(self, partner: Partner, now: float) -> None:
        roll, zone = self._rng.random(), self._rng.randrange(3)
        steps_a_day = _DAY_SECONDS / _DEMAND_SECONDS
        if now < _FIRST_SECONDS or roll >= self.case.waves_a_day / steps_a_day:
            return
        self.result.partners[partner.name].reclaims += sum(
            host.zone == partner.zones[zone]
            and host.price_class is PriceClass.RECLAIMABLE
            and host.state is not HostState.RECLAIMING
            for host in self.cloud.living
        )
        self.cloud.reclaim(_NOTICE_SECONDS, zone=partner.zones[zone])
        self._last_wave[partner.name] = now
        for each in (zone, (zone + 1) % 3):
            until = now + _REFUSED_SECONDS
            self.cloud.refused_until[partner.zones[each]] = until

    def _count(self, partner: Partner, now: float) -> None:
        account = self.result.partners[partner.name]
        hosts = [h for h in self.cloud.living if h.deployment == partner.deployment]
        account.cost += sum(host.price for host in hosts) * _STEP_SECONDS / 3600
        if now < _FIRST_SECONDS:
            return
        ready = sum(host.state is not HostState.STARTING for host in hosts)
        is_short = ready * _SLOTS < self.busy[partner.deployment]
        is_wave = now - self._last_wave[partner.name] < _WAVE_SECONDS
        account.steps += 1
        account.short_steps += is_short
        account.wave_steps += is_wave
        account.short_wave_steps += is_short and is_wave


def day_cases() -> dict[str, DayCase]:
    """Return a case for each policy of the fleet, the usual one first."""
    return {name: DayCase(name) for name in POLICIES}


def run_day(case: DayCase) -> DayResult:
    """Run a day in virtual time, in the same order of tasks each time."""
    run_module._ALLOW_DETERMINISTIC_SCHEDULING = True
    run_module._r.seed(case.seed)
    return trio.run(Day(case).run, clock=MockClock(autojump_threshold=0))


async def _take_no_notice(notices) -> None:
    """Requests aren't part of the day."""


def _deployment(partner: Partner) -> Deployment:
    return Deployment(
        model=partner.key.model,
        version=partner.key.version,
        workspaces=tuple(partner.workspaces),
        cost_weight=_COST_WEIGHTS[partner.name],
        max_replicas=partner.engines * 2,
        zones=partner.zones,
    )


def _offers(now: float) -> list[Offer]:
    offers = []
    for partner in PARTNERS:
        for number, zone in enumerate(partner.zones):
            wave = math.sin(now / _DAY_SECONDS * 2 * math.pi + number)
            price = 0.34 + 0.04 * number + 0.05 * wave
            offers.append(Offer(zone, "gpu", PriceClass.RECLAIMABLE, price))
            price = 1.0 + 0.02 * number
            offers.append(Offer(zone, "gpu", PriceClass.ON_DEMAND, price))
    return offers
