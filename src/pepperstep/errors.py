"""Error codes and exceptions for refused and failed requests.

`Code` identifies the cause, `Execution` states whether the request may have run, and
`Failure` is the exception that carries both to the API that answers the request.
"""

import enum
from dataclasses import dataclass

__all__ = ["Code", "Execution", "Failure", "Finding", "InvalidDocument"]


class Execution(enum.StrEnum):
    """Whether a failed request may have been executed."""

    # No byte of the request reached an upstream that might execute it.
    NOT_RUN = "not_run"
    # The request may have been executed, at least in part.
    MAY_HAVE_RUN = "may_have_run"


class Code(enum.StrEnum):
    """Error codes, as shown to callers and operators and in logs."""

    INVALID_REQUEST = "invalid_request"
    BODY_TOO_LARGE = "body_too_large"
    PROMPT_TOO_LONG = "prompt_too_long"
    UNAUTHORIZED = "unauthorized"
    FORBIDDEN = "forbidden"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_WORKSPACE = "unknown_workspace"
    UNKNOWN_REQUEST = "unknown_request"
    UNKNOWN_NAME = "unknown_name"
    IDEMPOTENCY_CONFLICT = "idempotency_conflict"
    DEADLINE_EXPIRED = "deadline_expired"
    OVERLOADED = "overloaded"
    QUEUE_FULL = "queue_full"
    NO_UPSTREAM = "no_upstream"
    RETRIES_EXHAUSTED = "retries_exhausted"
    CRASHING_REQUEST = "crashing_request"
    UPSTREAM_FAILED = "upstream_failed"
    UPSTREAM_REFUSED = "upstream_refused"
    UPSTREAM_PROTOCOL = "upstream_protocol"
    MAY_HAVE_RUN = "may_have_run"
    CANCELLED = "cancelled"
    NOT_READY = "not_ready"
    DRAINING = "draining"
    NO_QUORUM = "no_quorum"
    NOT_LEADER = "not_leader"
    REVISION_CONFLICT = "revision_conflict"
    INVALID_CONFIGURATION = "invalid_configuration"
    PEER_UNREACHABLE = "peer_unreachable"
    FENCED = "fenced"
    CORRUPT_STORAGE = "corrupt_storage"
    INTERNAL = "internal"


class Failure(Exception):
    """An error with a code, a readable sentence and a delay before a retry.

    `retry_after` is in seconds, None if a retry is of no use.
    """

    def __init__(
        self,
        code: Code,
        text: str,
        *,
        execution: Execution = Execution.NOT_RUN,
        retry_after: float | None = None,
    ):
        super().__init__(f"{code}: {text}")
        self.code = code
        self.text = text
        self.execution = execution
        self.retry_after = retry_after


@dataclass(frozen=True, slots=True)
class Finding:
    """One fault in a document, with its file and key path."""

    file: str
    path: str
    text: str

    def __str__(self) -> str:
        return f"{self.file}: {self.path}: {self.text}"


class InvalidDocument(Failure):
    """An invalid document; `findings` holds all its faults."""

    def __init__(self, findings: list[Finding]):
        lines = "\n".join(str(finding) for finding in findings)
        super().__init__(Code.INVALID_CONFIGURATION, lines)
        self.findings = findings
