"""Moves requests off upstreams that are about to be reclaimed."""

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
from pepperstep.requests.move_planning import (
    POLICIES,
    LeavingUpstream,
    Move,
    MoveKind,
    MoveTarget,
    MovingRequest,
)
from pepperstep.routing import UpstreamView

__all__ = ["MoveSettings", "Moves", "TerminationNotice"]

_CHARACTERS_PER_TOKEN = 4
# Reclaim notices for the upstreams of a zone arrive one after another. Those within
# this time are planned together.
_NOTICE_BATCH_SECONDS = 0.05
_REPLAN_INTERVAL_SECONDS = 1.0
# A notice is kept for this time after the announced end, so that a delayed duplicate
# isn't taken for a new one.
_NOTICE_RETENTION_SECONDS = 600.0
# Weight of a new sample in the averages of bandwidth and cache size.
_NEW_SAMPLE_WEIGHT = 0.3
_MAX_DECISIONS = 10_000


@dataclass(frozen=True, slots=True)
class MoveSettings:
    """How moves are planned; `policy` is a key of `POLICIES`."""

    policy: str = "planned"
    # Exports must end this many seconds before the announced end.
    margin_seconds: float = 0.5
    # Notice period assumed for an upstream that announces its leaving without a time.
    default_notice_seconds: float = 20.0
    # Estimates used until the first export has ended.
    bytes_per_second: float = 1e9
    bytes_per_token: float = 131_072.0


@dataclass(frozen=True, slots=True)
class TerminationNotice:
    """Notice that a cloud host, or one upstream, ends at Unix time `at`."""

    id: str
    at: float
    host: str = ""
    upstream: str = ""
    # Last epoch of the upstream that the notice covers, 0 for all.
    epoch: int = 0

    def covers(self, upstream: Upstream) -> bool:
        """Whether the notice applies to the upstream."""
        if self.host:
            return upstream.host == self.host
        is_later = 0 < self.epoch < upstream.epoch
        return upstream.name == self.upstream and not is_later


class Moves:
    """Termination notices, move decisions and cache exports of this host."""

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
            host, peers, timers, directory, rng, _build_notices, self._add_received
        )
        # Measured export rate by upstream (bytes per second), and KV cache size (bytes
        # per token).
        self._rates: dict[str, float] = {}
        self._bytes_per_token = settings.bytes_per_token
        # Pending exports by upstream, in order.
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
                await self._timers.sleep(_NOTICE_BATCH_SECONDS)
                self._wake = trio.Event()
                self._plan()
                with self._timers.move_on_after(_REPLAN_INTERVAL_SECONDS):
                    await self._wake.wait()
                if self._has_work():
                    self._wake.set()

    def add_notices(self, notices: Iterable[TerminationNotice]) -> None:
        """Add notices that this host received and broadcast them to all entry hosts."""
        for notice in notices:
            self._add_notice(notice, is_own=True)

    def add_leaving_upstream(self, upstream: Upstream) -> None:
        """Add a notice for an upstream that announced its own leaving."""
        if self._first_notice(upstream) is None:
            at = self._timers.wall() + self._settings.default_notice_seconds
            notice_id = f"{upstream.name}/{upstream.epoch}"
            notice = TerminationNotice(notice_id, at, "", upstream.name, upstream.epoch)
            self.add_notices([notice])

    def is_leaving(self, upstream: Upstream) -> bool:
        """Whether the upstream ended, or will end, by a reclaim."""
        return upstream.is_leaving or self._first_notice(upstream) is not None

    def candidates(self) -> list[Upstream]:
        """Return the upstreams that stay; with this, `Moves` is a router's view."""
        return [u for u in self._view.candidates() if not self.is_leaving(u)]

    def last_move(self, request_id: str) -> Move | None:
        """Return the last move decision on a request, or None."""
        return self._decisions.get(request_id)

    def _add_notice(self, notice: TerminationNotice, is_own: bool) -> None:
        until = notice.at + _NOTICE_RETENTION_SECONDS
        if self._notices.add(notice.id, notice, until, is_own):
            name = notice.host or notice.upstream
            seconds = notice.at - self._timers.wall()
            logging.info("moves: %s terminates in %.1f s.", name, seconds)
            if self._on_leaving is not None:
                covered = [u for u in self._view.candidates() if notice.covers(u)]
                self._on_leaving(covered)
            self._wake.set()

    def _first_notice(self, upstream: Upstream) -> TerminationNotice | None:
        """Return the earliest notice for the upstream.

        A later notice doesn't revoke an earlier one.
        """
        notices = [n for n in self._notices.items() if n.covers(upstream)]
        return min(notices, key=lambda notice: notice.at, default=None)

    async def _handle_notices(
        self, message: moves_pb2.ReclaimNotices, sender: str
    ) -> moves_pb2.ReclaimNotices:
        self._add_received(message)
        return _build_notices(self._notices.items() if message.is_pull else [], False)

    def _add_received(self, message: Message) -> None:
        for each in message.notices:
            notice = TerminationNotice(
                each.id, each.at, each.host, each.upstream, each.epoch
            )
            self._add_notice(notice, is_own=False)

    def _has_work(self) -> bool:
        return any(self.is_leaving(each.upstream) for each in self.attempts.active())

    def _plan(self) -> None:
        """Plan moves for all requests that aren't already being moved."""
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
        leaving = {each.upstream.name: each.upstream for each in open_attempts.values()}
        moves = self._policy(
            [self._describe_leaving(upstream) for upstream in leaving.values()],
            [self._describe_request(each) for each in open_attempts.values()],
            [self._describe_target(upstream) for upstream in self.candidates()],
        )
        for move in moves:
            self._record_decision(move)
            self._start_move(move, open_attempts[move.request_id])

    def _record_decision(self, move: Move) -> None:
        self._decisions[move.request_id] = move
        self._decisions.move_to_end(move.request_id)
        if len(self._decisions) > _MAX_DECISIONS:
            self._decisions.popitem(last=False)

    def _start_move(self, move: Move, active: ActiveAttempt) -> None:
        if move.kind is MoveKind.RECOMPUTE:
            active.stop(Resumption(Cause.RECLAIM, move.target))
        elif move.kind is MoveKind.EXPORT:
            self._exports.setdefault(move.upstream, []).append(move)
            if move.upstream not in self._exporting:
                self._exporting.add(move.upstream)
                self._nursery.start_soon(self._export_all, move.upstream)

    async def _export_all(self, upstream: str) -> None:
        """Export one cache after another, as exports share the upstream's bandwidth."""
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
        imported_attempt = ""
        try:
            with self._timers.move_on_after(self._seconds_left(active.upstream)):
                await self._send_cache(active, target)
                imported_attempt = active.attempt_id
        except UpstreamFault as error:
            logging.info("moves: Export of %s failed: %s", active.attempt_id, error)
        active.stop(Resumption(Cause.RECLAIM, target_name, imported_attempt))

    async def _send_cache(self, active: ActiveAttempt, target: Upstream) -> None:
        started_at = self._timers.now()
        export = await self._upstreams.export_cache(
            active.upstream, active.attempt_id, target
        )
        seconds = max(self._timers.now() - started_at, 1e-6)
        name = active.upstream.name
        rate = export.size_bytes / seconds
        old_rate = self._rates.get(name, rate)
        self._rates[name] = old_rate + _NEW_SAMPLE_WEIGHT * (rate - old_rate)
        size = export.size_bytes / max(1, export.tokens)
        self._bytes_per_token += _NEW_SAMPLE_WEIGHT * (size - self._bytes_per_token)

    def _seconds_left(self, upstream: Upstream) -> float:
        notice = self._first_notice(upstream)
        if notice is None:
            return self._settings.default_notice_seconds
        seconds_left = notice.at - self._timers.wall() - self._settings.margin_seconds
        return max(0.0, seconds_left)

    def _describe_leaving(self, upstream: Upstream) -> LeavingUpstream:
        local_attempts = self.attempts.count_on(upstream.name)
        # Other entry hosts export from the same upstream, so only a share is available.
        local_share = local_attempts / max(local_attempts, upstream.load.running, 1)
        rate = self._rates.get(upstream.name)
        if rate is None:
            rate = self._settings.bytes_per_second * local_share
        return LeavingUpstream(
            upstream.name,
            upstream.zone,
            self._seconds_left(upstream),
            rate,
            self._bytes_per_token,
        )

    def _describe_target(self, upstream: Upstream) -> MoveTarget:
        local_attempts = self.attempts.count_on(upstream.name)
        reported = upstream.load.running + upstream.load.waiting
        return MoveTarget(
            upstream.name,
            upstream.zone,
            upstream.models,
            upstream.slots - max(local_attempts, reported),
        )

    def _describe_request(self, active: ActiveAttempt) -> MovingRequest:
        request = active.run.request
        generated_tokens = len(active.run.tokens)
        return MovingRequest(
            active.run.id,
            active.upstream.name,
            request.model_key,
            request.priority,
            estimate_prompt_tokens(request) + generated_tokens,
            request.max_tokens - generated_tokens,
            active.upstream.load.decode_seconds,
            active.upstream.load.prefill_seconds,
            request.kind is not RequestKind.SERVICE,
        )


def estimate_prompt_tokens(request: Request) -> int:
    """Estimate the number of prompt tokens from the number of characters."""
    return len(request.prompt) // _CHARACTERS_PER_TOKEN


def _build_notices(
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
