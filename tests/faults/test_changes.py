"""Every fault at every step of a change; each cell asserts all promises."""

import math

import pytest

from tests.faults.faults import FAULTS
from tests.faults.promises import check_promises
from tests.faults.scene import Scene
from tests.faults.steps import CHANGE_STEPS, strike_at

_FAULTS = [
    name
    for name in FAULTS
    if name.startswith(
        ("owner", "leader", "messages", "another", "operators", "change")
    )
]


def find_reason(step: str, fault: str) -> str:
    """Return why a cell makes no sense, "" if it does."""
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
    async with Scene.start() as scene:
        condition = CHANGE_STEPS[step]
        # The host that the operator asks owns the requests as well.
        strike_at(
            scene,
            condition,
            scene.change,
            lambda: FAULTS[fault].strike(scene, scene.stream),
        )
        await scene.run()
        assert scene.struck_at < math.inf, "The step wasn't reached."
        check_promises(scene)
