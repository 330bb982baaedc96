"""Changes of a document and the answers to them."""

import enum
import hashlib
from dataclasses import dataclass

from pepperstep.configuration.documents import MAX_DOCUMENT_BYTES
from pepperstep.errors import Code, Failure, Finding
from pepperstep.proto import configuration_pb2
from pepperstep.splices import Splice, make_splice

__all__ = [
    "Change",
    "ChangeAnswer",
    "ChangeStatus",
    "Winner",
    "decode_answer",
    "encode_change",
    "splice_to_message",
    "text_digest",
]

_MAX_NAME_LENGTH = 200
_MAX_REVISION = 2**63


class ChangeStatus(enum.StrEnum):
    """Result status of a change."""

    # Committed; active on all hosts within seconds.
    ACCEPTED = "accepted"
    # Another change was committed first, or `from_revision` is in the future.
    CONFLICT = "conflict"
    # The documents would not be valid in combination.
    INVALID = "invalid"
    # The operator may not change this document.
    FORBIDDEN = "forbidden"
    # The operator has used the change id for another change.
    ID_REUSED = "id_reused"


@dataclass(frozen=True, slots=True)
class Change:
    """A document's new text, as sent by an operator.

    `change_id` is unique per operator; a resend has the same id.
    """

    change_id: str
    # "base", or the name of a site for its overlay.
    document: str
    # Complete text; "" removes an overlay.
    text: str
    # Revision at which the operator read the document, 0 for none.
    from_revision: int
    operator: str
    # Site of the operator, "" for an operator of the base.
    site: str


@dataclass(frozen=True, slots=True)
class Winner:
    """The committed change that conflicts with a refused one."""

    revision: int
    change_id: str
    operator: str


@dataclass(frozen=True, slots=True)
class ChangeAnswer:
    """Result of a change, the same for each resend."""

    status: ChangeStatus
    # Revision that the change created, or the one at which it was refused.
    revision: int
    winner: Winner | None = None
    findings: tuple[Finding, ...] = ()

    @property
    def is_accepted(self) -> bool:
        """Whether the change was committed."""
        return self.status == ChangeStatus.ACCEPTED


def text_digest(text: str) -> bytes:
    """Return the SHA-256 of a document's text."""
    return hashlib.sha256(text.encode()).digest()


def encode_change(change: Change, last_text: str | None = None) -> bytes:
    """Return the log command for `change`.

    With `last_text`, the document's text at `from_revision`, the command contains
    only the difference. Raise `Failure` with `INVALID_REQUEST` for a malformed
    change and with `BODY_TOO_LARGE` for one that is too long for the log.
    """
    _check(change)
    command = configuration_pb2.ChangeCommand(
        change_id=change.change_id,
        document=change.document,
        from_revision=change.from_revision,
        operator=change.operator,
        site=change.site,
        digest=text_digest(change.text),
    )
    if last_text is None:
        command.text = change.text
    else:
        command.splice.CopyFrom(splice_to_message(make_splice(last_text, change.text)))
    return command.SerializeToString()


def splice_to_message(splice: Splice[str]) -> configuration_pb2.Splice:
    """Return the message for a splice of a document's text."""
    return configuration_pb2.Splice(
        start=splice.start, removed=splice.removed, inserted=splice.inserted
    )


def decode_answer(data: bytes) -> ChangeAnswer:
    """Return the answer encoded in a command's result."""
    result = configuration_pb2.ChangeResult.FromString(data)
    winner = None
    if result.HasField("winner"):
        record = result.winner
        winner = Winner(record.revision, record.change_id, record.operator)
    findings = tuple(
        Finding(found.file, found.path, found.text) for found in result.findings
    )
    return ChangeAnswer(ChangeStatus(result.status), result.revision, winner, findings)


def _check(change: Change) -> None:
    for name in ("change_id", "document", "operator"):
        if not 0 < len(getattr(change, name)) <= _MAX_NAME_LENGTH:
            text = f"`{name}` must have 1 to {_MAX_NAME_LENGTH} characters."
            raise Failure(Code.INVALID_REQUEST, text)
    if not 0 <= change.from_revision <= _MAX_REVISION:
        raise Failure(Code.INVALID_REQUEST, "`from_revision` is out of range.")
    try:
        fields = (change.change_id, change.document, change.operator, change.site)
        size = len("".join((*fields, change.text)).encode())
    except UnicodeEncodeError as error:
        text = "The change holds what is no Unicode text."
        raise Failure(Code.INVALID_REQUEST, text) from error
    if size > MAX_DOCUMENT_BYTES:
        text = f"The document is longer than {MAX_DOCUMENT_BYTES} bytes."
        raise Failure(Code.BODY_TOO_LARGE, text)
