"""Reads answers, from this host's runs or from the host that owns them."""

from collections.abc import AsyncIterator
from dataclasses import dataclass

import msgspec

from pepperstep.entities import Host, Outcome
from pepperstep.errors import Code, Execution, Failure
from pepperstep.ports import Directory, PeerNetwork, Timers
from pepperstep.proto import journal_pb2
from pepperstep.requests.held import HeldRecords
from pepperstep.requests.journal import rank_hosts
from pepperstep.requests.run import Run

__all__ = ["Part", "Reader"]

_WAIT_SECONDS = 5.0
_CALL_SECONDS = 1.0
_RETRY_SECONDS = 0.1
# Time in which no host knows the request before a reader gives up; a takeover
# takes less.
_SEARCH_SECONDS = 10.0


@dataclass(frozen=True, slots=True)
class Part:
    """Tokens from `position` on, and the outcome behind the last one."""

    position: int
    tokens: list[str]
    outcome: Outcome | None


class Reader:
    """Finds runs and reads their released parts."""

    def __init__(
        self,
        host: Host,
        owned: dict[str, Run],
        held: HeldRecords,
        peers: PeerNetwork,
        timers: Timers,
        directory: Directory,
    ):
        self._host = host
        self._owned = owned
        self._held = held
        self._peers = peers
        self._timers = timers
        self._directory = directory

    async def read(
        self, request_id: str, workspace: str, position: int
    ) -> AsyncIterator[Part]:
        """Yield the parts from `position` on; the last one has the outcome.

        Raise `Failure` with `UNKNOWN_REQUEST` if no host knows the request.
        """
        while True:
            run = self._owned.get(request_id)
            if run is not None and not run.is_lost:
                part = await self._read_owned(run, workspace, position, _WAIT_SECONDS)
            else:
                part = await self._read_elsewhere(request_id, workspace, position)
            if part is None:
                continue
            position = part.position + len(part.tokens)
            if part.tokens or part.outcome is not None:
                yield part
            if part.outcome is not None:
                return

    async def handle_read(
        self, message: journal_pb2.ReadAnswer, sender: str
    ) -> journal_pb2.AnswerPart:
        """Answer another host's read."""
        run = self._owned.get(message.request_id)
        if run is None or run.is_lost:
            found = self._held.find(message.request_id)
            owner = "" if found is None else found[1]
            return journal_pb2.AnswerPart(is_found=False, owner=owner)
        wait = min(message.wait, _WAIT_SECONDS)
        part = await self._read_owned(run, message.workspace, message.position, wait)
        if part is None:
            return journal_pb2.AnswerPart(is_found=True, position=message.position)
        outcome = b"" if part.outcome is None else msgspec.json.encode(part.outcome)
        return journal_pb2.AnswerPart(
            is_found=True, position=part.position, tokens=part.tokens, outcome=outcome
        )

    async def _read_owned(
        self, run: Run, workspace: str, position: int, wait: float
    ) -> Part | None:
        if run.request.workspace != workspace:
            raise _unknown(run.id)
        run.readers += 1
        try:
            with self._timers.move_on_after(wait):
                while not _has_news(run, position) and not run.is_lost:
                    await run.wait_change()
            if run.is_lost or not _has_news(run, position):
                return None
            outcome = run.released_outcome
            return Part(position, run.tokens[position : run.released], outcome)
        finally:
            run.readers -= 1
            run.reader_left_at = self._timers.now()

    async def _read_elsewhere(
        self, request_id: str, workspace: str, position: int
    ) -> Part | None:
        """Return the owner's next part, None if there was nothing new."""
        give_up_at = self._timers.now() + _SEARCH_SECONDS
        while self._timers.now() < give_up_at:
            for peer in self._likely_hosts(request_id):
                answer = await self._ask(peer, request_id, workspace, position)
                if answer is None or not answer.is_found:
                    continue
                return _part_of(answer)
            if self._is_owned_here(request_id):
                return None
            await self._timers.sleep(_RETRY_SECONDS)
        raise _unknown(request_id)

    def _is_owned_here(self, request_id: str) -> bool:
        run = self._owned.get(request_id)
        return run is not None and not run.is_lost

    async def _ask(
        self, peer: str, request_id: str, workspace: str, position: int
    ) -> journal_pb2.AnswerPart | None:
        message = journal_pb2.ReadAnswer(
            request_id=request_id,
            position=position,
            workspace=workspace,
            wait=_WAIT_SECONDS,
        )
        try:
            return await self._peers.call(peer, message, _WAIT_SECONDS + _CALL_SECONDS)
        except Failure as failure:
            if failure.code is Code.UNKNOWN_REQUEST:
                raise
            return None

    def _likely_hosts(self, request_id: str) -> list[str]:
        """Return the other hosts, those first that the id points at."""
        hosts = [
            host
            for host in self._directory.entry_hosts()
            if host.name != self._host.name
        ]
        names = [host.name for host in rank_hosts(hosts, request_id)]
        found = self._held.find(request_id)
        first = found[1] if found is not None else request_id.split(".")[0]
        return sorted(names, key=lambda name: name != first)


def _has_news(run: Run, position: int) -> bool:
    return run.released > position or run.released_outcome is not None


def _part_of(answer: journal_pb2.AnswerPart) -> Part | None:
    outcome = None
    if answer.outcome:
        outcome = msgspec.json.decode(answer.outcome, type=Outcome)
    if not answer.tokens and outcome is None:
        return None
    return Part(answer.position, list(answer.tokens), outcome)


def _unknown(request_id: str) -> Failure:
    return Failure(
        Code.UNKNOWN_REQUEST,
        f"No host knows {request_id}.",
        execution=Execution.MAY_HAVE_RUN,
    )
