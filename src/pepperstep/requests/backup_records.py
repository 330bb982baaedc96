"""Request records that this host keeps as the backup for their owners."""

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
from pepperstep.requests.takeovers import TakeoverQueries

__all__ = ["BackupRecords"]

_DECISION_TIMEOUT_SECONDS = 2.0
# Ended links are remembered so that a delayed message can't revive them.
_MAX_ENDED_LINKS = 20_000


class _RequestFields(msgspec.Struct):
    """The fields of an encoded request that a backup host reads."""

    deadline: float


@dataclass(slots=True)
class _BackupRecord:
    """A record with the request's deadline (Unix time) and its last change.

    `updated_at` is a monotonic time.
    """

    record: journal_pb2.RequestRecord
    deadline: float
    updated_at: float


class _BackupLink:
    """The records of one link, by request id."""

    def __init__(self, link: journal_pb2.Link):
        self.link = link
        # Whether a takeover was proposed, so that it may be granted at any time.
        self.is_takeover_pending = False
        self.is_granted = False
        self.sequence = 0
        self.ack = journal_pb2.JournalAck()
        self.records: dict[str, _BackupRecord] = {}

    def request_ids_by_prior_link(self) -> list[tuple[journal_pb2.Link, set[str]]]:
        """Return the prior links of the records, each with its request ids."""
        found: dict[LinkKey, tuple[journal_pb2.Link, set[str]]] = {}
        for request_id, entry in self.records.items():
            for prior in entry.record.priors:
                found.setdefault(link_key(prior), (prior, set()))[1].add(request_id)
        return list(found.values())

    def taken_over(self, wanted: set[str]) -> set[str] | None:
        """Return the requests that a takeover covers, or None while undecided."""
        present = {entry for entry in wanted if entry in self.records}
        has_priors = any(self.records[entry].record.priors for entry in present)
        return present if self.is_granted and not has_priors else None


@dataclass(frozen=True, slots=True)
class _EndedLink:
    """A link that is no longer kept: dropped, or taken over with its requests."""

    is_taken: bool = False
    request_ids: tuple[str, ...] = ()


class BackupRecords:
    """All links for which this host is the backup."""

    def __init__(
        self,
        incarnation: int,
        timers: Timers,
        decisions: LinkDecisions,
        takeovers: TakeoverQueries,
    ):
        self._incarnation = incarnation
        self._timers = timers
        self._decisions = decisions
        self._takeovers = takeovers
        self._links: dict[LinkKey, _BackupLink] = {}
        self._ended: OrderedDict[LinkKey, _EndedLink] = OrderedDict()

    async def handle_open(
        self, message: journal_pb2.OpenLink, sender: str
    ) -> journal_pb2.LinkOpened:
        """Start keeping records for a link."""
        key = link_key(message.link)
        if key in self._ended:
            raise Failure(Code.FENCED, "The link has ended.")
        self._links.setdefault(key, _BackupLink(message.link))
        return journal_pb2.LinkOpened(second_incarnation=self._incarnation)

    async def handle_batch(
        self, batch: journal_pb2.JournalBatch, sender: str
    ) -> journal_pb2.JournalAck:
        """Apply a batch of changes from an owner."""
        key = link_key(batch.link)
        backup = self._links.get(key)
        if backup is None or batch.link.second_incarnation != self._incarnation:
            is_taken = self.has_taken_over(batch.link)
            ack = journal_pb2.JournalAck
            return ack(state=ack.TAKEN if is_taken else ack.UNKNOWN)
        if backup.is_takeover_pending:
            raise Failure(Code.NOT_READY, "The link's takeover is being decided.")
        if batch.sequence < backup.sequence:
            raise Failure(Code.FENCED, "A later batch was recorded before.")
        if batch.sequence > backup.sequence:
            backup.sequence = batch.sequence
            backup.link = batch.link
            backup.ack = self._apply_batch(backup, batch)
        return backup.ack

    async def handle_forget(
        self, message: journal_pb2.ForgetLink, sender: str
    ) -> journal_pb2.LinkForgotten:
        """Remove a link that the replicated log has dropped."""
        backup = self._links.get(link_key(message.link))
        if backup is None or not backup.is_takeover_pending:
            self._end(message.link, _EndedLink())
        return journal_pb2.LinkForgotten()

    async def handle_list(
        self, message: journal_pb2.ListTaken, sender: str
    ) -> journal_pb2.TakenRequests:
        """Tell a link's previous owner which of its requests were taken over."""
        return self._list_taken(message.link, set(message.request_ids))

    def add_runs(self, link: journal_pb2.Link, runs: Iterable[Run]) -> None:
        """Keep runs that another host has just taken over from this one."""
        if link_key(link) in self._ended:
            return
        backup = self._links.setdefault(link_key(link), _BackupLink(link))
        for run in runs:
            self._store_record(backup, run.to_record())

    def links_to_take_over(
        self, is_gone: Callable[[str, int], bool]
    ) -> list[journal_pb2.Link]:
        """Return links whose owner is gone or whose takeover is pending."""
        return [
            backup.link
            for backup in self._links.values()
            if backup.is_takeover_pending
            or is_gone(backup.link.owner, backup.link.incarnation)
        ]

    def owner_of(self, request_id: str) -> str | None:
        """Return the owner of a request that this host backs up, else None."""
        for backup in self._links.values():
            if request_id in backup.records:
                return backup.link.owner
        return None

    def has_taken_over(self, link: journal_pb2.Link) -> bool:
        """Whether this host has taken over the link."""
        return self._ended.get(link_key(link), _EndedLink()).is_taken

    async def take_over(self, link: journal_pb2.Link) -> list[Run]:
        """Take over a link and return the runs that this host now owns.

        Raise `Failure` if the decision isn't known; call again then, as the takeover
        may still be granted.
        """
        backup = self._links.get(link_key(link))
        if backup is None:
            return []
        backup.is_takeover_pending = True
        is_granted = await self._decisions.take_over(
            backup.link, _DECISION_TIMEOUT_SECONDS
        )
        backup.is_granted = is_granted
        taken_elsewhere = await self._drop_prior_links(backup) if is_granted else {}
        if link_key(link) not in self._links:
            # A concurrent call has ended the link.
            return []
        if not is_granted:
            self._end(link, _EndedLink())
            return []
        records = [
            entry.record
            for entry in backup.records.values()
            if _is_owned(entry.record, taken_elsewhere)
        ]
        ids = tuple(record.request_id for record in records)
        self._end(link, _EndedLink(is_taken=True, request_ids=ids))
        logging.info("requests: Took over %d requests from %s.", len(ids), link.owner)
        return [Run.from_record(record) for record in records]

    def prune(self, keep_seconds: float) -> None:
        """Remove requests that ended or expired more than `keep_seconds` ago."""
        changed_before = self._timers.now() - keep_seconds
        expired_before = self._timers.wall() - keep_seconds
        for backup in self._links.values():
            if backup.is_takeover_pending:
                continue
            for request_id, entry in list(backup.records.items()):
                is_ended = entry.record.outcome and entry.updated_at < changed_before
                if is_ended or entry.deadline < expired_before:
                    del backup.records[request_id]

    async def _drop_prior_links(self, backup: _BackupLink) -> dict[LinkKey, set[str]]:
        """Return, by prior link, the requests that were taken over with it."""
        taken: dict[LinkKey, set[str]] = {}
        for prior, request_ids in backup.request_ids_by_prior_link():
            if not await self._decisions.drop(prior, _DECISION_TIMEOUT_SECONDS):
                taken[link_key(prior)] = await self._query_taken(prior, request_ids)
        return taken

    async def _query_taken(self, link: journal_pb2.Link, wanted: set[str]) -> set[str]:
        """Return those of the requests that were taken over with another link."""
        key = link_key(link)
        if key in self._links or key in self._ended:
            return self._takeovers.read(self._list_taken(link, wanted), wanted)
        return await self._takeovers.ask(link, wanted)

    def _list_taken(
        self, link: journal_pb2.Link, wanted: set[str]
    ) -> journal_pb2.TakenRequests:
        answer = journal_pb2.TakenRequests
        key = link_key(link)
        backup = self._links.get(key)
        if backup is not None:
            taken = backup.taken_over(wanted)
            if taken is None:
                return answer(state=answer.DECIDING)
            return answer(state=answer.TAKEN, request_ids=taken)
        ended = self._ended.get(key, _EndedLink())
        if not ended.is_taken:
            return answer(state=answer.UNKNOWN)
        return answer(state=answer.TAKEN, request_ids=wanted & set(ended.request_ids))

    def _end(self, link: journal_pb2.Link, end: _EndedLink) -> None:
        key = link_key(link)
        self._links.pop(key, None)
        self._ended.setdefault(key, end)
        if len(self._ended) > _MAX_ENDED_LINKS:
            self._ended.popitem(last=False)

    def _apply_batch(
        self, backup: _BackupLink, batch: journal_pb2.JournalBatch
    ) -> journal_pb2.JournalAck:
        ack = journal_pb2.JournalAck()
        for request_id in batch.forgotten:
            backup.records.pop(request_id, None)
        for record in batch.records:
            self._store_record(backup, record)
        for checkpoint in batch.checkpoints:
            if not self._apply_checkpoint(backup, checkpoint):
                ack.missing.append(checkpoint.request_id)
        return ack

    def _store_record(
        self, backup: _BackupLink, record: journal_pb2.RequestRecord
    ) -> None:
        fields = msgspec.json.decode(record.request, type=_RequestFields)
        backup.records[record.request_id] = _BackupRecord(
            record, fields.deadline, self._timers.now()
        )

    def _apply_checkpoint(
        self, backup: _BackupLink, checkpoint: journal_pb2.Checkpoint
    ) -> bool:
        entry = backup.records.get(checkpoint.request_id)
        if entry is None or checkpoint.position > len(entry.record.tokens):
            return False
        record = entry.record
        known_count = len(record.tokens) - checkpoint.position
        record.tokens.extend(
            checkpoint.tokens[known_count:] if known_count else checkpoint.tokens
        )
        record.attempt = checkpoint.attempt
        record.upstream = checkpoint.upstream
        record.is_dispatched = checkpoint.is_dispatched
        record.outcome = checkpoint.outcome
        if len(record.lost_upstreams) != len(checkpoint.lost_upstreams):
            record.ClearField("lost_upstreams")
            record.lost_upstreams.extend(checkpoint.lost_upstreams)
        entry.updated_at = self._timers.now()
        return True


def _is_owned(
    record: journal_pb2.RequestRecord, taken_elsewhere: dict[LinkKey, set[str]]
) -> bool:
    """Whether the request was not taken over with one of its prior links."""
    keys = map(link_key, record.priors)
    return not any(record.request_id in taken_elsewhere.get(key, ()) for key in keys)
