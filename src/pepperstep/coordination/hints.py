"""What a control host may tell others before the log has a leader again.

After a loss of power everywhere, an election takes two to three seconds, and
upstreams announce themselves once in 1.2 s. An agreed table stays agreed, and what has
said that it leaves does leave; so both are told from a file at once. Reads of the table
never come from here. The number of entry hosts is told too: the first that come back
would each take a whole quota else.
"""

from collections.abc import Iterable
from typing import Protocol

import trio
from absl import logging
from google.protobuf.message import DecodeError

from pepperstep.coordination.entry_host_catalog import EntryHostCatalog
from pepperstep.coordination.records import Announcement
from pepperstep.coordination.table_updates import Document, compress, decompress
from pepperstep.coordination.tables import TableStore
from pepperstep.coordination.upstream_catalog import UpstreamCatalog
from pepperstep.errors import Failure
from pepperstep.ports import Storage, Timers
from pepperstep.proto import coordination_pb2 as pb
from pepperstep.proto.rollouts_pb2 import RolloutRecord

__all__ = ["Hints"]

_FILE = "hints"
# Between two writes, in seconds: each costs three syncs.
_WRITE_SECONDS = 0.5
# Time for which upstreams that are gone are kept, in seconds: announcements of theirs
# that are on their way come later by seconds.
_GONE_SECONDS = 60.0


class RolloutHints(Protocol):
    """Roll-outs that were agreed on: upstreams of a bad version may still be there."""

    @property
    def index(self) -> int:
        """Position in the log of the latest change."""

    def messages(self) -> list[RolloutRecord]:
        """Return the latest roll-out of each service."""

    def expect(self, messages: Iterable[RolloutRecord]) -> None:
        """Take in what `messages` gave before this host's start."""


class Hints:
    """The file, kept behind the table and the upstreams."""

    def __init__(
        self,
        storage: Storage,
        tables: TableStore,
        catalog: UpstreamCatalog,
        entries: EntryHostCatalog,
        timers: Timers,
        rollouts: RolloutHints,
    ):
        self._storage = storage
        self._tables = tables
        self._catalog = catalog
        self._entries = entries
        self._timers = timers
        self._rollouts = rollouts
        self._written = (0, 0, 0, 0)
        self._lock = trio.Lock()
        # The document with its compressed bytes; upstreams change more often.
        self._document = Document()
        self._table = b""

    async def load(self) -> None:
        """Take in what the file holds; a damaged one is left out."""
        data = await self._storage.read(_FILE)
        if data is None:
            return
        try:
            hints = pb.HintsFile.FromString(data)
            if hints.table_version:
                self._tables.install(_document_of(hints))
        except (DecodeError, Failure) as error:
            logging.warning("hints: The file can't be used: %s", error)
            return
        for message in hints.upstreams:
            announcement = Announcement.from_message(message)
            self._catalog.record(announcement, told_by=_FILE)
        self._entries.expect(hints.entry_count)
        self._rollouts.expect(hints.rollouts)
        logging.info(
            "hints: Knows version %d and %d upstreams from before the start.",
            hints.table_version,
            len(hints.upstreams),
        )

    async def run(self) -> None:
        """Write what changed until cancelled."""
        async for _ in self._timers.subscribe(_WRITE_SECONDS):
            try:
                await self.store()
            except OSError as error:
                logging.warning("hints: The file isn't written: %s", error)

    async def store(self) -> None:
        """Return once the file holds what is known now; raise `OSError` if it can't."""
        async with self._lock:
            state = (
                self._tables.current.version,
                self._catalog.version,
                self._entries.count,
                self._rollouts.index,
            )
            if state != self._written:
                await self._storage.replace(_FILE, self._encode())
                self._written = state

    def _encode(self) -> bytes:
        hints = pb.HintsFile(
            table_version=self._tables.current.version,
            table=self._compressed(),
            upstreams=[
                each.to_message() for each in self._catalog.all() if self._is_kept(each)
            ],
            entry_count=self._entries.count,
            rollouts=self._rollouts.messages(),
        )
        return hints.SerializeToString()

    def _is_kept(self, upstream: Announcement) -> bool:
        if upstream.is_gone:
            return self._catalog.age(upstream.id) < _GONE_SECONDS
        return upstream.key not in self._catalog.silent

    def _compressed(self) -> bytes:
        if self._document is not self._tables.document:
            self._document = self._tables.document
            self._table = compress(self._document.data)
        return self._table


def _document_of(hints: pb.HintsFile) -> Document:
    return Document(hints.table_version, decompress(hints.table))
