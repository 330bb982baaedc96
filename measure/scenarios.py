"""Scenarios, and for each the policies that are compared in it."""

from dataclasses import dataclass, replace

import trio

from measure.mix import BANTAYOG, KITAHARA, Arrival, Speed
from measure.world import Case, World
from pepperstep.entities import Priority, Request, RequestKind
from pepperstep.node import Policies
from pepperstep.requests.mover import MoveSettings
from pepperstep.routing import RoutingSettings

__all__ = ["SCENARIOS", "Scenario"]

_POISON = "Seat the guests of the banquet that nobody can seat. "
_NOTICE_SECONDS = 5.0
_WAVE_AT = 7.0
_RESTART_SECONDS = 8.0
_CRASH_TIMES = (4.0, 6.0, 8.0, 11.0, 15.0)
_FAULT_BEGIN, _FAULT_END = 4.0, 16.0
_WATCH_SECONDS = 0.1
# A limit that is never reached.
_NO_LIMIT = 10**6


@dataclass(frozen=True, slots=True)
class Scenario:
    """Cases by policy, the usual one first."""

    about: str
    cases: dict[str, Case]


async def _take_zone_back(world: World) -> None:
    """Take back each partner's first zone; its replacements are refused."""
    await trio.sleep(_WAVE_AT)
    zones = [partner.zones[0] for partner in world.case.partners]
    for zone in zones:
        world.cloud.reclaim(_NOTICE_SECONDS, zone=zone)
    await trio.sleep(_NOTICE_SECONDS)
    for zone in zones:
        for engine in world.engines_of(zone):
            engine.die()


async def _send_crashing_request(world: World) -> None:
    """Send a request that ends its engine again and again, each time elsewhere."""
    partner = world.case.partners[0]
    for engine in world.upstreams.engines:
        engine.poison = _POISON
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_restart_engines, world)
        for number, at in enumerate(_CRASH_TIMES):
            await trio.sleep_until(world.started_at + at)
            hosts = world.entry_hosts(partner)
            host = hosts[number % len(hosts)]
            nursery.start_soon(world.ask, _poison_arrival(at, number), host, True)


async def _restart_engines(world: World) -> None:
    """Count engines that died, and start each again after a time."""
    ended: dict[str, float] = {}
    while True:
        now = trio.current_time()
        for engine in world.upstreams.engines:
            if not engine.is_alive and engine.name not in ended:
                ended[engine.name] = now
                world.losses += 1
            elif now - ended.get(engine.name, now) > _RESTART_SECONDS:
                del ended[engine.name]
                engine.start_again()
        await trio.sleep(_WATCH_SECONDS)


def _poison_arrival(at: float, number: int) -> Arrival:
    each = KITAHARA.types[0]
    request = Request(
        id=f"poison-{number}",
        workspace="weddings",
        kind=RequestKind.CHAT,
        target=KITAHARA.deployment,
        priority=Priority.INTERACTIVE,
        deadline=each.deadline,
        fingerprint="poison",
        model_key=KITAHARA.key,
        prompt=_POISON * 20,
        max_tokens=each.answer_tokens,
    )
    return Arrival(at, KITAHARA, each, "weddings", request)


async def _break_upstreams(world: World) -> None:
    """Let one engine cut all its streams, and another be slow, for a time."""
    broken, slow = world.upstreams.engines[:2]
    await trio.sleep(_FAULT_BEGIN)
    broken.cut_after, slow.slow_seconds = 2, 0.4
    await trio.sleep(_FAULT_END - _FAULT_BEGIN)
    broken.cut_after, slow.slow_seconds = None, 0.0


def _routed(case: Case, **settings) -> Case:
    routing = RoutingSettings(**settings)
    return replace(case, policies=replace(case.policies, routing=routing))


def _placements(case: Case) -> dict[str, Case]:
    names = ("predicted", "least_in_flight", "round_robin", "random")
    return {name: _routed(case, choice=name) for name in names}


def _moves(case: Case) -> dict[str, Case]:
    names = ("planned", "always_recompute", "always_finish")
    return {
        name: replace(case, policies=Policies(moves=MoveSettings(policy=name)))
        for name in names
    }


_USUAL = Policies()
_CALM = Case(_USUAL, load=0.5)
_OVERLOAD = Case(_USUAL, load=2.0)
_FAILING = Case(_USUAL, load=0.6, fault=_break_upstreams, partners=(BANTAYOG,))
# Engines whose steps grow above half their slots.
_LIMITS = Case(
    _USUAL, load=0.65, speed=Speed(slots=16), easy_batch=8, partners=(KITAHARA,)
)
_CRASH = Case(_USUAL, load=0.4, fault=_send_crashing_request, partners=(KITAHARA,))

SCENARIOS: dict[str, Scenario] = {
    "calm": Scenario("Half of the capacity is asked for.", _placements(_CALM)),
    "wave": Scenario(
        "One zone of each partner goes with 5 s of notice, without replacement.",
        _moves(replace(_CALM, fault=_take_zone_back)),
    ),
    "overload": Scenario(
        "Twice the capacity is asked for.",
        {
            "usual": _OVERLOAD,
            "fixed limits": _routed(_OVERLOAD, limit="fixed", host_limit="fixed"),
            "no early refusal": _routed(_OVERLOAD, refuses_early=False),
            "fifo, no refusal": _routed(_OVERLOAD, queue="fifo", refuses_early=False),
        },
    ),
    "limits": Scenario(
        "Steps grow above half the slots, and more is asked for than that.",
        {
            "aimd": _LIMITS,
            "fixed": _routed(_LIMITS, limit="fixed"),
        },
    ),
    "lagged": Scenario(
        "Load reports are 4 s late; 7 tenths of the capacity is asked for.",
        _placements(replace(_CALM, load=0.7, lag=4.0, partners=(BANTAYOG,))),
    ),
    "crash": Scenario(
        "A request that ends its engine is sent at five entry hosts.",
        {
            "guarded": _CRASH,
            "no guard": replace(_CRASH, policies=Policies(is_guarded=False)),
        },
    ),
    "failing": Scenario(
        "One engine cuts all its streams and one is slow for 12 s.",
        {
            "consecutive": _FAILING,
            "no breaker": _routed(_FAILING, breaker="none"),
            "no breaker, no budget": replace(
                _routed(
                    _FAILING,
                    breaker="none",
                    retry_burst=_NO_LIMIT,
                    host_retry_burst=_NO_LIMIT,
                ),
                retry_share=1.0,
            ),
        },
    ),
}
