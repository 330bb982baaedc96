"""The revision in force, kept on the disk of a host that has one."""

import zlib

from absl import logging
from google.protobuf.message import DecodeError

from pepperstep.ports import Storage
from pepperstep.proto.configuration_pb2 import DocumentText, StoredConfiguration

__all__ = ["load_stored", "save_stored"]

_FILE = "configuration"
_CHECKSUM_BYTES = 4


async def save_stored(
    storage: Storage, revision: int, texts: list[DocumentText]
) -> None:
    """Return once the texts are durable; raise OSError where the disk fails."""
    stored = StoredConfiguration(revision=revision, texts=texts)
    body = stored.SerializeToString()
    checksum = zlib.crc32(body).to_bytes(_CHECKSUM_BYTES)
    await storage.replace(_FILE, checksum + body)


async def load_stored(storage: Storage) -> StoredConfiguration | None:
    """Return what was saved last, None if it's missing or damaged.

    A host that gets None asks the quorum before it's ready, so that nothing
    is lost with the file.
    """
    data = await storage.read(_FILE)
    if data is None:
        return None
    body = data[_CHECKSUM_BYTES:]
    is_sound = zlib.crc32(body).to_bytes(_CHECKSUM_BYTES) == data[:_CHECKSUM_BYTES]
    try:
        if is_sound:
            return StoredConfiguration.FromString(body)
    except DecodeError:
        pass
    logging.error("configuration: File %s is damaged, asks the quorum.", _FILE)
    return None
