"""What entry hosts count on, under random cuts, freezes and kills of control hosts."""

import random

import pytest
import trio

from pepperstep.errors import Failure
from tests.relaying.world import open_world

SEEDS = ("c0:1", "c1:1", "c2:1")
HEARTBEAT_SECONDS = 1.2
# Time until entry hosts know of an upstream's word: a kill, a cut or a freeze of the
# host that heard it costs a second question.
SETTLING_SECONDS = 4.0
# Time until an upstream that ended without a word counts as silent: 20 s, twice that
# where a control host was out of contact meanwhile.
SILENT_SECONDS = 45.0


class Views:
    """Upstreams that announce themselves, and control hosts in trouble."""

    def __init__(self, world, seed: int):
        self._world = world
        self._rng = random.Random(seed)
        # Control hosts by what is done to them.
        self._frozen: set[str] = set()
        self._killed: set[str] = set()
        # When each upstream was first and last heard by a control host that runs.
        self.heard: dict[str, tuple[float, float]] = {}
        # Upstreams that have begun to say that they end; when that was acknowledged.
        self.ending: set[str] = set()
        self.ended_at: dict[str, float] = {}
        self.crashed_at: dict[str, float] = {}

    async def announce_forever(self, upstream: str) -> None:
        """Announce an upstream at one control host, and at others once it fails."""
        host = self._rng.choice(SEEDS)
        sequence = 0
        while upstream not in self.ended_at and upstream not in self.crashed_at:
            sequence += 1
            try:
                if host in self._frozen | self._killed:
                    raise KeyError(host)
                await self._world.announce(host, upstream, "plain", sequence=sequence)
            except (KeyError, Failure):
                host = self._rng.choice(SEEDS)
                await trio.sleep(0.3)
                continue
            now = trio.current_time()
            first, last = self.heard.get(upstream, (now, now))
            self.heard[upstream] = (first if now - last < 5.0 else now, now)
            await trio.sleep(HEARTBEAT_SECONDS)

    async def end(self, upstream: str) -> None:
        """Let an upstream say that it's gone, until that is acknowledged."""
        self.ending.add(upstream)
        while upstream not in self.ended_at:
            host = self._rng.choice(SEEDS)
            if host in self._frozen | self._killed:
                await trio.sleep(0.3)
                continue
            try:
                await self._world.controls[host].mark_gone(upstream)
            except Failure:
                await trio.sleep(0.3)
            else:
                self.ended_at[upstream] = trio.current_time()

    async def trouble(self) -> None:
        """Do one thing after the other to control hosts, at most one at a time."""
        while True:
            await trio.sleep(self._rng.uniform(2.0, 8.0))
            act = self._rng.choice([self._cut, self._freeze, self._kill])
            await act(self._rng.choice(SEEDS), self._rng.choice([1.0, 5.0, 25.0, 40.0]))

    async def _cut(self, host: str, seconds: float) -> None:
        self._world.cut_off(host, SEEDS)
        await trio.sleep(seconds)
        self._world.network.heal()

    async def _freeze(self, host: str, seconds: float) -> None:
        self._frozen.add(host)
        self._world.timers[host].pause()
        await trio.sleep(seconds)
        self._world.timers[host].resume()
        self._frozen.discard(host)

    async def _kill(self, host: str, seconds: float) -> None:
        self._killed.add(host)
        self._world.kill(host, is_disk_lost=self._rng.random() < 0.3)
        await trio.sleep(seconds)
        await self._world.start_control(host, SEEDS, is_first=False)
        self._killed.discard(host)

    def check(self) -> None:
        """Raise unless entry hosts count on what lives, and on nothing that ended."""
        now = trio.current_time()
        for name, entry in self._world.entries.items():
            working = {each.id for each in entry.catalog.working("plain")}
            for upstream, (first, last) in self.heard.items():
                lives = now - last < 2 * HEARTBEAT_SECONDS
                if upstream in self.ending or upstream in self.crashed_at:
                    continue
                if lives and now - first > SETTLING_SECONDS:
                    assert upstream in working, (now, name, upstream)
            for upstream, ended_at in self.ended_at.items():
                if now - ended_at > SETTLING_SECONDS:
                    assert upstream not in working, (now, name, upstream)


@pytest.mark.parametrize("seed", range(12))
async def test_entry_hosts_use_all_live_upstreams(autojump_clock, seed):
    async with open_world(seed=seed) as world, trio.open_nursery() as nursery:
        views = Views(world, seed)
        for number in range(6):
            nursery.start_soon(views.announce_forever, f"u{number}")
        nursery.start_soon(views.trouble)
        for second in range(150):
            await trio.sleep(1.0)
            views.check()
            if second == 60:
                nursery.start_soon(views.end, "u0")
            if second == 70:
                views.crashed_at["u1"] = trio.current_time()
        nursery.cancel_scope.cancel()


async def test_crashed_upstream_becomes_silent_despite_a_short_cut(
    autojump_clock,
):
    async with open_world() as world, trio.open_nursery() as nursery:
        views = Views(world, 0)
        nursery.start_soon(views.announce_forever, "u0")
        await trio.sleep(5.0)
        views.crashed_at["u0"] = trio.current_time()
        await views._cut("c0:1", 5.0)
        await trio.sleep(SILENT_SECONDS - 5.0)
        for entry in world.entries.values():
            assert entry.catalog.working("plain") == []
        nursery.cancel_scope.cancel()
