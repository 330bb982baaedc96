"""Hypothesis strategies for protobuf messages and damaged bytes."""

from google.protobuf.descriptor import FieldDescriptor
from google.protobuf.message import Message
from google.protobuf.message_factory import GetMessageClass
from hypothesis import strategies as st

__all__ = ["cut_or_flipped", "messages_of"]

_MAX_DEPTH = 4
_WORDS = [
    "",
    "entry-0",
    "entry-1",
    "entry-2",
    "engine-0",
    "planners",
    "zaseki-model",
    "entry-1.1",
    "configuration",
    "control",
    "claims",
    "links",
    "start",
    "stop",
    "load",
    "reclaimable",
    "recorded",
    "sent",
    "mixed",
]
_TEXTS = st.sampled_from(_WORDS) | st.text(max_size=6)
_FLOATS = st.sampled_from([0.0, 1.0, 1e9, 1e300]) | st.floats()
_VALUES = {
    FieldDescriptor.CPPTYPE_STRING: _TEXTS,
    FieldDescriptor.CPPTYPE_BOOL: st.booleans(),
    FieldDescriptor.CPPTYPE_DOUBLE: _FLOATS,
    FieldDescriptor.CPPTYPE_FLOAT: st.floats(width=32),
}


def _integers(bits: int, is_signed: bool) -> st.SearchStrategy[int]:
    low = -(2 ** (bits - 1)) if is_signed else 0
    high = 2 ** (bits - 1) - 1 if is_signed else 2**bits - 1
    return st.integers(0, 3) | st.sampled_from([low, high]) | st.integers(low, high)


_VALUES |= {
    FieldDescriptor.CPPTYPE_INT32: _integers(32, True),
    FieldDescriptor.CPPTYPE_INT64: _integers(64, True),
    FieldDescriptor.CPPTYPE_UINT32: _integers(32, False),
    FieldDescriptor.CPPTYPE_UINT64: _integers(64, False),
}


@st.composite
def messages_of(draw, message_type: type[Message], depth: int = 0) -> Message:
    """Draw a message of the given type with arbitrary values in some of its fields."""
    message = message_type()
    for field in message_type.DESCRIPTOR.fields:
        if draw(st.integers(0, 4)) == 0 and depth:
            continue
        _fill(draw, message, field, depth)
    return message


def _fill(draw, message: Message, field: FieldDescriptor, depth: int) -> None:
    if field.message_type is not None:
        _fill_message(draw, message, field, depth)
    elif field.is_repeated:
        values = draw(st.lists(_values_of(field), max_size=3))
        getattr(message, field.name).extend(values)
    else:
        setattr(message, field.name, draw(_values_of(field)))


def _fill_message(draw, message: Message, field: FieldDescriptor, depth: int) -> None:
    if depth >= _MAX_DEPTH:
        return
    submessages = messages_of(GetMessageClass(field.message_type), depth + 1)
    if field.is_repeated:
        getattr(message, field.name).extend(draw(st.lists(submessages, max_size=2)))
    else:
        getattr(message, field.name).CopyFrom(draw(submessages))


def _values_of(field: FieldDescriptor) -> st.SearchStrategy:
    if field.type == FieldDescriptor.TYPE_BYTES:
        return st.binary(max_size=8)
    if field.type == FieldDescriptor.TYPE_ENUM:
        known = [value.number for value in field.enum_type.values]
        # A sender of a later release may use values that this release doesn't know.
        return st.sampled_from([*known, known[-1] + 1])
    return _VALUES[field.cpp_type]


@st.composite
def cut_or_flipped(draw, data: bytes) -> bytes:
    """Draw `data` with bytes replaced, removed, repeated or inserted."""
    index = draw(st.integers(0, max(0, len(data) - 1)))
    tail = draw(st.binary(max_size=4))
    resume_at = draw(st.sampled_from([index, index + 1, len(data)]))
    return data[:index] + tail + data[resume_at:]
