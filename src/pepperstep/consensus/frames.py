"""Encoding of files as frames with a kind, a length and two checksums.

At most one frame of a file is unsynced at any time. A damaged frame is therefore
a torn write only if no valid frame follows it and a part of it is missing or was
never written. Any other damage is an error.
"""

import struct
import zlib
from dataclasses import dataclass

from pepperstep.errors import Code, Failure

__all__ = ["Frame", "corruption", "decode_single", "encode_frame", "scan_frames"]

_MAGIC = b"PSLG"
# Magic, kind, length and checksum of the payload, checksum of the header.
_FIELDS = struct.Struct("<4sBII")
_CHECKSUM = struct.Struct("<I")
_LOCATION = struct.Struct("<QQ")
_HEADER_SIZE = _FIELDS.size + _CHECKSUM.size
# Unit that a disk writes atomically.
_SECTOR_BYTES = 512
# A shorter run of zeros at an end of a frame may be content and doesn't show that
# a sector was never written.
_MIN_ZERO_BYTES = 16


@dataclass(frozen=True, slots=True)
class Frame:
    """A decoded frame and its location in the file."""

    kind: int
    payload: bytes
    offset: int
    end: int


def corruption(file: str, offset: int, text: str) -> Failure:
    """Return the error for damage at `offset` in `file`."""
    return Failure(Code.CORRUPT_STORAGE, f"{file}, offset {offset}: {text}")


def encode_frame(
    kind: int, payload: bytes, file_number: int = 0, offset: int = 0
) -> bytes:
    """Return the frame for `offset` in the file with `file_number`."""
    fields = _FIELDS.pack(_MAGIC, kind, len(payload), zlib.crc32(payload))
    return fields + _header_checksum(fields, file_number, offset) + payload


def decode_single(file: str, data: bytes, kind: int) -> bytes:
    """Return the payload of a file that consists of one frame of `kind`.

    Raise `Failure` with `CORRUPT_STORAGE` for anything else.
    """
    frame = _frame_at(data, 0, 0)
    if frame is None or frame.end != len(data) or frame.kind != kind:
        raise corruption(file, 0, "The file is damaged.")
    return frame.payload


def scan_frames(file: str, data: bytes, file_number: int, is_last: bool) -> list[Frame]:
    """Return the frames of a file without a torn write at its end.

    Only the last file may end in a torn write. Raise `Failure` with
    `CORRUPT_STORAGE` for any other damage.
    """
    frames: list[Frame] = []
    offset = 0
    while offset < len(data):
        frame = _frame_at(data, offset, file_number)
        if frame is None:
            _check_torn(file, data, offset, file_number, is_last)
            break
        frames.append(frame)
        offset = frame.end
    return frames


def _header_checksum(fields: bytes, file_number: int, offset: int) -> bytes:
    # The checksum includes the location, so that a copy of a frame within a
    # payload isn't a valid frame.
    return _CHECKSUM.pack(zlib.crc32(fields + _LOCATION.pack(file_number, offset)))


def _length_at(data: bytes, offset: int, file_number: int) -> int | None:
    """Return the length of the payload, or None if the header is invalid."""
    fields = data[offset : offset + _FIELDS.size]
    checksum = data[offset + _FIELDS.size : offset + _HEADER_SIZE]
    if len(checksum) < _CHECKSUM.size or not fields.startswith(_MAGIC):
        return None
    if checksum != _header_checksum(fields, file_number, offset):
        return None
    return _FIELDS.unpack(fields)[2]


def _frame_at(data: bytes, offset: int, file_number: int) -> Frame | None:
    length = _length_at(data, offset, file_number)
    if length is None:
        return None
    start = offset + _HEADER_SIZE
    payload = data[start : start + length]
    _, kind, _, checksum = _FIELDS.unpack_from(data, offset)
    if len(payload) < length or zlib.crc32(payload) != checksum:
        return None
    return Frame(kind, payload, offset, start + length)


def _check_torn(file: str, data: bytes, offset: int, file_number: int, is_last: bool):
    if not is_last:
        raise corruption(file, offset, "A frame is damaged and newer files follow.")
    if _has_frame_after(data, offset, file_number):
        raise corruption(file, offset, "A frame is damaged and others follow it.")
    if not _is_torn(data, offset, file_number):
        raise corruption(file, offset, "The last frame is whole but damaged.")


def _has_frame_after(data: bytes, offset: int, file_number: int) -> bool:
    found = data.find(_MAGIC, offset + 1)
    while found != -1:
        if _frame_at(data, found, file_number) is not None:
            return True
        found = data.find(_MAGIC, found + 1)
    return False


def _is_torn(data: bytes, offset: int, file_number: int) -> bool:
    if len(data) - offset < _HEADER_SIZE:
        return True
    length = _length_at(data, offset, file_number)
    if length is not None and offset + _HEADER_SIZE + length > len(data):
        return True
    return _has_unwritten_sector(data, offset)


def _has_unwritten_sector(data: bytes, offset: int) -> bool:
    start = offset
    while start < len(data):
        end = min(len(data), (start // _SECTOR_BYTES + 1) * _SECTOR_BYTES)
        if end - start >= _MIN_ZERO_BYTES and not any(data[start:end]):
            return True
        start = end
    return False
