"""Persistence of the active revision on a host's disk."""

import zlib

from absl import logging
from google.protobuf.message import DecodeError

from pepperstep.ports import Storage
from pepperstep.proto.configuration_pb2 import DocumentText, StoredConfiguration

__all__ = ["load_stored", "save_stored"]

_FILE_NAME = "configuration"
_CHECKSUM_BYTES = 4


async def save_stored(
    storage: Storage, revision: int, texts: list[DocumentText]
) -> None:
    """Write the texts durably; raise `OSError` if the disk fails."""
    stored = StoredConfiguration(revision=revision, texts=texts)
    body = stored.SerializeToString()
    checksum = zlib.crc32(body).to_bytes(_CHECKSUM_BYTES)
    await storage.replace(_FILE_NAME, checksum + body)


async def load_stored(storage: Storage) -> StoredConfiguration | None:
    """Return the last saved revision, None if the file is missing or damaged.

    After None the host fetches the revision that a quorum confirms before it is
    ready, so a lost file loses no configuration.
    """
    data = await storage.read(_FILE_NAME)
    if data is None:
        return None
    body = data[_CHECKSUM_BYTES:]
    is_intact = zlib.crc32(body).to_bytes(_CHECKSUM_BYTES) == data[:_CHECKSUM_BYTES]
    try:
        if is_intact:
            return StoredConfiguration.FromString(body)
    except DecodeError:
        pass
    logging.error(
        "configuration: File %s is damaged, waiting for a quorum.", _FILE_NAME
    )
    return None
