"""Differences between two texts, as one stretch replaced by another."""

from pepperstep.proto.configuration_pb2 import Splice

__all__ = ["apply_splice", "make_splice"]


def make_splice(old: str, new: str) -> Splice:
    """Return the splice that turns `old` into `new`."""
    shorter = min(len(old), len(new))
    start = _common_prefix(old, new, shorter)
    left = shorter - start
    tail = _common_suffix(old, new, left)
    return Splice(
        start=start,
        removed=len(old) - tail - start,
        inserted=new[start : len(new) - tail],
    )


def apply_splice(old: str, splice: Splice) -> str:
    """Return `old` with the splice's stretch replaced."""
    return old[: splice.start] + splice.inserted + old[splice.start + splice.removed :]


def _common_prefix(old: str, new: str, limit: int) -> int:
    low, high = 0, limit
    while low < high:
        middle = (low + high + 1) // 2
        if old[low:middle] == new[low:middle]:
            low = middle
        else:
            high = middle - 1
    return low


def _common_suffix(old: str, new: str, limit: int) -> int:
    low, high = 0, limit
    while low < high:
        middle = (low + high + 1) // 2
        if old[len(old) - middle :] == new[len(new) - middle :]:
            low = middle
        else:
            high = middle - 1
    return low
