"""Faults of the matrix: what strikes, and when it's mended."""

from collections.abc import Callable, Generator
from dataclasses import dataclass

import trio

from tests.faults.callers import ChangeCaller, RequestCaller
from tests.faults.scene import POISON, Scene

__all__ = ["FAULTS", "Fault"]

# Strikes up to its `yield`, which gives the seconds until it's mended.
Course = Callable[[Scene, RequestCaller], Generator[float, None, None]]

_CUT_SECONDS = 4.0
_LONG_CUT_SECONDS = 60.0
_PAUSE_SECONDS = 4.0
_NETWORK_SECONDS = 3.0
# Less than what a stream needs from its middle on.
_NOTICE_SECONDS = 1.4
_BACK_SECONDS = 3.0


@dataclass(frozen=True)
class Fault:
    """A fault with its name."""

    name: str
    course: Course

    def strike(self, scene: Scene, caller: RequestCaller) -> None:
        """Strike now, and mend in time."""
        scene.struck_at = trio.current_time()
        course = self.course(scene, caller)
        seconds = next(course)
        scene.mended_at = max(scene.mended_at, scene.struck_at + seconds)
        scene.later(seconds, lambda: next(course, None))


FAULTS: dict[str, Fault] = {}


def _fault(course: Course) -> Course:
    name = course.__name__.strip("_")
    FAULTS[name] = Fault(name, course)
    return course


@_fault
def _upstream_dies(scene, caller):
    upstream = scene.upstream(caller)
    upstream.die()
    yield _BACK_SECONDS
    upstream.start_again()


@_fault
def _upstream_is_reclaimed(scene, caller):
    scene.reclaim(_NOTICE_SECONDS, name=scene.upstream(caller).upstream.name)
    yield _NOTICE_SECONDS


@_fault
def _zone_is_reclaimed(scene, caller):
    zone = scene.upstream(caller).upstream.zone
    scene.is_reclaiming = False
    scene.reclaim(_NOTICE_SECONDS, zone=zone)
    yield _NOTICE_SECONDS + 1
    for each in scene.upstreams.all.values():
        if each.upstream.zone == zone and not each.is_alive:
            each.start_again()


@_fault
def _zone_is_reclaimed_for_good(scene, caller):
    """Replacements are refused."""
    scene.is_reclaiming = False
    scene.reclaim(_NOTICE_SECONDS, zone=scene.upstream(caller).upstream.zone)
    yield _NOTICE_SECONDS


@_fault
def _owner_is_killed(scene, caller):
    scene.kill(scene.owner(caller))
    yield 0


@_fault
def _owner_is_paused(scene, caller):
    yield from _pause(scene, scene.owner(caller))


@_fault
def _owner_is_drained(scene, caller):
    scene.drain(scene.owner(caller))
    yield 0


@_fault
def _owner_is_cut_off(scene, caller):
    yield from _cut_off(scene, scene.owner(caller))


@_fault
def _second_is_killed(scene, caller):
    scene.kill(scene.second(caller))
    yield 0


@_fault
def _second_is_paused(scene, caller):
    yield from _pause(scene, scene.second(caller))


@_fault
def _second_is_drained(scene, caller):
    scene.drain(scene.second(caller))
    yield 0


@_fault
def _second_is_cut_off(scene, caller):
    yield from _cut_off(scene, scene.second(caller))


@_fault
def _leader_is_killed(scene, caller):
    scene.kill(scene.hosts.leader)
    yield 0


@_fault
def _leader_is_paused(scene, caller):
    yield from _pause(scene, scene.hosts.leader)


@_fault
def _leader_is_cut_off(scene, caller):
    yield from _cut_off(scene, scene.hosts.leader)


@_fault
def _leader_loses_its_disk(scene, caller):
    scene.kill(scene.hosts.leader, is_disk_lost=True)
    yield 0


@_fault
def _leader_is_cut_off_for_long(scene, caller):
    yield from _cut_off(scene, scene.hosts.leader, _LONG_CUT_SECONDS)


@_fault
def _leader_is_not_heard(scene, caller):
    yield from _cut_one_way(scene, scene.hosts.leader, is_heard=False)


@_fault
def _leader_hears_nothing(scene, caller):
    yield from _cut_one_way(scene, scene.hosts.leader, is_heard=True)


@_fault
def _another_disk_is_lost_after_repair(scene, caller):
    scene.open_faults += 1
    scene.nursery.start_soon(_lose_two, scene)
    yield 0


@_fault
def _messages_are_late(scene, caller):
    scene.network.max_delay = scene.network.min_delay = 0.12
    yield _NETWORK_SECONDS
    scene.network.max_delay = scene.network.min_delay = 0.0005


@_fault
def _messages_are_doubled(scene, caller):
    scene.network.duplication = 0.7
    yield _NETWORK_SECONDS
    scene.network.duplication = 0.0


@_fault
def _messages_are_lost(scene, caller):
    scene.network.loss = 0.25
    yield _NETWORK_SECONDS
    scene.network.loss = 0.0


@_fault
def _messages_are_reordered(scene, caller):
    scene.network.max_delay = 0.15
    yield _NETWORK_SECONDS
    scene.network.max_delay = 0.0005


@_fault
def _owner_is_not_heard(scene, caller):
    yield from _cut_one_way(scene, scene.owner(caller), is_heard=False)


@_fault
def _owner_hears_nothing(scene, caller):
    yield from _cut_one_way(scene, scene.owner(caller), is_heard=True)


@_fault
def _request_crashes_engines(scene, caller):
    """Its caller sends it again at other hosts."""
    for engine in scene.upstreams.engines:
        engine.poison = POISON
    for number in range(3):
        poison = RequestCaller(scene, f"poison-{number}", f"entry-{number}", POISON)
        scene.callers.append(poison)
        scene.nursery.start_soon(_send_later, poison, 0.4 * number)
    yield 6.0


@_fault
def _engine_is_slow(scene, caller):
    engine = scene.upstream(scene.stream)
    engine.slow_seconds = 0.5
    yield 2.0
    engine.slow_seconds = 0.0


@_fault
def _engine_is_silent(scene, caller):
    engine = scene.upstream(scene.stream)
    engine.is_silent = True
    yield 12.0
    engine.is_silent = False


@_fault
def _answers_are_crossed(scene, caller):
    yield from _spoil(scene, "is_crossed", True, False)


@_fault
def _answers_are_doubled(scene, caller):
    yield from _spoil(scene, "is_doubled", True, False)


@_fault
def _answers_are_cut(scene, caller):
    yield from _spoil(scene, "cut_after", 3, None)


@_fault
def _answers_have_gaps(scene, caller):
    yield from _spoil(scene, "has_gaps", True, False)


@_fault
def _answers_end_early(scene, caller):
    yield from _spoil(scene, "ends_early", True, False)


@_fault
def _cloud_is_down(scene, caller):
    scene.cloud.is_down = True
    yield _BACK_SECONDS
    scene.cloud.is_down = False


@_fault
def _cloud_is_slow(scene, caller):
    scene.cloud.delay = 1.5
    yield _BACK_SECONDS
    scene.cloud.delay = 0.01


@_fault
def _cloud_loses_replies(scene, caller):
    scene.cloud.lost_replies = 3
    yield _BACK_SECONDS
    scene.cloud.lost_replies = 0


@_fault
def _starts_are_refused(scene, caller):
    scene.cloud.refused = {"sapporo-hall", "asahikawa-hall", "hakodate-hall"}
    yield _BACK_SECONDS
    scene.cloud.refused = set()


@_fault
def _weight_store_is_down(scene, caller):
    scene.weights.is_down = True
    yield _BACK_SECONDS
    scene.weights.is_down = False


@_fault
def _weight_store_is_wrong(scene, caller):
    """It tells of sizes that would take years to load."""
    sizes = dict(scene.weights.sizes)
    scene.weights.sizes = dict.fromkeys(sizes, 10**18)
    yield _BACK_SECONDS
    scene.weights.sizes = sizes


@_fault
def _started_hosts_are_reclaimed(scene, caller):
    for host in scene.cloud.living:
        if host.token != host.id:
            scene.cloud.reclaim(1.0, host_id=host.id)
    yield 1.0


@_fault
def _operators_race(scene, caller):
    """Their changes carry the same number."""
    for number, host in enumerate(("entry-0", "entry-2")):
        change = ChangeCaller(scene, host, 400 + number, f"racing-{number}")
        scene.changes.append(change)
        scene.nursery.start_soon(change.run)
    yield 1.0


@_fault
def _change_is_resent(scene, caller):
    """As its caller has lost the reply."""
    scene.change.resends = 3
    scene.network.loss = 0.3
    yield 1.0
    scene.network.loss = 0.0


def _pause(scene, name):
    if name in scene.hosts.hosts:
        host = scene.hosts.hosts[name]
        host.timers.pause()
        yield _PAUSE_SECONDS
        host.timers.resume()
    else:
        yield 0


def _cut_off(scene, name, seconds=_CUT_SECONDS):
    scene.network.isolate(name)
    yield seconds
    scene.network.heal()


def _cut_one_way(scene, name, is_heard):
    for other in scene.hosts.places:
        if other != name:
            pair = (other, name) if is_heard else (name, other)
            scene.network.cut(*pair)
    yield _CUT_SECONDS
    scene.network.heal()


def _spoil(scene, name, wrong, right):
    """Let half of the engines answer wrongly, among them the stream's."""
    engines = scene.upstreams.engines[:2]
    engines.append(scene.upstream(scene.stream))
    for engine in engines:
        setattr(engine, name, wrong)
    yield _NETWORK_SECONDS
    for engine in engines:
        setattr(engine, name, right)


async def _send_later(caller: RequestCaller, seconds: float) -> None:
    await trio.sleep(seconds)
    await caller.run()


async def _lose_two(scene: Scene) -> None:
    """Lose one disk, and another as soon as the first host is said to be back."""
    first = scene.hosts.leader
    scene.kill(first, restart_after=1.0, is_disk_lost=True)
    await trio.sleep(1.0)
    while not _is_redundant(scene):
        await trio.sleep(0.02)
    others = [name for name in scene.hosts.disks if name != first]
    scene.kill(others[0], restart_after=2.0, is_disk_lost=True)
    scene.open_faults -= 1


def _is_redundant(scene: Scene) -> bool:
    leader = scene.hosts.hosts.get(scene.hosts.leader)
    if leader is None or not scene.hosts.disks.keys() <= scene.hosts.hosts.keys():
        return False
    return bool(leader.node.agreement.status().is_redundant)
