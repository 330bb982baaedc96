"""State of one shard of a service, which its owner keeps.

The owner places the requests of all entry hosts at the shard's upstreams, so that it
knows each upstream's requests. Its memory is bounded by the upstreams' limits: each
upstream has at most twice as many requests as its limit, 512 cached prompt parts, and
three estimates.
"""

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass, replace

from pepperstep.coordination import Announcement, UpstreamKey
from pepperstep.entities.routes import EngineCapacity
from pepperstep.relay.prompts import PrefillTracker
from pepperstep.scheduling.admission import Admission
from pepperstep.scheduling.capacity import UpstreamCapacity
from pepperstep.scheduling.choice import (
    Candidate,
    EngineChoice,
    Member,
    lowest_score,
)
from pepperstep.scheduling.estimates import ShardEstimates
from pepperstep.scheduling.requests import (
    Placement,
    PlacementRequest,
    Refusal,
    RefusalReason,
    Running,
)
from pepperstep.scheduling.returns import ReturnSchedule
from pepperstep.scheduling.settings import SchedulingSettings

__all__ = ["ShardScheduler"]

# Assumed for upstreams that don't announce their slots.
_DEFAULT_SLOTS = 8
# Additional weight of missing tokens in the score of an engine. Prefilling what another
# engine has cached costs all callers time, not only this one. It applies at the mean
# speed of the shard's engines, as it would otherwise count against slow engines.
_MISSING_PENALTY = 0.5
# Time in seconds after the creation of a shard's state during which nothing is refused
# because of shares or priority, as the hosts still report their requests in flight.
_GRACE_SECONDS = 1.0
# Time in seconds after a deadline at which the end of a request counts as lost.
_EXPIRY_SECONDS = 2.0
# Bound in seconds on the time for which a request whose end is lost occupies a slot, if
# its caller has no deadline.
_MAX_REMAINING_SECONDS = 600.0
# Time in seconds left to resumed requests, whose deadlines aren't reported.
_RESUMED_REMAINING_SECONDS = 60.0
# Requests at an upstream as a multiple of its limit, above which resumed requests are
# ignored. Two owners together place at most this many.
_MAX_RESUMED_FACTOR = 2
# Added to the time in seconds that the prompt tracker sees. The tracker takes a part it
# doesn't know as used at 0, which counts as recent during the first seconds of a clock.
_PROMPT_CLOCK_OFFSET = 1_000.0
# Least part of the time left until the target that a request may wait, so that large
# requests, which need most of it for themselves, aren't refused at the first delay.
_MIN_WAITING_SHARE = 0.25
_SHARE_REASONS = (RefusalReason.SHARE, RefusalReason.PRIORITY)


@dataclass(slots=True)
class _Placed:
    """A request in flight."""

    placement: Placement
    host: str
    expires_at: float


class ShardScheduler:
    """Places requests at the upstreams of one shard.

    `engine` is None for a plain service. `now` is the monotonic time in seconds and
    never decreases from call to call.
    """

    def __init__(
        self,
        settings: SchedulingSettings,
        engine: EngineCapacity | None,
        rng: random.Random,
    ):
        self._settings = settings
        self._engine = engine
        self._rng = rng
        self._admission = Admission(settings, rng)
        self._returns = ReturnSchedule(settings, rng)
        self._estimates = ShardEstimates(settings, engine is not None)
        self._choice = EngineChoice()
        self._now = 0.0
        # Only its record of cached parts is used; unread tokens are in the capacities.
        self._prompts = PrefillTracker(lambda: self._now + _PROMPT_CLOCK_OFFSET)
        self._members: dict[UpstreamKey, Member] = {}
        self._order: list[Member] = []
        self._placed: dict[str, _Placed] = {}
        # No placement expires before.
        self._next_expiry = math.inf
        self._created_at: float | None = None

    @property
    def created_at(self) -> float | None:
        """Time at which the shard got its first upstreams, None before."""
        return self._created_at

    @property
    def in_flight(self) -> int:
        """Number of requests at all upstreams."""
        return len(self._placed)

    @property
    def capacity(self) -> int:
        """Number of slots of all upstreams."""
        return sum(member.capacity.slots for member in self._order)

    def set_upstreams(self, announcements: Iterable[Announcement], now: float) -> None:
        """Set the usable upstreams, and drop the state of all others.

        An upstream that has restarted has another key and starts anew.
        """
        self._now = now
        if self._created_at is None:
            self._created_at = now
        usable = {each.key: each for each in announcements}
        for key in self._members.keys() - usable.keys():
            self._drop_member(key)
        for key, announcement in usable.items():
            if key not in self._members:
                self._add_member(announcement, now)
        self._order = [self._members[key] for key in usable]

    def place(self, request: PlacementRequest, now: float) -> Placement | Refusal:
        """Choose an upstream for a request, or refuse it.

        A request that was placed before gets the same placement again.
        """
        self._now = now
        self.expire(now)
        known = self._placed.get(request.id)
        if known is not None:
            return known.placement
        best = self._choose(request, now)
        if best is None:
            return self._refuse_full(request, now)
        reason = self._decide(request, best, now)
        if reason is not None:
            return self._refuse(request, reason, best, now)
        return self._place_at(best, request, now)

    def record_first_token(self, id: str, seconds: float, now: float) -> None:
        """Record that a prompt was prefilled after `seconds`.

        Unknown requests, and times that can't be right, are ignored.
        """
        self._now = now
        placed = self._placed.get(id)
        if placed is not None:
            member = self._members[placed.placement.key]
            member.capacity.record_first_token(id, seconds, now)

    def end(self, id: str, seconds: float | None, now: float) -> None:
        """Record that a request ended after `seconds`, None if it failed or didn't run.

        Unknown requests are ignored. The request ends also if its time can't be right.
        """
        self._now = now
        placed = self._placed.pop(id, None)
        if placed is not None:
            member = self._members[placed.placement.key]
            member.capacity.end(id, seconds, now)

    def resume(self, host: str, running: Iterable[Running], now: float) -> None:
        """Add the requests in flight of a host that this owner doesn't know.

        Requests at upstreams that aren't usable are ignored.
        """
        self._now = now
        # The oldest first, as upstreams run requests in the order of their arrival.
        sound = [each for each in running if self._is_sound(each)]
        for each in sorted(sound, key=lambda each: -each.age):
            member = self._members.get((each.upstream, each.incarnation))
            if member is None or each.id in self._placed:
                continue
            limit = _MAX_RESUMED_FACTOR * self._limit_of(member, 0.0, now)
            if member.capacity.in_flight < limit:
                self._add_resumed(each, member, host, now)

    def expire(self, now: float) -> None:
        """Drop requests whose end was lost: 2 s after their deadlines."""
        if now < self._next_expiry:
            return
        for id in [id for id, each in self._placed.items() if each.expires_at <= now]:
            self._drop(id, now)
        self._next_expiry = min(
            (each.expires_at for each in self._placed.values()), default=math.inf
        )

    def delay(self, now: float) -> float:
        """Return the lowest predicted delay of the upstreams, inf if there is none."""
        return min(
            (member.capacity.delay(now) for member in self._order), default=math.inf
        )

    def _choose(self, request: PlacementRequest, now: float) -> Candidate | None:
        """Return the best upstream among those below their limits.

        The search begins at a random upstream, which breaks ties.
        """
        first = int(self._rng.random() * len(self._order))
        candidates = [
            self._candidate(member, request, now)
            for member in self._order[first:] + self._order[:first]
            if member.id not in request.excluded
            and self._has_room(member, request.full_target, now)
        ]
        if self._engine is None:
            return lowest_score(candidates)
        return self._choice.choose(candidates, request)

    def _candidate(
        self, member: Member, request: PlacementRequest, now: float
    ) -> Candidate:
        capacity = member.capacity
        delay = capacity.delay(now)
        if self._engine is None:
            own, overdue = capacity.own_seconds(0, now), capacity.overdue(now)
            return Candidate(member, 0, delay, own, overdue)
        missing = self._prompts.missing_tokens(member.key, request.parts)
        own = capacity.own_seconds(missing, now)
        even_own = self._estimates.token.mean * missing
        penalty = _MISSING_PENALTY * even_own
        return Candidate(member, missing, delay, own, penalty, even_own)

    def _has_room(self, member: Member, full_target: float, now: float) -> bool:
        capacity = member.capacity
        if capacity.in_flight < capacity.slots:
            return True
        return capacity.in_flight < self._limit_of(member, full_target, now)

    def _limit_of(self, member: Member, full_target: float, now: float) -> int:
        """Return how many requests an upstream may have.

        A plain upstream may have as many waiting as can start within the latency
        target, and without a target as many as the settings allow.
        """
        capacity = member.capacity
        if self._engine is not None:
            queue = math.ceil(self._settings.queue_share * capacity.slots)
            return capacity.slots + queue
        queue = self._settings.plain_queue_share * capacity.slots
        if full_target > 0:
            queue = min(queue, full_target / capacity.slot_seconds(now))
        return capacity.slots + int(queue)

    def _decide(
        self, request: PlacementRequest, best: Candidate, now: float
    ) -> RefusalReason | None:
        if request.is_retry:
            return None
        cost = self._cost_at(best.member, best.missing, now)
        waiting = _with_waiting_target(request, best.own)
        reason = self._admission.decide(waiting, cost, best.delay, now)
        if reason in _SHARE_REASONS and now - self._created_at < _GRACE_SECONDS:
            return None
        return reason

    def _cost_at(self, member: Member, missing: int, now: float) -> float:
        """Return the seconds of a whole upstream that a request needs."""
        capacity = member.capacity
        return capacity.slot_seconds(now) + capacity.prefill_seconds(missing, now)

    def _refuse(
        self,
        request: PlacementRequest,
        reason: RefusalReason,
        best: Candidate,
        now: float,
    ) -> Refusal:
        cost = self._cost_at(best.member, best.missing, now)
        limit = self._admission.limit_of(request, now)
        wait = max(0.0, best.delay - limit)
        return self._refusal(request, reason, cost, wait, best.delay, now)

    def _refuse_full(self, request: PlacementRequest, now: float) -> Refusal:
        """Refuse a request because no upstream has room.

        It counts as asked, so that its workspace's share of the work stays known. One
        of the requests in flight is expected to end within the time between two ends.
        """
        members = [each for each in self._order if each.id not in request.excluded]
        if not members:
            reason = RefusalReason.NO_UPSTREAM
            return self._refusal(request, reason, 0.0, 0.0, math.inf, now)
        soonest = min(members, key=lambda each: each.capacity.delay(now))
        missing = 0
        if self._engine is not None:
            missing = sum(part.tokens for part in request.parts)
        cost = self._cost_at(soonest, missing, now)
        delay = soonest.capacity.delay(now)
        if not request.is_retry:
            self._admission.record_full(request, cost, delay, now)
        wait = soonest.capacity.slot_seconds(now)
        return self._refusal(request, RefusalReason.NO_UPSTREAM, cost, wait, delay, now)

    def _refusal(
        self,
        request: PlacementRequest,
        reason: RefusalReason,
        cost: float,
        wait: float,
        delay: float,
        now: float,
    ) -> Refusal:
        rank = self._admission.rank_of(request.priority, now)
        work_rate = self._admission.work_rate(now)
        retry_after = self._returns.retry_after(
            request, rank, cost, work_rate, wait, now
        )
        return Refusal(reason, retry_after, delay)

    def _place_at(
        self, best: Candidate, request: PlacementRequest, now: float
    ) -> Placement:
        id, incarnation = best.member.key
        placement = Placement(id, incarnation, best.missing, best.expected)
        remaining = min(max(0.0, request.remaining), _MAX_REMAINING_SECONDS)
        expires_at = now + remaining + _EXPIRY_SECONDS
        self._add(request.id, _Placed(placement, request.host, expires_at))
        if self._engine is not None and request.parts:
            self._prompts.begin(placement.key, request.parts, 0)
        best.member.capacity.begin(request.id, best.missing, now, now)
        return placement

    def _add_resumed(
        self, running: Running, member: Member, host: str, now: float
    ) -> None:
        placement = Placement(
            running.upstream, running.incarnation, running.missing, 0.0
        )
        expires_at = now + _RESUMED_REMAINING_SECONDS + _EXPIRY_SECONDS
        self._add(running.id, _Placed(placement, host, expires_at))
        member.capacity.begin(running.id, running.missing, now - running.age, now)

    def _add(self, id: str, placed: _Placed) -> None:
        self._placed[id] = placed
        self._next_expiry = min(self._next_expiry, placed.expires_at)

    def _drop(self, id: str, now: float) -> None:
        placed = self._placed.pop(id)
        self._members[placed.placement.key].capacity.drop(id, now)

    def _is_sound(self, running: Running) -> bool:
        """Whether a host's report of a request can be right."""
        if not 0.0 <= running.age < math.inf or running.missing < 0:
            return False
        return self._engine is None or running.missing <= self._engine.memory_tokens

    def _add_member(self, announcement: Announcement, now: float) -> None:
        engine_slots = self._engine.slots if self._engine is not None else 0
        slots = engine_slots or announcement.slots or _DEFAULT_SLOTS
        capacity = UpstreamCapacity(slots, self._estimates, now)
        member = Member(announcement.id, announcement.key, capacity)
        self._members[announcement.key] = member

    def _drop_member(self, key: UpstreamKey) -> None:
        self._members.pop(key).capacity.close()
        for id, placed in list(self._placed.items()):
            if placed.placement.key == key:
                del self._placed[id]
        self._prompts.forget(key)


def _with_waiting_target(request: PlacementRequest, own: float) -> PlacementRequest:
    """Return the request with the part of its target that is left for waiting.

    `own` is the predicted time in seconds that the request itself needs.
    """
    if not 0 < request.target < math.inf:
        return request
    least = _MIN_WAITING_SHARE * request.target
    return replace(request, target=max(request.target - own, least))
