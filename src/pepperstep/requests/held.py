"""Records that this host keeps as second host for owners."""

import enum

import msgspec
from absl import logging

from pepperstep.entities import Request
from pepperstep.errors import Code, Failure
from pepperstep.ports import Timers
from pepperstep.proto import journal_pb2
from pepperstep.requests.links import LinkDecisions
from pepperstep.requests.run import Run

__all__ = ["HeldRecords", "link_key"]

_DECISION_SECONDS = 2.0

LinkKey = tuple[str, int, str, int]


def link_key(link: journal_pb2.Link) -> LinkKey:
    """Return what identifies a link."""
    return (link.owner, link.incarnation, link.second, link.generation)


class _State(enum.Enum):
    """What has become of a link, as seen by its second."""

    HELD = enum.auto()
    # A takeover was proposed and may be granted at any time.
    DECIDING = enum.auto()
    TAKEN = enum.auto()


class _HeldLink:
    """Records of one link, by request id."""

    def __init__(self, link: journal_pb2.Link):
        self.link = link
        self.state = _State.HELD
        self.records: dict[str, journal_pb2.RequestRecord] = {}
        self.updated_at: dict[str, float] = {}


class HeldRecords:
    """All links on which this host is the second."""

    def __init__(self, incarnation: int, timers: Timers, decisions: LinkDecisions):
        self._incarnation = incarnation
        self._timers = timers
        self._decisions = decisions
        self._links: dict[LinkKey, _HeldLink] = {}
        # Request ids by workspace and idempotency key.
        self._keys: dict[tuple[str, str], str] = {}

    async def handle_batch(
        self, batch: journal_pb2.JournalBatch, sender: str
    ) -> journal_pb2.JournalAck:
        """Record a batch of an owner."""
        held = self._links.setdefault(link_key(batch.link), _HeldLink(batch.link))
        if held.state is _State.DECIDING:
            raise Failure(Code.NOT_READY, "The link's takeover is being decided.")
        ack = journal_pb2.JournalAck(incarnation=self._incarnation)
        if held.state is _State.TAKEN:
            ack.is_taken = True
            return ack
        for record in batch.records:
            self._store(held, record)
        for checkpoint in batch.checkpoints:
            if not self._advance(held, checkpoint):
                ack.missing.append(checkpoint.request_id)
        return ack

    def owners(self) -> set[tuple[str, int]]:
        """Return the name and incarnation of all owners with records here."""
        return {
            (held.link.owner, held.link.incarnation)
            for held in self._links.values()
            if held.state is not _State.TAKEN
        }

    def find(self, request_id: str) -> tuple[journal_pb2.RequestRecord, str] | None:
        """Return a request's record and its owner's name."""
        for held in self._links.values():
            record = held.records.get(request_id)
            if record is not None:
                return record, held.link.owner
        return None

    def find_key(self, workspace: str, idempotency_key: str) -> str | None:
        """Return the id of the request with this key."""
        return self._keys.get((workspace, idempotency_key))

    async def take_over(self, owner: str, incarnation: int) -> list[Run]:
        """Return the runs that this host owns from now on in place of `owner`.

        Raise `Failure` with `NO_QUORUM` if that can't be decided now; what
        was decided before stays for the next call.
        """
        runs: list[Run] = []
        for held in list(self._links.values()):
            if (held.link.owner, held.link.incarnation) == (owner, incarnation):
                runs += await self._take_link(held)
        return runs

    async def take_link(self, link: journal_pb2.Link) -> list[Run]:
        """Return the runs of one link, whose owner asked for the takeover."""
        held = self._links.get(link_key(link))
        return [] if held is None else await self._take_link(held)

    def prune(self, keep_seconds: float) -> None:
        """Forget requests that ended, or whose deadline passed, that long ago."""
        now = self._timers.now()
        for key, held in list(self._links.items()):
            for request_id, updated_at in list(held.updated_at.items()):
                is_over = bool(held.records[request_id].outcome)
                if is_over and now - updated_at > keep_seconds:
                    self._forget(held, request_id)
            if not held.records and held.state is _State.HELD:
                del self._links[key]

    async def _take_link(self, held: _HeldLink) -> list[Run]:
        if held.state is _State.TAKEN:
            return []
        held.state = _State.DECIDING
        is_granted = await self._decisions.take_over(held.link, _DECISION_SECONDS)
        if held.state is _State.TAKEN:
            return []
        records = list(held.records.values())
        held.records.clear()
        held.updated_at.clear()
        if not is_granted:
            self._links.pop(link_key(held.link), None)
            return []
        held.state = _State.TAKEN
        logging.info(
            "requests: Took over %d requests of %s.", len(records), held.link.owner
        )
        return [Run.from_record(record) for record in records]

    def _store(self, held: _HeldLink, record: journal_pb2.RequestRecord) -> None:
        held.records[record.request_id] = record
        held.updated_at[record.request_id] = self._timers.now()
        request = msgspec.json.decode(record.request, type=Request)
        if request.idempotency_key:
            key = (request.workspace, request.idempotency_key)
            self._keys[key] = request.id

    def _advance(self, held: _HeldLink, step: journal_pb2.Checkpoint) -> bool:
        record = held.records.get(step.request_id)
        if record is None or step.position > len(record.tokens):
            return False
        record.tokens.extend(step.tokens[len(record.tokens) - step.position :])
        record.attempt = step.attempt
        record.upstream = step.upstream
        record.is_dispatched = step.is_dispatched
        record.outcome = step.outcome
        del record.lost_upstreams[:]
        record.lost_upstreams.extend(step.lost_upstreams)
        held.updated_at[step.request_id] = self._timers.now()
        return True

    def _forget(self, held: _HeldLink, request_id: str) -> None:
        record = held.records.pop(request_id)
        del held.updated_at[request_id]
        request = msgspec.json.decode(record.request, type=Request)
        key = (request.workspace, request.idempotency_key)
        if self._keys.get(key) == request_id:
            del self._keys[key]
