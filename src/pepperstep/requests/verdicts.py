"""Keeps a request that crashes upstreams from more than two of them.

Each run of a content is permitted by the first entry host in the content's
ranking. Verdicts are told to all entry hosts.
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
from pepperstep.requests.guards import Entry, Permission
from pepperstep.requests.journal import rank_hosts
from pepperstep.requests.probes import Diagnosis
from pepperstep.requests.run import Run
from pepperstep.requests.suspects import Suspects, content_of, upstream_key

__all__ = ["CrashGuard"]

# What a first token waits for is asked with less patience.
_ASK_SECONDS = 0.1
_ASK_TRIES = 3
_CALL_SECONDS = 0.25
_CALL_TRIES = 4
# A host that didn't answer isn't asked for this time if no suspect needs it.
_AVOID_SECONDS = 1.0
_FLUSH_SECONDS = 0.5
_RENEW_SECONDS = 1.0
# Hosts that keep note of a loss: the one that decides and the one after it.
_NOTED_HOSTS = 2


class CrashGuard:
    """Guard that permits, suspects and convicts contents among all entry hosts."""

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
        self._suspects = Suspects(directory.is_gone)
        self._verdicts = Broadcast(
            host, peers, timers, directory, rng, _pack, self._read
        )
        # Requests of which the next host took note as well.
        self._noted: set[str] = set()
        # Upstreams that runs of this host hold, by request id.
        self._holds: dict[str, str] = {}
        # What ended and wasn't told yet, by deciding host.
        self._ended: dict[str, list[verdicts_pb2.EndedRun]] = {}
        self._avoided_until: dict[str, float] = {}
        # The last entry of each run, so that a late end doesn't end a newer one.
        self._serials = itertools.count(1)
        self._serial_of: dict[str, int] = {}
        self._nursery: trio.Nursery | None = None
        self._handlers = {
            verdicts_pb2.Verdicts: self._handle_verdicts,
            verdicts_pb2.RunContent: self._handle_run,
            verdicts_pb2.EndedRuns: self._handle_ended,
            verdicts_pb2.ReportLoss: self._handle_loss,
            verdicts_pb2.HoldUpstream: self._handle_hold,
        }
        for message_type, handler in self._handlers.items():
            peers.handle(message_type, handler)

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Tell verdicts and ends of runs until cancelled."""
        async with trio.open_nursery() as self._nursery:
            self._nursery.start_soon(self._verdicts.run)
            self._nursery.start_soon(self._flush_ended)
            self._nursery.start_soon(self._renew_holds)
            task_status.started()
            await trio.sleep_forever()

    def check(self, request: Request) -> None:
        """Raise `Failure` with `CRASHING_REQUEST` for a convicted content."""
        verdict = self._suspects.verdict_on(content_of(request), self._timers.wall())
        if verdict is not None:
            raise self._failure(verdict, Execution.NOT_RUN)

    def excuse(self, upstreams: Iterable[Upstream]) -> None:
        """Count the loss of upstreams that were reclaimed against no content."""
        keys = [upstream_key(upstream) for upstream in upstreams]
        self._suspects.explain(keys, self._timers.wall())

    async def enter(self, run: Run, upstream: Upstream) -> Entry:
        """Return whether the run may start; raise `Failure` as `check` does."""
        serial = self._serial_of[run.id] = next(self._serials)
        message = verdicts_pb2.RunContent(
            content=content_of(run.request),
            request_id=run.id,
            serial=serial,
            incarnation=self._incarnation,
            upstream=upstream_key(upstream),
            zone=upstream.zone,
            until=run.request.deadline,
            lost=run.lost_upstreams,
        )
        answer = await self._ask(message)
        if answer is None:
            # Nobody can decide: a suspect waits, all else goes on.
            is_suspect = bool(run.lost_upstreams)
            return Entry(Permission.WAIT if is_suspect else Permission.GRANTED)
        if answer.permission == verdicts_pb2.PERMISSION_REFUSED:
            self._learn(answer.verdict, is_own=False)
            raise self._failure(answer.verdict, _execution_of(run))
        if answer.is_suspect and answer.permission == verdicts_pb2.PERMISSION_GRANTED:
            self._noted.add(run.id)
            await self._note(message, self._rank(message.content)[1:_NOTED_HOSTS])
        return _entry_of(answer)

    async def hold(self, run: Run, upstream: Upstream) -> bool:
        """Return whether the run is the only suspect on the upstream now."""
        key = upstream_key(upstream)
        if not await self._hold(run.id, key):
            return False
        self._holds[run.id] = key
        return True

    def release(self, run: Run, upstream: Upstream) -> None:
        """Let other suspects run on an upstream that was held."""
        key = self._holds.pop(run.id, None)
        if key is not None:
            self._nursery.start_soon(self._hold, run.id, key, True)

    def note_passed(self, run: Run) -> None:
        """Note that a suspect ran on past its loss, then release its upstream."""
        key = self._holds.pop(run.id, None)
        ended = self._end_of(run, verdicts_pb2.RUN_END_PASSED)
        self._nursery.start_soon(self._tell_passed, run.id, ended, key)

    def leave(self, run: Run, is_answered: bool) -> None:
        """Note that the run is on no upstream now."""
        end = verdicts_pb2.RUN_END_OPEN
        if is_answered:
            end = verdicts_pb2.RUN_END_ANSWERED
        self._note_end(run, end)
        self._serial_of.pop(run.id, None)
        self._noted.discard(run.id)

    async def report(
        self, run: Run, upstream: Upstream, diagnosis: Diagnosis, is_shared: bool
    ) -> bool:
        """Return whether a loss counts against the run's content.

        Raise `Failure` with `CRASHING_REQUEST` if it convicts the content.
        """
        message = verdicts_pb2.ReportLoss(
            content=content_of(run.request),
            request_id=run.id,
            upstream=upstream_key(upstream),
            dead_peers=diagnosis.dead_peers,
            live_peers=diagnosis.live_peers,
            is_shared=is_shared,
        )
        answer = await self._report(message)
        if answer is not None and answer.HasField("verdict"):
            self._learn(answer.verdict, is_own=True)
            raise self._failure(answer.verdict, Execution.MAY_HAVE_RUN)
        is_counted = answer is None or answer.is_counted
        if is_counted:
            run.lost_upstreams.append(message.upstream)
            self._noted.add(run.id)
        return is_counted

    async def _ask(
        self, message: verdicts_pb2.RunContent
    ) -> verdicts_pb2.RunAnswer | None:
        """Return the deciding host's answer, or else that of the next host."""
        for host in self._rank(message.content)[:_NOTED_HOSTS]:
            is_avoided = self._avoided_until.get(host, 0.0) > self._timers.now()
            if is_avoided and not message.lost:
                continue
            try:
                return await self._call(host, message, _ASK_SECONDS, _ASK_TRIES)
            except Failure:
                self._avoided_until[host] = self._timers.now() + _AVOID_SECONDS
        return None

    async def _report(
        self, message: verdicts_pb2.ReportLoss
    ) -> verdicts_pb2.LossAnswer | None:
        """Tell a loss to the deciding host, or else let the next one decide.

        The next one takes note at the same time: the deciding host may have
        ended, and others ask the next one meanwhile.
        """
        first, *others = self._rank(message.content)[:_NOTED_HOSTS]
        note = verdicts_pb2.ReportLoss()
        note.CopyFrom(message)
        answer = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._note, note, others)
            answer = await self._try_call(first, message)
        for host in others:
            if answer is None:
                answer = await self._try_call(host, message)
        return answer

    async def _try_call(self, host: str, message: Message) -> Message | None:
        try:
            return await self._call(host, message)
        except Failure:
            logging.warning("verdicts: %s doesn't answer.", host)
            return None

    async def _note(self, message: Message, hosts: list[str]) -> None:
        """Let the host that would decide next know what was decided."""
        message.is_decided = True
        for host in hosts:
            try:
                await self._call(host, message)
            except Failure:
                logging.info("verdicts: %s didn't take a note.", host)

    async def _hold(self, request_id: str, key: str, is_release: bool = False) -> bool:
        """Ask two hosts, so that one of them may end, or release at both."""
        message = verdicts_pb2.HoldUpstream(
            upstream=key, request_id=request_id, is_release=is_release
        )
        answers = []
        for host in self._rank(key)[:_NOTED_HOSTS]:
            try:
                answer = await self._call(host, message, _ASK_SECONDS, _ASK_TRIES)
            except Failure:
                continue
            answers.append(answer.is_granted)
        is_held = bool(answers) and all(answers)
        if any(answers) and not is_held:
            await self._hold(request_id, key, is_release=True)
        return is_held

    async def _call(
        self,
        host: str,
        message: Message,
        timeout: float = _CALL_SECONDS,
        tries: int = _CALL_TRIES,
    ) -> Message:
        """Return a host's answer; all messages here may come twice."""
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

    def _end_of(self, run: Run, end: int) -> verdicts_pb2.EndedRun:
        return verdicts_pb2.EndedRun(
            content=content_of(run.request),
            request_id=run.id,
            end=end,
            serial=self._serial_of.get(run.id, 0),
        )

    def _note_end(self, run: Run, end: int) -> None:
        ended = self._end_of(run, end)
        count = _NOTED_HOSTS if run.id in self._noted else 1
        for host in self._rank(ended.content)[:count]:
            self._ended.setdefault(host, []).append(ended)

    async def _tell_passed(
        self, request_id: str, ended: verdicts_pb2.EndedRun, key: str | None
    ) -> None:
        for host in self._rank(ended.content)[:_NOTED_HOSTS]:
            await self._send_ended(host, [ended])
        if key is not None:
            await self._hold(request_id, key, is_release=True)

    async def _flush_ended(self) -> None:
        async for _ in self._timers.subscribe(_FLUSH_SECONDS):
            for host, runs in list(self._ended.items()):
                del self._ended[host]
                self._nursery.start_soon(self._send_ended, host, runs)

    async def _send_ended(self, host: str, runs: list[verdicts_pb2.EndedRun]) -> None:
        try:
            await self._call(host, verdicts_pb2.EndedRuns(runs=runs))
        except Failure:
            if host in self._rank(""):
                self._ended[host] = runs + self._ended.get(host, [])

    async def _renew_holds(self) -> None:
        async for _ in self._timers.subscribe(_RENEW_SECONDS):
            for request_id, key in list(self._holds.items()):
                self._nursery.start_soon(self._hold, request_id, key)

    async def _handle_run(
        self, message: verdicts_pb2.RunContent, sender: str
    ) -> verdicts_pb2.RunAnswer:
        answer = self._suspects.ask(message, sender, self._timers.wall())
        if answer.HasField("verdict"):
            self._learn(answer.verdict, is_own=True)
        return answer

    async def _handle_ended(
        self, message: verdicts_pb2.EndedRuns, sender: str
    ) -> verdicts_pb2.EndedRunsAck:
        for ended in message.runs:
            self._suspects.end(ended, sender, self._timers.wall())
        return verdicts_pb2.EndedRunsAck()

    async def _handle_loss(
        self, message: verdicts_pb2.ReportLoss, sender: str
    ) -> verdicts_pb2.LossAnswer:
        answer = self._suspects.report(message, self._timers.wall())
        if answer.HasField("verdict"):
            self._learn(answer.verdict, is_own=True)
        return answer

    async def _handle_hold(
        self, message: verdicts_pb2.HoldUpstream, sender: str
    ) -> verdicts_pb2.HoldAnswer:
        is_granted = self._suspects.hold(message, self._timers.wall())
        return verdicts_pb2.HoldAnswer(is_granted=is_granted)

    async def _handle_verdicts(
        self, message: verdicts_pb2.Verdicts, sender: str
    ) -> verdicts_pb2.Verdicts:
        self._read(message)
        return _pack(self._verdicts.items() if message.is_pull else [], False)

    def _read(self, message: Message) -> None:
        for verdict in message.verdicts:
            self._learn(verdict, is_own=False)

    def _learn(self, verdict: verdicts_pb2.Verdict, is_own: bool) -> None:
        if self._verdicts.add(verdict.content, verdict, verdict.until, is_own):
            logging.warning(
                "verdicts: A content ended %s and is refused.",
                " and ".join(verdict.upstreams),
            )
        self._suspects.learn(verdict, self._timers.wall())

    def _failure(self, verdict: verdicts_pb2.Verdict, execution: Execution) -> Failure:
        return Failure(
            Code.CRASHING_REQUEST,
            f"This content has ended {len(verdict.upstreams)} upstreams.",
            execution=execution,
            retry_after=max(0.0, verdict.until - self._timers.wall()),
        )


def _execution_of(run: Run) -> Execution:
    return Execution.MAY_HAVE_RUN if run.is_dispatched else Execution.NOT_RUN


def _entry_of(answer: verdicts_pb2.RunAnswer) -> Entry:
    if answer.permission == verdicts_pb2.PERMISSION_SHARE:
        names = frozenset(key.rpartition("/")[0] for key in answer.upstreams)
        return Entry(Permission.SHARE, names)
    if answer.permission == verdicts_pb2.PERMISSION_WAIT:
        return Entry(Permission.WAIT)
    return Entry(
        Permission.GRANTED, is_suspect=answer.is_suspect, is_strict=answer.is_strict
    )


def _pack(verdicts: Iterable[verdicts_pb2.Verdict], is_pull: bool) -> Message:
    return verdicts_pb2.Verdicts(verdicts=verdicts, is_pull=is_pull)
