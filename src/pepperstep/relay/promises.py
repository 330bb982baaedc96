"""Statuses which promise a caller that its request hasn't run and never will.

To a host, such a status proves nothing: an upstream may answer with any status after it
has run a request. An upstream that hasn't run it states so, and an entry host that
refuses a forwarded request itself marks its answer.
"""

from pepperstep.ports.exchange import Answer, AnswerHead

__all__ = ["has_mark", "is_promise", "mark_refused", "without_mark"]

_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# Header of a host's own refusal of a request that another entry host forwarded.
_MARK = b"forwarded-refused"


def is_promise(status: int) -> bool:
    """Whether callers take a status for the promise."""
    return status in _NOT_RUN_STATUSES


def mark_refused(answer: Answer) -> Answer:
    """Return a host's own refusal with its mark for the forwarding host."""
    headers = (*answer.headers, (_MARK, b"1"))
    return Answer(answer.status, answer.body, headers)


def has_mark(head: AnswerHead) -> bool:
    """Whether the answering host has refused the request itself."""
    return bool(head.first(_MARK))


def without_mark(head: AnswerHead) -> AnswerHead:
    """Return the head of an answer without the mark, which only hosts may set."""
    headers = tuple(each for each in head.headers if each[0] != _MARK)
    return AnswerHead(head.status, headers)
