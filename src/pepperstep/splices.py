"""Differences between two texts, as a list of replaced ranges."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import AnyStr, Generic, Protocol

__all__ = ["Splice", "SpliceLike", "apply_splices", "make_splice", "make_splices"]

# Documents are compared by pieces that end with this separator, so that each piece is
# an element of a JSON array of objects.
_PIECE_SEPARATOR = b"},"


class SpliceLike(Protocol[AnyStr]):
    """Attributes of a splice that `apply_splices` reads."""

    start: int
    removed: int
    inserted: AnyStr


@dataclass(frozen=True, slots=True)
class Splice(Generic[AnyStr]):
    """Replacement of one range of a text; positions refer to the old text."""

    start: int
    removed: int
    inserted: AnyStr


def make_splice(old: AnyStr, new: AnyStr) -> Splice[AnyStr]:
    """Return a single splice that turns `old` into `new`."""
    shorter = min(len(old), len(new))
    start = _common_prefix(old, new, shorter)
    tail = _common_suffix(old, new, shorter - start)
    return Splice(start, len(old) - tail - start, new[start : len(new) - tail])


def make_splices(old: bytes, new: bytes) -> list[Splice[bytes]]:
    """Return splices, sorted by position, that turn `old` into `new`.

    Pieces that moved towards the start are removed and inserted again.
    """
    splices = []
    for start, end, inserted in _changed_ranges(_split(old), _split(new)):
        splice = make_splice(old[start:end], inserted)
        if splice.removed or splice.inserted:
            at = start + splice.start
            splices.append(Splice(at, splice.removed, splice.inserted))
    return splices


def apply_splices(old: AnyStr, splices: Iterable[SpliceLike[AnyStr]]) -> AnyStr:
    """Return `old` with all splices applied.

    Raise `ValueError` for splices that overlap or exceed the text.
    """
    parts = []
    position = 0
    for splice in splices:
        if splice.start < position or splice.start + splice.removed > len(old):
            raise ValueError(f"A splice doesn't fit at {splice.start}.")
        parts += old[position : splice.start], splice.inserted
        position = splice.start + splice.removed
    parts.append(old[position:])
    return old[:0].join(parts)


def _changed_ranges(
    old: list[bytes], new: list[bytes]
) -> Iterator[tuple[int, int, bytes]]:
    """Yield start and end of each changed range of the old text, and its new bytes."""
    indices = _unique_indices(old)
    index = offset = start = 0
    inserted: list[bytes] = []
    for piece in new:
        target = _find_piece(old, indices, index, piece)
        if target is None:
            inserted.append(piece)
            continue
        skipped = sum(map(len, old[index:target]))
        if inserted or skipped:
            yield start, offset + skipped, b"".join(inserted)
            inserted.clear()
        offset += skipped + len(piece)
        start = offset
        index = target + 1
    yield start, offset + sum(map(len, old[index:])), b"".join(inserted)


def _unique_indices(pieces: list[bytes]) -> dict[bytes, int]:
    """Return the index of each piece that occurs exactly once.

    A repeated piece doesn't identify the index at which the texts match again.
    """
    indices: dict[bytes, int] = {}
    repeated = set()
    for index, piece in enumerate(pieces):
        if indices.setdefault(piece, index) != index:
            repeated.add(piece)
    for piece in repeated:
        del indices[piece]
    return indices


def _find_piece(
    old: list[bytes], indices: dict[bytes, int], index: int, piece: bytes
) -> int | None:
    """Return the index of `piece` in `old` from `index` on, None if it's inserted."""
    if index < len(old) and old[index] == piece:
        return index
    found = indices.get(piece, -1)
    return found if found > index else None


def _split(data: bytes) -> list[bytes]:
    *pieces, last = data.split(_PIECE_SEPARATOR)
    return [piece + _PIECE_SEPARATOR for piece in pieces] + [last]


def _common_prefix(old: AnyStr, new: AnyStr, limit: int) -> int:
    low, high = 0, limit
    while low < high:
        middle = (low + high + 1) // 2
        if old[low:middle] == new[low:middle]:
            low = middle
        else:
            high = middle - 1
    return low


def _common_suffix(old: AnyStr, new: AnyStr, limit: int) -> int:
    low, high = 0, limit
    while low < high:
        middle = (low + high + 1) // 2
        if old[len(old) - middle :] == new[len(new) - middle :]:
            low = middle
        else:
            high = middle - 1
    return low
