"""Questions for placements to the owners of shards.

A request asks the owners of a few shards one after the other. If this host is an owner
itself, it's asked without a message.
"""

import itertools
import random
from collections import OrderedDict
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass, replace

from google.protobuf.message import Message

from pepperstep.coordination import Announcement, UpstreamKey
from pepperstep.entities.routes import Service
from pepperstep.errors import Failure
from pepperstep.ports import Timers
from pepperstep.ports.relaying import PromptPart
from pepperstep.scheduling.messages import (
    Decision,
    decision_from_message,
    request_to_message,
)
from pepperstep.scheduling.progress import (
    Owners,
    ProgressReporter,
    RunningRequest,
    ShardKey,
    has_timed_out,
)
from pepperstep.scheduling.requests import PlacementRequest, Refusal, RefusalReason
from pepperstep.scheduling.server import SchedulingServer
from pepperstep.scheduling.settings import SchedulingSettings
from pepperstep.scheduling.sharding import DelayReport, order_by_delay

__all__ = ["NotAdmitted", "Scheduled", "SchedulingClient", "Unavailable"]

# Reports of delays that are kept; the oldest ones are dropped.
_MAX_REPORTS = 16_384
# Maximum wait of a request for all owners together, in placement timeouts.
_MAX_TIMEOUTS = 2
# Shortest time to retry, and the fraction of a caller's remaining time that is the
# longest: callers don't wait longer. With less than 10 ms, a caller is told 0.
_MIN_RETRY_SECONDS = 0.05
_MAX_RETRY_FRACTION = 1 / 3
_MIN_STATED_SECONDS = 0.01
# Shortest timeout of a question: a call needs about a millisecond.
_MIN_TIMEOUT_SECONDS = 0.001

# Refusals after which no other shard is asked: each further decision would raise the
# share that a workspace or a priority gets.
_FINAL_REASONS = (RefusalReason.SHARE, RefusalReason.PRIORITY)

# Return the names of a service's shards in the order to try, and the ids of the
# upstreams in a shard.
ShardsOf = Callable[
    [Service, Sequence[PromptPart], Sequence[Announcement]], Sequence[str]
]
MembersOf = Callable[[Service, str], Collection[str]]


@dataclass(frozen=True, slots=True)
class Scheduled:
    """A request that an owner has placed at an upstream."""

    upstream: Announcement
    # Id of the placement.
    id: str
    service: str
    shard: str
    # Peer address of the owner.
    owner: str
    # Prompt tokens that the upstream is expected to prefill.
    missing: int
    # Predicted seconds until the first token, or until the answer of a plain service.
    expected: float
    # Monotonic time of the placement.
    sent_at: float
    # Number of shards asked.
    asked: int = 1


@dataclass(frozen=True, slots=True)
class NotAdmitted:
    """A request that the owners of all asked shards refused."""

    refusal: Refusal
    # Shard with the shortest time to retry, and its owner.
    shard: str
    owner: str
    # Number of shards asked.
    asked: int


@dataclass(frozen=True, slots=True)
class Unavailable:
    """A request for which no owner answered."""

    shards: tuple[str, ...]


class _Question:
    """One request for a placement, asked of several shards within a time limit."""

    def __init__(
        self,
        service: Service,
        request: PlacementRequest,
        candidates: Sequence[Announcement],
        now: float,
        max_wait: float,
    ):
        self.service = service.name
        self.is_engine = service.engine is not None
        self.candidates = {each.key: each for each in candidates}
        self._candidate_ids = {each.id for each in candidates}
        self._request = request
        self._asked_at = now
        self._ends_at = now + max_wait

    def time_left(self, now: float) -> float:
        """Return the seconds for which owners may still be asked."""
        return self._ends_at - now

    def to_request(
        self, id: str, host: str, members: Collection[str], now: float
    ) -> PlacementRequest:
        """Return the request with the times left now, without non-candidates."""
        others = self._request.excluded.union(members) - self._candidate_ids
        waited = now - self._asked_at
        return replace(
            self._request,
            id=id,
            host=host,
            target=self._request.target - waited,
            remaining=self._request.remaining - waited,
            excluded=others | self._request.excluded,
        )

    def bound(self, refusal: Refusal, now: float) -> Refusal:
        """Return a refusal whose time to retry is valid and within the deadline."""
        remaining = self._request.remaining - (now - self._asked_at)
        longest = max(_MIN_STATED_SECONDS, _MAX_RETRY_FRACTION * remaining)
        retry_after = min(max(_MIN_RETRY_SECONDS, refusal.retry_after), longest)
        return replace(refusal, retry_after=retry_after)

    def exclude(self, upstream: str) -> None:
        """Don't accept an upstream any more."""
        excluded = self._request.excluded | {upstream}
        self._request = replace(self._request, excluded=excluded)


class SchedulingClient:
    """Asks owners for placements and reports the progress of placed requests.

    `shards_of` returns the shards of a service with an engine that a request tries, in
    this order, and all shards of a plain service that have a candidate.
    """

    def __init__(
        self,
        owners: Owners,
        server: SchedulingServer,
        timers: Timers,
        settings: SchedulingSettings,
        rng: random.Random,
        shards_of: ShardsOf,
        members_of: MembersOf,
    ):
        self._owners = owners
        self._server = server
        self._timers = timers
        self._settings = settings
        self._rng = rng
        self._shards_of = shards_of
        self._members_of = members_of
        self._reporter = ProgressReporter(owners, server, timers, settings)
        # Latest delay that an owner has reported of each shard.
        self._reports: OrderedDict[ShardKey, DelayReport] = OrderedDict()
        # Starts at the time, so that a restarted host doesn't use earlier numbers.
        self._numbers = itertools.count(int(timers.wall() * 1_000))

    async def place(
        self,
        service: Service,
        request: PlacementRequest,
        candidates: Sequence[Announcement],
    ) -> Scheduled | NotAdmitted | Unavailable:
        """Return where to send a request, or the refusal with the shortest retry time.

        The request's id and host are set here, and all members of a shard but the
        candidates are excluded. It takes two placement timeouts at most.
        """
        now = self._timers.now()
        max_wait = _MAX_TIMEOUTS * self._settings.place_timeout
        question = _Question(service, request, candidates, now, max_wait)
        shards = self._order_shards(service, request.parts, candidates)
        refusals: list[tuple[Refusal, str]] = []
        for asked, shard in enumerate(shards, 1):
            result = await self._ask_shard(service, shard, question)
            if isinstance(result, Scheduled):
                return replace(result, asked=asked)
            if result is not None:
                refusal = question.bound(result, self._timers.now())
                refusals.append((refusal, shard))
                if result.reason in _FINAL_REASONS:
                    break
        if not refusals:
            return Unavailable(tuple(shards))
        refusal, shard = min(refusals, key=lambda each: each[0].retry_after)
        owner = self._owners.owner_of(f"{service.name}/{shard}") or ""
        return NotAdmitted(refusal, shard, owner, asked)

    def record_first_token(self, scheduled: Scheduled, seconds: float) -> None:
        """Record that an upstream's first token arrived `seconds` after sending."""
        self._reporter.record_first_token(scheduled.id, seconds)

    def end(self, scheduled: Scheduled, seconds: float | None) -> None:
        """Record the end of a request; `seconds` is None if it failed or wasn't run.

        A second end is ignored.
        """
        self._reporter.end(scheduled.id, seconds)

    def forget(self, upstream: UpstreamKey) -> None:
        """Drop what belongs to an upstream that is gone."""
        self._reporter.forget(upstream)

    async def run(self) -> None:
        """Send reports to owners until cancelled."""
        await self._reporter.run()

    def _order_shards(
        self,
        service: Service,
        parts: Sequence[PromptPart],
        candidates: Sequence[Announcement],
    ) -> Sequence[str]:
        """Return the shards to try, for a plain service those with the least delay."""
        shards = self._shards_of(service, parts, candidates)
        if service.engine is not None:
            return shards
        reports = {
            shard: self._reports[service.name, shard]
            for shard in shards
            if (service.name, shard) in self._reports
        }
        return order_by_delay(shards, reports, self._timers.now(), self._rng)

    async def _ask_shard(
        self, service: Service, shard: str, question: _Question
    ) -> Scheduled | Refusal | None:
        """Return the decision of a shard's owner, None without a usable one.

        A placement at an upstream that isn't a candidate is ended, and the request is
        asked once more without this upstream.
        """
        members = self._members_of(service, shard)
        for _ in range(2):
            owner = self._owners.owner_of(f"{service.name}/{shard}")
            if owner is None:
                return None
            id = f"{self._owners.own_name}/{next(self._numbers)}"
            now = self._timers.now()
            request = question.to_request(id, self._owners.own_name, members, now)
            decision = await self._decide(question, shard, owner, request)
            if decision is None or isinstance(decision.result, Refusal):
                return None if decision is None else decision.result
            scheduled = self._begin(question, shard, owner, request, decision)
            if scheduled is not None:
                return scheduled
            self._reporter.end(id, None)
            question.exclude(decision.result.upstream)
        return None

    async def _decide(
        self,
        question: _Question,
        shard: str,
        owner: str,
        request: PlacementRequest,
    ) -> Decision | None:
        """Return an owner's decision, None if it doesn't answer or know the shard."""
        key = (question.service, shard)
        if owner == self._owners.own_name:
            decision = self._server.place(*key, request)
        else:
            decision = await self._ask(question, key, owner, request)
        if decision is None:
            return None
        self._reporter.record_epoch(key, owner, decision.epoch)
        self._reports[key] = DelayReport(decision.delay, self._timers.now())
        self._reports.move_to_end(key)
        if len(self._reports) > _MAX_REPORTS:
            self._reports.popitem(last=False)
        return decision

    async def _ask(
        self, question: _Question, key: ShardKey, owner: str, request: PlacementRequest
    ) -> Decision | None:
        asked_at = self._timers.now()
        timeout = min(self._settings.place_timeout, question.time_left(asked_at))
        if timeout < _MIN_TIMEOUT_SECONDS:
            return None
        epoch = self._reporter.epoch_of(key, owner)
        message = request_to_message(*key, epoch, request)
        # The owner may still place the request if the caller leaves meanwhile.
        may_be_placed = True
        try:
            reply = await self._call(owner, message, timeout)
            waited = self._timers.now() - asked_at
            may_be_placed = reply is None and has_timed_out(waited, timeout)
        finally:
            if may_be_placed:
                self._reporter.abandon(owner, key, request.id)
        return None if reply is None else decision_from_message(reply)

    async def _call(
        self, owner: str, message: Message, timeout: float
    ) -> Message | None:
        try:
            return await self._owners.ask(owner, message, timeout)
        except Failure:
            return None

    def _begin(
        self,
        question: _Question,
        shard: str,
        owner: str,
        request: PlacementRequest,
        decision: Decision,
    ) -> Scheduled | None:
        """Add a placed request, and return it if its upstream is a candidate."""
        now = self._timers.now()
        placement = decision.result
        running = RunningRequest(
            request.id,
            (question.service, shard),
            owner,
            decision.epoch,
            placement.key,
            request.workspace,
            placement.missing,
            now,
            question.is_engine,
        )
        self._reporter.begin(running)
        upstream = question.candidates.get(placement.key)
        if upstream is None:
            return None
        return Scheduled(
            upstream,
            request.id,
            question.service,
            shard,
            owner,
            placement.missing,
            placement.expected,
            now,
        )
