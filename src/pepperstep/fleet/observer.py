"""Views of deployments, hosts and engines as input for planning."""

from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, replace
from typing import Protocol

from pepperstep.configuration import Configuration, Deployment
from pepperstep.entities import Upstream, UpstreamKind
from pepperstep.fleet.actions import Action, ActionKind, ActionState
from pepperstep.fleet.demand import (
    Demand,
    Need,
    PeakDemand,
    needed_replicas,
    startable_replicas,
)
from pepperstep.fleet.history import PoolHistory, PoolKey, decayed_count
from pepperstep.fleet.hosts import TOKEN_PREFIX
from pepperstep.fleet.machine import FleetStateMachine
from pepperstep.fleet.rollout import EngineView, RolloutView
from pepperstep.fleet.tuning import FleetTuning
from pepperstep.fleet.views import DeploymentView, HostView, PoolView
from pepperstep.fleet.weights import Weights
from pepperstep.ports import Timers
from pepperstep.ports.cloud import CloudHost, HostState, Offer

__all__ = ["DemandSource", "Observer", "UpstreamRegistry"]

# Returns the current demand of a deployment by name, None if there is none.
DemandSource = Callable[[str], Demand | None]


class UpstreamRegistry(Protocol):
    """Registry of the upstreams that hold a lease."""

    def upstreams(self) -> Iterable[Upstream]:
        """Return all upstreams, including those that are leaving."""


@dataclass(frozen=True, slots=True)
class _Snapshot:
    """Engines, starts and orders at one moment."""

    # Engines by host id.
    engines: dict[str, list[Upstream]]
    # Live starts by deployment.
    starts: dict[str, list[Action]]
    # Ids of hosts that are being reclaimed or stopped.
    leaving: frozenset[str]
    # Orders by the name and epoch of the upstream, in order of commit.
    orders: dict[tuple[str, int], list[Action]]

    def orders_of(self, engine: Upstream) -> list[Action]:
        """Return the orders to the current process of an engine."""
        return self.orders.get((engine.name, engine.epoch), [])


class Observer:
    """Builds views for planning, and tracks demand and readiness during one epoch."""

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
        # Hosts in the last listing that the fleet didn't start.
        self._unmanaged_hosts: list[CloudHost] = []

    def update_hosts(self, hosts: list[CloudHost]) -> None:
        """Store the hosts of a listing that the fleet didn't start."""
        self._unmanaged_hosts = [
            host for host in hosts if not host.token.startswith(TOKEN_PREFIX + "-")
        ]

    def deployment_views(
        self, configuration: Configuration, offers: list[Offer]
    ) -> Iterator[DeploymentView]:
        """Yield a view of each deployment with its hosts and pools."""
        snapshot = self._take_snapshot()
        self._update_unready(snapshot)
        for name, deployment in sorted(configuration.deployments.items()):
            yield self._deployment_view(name, deployment, offers, snapshot)

    def rollout_views(self, configuration: Configuration) -> list[RolloutView]:
        """Return a view of each deployment with its engines.

        Deployments whose model the weight store lacks are left out.
        """
        snapshot = self._take_snapshot()
        return [
            self._rollout_view(name, deployment, snapshot)
            for name, deployment in sorted(configuration.deployments.items())
            if self._weights.is_loadable(deployment.model_key)
        ]

    def undrained_engines(self, host_id: str) -> list[Upstream]:
        """Return the engines on a host without a drain order."""
        snapshot = self._take_snapshot()
        return [
            engine
            for engine in snapshot.engines.get(host_id, [])
            if not engine.is_leaving
            and not any(
                self._blocks_drain(action) for action in snapshot.orders_of(engine)
            )
        ]

    def is_drained(self, host_id: str) -> bool:
        """Whether all engines on a host are leaving and have no requests left."""
        return all(
            engine.is_leaving and not engine.load.running + engine.load.waiting
            for engine in self._take_snapshot().engines.get(host_id, [])
        )

    def _blocks_drain(self, action: Action) -> bool:
        """Whether the action makes another drain order unnecessary for now."""
        if action.kind is not ActionKind.DRAIN:
            return False
        age = self._timers.wall() - action.changed_at
        is_refused = action.state is ActionState.REFUSED
        return action.is_open or not is_refused or age < self._tuning.refused_pause

    def _take_snapshot(self) -> _Snapshot:
        engines = defaultdict(list)
        for upstream in self._registry.upstreams():
            if upstream.kind is UpstreamKind.ENGINE:
                engines[upstream.host].append(upstream)
        leaving = {notice.host_id for notice in self._machine.notices.values()}
        for action in self._machine.open_actions():
            if action.kind is ActionKind.STOP:
                leaving.add(action.host_id)
        for host in self._unmanaged_hosts:
            if host.state is HostState.RECLAIMING:
                leaving.add(host.id)
        starts = defaultdict(list)
        for action in self._machine.live_starts():
            starts[action.deployment].append(action)
        return _Snapshot(
            dict(engines), dict(starts), frozenset(leaving), self._orders()
        )

    def _orders(self) -> dict[tuple[str, int], list[Action]]:
        orders = defaultdict(list)
        for action in (*self._machine.finished, *self._machine.open_actions()):
            if action.is_order:
                orders[action.upstream, action.upstream_epoch].append(action)
        return dict(orders)

    def _deployment_view(
        self,
        name: str,
        deployment: Deployment,
        offers: list[Offer],
        snapshot: _Snapshot,
    ) -> DeploymentView:
        hosts = self._host_views(name, snapshot)
        need = self._compute_need(name, deployment, hosts, snapshot)
        pools = self._pool_views(deployment, offers, hosts)
        elapsed = self._timers.now() - self._began_at
        has_ready_host = any(host.is_ready for host in hosts)
        return DeploymentView(
            name,
            need,
            tuple(hosts),
            tuple(pools),
            deployment.max_replicas,
            deployment.cost_weight,
            self._startable_replicas(deployment, pools),
            has_ready_host and elapsed >= self._tuning.peak_window,
        )

    def _host_views(self, name: str, snapshot: _Snapshot) -> list[HostView]:
        views = [
            self._host_view(action, snapshot)
            for action in snapshot.starts.get(name, [])
        ]
        for host in self._unmanaged_hosts:
            if host.deployment == name:
                is_leaving = host.id in snapshot.leaving
                key = PoolKey.of(host)
                ready = _is_ready(snapshot, host.id)
                views.append(HostView("", host.id, key, host.price, ready, is_leaving))
        return views

    def _host_view(self, action: Action, snapshot: _Snapshot) -> HostView:
        since = self._unready_since.get(action.host_id)
        unready_for = 0.0 if since is None else self._timers.now() - since
        return HostView(
            action.id,
            action.host_id,
            PoolKey.of(action.offer),
            action.offer.price,
            _is_ready(snapshot, action.host_id),
            action.host_id != "" and action.host_id in snapshot.leaving,
            unready_for > self._tuning.start_timeout,
            _active_requests(snapshot, action.host_id),
        )

    def _update_unready(self, snapshot: _Snapshot) -> None:
        now = self._timers.now()
        self._unready_since = {
            action.host_id: self._unready_since.get(action.host_id, now)
            for action in self._machine.live_starts()
            if action.state is ActionState.DONE
            and not _is_ready(snapshot, action.host_id)
            and not _awaits_first_load(snapshot, action.host_id)
        }

    def _compute_need(
        self,
        name: str,
        deployment: Deployment,
        hosts: list[HostView],
        snapshot: _Snapshot,
    ) -> Need:
        demand = self._measure_demand(name, hosts, snapshot)
        peak = self._peaks.setdefault(name, PeakDemand(self._tuning.peak_window))
        peak_demand = peak.add(self._timers.now(), demand)
        self._needs[name] = needed_replicas(peak_demand, deployment)
        return self._needs[name]

    def _measure_demand(
        self, name: str, hosts: list[HostView], snapshot: _Snapshot
    ) -> Demand:
        engines = [
            engine
            for host in hosts
            for engine in snapshot.engines.get(host.host_id, [])
        ]
        busy = sum(engine.load.running + engine.load.waiting for engine in engines)
        slots = min((engine.slots for engine in engines), default=Demand().slots)
        token_seconds = [e.load.decode_seconds for e in engines if e.load.running]
        mean_token_seconds = (
            sum(token_seconds) / len(token_seconds) if token_seconds else 0.0
        )
        demand = self._demand(name) or Demand()
        return replace(
            demand,
            busy=max(busy, demand.busy),
            slots=slots,
            between_tokens_p95=max(mean_token_seconds, demand.between_tokens_p95),
        )

    def _pool_views(
        self, deployment: Deployment, offers: list[Offer], hosts: list[HostView]
    ) -> list[PoolView]:
        """Return the pools on offer, and closed pools for hosts without an offer."""
        prices = {
            PoolKey.of(offer): offer.price
            for offer in offers
            if (not deployment.zones or offer.zone in deployment.zones)
            and deployment.machine in ("", offer.machine)
        }
        views = [self._pool_view(key, price) for key, price in sorted(prices.items())]
        closed_prices = {
            host.key: host.price for host in hosts if host.key not in prices
        }
        views += [
            PoolView(key, price, is_open=False) for key, price in closed_prices.items()
        ]
        return views

    def _pool_view(self, key: PoolKey, price: float) -> PoolView:
        pool = self._machine.pools.get(key, PoolHistory())
        now = self._timers.wall()
        return PoolView(
            key,
            price,
            decayed_count(pool.reclaims, now),
            decayed_count(pool.refusals, now),
            now >= pool.blocked_until,
        )

    def _startable_replicas(self, deployment: Deployment, pools: list[PoolView]) -> int:
        if not all(pool.is_open for pool in pools):
            return 0
        return startable_replicas(
            self._tuning.notice_seconds,
            self._tuning.boot_seconds,
            self._weights.size_bytes(deployment.model_key),
            self._weights.rate,
        )

    def _rollout_view(
        self, name: str, deployment: Deployment, snapshot: _Snapshot
    ) -> RolloutView:
        host_ids = [host.host_id for host in self._host_views(name, snapshot)]
        engines = tuple(
            self._engine_view(engine, deployment, snapshot.orders_of(engine))
            for host_id in host_ids
            if host_id and host_id not in snapshot.leaving
            for engine in snapshot.engines.get(host_id, [])
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
        self, engine: Upstream, deployment: Deployment, actions: list[Action]
    ) -> EngineView:
        key = deployment.model_key
        now = self._timers.wall()
        is_loading = key not in engine.models and any(
            action.kind is ActionKind.LOAD
            and action.model_key == key
            and (action.is_open or action.state is ActionState.DONE)
            and now - action.changed_at < self._tuning.load_timeout
            for action in actions
        )
        is_paused = any(
            action.is_open
            or action.state is ActionState.REFUSED
            and now - action.changed_at < self._tuning.refused_pause
            for action in actions
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


def _is_ready(snapshot: _Snapshot, host_id: str) -> bool:
    engines = snapshot.engines.get(host_id, []) if host_id else []
    return any(engine.models and not engine.is_leaving for engine in engines)


def _awaits_first_load(snapshot: _Snapshot, host_id: str) -> bool:
    """Whether a host has engines and none has finished a load order yet."""
    engines = snapshot.engines.get(host_id, [])
    return bool(engines) and not any(
        action.kind is ActionKind.LOAD and not action.is_open
        for engine in engines
        for action in snapshot.orders_of(engine)
    )


def _active_requests(snapshot: _Snapshot, host_id: str) -> int:
    engines = snapshot.engines.get(host_id, []) if host_id else []
    return sum(engine.load.running + engine.load.waiting for engine in engines)
