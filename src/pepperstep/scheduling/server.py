"""Service of the shards that this host owns.

Messages may arrive late, duplicated or out of order. The server therefore remembers its
recent decisions by request id: a duplicate gets the same decision, and a request that
has ended isn't placed or resumed by a message that arrives after its end.
"""

import math
from collections import Counter, OrderedDict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field, replace
from typing import Protocol

import trio
from absl import logging

from pepperstep.coordination import Announcement
from pepperstep.ports import PeerNetwork, Timers
from pepperstep.proto import scheduling_pb2 as pb
from pepperstep.scheduling.messages import (
    Decision,
    decision_to_message,
    request_from_message,
    running_from_message,
)
from pepperstep.scheduling.requests import (
    Placement,
    PlacementRequest,
    Refusal,
    RefusalReason,
    Running,
)

__all__ = ["SchedulingServer", "Shard"]

# Minimum interval between two reads of a shard's upstreams without a known change of
# the catalog, as the list of upstreams is rebuilt by each read.
_REFRESH_SECONDS = 0.05
# Interval between checks for expired placements and unused shards.
_EXPIRY_SECONDS = 1.0
# Shards without a message and without placements are dropped after this time.
_IDLE_TIMEOUT_SECONDS = 30.0
# Time and number for which decisions are remembered. Duplicates and late messages
# arrive within some call timeouts of 0.3 s.
_RECENT_SECONDS = 5.0
_MAX_RECENT = 4_096
# Limit on a request's remaining time, so that each placement expires at some point.
_MAX_REMAINING_SECONDS = 600.0
# Observed times above this are invalid.
_MAX_OBSERVED_SECONDS = 60.0


# Called with the service, the shard's name, its epoch and the ids of its upstreams.
ShardCallback = Callable[[str, str, int, list[str]], None]


class Shard(Protocol):
    """The state of one shard; see `pepperstep.scheduling.shard.ShardScheduler`."""

    @property
    def in_flight(self) -> int:
        """Number of placements that haven't ended."""

    def set_upstreams(self, announcements: Sequence[Announcement], now: float) -> None:
        """Set the usable upstreams and drop all others."""

    def place(self, request: PlacementRequest, now: float) -> Placement | Refusal:
        """Choose an upstream for a request, or refuse it."""

    def record_first_token(self, id: str, seconds: float, now: float) -> None:
        """Record that a prompt was prefilled; an unknown id is ignored."""

    def end(self, id: str, seconds: float | None, now: float) -> None:
        """End a placement; an unknown id is ignored."""

    def resume(self, host: str, running: list[Running], now: float) -> None:
        """Add the in-flight requests of a host that aren't known yet."""

    def expire(self, now: float) -> None:
        """Drop the placements whose deadline has passed."""

    def delay(self, now: float) -> float:
        """Return the lowest predicted delay in seconds."""


@dataclass(slots=True)
class _ServedShard:
    """A shard that this host owns; times are monotonic seconds."""

    state: Shard
    epoch: int
    used_at: float
    has_upstreams: bool = False
    refreshed_at: float = -math.inf
    # Version of the catalog that `state` has read.
    version: int = 0
    # Decisions by request id with their times, None once the request has ended.
    recent: OrderedDict[str, tuple[float, Decision | None]] = field(
        default_factory=OrderedDict
    )

    def remember(self, id: str, decision: Decision | None, now: float) -> None:
        """Remember the latest state of a request; drop the oldest over the limit."""
        self.recent[id] = (now, decision)
        self.recent.move_to_end(id)
        if len(self.recent) > _MAX_RECENT:
            self.recent.popitem(last=False)

    def has_ended(self, id: str) -> bool:
        """Whether a request is remembered as ended."""
        known = self.recent.get(id)
        return known is not None and known[1] is None

    def expire(self, now: float) -> None:
        """Drop expired placements and old decisions."""
        self.state.expire(now)
        while self.recent:
            id, (time, _) = next(iter(self.recent.items()))
            if now - time < _RECENT_SECONDS:
                return
            del self.recent[id]


class SchedulingServer:
    """Decides on placements in the shards that this host owns.

    `make_shard` returns the empty state of a shard of a service, None if the service
    isn't known. `upstreams_of_shard` returns the usable upstreams of a shard.
    """

    def __init__(
        self,
        network: PeerNetwork,
        timers: Timers,
        make_shard: Callable[[str], Shard | None],
        upstreams_of_shard: Callable[[str, str], list[Announcement]],
        on_created: ShardCallback = lambda service, shard, epoch, upstreams: None,
    ):
        self._timers = timers
        self._make_shard = make_shard
        self._upstreams_of_shard = upstreams_of_shard
        self._on_created = on_created
        self._shards: dict[tuple[str, str], _ServedShard] = {}
        self._has_shards = trio.Event()
        # Grows with each change of the catalog.
        self._version = 0
        self._last_epoch = 0
        self._placed_count = 0
        self._refused_counts: Counter[RefusalReason] = Counter()
        network.handle(pb.PlaceRequest, self._on_place)
        network.handle(pb.ProgressNotice, self._on_progress)
        network.handle(pb.ResumeNotice, self._on_resume)

    @property
    def shard_count(self) -> int:
        """Number of shards with state on this host."""
        return len(self._shards)

    @property
    def in_flight(self) -> int:
        """Number of placements that haven't ended."""
        return sum(served.state.in_flight for served in self._shards.values())

    @property
    def placed_count(self) -> int:
        """Number of placements since the start."""
        return self._placed_count

    @property
    def refused_counts(self) -> Counter[RefusalReason]:
        """Number of refusals since the start by reason."""
        return self._refused_counts.copy()

    def place(
        self, service: str, shard: str, request: PlacementRequest
    ) -> Decision | None:
        """Decide on a request, again the same way for a known id.

        Return None if the service is unknown, if the shard has no usable upstream, or
        if the request has ended.
        """
        served = self._use(service, shard)
        if served is None or not served.has_upstreams:
            return None
        if request.id in served.recent:
            return served.recent[request.id][1]
        now = self._timers.now()
        remaining = min(request.remaining, _MAX_REMAINING_SECONDS)
        result = served.state.place(replace(request, remaining=remaining), now)
        self._count(result)
        decision = Decision(served.epoch, served.state.delay(now), result)
        served.remember(request.id, decision, now)
        return decision

    def apply_progress(
        self, service: str, shard: str, host: str, progress: Iterable[pb.Progress]
    ) -> int:
        """Apply a host's progress and return the shard's epoch, 0 if it's unknown.

        Progress of other hosts' requests is ignored.
        """
        served = self._use(service, shard)
        if served is None:
            return 0
        now = self._timers.now()
        for each in progress:
            if _is_from(host, each.id):
                _apply(served, each, now)
        return served.epoch

    def resume(
        self, service: str, shard: str, host: str, running: Iterable[Running]
    ) -> int:
        """Add a host's in-flight requests and return the epoch, 0 if it's unknown."""
        served = self._use(service, shard)
        if served is None:
            return 0
        resumed = [
            each
            for each in running
            if _is_from(host, each.id) and not served.has_ended(each.id)
        ]
        served.state.resume(host, resumed, self._timers.now())
        return served.epoch

    def refresh(self) -> None:
        """Make each shard read its upstreams again when it's used next."""
        self._version += 1

    async def run(self) -> None:
        """Expire placements and drop unused shards until cancelled."""
        async for _ in self._timers.subscribe(_EXPIRY_SECONDS):
            self._expire()
            if not self._shards:
                self._has_shards = trio.Event()
                await self._has_shards.wait()

    async def _on_place(self, message: pb.PlaceRequest, sender: str) -> pb.PlaceReply:
        if not _is_from(sender, message.id):
            return pb.PlaceReply()
        request = request_from_message(message, sender)
        decision = self.place(message.service, message.shard, request)
        return decision_to_message(decision)

    async def _on_progress(
        self, message: pb.ProgressNotice, sender: str
    ) -> pb.ProgressReply:
        epoch = self.apply_progress(
            message.service, message.shard, sender, message.progress
        )
        return pb.ProgressReply(epoch=epoch)

    async def _on_resume(self, message: pb.ResumeNotice, sender: str) -> pb.ResumeReply:
        running = map(running_from_message, message.running)
        epoch = self.resume(message.service, message.shard, sender, running)
        return pb.ResumeReply(epoch=epoch)

    def _use(self, service: str, shard: str) -> _ServedShard | None:
        """Return a shard with recent upstreams, None if there is no such shard."""
        now = self._timers.now()
        served = self._shards.get((service, shard))
        if served is None:
            return self._create(service, shard, now)
        served.used_at = now
        is_recent = now - served.refreshed_at < _REFRESH_SECONDS
        if served.version != self._version or not is_recent:
            self._set_upstreams(served, self._upstreams_of_shard(service, shard), now)
        return served

    def _create(self, service: str, shard: str, now: float) -> _ServedShard | None:
        upstreams = self._upstreams_of_shard(service, shard)
        state = self._make_shard(service) if upstreams else None
        if state is None:
            return None
        epoch = max(int(self._timers.wall() * 1_000), self._last_epoch + 1)
        self._last_epoch = epoch
        served = self._shards[service, shard] = _ServedShard(state, epoch, now)
        self._set_upstreams(served, upstreams, now)
        self._has_shards.set()
        self._on_created(service, shard, epoch, [each.id for each in upstreams])
        return served

    def _set_upstreams(
        self, served: _ServedShard, upstreams: list[Announcement], now: float
    ) -> None:
        served.state.set_upstreams(upstreams, now)
        served.has_upstreams = bool(upstreams)
        served.refreshed_at = now
        served.version = self._version

    def _expire(self) -> None:
        now = self._timers.now()
        for (service, shard), served in list(self._shards.items()):
            served.expire(now)
            is_unused = now - served.used_at >= _IDLE_TIMEOUT_SECONDS
            if is_unused and not served.state.in_flight:
                del self._shards[service, shard]
                logging.info("scheduling: dropped unused shard %s/%s", service, shard)

    def _count(self, result: Placement | Refusal) -> None:
        if isinstance(result, Refusal):
            self._refused_counts[result.reason] += 1
        else:
            self._placed_count += 1


def _apply(served: _ServedShard, progress: pb.Progress, now: float) -> None:
    seconds = progress.seconds
    is_valid = math.isfinite(seconds) and 0 <= seconds <= _MAX_OBSERVED_SECONDS
    if progress.kind == pb.Progress.FIRST_TOKEN and is_valid:
        served.state.record_first_token(progress.id, seconds, now)
    if progress.kind not in (pb.Progress.END, pb.Progress.FAILED):
        return
    has_seconds = progress.kind == pb.Progress.END and is_valid
    served.state.end(progress.id, seconds if has_seconds else None, now)
    served.remember(progress.id, None, now)


def _is_from(host: str, id: str) -> bool:
    """Whether a host has issued a request id."""
    return id.startswith(f"{host}/")
