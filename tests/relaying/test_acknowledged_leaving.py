"""No requests reach an upstream after the acknowledgement that it leaves.

Host restarts, network cuts and frozen hosts must not break this.
"""

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
# Time after an acknowledgement during which requests may still arrive, in seconds.
NOTICE_SECONDS = 2.0
# Time for which a host that was frozen, or cut off from most control hosts, may send
# late requests, in seconds.
EXCUSE_SECONDS = 3.0
# Time that an upstream waits for an answer, and between its announcements, in seconds.
ANSWER_TIMEOUT_SECONDS = 1.0
HEARTBEAT_SECONDS = 1.2
PERMANENT = "steady"


@dataclass
class Upstreams:
    """The requests that reached upstreams, and the acknowledgements of departures."""

    acknowledged: dict[str, float] = field(default_factory=dict)
    # Times and sending hosts by upstream.
    arrivals: dict[str, list[tuple[float, str]]] = field(
        default_factory=lambda: defaultdict(list)
    )
    excused: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))

    def answer(self, sent: Sent) -> Reply:
        """Answer a request."""
        name = sent.address.partition(":")[0]
        self.arrivals[name].append((sent.time, sent.host))
        return Reply(AnswerHead(200, ((b"pepperstep-attempt-id", b"id-1"),)))

    def late_requests(self) -> list[tuple[str, float, str]]:
        """Return upstream, delay and sending host of each late request."""
        return [
            (name, round(time - acknowledged_at, 2), host)
            for name, acknowledged_at in self.acknowledged.items()
            for time, host in self.arrivals[name]
            if time > acknowledged_at + NOTICE_SECONDS
            and not self._is_excused(host, time)
        ]

    def _is_excused(self, host: str, time: float) -> bool:
        return any(0 <= time - each <= EXCUSE_SECONDS for each in self.excused[host])


class Scenario:
    """A world under load whose upstreams leave."""

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
        """Announce at hosts in turn that an upstream leaves, until one acknowledges."""
        for sequence, host in enumerate(hosts, start=2):
            with trio.move_on_after(ANSWER_TIMEOUT_SECONDS), suppress(Failure):
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
        """Kill hosts together and start them again after a pause in seconds."""
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
        """Excuse the entry hosts that can't reach most control hosts."""
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
        """Allow an entry host late requests for a while."""
        self.upstreams.excused[name].append(trio.current_time())

    async def _ask(self, name: str) -> None:
        relay = self.world.entries[name].relay
        with suppress(CallerGone):
            await relay.handle(
                FakeExchange(request("/safe/1"), b"", trio.current_time())
            )


@asynccontextmanager
async def open_scenario(entries: int, controls: int = 3, seed: int = 0):
    """Yield a scene with a permanent upstream and one that may leave, `u`."""
    losses = (controls - 1) // 2
    async with (
        open_world(controls, entries, seed, losses) as world,
        trio.open_nursery() as nursery,
    ):
        scenario = Scenario(world, controls, nursery)
        await scenario.add(PERMANENT)
        await scenario.add("u")
        await trio.sleep(3.0)
        nursery.start_soon(scenario.load)
        nursery.start_soon(scenario.watch_contact)
        yield scenario
        nursery.cancel_scope.cancel()
    assert scenario.upstreams.late_requests() == []


@pytest.mark.parametrize("entries", ENTRIES)
@pytest.mark.parametrize("is_end", [False, True])
async def test_leaving_is_acknowledged_at_once(autojump_clock, entries, is_end):
    async with open_scenario(entries) as scenario:
        await trio.sleep(4.0)
        begin = trio.current_time()
        assert await scenario.leave("u", ["c0:1"], is_end=is_end)
        assert trio.current_time() - begin < 0.3
        await trio.sleep(4.0)
        assert scenario.upstreams.arrivals["u"]


async def repeat_at_isolated_host(scenario: Scenario, is_end: bool) -> None:
    """Announce it repeatedly at a control host that is cut off from all others."""
    everyone = [*scenario.controls, *scenario.world.entries]
    scenario.world.cut_off("c0:1", everyone)
    await scenario.leave("u", ["c0:1", "c0:1", "c0:1"], is_end=is_end)


async def announce_at_minority(scenario: Scenario, is_end: bool) -> None:
    """Announce it at control hosts that are cut off from the majority only."""
    minority = scenario.controls[: (len(scenario.controls) - 1) // 2]
    for name in minority:
        scenario.world.cut_off(name, set(scenario.controls) - set(minority))
    await scenario.leave("u", minority, is_end=is_end)


async def announce_at_majority(scenario: Scenario, is_end: bool) -> None:
    """Announce it at the majority, while entry hosts reach the minority too."""
    minority = scenario.controls[: (len(scenario.controls) - 1) // 2]
    majority = sorted(set(scenario.controls) - set(minority))
    for name in minority:
        scenario.world.cut_off(name, majority)
    assert await scenario.leave("u", majority, is_end=is_end)


async def kill_all_hosts(scenario: Scenario, is_end: bool) -> None:
    """Kill all hosts as soon as it's acknowledged."""
    await scenario.leave("u", ["c0:1", "c1:1"], is_end=is_end)
    await scenario.restart([*scenario.controls, *scenario.world.entries], 0.5)


async def announce_at_empty_host(scenario: Scenario, is_end: bool) -> None:
    """Announce it at an isolated control host that has lost its disk."""
    scenario.world.cut_off("c1:1", [*scenario.controls, *scenario.world.entries])
    await scenario.restart(["c1:1"], 0.1, is_disk_lost=True)
    await scenario.leave("u", ["c1:1"], is_end=is_end)


async def restart_control_hosts_without_entry_hosts(
    scenario: Scenario, is_end: bool
) -> None:
    """Restart the control hosts while some entry hosts are down."""
    entries = sorted(scenario.world.entries)
    for name in entries[::2]:
        scenario.world.kill(name)
    await trio.sleep(2.0)
    await scenario.leave("u", ["c0:1", "c1:1"], is_end=is_end)
    await scenario.restart(scenario.controls, 0.3)
    for name in entries[::2]:
        await scenario.world.start_entry(name, SEEDS)


def random_faults(seed: int):
    """Return random faults by seed, during which many upstreams leave."""

    async def cause_faults(scenario: Scenario, is_end: bool) -> None:
        rng = random.Random(seed)
        with trio.move_on_after(45.0):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_announce_departures, scenario, rng, is_end)
                while True:
                    fault = rng.choice(
                        [_restart_controls, _restart_entries, _cut_controls, _freeze]
                    )
                    await fault(scenario, rng)
                    await trio.sleep(rng.uniform(0.1, 3.0))

    cause_faults.__name__ = f"seed {seed}"
    return cause_faults


async def _announce_departures(
    scenario: Scenario, rng: random.Random, is_end: bool
) -> None:
    for number in range(100):
        name = f"u{number}"
        living = sorted(scenario.world.controls)
        if living:
            with suppress(Failure):
                await scenario.add(name, rng.choice(living))
        await trio.sleep(rng.uniform(0.2, 2.0))
        for _ in range(3):
            hosts = rng.sample(scenario.controls, len(scenario.controls))
            if await scenario.leave(name, hosts[:3], is_end=is_end):
                break
            await trio.sleep(HEARTBEAT_SECONDS)


async def _restart_controls(scenario: Scenario, rng: random.Random) -> None:
    names = rng.sample(scenario.controls, rng.randint(1, len(scenario.controls)))
    await scenario.restart(names, rng.uniform(0.1, 2.0))


async def _restart_entries(scenario: Scenario, rng: random.Random) -> None:
    names = sorted(scenario.world.entries)
    await scenario.restart(rng.sample(names, rng.randint(1, len(names))), 0.3)


async def _cut_controls(scenario: Scenario, rng: random.Random) -> None:
    """Cut the control hosts in two parts; entry hosts reach both or only one."""
    count = rng.randint(1, len(scenario.controls) - 1)
    part = set(rng.sample(scenario.controls, count))
    names = sorted(scenario.world.entries)
    beside = rng.sample(names, rng.choice([0, 0, len(names) // 3]))
    for name in part:
        scenario.world.cut_off(name, set(scenario.controls) - part)
    for name in beside:
        scenario.world.cut_off(name, rng.choice([part, set(scenario.controls) - part]))
    await trio.sleep(rng.uniform(0.5, 8.0))
    scenario.world.network.heal()


async def _freeze(scenario: Scenario, rng: random.Random) -> None:
    name = rng.choice([*scenario.controls, *sorted(scenario.world.entries)])
    timers = scenario.world.timers[name]
    timers.pause()
    scenario.excuse(name)
    try:
        await trio.sleep(rng.uniform(0.1, 3.0))
    finally:
        timers.resume()
        scenario.excuse(name)


@pytest.mark.parametrize(
    ("fault", "entries", "controls"),
    [
        *((repeat_at_isolated_host, entries, 3) for entries in ENTRIES),
        *((announce_at_minority, entries, 5) for entries in ENTRIES),
        *((announce_at_majority, entries, 5) for entries in ENTRIES),
        (announce_at_majority, 12, 6),
        *((kill_all_hosts, entries, 3) for entries in ENTRIES),
        *((announce_at_empty_host, entries, 3) for entries in ENTRIES[:1]),
        *(
            (restart_control_hosts_without_entry_hosts, entries, 3)
            for entries in ENTRIES
        ),
        *((random_faults(seed), 5, 3) for seed in range(4)),
        *((random_faults(seed), 12, 5) for seed in range(4)),
        (random_faults(0), 55, 6),
    ],
    ids=lambda value: getattr(value, "__name__", None),
)
@pytest.mark.parametrize("is_end", [False, True], ids=["leaves", "ends"])
async def test_no_host_sends_to_an_upstream_whose_leaving_was_acknowledged(
    autojump_clock, fault, entries, controls, is_end
):
    async with open_scenario(entries, controls) as scenario:
        await fault(scenario, is_end)
        await trio.sleep(6.0)


async def test_late_announcement_after_restart_is_ignored(autojump_clock):
    async with open_scenario(5) as scenario:
        assert await scenario.leave("u", ["c0:1"], is_end=True)
        await scenario.restart([*scenario.controls, *scenario.world.entries], 0.5)
        await scenario.add("u", "c1:1")
        await trio.sleep(6.0)


async def test_leaving_is_acknowledged_once_entry_hosts_applied_it(
    autojump_clock,
):
    async with open_scenario(5) as scenario:
        for name in scenario.controls:
            scenario.world.network.cut(name, "e0:1")
        assert not await scenario.leave("u", scenario.controls)
        scenario.world.network.heal()
        await trio.sleep(1.0)
        assert await scenario.leave("u", scenario.controls)


@pytest.mark.parametrize("incarnation", [None, 5, 6])
async def test_end_of_upstream_unknown_to_control_host_applies(
    autojump_clock, incarnation
):
    async with open_scenario(5) as scenario:
        scenario.world.cut_off("c1:1", scenario.controls)
        await trio.sleep(3.0)
        await scenario.add("v", incarnation=5)
        await trio.sleep(1.0)
        scenario.world.network.heal()
        host = scenario.world.controls["c1:1"]
        assert host.catalog.get("v") is None
        await host.mark_gone("v", incarnation)
        scenario.upstreams.acknowledged["v"] = trio.current_time()
        await trio.sleep(6.0)


async def test_end_of_an_earlier_start_ends_nothing(autojump_clock):
    async with open_scenario(5) as scenario:
        await scenario.world.announce("c0:1", "u", "plain", incarnation=5)
        await trio.sleep(1.0)
        await scenario.world.controls["c1:1"].mark_gone("u", 4)
        await trio.sleep(1.0)
        for host in scenario.world.entries.values():
            assert host.catalog.get("u").takes_work
