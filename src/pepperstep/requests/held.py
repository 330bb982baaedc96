"""Records that this host keeps as second host for owners."""

from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import msgspec
from absl import logging

from pepperstep.errors import Code, Failure
from pepperstep.ports import Timers
from pepperstep.proto import journal_pb2
from pepperstep.requests.links import LinkDecisions, LinkKey, link_key
from pepperstep.requests.run import Run
from pepperstep.requests.taken import TakenLists

__all__ = ["HeldRecords"]

_DECISION_SECONDS = 2.0
# Ended links that are remembered, so that a late message revives none.
_MAX_ENDED = 20_000


class _Facts(msgspec.Struct):
    """What a second needs to know of a request."""

    deadline: float


@dataclass(slots=True)
class _HeldRecord:
    """A record, the request's deadline (Unix time) and the last change."""

    record: journal_pb2.RequestRecord
    deadline: float
    updated_at: float


class _HeldLink:
    """Records of one link, by request id."""

    def __init__(self, link: journal_pb2.Link):
        self.link = link
        # Whether a takeover was proposed, which may be granted at any time.
        self.is_deciding = False
        self.is_granted = False
        self.sequence = 0
        self.ack = journal_pb2.JournalAck()
        self.records: dict[str, _HeldRecord] = {}

    def ids_by_prior(self) -> list[tuple[journal_pb2.Link, set[str]]]:
        """Return the links that came before this one for some records."""
        found: dict[LinkKey, tuple[journal_pb2.Link, set[str]]] = {}
        for request_id, held in self.records.items():
            for prior in held.record.priors:
                found.setdefault(link_key(prior), (prior, set()))[1].add(request_id)
        return list(found.values())

    def taken_in(self, wanted: set[str]) -> set[str] | None:
        """Return what a takeover takes of the requests, None if it isn't known."""
        present = {each for each in wanted if each in self.records}
        has_priors = any(self.records[each].record.priors for each in present)
        return present if self.is_granted and not has_priors else None


@dataclass(frozen=True, slots=True)
class _Ended:
    """A link that isn't held any more: dropped, or taken over with requests."""

    is_taken: bool = False
    request_ids: tuple[str, ...] = ()


class HeldRecords:
    """All links on which this host is the second."""

    def __init__(
        self,
        incarnation: int,
        timers: Timers,
        decisions: LinkDecisions,
        taken: TakenLists,
    ):
        self._incarnation = incarnation
        self._timers = timers
        self._decisions = decisions
        self._taken = taken
        self._links: dict[LinkKey, _HeldLink] = {}
        self._ended: OrderedDict[LinkKey, _Ended] = OrderedDict()

    async def handle_open(
        self, message: journal_pb2.OpenLink, sender: str
    ) -> journal_pb2.LinkOpened:
        """Start to hold a link."""
        key = link_key(message.link)
        if key in self._ended:
            raise Failure(Code.FENCED, "The link has ended.")
        self._links.setdefault(key, _HeldLink(message.link))
        return journal_pb2.LinkOpened(second_incarnation=self._incarnation)

    async def handle_batch(
        self, batch: journal_pb2.JournalBatch, sender: str
    ) -> journal_pb2.JournalAck:
        """Record a batch of an owner."""
        key = link_key(batch.link)
        held = self._links.get(key)
        if held is None or batch.link.second_incarnation != self._incarnation:
            is_taken = self.has_taken(batch.link)
            ack = journal_pb2.JournalAck
            return ack(state=ack.TAKEN if is_taken else ack.UNKNOWN)
        if held.is_deciding:
            raise Failure(Code.NOT_READY, "The link's takeover is being decided.")
        if batch.sequence < held.sequence:
            raise Failure(Code.FENCED, "A later batch was recorded before.")
        if batch.sequence > held.sequence:
            held.sequence = batch.sequence
            held.link = batch.link
            held.ack = self._record(held, batch)
        return held.ack

    async def handle_forget(
        self, message: journal_pb2.ForgetLink, sender: str
    ) -> journal_pb2.LinkForgotten:
        """Forget a link that the agreed log has dropped."""
        held = self._links.get(link_key(message.link))
        if held is None or not held.is_deciding:
            self._end(message.link, _Ended())
        return journal_pb2.LinkForgotten()

    async def handle_list(
        self, message: journal_pb2.ListTaken, sender: str
    ) -> journal_pb2.TakenRequests:
        """Tell the earlier owner of a link what was taken over with it."""
        return self._list_taken(message.link, set(message.request_ids))

    def adopt(self, link: journal_pb2.Link, runs: Iterable[Run]) -> None:
        """Hold runs that another host has taken over, for its first moments."""
        if link_key(link) in self._ended:
            return
        held = self._links.setdefault(link_key(link), _HeldLink(link))
        for run in runs:
            self._store(held, run.to_record())

    def links_due(self, is_gone: Callable[[str, int], bool]) -> list[journal_pb2.Link]:
        """Return the links to take over, as their owner is gone or asked for it."""
        return [
            held.link
            for held in self._links.values()
            if held.is_deciding or is_gone(held.link.owner, held.link.incarnation)
        ]

    def owner_of(self, request_id: str) -> str | None:
        """Return the owner of a request that is held here."""
        for held in self._links.values():
            if request_id in held.records:
                return held.link.owner
        return None

    def has_taken(self, link: journal_pb2.Link) -> bool:
        """Whether this host has taken the link over."""
        return self._ended.get(link_key(link), _Ended()).is_taken

    async def take_over(self, link: journal_pb2.Link) -> list[Run]:
        """Return the runs that this host owns from now on.

        Raise `Failure` if that isn't known; ask again then, as the takeover may
        be granted later.
        """
        held = self._links.get(link_key(link))
        if held is None:
            return []
        held.is_deciding = True
        is_granted = await self._decisions.take_over(held.link, _DECISION_SECONDS)
        held.is_granted = is_granted
        elsewhere = await self._drop_priors(held) if is_granted else {}
        if link_key(link) not in self._links:
            # Another call has ended it.
            return []
        if not is_granted:
            self._end(link, _Ended())
            return []
        records = [
            each.record
            for each in held.records.values()
            if _counts(each.record, elsewhere)
        ]
        ids = tuple(record.request_id for record in records)
        self._end(link, _Ended(is_taken=True, request_ids=ids))
        logging.info("requests: Took over %d requests of %s.", len(ids), link.owner)
        return [Run.from_record(record) for record in records]

    def prune(self, keep_seconds: float) -> None:
        """Forget requests that ended, or whose deadline passed, that long ago."""
        changed_by = self._timers.now() - keep_seconds
        due_by = self._timers.wall() - keep_seconds
        for held in self._links.values():
            if held.is_deciding:
                continue
            for request_id, each in list(held.records.items()):
                is_ended = each.record.outcome and each.updated_at < changed_by
                if is_ended or each.deadline < due_by:
                    del held.records[request_id]

    async def _drop_priors(self, held: _HeldLink) -> dict[LinkKey, set[str]]:
        """Return, by earlier link, the requests that went over with it."""
        taken: dict[LinkKey, set[str]] = {}
        for prior, request_ids in held.ids_by_prior():
            if not await self._decisions.drop(prior, _DECISION_SECONDS):
                taken[link_key(prior)] = await self._ask_taken(prior, request_ids)
        return taken

    async def _ask_taken(self, link: journal_pb2.Link, wanted: set[str]) -> set[str]:
        """Return those of the requests that went over with another link."""
        key = link_key(link)
        if key in self._links or key in self._ended:
            return self._taken.read(self._list_taken(link, wanted), wanted)
        return await self._taken.ask(link, wanted)

    def _list_taken(
        self, link: journal_pb2.Link, wanted: set[str]
    ) -> journal_pb2.TakenRequests:
        answer = journal_pb2.TakenRequests
        key = link_key(link)
        held = self._links.get(key)
        if held is not None:
            taken = held.taken_in(wanted)
            if taken is None:
                return answer(state=answer.DECIDING)
            return answer(state=answer.TAKEN, request_ids=taken)
        ended = self._ended.get(key, _Ended())
        if not ended.is_taken:
            return answer(state=answer.UNKNOWN)
        return answer(state=answer.TAKEN, request_ids=wanted & set(ended.request_ids))

    def _end(self, link: journal_pb2.Link, end: _Ended) -> None:
        key = link_key(link)
        self._links.pop(key, None)
        self._ended.setdefault(key, end)
        if len(self._ended) > _MAX_ENDED:
            self._ended.popitem(last=False)

    def _record(
        self, held: _HeldLink, batch: journal_pb2.JournalBatch
    ) -> journal_pb2.JournalAck:
        ack = journal_pb2.JournalAck()
        for request_id in batch.forgotten:
            held.records.pop(request_id, None)
        for record in batch.records:
            self._store(held, record)
        for checkpoint in batch.checkpoints:
            if not self._advance(held, checkpoint):
                ack.missing.append(checkpoint.request_id)
        return ack

    def _store(self, held: _HeldLink, record: journal_pb2.RequestRecord) -> None:
        facts = msgspec.json.decode(record.request, type=_Facts)
        held.records[record.request_id] = _HeldRecord(
            record, facts.deadline, self._timers.now()
        )

    def _advance(self, held: _HeldLink, step: journal_pb2.Checkpoint) -> bool:
        each = held.records.get(step.request_id)
        if each is None or step.position > len(each.record.tokens):
            return False
        record = each.record
        known = len(record.tokens) - step.position
        record.tokens.extend(step.tokens[known:] if known else step.tokens)
        record.attempt = step.attempt
        record.upstream = step.upstream
        record.is_dispatched = step.is_dispatched
        record.outcome = step.outcome
        if len(record.lost_upstreams) != len(step.lost_upstreams):
            record.ClearField("lost_upstreams")
            record.lost_upstreams.extend(step.lost_upstreams)
        each.updated_at = self._timers.now()
        return True


def _counts(
    record: journal_pb2.RequestRecord, elsewhere: dict[LinkKey, set[str]]
) -> bool:
    """Whether the request didn't go over with one of the record's earlier links."""
    keys = map(link_key, record.priors)
    return not any(record.request_id in elsewhere.get(key, ()) for key in keys)
