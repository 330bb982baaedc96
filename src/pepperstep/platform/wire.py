"""Conversion of the headers of relayed requests and answers."""

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
# HTTP statuses of failures for requests that haven't run.
_STATUS_NOT_RUN = {
    Code.INVALID_REQUEST: 400,
    Code.BODY_TOO_LARGE: 413,
    Code.UNAUTHORIZED: 401,
    Code.UNKNOWN_NAME: 404,
    Code.OVERLOADED: 429,
}
_STATUS_MAY_HAVE_RUN = {Code.DEADLINE_EXPIRED: 504}
_LEAST_URGENT_PRIORITY = 9
# Larger numbers of tokens count as this many, so that sums of them fit into the fields
# of messages between hosts.
_MAX_TOKENS = 10**9
_NOT_RUN = 503
_MAY_HAVE_RUN = 502


class PlatformWire:
    """Reads and writes the platform's headers."""

    def read_request(self, head: RequestHead) -> RequestFacts:
        """Return the facts stated in the headers of a caller's request."""
        if not head.target.startswith(b"/"):
            raise Failure(Code.INVALID_REQUEST, "The target is no path.")
        values = dict(reversed(head.headers))
        prompt, answer, has_tokens = _parse_token_counts(values.get(names.TOKENS, b""))
        return RequestFacts(
            attempt_id=values.get(names.ATTEMPT, b""),
            wait=_parse_seconds(values.get(names.DEADLINE, b"")),
            key=_parse_key(values.get(names.AUTHORIZATION, b"")),
            prompt_tokens=prompt,
            answer_tokens=answer,
            has_tokens=has_tokens,
            expected_tokens=_parse_tokens(values.get(names.LENGTH_HINT, b"")) or 0,
            prompt_parts=_parse_prompt_parts(values.get(names.PARTS, b"")),
            last_event_id=values.get(names.LAST_EVENT, b""),
            resumes=values.get(names.RESUMES, b""),
        )

    def write_request(self, head: RequestHead, forwarding: Forwarding) -> RequestHead:
        """Return the head to send to the upstream."""
        forwarded = _end_to_end_headers(head)
        headers = [each for each in forwarded if each[0] not in names.RESERVED]
        wait = max(1, int(1000 * forwarding.wait))
        headers.append((names.DEADLINE, b"%d" % wait))
        headers.append((names.EXPECT_REPLICA, forwarding.upstream.encode()))
        if forwarding.workspace:
            headers.append((names.TENANT, forwarding.workspace.encode()))
        if forwarding.priority is not None:
            clamped_priority = min(max(forwarding.priority, 0), _LEAST_URGENT_PRIORITY)
            headers.append((names.PRIORITY, b"%d" % clamped_priority))
        if forwarding.last_event_id:
            headers = [each for each in headers if each[0] != names.LAST_EVENT]
            headers.append((names.LAST_EVENT, forwarding.last_event_id))
        return RequestHead(head.method, head.target, tuple(headers))

    def write_forwarded(
        self, head: RequestHead, wait: float, last_event_id: bytes
    ) -> RequestHead:
        """Return the head to send to another entry host."""
        replaced = {names.DEADLINE}
        headers = [(names.DEADLINE, b"%d" % max(1, int(1000 * wait)))]
        if last_event_id:
            replaced.add(names.LAST_EVENT)
            headers.append((names.LAST_EVENT, last_event_id))
        forwarded = _end_to_end_headers(head)
        kept = [each for each in forwarded if each[0] not in replaced]
        return RequestHead(head.method, head.target, (*kept, *headers))

    def read_answer(self, head: AnswerHead) -> AnswerFacts:
        """Return the facts stated in the headers of an upstream's answer."""
        values = dict(reversed(head.headers))
        return AnswerFacts(
            attempt_id=values.get(names.ANSWERED_REQUEST, b""),
            was_refused=names.NOT_EXECUTED in values,
            other_upstream=values.get(names.REPLICA, b"").decode("latin-1"),
            keep_seconds=_parse_keep_alive(values.get(b"keep-alive", b"")),
            closes=b"close" in values.get(b"connection", b"").lower(),
            retry_after=_parse_decimal(values.get(b"retry-after", b"")),
            is_leaving=values.get(names.SERVER_LEAVING, b"").strip() == _TRUE,
            rate_limit=_parse_rate_limit(values.get(names.SERVER_LIMIT)),
        )

    def write_answer(self, head: AnswerHead, is_framed: bool) -> tuple[Header, ...]:
        """Return the headers to send to the caller."""
        dropped = {b"connection", b"keep-alive", b"transfer-encoding", b"upgrade"}
        if is_framed:
            dropped.add(b"content-length")
        return tuple(each for each in head.headers if each[0] not in dropped)

    def write_failure(self, failure: Failure, attempt_id: bytes) -> Answer:
        """Return the answer to a caller whose request failed."""
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


def _end_to_end_headers(head: RequestHead) -> list[Header]:
    """Return a caller's headers without `Connection` and those that it names.

    `Connection` can't remove headers that requests need. As it isn't forwarded, it
    doesn't remove headers that hosts add, either.
    """
    dropped = {b"connection"}
    for name, value in head.headers:
        if name == b"connection":
            dropped |= {option.strip().lower() for option in value.split(b",")}
    return [
        (name, value)
        for name, value in head.headers
        if name not in dropped
        or name in names.END_TO_END
        or name.startswith(names.PREFIX)
    ]


def _parse_key(value: bytes) -> str:
    text = value.decode("latin-1").strip()
    if text[: len(_BEARER)].lower() != _BEARER:
        return ""
    return text[len(_BEARER) :].strip()


def _parse_seconds(value: bytes) -> float | None:
    """Convert milliseconds to seconds, None if they aren't a number."""
    try:
        return max(0.0, float(value) / 1000)
    except ValueError:
        return None


def _parse_tokens(value: bytes) -> int | None:
    """Return a number of tokens, at most `_MAX_TOKENS`, None if it isn't a number."""
    if not value.isdigit():
        return None
    # Python converts a limited number of digits only.
    digits = value.lstrip(b"0")[: len(str(_MAX_TOKENS)) + 1]
    return min(int(digits or b"0"), _MAX_TOKENS)


def _parse_decimal(value: bytes) -> float:
    """Return a decimal number, 0 if it's invalid or not finite."""
    try:
        number = float(value)
    except ValueError:
        return 0.0
    return max(0.0, number) if math.isfinite(number) else 0.0


def _parse_rate_limit(value: bytes | None) -> float | None:
    """Return a rate limit in requests a second, None if there is none.

    A value that isn't a number is ignored, because its meaning is unknown.
    """
    if value is None:
        return None
    try:
        limit = float(value)
    except ValueError:
        return None
    return max(0.0, limit) if math.isfinite(limit) else None


def _parse_token_counts(value: bytes) -> tuple[int, int, bool]:
    first, _, second = value.partition(b",")
    prompt, answer = _parse_tokens(first.strip()), _parse_tokens(second.strip())
    if prompt is None or answer is None:
        return 0, 0, False
    return prompt, answer, True


def _parse_prompt_parts(value: bytes) -> tuple[PromptPart, ...]:
    parts = []
    for entry in value.split(b","):
        part, _, number = entry.strip().partition(b":")
        tokens = _parse_tokens(number)
        if part and tokens is not None:
            parts.append(PromptPart(part.decode("latin-1"), tokens))
    return tuple(parts)


def _parse_keep_alive(value: bytes) -> float:
    """Return the timeout in a `Keep-Alive` header in seconds, 0 if it's missing."""
    for entry in value.split(b","):
        name, _, number = entry.strip().partition(b"=")
        if name.strip().lower() == b"timeout":
            return _parse_decimal(number)
    return 0.0
