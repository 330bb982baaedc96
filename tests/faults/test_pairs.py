"""Injects pairs of faults, the second one shortly after the first."""

import math

import trio
from hypothesis import HealthCheck, Phase, given, settings, strategies as st
from trio.testing import MockClock

from tests.faults.faults import FAULTS
from tests.faults.promises import check_promises
from tests.faults.scenario import Scenario
from tests.faults.steps import REQUEST_STEPS, inject_at

_EXAMPLES = 30
_ORDER_FAULTS = (
    "cloud_loses_replies",
    "starts_are_refused",
    "weight_store_is_down",
    "weight_store_is_wrong",
    "started_hosts_are_reclaimed",
)
# Each takes a minute of virtual time; test_changes.py covers it.
_LONG_FAULTS = ("leader_is_cut_off_for_long",)


def find_reason(first: str, second: str) -> str:
    """Return why a pair isn't drawn, "" if it is."""
    pair = {first, second}
    if pair & {*_ORDER_FAULTS, *_LONG_FAULTS}:
        return "Covered by test_orders.py or test_changes.py."
    if pair == {"owner_is_killed", "second_is_killed"}:
        return "Both copies of a request are lost; only reporting that is promised."
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
    async with Scenario.start() as scenario:
        caller = getattr(scenario, name)

        def inject() -> None:
            FAULTS[pair[0]].inject(scenario, caller)
            scenario.open_faults += 1
            scenario.run_later(gap, inject_second)

        def inject_second() -> None:
            scenario.open_faults -= 1
            FAULTS[pair[1]].inject(scenario, caller)

        inject_at(scenario, REQUEST_STEPS[name][step], caller, inject)
        await scenario.run()
        assert scenario.injected_at < math.inf, "The step wasn't reached."
        check_promises(scenario)
