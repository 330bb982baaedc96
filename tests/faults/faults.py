"""Faults of the test matrix: how each is injected and repaired."""

from collections.abc import Callable, Generator
from dataclasses import dataclass

import trio

from tests.faults.callers import ChangeCaller, RequestCaller
from tests.faults.scenario import POISON, Scenario

__all__ = ["FAULTS", "Fault"]

# Injects the fault before its `yield`, which gives the seconds until the repair.
FaultSteps = Callable[[Scenario, RequestCaller], Generator[float, None, None]]

_CUT_SECONDS = 4.0
_LONG_CUT_SECONDS = 60.0
_PAUSE_SECONDS = 4.0
_NETWORK_SECONDS = 3.0
# Shorter than a stream takes from its middle step on.
_NOTICE_SECONDS = 1.4
_OUTAGE_SECONDS = 3.0


@dataclass(frozen=True)
class Fault:
    """A named fault."""

    name: str
    steps: FaultSteps

    def inject(self, scenario: Scenario, caller: RequestCaller) -> None:
        """Inject the fault now and schedule its repair."""
        scenario.injected_at = trio.current_time()
        steps = self.steps(scenario, caller)
        seconds = next(steps)
        scenario.repaired_at = max(scenario.repaired_at, scenario.injected_at + seconds)
        scenario.run_later(seconds, lambda: next(steps, None))


FAULTS: dict[str, Fault] = {}


def _fault(steps: FaultSteps) -> FaultSteps:
    name = steps.__name__.strip("_")
    FAULTS[name] = Fault(name, steps)
    return steps


@_fault
def _upstream_dies(scenario, caller):
    upstream = scenario.upstream(caller)
    upstream.die()
    yield _OUTAGE_SECONDS
    upstream.start_again()


@_fault
def _upstream_is_reclaimed(scenario, caller):
    scenario.reclaim(_NOTICE_SECONDS, name=scenario.upstream(caller).upstream.name)
    yield _NOTICE_SECONDS


@_fault
def _zone_is_reclaimed(scenario, caller):
    zone = scenario.upstream(caller).upstream.zone
    scenario.is_reclaiming = False
    scenario.reclaim(_NOTICE_SECONDS, zone=zone)
    yield _NOTICE_SECONDS + 1
    for each in scenario.upstreams.all.values():
        if each.upstream.zone == zone and not each.is_alive:
            each.start_again()


@_fault
def _zone_is_reclaimed_for_good(scenario, caller):
    """Reclaim a zone whose upstreams don't start again."""
    scenario.is_reclaiming = False
    scenario.reclaim(_NOTICE_SECONDS, zone=scenario.upstream(caller).upstream.zone)
    yield _NOTICE_SECONDS


@_fault
def _owner_is_killed(scenario, caller):
    scenario.kill(scenario.owner_of(caller))
    yield 0


@_fault
def _owner_is_paused(scenario, caller):
    yield from _pause(scenario, scenario.owner_of(caller))


@_fault
def _owner_is_drained(scenario, caller):
    scenario.drain(scenario.owner_of(caller))
    yield 0


@_fault
def _owner_is_cut_off(scenario, caller):
    yield from _cut_off(scenario, scenario.owner_of(caller))


@_fault
def _second_is_killed(scenario, caller):
    scenario.kill(scenario.backup_of(caller))
    yield 0


@_fault
def _second_is_paused(scenario, caller):
    yield from _pause(scenario, scenario.backup_of(caller))


@_fault
def _second_is_drained(scenario, caller):
    scenario.drain(scenario.backup_of(caller))
    yield 0


@_fault
def _second_is_cut_off(scenario, caller):
    yield from _cut_off(scenario, scenario.backup_of(caller))


@_fault
def _leader_is_killed(scenario, caller):
    scenario.kill(scenario.hosts.leader)
    yield 0


@_fault
def _leader_is_paused(scenario, caller):
    yield from _pause(scenario, scenario.hosts.leader)


@_fault
def _leader_is_cut_off(scenario, caller):
    yield from _cut_off(scenario, scenario.hosts.leader)


@_fault
def _leader_loses_its_disk(scenario, caller):
    scenario.kill(scenario.hosts.leader, is_disk_lost=True)
    yield 0


@_fault
def _leader_is_cut_off_for_long(scenario, caller):
    yield from _cut_off(scenario, scenario.hosts.leader, _LONG_CUT_SECONDS)


@_fault
def _leader_is_not_heard(scenario, caller):
    yield from _cut_one_direction(scenario, scenario.hosts.leader, cuts_incoming=False)


@_fault
def _leader_hears_nothing(scenario, caller):
    yield from _cut_one_direction(scenario, scenario.hosts.leader, cuts_incoming=True)


@_fault
def _another_disk_is_lost_after_repair(scenario, caller):
    scenario.open_faults += 1
    scenario.nursery.start_soon(_lose_two_disks, scenario)
    yield 0


@_fault
def _messages_are_late(scenario, caller):
    scenario.network.max_delay = scenario.network.min_delay = 0.12
    yield _NETWORK_SECONDS
    scenario.network.max_delay = scenario.network.min_delay = 0.0005


@_fault
def _messages_are_doubled(scenario, caller):
    scenario.network.duplication = 0.7
    yield _NETWORK_SECONDS
    scenario.network.duplication = 0.0


@_fault
def _messages_are_lost(scenario, caller):
    scenario.network.loss = 0.25
    yield _NETWORK_SECONDS
    scenario.network.loss = 0.0


@_fault
def _messages_are_reordered(scenario, caller):
    scenario.network.max_delay = 0.15
    yield _NETWORK_SECONDS
    scenario.network.max_delay = 0.0005


@_fault
def _owner_is_not_heard(scenario, caller):
    yield from _cut_one_direction(
        scenario, scenario.owner_of(caller), cuts_incoming=False
    )


@_fault
def _owner_hears_nothing(scenario, caller):
    yield from _cut_one_direction(
        scenario, scenario.owner_of(caller), cuts_incoming=True
    )


@_fault
def _request_crashes_engines(scenario, caller):
    """Send a request that crashes engines, under three keys at three hosts."""
    for engine in scenario.upstreams.engines:
        engine.poison = POISON
    for number in range(3):
        poison = RequestCaller(scenario, f"poison-{number}", f"entry-{number}", POISON)
        scenario.callers.append(poison)
        scenario.nursery.start_soon(_run_after, poison, 0.4 * number)
    yield 6.0


@_fault
def _engine_is_slow(scenario, caller):
    engine = scenario.upstream(scenario.stream)
    engine.slow_seconds = 0.5
    yield 2.0
    engine.slow_seconds = 0.0


@_fault
def _engine_is_silent(scenario, caller):
    engine = scenario.upstream(scenario.stream)
    engine.is_silent = True
    yield 12.0
    engine.is_silent = False


@_fault
def _answers_are_crossed(scenario, caller):
    yield from _corrupt_answers(scenario, "is_crossed", True, False)


@_fault
def _answers_are_doubled(scenario, caller):
    yield from _corrupt_answers(scenario, "is_doubled", True, False)


@_fault
def _answers_are_cut(scenario, caller):
    yield from _corrupt_answers(scenario, "cut_after", 3, None)


@_fault
def _answers_have_gaps(scenario, caller):
    yield from _corrupt_answers(scenario, "has_gaps", True, False)


@_fault
def _answers_end_early(scenario, caller):
    yield from _corrupt_answers(scenario, "ends_early", True, False)


@_fault
def _cloud_is_down(scenario, caller):
    scenario.cloud.is_down = True
    yield _OUTAGE_SECONDS
    scenario.cloud.is_down = False


@_fault
def _cloud_is_slow(scenario, caller):
    scenario.cloud.delay = 1.5
    yield _OUTAGE_SECONDS
    scenario.cloud.delay = 0.01


@_fault
def _cloud_loses_replies(scenario, caller):
    scenario.cloud.lost_replies = 3
    yield _OUTAGE_SECONDS
    scenario.cloud.lost_replies = 0


@_fault
def _starts_are_refused(scenario, caller):
    scenario.cloud.refused = {"sapporo-hall", "asahikawa-hall", "hakodate-hall"}
    yield _OUTAGE_SECONDS
    scenario.cloud.refused = set()


@_fault
def _weight_store_is_down(scenario, caller):
    scenario.weights.is_down = True
    yield _OUTAGE_SECONDS
    scenario.weights.is_down = False


@_fault
def _weight_store_is_wrong(scenario, caller):
    """Report model sizes that would take years to load."""
    sizes = dict(scenario.weights.sizes)
    scenario.weights.sizes = dict.fromkeys(sizes, 10**18)
    yield _OUTAGE_SECONDS
    scenario.weights.sizes = sizes


@_fault
def _started_hosts_are_reclaimed(scenario, caller):
    for host in scenario.cloud.living:
        if host.token != host.id:
            scenario.cloud.reclaim(1.0, host_id=host.id)
    yield 1.0


@_fault
def _operators_race(scenario, caller):
    """Send two more changes based on the same revision."""
    for number, host in enumerate(("entry-0", "entry-2")):
        change = ChangeCaller(scenario, host, 400 + number, f"racing-{number}")
        scenario.changes.append(change)
        scenario.nursery.start_soon(change.run)
    yield 1.0


@_fault
def _change_is_resent(scenario, caller):
    """Resend the change, as a caller does that lost the reply."""
    scenario.change.resends = 3
    scenario.network.loss = 0.3
    yield 1.0
    scenario.network.loss = 0.0


def _pause(scenario, name):
    if name in scenario.hosts.hosts:
        host = scenario.hosts.hosts[name]
        host.timers.pause()
        yield _PAUSE_SECONDS
        host.timers.resume()
    else:
        yield 0


def _cut_off(scenario, name, seconds=_CUT_SECONDS):
    scenario.network.isolate(name)
    yield seconds
    scenario.network.heal()


def _cut_one_direction(scenario, name, cuts_incoming):
    for other in scenario.hosts.places:
        if other != name:
            pair = (other, name) if cuts_incoming else (name, other)
            scenario.network.cut(*pair)
    yield _CUT_SECONDS
    scenario.network.heal()


def _corrupt_answers(scenario, name, faulty_value, normal_value):
    """Set a fault on half of the engines, including the stream's."""
    engines = scenario.upstreams.engines[:2]
    engines.append(scenario.upstream(scenario.stream))
    for engine in engines:
        setattr(engine, name, faulty_value)
    yield _NETWORK_SECONDS
    for engine in engines:
        setattr(engine, name, normal_value)


async def _run_after(caller: RequestCaller, seconds: float) -> None:
    await trio.sleep(seconds)
    await caller.run()


async def _lose_two_disks(scenario: Scenario) -> None:
    """Lose one disk, and a second one as soon as the log reports redundancy again."""
    first = scenario.hosts.leader
    scenario.kill(first, restart_after=1.0, is_disk_lost=True)
    await trio.sleep(1.0)
    while not _is_redundant(scenario):
        await trio.sleep(0.02)
    others = [name for name in scenario.hosts.disks if name != first]
    scenario.kill(others[0], restart_after=2.0, is_disk_lost=True)
    scenario.open_faults -= 1


def _is_redundant(scenario: Scenario) -> bool:
    leader = scenario.hosts.hosts.get(scenario.hosts.leader)
    if leader is None or not scenario.hosts.disks.keys() <= scenario.hosts.hosts.keys():
        return False
    return bool(leader.node.agreement.status().is_redundant)
