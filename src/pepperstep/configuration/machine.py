"""State machine of the replicated configuration.

Changes are applied in the order of the log; the first change of a document from a
given revision wins. An operator's resend of a change gets the first answer again,
from a table of bounded size.
"""

import hashlib
from collections import deque
from collections.abc import Callable, Mapping

from google.protobuf.message import DecodeError

from pepperstep.configuration.changes import ChangeStatus, text_digest
from pepperstep.configuration.documents import merge, parse
from pepperstep.configuration.keys import may_change
from pepperstep.configuration.schema import BASE, Configuration
from pepperstep.configuration.versions import DocumentVersions
from pepperstep.errors import Code, Failure, Finding, InvalidDocument
from pepperstep.proto.configuration_pb2 import (
    ChangeCommand,
    ChangeFinding,
    ChangeRecord,
    ChangeResult,
    ConfigurationState,
    DocumentChange,
    RecordedAnswer,
)
from pepperstep.splices import apply_splices

__all__ = ["MACHINE_NAME", "ConfigurationMachine", "merge_texts"]

# Name under which the machine is registered with the log.
MACHINE_NAME = "configuration"

# Bounds of the answers kept for resends: answers per site, and the number of
# revisions after which an answer is dropped.
_MAX_ANSWERS_PER_SITE = 4096
_MAX_ANSWER_AGE_REVISIONS = 65_536

_MAX_FINDINGS = 50
# Limit for all documents together, so that they fit in one message to a peer.
_MAX_TOTAL_BYTES = 3 * 1024 * 1024


def merge_texts(texts: Mapping[str, str], revision: int) -> Configuration:
    """Return the configuration of documents by name; empty overlays are skipped.

    Raise `InvalidDocument` with all findings.
    """
    documents = []
    findings: list[Finding] = []
    for name, text in sorted(texts.items()):
        if not text and name != BASE:
            continue
        try:
            documents.append(parse(text, name))
        except InvalidDocument as error:
            findings += error.findings
    base = [document for document in documents if document.name == BASE]
    if findings or not base:
        raise InvalidDocument(findings or [Finding(BASE, "document", "is missing")])
    overlays = [document for document in documents if document.name != BASE]
    return merge(base[0], overlays, revision)


class ConfigurationMachine:
    """Replicated state machine of the configuration on a control host.

    `on_change` is called after each accepted change and after a restore.
    """

    def __init__(self, on_change: Callable[[], None] = lambda: None):
        self.on_change = on_change
        self._versions = DocumentVersions()
        self._configuration = Configuration()
        self._changes: dict[str, ChangeRecord] = {}
        self._answers = _AnswerTable()

    @property
    def versions(self) -> DocumentVersions:
        """Texts of the documents at the current revision."""
        return self._versions

    @property
    def configuration(self) -> Configuration:
        """The merged documents."""
        return self._configuration

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a serialized `ChangeCommand`, return a serialized `ChangeResult`."""
        try:
            change = ChangeCommand.FromString(command)
        except DecodeError:
            return _invalid(0, [Finding("", "command", "is damaged")])
        recorded = self._answers.find(change)
        if recorded is not None:
            return recorded
        result = self._decide(change)
        self._answers.record(change, result, self._versions.revision)
        if result.status == ChangeStatus.ACCEPTED:
            self.on_change()
        return result.SerializeToString()

    def snapshot(self) -> bytes:
        """Return the state as a serialized `ConfigurationState`."""
        state = ConfigurationState(
            revision=self._versions.revision,
            texts=self._versions.changed_texts(),
            answers=self._answers.records(),
        )
        for name, record in sorted(self._changes.items()):
            state.changes.append(DocumentChange(name=name, record=record))
        return state.SerializeToString()

    def restore(self, data: bytes) -> None:
        """Restore the state of a snapshot.

        Raise `Failure` with `CORRUPT_STORAGE` if the snapshot can't be decoded.
        """
        try:
            state = ConfigurationState.FromString(data)
        except DecodeError as error:
            text = "The configuration's snapshot can't be read."
            raise Failure(Code.CORRUPT_STORAGE, text) from error
        self._versions.restore(state.revision, state.texts)
        self._changes = {change.name: change.record for change in state.changes}
        self._answers = _AnswerTable(state.answers)
        self._configuration = Configuration()
        if state.revision:
            self._configuration = merge_texts(self._texts(), state.revision)
        self.on_change()

    def _decide(self, change: ChangeCommand) -> ChangeResult:
        revision = self._versions.revision
        if not self._is_authorized(change):
            return ChangeResult(status=ChangeStatus.FORBIDDEN, revision=revision)
        record = self._changes.get(change.document, ChangeRecord())
        if _has_same_content(change, record):
            return ChangeResult(
                status=ChangeStatus.ACCEPTED, revision=record.revision, winner=record
            )
        if not record.revision <= change.from_revision <= revision:
            return ChangeResult(
                status=ChangeStatus.CONFLICT, revision=revision, winner=record
            )
        try:
            return self._accept(change, self._text_of(change))
        except InvalidDocument as error:
            return _invalid_result(revision, error.findings)

    def _is_authorized(self, change: ChangeCommand) -> bool:
        if not self._versions.revision:
            return change.document == BASE
        return may_change(
            self._configuration, change.operator, change.site, change.document
        )

    def _text_of(self, change: ChangeCommand) -> str:
        if change.WhichOneof("content") == "text":
            text = change.text
        else:
            text = self._splice_text(change)
        if text is None or text_digest(text) != change.digest:
            fault = "is not what was sent"
            raise InvalidDocument([Finding(change.document, "document", fault)])
        return text

    def _splice_text(self, change: ChangeCommand) -> str | None:
        """Return the changed text, None if the splice doesn't fit the last text."""
        last = self._versions.text_of(change.document)
        try:
            return apply_splices(last, [change.splice])
        except ValueError:
            return None

    def _accept(self, change: ChangeCommand, text: str) -> ChangeResult:
        texts = {**self._texts(), change.document: text}
        if sum(len(value.encode()) for value in texts.values()) > _MAX_TOTAL_BYTES:
            fault = f"makes all documents longer than {_MAX_TOTAL_BYTES} bytes"
            raise InvalidDocument([Finding(change.document, "document", fault)])
        configuration = merge_texts(texts, self._versions.revision + 1)
        if change.document == BASE:
            _check_operator_keeps_access(configuration, change.operator)
        revision = self._versions.put(change.document, text)
        self._configuration = configuration
        self._changes[change.document] = ChangeRecord(
            revision=revision,
            from_revision=change.from_revision,
            change_id=change.change_id,
            operator=change.operator,
            digest=change.digest,
        )
        return ChangeResult(status=ChangeStatus.ACCEPTED, revision=revision)

    def _texts(self) -> dict[str, str]:
        return {name: version.text for name, version in self._versions.texts.items()}


class _AnswerTable:
    """Answers to the last changes of each site, for idempotent resends."""

    def __init__(self, records: list[RecordedAnswer] = ()):
        self._records: dict[tuple[str, str], RecordedAnswer] = {}
        # Keys of the records by site, oldest first.
        self._keys_by_site: dict[str, deque[tuple[str, str]]] = {}
        for record in records:
            self._add(record)

    def find(self, change: ChangeCommand) -> bytes | None:
        """Return the recorded answer to a change, None for a new change.

        The answer is `ID_REUSED` if the id belongs to another change.
        """
        record = self._records.get((change.operator, change.change_id))
        if record is None:
            return None
        if record.digest == _change_digest(change):
            return record.result
        result = ChangeResult(status=ChangeStatus.ID_REUSED, revision=record.revision)
        return result.SerializeToString()

    def record(
        self, change: ChangeCommand, result: ChangeResult, revision: int
    ) -> None:
        """Record an answer and drop the excess and outdated ones."""
        record = RecordedAnswer(
            site=change.site,
            operator=change.operator,
            change_id=change.change_id,
            digest=_change_digest(change),
            revision=revision,
            result=result.SerializeToString(),
        )
        self._add(record)
        for site in sorted(self._keys_by_site):
            self._prune(site, revision)

    def records(self) -> list[RecordedAnswer]:
        """Return all recorded answers, oldest first within each site."""
        return [
            self._records[key]
            for site in sorted(self._keys_by_site)
            for key in self._keys_by_site[site]
        ]

    def _add(self, record: RecordedAnswer) -> None:
        key = (record.operator, record.change_id)
        self._records[key] = record
        self._keys_by_site.setdefault(record.site, deque()).append(key)

    def _prune(self, site: str, revision: int) -> None:
        keys = self._keys_by_site[site]
        while keys and self._is_expired(keys, revision):
            del self._records[keys.popleft()]
        if not keys:
            del self._keys_by_site[site]

    def _is_expired(self, keys: deque[tuple[str, str]], revision: int) -> bool:
        oldest = self._records[keys[0]].revision
        return (
            len(keys) > _MAX_ANSWERS_PER_SITE
            or revision - oldest > _MAX_ANSWER_AGE_REVISIONS
        )


def _change_digest(change: ChangeCommand) -> bytes:
    """Return a hash that is equal for resends, whether as a text or a splice."""
    parts = (change.document, str(change.from_revision), change.site)
    digest = hashlib.sha256("\0".join(parts).encode())
    digest.update(change.digest)
    return digest.digest()


def _has_same_content(change: ChangeCommand, record: ChangeRecord) -> bool:
    """Return whether the change equals the last committed one except for its id."""
    return (
        record.revision > 0
        and change.from_revision == record.from_revision
        and change.digest == record.digest
    )


def _check_operator_keeps_access(configuration: Configuration, operator: str) -> None:
    entry = configuration.operators.get(operator)
    if entry is None or not entry.may_change_base:
        text = f"{operator or 'the operator'} could not change the base any more"
        raise InvalidDocument([Finding(BASE, "operators", text)])


def _invalid(revision: int, findings: list[Finding]) -> bytes:
    return _invalid_result(revision, findings).SerializeToString()


def _invalid_result(revision: int, findings: list[Finding]) -> ChangeResult:
    return ChangeResult(
        status=ChangeStatus.INVALID,
        revision=revision,
        findings=[
            ChangeFinding(file=found.file, path=found.path, text=found.text)
            for found in findings[:_MAX_FINDINGS]
        ],
    )
