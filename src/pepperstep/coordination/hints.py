"""State that a restarted control host serves before the log has a leader.

After a power loss of all hosts, an election takes two to three seconds, and upstreams
announce themselves every 1.2 s. A committed table stays committed and a leaving
upstream keeps leaving, so both are served from a file at once. Reads of the table never
use it. The file also holds the number of entry hosts, as otherwise the first ones that
return would each use a whole quota.
"""

from collections.abc import Iterable
from contextlib import suppress
from typing import Protocol

import trio
from absl import logging
from google.protobuf.message import DecodeError

from pepperstep.coordination.entry_host_catalog import EntryHostCatalog
from pepperstep.coordination.records import Announcement
from pepperstep.coordination.suspects import SuspectFeatures
from pepperstep.coordination.table_updates import Document, compress, decompress
from pepperstep.coordination.tables import TableStore
from pepperstep.coordination.upstream_catalog import UpstreamCatalog
from pepperstep.errors import Failure
from pepperstep.ports import Storage, Timers
from pepperstep.proto import coordination_pb2 as pb
from pepperstep.proto.rollouts_pb2 import RolloutRecord
from pepperstep.write_failures import WriteFailures

__all__ = ["Hints"]

_FILE = "hints"
# Interval between two writes, in seconds: each costs three syncs.
_WRITE_INTERVAL_SECONDS = 0.5
# Time for which gone upstreams are stored, in seconds: their delayed announcements
# arrive within seconds.
_KEEP_GONE_SECONDS = 60.0


class RolloutHints(Protocol):
    """Committed roll-outs; upstreams of a bad version may still be running."""

    @property
    def index(self) -> int:
        """Log position of the latest change."""

    def messages(self) -> list[RolloutRecord]:
        """Return the latest roll-out of each service."""

    def expect(self, messages: Iterable[RolloutRecord]) -> None:
        """Load the result of `messages` from before this host's start."""


class Hints:
    """The file with the table, upstreams, roll-outs, suspects and entry host count."""

    def __init__(
        self,
        storage: Storage,
        tables: TableStore,
        catalog: UpstreamCatalog,
        entries: EntryHostCatalog,
        timers: Timers,
        rollouts: RolloutHints,
        suspects: SuspectFeatures,
    ):
        self._storage = storage
        self._tables = tables
        self._catalog = catalog
        self._entries = entries
        self._timers = timers
        self._rollouts = rollouts
        self._suspects = suspects
        self._written_versions = (0, 0, 0, 0, 0)
        self._lock = trio.Lock()
        self._failures = WriteFailures("hints", "the file")
        # Document with its compressed bytes; upstreams change more often.
        self._document = Document()
        self._table = b""

    async def load(self) -> None:
        """Load the file, unless it's missing, damaged or can't be read."""
        try:
            data = await self._storage.read(_FILE)
        except OSError as error:
            logging.warning("hints: Can't read the file: %s", error)
            return
        if data is None:
            return
        try:
            hints = pb.HintsFile.FromString(data)
            if hints.table_version:
                self._tables.install(_decode_document(hints))
        except (DecodeError, Failure) as error:
            logging.warning("hints: Ignoring the damaged file: %s", error)
            return
        for message in hints.upstreams:
            announcement = Announcement.from_message(message)
            self._catalog.record(announcement, told_by=_FILE)
        self._entries.expect(hints.entry_count)
        self._rollouts.expect(hints.rollouts)
        self._suspects.merge(hints.suspects)
        logging.info(
            "hints: Loaded table version %d and %d upstreams.",
            hints.table_version,
            len(hints.upstreams),
        )

    async def run(self) -> None:
        """Write changes until cancelled."""
        async for _ in self._timers.subscribe(_WRITE_INTERVAL_SECONDS):
            # The next tick retries, as the written state is still the old one.
            with suppress(OSError):
                await self.store()

    async def store(self) -> None:
        """Return once the current state is stored; raise `OSError` if that fails."""
        async with self._lock:
            state = (
                self._tables.current.version,
                self._catalog.version,
                self._entries.count,
                self._rollouts.index,
                self._suspects.urgent_version,
            )
            if state != self._written_versions:
                await self._replace_file()
                self._written_versions = state

    async def _replace_file(self) -> None:
        try:
            await self._storage.replace(_FILE, self._encode())
        except OSError as error:
            self._failures.record_failure(error)
            raise
        self._failures.record_success()

    def _encode(self) -> bytes:
        hints = pb.HintsFile(
            table_version=self._tables.current.version,
            table=self._compressed_table(),
            upstreams=[
                each.to_message()
                for each in self._catalog.all()
                if self._is_stored(each)
            ],
            entry_count=self._entries.count,
            rollouts=self._rollouts.messages(),
            suspects=self._suspects.messages_since(0),
        )
        return hints.SerializeToString()

    def _is_stored(self, upstream: Announcement) -> bool:
        if upstream.is_gone:
            return self._catalog.age(upstream.id) < _KEEP_GONE_SECONDS
        return upstream.key not in self._catalog.silent

    def _compressed_table(self) -> bytes:
        if self._document is not self._tables.document:
            self._document = self._tables.document
            self._table = compress(self._document.data)
        return self._table


def _decode_document(hints: pb.HintsFile) -> Document:
    return Document(hints.table_version, decompress(hints.table))
