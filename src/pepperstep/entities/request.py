"""Requests of callers and their outcomes."""

import enum
from dataclasses import dataclass

from pepperstep.entities.upstream import ModelKey
from pepperstep.errors import Code, Execution

__all__ = ["Outcome", "Priority", "Request", "RequestKind", "ServiceAnswer"]


class Priority(enum.IntEnum):
    """Priority class of a request; lower numbers are served first."""

    INTERACTIVE = 0
    STANDARD = 1
    BATCH = 2


class RequestKind(enum.StrEnum):
    """API through which a request is answered."""

    CHAT = "chat"
    COMPLETION = "completion"
    SERVICE = "service"


@dataclass(frozen=True, slots=True)
class Request:
    """An accepted request, complete enough for a second host to finish it."""

    id: str
    workspace: str
    kind: RequestKind
    # Deployment or service that the caller requested.
    target: str
    priority: Priority
    # Unix time in seconds.
    deadline: float
    is_repeatable: bool = True
    idempotency_key: str = ""
    # Hash of the request's content, equal for equal content.
    fingerprint: str = ""
    # For engines.
    model_key: ModelKey = ModelKey("")
    prompt: str = ""
    max_tokens: int = 16
    seed: int = 0
    # For plain services.
    method: str = ""
    path: str = ""
    content_type: str = ""
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class ServiceAnswer:
    """Complete answer of a plain service."""

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Outcome:
    """Final state of a request: answered, or failed with a code."""

    # "stop" or "length" for engines, "" otherwise.
    finish: str = ""
    service: ServiceAnswer | None = None
    code: Code | None = None
    text: str = ""
    execution: Execution = Execution.NOT_RUN
    # Seconds after which a retry makes sense, None if it never does.
    retry_after: float | None = None

    @property
    def is_answered(self) -> bool:
        """Whether the request has a complete answer."""
        return self.code is None
