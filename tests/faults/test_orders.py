"""Every fault at every step of a host's start and of an order to an upstream."""

import math
from dataclasses import replace

import pytest
import trio

from pepperstep.fakes import FakeWeightStore
from pepperstep.fakes.steps import Step, StepKind
from pepperstep.fleet.machine import MACHINE_NAME
from pepperstep.ports.cloud import HostState, Offer, PriceClass
from pepperstep.ports.upstreams import OrderKind
from pepperstep.proto.fleet_pb2 import FleetCommand
from tests.faults.faults import FAULTS
from tests.faults.promises import check_promises
from tests.faults.scene import KEY, ZONES, Scene, make_engine
from tests.faults.steps import strike_at

_OFFERS = [Offer(zone, "gpu", PriceClass.RECLAIMABLE, 0.3) for zone in ZONES] + [
    Offer(zone, "gpu", PriceClass.ON_DEMAND, 1.0) for zone in ZONES
]
_SETTLED_SECONDS = 90.0
# Two more than the engines that are there.
_REPLICAS = 8
_FAULTS = (
    "leader_is_killed",
    "leader_is_paused",
    "leader_is_cut_off",
    "leader_loses_its_disk",
    "messages_are_lost",
    "cloud_is_down",
    "cloud_is_slow",
    "cloud_loses_replies",
    "starts_are_refused",
    "weight_store_is_down",
    "weight_store_is_wrong",
    "started_hosts_are_reclaimed",
)


def _is_recorded_next(kind: str):
    def is_reached(scene, caller, step: Step) -> bool:
        is_append = step.kind is StepKind.SEND and (
            step.detail.DESCRIPTOR.name == "LogAppendRequest"
        )
        return is_append and any(
            act.kind == kind
            for entry in step.detail.entries
            if entry.proposal.name == MACHINE_NAME
            for act in FleetCommand.FromString(entry.proposal.command).acts
        )

    return is_reached


def _is_call(kind: StepKind, name: str):
    return lambda scene, caller, step: step.kind is kind and step.subject == name


def _is_load(kind: StepKind):
    return lambda scene, caller, step: (
        step.kind is kind
        and step.subject == "send_order"
        and step.detail.kind is OrderKind.LOAD
    )


STEPS = {
    "start_recorded": _is_recorded_next("start"),
    "start_sent": _is_call(StepKind.ORDER, "start_host"),
    "start_answered": _is_call(StepKind.REPLY, "start_host"),
    "load_recorded": _is_recorded_next("load"),
    "load_sent": _is_load(StepKind.ORDER),
    "load_answered": _is_load(StepKind.REPLY),
}


def find_reason(step: str, fault: str) -> str:
    """Return why a cell makes no sense, "" if it does."""
    if fault == "started_hosts_are_reclaimed" and step in STEPS_WITHOUT_HOST:
        return "No host has started yet."
    if step.startswith("load") and fault in (
        "cloud_loses_replies",
        "starts_are_refused",
    ):
        return "All hosts have started."
    if step.startswith("start") and fault.startswith("weight_store"):
        return "Weights are asked for only once a host is there."
    return ""


STEPS_WITHOUT_HOST = ("start_recorded", "start_sent")
CELLS = [
    (step, fault) for step in STEPS for fault in _FAULTS if not find_reason(step, fault)
]


@pytest.mark.parametrize(("step", "fault"), CELLS)
async def test_promises_hold(step, fault, autojump_clock):
    weights = FakeWeightStore({(KEY.model, KEY.version): 10**9}, 1e9)
    async with Scene.start(_OFFERS, weights, _REPLICAS) as scene:
        scene.weights = weights
        strike_at(
            scene,
            STEPS[step],
            scene.stream,
            lambda: FAULTS[fault].strike(scene, scene.stream),
        )
        scene.nursery.start_soon(_run_platform, scene)
        await scene.run()
        with trio.move_on_after(_SETTLED_SECONDS):
            while _find_open(scene):
                await trio.sleep(0.5)
        assert scene.struck_at < math.inf, "The step wasn't reached."
        assert not _find_open(scene)
        _check_fences(scene)
        check_promises(scene)


def _find_open(scene: Scene) -> str:
    """Return what is still open, lost or doubled, "" if all is as recorded."""
    leader = scene.hosts.hosts.get(scene.hosts.leader)
    if leader is None:
        return "No host leads."
    machine = leader.node._fleet.machine
    if machine.open_actions() or not machine.hosts():
        return f"Open: {machine.open_actions()}."
    living = {host.token: host.id for host in _started(scene)}
    recorded = {act.id: act.host_id for act in machine.hosts()}
    if living != recorded:
        return f"Lives {living}, recorded {recorded}."
    engines = [e for e in scene.upstreams.engines if e.upstream.host in living.values()]
    if len(engines) != len(living) or any(
        KEY not in e.upstream.models for e in engines
    ):
        return f"Not loaded: {[e.name for e in engines]}."
    return ""


def _check_fences(scene: Scene) -> None:
    """No engine carries out an order older than one that it has taken."""
    for engine in scene.upstreams.engines:
        assert list(engine.fences) == sorted(set(engine.fences)), engine.fences


def _started(scene: Scene) -> list:
    return [host for host in scene.cloud.living if host.token != host.id]


async def _run_platform(scene: Scene) -> None:
    """Do what the hosts' images do: run an engine while the host lives."""
    while True:
        for host in scene.cloud.hosts:
            name = f"engine-of-{host.id}"
            engine = scene.upstreams.all.get(name)
            if host.token == host.id:
                continue
            if host.state is HostState.STOPPED and engine is not None:
                engine.die()
            elif host.state is HostState.RUNNING and engine is None:
                scene.upstreams.add(_engine_on(host, name))
        await trio.sleep(0.2)


def _engine_on(host, name: str):
    engine = make_engine(ZONES.index(host.zone))
    engine.upstream = replace(
        engine.upstream, name=name, address=name, host=host.id, models=frozenset()
    )
    return engine
