"""Encoding of messages in envelopes that name the message type."""

from google.protobuf import message, message_factory, symbol_database

from pepperstep.errors import Code, Failure
from pepperstep.proto import envelope_pb2

__all__ = ["decode", "encode", "encode_failure"]

_FAILURE_KIND = envelope_pb2.Failure.DESCRIPTOR.full_name


def encode(body: message.Message, sender: str, incarnation: int = 0) -> bytes:
    """Return an encoded envelope with `body`."""
    envelope = envelope_pb2.Envelope(
        kind=body.DESCRIPTOR.full_name,
        body=body.SerializeToString(),
        sender=sender,
        incarnation=incarnation,
    )
    return envelope.SerializeToString()


def encode_failure(failure: Failure, sender: str) -> bytes:
    """Return an encoded envelope that makes `decode` raise `failure`."""
    body = envelope_pb2.Failure(code=failure.code, text=failure.text)
    return encode(body, sender)


def decode(data: bytes) -> tuple[message.Message, str]:
    """Return the message and its sender.

    Raise the `Failure` that the envelope holds, or one with `INVALID_REQUEST` for
    bytes that aren't an envelope with a known message type.
    """
    try:
        envelope = envelope_pb2.Envelope.FromString(data)
        body = _message_type(envelope.kind).FromString(envelope.body)
    except (message.DecodeError, KeyError, UnicodeDecodeError) as error:
        raise Failure(Code.INVALID_REQUEST, "Message can't be decoded.") from error
    if envelope.kind == _FAILURE_KIND:
        raise _to_failure(body)
    return body, envelope.sender


def _message_type(kind: str) -> type[message.Message]:
    descriptor = symbol_database.Default().pool.FindMessageTypeByName(kind)
    return message_factory.GetMessageClass(descriptor)


def _to_failure(body: envelope_pb2.Failure) -> Failure:
    try:
        return Failure(Code(body.code), body.text)
    except ValueError:
        return Failure(Code.INTERNAL, body.text)
