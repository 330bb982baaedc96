"""Acknowledged changes survive any sequence of faults of the control group.

Faults come in random order, but never more disks are lost at a time than the group
tolerates.
"""

import json

import trio
from hypothesis import HealthCheck, given, settings, strategies as st
from trio.testing import MockClock

from pepperstep.errors import Failure
from tests.relaying.world import World, open_world

SEEDS = ("c0:1", "c1:1", "c2:1")
# A restarted or new host counts as lost until it has caught up.
CATCH_UP_SECONDS = 4.0
# Time within which the group must serve after all hosts are back.
RECOVERY_SECONDS = 8.0
PUT_TIMEOUT_SECONDS = 3.0

STEPS = st.one_of(
    st.tuples(st.just("put"), st.just(0)),
    st.tuples(
        st.sampled_from(["kill", "wipe", "replace", "isolate"]), st.integers(0, 2)
    ),
    st.tuples(st.sampled_from(["start", "heal", "kill all"]), st.just(0)),
    st.tuples(st.just("wait"), st.integers(1, 6)),
)


class Operator:
    """Applies steps to a group and tracks the acknowledged version."""

    def __init__(self, world: World):
        self._world = world
        self._members = list(SEEDS)
        self._down: set[str] = set()
        self._last_fault_at = float("-inf")
        self._version = 1
        self._replaced = 0
        self.acknowledged = 1
        # Latest version seen on the entry host.
        self.seen = 1

    async def play(self, step: str, value: int) -> None:
        """Apply one step if the group's state permits it."""
        if step == "put":
            await self._put()
        elif step == "wait":
            await trio.sleep(value)
        elif step == "kill":
            self._kill(self._members[value])
        elif step in ("wipe", "replace"):
            await self._lose_disk(value, is_replaced=step == "replace")
        elif step == "isolate":
            self._world.network.isolate(self._members[value])
            self._last_fault_at = trio.current_time()
        elif step == "heal":
            self._world.network.heal()
        elif step == "kill all":
            for name in self._members:
                self._kill(name)
        elif step == "start":
            await self.start_all()
        self.check_entry()

    async def start_all(self) -> None:
        """Start all stopped hosts with their previous disks."""
        for name in sorted(self._down):
            await self._world.start_control(name, SEEDS, is_first=False)
        self._down.clear()

    def check_entry(self) -> None:
        """Check that the entry host's version never decreases."""
        version = self._world.entries["e0:1"].tables.current.version
        assert version >= self.seen
        self.seen = version

    async def check_all(self) -> None:
        """Check that all hosts have the acknowledged version and accept a new one."""
        self._world.network.heal()
        await self.start_all()
        await trio.sleep(RECOVERY_SECONDS)
        for name in self._members:
            document = await self._world.controls[name].read_table()
            assert json.loads(document)["version"] >= self.acknowledged
        await self._put()
        assert self.acknowledged == self._version
        await trio.sleep(1.0)
        self.check_entry()
        assert self.seen == self._version

    async def _put(self) -> None:
        if not self._world.controls:
            return
        self._version += 1
        with trio.move_on_after(PUT_TIMEOUT_SECONDS):
            await self._world.put(self._version)
            self.acknowledged = self._version

    def _kill(self, name: str) -> None:
        if name not in self._down:
            self._world.kill(name)
            self._down.add(name)
        self._last_fault_at = trio.current_time()

    async def _lose_disk(self, number: int, *, is_replaced: bool) -> None:
        """Lose one disk if all other hosts are up and have caught up."""
        is_stable = trio.current_time() - self._last_fault_at > CATCH_UP_SECONDS
        if self._down or not is_stable:
            return
        name = self._members[number]
        self._world.kill(name, is_disk_lost=True)
        if is_replaced:
            self._replaced += 1
            name = f"n{self._replaced}:1"
            self._members[number] = name
        await self._world.start_control(name, SEEDS, is_first=False)
        self._last_fault_at = trio.current_time()


@settings(
    max_examples=40,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
@given(steps=st.lists(STEPS, max_size=14), seed=st.integers(0, 1_000))
def test_acknowledged_tables_survive_faults(steps, seed):
    async def play() -> None:
        async with open_world(entries=1, seed=seed) as world:
            operator = Operator(world)
            for step, value in steps:
                try:
                    await operator.play(step, value)
                except Failure:
                    # The group can't answer a read or a change at the moment.
                    continue
            await operator.check_all()

    trio.run(play, clock=MockClock(autojump_threshold=0))
