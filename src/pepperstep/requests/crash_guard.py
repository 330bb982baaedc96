"""Limits the upstreams that a crashing request can end to two.

The content of a request is a hash of what may crash an upstream. For each content one
entry host, the first in its rendezvous order, admits the runs and counts the upstreams
lost. Blocked contents are announced to all entry hosts in verdicts.
"""

import itertools
import random
from collections.abc import Iterable

import trio
from absl import logging
from google.protobuf.message import Message

from pepperstep.entities import Request, Upstream
from pepperstep.errors import Code, Execution, Failure
from pepperstep.ports import PeerNetwork, Timers
from pepperstep.ports.directory import Directory
from pepperstep.proto import verdicts_pb2
from pepperstep.requests.broadcast import Broadcast
from pepperstep.requests.guards import Admission, Permission
from pepperstep.requests.journal import rank_hosts
from pepperstep.requests.probes import Diagnosis
from pepperstep.requests.run import Run
from pepperstep.requests.suspects import SuspectTracker, content_hash, incarnation_id

__all__ = ["CrashGuard"]

# Admission delays the first token, so its timeout is short.
_PERMISSION_TIMEOUT_SECONDS = 0.1
_PERMISSION_TRIES = 3
_CALL_TIMEOUT_SECONDS = 0.25
_CALL_TRIES = 4
# A host that didn't answer is skipped for this time, unless the run is a suspect.
_AVOIDANCE_SECONDS = 1.0
_FLUSH_INTERVAL_SECONDS = 0.5
_RENEWAL_INTERVAL_SECONDS = 1.0
# Number of hosts that keep a content's state: the deciding host and the next one, which
# decides if the first one fails.
_DECISION_HOSTS = 2


class CrashGuard:
    """Admits, suspects and blocks contents, together with all other entry hosts."""

    def __init__(
        self,
        host: str,
        incarnation: int,
        peers: PeerNetwork,
        timers: Timers,
        directory: Directory,
        rng: random.Random,
    ):
        self._host = host
        self._incarnation = incarnation
        self._peers = peers
        self._timers = timers
        self._directory = directory
        self._suspects = SuspectTracker(directory.is_gone)
        self._verdicts = Broadcast(
            host, peers, timers, directory, rng, _build_verdicts, self._add_verdicts
        )
        # Requests whose state was also sent to the next host in the order.
        self._replicated_ids: set[str] = set()
        # Upstreams reserved for runs of this host, by request id.
        self._reservations: dict[str, str] = {}
        # Ends of runs that are still to be sent, by deciding host.
        self._unsent_ends: dict[str, list[verdicts_pb2.EndedRun]] = {}
        self._avoided_until: dict[str, float] = {}
        # Serial number of each run's last admission, so that a delayed end doesn't end
        # a later one.
        self._serials = itertools.count(1)
        self._serial_by_request: dict[str, int] = {}
        self._nursery: trio.Nursery | None = None
        self._handlers = {
            verdicts_pb2.Verdicts: self._handle_verdicts,
            verdicts_pb2.RunContent: self._handle_run_content,
            verdicts_pb2.EndedRuns: self._handle_ended,
            verdicts_pb2.ReportLoss: self._handle_loss,
            verdicts_pb2.HoldUpstream: self._handle_reservation,
        }
        for message_type, handler in self._handlers.items():
            peers.handle(message_type, handler)

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Send verdicts and ends of runs until cancelled."""
        async with trio.open_nursery() as self._nursery:
            self._nursery.start_soon(self._verdicts.run)
            self._nursery.start_soon(self._flush_ended)
            self._nursery.start_soon(self._renew_reservations)
            task_status.started()
            await trio.sleep_forever()

    def check(self, request: Request) -> None:
        """Raise `Failure` with `CRASHING_REQUEST` for a blocked content."""
        verdict = self._suspects.active_verdict(
            content_hash(request), self._timers.wall()
        )
        if verdict is not None:
            raise self._blocked_failure(verdict, Execution.NOT_RUN)

    def ignore_losses(self, upstreams: Iterable[Upstream]) -> None:
        """Count the loss of these reclaimed upstreams against no content."""
        keys = [incarnation_id(upstream) for upstream in upstreams]
        self._suspects.ignore_losses(keys, self._timers.wall())

    async def admit(self, run: Run, upstream: Upstream) -> Admission:
        """Return whether the run may start; raise `Failure` as `check` does."""
        serial = self._serial_by_request[run.id] = next(self._serials)
        message = verdicts_pb2.RunContent(
            content=content_hash(run.request),
            request_id=run.id,
            serial=serial,
            incarnation=self._incarnation,
            upstream=incarnation_id(upstream),
            zone=upstream.zone,
            until=run.request.deadline,
            lost=run.lost_upstreams,
        )
        answer = await self._request_permission(message)
        if answer is None:
            # No deciding host answers. A suspect waits; other runs start, so that the
            # guard is no point of failure for ordinary requests.
            is_suspect = bool(run.lost_upstreams)
            return Admission(Permission.WAIT if is_suspect else Permission.GRANTED)
        if answer.permission == verdicts_pb2.PERMISSION_REFUSED:
            self._add_verdict(answer.verdict, is_own=False)
            raise self._blocked_failure(answer.verdict, run.execution)
        if answer.is_suspect and answer.permission == verdicts_pb2.PERMISSION_GRANTED:
            self._replicated_ids.add(run.id)
            await self._send_copy(
                message, self._rank(message.content)[1:_DECISION_HOSTS]
            )
        return _build_admission(answer)

    async def reserve_upstream(self, run: Run, upstream: Upstream) -> bool:
        """Return whether the run is now the only suspect on the upstream."""
        key = incarnation_id(upstream)
        if not await self._reserve(run.id, key):
            return False
        self._reservations[run.id] = key
        return True

    def release_upstream(self, run: Run, upstream: Upstream) -> None:
        """Release the upstream, if reserved, so that other suspects may run on it."""
        key = self._reservations.pop(run.id, None)
        if key is not None:
            self._nursery.start_soon(self._reserve, run.id, key, True)

    def record_passed(self, run: Run) -> None:
        """Record that a suspect survived its earlier loss; release its upstream."""
        key = self._reservations.pop(run.id, None)
        ended = self._build_end(run, verdicts_pb2.RUN_END_PASSED)
        self._nursery.start_soon(self._send_passed, run.id, ended, key)

    def record_end(self, run: Run, is_answered: bool) -> None:
        """Record that the run is on no upstream any longer."""
        end = verdicts_pb2.RUN_END_OPEN
        if is_answered:
            end = verdicts_pb2.RUN_END_ANSWERED
        self._queue_end(run, end)
        self._serial_by_request.pop(run.id, None)
        self._replicated_ids.discard(run.id)

    async def report_loss(
        self, run: Run, upstream: Upstream, diagnosis: Diagnosis, is_shared: bool
    ) -> bool:
        """Return whether a loss counts against the run's content.

        Raise `Failure` with `CRASHING_REQUEST` if the loss blocks the content.
        """
        message = verdicts_pb2.ReportLoss(
            content=content_hash(run.request),
            request_id=run.id,
            upstream=incarnation_id(upstream),
            dead_peers=diagnosis.dead_peers,
            live_peers=diagnosis.live_peers,
            is_shared=is_shared,
        )
        answer = await self._send_loss(message)
        if answer is not None and answer.HasField("verdict"):
            self._add_verdict(answer.verdict, is_own=True)
            raise self._blocked_failure(answer.verdict, Execution.MAY_HAVE_RUN)
        is_counted = answer is None or answer.is_counted
        if is_counted:
            run.lost_upstreams.append(message.upstream)
            self._replicated_ids.add(run.id)
        return is_counted

    async def _request_permission(
        self, message: verdicts_pb2.RunContent
    ) -> verdicts_pb2.RunAnswer | None:
        """Return the answer of the deciding host, or of the next host in the order."""
        for host in self._rank(message.content)[:_DECISION_HOSTS]:
            is_avoided = self._avoided_until.get(host, 0.0) > self._timers.now()
            if is_avoided and not message.lost:
                continue
            try:
                return await self._call(
                    host, message, _PERMISSION_TIMEOUT_SECONDS, _PERMISSION_TRIES
                )
            except Failure:
                self._avoided_until[host] = self._timers.now() + _AVOIDANCE_SECONDS
        return None

    async def _send_loss(
        self, message: verdicts_pb2.ReportLoss
    ) -> verdicts_pb2.LossAnswer | None:
        """Report a loss to the deciding host, or to the next one if it fails.

        The next host gets a copy at the same time, because other entry hosts already
        ask it if the deciding host has ended.
        """
        first, *others = self._rank(message.content)[:_DECISION_HOSTS]
        copy = verdicts_pb2.ReportLoss()
        copy.CopyFrom(message)
        answer = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_copy, copy, others)
            answer = await self._try_call(first, message)
        for host in others:
            if answer is None:
                answer = await self._try_call(host, message)
        return answer

    async def _try_call(self, host: str, message: Message) -> Message | None:
        try:
            return await self._call(host, message)
        except Failure:
            logging.warning("verdicts: %s doesn't respond.", host)
            return None

    async def _send_copy(self, message: Message, hosts: list[str]) -> None:
        """Send a decision to the hosts that would decide next."""
        message.is_decided = True
        for host in hosts:
            try:
                await self._call(host, message)
            except Failure:
                logging.info("verdicts: %s didn't receive a decision.", host)

    async def _reserve(
        self, request_id: str, key: str, is_release: bool = False
    ) -> bool:
        """Reserve an upstream at two hosts, so that one may fail, or release it."""
        message = verdicts_pb2.HoldUpstream(
            upstream=key, request_id=request_id, is_release=is_release
        )
        answers = []
        for host in self._rank(key)[:_DECISION_HOSTS]:
            try:
                answer = await self._call(
                    host, message, _PERMISSION_TIMEOUT_SECONDS, _PERMISSION_TRIES
                )
            except Failure:
                continue
            answers.append(answer.is_granted)
        is_reserved = bool(answers) and all(answers)
        if any(answers) and not is_reserved:
            await self._reserve(request_id, key, is_release=True)
        return is_reserved

    async def _call(
        self,
        host: str,
        message: Message,
        timeout: float = _CALL_TIMEOUT_SECONDS,
        tries: int = _CALL_TRIES,
    ) -> Message:
        """Return a host's answer; all messages sent here are idempotent."""
        if host == self._host:
            handler = self._handlers[type(message)]
            return await handler(message, host)
        for _ in range(tries - 1):
            try:
                return await self._peers.call(host, message, timeout)
            except Failure:
                continue
        return await self._peers.call(host, message, timeout)

    def _rank(self, key: str) -> list[str]:
        hosts = self._directory.entry_hosts()
        return [host.name for host in rank_hosts(hosts, key)] or [self._host]

    def _build_end(self, run: Run, end: int) -> verdicts_pb2.EndedRun:
        return verdicts_pb2.EndedRun(
            content=content_hash(run.request),
            request_id=run.id,
            end=end,
            serial=self._serial_by_request.get(run.id, 0),
        )

    def _queue_end(self, run: Run, end: int) -> None:
        ended = self._build_end(run, end)
        count = _DECISION_HOSTS if run.id in self._replicated_ids else 1
        for host in self._rank(ended.content)[:count]:
            self._unsent_ends.setdefault(host, []).append(ended)

    async def _send_passed(
        self, request_id: str, ended: verdicts_pb2.EndedRun, key: str | None
    ) -> None:
        for host in self._rank(ended.content)[:_DECISION_HOSTS]:
            await self._send_ended(host, [ended])
        if key is not None:
            await self._reserve(request_id, key, is_release=True)

    async def _flush_ended(self) -> None:
        async for _ in self._timers.subscribe(_FLUSH_INTERVAL_SECONDS):
            for host, runs in list(self._unsent_ends.items()):
                del self._unsent_ends[host]
                self._nursery.start_soon(self._send_ended, host, runs)

    async def _send_ended(self, host: str, runs: list[verdicts_pb2.EndedRun]) -> None:
        try:
            await self._call(host, verdicts_pb2.EndedRuns(runs=runs))
        except Failure:
            if host in self._rank(""):
                self._unsent_ends[host] = runs + self._unsent_ends.get(host, [])

    async def _renew_reservations(self) -> None:
        async for _ in self._timers.subscribe(_RENEWAL_INTERVAL_SECONDS):
            for request_id, key in list(self._reservations.items()):
                self._nursery.start_soon(self._reserve, request_id, key)

    async def _handle_run_content(
        self, message: verdicts_pb2.RunContent, sender: str
    ) -> verdicts_pb2.RunAnswer:
        answer = self._suspects.admit(message, sender, self._timers.wall())
        if answer.HasField("verdict"):
            self._add_verdict(answer.verdict, is_own=True)
        return answer

    async def _handle_ended(
        self, message: verdicts_pb2.EndedRuns, sender: str
    ) -> verdicts_pb2.EndedRunsAck:
        for ended in message.runs:
            self._suspects.record_end(ended, sender, self._timers.wall())
        return verdicts_pb2.EndedRunsAck()

    async def _handle_loss(
        self, message: verdicts_pb2.ReportLoss, sender: str
    ) -> verdicts_pb2.LossAnswer:
        answer = self._suspects.report_loss(message, self._timers.wall())
        if answer.HasField("verdict"):
            self._add_verdict(answer.verdict, is_own=True)
        return answer

    async def _handle_reservation(
        self, message: verdicts_pb2.HoldUpstream, sender: str
    ) -> verdicts_pb2.HoldAnswer:
        is_granted = self._suspects.reserve_upstream(message, self._timers.wall())
        return verdicts_pb2.HoldAnswer(is_granted=is_granted)

    async def _handle_verdicts(
        self, message: verdicts_pb2.Verdicts, sender: str
    ) -> verdicts_pb2.Verdicts:
        self._add_verdicts(message)
        return _build_verdicts(self._verdicts.items() if message.is_pull else [], False)

    def _add_verdicts(self, message: Message) -> None:
        for verdict in message.verdicts:
            self._add_verdict(verdict, is_own=False)

    def _add_verdict(self, verdict: verdicts_pb2.Verdict, is_own: bool) -> None:
        if self._verdicts.add(verdict.content, verdict, verdict.until, is_own):
            logging.warning(
                "verdicts: Blocking a content that crashed %s.",
                " and ".join(verdict.upstreams),
            )
        self._suspects.add_verdict(verdict, self._timers.wall())

    def _blocked_failure(
        self, verdict: verdicts_pb2.Verdict, execution: Execution
    ) -> Failure:
        return Failure(
            Code.CRASHING_REQUEST,
            f"This content has ended {len(verdict.upstreams)} upstreams.",
            execution=execution,
            retry_after=max(0.0, verdict.until - self._timers.wall()),
        )


def _build_admission(answer: verdicts_pb2.RunAnswer) -> Admission:
    if answer.permission == verdicts_pb2.PERMISSION_SHARE:
        names = frozenset(key.rpartition("/")[0] for key in answer.upstreams)
        return Admission(Permission.SHARE, names)
    if answer.permission == verdicts_pb2.PERMISSION_WAIT:
        return Admission(Permission.WAIT)
    return Admission(
        Permission.GRANTED, is_suspect=answer.is_suspect, is_strict=answer.is_strict
    )


def _build_verdicts(verdicts: Iterable[verdicts_pb2.Verdict], is_pull: bool) -> Message:
    return verdicts_pb2.Verdicts(verdicts=verdicts, is_pull=is_pull)
