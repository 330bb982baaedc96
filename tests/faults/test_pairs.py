"""Pairs of faults, the second after the first has struck."""

import math

import trio
from hypothesis import HealthCheck, Phase, given, settings, strategies as st
from trio.testing import MockClock

from tests.faults.faults import FAULTS
from tests.faults.promises import check_promises
from tests.faults.scene import Scene
from tests.faults.steps import REQUEST_STEPS, strike_at

_EXAMPLES = 30
_OF_ORDERS = (
    "cloud_loses_replies",
    "starts_are_refused",
    "weight_store_is_down",
    "weight_store_is_wrong",
    "started_hosts_are_reclaimed",
)
# A minute of virtual time each, and covered at the steps of a change.
_LONG = ("leader_is_cut_off_for_long",)


def find_reason(first: str, second: str) -> str:
    """Return why a pair isn't drawn, "" if it is."""
    pair = {first, second}
    if pair & {*_OF_ORDERS, *_LONG}:
        return "It's a fault of other cells."
    if pair == {"owner_is_killed", "second_is_killed"}:
        return "A request's two copies are lost; only its announced loss is promised."
    return ""


PAIRS = [(a, b) for a in FAULTS for b in FAULTS if not find_reason(a, b)]
STEPS = [(name, step) for name, steps in REQUEST_STEPS.items() for step in steps]


@settings(
    max_examples=_EXAMPLES,
    derandomize=True,
    deadline=None,
    # An example takes a second, and says all by its names.
    phases=(Phase.explicit, Phase.generate),
    suppress_health_check=list(HealthCheck),
)
@given(
    st.sampled_from(PAIRS),
    st.sampled_from(STEPS),
    st.sampled_from((0.0, 0.05, 0.3, 1.0)),
)
def test_promises_hold(pair, place, gap):
    trio.run(_run_pair, pair, place, gap, clock=MockClock(autojump_threshold=0))


async def _run_pair(pair, place, gap) -> None:
    name, step = place
    async with Scene.start() as scene:
        caller = getattr(scene, name)

        def strike() -> None:
            FAULTS[pair[0]].strike(scene, caller)
            scene.open_faults += 1
            scene.later(gap, strike_second)

        def strike_second() -> None:
            scene.open_faults -= 1
            FAULTS[pair[1]].strike(scene, caller)

        strike_at(scene, REQUEST_STEPS[name][step], caller, strike)
        await scene.run()
        assert scene.struck_at < math.inf, "The step wasn't reached."
        check_promises(scene)
