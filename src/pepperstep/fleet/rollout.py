"""Decides which models engines load and unload, and which role they have."""

from collections.abc import Iterable
from dataclasses import dataclass

from pepperstep.entities import ModelKey, Role
from pepperstep.fleet.acts import ActionKind

__all__ = ["EngineView", "OrderEngine", "RolloutView", "plan_models"]


@dataclass(frozen=True, slots=True)
class EngineView:
    """An engine on a host of a deployment."""

    name: str
    epoch: int
    models: frozenset[ModelKey]
    role: Role = Role.MIXED
    # It was ordered to load and hasn't the model yet.
    is_loading: bool = False
    # It gets no order now: one is open, or it has just refused one.
    is_paused: bool = False


@dataclass(frozen=True, slots=True)
class RolloutView:
    """A deployment's engines, and what they should have loaded."""

    deployment: str
    model_key: ModelKey
    engines: tuple[EngineView, ...]
    # Replicas wanted.
    wanted: int
    # Seconds that one load takes at the weight store's full rate.
    load_seconds: float = 0.0
    cost_weight: float = 0.5
    # Whether the model has been ready on enough engines for the grace time.
    is_settled: bool = False
    # Share of the engines that only prefill; all are mixed at 0.
    prefill_share: float = 0.0

    @property
    def ready(self) -> int:
        """Engines that have the model."""
        return sum(self.model_key in engine.models for engine in self.engines)


@dataclass(frozen=True, slots=True)
class OrderEngine:
    """An order to give."""

    deployment: str
    engine: EngineView
    kind: ActionKind
    reason: str
    model_key: ModelKey | None = None
    role: Role | None = None


def plan_models(views: Iterable[RolloutView], load_window: float) -> list[OrderEngine]:
    """Return the orders to give now.

    Loads that are on their way together take at most `load_window` seconds of
    the weight store's rate, one load at least.
    """
    views = list(views)
    orders = _plan_loads(views, load_window)
    for view in views:
        orders += _plan_unloads(view)
        orders += _plan_roles(view)
    return orders


def _plan_loads(views: list[RolloutView], window: float) -> list[OrderEngine]:
    loading = {
        view.deployment: sum(e.is_loading for e in view.engines) for view in views
    }
    seconds = sum(loading[view.deployment] * view.load_seconds for view in views)
    waiting = {view.deployment: _waiting(view) for view in views}
    orders = []
    while True:
        needy = [view for view in views if waiting[view.deployment]]
        if not needy:
            return orders
        view = min(needy, key=lambda v: _need_order(v, loading[v.deployment]))
        if any(loading.values()) and seconds + view.load_seconds > window:
            return orders
        engine = waiting[view.deployment].pop(0)
        loading[view.deployment] += 1
        seconds += view.load_seconds
        reason = (
            f"{view.ready} of {view.wanted} replicas are ready; "
            f"{seconds:.0f} s of the weight store's rate are in use."
        )
        orders.append(
            OrderEngine(
                view.deployment, engine, ActionKind.LOAD, reason, view.model_key
            )
        )


def _waiting(view: RolloutView) -> list[EngineView]:
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


def _need_order(view: RolloutView, loading: int) -> tuple:
    """Return the sort key: the least covered, then the most urgent, goes first."""
    covered = (view.ready + loading) / max(1, view.wanted)
    return covered, view.cost_weight, view.deployment


def _plan_unloads(view: RolloutView) -> list[OrderEngine]:
    """Return the old models to unload once enough engines have the new one."""
    if not view.is_settled or view.ready < min(view.wanted, len(view.engines)):
        return []
    return [
        OrderEngine(
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


def _plan_roles(view: RolloutView) -> list[OrderEngine]:
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
            OrderEngine(view.deployment, engine, ActionKind.SET_ROLE, reason, role=role)
        )
    return orders
