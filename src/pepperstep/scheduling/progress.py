"""Reports of this host's requests to the owners of their shards.

Progress is batched per owner and shard. The notices to one owner about one shard are
sent one after the other, so that a `ResumeNotice` can't overtake the end of a request.
A lost notice isn't repeated, as placements expire at the owner. Progress that wasn't
sent, because the owner is backed off, is kept for the next notice: after a short pause
of an owner, full slots would otherwise be counted for seconds. Questions without an
answer are reported as failed until the owner answers, as it may count a placement that
no host ends.
"""

import math
from collections import OrderedDict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Protocol

import trio
from absl import logging
from google.protobuf.message import Message

from pepperstep.coordination import UpstreamKey
from pepperstep.errors import Failure
from pepperstep.ports import Timers
from pepperstep.proto import scheduling_pb2 as pb
from pepperstep.scheduling.capacity import MIN_REPORTED_TOKENS
from pepperstep.scheduling.messages import running_to_message
from pepperstep.scheduling.requests import Running
from pepperstep.scheduling.server import SchedulingServer
from pepperstep.scheduling.settings import SchedulingSettings

__all__ = ["Owners", "ProgressReporter", "RunningRequest", "ShardKey", "has_timed_out"]

# Service and shard.
ShardKey = tuple[str, str]

# Interval between attempts to report to an owner that doesn't answer, above its first
# backoff, and the time after which a report is given up, above its longest backoff.
_REPEAT_SECONDS = 0.3
_GIVE_UP_SECONDS = 3.0
# Fraction of its timeout from which a call without an answer may have reached the
# owner. A failed connection or a backed-off owner ends the call earlier.
_TIMED_OUT_FRACTION = 0.9
# Bounds of the state; the oldest entries are dropped. No host has this many requests.
_MAX_RUNNING = 16_384
_MAX_QUEUED = 4_096
_MAX_UNANSWERED = 1_024
_MAX_SHARDS = 16_384


class Owners(Protocol):
    """The owners of keys; see `pepperstep.relay.keepers.KeyOwners`."""

    own_name: str

    def owner_of(self, key: str) -> str | None:
        """Return the owner of a key, or None while no owners are known."""

    async def ask(self, owner: str, message: Message, timeout: float) -> Message | None:
        """Return an owner's answer, or None if it doesn't answer."""


@dataclass(slots=True)
class RunningRequest:
    """A placed request that hasn't ended; times are monotonic seconds."""

    id: str
    shard: ShardKey
    # Owner that knows the request, and the epoch of its state.
    owner: str
    epoch: int
    upstream: UpstreamKey
    workspace: str
    missing: int
    sent_at: float
    is_engine: bool = False
    # Seconds until the first token, None before it or once they're reported.
    first_token: float | None = None
    is_prefilled: bool = False


@dataclass(slots=True)
class _Outbox:
    """What is to be reported to one owner about one shard."""

    # Progress with the times at which it's given up.
    progress: deque[tuple[float, pb.Progress]] = field(
        default_factory=lambda: deque(maxlen=_MAX_QUEUED)
    )
    # Ids of questions without an answer, with the times at which they are given up.
    unanswered: OrderedDict[str, float] = field(default_factory=OrderedDict)
    # Epoch of the owner's state that lacks running requests, 0 if there is none.
    resume_epoch: int = 0
    is_sending: bool = False
    # Time at which the next notice is due.
    due_at: float = math.inf

    @property
    def has_work(self) -> bool:
        """Whether there is something to report."""
        return bool(self.progress or self.unanswered or self.resume_epoch)

    def put_back(self, progress: list[tuple[float, pb.Progress]]) -> None:
        """Put progress that wasn't sent before what was added meanwhile."""
        self.progress = deque([*progress, *self.progress], maxlen=_MAX_QUEUED)

    def give_up(self, now: float) -> None:
        """Drop what couldn't be reported for too long."""
        while self.progress and self.progress[0][0] <= now:
            self.progress.popleft()
        while self.unanswered and next(iter(self.unanswered.values())) <= now:
            self.unanswered.popitem(last=False)


class ProgressReporter:
    """Knows this host's running requests and reports them to owners."""

    def __init__(
        self,
        owners: Owners,
        server: SchedulingServer,
        timers: Timers,
        settings: SchedulingSettings,
    ):
        self._owners = owners
        self._server = server
        self._timers = timers
        self._settings = settings
        self._running: OrderedDict[str, RunningRequest] = OrderedDict()
        # Owner and epoch that know all of this host's requests in a shard.
        self._known: OrderedDict[ShardKey, tuple[str, int]] = OrderedDict()
        self._outboxes: dict[tuple[str, ShardKey], _Outbox] = {}
        # Time until which `run` sleeps, and the event that wakes it before.
        self._next_due = math.inf
        self._is_due_earlier = trio.Event()

    def epoch_of(self, shard: ShardKey, owner: str) -> int:
        """Return the last known epoch of an owner's shard, 0 if it's unknown."""
        known_owner, epoch = self._known.get(shard, ("", 0))
        return epoch if known_owner == owner else 0

    def begin(self, request: RunningRequest) -> None:
        """Add a placed request; drop the oldest one over the limit."""
        self._running[request.id] = request
        if len(self._running) > _MAX_RUNNING:
            self._running.popitem(last=False)

    def record_first_token(self, id: str, seconds: float) -> None:
        """Record the first token of a running request; ignore other requests."""
        request = self._running.get(id)
        if request is None or request.is_prefilled:
            return
        request.is_prefilled = True
        is_large = request.missing >= MIN_REPORTED_TOKENS
        if is_large or request.owner == self._owners.own_name:
            self._report(request, [_first_token(id, seconds)], self._settings.batch)
        else:
            request.first_token = seconds

    def end(self, id: str, seconds: float | None) -> None:
        """End a running request; ignore other requests."""
        request = self._running.pop(id, None)
        if request is None:
            return
        progress = []
        if request.first_token is not None:
            progress.append(_first_token(id, request.first_token))
        kind = pb.Progress.FAILED if seconds is None else pb.Progress.END
        progress.append(pb.Progress(id=id, kind=kind, seconds=seconds or 0.0))
        batch = self._settings.batch
        if request.is_engine:
            batch = self._settings.engine_end_batch
        self._report(request, progress, batch)

    def abandon(self, owner: str, shard: ShardKey, id: str) -> None:
        """Report a question without an answer as failed."""
        unanswered = self._outbox(owner, shard, self._settings.batch).unanswered
        unanswered[id] = self._timers.now() + _GIVE_UP_SECONDS
        if len(unanswered) > _MAX_UNANSWERED:
            unanswered.popitem(last=False)

    def record_epoch(self, shard: ShardKey, owner: str, epoch: int) -> None:
        """Record the epoch in an owner's reply; resume the requests it doesn't know.

        A reply of a former owner is ignored.
        """
        if not epoch or self._known.get(shard) == (owner, epoch):
            return
        if owner != self._owner_of(shard):
            return
        if not self._unknown_to(shard, owner, epoch):
            self._set_known(shard, owner, epoch)
        elif owner == self._owners.own_name:
            self._resume_locally(shard, epoch)
        else:
            outbox = self._outbox(owner, shard, self._settings.batch)
            outbox.resume_epoch = epoch

    def forget(self, upstream: UpstreamKey) -> None:
        """Drop the running requests of an upstream that is gone."""
        ids = [id for id, each in self._running.items() if each.upstream == upstream]
        for id in ids:
            del self._running[id]

    async def run(self) -> None:
        """Send batches until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await self._wait_due()
                now = self._timers.now()
                for target, outbox in self._outboxes.items():
                    if outbox.due_at <= now and not outbox.is_sending:
                        outbox.is_sending = True
                        nursery.start_soon(self._empty, target, outbox)

    async def _wait_due(self) -> None:
        """Return once a notice may be due."""
        due_times = (
            each.due_at for each in self._outboxes.values() if not each.is_sending
        )
        self._next_due = min(due_times, default=math.inf)
        self._is_due_earlier = trio.Event()
        if self._next_due == math.inf:
            await self._is_due_earlier.wait()
            return
        with self._timers.move_on_after(self._next_due - self._timers.now()):
            await self._is_due_earlier.wait()

    async def _empty(self, target: tuple[str, ShardKey], outbox: _Outbox) -> None:
        """Send an outbox until it's empty, then drop it."""
        owner, shard = target
        while outbox.has_work:
            if outbox.resume_epoch:
                epoch, outbox.resume_epoch = outbox.resume_epoch, 0
                await self._send_resume(owner, shard, epoch)
            is_answered = await self._send_progress(owner, shard, outbox)
            outbox.give_up(self._timers.now())
            if outbox.has_work:
                pause = self._settings.batch if is_answered else _REPEAT_SECONDS
                await self._timers.sleep(pause)
        del self._outboxes[target]

    async def _send_progress(
        self, owner: str, shard: ShardKey, outbox: _Outbox
    ) -> bool:
        """Send what is queued, and return whether the owner has answered."""
        ids = list(outbox.unanswered)
        queued = list(outbox.progress)
        outbox.progress.clear()
        progress = [each for _, each in queued]
        progress += [pb.Progress(id=id, kind=pb.Progress.FAILED) for id in ids]
        if not progress:
            return True
        service, name = shard
        epoch = self.epoch_of(shard, owner)
        notice = pb.ProgressNotice(
            service=service, shard=name, epoch=epoch, progress=progress
        )
        asked_at = self._timers.now()
        reply = await self._ask(owner, notice)
        if reply is None:
            waited = self._timers.now() - asked_at
            if not has_timed_out(waited, self._settings.notice_timeout):
                outbox.put_back(queued)
            return False
        for id in ids:
            outbox.unanswered.pop(id, None)
        self.record_epoch(shard, owner, reply.epoch)
        return True

    async def _send_resume(self, owner: str, shard: ShardKey, epoch: int) -> None:
        """Send the running requests of a shard that its owner doesn't know."""
        requests = self._unknown_to(shard, owner, epoch)
        if not requests:
            self._set_known(shard, owner, epoch)
            return
        service, name = shard
        logging.info(
            "scheduling: resuming %d requests of shard %s/%s at %s",
            len(requests),
            service,
            name,
            owner,
        )
        notice = pb.ResumeNotice(service=service, shard=name, epoch=epoch)
        notice.running.extend(map(running_to_message, self._describe(requests)))
        reply = await self._ask(owner, notice)
        if reply is not None and reply.epoch:
            _mark_known(requests, owner, reply.epoch)
            self.record_epoch(shard, owner, reply.epoch)

    def _resume_locally(self, shard: ShardKey, epoch: int) -> None:
        owner = self._owners.own_name
        requests = self._unknown_to(shard, owner, epoch)
        self._server.resume(*shard, owner, self._describe(requests))
        _mark_known(requests, owner, epoch)
        self._set_known(shard, owner, epoch)

    def _set_known(self, shard: ShardKey, owner: str, epoch: int) -> None:
        self._known[shard] = (owner, epoch)
        self._known.move_to_end(shard)
        if len(self._known) > _MAX_SHARDS:
            self._known.popitem(last=False)

    def _unknown_to(
        self, shard: ShardKey, owner: str, epoch: int
    ) -> list[RunningRequest]:
        """Return the requests of a shard that aren't known in an owner's epoch."""
        return [
            each
            for each in self._running.values()
            if each.shard == shard and (each.owner, each.epoch) != (owner, epoch)
        ]

    def _describe(self, requests: Iterable[RunningRequest]) -> list[Running]:
        now = self._timers.now()
        return [
            Running(
                each.id,
                *each.upstream,
                each.workspace,
                0 if each.is_prefilled else each.missing,
                now - each.sent_at,
            )
            for each in requests
        ]

    def _report(
        self, request: RunningRequest, progress: list[pb.Progress], delay: float
    ) -> None:
        """Report to the owner that knows a request, and to a new owner of its shard.

        The new owner's reply shows its epoch, so that it gets the other requests.
        """
        own_name = self._owners.own_name
        current = self._owner_of(request.shard) or request.owner
        for owner in dict.fromkeys((request.owner, current)):
            if owner != own_name:
                given_up_at = self._timers.now() + _GIVE_UP_SECONDS
                outbox = self._outbox(owner, request.shard, delay)
                outbox.progress.extend((given_up_at, each) for each in progress)
                continue
            epoch = self._server.apply_progress(*request.shard, own_name, progress)
            self.record_epoch(request.shard, own_name, epoch)

    def _outbox(self, owner: str, shard: ShardKey, delay: float) -> _Outbox:
        """Return the outbox of an owner's shard, which is about to get work.

        The work is sent after `delay` seconds at the latest.
        """
        outbox = self._outboxes.get((owner, shard))
        if outbox is None:
            outbox = self._outboxes[owner, shard] = _Outbox()
        outbox.due_at = min(outbox.due_at, self._timers.now() + delay)
        if outbox.due_at < self._next_due and not outbox.is_sending:
            self._is_due_earlier.set()
        return outbox

    def _owner_of(self, shard: ShardKey) -> str | None:
        service, name = shard
        return self._owners.owner_of(f"{service}/{name}")

    async def _ask(self, owner: str, notice: Message) -> Message | None:
        try:
            return await self._owners.ask(owner, notice, self._settings.notice_timeout)
        except Failure:
            return None


def has_timed_out(waited: float, timeout: float) -> bool:
    """Whether a call without an answer may have reached the owner; times in seconds."""
    return waited >= _TIMED_OUT_FRACTION * timeout


def _mark_known(requests: Iterable[RunningRequest], owner: str, epoch: int) -> None:
    for each in requests:
        each.owner, each.epoch = owner, epoch


def _first_token(id: str, seconds: float) -> pb.Progress:
    return pb.Progress(id=id, kind=pb.Progress.FIRST_TOKEN, seconds=seconds)
