"""Planning of model loads, unloads and roles of engines."""

from collections.abc import Iterable
from dataclasses import dataclass

from pepperstep.entities import ModelKey, Role
from pepperstep.fleet.actions import ActionKind

__all__ = ["EngineView", "EngineOrder", "RolloutView", "plan_models"]


@dataclass(frozen=True, slots=True)
class EngineView:
    """An engine on a host of a deployment."""

    name: str
    epoch: int
    models: frozenset[ModelKey]
    role: Role = Role.MIXED
    # Whether a load order was sent and the model isn't loaded yet.
    is_loading: bool = False
    # Whether new orders are held back: one is open, or one was just refused.
    is_paused: bool = False


@dataclass(frozen=True, slots=True)
class RolloutView:
    """A deployment's engines and the model that they should load."""

    deployment: str
    model_key: ModelKey
    engines: tuple[EngineView, ...]
    # Replicas wanted.
    wanted: int
    # Seconds for one load at the weight store's full rate.
    load_seconds: float = 0.0
    cost_weight: float = 0.5
    # Whether enough engines have had the model for the grace period.
    is_settled: bool = False
    # Share of the engines in the prefill role; at 0, all have the mixed role.
    prefill_share: float = 0.0

    @property
    def ready(self) -> int:
        """Number of engines that have loaded the model."""
        return sum(self.model_key in engine.models for engine in self.engines)


@dataclass(frozen=True, slots=True)
class EngineOrder:
    """A planned order to an engine."""

    deployment: str
    engine: EngineView
    kind: ActionKind
    reason: str
    model_key: ModelKey | None = None
    role: Role | None = None


def plan_models(views: Iterable[RolloutView], load_window: float) -> list[EngineOrder]:
    """Return the orders due now.

    Concurrent loads take at most `load_window` seconds at the weight store's full
    rate; a single load is always allowed.
    """
    views = list(views)
    orders = _plan_loads(views, load_window)
    for view in views:
        orders += _plan_unloads(view)
        orders += _plan_roles(view)
    return orders


def _plan_loads(views: list[RolloutView], window: float) -> list[EngineOrder]:
    loading = {
        view.deployment: sum(e.is_loading for e in view.engines) for view in views
    }
    seconds = sum(loading[view.deployment] * view.load_seconds for view in views)
    to_load = {view.deployment: _engines_to_load(view) for view in views}
    orders = []
    while True:
        candidates = [view for view in views if to_load[view.deployment]]
        if not candidates:
            return orders
        view = min(candidates, key=lambda v: _load_sort_key(v, loading[v.deployment]))
        if any(loading.values()) and seconds + view.load_seconds > window:
            return orders
        engine = to_load[view.deployment].pop(0)
        loading[view.deployment] += 1
        seconds += view.load_seconds
        reason = (
            f"{view.ready} of {view.wanted} replicas are ready; "
            f"{seconds:.0f} s of the weight store's rate are in use."
        )
        orders.append(
            EngineOrder(
                view.deployment, engine, ActionKind.LOAD, reason, view.model_key
            )
        )


def _engines_to_load(view: RolloutView) -> list[EngineView]:
    return sorted(
        (
            engine
            for engine in view.engines
            if view.model_key not in engine.models
            and not engine.is_loading
            and not engine.is_paused
        ),
        key=lambda engine: engine.name,
    )


def _load_sort_key(view: RolloutView, loading: int) -> tuple:
    """Return the sort key: least covered first, then lowest cost weight."""
    covered = (view.ready + loading) / max(1, view.wanted)
    return covered, view.cost_weight, view.deployment


def _plan_unloads(view: RolloutView) -> list[EngineOrder]:
    """Return one old model to unload an engine, once enough have the new model."""
    if not view.is_settled or view.ready < min(view.wanted, len(view.engines)):
        return []
    return [
        EngineOrder(
            view.deployment,
            engine,
            ActionKind.UNLOAD,
            f"{view.ready} of {view.wanted} replicas have what is wanted.",
            key,
        )
        for engine in view.engines
        if view.model_key in engine.models and not engine.is_paused
        for key in sorted(engine.models - {view.model_key}, key=str)[:1]
    ]


def _plan_roles(view: RolloutView) -> list[EngineOrder]:
    engines = sorted(view.engines, key=lambda engine: engine.name)
    prefill = int(len(engines) * view.prefill_share)
    other = Role.DECODE if prefill else Role.MIXED
    orders = []
    for number, engine in enumerate(engines):
        role = Role.PREFILL if number < prefill else other
        if engine.role is role or engine.is_paused or engine.is_loading:
            continue
        reason = f"{prefill} of {len(engines)} engines only prefill."
        orders.append(
            EngineOrder(view.deployment, engine, ActionKind.SET_ROLE, reason, role=role)
        )
    return orders
