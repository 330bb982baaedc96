"""Injects every fault at every step of a host's start and of an order to an upstream.

Guards against starts and orders that are lost, doubled or left open when the leader,
the cloud or the weight store fails between two steps.
"""

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
from tests.faults.scenario import KEY, ZONES, Scenario, make_engine
from tests.faults.steps import inject_at

_OFFERS = [Offer(zone, "gpu", PriceClass.RECLAIMABLE, 0.3) for zone in ZONES] + [
    Offer(zone, "gpu", PriceClass.ON_DEMAND, 1.0) for zone in ZONES
]
_SETTLED_SECONDS = 90.0
# Two more than the initial engines.
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
    def matches(scenario, caller, step: Step) -> bool:
        is_append = step.kind is StepKind.SEND and (
            step.detail.DESCRIPTOR.name == "LogAppendRequest"
        )
        return is_append and any(
            action.kind == kind
            for entry in step.detail.entries
            if entry.proposal.name == MACHINE_NAME
            for action in FleetCommand.FromString(entry.proposal.command).acts
        )

    return matches


def _is_call(kind: StepKind, name: str):
    return lambda scenario, caller, step: step.kind is kind and step.subject == name


def _is_load(kind: StepKind):
    return lambda scenario, caller, step: (
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
    """Return why a cell is left out, "" if it is run."""
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
    async with Scenario.start(_OFFERS, weights, _REPLICAS) as scenario:
        scenario.weights = weights
        inject_at(
            scenario,
            STEPS[step],
            scenario.stream,
            lambda: FAULTS[fault].inject(scenario, scenario.stream),
        )
        scenario.nursery.start_soon(_run_platform, scenario)
        await scenario.run()
        with trio.move_on_after(_SETTLED_SECONDS):
            while _find_inconsistency(scenario):
                await trio.sleep(0.5)
        assert scenario.injected_at < math.inf, "The step wasn't reached."
        assert not _find_inconsistency(scenario)
        _check_fences(scenario)
        check_promises(scenario)


def _find_inconsistency(scenario: Scenario) -> str:
    """Return what is open, lost or doubled, "" if the cloud matches the record."""
    leader = scenario.hosts.hosts.get(scenario.hosts.leader)
    if leader is None:
        return "No host leads."
    machine = leader.node._fleet.machine
    if machine.open_actions() or not machine.live_starts():
        return f"Open: {machine.open_actions()}."
    living = {host.token: host.id for host in _started_hosts(scenario)}
    recorded = {action.id: action.host_id for action in machine.live_starts()}
    if living != recorded:
        return f"Running {living}, recorded {recorded}."
    engines = [
        e for e in scenario.upstreams.engines if e.upstream.host in living.values()
    ]
    if len(engines) != len(living) or any(
        KEY not in e.upstream.models for e in engines
    ):
        return f"Not loaded: {[e.name for e in engines]}."
    return ""


def _check_fences(scenario: Scenario) -> None:
    """Check that no engine executed an order older than one executed before."""
    for engine in scenario.upstreams.engines:
        assert list(engine.fences) == sorted(set(engine.fences)), engine.fences


def _started_hosts(scenario: Scenario) -> list:
    return [host for host in scenario.cloud.living if host.token != host.id]


async def _run_platform(scenario: Scenario) -> None:
    """Run an engine on each running host, as the hosts' images do."""
    while True:
        for host in scenario.cloud.hosts:
            name = f"engine-of-{host.id}"
            engine = scenario.upstreams.all.get(name)
            if host.token == host.id:
                continue
            if host.state is HostState.STOPPED and engine is not None:
                engine.die()
            elif host.state is HostState.RUNNING and engine is None:
                scenario.upstreams.add(_engine_on(host, name))
        await trio.sleep(0.2)


def _engine_on(host, name: str):
    engine = make_engine(ZONES.index(host.zone))
    engine.upstream = replace(
        engine.upstream, name=name, address=name, host=host.id, models=frozenset()
    )
    return engine
