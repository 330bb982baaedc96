"""What callers and upstreams say of a request in their headers."""

from dataclasses import dataclass
from typing import Protocol

from pepperstep.errors import Failure
from pepperstep.ports.exchange import Answer, AnswerHead, Header, RequestHead

__all__ = ["AnswerFacts", "Forwarding", "PromptPart", "RequestFacts", "RelayWire"]


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A piece of a prompt that several requests may begin with."""

    id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class RequestFacts:
    """What a caller says of its request."""

    # Names one try of the caller.
    attempt_id: bytes
    # Seconds for which the caller waits, None if it doesn't say.
    wait: float | None = None
    # Key of a workspace, "" for none.
    key: str = ""
    prompt_tokens: int = 0
    # Most tokens that the answer may have.
    answer_tokens: int = 0
    # Whether the caller has stated both.
    has_tokens: bool = False
    # Tokens that the caller expects of the answer, 0 if it doesn't say.
    expected_tokens: int = 0
    # From the prompt's beginning on; the last is the request's own.
    prompt_parts: tuple[PromptPart, ...] = ()
    # Event after which a stream goes on, b"" for its beginning.
    last_event_id: bytes = b""


@dataclass(frozen=True, slots=True)
class Forwarding:
    """What this system says of a request to an upstream."""

    # Start of the upstream that the request is meant for.
    upstream: str
    # Seconds for which the answer is of use.
    wait: float
    # Workspace of the caller, "" on public routes.
    workspace: str = ""
    # Event after which a stream goes on, b"" for what the caller said.
    last_event_id: bytes = b""
    # 0 is the most urgent, None for the upstream's own choice.
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class AnswerFacts:
    """What an upstream says of its answer."""

    # Echo of the request's, b"" if there is none.
    attempt_id: bytes
    # Whether the upstream states that it hasn't run the request.
    was_refused: bool
    # Start of the upstream that has the address now, if another was meant.
    other_upstream: str = ""
    # Seconds for which an idle connection is kept, 0 if it doesn't say.
    keep_seconds: float = 0.0
    # Whether the connection ends with this answer.
    closes: bool = False
    # Seconds until a refused request may come back, 0 if it doesn't say.
    retry_after: float = 0.0
    # Requests a second that the upstream takes from all hosts together, None for any
    # number.
    rate_limit: float | None = None
    # Whether the upstream is about to end.
    is_leaving: bool = False


class RelayWire(Protocol):
    """Reads and writes the headers of relayed requests."""

    def read_request(self, head: RequestHead) -> RequestFacts:
        """Return what the caller says.

        Raise `Failure` with `INVALID_REQUEST` for headers with faults.
        """

    def write_request(self, head: RequestHead, forwarding: Forwarding) -> RequestHead:
        """Return the head that goes to the upstream."""

    def read_answer(self, head: AnswerHead) -> AnswerFacts:
        """Return what the upstream says."""

    def write_answer(self, head: AnswerHead, is_framed: bool) -> tuple[Header, ...]:
        """Return the headers that go to the caller.

        With `is_framed`, the upstream's length of the body is left out.
        """

    def write_failure(self, failure: Failure, attempt_id: bytes) -> Answer:
        """Return this system's own answer to a request that it gives up."""
