"""Statuses which promise a caller that its request hasn't run and never will.

An upstream that has run a request may answer with any status. Only its statement that
it hasn't run the request, or a misdirected one, proves that it hasn't.
"""

__all__ = ["is_promise"]

_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


def is_promise(status: int) -> bool:
    """Whether callers take a status for the promise."""
    return status in _NOT_RUN_STATUSES
