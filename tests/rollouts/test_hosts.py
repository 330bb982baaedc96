"""Roll-outs by real control and entry hosts in virtual time."""

import random
from contextlib import asynccontextmanager

import pytest
import trio

from pepperstep.errors import Code, Failure
from pepperstep.fakes.relaying import Reply
from pepperstep.ports.exchange import AnswerHead
from pepperstep.rollouts import RolloutState
from tests.relaying.world import open_world, request

ENTRIES = 12
CONTROLS = 6
# Requests a second, and upstreams of each version.
RATE = 60.0
UPSTREAMS = 3
DURATION = 12.0
ALLOWED = 0.1 * RATE * DURATION + 50
# Time behind the 50th bad answer from which nothing new goes to a bad version.
STOPPED_SECONDS = 2.0


class Release:
    """A service whose version v2 is rolled out, and its callers."""

    def __init__(self, world, seed=0):
        self.world = world
        self.rng = random.Random(seed)
        self.answers = []
        # Times of requests by version, and of bad answers on the new one.
        self.sent = {"v1": [], "v2": []}
        self.bad = []
        self.is_bad = lambda: False
        self.delay = 0.02
        self.scope = trio.CancelScope()

    async def announce(self, version):
        for number in range(UPSTREAMS):
            name = f"{version}-{number}"
            self.world.connector.scripts[f"{name}:80"] = self.answer
            host = self.rng.choice(sorted(self.world.controls))
            await self.world.announce(
                host, name, "plain", software=version, slots=64, sequence=1
            )

    async def keep_announcing(self):
        sequence = 1
        while True:
            await trio.sleep(1.2)
            sequence += 1
            for address in list(self.world.connector.scripts):
                name = address.partition(":")[0]
                for host in sorted(self.world.controls):
                    try:
                        await self.world.announce(
                            host,
                            name,
                            "plain",
                            software=name.partition("-")[0],
                            slots=64,
                            sequence=sequence,
                        )
                    except Failure:
                        continue
                    break

    def answer(self, sent):
        version = sent.address.partition("-")[0]
        self.sent[version].append(trio.current_time())
        is_bad = version == "v2" and self.is_bad()
        if is_bad:
            self.bad.append(trio.current_time())
        name = sent.head.first(b"pepperstep-attempt-id")
        head = AnswerHead(500 if is_bad else 200, ((b"pepperstep-attempt-id", name),))
        return Reply(head, (b"chart",), delay=self.delay)

    async def call_forever(self):
        async with trio.open_nursery() as nursery:
            with self.scope:
                number = 0
                while True:
                    await trio.sleep(self.rng.expovariate(RATE))
                    number += 1
                    nursery.start_soon(self.call, b"id-%d" % number)

    async def call(self, name):
        entry = self.rng.choice(sorted(self.world.entries))
        head = request("/unsafe/chart")
        headers = tuple(
            (key, name if key == b"pepperstep-attempt-id" else value)
            for key, value in head.headers
        )
        head = type(head)(head.method, head.target, headers)
        exchange = await self.world.ask(entry, head)
        self.answers.append((trio.current_time(), exchange.status))

    async def order(self, to="v2", duration=DURATION):
        while True:
            host = self.rng.choice(sorted(self.world.controls))
            try:
                await self.world.controls[host].start_rollout("plain", to, duration)
            except Failure as failure:
                if failure.code is Code.REVISION_CONFLICT:
                    raise
                await trio.sleep(0.1)
            else:
                return

    async def read(self):
        while True:
            host = self.rng.choice(sorted(self.world.controls))
            try:
                return await self.world.controls[host].read_rollout("plain")
            except Failure:
                await trio.sleep(0.1)

    async def wait_end(self):
        while True:
            rollout = await self.read()
            if not rollout.is_running:
                return rollout
            await trio.sleep(0.1)


@asynccontextmanager
async def open_release(seed=0, controls=CONTROLS):
    async with open_world(controls, ENTRIES, seed, losses=2) as world:
        release = Release(world, seed)
        await release.announce("v1")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(release.keep_announcing)
            nursery.start_soon(release.call_forever)
            await trio.sleep(2.0)
            yield release
            nursery.cancel_scope.cancel()


async def start(release, boot=1.0):
    """Order the roll-out, and let its upstreams appear."""
    await release.order()
    await trio.sleep(boot)
    await release.announce("v2")


@pytest.mark.parametrize("boot", [0.3, 3.0])
async def test_good_version_takes_over(autojump_clock, boot):
    async with open_release() as release:
        begun = trio.current_time()
        await start(release, boot)
        rollout = await release.wait_end()
        assert rollout.state is RolloutState.SUCCEEDED
        assert trio.current_time() - begun < DURATION
        ended = trio.current_time()
        await trio.sleep(2.0)
        assert not [time for time in release.sent["v1"] if time > ended]
        assert {status for _, status in release.answers} == {200}


@pytest.mark.parametrize("share", [0.2, 1.0])
async def test_bad_version_is_taken_back(autojump_clock, share):
    async with open_release() as release:
        release.is_bad = lambda: release.rng.random() < share
        await start(release)
        rollout = await release.wait_end()
        assert rollout.state is RolloutState.ROLLED_BACK
        await trio.sleep(DURATION)
        check_exposure(release)


async def test_version_that_turns_bad_with_all_requests(autojump_clock):
    async with open_release() as release:
        release.is_bad = lambda: is_full(release) and release.rng.random() < 0.5
        await start(release)
        rollout = await release.wait_end()
        assert rollout.state is RolloutState.ROLLED_BACK
        await trio.sleep(2.0)
        check_exposure(release)


def is_full(release):
    """Whether the latest requests all went to the new version."""
    now = trio.current_time()
    recent = [time for time in release.sent["v1"] if time > now - 0.1]
    return len(release.sent["v2"]) > 20 and not recent


def check_exposure(release):
    assert len(release.sent["v2"]) <= ALLOWED
    if len(release.bad) >= 50:
        assert max(release.sent["v2"]) <= release.bad[49] + STOPPED_SECONDS


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("is_bad", [False, True])
async def test_leader_is_lost_in_the_middle(autojump_clock, seed, is_bad):
    async with open_release(seed) as release:
        await start(release)
        release.is_bad = lambda: is_bad and release.rng.random() < 0.3
        await trio.sleep(0.5 + 1.5 * seed)
        release.world.kill(release.world.leader, is_disk_lost=seed == 1)
        rollout = await release.wait_end()
        expected = RolloutState.ROLLED_BACK if is_bad else RolloutState.SUCCEEDED
        assert rollout.state is expected
        if is_bad:
            check_exposure(release)


async def test_entry_host_that_is_cut_off_stops_sending(autojump_clock):
    async with open_release() as release:
        release.is_bad = lambda: release.rng.random() < 0.3
        await start(release)
        while len(release.sent["v2"]) < 3:
            await trio.sleep(0.05)
        for name in sorted(release.world.entries):
            release.world.cut_off(name, sorted(release.world.controls))
        cut_at = trio.current_time()
        await trio.sleep(6.0)
        assert max(release.sent["v2"]) <= cut_at + STOPPED_SECONDS
        # The others go on.
        assert [time for time in release.sent["v1"] if time > cut_at + 5.0]


async def test_no_new_upstreams_by_the_deadline(autojump_clock):
    async with open_release() as release:
        begun = trio.current_time()
        await release.order()
        rollout = await release.wait_end()
        assert rollout.state is RolloutState.ROLLED_BACK
        assert trio.current_time() - begun < DURATION


async def test_other_version_is_refused_and_repeats_are_acknowledged(autojump_clock):
    async with open_release() as release:
        await start(release)
        await release.order()
        with pytest.raises(Failure) as caught:
            await release.order("v3")
        assert caught.value.code is Code.REVISION_CONFLICT
        assert (await release.read()).to == "v2"


@pytest.mark.parametrize("is_bad", [False, True])
async def test_state_outlives_all_control_hosts(autojump_clock, is_bad):
    async with open_release() as release:
        release.is_bad = lambda: is_bad
        await start(release)
        before = await release.wait_end()
        names = sorted(release.world.controls)
        seeds = tuple(names[:3])
        for name in names:
            release.world.kill(name)
        await trio.sleep(1.0)
        for name in names:
            await release.world.start_control(name, seeds, is_first=False, losses=2)
        with trio.fail_after(10.0):
            assert await release.read() == before
        # A host that starts with nothing keeps to it.
        late = await release.world.start_entry("late:1", seeds)
        await trio.sleep(2.0)
        held = late.versions.get("plain")
        assert (held.state, held.to) == (before.state, "v2")


async def test_unknown_service_is_refused(autojump_clock):
    async with open_release() as release:
        control = next(iter(release.world.controls.values()))
        with pytest.raises(Failure) as caught:
            await control.start_rollout("nothing", "v2", DURATION)
        assert caught.value.code is Code.INVALID_REQUEST
        with pytest.raises(Failure) as caught:
            await control.read_rollout("plain")
        assert caught.value.code is Code.UNKNOWN_NAME


async def test_control_host_without_a_leader_tells_of_roll_outs(autojump_clock):
    """Right after a loss of power, upstreams of both versions are told of at once."""
    async with open_release() as release:
        release.is_bad = lambda: True
        await start(release)
        before = await release.wait_end()
        await trio.sleep(1.0)
        names = sorted(release.world.controls)
        seeds = tuple(names[:3])
        for name in names:
            release.world.kill(name)
        await release.world.start_control(names[0], seeds, is_first=False, losses=2)
        late = await release.world.start_entry("late:1", seeds)
        await trio.sleep(0.5)
        assert release.world.leader == ""
        assert late.catalog.usable("plain")
        assert late.versions.get("plain") == before
