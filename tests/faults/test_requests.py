"""Injects every fault at every step of a request, and checks all promises.

Each cell also has a stream, a call that isn't repeatable, a configuration change and a
reclaim in progress. Guards against requests that are lost, run twice or get another
request's tokens when a host, an upstream or a message is lost between two steps.
"""

import math

import pytest

from tests.faults.faults import FAULTS
from tests.faults.promises import check_promises
from tests.faults.scenario import Scenario
from tests.faults.steps import REQUEST_STEPS, inject_at

_ENGINE_FAULTS = (
    "request_crashes_engines",
    "engine_is_slow",
    "engine_is_silent",
    "answers_are_crossed",
    "answers_are_doubled",
    "answers_are_cut",
    "answers_have_gaps",
    "answers_end_early",
)
_CHANGE_FAULTS = (
    "operators_race",
    "change_is_resent",
    "leader_is_cut_off_for_long",
    "leader_is_not_heard",
    "leader_hears_nothing",
    "another_disk_is_lost_after_repair",
)
_ORDER_FAULTS = (
    "cloud_loses_replies",
    "starts_are_refused",
    "weight_store_is_down",
    "weight_store_is_wrong",
    "started_hosts_are_reclaimed",
)
_CLOUD_FAULTS = ("cloud_is_down", "cloud_is_slow")
_LATE_STEPS = ("last_token", "answered")
_STREAMING = ("dispatched", "first_token", "last_token")


def find_reason(name: str, step: str, fault: str) -> str:
    """Return why a cell is left out, "" if it is run."""
    if fault in _CHANGE_FAULTS:
        return "Covered by test_changes.py."
    if fault in _ORDER_FAULTS:
        return "Covered by test_orders.py."
    if name == "service" and fault in _ENGINE_FAULTS:
        return "A service call involves no engine."
    if name == "service" and fault in _CLOUD_FAULTS:
        return "A service call can't move, so it doesn't depend on the cloud."
    if step in _LATE_STEPS and fault in _ENGINE_FAULTS[1:]:
        return "The engine has already sent its answer."
    if fault in _CLOUD_FAULTS and step != "in_mid_stream":
        return "The cloud is only used for the reclaim, which comes in mid-stream."
    if (
        name == "stream"
        and step in _STREAMING
        and fault.startswith(("leader", "messages"))
    ):
        return "The log and the network are in the same state in mid-stream."
    return ""


CELLS = [
    (name, step, fault)
    for name, steps in REQUEST_STEPS.items()
    for step in steps
    for fault in FAULTS
    if not find_reason(name, step, fault)
]


@pytest.mark.parametrize(("name", "step", "fault"), CELLS)
async def test_promises_hold(name, step, fault, autojump_clock):
    async with Scenario.start() as scenario:
        caller = getattr(scenario, name)
        condition = REQUEST_STEPS[name][step]
        inject_at(
            scenario, condition, caller, lambda: FAULTS[fault].inject(scenario, caller)
        )
        await scenario.run()
        assert scenario.injected_at < math.inf, "The step wasn't reached."
        check_promises(scenario)
