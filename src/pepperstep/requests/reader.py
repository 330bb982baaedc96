"""Reads answers, from this host's runs or from the host that owns them."""

from collections.abc import AsyncIterator

import msgspec

from pepperstep.entities import Outcome
from pepperstep.errors import Code, Execution, Failure
from pepperstep.ports import PeerNetwork, Timers
from pepperstep.proto import journal_pb2
from pepperstep.requests.finder import Finder, Whereabouts
from pepperstep.requests.remote import AnswerPart, RemoteReads
from pepperstep.requests.run import Run

__all__ = ["AnswerPart", "Reader"]

_WAIT_SECONDS = 1.0
_RETRY_SECONDS = 0.1
# A reader gives up after this time without an owner; a takeover takes less.
_SEARCH_SECONDS = 10.0
# ... or this time in which all hosts say that they don't know the request.
_NOWHERE_SECONDS = 2.0
# A reader is sent to other hosts if this one could release nothing for so long.
_STALL_SECONDS = 5.0


class Reader:
    """Finds runs and reads their released parts."""

    def __init__(
        self,
        owned: dict[str, Run],
        finder: Finder,
        remote: RemoteReads,
        peers: PeerNetwork,
        timers: Timers,
    ):
        self._owned = owned
        self._finder = finder
        self._remote = remote
        self._timers = timers
        peers.handle(journal_pb2.ReadAnswers, self._handle_reads)

    async def read(
        self, request_id: str, workspace: str, position: int
    ) -> AsyncIterator[AnswerPart]:
        """Yield the parts from `position` on; the last one has the outcome.

        Raise `Failure` with `UNKNOWN_REQUEST` if no host knows the request, and
        with `PEER_UNREACHABLE` if the caller should read on at another host.
        """
        owner = ""
        while True:
            run = self._owned.get(request_id)
            if run is not None and not run.is_lost:
                part = await self._read_owned(run, workspace, position)
            else:
                owner = owner or await self._locate(request_id)
                part = await self._read_remote(owner, request_id, workspace, position)
            if part is None:
                owner = ""
                continue
            position = part.position + len(part.tokens)
            yield part
            if part.outcome is not None:
                return

    async def _read_owned(
        self, run: Run, workspace: str, position: int
    ) -> AnswerPart | None:
        """Return what is new, None if the run is lost or nothing came in time."""
        if run.request.workspace != workspace:
            raise _unknown(run.id)
        run.wanted.set()
        run.readers += 1
        try:
            with self._timers.move_on_after(_WAIT_SECONDS):
                while not _has_news(run, position) and not run.is_lost:
                    await run.wait_change()
            if run.is_lost:
                return None
            if _has_news(run, position):
                return _part_of(run, position)
            self._check_stall(run)
            return None
        finally:
            run.readers -= 1
            run.reader_left_at = self._timers.now()

    async def _read_remote(
        self, owner: str, request_id: str, workspace: str, position: int
    ) -> AnswerPart | None:
        """Return what is new at the owner, None if it isn't the owner any more."""
        read = journal_pb2.ReadAnswer(
            request_id=request_id, position=position, workspace=workspace
        )
        part = await self._remote.read(owner, read)
        if part is None:
            await self._timers.sleep(_RETRY_SECONDS)
        return part

    def _check_stall(self, run: Run) -> None:
        since = run.stalled_since
        if since is not None and self._timers.now() - since > _STALL_SECONDS:
            raise Failure(
                Code.PEER_UNREACHABLE,
                "This host is cut off; read on at another entry host.",
                execution=Execution.MAY_HAVE_RUN,
                retry_after=1.0,
            )

    async def _locate(self, request_id: str) -> str:
        """Return the name of the request's owner."""
        started_at = known_at = self._timers.now()
        while True:
            found = await self._finder.find(request_id)
            if found.is_owned:
                return found.owner
            now = self._timers.now()
            if found.whereabouts is not Whereabouts.NOWHERE:
                known_at = now
            if now - known_at > _NOWHERE_SECONDS or now - started_at > _SEARCH_SECONDS:
                raise _not_found(request_id, found.whereabouts)
            await self._timers.sleep(_RETRY_SECONDS)

    async def _handle_reads(
        self, message: journal_pb2.ReadAnswers, sender: str
    ) -> journal_pb2.AnswerParts:
        parts = [self._answer(read) for read in message.reads]
        return journal_pb2.AnswerParts(parts=parts)

    def _answer(self, read: journal_pb2.ReadAnswer) -> journal_pb2.AnswerPart:
        run = self._owned.get(read.request_id)
        if run is None or run.is_lost:
            return journal_pb2.AnswerPart()
        if run.request.workspace != read.workspace:
            outcome = msgspec.json.encode(_unknown_outcome(run.id))
            return journal_pb2.AnswerPart(is_owned=True, outcome=outcome)
        run.wanted.set()
        run.reader_left_at = self._timers.now()
        part = journal_pb2.AnswerPart(is_owned=True, position=read.position)
        if _has_news(run, read.position):
            news = _part_of(run, read.position)
            part.tokens.extend(news.tokens)
            if news.outcome is not None:
                part.outcome = msgspec.json.encode(news.outcome)
        return part


def _has_news(run: Run, position: int) -> bool:
    return run.released > position or run.released_outcome is not None


def _part_of(run: Run, position: int) -> AnswerPart:
    tokens = run.tokens[position : run.released]
    return AnswerPart(position, tokens, run.released_outcome)


def _not_found(request_id: str, whereabouts: Whereabouts) -> Failure:
    if whereabouts is not Whereabouts.HELD:
        return _unknown(request_id)
    return Failure(
        Code.PEER_UNREACHABLE,
        f"{request_id} waits for its takeover; ask again.",
        execution=Execution.MAY_HAVE_RUN,
        retry_after=1.0,
    )


def _unknown_outcome(request_id: str) -> Outcome:
    failure = _unknown(request_id)
    return Outcome(code=failure.code, text=failure.text, execution=failure.execution)


def _unknown(request_id: str) -> Failure:
    return Failure(
        Code.UNKNOWN_REQUEST,
        f"No host knows {request_id}.",
        execution=Execution.MAY_HAVE_RUN,
    )
