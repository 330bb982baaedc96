"""Random schedules of faults; `Cluster` checks Raft's safety properties."""

import trio
import trio.testing
from hypothesis import HealthCheck, example, given, settings, strategies as st

from tests.consensus.cluster import Cluster, open_cluster

HOST_INDEXES = st.integers(0, 4)
STEPS = st.one_of(
    st.tuples(st.just("propose"), HOST_INDEXES, st.integers(1, 30)),
    st.tuples(st.just("propose"), HOST_INDEXES, st.integers(1, 3)),
    st.tuples(st.just("crash"), HOST_INDEXES, st.integers(0, 300)),
    st.tuples(st.just("crash_at"), HOST_INDEXES, st.integers(0, 12)),
    st.tuples(st.just("start"), HOST_INDEXES, st.just(0)),
    st.tuples(st.just("lose_disk"), HOST_INDEXES, st.just(0)),
    st.tuples(st.just("isolate"), HOST_INDEXES, st.just(0)),
    st.tuples(st.just("cut"), HOST_INDEXES, HOST_INDEXES),
    st.tuples(st.just("heal"), st.just(0), st.just(0)),
    st.tuples(st.just("pause"), HOST_INDEXES, st.just(0)),
    st.tuples(st.just("resume"), HOST_INDEXES, st.just(0)),
    st.tuples(st.just("trouble"), st.integers(0, 3), st.integers(0, 3)),
    st.tuples(st.just("slow_disk"), HOST_INDEXES, st.integers(0, 3)),
    st.tuples(st.just("repeat_late"), st.just(0), st.integers(0, 99)),
    st.tuples(st.just("wait"), st.just(0), st.integers(1, 40)),
)


class Schedule:
    """Runs the steps of a schedule on a cluster."""

    def __init__(self, cluster: Cluster, nursery: trio.Nursery):
        self._cluster = cluster
        self._nursery = nursery
        self._lost = 0

    async def run_step(self, kind: str, host_index: int, number: int) -> None:
        names = self._cluster.names
        name = names[host_index % len(names)]
        await getattr(self, f"_{kind}")(name, number)
        await trio.sleep(0.01 * number if kind != "wait" else 0.1 * number)

    async def _propose(self, name: str, number: int) -> None:
        if self._cluster.hosts[name].is_up:
            for _ in range(number):
                self._nursery.start_soon(self._cluster.try_propose, name)

    async def _crash(self, name: str, number: int) -> None:
        if self._cluster.hosts[name].is_up:
            self._cluster.crash(name, torn_bytes=number)

    async def _crash_at(self, name: str, number: int) -> None:
        if self._cluster.hosts[name].is_up:
            self._cluster.crash_before_write(name, number, torn_bytes=number * 7)

    async def _start(self, name: str, number: int) -> None:
        if not self._cluster.hosts[name].is_up:
            await self._cluster.start(name)

    async def _lose_disk(self, name: str, number: int) -> None:
        """Lose a disk, but never a majority before the group is redundant again."""
        cluster = self._cluster
        if cluster.is_redundant():
            self._lost = 0
        if self._lost < (len(cluster.names) - 1) // 2:
            self._lost += 1
            cluster.crash(name, is_disk_lost=True)
            await cluster.start(name)

    async def _isolate(self, name: str, number: int) -> None:
        self._cluster.network.isolate(name)

    async def _cut(self, name: str, number: int) -> None:
        names = self._cluster.names
        self._cluster.network.cut(name, names[number % len(names)])

    async def _heal(self, name: str, number: int) -> None:
        self._cluster.network.heal()

    async def _pause(self, name: str, number: int) -> None:
        self._cluster.hosts[name].timers.pause()

    async def _resume(self, name: str, number: int) -> None:
        self._cluster.hosts[name].timers.resume()

    async def _trouble(self, name: str, number: int) -> None:
        network = self._cluster.network
        network.loss = (0.0, 0.02, 0.1, 0.3)[number]
        network.duplication = (0.0, 0.1, 0.3, 0.5)[number]
        network.max_delay = (0.0005, 0.005, 0.05, 0.3)[number]

    async def _slow_disk(self, name: str, number: int) -> None:
        live_disk = self._cluster.hosts[name].live_disk
        live_disk.sync_delay = (0.001, 0.05, 0.4, 2.0)[number]

    async def _repeat_late(self, name: str, number: int) -> None:
        self._cluster.replay_message(number)

    async def _wait(self, name: str, number: int) -> None:
        pass


async def _run(count: int, steps: list[tuple[str, int, int]], seed: int) -> None:
    async with open_cluster(count, seed=seed) as cluster:
        await cluster.start()
        await cluster.wait_leader()
        async with trio.open_nursery() as nursery:
            schedule = Schedule(cluster, nursery)
            for step in steps:
                await schedule.run_step(*step)
        await cluster.heal_and_compare()


def run_schedule(count: int, steps: list[tuple[str, int, int]], seed: int) -> None:
    """Run a schedule in virtual time."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(_run, count, steps, seed, clock=clock)


@settings(
    max_examples=40,
    derandomize=True,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large],
)
@given(
    st.sampled_from((3, 5)), st.lists(STEPS, min_size=5, max_size=40), st.integers(0, 9)
)
@example(3, [("propose", 0, 30), ("wait", 0, 40), ("crash", 0, 5)], 0)
def test_any_schedule(count, steps, seed):
    run_schedule(count, steps, seed)
