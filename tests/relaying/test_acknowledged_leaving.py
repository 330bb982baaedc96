"""Upstreams whose leaving was acknowledged, through troubles of hosts."""

import random
from collections import defaultdict
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field

import pytest
import trio

from pepperstep.errors import Failure
from pepperstep.fakes.relaying import FakeExchange, Reply, Sent
from pepperstep.ports.exchange import AnswerHead, CallerGone
from tests.relaying.world import open_world, request

SEEDS = ("c0:1", "c1:1", "c2:1")
RATE = 40.0
ENTRIES = [5, 12, 55]
# Time after an acknowledgement in which a request may still follow, in seconds.
NOTICE = 2.0
# Time for which a host is excused that was frozen, or out of reach of most control
# hosts, in seconds.
EXCUSE = 3.0
# Time that an upstream waits for an answer, and between its announcements, in seconds.
ANSWER = 1.0
PERIOD = 1.2
STEADY = "steady"


@dataclass
class Upstreams:
    """What reached upstreams, and when their leaving was acknowledged."""

    acknowledged: dict[str, float] = field(default_factory=dict)
    # Times and hosts by upstream.
    arrivals: dict[str, list[tuple[float, str]]] = field(
        default_factory=lambda: defaultdict(list)
    )
    excused: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))

    def answer(self, sent: Sent) -> Reply:
        """Answer a request."""
        name = sent.address.partition(":")[0]
        self.arrivals[name].append((sent.time, sent.host))
        return Reply(AnswerHead(200, ((b"pepperstep-attempt-id", b"id-1"),)))

    def late(self) -> list[tuple[str, float, str]]:
        """Return upstream, delay and host of what came too late."""
        return [
            (name, round(time - told, 2), host)
            for name, told in self.acknowledged.items()
            for time, host in self.arrivals[name]
            if time > told + NOTICE and not self._is_excused(host, time)
        ]

    def _is_excused(self, host: str, time: float) -> bool:
        return any(0 <= time - each <= EXCUSE for each in self.excused[host])


class Scene:
    """A world under load, whose upstreams leave."""

    def __init__(self, world, controls: int, nursery: trio.Nursery):
        self.world = world
        self.upstreams = Upstreams()
        self.controls = sorted(world.controls)
        self._losses = (controls - 1) // 2
        self._nursery = nursery

    async def add(self, name: str, host: str = "c0:1", **facts) -> None:
        """Let an upstream announce itself."""
        self.world.connector.scripts[f"{name}:80"] = self.upstreams.answer
        await self.world.announce(host, name, "plain", **facts)

    async def leave(self, name: str, hosts: list[str], *, is_end: bool = False) -> bool:
        """Let an upstream say at hosts in turn that it leaves, until one agrees."""
        for sequence, host in enumerate(hosts, start=2):
            with trio.move_on_after(ANSWER), suppress(Failure):
                if host not in self.world.controls:
                    continue
                if is_end:
                    await self.world.controls[host].mark_gone(name)
                else:
                    await self.world.announce(
                        host, name, "plain", sequence=sequence, is_leaving=True
                    )
                self.upstreams.acknowledged[name] = trio.current_time()
                return True
        return False

    async def restart(self, names: list[str], seconds: float, **facts) -> None:
        """Kill hosts at once, and start them again."""
        names = [
            each
            for each in names
            if each in self.world.controls or each in self.world.entries
        ]
        for name in names:
            self.world.kill(name, **facts)
        await trio.sleep(seconds)
        for name in names:
            if name in self.controls:
                await self.world.start_control(
                    name, SEEDS, is_first=False, losses=self._losses
                )
            else:
                await self.world.start_entry(name, SEEDS)

    async def load(self) -> None:
        """Send requests until cancelled."""
        while True:
            if self.world.entries:
                name = self.world.rng.choice(sorted(self.world.entries))
                self._nursery.start_soon(self._ask, name)
            await trio.sleep(self.world.rng.expovariate(RATE))

    async def watch_contact(self) -> None:
        """Note which entry hosts can't reach most control hosts."""
        network = self.world.network
        while True:
            for name in self.world.entries:
                cut = sum(
                    network.is_cut(name, each) or network.is_cut(each, name)
                    for each in self.controls
                )
                if 2 * cut >= len(self.controls):
                    self.excuse(name)
            await trio.sleep(0.1)

    def excuse(self, name: str) -> None:
        """Excuse an entry host for a while."""
        self.upstreams.excused[name].append(trio.current_time())

    async def _ask(self, name: str) -> None:
        relay = self.world.entries[name].relay
        with suppress(CallerGone):
            await relay.handle(
                FakeExchange(request("/safe/1"), b"", trio.current_time())
            )


@asynccontextmanager
async def serving(entries: int, controls: int = 3, seed: int = 0):
    """Give a scene with a steady upstream and one that may leave, `u`."""
    losses = (controls - 1) // 2
    async with (
        open_world(controls, entries, seed, losses) as world,
        trio.open_nursery() as nursery,
    ):
        scene = Scene(world, controls, nursery)
        await scene.add(STEADY)
        await scene.add("u")
        await trio.sleep(3.0)
        nursery.start_soon(scene.load)
        nursery.start_soon(scene.watch_contact)
        yield scene
        nursery.cancel_scope.cancel()
    assert scene.upstreams.late() == []


@pytest.mark.parametrize("entries", ENTRIES)
@pytest.mark.parametrize("is_end", [False, True])
async def test_leaving_is_acknowledged_at_once(autojump_clock, entries, is_end):
    async with serving(entries) as scene:
        await trio.sleep(4.0)
        begin = trio.current_time()
        assert await scene.leave("u", ["c0:1"], is_end=is_end)
        assert trio.current_time() - begin < 0.3
        await trio.sleep(4.0)
        assert scene.upstreams.arrivals["u"]


async def repeat_at_a_host_cut_off(scene: Scene, is_end: bool) -> None:
    """Say it again and again at a control host that nobody else reaches."""
    everyone = [*scene.controls, *scene.world.entries]
    scene.world.cut_off("c0:1", everyone)
    await scene.leave("u", ["c0:1", "c0:1", "c0:1"], is_end=is_end)


async def say_it_at_a_minority(scene: Scene, is_end: bool) -> None:
    """Say it to control hosts that are cut off from the others only."""
    minority = scene.controls[: (len(scene.controls) - 1) // 2]
    for name in minority:
        scene.world.cut_off(name, set(scene.controls) - set(minority))
    await scene.leave("u", minority, is_end=is_end)


async def say_it_at_a_majority(scene: Scene, is_end: bool) -> None:
    """Say it to most control hosts, while callers' hosts reach the others as well."""
    minority = scene.controls[: (len(scene.controls) - 1) // 2]
    majority = sorted(set(scene.controls) - set(minority))
    for name in minority:
        scene.world.cut_off(name, majority)
    assert await scene.leave("u", majority, is_end=is_end)


async def kill_all_that_know(scene: Scene, is_end: bool) -> None:
    """Kill all hosts as soon as it's acknowledged."""
    await scene.leave("u", ["c0:1", "c1:1"], is_end=is_end)
    await scene.restart([*scene.controls, *scene.world.entries], 0.5)


async def say_it_to_an_empty_host(scene: Scene, is_end: bool) -> None:
    """Say it to a control host without a disk that finds nobody."""
    scene.world.cut_off("c1:1", [*scene.controls, *scene.world.entries])
    await scene.restart(["c1:1"], 0.1, is_disk_lost=True)
    await scene.leave("u", ["c1:1"], is_end=is_end)


async def restart_control_hosts_while_entry_hosts_are_dark(
    scene: Scene, is_end: bool
) -> None:
    """Entry hosts that come back ask control hosts that have come back, too."""
    entries = sorted(scene.world.entries)
    for name in entries[::2]:
        scene.world.kill(name)
    await trio.sleep(2.0)
    await scene.leave("u", ["c0:1", "c1:1"], is_end=is_end)
    await scene.restart(scene.controls, 0.3)
    for name in entries[::2]:
        await scene.world.start_entry(name, SEEDS)


def drawn_by(seed: int):
    """Return the troubles of a seed, through which many upstreams leave."""

    async def make_troubles(scene: Scene, is_end: bool) -> None:
        rng = random.Random(seed)
        with trio.move_on_after(45.0):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_let_upstreams_leave, scene, rng, is_end)
                while True:
                    trouble = rng.choice(
                        [_restart_controls, _restart_entries, _cut_controls, _freeze]
                    )
                    await trouble(scene, rng)
                    await trio.sleep(rng.uniform(0.1, 3.0))

    make_troubles.__name__ = f"seed {seed}"
    return make_troubles


async def _let_upstreams_leave(scene: Scene, rng: random.Random, is_end: bool) -> None:
    for number in range(100):
        name = f"u{number}"
        living = sorted(scene.world.controls)
        if living:
            with suppress(Failure):
                await scene.add(name, rng.choice(living))
        await trio.sleep(rng.uniform(0.2, 2.0))
        for _ in range(3):
            hosts = rng.sample(scene.controls, len(scene.controls))
            if await scene.leave(name, hosts[:3], is_end=is_end):
                break
            await trio.sleep(PERIOD)


async def _restart_controls(scene: Scene, rng: random.Random) -> None:
    names = rng.sample(scene.controls, rng.randint(1, len(scene.controls)))
    await scene.restart(names, rng.uniform(0.1, 2.0))


async def _restart_entries(scene: Scene, rng: random.Random) -> None:
    names = sorted(scene.world.entries)
    await scene.restart(rng.sample(names, rng.randint(1, len(names))), 0.3)


async def _cut_controls(scene: Scene, rng: random.Random) -> None:
    """Cut control hosts in unequal parts; entry hosts reach both, or one part only."""
    count = rng.randint(1, len(scene.controls) - 1)
    part = set(rng.sample(scene.controls, count))
    names = sorted(scene.world.entries)
    beside = rng.sample(names, rng.choice([0, 0, len(names) // 3]))
    for name in part:
        scene.world.cut_off(name, set(scene.controls) - part)
    for name in beside:
        scene.world.cut_off(name, rng.choice([part, set(scene.controls) - part]))
    await trio.sleep(rng.uniform(0.5, 8.0))
    scene.world.network.heal()


async def _freeze(scene: Scene, rng: random.Random) -> None:
    name = rng.choice([*scene.controls, *sorted(scene.world.entries)])
    timers = scene.world.timers[name]
    timers.pause()
    scene.excuse(name)
    try:
        await trio.sleep(rng.uniform(0.1, 3.0))
    finally:
        timers.resume()
        scene.excuse(name)


@pytest.mark.parametrize(
    ("trouble", "entries", "controls"),
    [
        *((repeat_at_a_host_cut_off, entries, 3) for entries in ENTRIES),
        *((say_it_at_a_minority, entries, 5) for entries in ENTRIES),
        *((say_it_at_a_majority, entries, 5) for entries in ENTRIES),
        (say_it_at_a_majority, 12, 6),
        *((kill_all_that_know, entries, 3) for entries in ENTRIES),
        *((say_it_to_an_empty_host, entries, 3) for entries in ENTRIES[:1]),
        *(
            (restart_control_hosts_while_entry_hosts_are_dark, entries, 3)
            for entries in ENTRIES
        ),
        *((drawn_by(seed), 5, 3) for seed in range(4)),
        *((drawn_by(seed), 12, 5) for seed in range(4)),
        (drawn_by(0), 55, 6),
    ],
    ids=lambda value: getattr(value, "__name__", None),
)
@pytest.mark.parametrize("is_end", [False, True], ids=["leaves", "ends"])
async def test_no_host_sends_to_an_upstream_whose_leaving_was_acknowledged(
    autojump_clock, trouble, entries, controls, is_end
):
    async with serving(entries, controls) as scene:
        await trouble(scene, is_end)
        await trio.sleep(6.0)


async def test_late_announcement_after_restart_is_ignored(autojump_clock):
    async with serving(5) as scene:
        assert await scene.leave("u", ["c0:1"], is_end=True)
        await scene.restart([*scene.controls, *scene.world.entries], 0.5)
        await scene.add("u", "c1:1")
        await trio.sleep(6.0)


async def test_leaving_is_acknowledged_once_entry_hosts_applied_it(
    autojump_clock,
):
    async with serving(5) as scene:
        for name in scene.controls:
            scene.world.network.cut(name, "e0:1")
        assert not await scene.leave("u", scene.controls)
        scene.world.network.heal()
        await trio.sleep(1.0)
        assert await scene.leave("u", scene.controls)


@pytest.mark.parametrize("incarnation", [None, 5, 6])
async def test_end_of_upstream_unknown_to_control_host_applies(
    autojump_clock, incarnation
):
    async with serving(5) as scene:
        scene.world.cut_off("c1:1", scene.controls)
        await trio.sleep(3.0)
        await scene.add("v", incarnation=5)
        await trio.sleep(1.0)
        scene.world.network.heal()
        host = scene.world.controls["c1:1"]
        assert host.catalog.get("v") is None
        await host.mark_gone("v", incarnation)
        scene.upstreams.acknowledged["v"] = trio.current_time()
        await trio.sleep(6.0)


async def test_end_of_an_earlier_start_ends_nothing(autojump_clock):
    async with serving(5) as scene:
        await scene.world.announce("c0:1", "u", "plain", incarnation=5)
        await trio.sleep(1.0)
        await scene.world.controls["c1:1"].mark_gone("u", 4)
        await trio.sleep(1.0)
        for host in scene.world.entries.values():
            assert host.catalog.get("u").takes_work
