"""Puts together what the decisions look at, from all that the leader sees."""

from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, replace
from typing import Protocol

from pepperstep.configuration import Configuration, Deployment
from pepperstep.entities import Upstream, UpstreamKind
from pepperstep.fleet.acts import Action, ActionKind, ActionState
from pepperstep.fleet.demand import (
    Demand,
    Need,
    PeakDemand,
    needed_replicas,
    startable_replicas,
)
from pepperstep.fleet.history import Pool, PoolKey, decayed_count
from pepperstep.fleet.hosts import TOKEN_PREFIX
from pepperstep.fleet.machine import FleetStateMachine
from pepperstep.fleet.rollout import EngineView, RolloutView
from pepperstep.fleet.tuning import FleetTuning
from pepperstep.fleet.views import DeploymentView, HostView, PoolView
from pepperstep.fleet.weights import Weights
from pepperstep.ports import Timers
from pepperstep.ports.cloud import CloudHost, HostState, Offer

__all__ = ["DemandSource", "Observer", "UpstreamRegistry"]

# Gives the present demand of a deployment by name, None if there is none.
DemandSource = Callable[[str], Demand | None]


class UpstreamRegistry(Protocol):
    """Upstreams that hold a lease, as the leader knows them."""

    def upstreams(self) -> Iterable[Upstream]:
        """Return them all, also those that are leaving."""


@dataclass(frozen=True, slots=True)
class _Scene:
    """One look at the outside."""

    # Engines by host.
    engines: dict[str, list[Upstream]]
    # Starts by deployment.
    starts: dict[str, list[Action]]
    # Hosts that are being taken back or stopped.
    leaving: frozenset[str]
    # Orders by the upstream's name and epoch, the latest ones last.
    orders: dict[tuple[str, int], list[Action]]

    def orders_of(self, engine: Upstream) -> list[Action]:
        """Return the orders to one life of an engine."""
        return self.orders.get((engine.name, engine.epoch), [])


class Observer:
    """Views of the deployments in one epoch, with what must be remembered."""

    def __init__(
        self,
        machine: FleetStateMachine,
        registry: UpstreamRegistry,
        weights: Weights,
        timers: Timers,
        tuning: FleetTuning,
        demand: DemandSource = lambda name: None,
    ):
        self._machine = machine
        self._registry = registry
        self._weights = weights
        self._timers = timers
        self._tuning = tuning
        self._demand = demand
        self._began_at = timers.now()
        self._peaks: dict[str, PeakDemand] = {}
        self._needs: dict[str, Need] = {}
        self._unready_since: dict[str, float] = {}
        self._settled_since: dict[str, float] = {}
        # Hosts of the last listing that the fleet didn't start.
        self._foreign: list[CloudHost] = []

    def note_hosts(self, hosts: list[CloudHost]) -> None:
        """Keep what a listing shows besides the record."""
        self._foreign = [
            host for host in hosts if not host.token.startswith(TOKEN_PREFIX + "-")
        ]

    def deployment_views(
        self, configuration: Configuration, offers: list[Offer]
    ) -> Iterator[DeploymentView]:
        """Yield the deployments with their hosts and pools."""
        scene = self._look()
        self._note_readiness(scene)
        for name, deployment in sorted(configuration.deployments.items()):
            yield self._deployment_view(name, deployment, offers, scene)

    def rollout_views(self, configuration: Configuration) -> list[RolloutView]:
        """Return the deployments with their engines."""
        scene = self._look()
        return [
            self._rollout_view(name, deployment, scene)
            for name, deployment in sorted(configuration.deployments.items())
            if self._weights.is_loadable(deployment.model_key)
        ]

    def undrained_engines(self, host_id: str) -> list[Upstream]:
        """Return the engines on a host that weren't ordered to drain."""
        scene = self._look()
        return [
            engine
            for engine in scene.engines.get(host_id, [])
            if not engine.is_leaving
            and not any(self._is_draining(act) for act in scene.orders_of(engine))
        ]

    def is_drained(self, host_id: str) -> bool:
        """Whether a host's engines run nothing, and take nothing new."""
        return all(
            engine.is_leaving and not engine.load.running + engine.load.waiting
            for engine in self._look().engines.get(host_id, [])
        )

    def _is_draining(self, act: Action) -> bool:
        """Whether the act stands against another order to drain."""
        if act.kind is not ActionKind.DRAIN:
            return False
        age = self._timers.wall() - act.changed_at
        is_refused = act.state is ActionState.REFUSED
        return act.is_open or not is_refused or age < self._tuning.refused_pause

    def _look(self) -> _Scene:
        engines = defaultdict(list)
        for upstream in self._registry.upstreams():
            if upstream.kind is UpstreamKind.ENGINE:
                engines[upstream.host].append(upstream)
        leaving = {notice.host_id for notice in self._machine.notices.values()}
        for act in self._machine.open_actions():
            if act.kind is ActionKind.STOP:
                leaving.add(act.host_id)
        for host in self._foreign:
            if host.state is HostState.RECLAIMING:
                leaving.add(host.id)
        starts = defaultdict(list)
        for act in self._machine.hosts():
            starts[act.deployment].append(act)
        return _Scene(dict(engines), dict(starts), frozenset(leaving), self._orders())

    def _orders(self) -> dict[tuple[str, int], list[Action]]:
        orders = defaultdict(list)
        for act in (*self._machine.finished, *self._machine.open_actions()):
            if act.is_order:
                orders[act.upstream, act.upstream_epoch].append(act)
        return dict(orders)

    def _deployment_view(
        self,
        name: str,
        deployment: Deployment,
        offers: list[Offer],
        scene: _Scene,
    ) -> DeploymentView:
        hosts = self._host_views(name, scene)
        need = self._need(name, deployment, hosts, scene)
        pools = self._pool_views(deployment, offers, hosts)
        elapsed = self._timers.now() - self._began_at
        has_seen = any(host.is_ready for host in hosts)
        return DeploymentView(
            name,
            need,
            tuple(hosts),
            tuple(pools),
            deployment.max_replicas,
            deployment.cost_weight,
            self._startable(deployment, pools),
            has_seen and elapsed >= self._tuning.peak_window,
        )

    def _host_views(self, name: str, scene: _Scene) -> list[HostView]:
        views = [self._host_view(act, scene) for act in scene.starts.get(name, [])]
        for host in self._foreign:
            if host.deployment == name:
                is_leaving = host.id in scene.leaving
                key = PoolKey.of(host)
                ready = _is_ready(scene, host.id)
                views.append(HostView("", host.id, key, host.price, ready, is_leaving))
        return views

    def _host_view(self, act: Action, scene: _Scene) -> HostView:
        since = self._unready_since.get(act.host_id)
        unready_for = 0.0 if since is None else self._timers.now() - since
        return HostView(
            act.id,
            act.host_id,
            PoolKey.of(act.offer),
            act.offer.price,
            _is_ready(scene, act.host_id),
            act.host_id != "" and act.host_id in scene.leaving,
            unready_for > self._tuning.start_timeout,
            _busy(scene, act.host_id),
        )

    def _note_readiness(self, scene: _Scene) -> None:
        now = self._timers.now()
        self._unready_since = {
            act.host_id: self._unready_since.get(act.host_id, now)
            for act in self._machine.hosts()
            if act.state is ActionState.DONE
            and not _is_ready(scene, act.host_id)
            and not _waits_for_load(scene, act.host_id)
        }

    def _need(
        self,
        name: str,
        deployment: Deployment,
        hosts: list[HostView],
        scene: _Scene,
    ) -> Need:
        demand = self._measured(name, hosts, scene)
        peak = self._peaks.setdefault(name, PeakDemand(self._tuning.peak_window))
        peak_demand = peak.note(self._timers.now(), demand)
        self._needs[name] = needed_replicas(peak_demand, deployment)
        return self._needs[name]

    def _measured(self, name: str, hosts: list[HostView], scene: _Scene) -> Demand:
        engines = [
            engine for host in hosts for engine in scene.engines.get(host.host_id, [])
        ]
        busy = sum(engine.load.running + engine.load.waiting for engine in engines)
        slots = min((engine.slots for engine in engines), default=Demand().slots)
        steps = [e.load.decode_seconds for e in engines if e.load.running]
        step = sum(steps) / len(steps) if steps else 0.0
        demand = self._demand(name) or Demand()
        return replace(
            demand,
            busy=max(busy, demand.busy),
            slots=slots,
            between_tokens_p95=max(step, demand.between_tokens_p95),
        )

    def _pool_views(
        self, deployment: Deployment, offers: list[Offer], hosts: list[HostView]
    ) -> list[PoolView]:
        """Return the pools on offer, and closed ones for hosts without an offer."""
        prices = {
            PoolKey.of(offer): offer.price
            for offer in offers
            if (not deployment.zones or offer.zone in deployment.zones)
            and deployment.machine in ("", offer.machine)
        }
        views = [self._pool_view(key, price) for key, price in sorted(prices.items())]
        other = {host.key: host.price for host in hosts if host.key not in prices}
        views += [PoolView(key, price, is_open=False) for key, price in other.items()]
        return views

    def _pool_view(self, key: PoolKey, price: float) -> PoolView:
        pool = self._machine.pools.get(key, Pool())
        now = self._timers.wall()
        return PoolView(
            key,
            price,
            decayed_count(pool.reclaims, now),
            decayed_count(pool.refusals, now),
            now >= pool.blocked_until,
        )

    def _startable(self, deployment: Deployment, pools: list[PoolView]) -> int:
        if not all(pool.is_open for pool in pools):
            return 0
        return startable_replicas(
            self._tuning.notice_seconds,
            self._tuning.boot_seconds,
            self._weights.size_bytes(deployment.model_key),
            self._weights.rate,
        )

    def _rollout_view(
        self, name: str, deployment: Deployment, scene: _Scene
    ) -> RolloutView:
        host_ids = [host.host_id for host in self._host_views(name, scene)]
        engines = tuple(
            self._engine_view(engine, deployment, scene.orders_of(engine))
            for host_id in host_ids
            if host_id and host_id not in scene.leaving
            for engine in scene.engines.get(host_id, [])
            if not engine.is_leaving
        )
        need = self._needs.get(name)
        wanted = need.wanted if need else deployment.max_replicas
        view = RolloutView(
            name,
            deployment.model_key,
            engines,
            wanted,
            self._weights.load_seconds(deployment.model_key),
            deployment.cost_weight,
        )
        return replace(view, is_settled=self._is_settled(view))

    def _engine_view(
        self, engine: Upstream, deployment: Deployment, acts: list[Action]
    ) -> EngineView:
        key = deployment.model_key
        now = self._timers.wall()
        is_loading = key not in engine.models and any(
            act.kind is ActionKind.LOAD
            and act.model_key == key
            and (act.is_open or act.state is ActionState.DONE)
            and now - act.changed_at < self._tuning.load_timeout
            for act in acts
        )
        is_paused = any(
            act.is_open
            or act.state is ActionState.REFUSED
            and now - act.changed_at < self._tuning.refused_pause
            for act in acts
        )
        return EngineView(
            engine.name,
            engine.epoch,
            engine.models,
            engine.role,
            is_loading,
            is_paused,
        )

    def _is_settled(self, view: RolloutView) -> bool:
        key = f"{view.deployment} {view.model_key}"
        if view.ready < min(view.wanted, len(view.engines)) or not view.ready:
            self._settled_since.pop(key, None)
            return False
        since = self._settled_since.setdefault(key, self._timers.now())
        return self._timers.now() - since >= self._tuning.unload_grace


def _is_ready(scene: _Scene, host_id: str) -> bool:
    engines = scene.engines.get(host_id, []) if host_id else []
    return any(engine.models and not engine.is_leaving for engine in engines)


def _waits_for_load(scene: _Scene, host_id: str) -> bool:
    """Whether a host's engines are there and no load was tried on any."""
    engines = scene.engines.get(host_id, [])
    return bool(engines) and not any(
        act.kind is ActionKind.LOAD and not act.is_open
        for engine in engines
        for act in scene.orders_of(engine)
    )


def _busy(scene: _Scene, host_id: str) -> int:
    engines = scene.engines.get(host_id, []) if host_id else []
    return sum(engine.load.running + engine.load.waiting for engine in engines)
