"""What the leader's fleet loop costs by replicas, deployments and zones."""

import random
import time
from dataclasses import replace

from pepperstep.fleet.actions import Action, ActionKind, ActionState

from measure.capacity_lines import Point, trace_bytes
from pepperstep.configuration import Configuration, Deployment
from pepperstep.entities import Load, ModelKey, Upstream, UpstreamKind
from pepperstep.fakes import FakeTimers
from pepperstep.fleet import FleetStateMachine, FleetTuning, plan_fleet
from pepperstep.fleet.observer import Observer
from pepperstep.fleet.weights import Weights
from pepperstep.ports.cloud import Offer, PriceClass

__all__ = ["measure_fleet", "measure_stops"]

_ZONES = 22
_SLOTS = 16
_TIME = 1.8e9


class _Timers(FakeTimers):
    """Timers that stand still."""

    def now(self) -> float:
        return 1000.0

    def wall(self) -> float:
        return _TIME


class _Registry:
    """Upstreams of a fixed list."""

    def __init__(self, upstreams: list[Upstream]):
        self._upstreams = upstreams

    def upstreams(self) -> list[Upstream]:
        return self._upstreams


def _offers() -> list[Offer]:
    prices = {PriceClass.RECLAIMABLE: 0.3, PriceClass.ON_DEMAND: 1.0}
    return [
        Offer(f"zone-{zone:02d}", "a8", price_class, price + zone / 100)
        for zone in range(_ZONES)
        for price_class, price in prices.items()
    ]


def _start(number: int, deployments: int) -> Action:
    offer = _offers()[2 * (number % _ZONES)]
    return Action(
        id=f"pepperstep-7-{number}",
        kind=ActionKind.START,
        state=ActionState.DONE,
        fence=number,
        deployment=f"model-{number % deployments:04d}",
        reason="12 replicas wanted for 150 requests, 10 of them must remain.",
        recorded_at=_TIME - 900,
        changed_at=_TIME - 900,
        offer=offer,
        host_id=f"host-{number:05d}",
    )


def _engine(number: int, deployments: int) -> Upstream:
    key = ModelKey(f"zaseki-{number % deployments:04d}", "", "1")
    return Upstream(
        f"engine-{number:05d}",
        1,
        "10.0.0.1:8000",
        UpstreamKind.ENGINE,
        f"host-{number:05d}",
        f"zone-{number % _ZONES:02d}",
        models=frozenset({key}),
        load=Load(running=_SLOTS // 2 + number % 3),
    )


class _Scene:
    """A leader's record, registry and configuration of so many replicas."""

    def __init__(self, replicas: int, deployments: int):
        self.machine = FleetStateMachine()
        for number in range(replicas):
            act = _start(number, deployments)
            self.machine.actions[act.id] = act
        engines = [_engine(number, deployments) for number in range(replicas)]
        timers = _Timers(random.Random(1))
        self.observer = Observer(
            self.machine,
            _Registry(engines),
            Weights(None, timers),
            timers,
            FleetTuning(),
        )
        self.configuration = Configuration(
            deployments={
                f"model-{number:04d}": Deployment(
                    model=f"zaseki-{number:04d}",
                    version="1",
                    workspaces=("planners",),
                    max_replicas=2 * replicas,
                )
                for number in range(deployments)
            }
        )

    def decide(self) -> tuple[float, float]:
        """Return the seconds of a whole decision, and of its longest step."""
        longest = 0.0
        started = before = time.process_time()
        views = self.observer.deployment_views(self.configuration, _offers())
        for view in views:
            plan_fleet([view])
            longest = max(longest, time.process_time() - before)
            before = time.process_time()
        self.observer.rollout_views(self.configuration)
        longest = max(longest, time.process_time() - before)
        return time.process_time() - started, longest


def measure_fleet(replicas: int, deployments: int) -> Point:
    """Return processor time of one decision, and size and time of a snapshot."""
    with trace_bytes() as taken:
        scene = _Scene(replicas, deployments)
    scene = _Scene(replicas, deployments)
    scene.decide()
    seconds, longest = scene.decide()
    started = time.process_time()
    data = scene.machine.snapshot()
    saved = time.process_time() - started
    figures = {
        "decision_seconds": seconds,
        "longest_step_seconds": longest,
        "snapshot_seconds": saved,
        "snapshot_bytes": len(data),
        "memory_bytes": taken[0],
    }
    sizes = {"replicas": replicas, "deployments": deployments}
    return Point("fleet", sizes, figures)


def measure_stops(replicas: int, stops: int) -> Point:
    """Return processor time of one look at hosts that drain to be stopped."""
    scene = _Scene(replicas, 100)
    for number in range(stops):
        host = scene.machine.actions[f"pepperstep-7-{number}"]
        stop = replace(
            host, id=f"stop-{number}", kind=ActionKind.STOP, state=ActionState.RECORDED
        )
        scene.machine.actions[stop.id] = stop
    started = time.process_time()
    for stop in scene.machine.open_actions():
        scene.observer.undrained_engines(stop.host_id)
    seconds = time.process_time() - started
    return Point(
        "stops", {"replicas": replicas, "stops": stops}, {"processor": seconds}
    )
