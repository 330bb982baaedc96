"""Headers by which callers, hosts and upstreams describe a request."""

from dataclasses import dataclass
from typing import Protocol

from pepperstep.errors import Failure
from pepperstep.ports.exchange import Answer, AnswerHead, Header, RequestHead

__all__ = ["AnswerFacts", "Forwarding", "PromptPart", "RequestFacts", "RelayWire"]


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A section of a prompt that several requests may share as a prefix."""

    id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class RequestFacts:
    """Headers of a caller's request, decoded."""

    # Identifies one attempt of the caller.
    attempt_id: bytes
    # Seconds for which the caller waits, None if not stated.
    wait: float | None = None
    # API key of a workspace, "" for none.
    key: str = ""
    prompt_tokens: int = 0
    # Maximum number of tokens in the answer.
    answer_tokens: int = 0
    # Whether the caller stated both `prompt_tokens` and `answer_tokens`.
    has_tokens: bool = False
    # Number of answer tokens that the caller expects, 0 if not stated.
    expected_tokens: int = 0
    # In the order of the prompt; the last part is unique to the request.
    prompt_parts: tuple[PromptPart, ...] = ()
    # Event after which a stream resumes, b"" to start at its beginning.
    last_event_id: bytes = b""
    # Caller's attempt that brought the first event of the stream, b"" if not stated.
    resumes: bytes = b""


@dataclass(frozen=True, slots=True)
class Forwarding:
    """Headers that a host adds to a request before sending it to an upstream."""

    # Instance of the upstream that the request is meant for.
    upstream: str
    # Seconds for which the caller waits for the answer.
    wait: float
    # Workspace of the caller, "" on public routes.
    workspace: str = ""
    # Event after which a stream resumes, b"" to keep the caller's value.
    last_event_id: bytes = b""
    # 0 is the most urgent, None lets the upstream choose.
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class AnswerFacts:
    """Headers of an upstream's answer, decoded."""

    # The request's attempt id, echoed by the upstream, b"" if missing.
    attempt_id: bytes
    # Whether the upstream states that it hasn't run the request.
    was_refused: bool
    # Instance of the upstream at this address, if the request named another one.
    other_upstream: str = ""
    # Keep-alive timeout of idle connections in seconds, 0 if not stated.
    keep_seconds: float = 0.0
    # Whether the upstream closes the connection after this answer.
    closes: bool = False
    # Seconds until a refused request may be retried, 0 if not stated.
    retry_after: float = 0.0
    # Requests per second that the upstream accepts from all hosts together, None for
    # no limit.
    rate_limit: float | None = None
    # Whether the upstream is about to stop.
    is_leaving: bool = False


class RelayWire(Protocol):
    """Reads and writes the headers of relayed requests."""

    def read_request(self, head: RequestHead) -> RequestFacts:
        """Decode the headers of a caller's request.

        Raise `Failure` with `INVALID_REQUEST` for malformed headers.
        """

    def write_request(self, head: RequestHead, forwarding: Forwarding) -> RequestHead:
        """Return the request head to send to the upstream."""

    def write_forwarded(
        self, head: RequestHead, wait: float, last_event_id: bytes
    ) -> RequestHead:
        """Return the request head to send to another entry host.

        `wait` is the caller's timeout that is left, in seconds. `last_event_id` is the
        event after which a stream resumes, b"" to keep the caller's value.
        """

    def read_answer(self, head: AnswerHead) -> AnswerFacts:
        """Decode the headers of an upstream's answer."""

    def write_answer(self, head: AnswerHead, is_framed: bool) -> tuple[Header, ...]:
        """Return the headers to send to the caller.

        With `is_framed`, the upstream's Content-Length is omitted.
        """

    def write_failure(self, failure: Failure, attempt_id: bytes) -> Answer:
        """Return the error answer for a request that failed."""
