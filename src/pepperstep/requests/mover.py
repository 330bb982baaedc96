"""Moves requests off upstreams whose reclaim was announced."""

import random
from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import trio
from absl import logging
from google.protobuf.message import Message

from pepperstep.entities import Request, RequestKind, Upstream
from pepperstep.ports import PeerNetwork, Timers
from pepperstep.ports.directory import Directory
from pepperstep.ports.upstreams import UpstreamClient, UpstreamFault
from pepperstep.proto import moves_pb2
from pepperstep.requests.attempts import ActiveAttempt, Attempts, Cause, Resumption
from pepperstep.requests.broadcast import Broadcast
from pepperstep.requests.moves import (
    POLICIES,
    Leaver,
    Move,
    MoveKind,
    MoveTarget,
    MovingRequest,
)
from pepperstep.routing import UpstreamView

__all__ = ["MoveSettings", "Moves", "TerminationNotice"]

_CHARACTERS_PER_TOKEN = 4
# Notices of a zone come one after another; those within this time are planned
# together.
_GATHER_SECONDS = 0.05
_REPLAN_SECONDS = 1.0
# A notice is kept for this time after its end, against late repeats.
_KEEP_SECONDS = 600.0
# Weight of a new measurement of bandwidth and cache size.
_SMOOTHING = 0.3
_MAX_DECISIONS = 10_000


@dataclass(frozen=True, slots=True)
class MoveSettings:
    """How moves are decided; `policy` is a name in `POLICIES`."""

    policy: str = "planned"
    # Seconds before the announced end by which all must be done.
    margin_seconds: float = 0.5
    # Notice that is assumed of an upstream that only says that it leaves.
    assumed_seconds: float = 20.0
    # Expected until the first export has ended.
    bytes_per_second: float = 1e9
    bytes_per_token: float = 131_072.0


@dataclass(frozen=True, slots=True)
class TerminationNotice:
    """A cloud host, or one upstream, that ends at Unix time `at`."""

    id: str
    at: float
    host: str = ""
    upstream: str = ""
    # Last life of the upstream that is meant, 0 for all.
    epoch: int = 0

    def covers(self, upstream: Upstream) -> bool:
        """Whether the upstream ends."""
        if self.host:
            return upstream.host == self.host
        is_later = 0 < self.epoch < upstream.epoch
        return upstream.name == self.upstream and not is_later


class Moves:
    """This host's part in reclaims: notices, decisions and exports."""

    def __init__(
        self,
        host: str,
        peers: PeerNetwork,
        timers: Timers,
        directory: Directory,
        upstreams: UpstreamClient,
        view: UpstreamView,
        rng: random.Random,
        settings: MoveSettings | None = None,
        on_leaving: Callable[[Iterable[Upstream]], None] | None = None,
    ):
        settings = settings or MoveSettings()
        self.attempts = Attempts()
        self._timers = timers
        self._upstreams = upstreams
        self._view = view
        self._settings = settings
        # Called with the upstreams that a new notice covers.
        self._on_leaving = on_leaving
        self._policy = POLICIES[settings.policy]
        self._notices = Broadcast(
            host, peers, timers, directory, rng, _pack, self._read
        )
        # Measured bytes a second by upstream, and bytes a token of KV cache.
        self._rates: dict[str, float] = {}
        self._bytes_per_token = settings.bytes_per_token
        # Exports that wait, by upstream and in their order.
        self._exports: dict[str, list[Move]] = {}
        self._exporting: set[str] = set()
        self._decisions: OrderedDict[str, Move] = OrderedDict()
        self._wake = trio.Event()
        self._nursery: trio.Nursery | None = None
        peers.handle(moves_pb2.ReclaimNotices, self._handle_notices)

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Plan and carry out moves until cancelled."""
        async with trio.open_nursery() as self._nursery:
            self._nursery.start_soon(self._notices.run)
            task_status.started()
            while True:
                await self._wake.wait()
                await self._timers.sleep(_GATHER_SECONDS)
                self._wake = trio.Event()
                self._plan()
                with self._timers.move_on_after(_REPLAN_SECONDS):
                    await self._wake.wait()
                if self._has_work():
                    self._wake.set()

    def add_notices(self, notices: Iterable[TerminationNotice]) -> None:
        """Take notices that this host got, and tell all entry hosts."""
        for notice in notices:
            self._add(notice, is_own=True)

    def add_leaving_upstream(self, upstream: Upstream) -> None:
        """Take an upstream's own announcement that it leaves."""
        if self._notice_of(upstream) is None:
            at = self._timers.wall() + self._settings.assumed_seconds
            notice_id = f"{upstream.name}/{upstream.epoch}"
            notice = TerminationNotice(notice_id, at, "", upstream.name, upstream.epoch)
            self.add_notices([notice])

    def is_leaving(self, upstream: Upstream) -> bool:
        """Whether the upstream will end, or ended, by a reclaim."""
        return upstream.is_leaving or self._notice_of(upstream) is not None

    def candidates(self) -> list[Upstream]:
        """Return the upstreams that stay, so that this is a router's view."""
        return [u for u in self._view.candidates() if not self.is_leaving(u)]

    def decision_of(self, request_id: str) -> Move | None:
        """Return the last decision on a request."""
        return self._decisions.get(request_id)

    def _add(self, notice: TerminationNotice, is_own: bool) -> None:
        until = notice.at + _KEEP_SECONDS
        if self._notices.add(notice.id, notice, until, is_own):
            name = notice.host or notice.upstream
            seconds = notice.at - self._timers.wall()
            logging.info("moves: %s ends in %.1f s.", name, seconds)
            if self._on_leaving is not None:
                covered = [u for u in self._view.candidates() if notice.covers(u)]
                self._on_leaving(covered)
            self._wake.set()

    def _notice_of(self, upstream: Upstream) -> TerminationNotice | None:
        """Return the notice that ends first; a later one doesn't take it back."""
        notices = [n for n in self._notices.items() if n.covers(upstream)]
        return min(notices, key=lambda notice: notice.at, default=None)

    async def _handle_notices(
        self, message: moves_pb2.ReclaimNotices, sender: str
    ) -> moves_pb2.ReclaimNotices:
        self._read(message)
        return _pack(self._notices.items() if message.is_pull else [], False)

    def _read(self, message: Message) -> None:
        for each in message.notices:
            notice = TerminationNotice(
                each.id, each.at, each.host, each.upstream, each.epoch
            )
            self._add(notice, is_own=False)

    def _has_work(self) -> bool:
        return any(self.is_leaving(each.upstream) for each in self.attempts.active())

    def _plan(self) -> None:
        """Decide on all requests that no earlier plan has begun to move."""
        open_attempts = {
            each.run.id: each
            for each in self.attempts.active()
            if self.is_leaving(each.upstream)
            and not each.is_stopped
            and not each.is_exporting
        }
        self._exports.clear()
        if not open_attempts:
            return
        leavers = {each.upstream.name: each.upstream for each in open_attempts.values()}
        moves = self._policy(
            [self._leaver(upstream) for upstream in leavers.values()],
            [self._moving(each) for each in open_attempts.values()],
            [self._target(upstream) for upstream in self.candidates()],
        )
        for move in moves:
            self._note(move)
            self._begin(move, open_attempts[move.request_id])

    def _note(self, move: Move) -> None:
        self._decisions[move.request_id] = move
        self._decisions.move_to_end(move.request_id)
        if len(self._decisions) > _MAX_DECISIONS:
            self._decisions.popitem(last=False)

    def _begin(self, move: Move, active: ActiveAttempt) -> None:
        if move.kind is MoveKind.RECOMPUTE:
            active.stop(Resumption(Cause.RECLAIM, move.target))
        elif move.kind is MoveKind.EXPORT:
            self._exports.setdefault(move.upstream, []).append(move)
            if move.upstream not in self._exporting:
                self._exporting.add(move.upstream)
                self._nursery.start_soon(self._export_all, move.upstream)

    async def _export_all(self, upstream: str) -> None:
        """Export one cache after another, as they share the bandwidth."""
        try:
            while self._exports.get(upstream):
                move = self._exports[upstream].pop(0)
                for active in self.attempts.active():
                    if active.run.id == move.request_id:
                        await self._export(active, move.target)
        finally:
            self._exporting.discard(upstream)

    async def _export(self, active: ActiveAttempt, target_name: str) -> None:
        target = next((u for u in self.candidates() if u.name == target_name), None)
        if target is None or active.is_stopped or active.upstream.name == target_name:
            self._wake.set()
            return
        active.is_exporting = True
        imported = ""
        try:
            with self._timers.move_on_after(self._seconds_left(active.upstream)):
                await self._send_cache(active, target)
                imported = active.attempt_id
        except UpstreamFault as error:
            logging.info("moves: Export of %s failed: %s", active.attempt_id, error)
        active.stop(Resumption(Cause.RECLAIM, target_name, imported))

    async def _send_cache(self, active: ActiveAttempt, target: Upstream) -> None:
        started_at = self._timers.now()
        export = await self._upstreams.export_cache(
            active.upstream, active.attempt_id, target
        )
        seconds = max(self._timers.now() - started_at, 1e-6)
        name = active.upstream.name
        rate = export.size_bytes / seconds
        old_rate = self._rates.get(name, rate)
        self._rates[name] = old_rate + _SMOOTHING * (rate - old_rate)
        size = export.size_bytes / max(1, export.tokens)
        self._bytes_per_token += _SMOOTHING * (size - self._bytes_per_token)

    def _seconds_left(self, upstream: Upstream) -> float:
        notice = self._notice_of(upstream)
        if notice is None:
            return self._settings.assumed_seconds
        left = notice.at - self._timers.wall() - self._settings.margin_seconds
        return max(0.0, left)

    def _leaver(self, upstream: Upstream) -> Leaver:
        own = self.attempts.count_on(upstream.name)
        # Other entry hosts export from it too.
        share = own / max(own, upstream.load.running, 1)
        rate = self._rates.get(upstream.name)
        if rate is None:
            rate = self._settings.bytes_per_second * share
        return Leaver(
            upstream.name,
            upstream.zone,
            self._seconds_left(upstream),
            rate,
            self._bytes_per_token,
        )

    def _target(self, upstream: Upstream) -> MoveTarget:
        own = self.attempts.count_on(upstream.name)
        reported = upstream.load.running + upstream.load.waiting
        return MoveTarget(
            upstream.name,
            upstream.zone,
            upstream.models,
            upstream.slots - max(own, reported),
        )

    def _moving(self, active: ActiveAttempt) -> MovingRequest:
        request = active.run.request
        done = len(active.run.tokens)
        return MovingRequest(
            active.run.id,
            active.upstream.name,
            request.model_key,
            request.priority,
            count_prompt_tokens(request) + done,
            request.max_tokens - done,
            active.upstream.load.decode_seconds,
            active.upstream.load.prefill_seconds,
            request.kind is not RequestKind.SERVICE,
        )


def count_prompt_tokens(request: Request) -> int:
    """Return about how many tokens the prompt has."""
    return len(request.prompt) // _CHARACTERS_PER_TOKEN


def _pack(
    notices: Iterable[TerminationNotice], is_pull: bool
) -> moves_pb2.ReclaimNotices:
    records = [
        moves_pb2.AnnouncedReclaim(
            id=notice.id,
            host=notice.host,
            upstream=notice.upstream,
            epoch=notice.epoch,
            at=notice.at,
        )
        for notice in notices
    ]
    return moves_pb2.ReclaimNotices(notices=records, is_pull=is_pull)
