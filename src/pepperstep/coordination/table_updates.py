"""Updates of the operators' document: steps from an earlier version, or all of it.

An update is compressed as a whole. Routes resemble each other, so this reduces many new
ones to a tenth of their size.
"""

import zlib
from dataclasses import dataclass

import xxhash
from google.protobuf.message import DecodeError

from pepperstep.errors import Code, Failure
from pepperstep.proto import coordination_pb2 as pb
from pepperstep.splices import apply_splices, make_splices

__all__ = [
    "Document",
    "apply_update",
    "compress",
    "decompress",
    "encode_steps",
    "encode_whole",
    "make_step",
]

# Longest decompressed update in bytes: twice the longest document.
_MAX_BYTES = 64 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class Document:
    """An operators' document; version 0 stands for none."""

    version: int = 0
    data: bytes = b""


def make_step(old: Document, new: Document) -> pb.TableStep:
    """Return the step from `old` to `new`."""
    step = pb.TableStep(
        from_version=old.version, version=new.version, digest=_digest(new.data)
    )
    for splice in make_splices(old.data, new.data):
        step.splices.add(
            start=splice.start, removed=splice.removed, inserted=splice.inserted
        )
    return step


def encode_steps(steps: list[pb.TableStep]) -> bytes:
    """Return the compressed update with consecutive steps."""
    update = pb.TableUpdate(version=steps[-1].version, steps=steps)
    return compress(update.SerializeToString())


def encode_whole(document: Document) -> bytes:
    """Return the compressed update with the whole document."""
    update = pb.TableUpdate(version=document.version, document=document.data)
    return compress(update.SerializeToString())


def apply_update(current: Document, data: bytes) -> Document:
    """Return the document that a compressed update makes of `current`.

    Raise `Failure` with `INVALID_REQUEST` for an update that can't be read, that
    doesn't start at the current version, or whose result has the wrong digest or
    version.
    """
    update = _decode(data)
    if update.document:
        return Document(update.version, update.document)
    for step in update.steps:
        if step.version > current.version:
            current = _apply_step(current, step)
    if current.version != update.version:
        raise _invalid_update(
            f"It leads to version {current.version}, not {update.version}."
        )
    return current


def compress(data: bytes) -> bytes:
    """Return compressed bytes, identical on all hosts."""
    return zlib.compress(data)


def decompress(data: bytes) -> bytes:
    """Return the data passed to `compress`; raise `Failure` for other bytes."""
    decompressor = zlib.decompressobj()
    try:
        plain = decompressor.decompress(data, _MAX_BYTES)
    except zlib.error as error:
        raise _invalid_update(str(error)) from error
    if not decompressor.eof:
        raise _invalid_update("It's too long, or its end is missing.")
    return plain


def _decode(data: bytes) -> pb.TableUpdate:
    try:
        return pb.TableUpdate.FromString(decompress(data))
    except DecodeError as error:
        raise _invalid_update(str(error)) from error


def _apply_step(current: Document, step: pb.TableStep) -> Document:
    if step.from_version != current.version:
        raise _invalid_update(
            f"A step begins at {step.from_version}, not {current.version}."
        )
    try:
        data = apply_splices(current.data, step.splices)
    except ValueError as error:
        raise _invalid_update(str(error)) from error
    if _digest(data) != step.digest:
        raise _invalid_update(f"The step to {step.version} leads to other bytes.")
    return Document(step.version, data)


def _invalid_update(text: str) -> Failure:
    return Failure(Code.INVALID_REQUEST, f"The update doesn't fit: {text}")


def _digest(data: bytes) -> int:
    return xxhash.xxh3_64_intdigest(data)
