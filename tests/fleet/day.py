"""A seeded day of one deployment's demand and reclaims, planned every 30 seconds."""

import math
import random
from dataclasses import dataclass, field

from pepperstep.configuration import Deployment
from pepperstep.fleet import (
    Demand,
    DeploymentView,
    HostView,
    PoolHistory,
    PoolKey,
    PoolView,
    StartHost,
    needed_replicas,
    plan_fleet,
)
from pepperstep.fleet.demand import PeakDemand
from pepperstep.fleet.history import PoolEvent, PoolEventKind, decayed_count
from pepperstep.ports.cloud import PriceClass

STEP = 30.0
STEPS = 2880
SLOTS = 16
_START_SECONDS = 120.0
_REFUSED_SECONDS = 900.0
_WAVES_A_DAY = 6
_PEAK_WINDOW = 300.0


@dataclass
class DayHost:
    """A rented host and the time at which it is ready."""

    token: str
    key: PoolKey
    price: float
    ready_at: float


@dataclass
class Day:
    """A deployment's day under one policy, with its cost and unmet demand."""

    policy: str
    deployment: Deployment
    zones: tuple[str, ...]
    seed: int
    cost: float = 0.0
    # Steps with fewer ready slots than requests, in all and after reclaims.
    overloaded_steps: int = 0
    wave_steps: int = 0
    overloaded_wave_steps: int = 0
    hosts: list[DayHost] = field(default_factory=list)
    _pools: dict[PoolKey, PoolHistory] = field(default_factory=dict)
    _refused_until: dict[str, float] = field(default_factory=dict)

    def run(self) -> "Day":
        """Run the whole day; the same seed gives the same demand and reclaims."""
        rng = random.Random(self.seed)
        peak = PeakDemand(_PEAK_WINDOW)
        last_wave = -math.inf
        for number in range(STEPS):
            now = number * STEP
            busy = _draw_demand(number, rng)
            if rng.random() < _WAVES_A_DAY / STEPS:
                self._reclaim(rng.choice(self.zones), now)
                last_wave = now
            draw = rng.random()
            is_wave = now - last_wave < _PEAK_WINDOW
            self._count(now, busy, is_wave)
            need = needed_replicas(peak.add(now, Demand(busy)), self.deployment)
            self._plan(now, need, draw)
        return self

    @property
    def served_share(self) -> float:
        """Share of the steps with enough ready slots."""
        return 1 - self.overloaded_steps / STEPS

    @property
    def served_wave_share(self) -> float:
        """Share of the steps shortly after a zone's reclaim with enough ready slots."""
        return 1 - self.overloaded_wave_steps / max(1, self.wave_steps)

    def _count(self, now: float, busy: float, is_wave: bool) -> None:
        self.cost += sum(host.price for host in self.hosts) * STEP / 3600
        ready = sum(host.ready_at <= now for host in self.hosts)
        is_overloaded = now > _START_SECONDS * 2 and ready * SLOTS < busy
        self.overloaded_steps += is_overloaded
        self.wave_steps += is_wave
        self.overloaded_wave_steps += is_overloaded and is_wave

    def _reclaim(self, zone: str, now: float) -> None:
        """Reclaim a zone; it and the next one refuse reclaimable starts for a while."""
        lost = [
            host
            for host in self.hosts
            if host.key.zone == zone and host.key.price_class is PriceClass.RECLAIMABLE
        ]
        for host in lost:
            self.hosts.remove(host)
            self._apply_event(
                PoolEvent(host.key, PoolEventKind.RECLAIMED, now + 90), now
            )
        other = self.zones[(self.zones.index(zone) + 1) % len(self.zones)]
        for refusing_zone in (zone, other):
            self._refused_until[refusing_zone] = now + _REFUSED_SECONDS

    def _plan(self, now: float, need, draw: float) -> None:
        view = DeploymentView(
            "day",
            need,
            tuple(
                HostView(h.token, h.token, h.key, h.price, h.ready_at <= now)
                for h in self.hosts
            ),
            tuple(self._pool_views(now)),
            self.deployment.max_replicas,
            self.deployment.cost_weight,
            0,
            now > _PEAK_WINDOW,
        )
        for number, decision in enumerate(plan_fleet([view], self.policy)):
            if isinstance(decision, StartHost):
                key = PoolKey.of(decision.offer)
                self._start(f"{now}-{number}", key, decision.offer.price, now, draw)
            else:
                self.hosts = [h for h in self.hosts if h.token != decision.token]

    def _start(self, token: str, key: PoolKey, price: float, now: float, draw) -> None:
        is_refusing = self._refused_until.get(key.zone, 0) > now
        if is_refusing and key.price_class is PriceClass.RECLAIMABLE:
            backoff_seconds = min(
                300.0, 5.0 * 2 ** self._pools.get(key, PoolHistory()).refusals_in_row
            )
            backoff_seconds *= 0.5 + draw / 2
            self._apply_event(
                PoolEvent(key, PoolEventKind.REFUSED, now + backoff_seconds), now
            )
            return
        self._apply_event(PoolEvent(key, PoolEventKind.STARTED), now)
        self.hosts.append(DayHost(token, key, price, now + _START_SECONDS))

    def _apply_event(self, event: PoolEvent, now: float) -> None:
        self._pools[event.key] = self._pools.get(event.key, PoolHistory()).with_event(
            event, now
        )

    def _pool_views(self, now: float) -> list[PoolView]:
        views = []
        for number, zone in enumerate(self.zones):
            wave = math.sin(now / 86400 * 2 * math.pi + number)
            prices = {
                PriceClass.RECLAIMABLE: 0.34 + 0.04 * number + 0.05 * wave,
                PriceClass.ON_DEMAND: 1.0 + 0.02 * number,
            }
            for price_class, price in prices.items():
                key = PoolKey(zone, "gpu", price_class)
                pool = self._pools.get(key, PoolHistory())
                views.append(
                    PoolView(
                        key,
                        price,
                        decayed_count(pool.reclaims, now),
                        decayed_count(pool.refusals, now),
                        now >= pool.blocked_until,
                    )
                )
        return views


def _draw_demand(number: int, rng: random.Random) -> float:
    """Return the requests in progress: a daily curve with Gaussian noise."""
    curve = 0.5 - 0.5 * math.cos(number / STEPS * 2 * math.pi)
    mean = 15 + 65 * curve
    return max(0.0, rng.gauss(mean, math.sqrt(mean)))
