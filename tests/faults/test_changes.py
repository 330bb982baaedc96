"""Injects every fault at every step of a configuration change, and checks all promises.

Guards against changes that are lost, applied twice or reverted when a host, a disk or a
message is lost between two steps.
"""

import math

import pytest

from tests.faults.faults import FAULTS
from tests.faults.promises import check_promises
from tests.faults.scenario import Scenario
from tests.faults.steps import CHANGE_STEPS, inject_at

_FAULTS = [
    name
    for name in FAULTS
    if name.startswith(
        ("owner", "leader", "messages", "another", "operators", "change")
    )
]


def find_reason(step: str, fault: str) -> str:
    """Return why a cell is left out, "" if it is run."""
    if fault == "leader_is_cut_off_for_long" and step != "committed":
        return "Differs from leader_is_cut_off only after the change has its answer."
    return ""


CELLS = [
    (step, fault)
    for step in CHANGE_STEPS
    for fault in _FAULTS
    if not find_reason(step, fault)
]


@pytest.mark.parametrize(("step", "fault"), CELLS)
async def test_promises_hold(step, fault, autojump_clock):
    async with Scenario.start() as scenario:
        condition = CHANGE_STEPS[step]
        # The operator's host also owns the requests.
        inject_at(
            scenario,
            condition,
            scenario.change,
            lambda: FAULTS[fault].inject(scenario, scenario.stream),
        )
        await scenario.run()
        assert scenario.injected_at < math.inf, "The step wasn't reached."
        check_promises(scenario)
