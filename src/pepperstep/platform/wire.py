"""Headers of relayed requests and answers."""

import math

from pepperstep.errors import Code, Execution, Failure
from pepperstep.platform import names
from pepperstep.ports.exchange import Answer, AnswerHead, Header, RequestHead
from pepperstep.ports.relaying import (
    AnswerFacts,
    Forwarding,
    PromptPart,
    RequestFacts,
)

__all__ = ["PlatformWire"]

_BEARER = "bearer "
_TRUE = b"1"
# Statuses of failures where the request hasn't run.
_STATUS_NOT_RUN = {
    Code.INVALID_REQUEST: 400,
    Code.BODY_TOO_LARGE: 413,
    Code.UNAUTHORIZED: 401,
    Code.UNKNOWN_NAME: 404,
    Code.OVERLOADED: 429,
    Code.CRASHING_REQUEST: 400,
}
_STATUS_MAY_HAVE_RUN = {Code.DEADLINE_EXPIRED: 504}
_LEAST_URGENT = 9
_NOT_RUN = 503
_MAY_HAVE_RUN = 502


class PlatformWire:
    """Reads what the platform's callers and upstreams say."""

    def read_request(self, head: RequestHead) -> RequestFacts:
        """Return what the caller says."""
        if not head.target.startswith(b"/"):
            raise Failure(Code.INVALID_REQUEST, "The target is no path.")
        values = dict(reversed(head.headers))
        prompt, answer, has_tokens = _tokens_of(values.get(names.TOKENS, b""))
        return RequestFacts(
            attempt_id=values.get(names.ATTEMPT, b""),
            wait=_seconds_of(values.get(names.DEADLINE, b"")),
            key=_key_of(values.get(names.AUTHORIZATION, b"")),
            prompt_tokens=prompt,
            answer_tokens=answer,
            has_tokens=has_tokens,
            expected_tokens=_number_of(values.get(names.LENGTH_HINT, b"")),
            prompt_parts=_parts_of(values.get(names.PARTS, b"")),
            last_event_id=values.get(names.LAST_EVENT, b""),
        )

    def write_request(self, head: RequestHead, forwarding: Forwarding) -> RequestHead:
        """Return the head that goes to the upstream."""
        headers = [each for each in head.headers if each[0] not in names.RESERVED]
        wait = max(1, int(1000 * forwarding.wait))
        headers.append((names.DEADLINE, b"%d" % wait))
        headers.append((names.EXPECT_REPLICA, forwarding.upstream.encode()))
        if forwarding.workspace:
            headers.append((names.TENANT, forwarding.workspace.encode()))
        if forwarding.priority is not None:
            urgency = min(max(forwarding.priority, 0), _LEAST_URGENT)
            headers.append((names.PRIORITY, b"%d" % urgency))
        if forwarding.last_event_id:
            headers = [each for each in headers if each[0] != names.LAST_EVENT]
            headers.append((names.LAST_EVENT, forwarding.last_event_id))
        return RequestHead(head.method, head.target, tuple(headers))

    def read_answer(self, head: AnswerHead) -> AnswerFacts:
        """Return what the upstream says."""
        values = dict(reversed(head.headers))
        return AnswerFacts(
            attempt_id=values.get(names.ANSWERED_REQUEST, b""),
            was_refused=names.NOT_EXECUTED in values,
            other_upstream=values.get(names.REPLICA, b"").decode("latin-1"),
            keep_seconds=_keep_of(values.get(b"keep-alive", b"")),
            closes=b"close" in values.get(b"connection", b"").lower(),
            retry_after=_decimal_of(values.get(b"retry-after", b"")),
            is_leaving=values.get(names.SERVER_LEAVING, b"").strip() == _TRUE,
            rate_limit=_limit_of(values.get(names.SERVER_LIMIT)),
        )

    def write_answer(self, head: AnswerHead, is_framed: bool) -> tuple[Header, ...]:
        """Return the headers that go to the caller."""
        dropped = {b"connection", b"keep-alive", b"transfer-encoding", b"upgrade"}
        if is_framed:
            dropped.add(b"content-length")
        return tuple(each for each in head.headers if each[0] not in dropped)

    def write_failure(self, failure: Failure, attempt_id: bytes) -> Answer:
        """Return this system's own answer to a request that it gives up."""
        headers: list[Header] = [(b"content-type", b"application/json")]
        if attempt_id:
            headers.append((names.ATTEMPT, attempt_id))
        if failure.execution is Execution.MAY_HAVE_RUN:
            status = _STATUS_MAY_HAVE_RUN.get(failure.code, _MAY_HAVE_RUN)
        else:
            status = _STATUS_NOT_RUN.get(failure.code, _NOT_RUN)
            if failure.retry_after is not None:
                value = b"%.2f" % failure.retry_after
                headers.append((b"retry-after", value))
        body = b'{"error":"%s"}' % failure.code.encode()
        return Answer(status, body, tuple(headers))


def _key_of(value: bytes) -> str:
    text = value.decode("latin-1").strip()
    if text[: len(_BEARER)].lower() != _BEARER:
        return ""
    return text[len(_BEARER) :].strip()


def _seconds_of(value: bytes) -> float | None:
    """Return milliseconds as seconds, None for what is no number."""
    try:
        return max(0.0, float(value) / 1000)
    except ValueError:
        return None


def _number_of(value: bytes) -> int:
    return int(value) if value.isdigit() else 0


def _decimal_of(value: bytes) -> float:
    """Return a decimal number, 0 for what is none or has no end."""
    try:
        number = float(value)
    except ValueError:
        return 0.0
    return max(0.0, number) if math.isfinite(number) else 0.0


def _limit_of(value: bytes | None) -> float | None:
    """Return a limit in requests a second, None where none is named.

    A value that is no number names none: nothing tells what it stands for.
    """
    if value is None:
        return None
    try:
        limit = float(value)
    except ValueError:
        return None
    return max(0.0, limit) if math.isfinite(limit) else None


def _tokens_of(value: bytes) -> tuple[int, int, bool]:
    prompt, _, answer = value.partition(b",")
    prompt, answer = prompt.strip(), answer.strip()
    if not (prompt.isdigit() and answer.isdigit()):
        return 0, 0, False
    return int(prompt), int(answer), True


def _parts_of(value: bytes) -> tuple[PromptPart, ...]:
    parts = []
    for entry in value.decode("latin-1").split(","):
        part, _, tokens = entry.strip().partition(":")
        if part and tokens.isdigit():
            parts.append(PromptPart(part, int(tokens)))
    return tuple(parts)


def _keep_of(value: bytes) -> float:
    """Return the seconds in a `Keep-Alive` header, 0 if there are none."""
    for entry in value.split(b","):
        name, _, number = entry.strip().partition(b"=")
        if name.strip().lower() == b"timeout":
            return _decimal_of(number)
    return 0.0
