"""Whatever series of losses the control group has, what was acknowledged stays.

Faults come in any order, but no more disks are lost at a time than the group bears.
"""

import json

import trio
from hypothesis import HealthCheck, given, settings, strategies as st
from trio.testing import MockClock

from pepperstep.errors import Failure
from tests.relaying.world import World, open_world

SEEDS = ("c0:1", "c1:1", "c2:1")
# A host that is back, or new, counts as lost for so long, in seconds.
CATCH_UP_SECONDS = 4.0
# The group must serve again so long after all hosts are back, in seconds.
RECOVERY_SECONDS = 8.0
PUT_SECONDS = 3.0

STEPS = st.one_of(
    st.tuples(st.just("put"), st.just(0)),
    st.tuples(
        st.sampled_from(["kill", "wipe", "replace", "isolate"]), st.integers(0, 2)
    ),
    st.tuples(st.sampled_from(["start", "heal", "kill all"]), st.just(0)),
    st.tuples(st.just("wait"), st.integers(1, 6)),
)


class Operator:
    """Plays steps on a group, and remembers what was acknowledged."""

    def __init__(self, world: World):
        self._world = world
        self._members = list(SEEDS)
        self._down: set[str] = set()
        self._disturbed_at = float("-inf")
        self._version = 1
        self._replaced = 0
        self.acknowledged = 1
        # Highest version seen on the entry host.
        self.seen = 1

    async def play(self, step: str, value: int) -> None:
        """Play one step, as far as it makes sense now."""
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
            self._disturbed_at = trio.current_time()
        elif step == "heal":
            self._world.network.heal()
        elif step == "kill all":
            for name in self._members:
                self._kill(name)
        elif step == "start":
            await self.start_all()
        self.check_entry()

    async def start_all(self) -> None:
        """Start all that is down, on the disk that it had."""
        for name in sorted(self._down):
            await self._world.start_control(name, SEEDS, is_first=False)
        self._down.clear()

    def check_entry(self) -> None:
        """The entry host never goes back."""
        version = self._world.entries["e0:1"].tables.current.version
        assert version >= self.seen
        self.seen = version

    async def check_all(self) -> None:
        """All hosts have at least what was acknowledged, and take the next."""
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
        with trio.move_on_after(PUT_SECONDS):
            await self._world.put(self._version)
            self.acknowledged = self._version

    def _kill(self, name: str) -> None:
        if name not in self._down:
            self._world.kill(name)
            self._down.add(name)
        self._disturbed_at = trio.current_time()

    async def _lose_disk(self, number: int, *, is_replaced: bool) -> None:
        """Lose one disk, if all others are up and have caught up."""
        is_calm = trio.current_time() - self._disturbed_at > CATCH_UP_SECONDS
        if self._down or not is_calm:
            return
        name = self._members[number]
        self._world.kill(name, is_disk_lost=True)
        if is_replaced:
            self._replaced += 1
            name = f"n{self._replaced}:1"
            self._members[number] = name
        await self._world.start_control(name, SEEDS, is_first=False)
        self._disturbed_at = trio.current_time()


@settings(
    max_examples=40,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
@given(steps=st.lists(STEPS, max_size=14), seed=st.integers(0, 1_000))
def test_acknowledged_tables_stay(steps, seed):
    async def play() -> None:
        async with open_world(entries=1, seed=seed) as world:
            operator = Operator(world)
            for step, value in steps:
                try:
                    await operator.play(step, value)
                except Failure:
                    # A read or a change that the group can't answer now.
                    continue
            await operator.check_all()

    trio.run(play, clock=MockClock(autojump_threshold=0))
