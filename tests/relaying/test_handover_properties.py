"""Orders of planned stops, kills, lost disks, cuts and freezes of control hosts.

A host counts as lost while it is away, cut off or frozen, and for the time to catch up
after its start. A host that was removed stops counting once a spare has had that time.
At most one host is lost at a time; another may be replaced meanwhile.
"""

import json

import trio
from hypothesis import HealthCheck, example, given, settings, strategies as st
from trio.testing import MockClock

from pepperstep.errors import Failure
from tests.consensus.safety import SafetyCheck
from tests.relaying.world import World, open_world

SEEDS = ("c0:1", "c1:1", "c2:1")
VOTER_COUNT = 3
MAX_SPARES = 2
CATCH_UP_SECONDS = 4.2
RECOVERY_SECONDS = 8.0
PUT_TIMEOUT_SECONDS = 3.0
# A member that ends without a signal is replaced within a second.
DETECTION_SECONDS = 1.0
STOP_GAP_SECONDS = 0.2
RESTART_SECONDS = 1.0

HOSTS = st.integers(0, VOTER_COUNT + MAX_SPARES - 1)
STEPS = st.one_of(
    st.tuples(st.just("add"), st.just(0)),
    st.tuples(st.sampled_from(["terminate", "kill", "lose"]), HOSTS),
    st.tuples(st.sampled_from(["terminate", "kill", "lose"]), HOSTS),
    st.tuples(st.sampled_from(["restart", "crash", "wipe", "cut", "freeze"]), HOSTS),
    st.tuples(st.sampled_from(["put", "back", "kill all"]), st.just(0)),
    st.tuples(st.just("wait"), st.integers(1, 50)),
)


class Operator:
    """Applies steps to a group as far as the losses allow them."""

    def __init__(self, world: World):
        self._world = world
        self._hosts = list(SEEDS)
        # Times from which hosts no longer count as lost.
        self._ready_at = dict.fromkeys(SEEDS, 0.0)
        # Times from which hosts can have replaced others.
        self._replaces_from = dict.fromkeys(SEEDS, 0.0)
        self._away: set[str] = set()
        self._added = 0
        self._quiet_until = 0.0
        self._version = 1
        self.acknowledged = 1

    async def play(self, step: str, value: int) -> None:
        """Apply one step if the losses allow it."""
        if step == "wait":
            await trio.sleep(0.1 * value)
        elif step == "put":
            await self.put()
        elif step == "add":
            await self._add()
        elif step == "back":
            await self._bring_back()
        elif step == "kill all":
            await self._kill_all()
        elif value < len(self._hosts):
            name = self._hosts[value]
            is_removal = step in ("terminate", "kill")
            if self._may_remove(name) if is_removal else self._may_lose(name):
                await getattr(self, f"_{step}")(name)

    async def put(self) -> None:
        """Send the next version, and record whether it is acknowledged."""
        self._version += 1
        with trio.move_on_after(PUT_TIMEOUT_SECONDS):
            await self._world.put(self._version)
            self.acknowledged = self._version

    async def check_recovered(self) -> None:
        """Check that all hosts have the acknowledged version and take a new one."""
        await self._bring_back()
        await trio.sleep(RECOVERY_SECONDS)
        for name in self._hosts:
            data = await self._world.controls[name].read_table()
            assert json.loads(data)["version"] >= self.acknowledged
        await self.put()
        assert self.acknowledged == self._version

    def _may_lose(self, name: str) -> bool:
        return self._may_end(name) and not self._lost_beside(name)

    def _may_remove(self, name: str) -> bool:
        now = trio.current_time()
        others = [each for each in self._hosts if each != name]
        replacing = [each for each in others if self._replaces_from[each] <= now]
        is_replaced = len(replacing) >= VOTER_COUNT
        return self._may_end(name) and is_replaced and self._lost_beside(name) <= 1

    def _may_end(self, name: str) -> bool:
        return name not in self._away and trio.current_time() >= self._quiet_until

    def _lost_beside(self, name: str) -> int:
        """Return how many of the other hosts count as lost."""
        now = trio.current_time()
        return sum(
            each in self._away or now < self._ready_at[each]
            for each in self._hosts
            if each != name
        )

    async def _add(self) -> None:
        if len(self._hosts) < VOTER_COUNT + MAX_SPARES and not self._away:
            self._added += 1
            self._hosts.append(f"n{self._added}:1")
            await self._start(self._hosts[-1])
            self._replaces_from[self._hosts[-1]] = self._ready_at[self._hosts[-1]]

    async def _start(self, name: str) -> None:
        self._away.discard(name)
        seeds = tuple(self._hosts[:VOTER_COUNT])
        await self._world.start_control(name, seeds, is_first=False)
        self._ready_at[name] = trio.current_time() + CATCH_UP_SECONDS

    async def _terminate(self, name: str) -> None:
        """Stop a host for good."""
        self._hosts.remove(name)
        await self._world.terminate(name, is_disk_lost=True)
        self._be_quiet(STOP_GAP_SECONDS)

    async def _kill(self, name: str) -> None:
        """Kill a host for good."""
        self._hosts.remove(name)
        self._world.kill(name, is_disk_lost=True)
        self._be_quiet(DETECTION_SECONDS)

    async def _lose(self, name: str) -> None:
        """End a host, which is back soon with an empty disk."""
        self._world.kill(name, is_disk_lost=True)
        await trio.sleep(RESTART_SECONDS)
        await self._start(name)

    async def _wipe(self, name: str) -> None:
        """End a host, which is back later with an empty disk."""
        self._world.kill(name, is_disk_lost=True)
        self._set_away(name)

    async def _restart(self, name: str) -> None:
        await self._world.terminate(name)
        await self._start(name)

    async def _crash(self, name: str) -> None:
        self._world.kill(name)
        self._set_away(name)

    async def _cut(self, name: str) -> None:
        self._world.cut_off(name)
        self._set_away(name)

    async def _freeze(self, name: str) -> None:
        self._world.timers[name].pause()
        self._set_away(name)

    def _set_away(self, name: str) -> None:
        self._away.add(name)
        self._be_quiet(DETECTION_SECONDS)

    async def _kill_all(self) -> None:
        """End all hosts at once; they are back with their disks within a second."""
        await self._bring_back()
        for name in self._hosts:
            self._world.kill(name)
        await trio.sleep(0.5)
        for name in self._hosts:
            await self._start(name)

    async def _bring_back(self) -> None:
        self._world.network.heal()
        for name in sorted(self._away):
            if name in self._world.controls:
                self._world.timers[name].resume()
                self._ready_at[name] = trio.current_time() + CATCH_UP_SECONDS
            else:
                await self._start(name)
        self._away.clear()

    def _be_quiet(self, seconds: float) -> None:
        self._quiet_until = trio.current_time() + seconds


async def check_safety(world: World) -> None:
    """Check leases, terms and logs of the control hosts until cancelled."""
    safety = SafetyCheck()
    while True:
        safety.check({name: host.agreement for name, host in world.controls.items()})
        await trio.sleep(0.02)


async def play(steps: list[tuple[str, int]], seed: int) -> None:
    """Apply the steps to a new group, and check that it recovers."""
    async with (
        open_world(entries=0, seed=seed) as world,
        trio.open_nursery() as nursery,
    ):
        nursery.start_soon(check_safety, world)
        operator = Operator(world)
        for step, value in steps:
            await operator.play(step, value)
        await operator.check_recovered()
        nursery.cancel_scope.cancel()


@settings(
    max_examples=60,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
@given(steps=st.lists(STEPS, max_size=16), seed=st.integers(0, 1_000))
@example(
    [("add", 0), ("wait", 45), ("put", 0), ("terminate", 2), ("wait", 2), ("lose", 1)],
    0,
)
@example(
    [("add", 0), ("wait", 45), ("put", 0), ("kill", 2), ("wait", 10), ("lose", 1)], 0
)
def test_acknowledged_version_is_lost_in_an_order_of_allowed_losses(steps, seed):
    try:
        trio.run(play, steps, seed, clock=MockClock(autojump_threshold=0))
    except* Failure as failures:
        raise AssertionError(f"Not served: {failures.exceptions}") from None
