"""Durable storage of the log: identity, vote, snapshot and segment files."""

import enum
from collections.abc import Sequence
from dataclasses import dataclass

import trio
from google.protobuf.message import DecodeError, Message

from pepperstep.consensus.frames import (
    Frame,
    corruption,
    decode_single,
    encode_frame,
    scan_frames,
)
from pepperstep.consensus.memory import MemoryLog
from pepperstep.ports import Storage
from pepperstep.proto import consensus_pb2 as pb

__all__ = ["LogStore"]


class _Kind(enum.IntEnum):
    IDENTITY = 1
    VOTE = 2
    SNAPSHOT = 3
    HEADER = 4
    BATCH = 5


@dataclass(slots=True)
class _Segment:
    """A file with entries after `base_index`.

    `size` is that of the durable frames. `last_index` is the highest index that was
    ever written to the file. `is_torn` says that a write failed, so that the file may
    continue with a part of its frame.
    """

    number: int
    size: int
    base_index: int
    last_index: int
    is_torn: bool = False


class LogStore:
    """Files of one group.

    `append`, `reset` and `trim` must be called by one task and are durable on
    return. After an OSError, the same call must be repeated before any other. Damaged
    files raise `Failure` with `CORRUPT_STORAGE`.
    """

    def __init__(self, storage: Storage, group: str, segment_bytes: int):
        self._storage = storage
        self._segment_bytes = segment_bytes
        self._identity_file = f"{group}-identity"
        self._vote_file = f"{group}-vote"
        self._snapshot_file = f"{group}-snapshot"
        self._segment_prefix = f"{group}-log-"
        self._segments: list[_Segment] = []
        # Whether the file after the last segment may hold a part of a header.
        self._has_torn_start = False
        self._snapshot_index = 0
        self._snapshot_lock = trio.Lock()

    @property
    def snapshot_index(self) -> int:
        """Index of the durable snapshot, 0 if there is none."""
        return self._snapshot_index

    async def load_identity(self) -> pb.LogIdentityFile | None:
        """Return the identity, or None on an empty disk."""
        data = await self._storage.read(self._identity_file)
        if data is not None:
            payload = decode_single(self._identity_file, data, _Kind.IDENTITY)
            return _parse(pb.LogIdentityFile, payload, self._identity_file, 0)
        other_files = [
            self._vote_file,
            self._snapshot_file,
            *await self._segment_names(),
        ]
        for name in sorted(set(other_files) & set(await self._storage.names())):
            raise corruption(self._identity_file, 0, f"Missing, but {name} is there.")
        return None

    async def save_identity(self, identity: pb.LogIdentityFile) -> None:
        """Store the identity."""
        await self._replace(self._identity_file, _Kind.IDENTITY, identity)

    async def load_vote(self) -> pb.LogVoteFile:
        """Return the current term and vote."""
        data = await self._storage.read(self._vote_file)
        if data is None:
            raise corruption(self._vote_file, 0, "The file is missing.")
        payload = decode_single(self._vote_file, data, _Kind.VOTE)
        return _parse(pb.LogVoteFile, payload, self._vote_file, 0)

    async def save_vote(self, term: int, voted_for: str) -> None:
        """Store the current term and vote."""
        vote = pb.LogVoteFile(term=term, voted_for=voted_for)
        await self._replace(self._vote_file, _Kind.VOTE, vote)

    async def load_snapshot(self) -> pb.LogSnapshot | None:
        """Return the snapshot, or None if there is none."""
        data = await self._storage.read(self._snapshot_file)
        if data is None:
            return None
        payload = decode_single(self._snapshot_file, data, _Kind.SNAPSHOT)
        snapshot = _parse(pb.LogSnapshot, payload, self._snapshot_file, 0)
        self._snapshot_index = max(self._snapshot_index, snapshot.index)
        return snapshot

    async def save_snapshot(self, snapshot: pb.LogSnapshot) -> None:
        """Store a snapshot unless the stored one is as new or newer."""
        async with self._snapshot_lock:
            if snapshot.index <= self._snapshot_index:
                return
            await self._replace(self._snapshot_file, _Kind.SNAPSHOT, snapshot)
            self._snapshot_index = snapshot.index

    async def load_log(self, snapshot: pb.LogSnapshot | None) -> MemoryLog:
        """Return the stored entries that continue `snapshot`."""
        log = MemoryLog()
        self._segments.clear()
        names = await self._segment_names()
        for name in names:
            await self._load_segment(name, log, is_last=name == names[-1])
        if not self._segments:
            raise corruption(self._segment_name(1), 0, "The log is missing.")
        await self._storage.sync(self._segment_name(self._segments[-1].number))
        index, term = (snapshot.index, snapshot.term) if snapshot else (0, 0)
        if log.base_index > index:
            raise corruption(self._snapshot_file, 0, "No snapshot for the log's start.")
        if log.term_at(index) != term:
            log.reset(index, term)
            await self.reset(index, term)
        return log

    async def create_log(self) -> None:
        """Create an empty log and delete the remains of a crashed first start."""
        for name in await self._segment_names():
            await self._storage.delete(name)
        await self._start_segment(1, pb.LogSegmentHeader())

    async def append(
        self, first_index: int, previous_term: int, entries: Sequence[pb.LogEntry]
    ) -> None:
        """Write entries as one frame, which replaces all from `first_index` on.

        `previous_term` is the term of the entry before `first_index`.
        """
        segment = self._segments[-1]
        base_index = first_index - 1
        # A segment must not replace entries before its base, since the segments
        # with these entries may already be deleted.
        if segment.size >= self._segment_bytes or base_index < segment.base_index:
            header = pb.LogSegmentHeader(base_index=base_index, base_term=previous_term)
            segment = await self._start_segment(segment.number + 1, header)
        batch = pb.LogBatch(first_index=first_index, entries=entries)
        await self._write(segment, _Kind.BATCH, batch)
        segment.last_index = max(segment.last_index, base_index + len(entries))

    async def reset(self, index: int, term: int) -> None:
        """Discard all entries; the next one gets the index after `index`."""
        header = pb.LogSegmentHeader(base_index=index, base_term=term, is_reset=True)
        await self._start_segment(self._segments[-1].number + 1, header)
        await self._drop_segments(len(self._segments) - 1)

    async def trim(self, index: int) -> None:
        """Delete the segments without entries after `index`."""
        count = 0
        for segment in self._segments[:-1]:
            if segment.last_index > index:
                break
            count += 1
        await self._drop_segments(count)

    async def _drop_segments(self, count: int) -> None:
        # The oldest is deleted first, so that a crash leaves no gap.
        for _ in range(count):
            await self._storage.delete(self._segment_name(self._segments[0].number))
            self._segments.pop(0)

    async def _start_segment(
        self, number: int, header: pb.LogSegmentHeader
    ) -> _Segment:
        if self._has_torn_start:
            await self._storage.delete(self._segment_name(number))
            self._has_torn_start = False
        segment = _Segment(number, 0, header.base_index, header.base_index)
        self._has_torn_start = True
        await self._write(segment, _Kind.HEADER, header)
        self._has_torn_start = False
        self._segments.append(segment)
        return segment

    async def _write(self, segment: _Segment, kind: _Kind, message: Message) -> None:
        name = self._segment_name(segment.number)
        if segment.is_torn:
            # After a failed sync, the kernel may consider the data as written, so it
            # isn't enough to sync again.
            await self._storage.truncate(name, segment.size)
        payload = message.SerializeToString()
        frame = encode_frame(kind, payload, segment.number, segment.size)
        segment.is_torn = True
        await self._storage.append(name, frame)
        await self._storage.sync(name)
        segment.is_torn = False
        segment.size += len(frame)

    async def _replace(self, name: str, kind: _Kind, message: Message) -> None:
        frame = encode_frame(kind, message.SerializeToString())
        await self._storage.replace(name, frame)

    async def _load_segment(self, name: str, log: MemoryLog, is_last: bool) -> None:
        number = self._segment_number(name)
        if self._segments and number != self._segments[-1].number + 1:
            missing = self._segment_name(self._segments[-1].number + 1)
            raise corruption(missing, 0, "The segment is missing.")
        data = await self._storage.read(name) or b""
        frames = scan_frames(name, data, number, is_last)
        if not frames:
            await self._drop_torn_start(name, is_last)
            return
        size = frames[-1].end
        if size < len(data):
            await self._storage.truncate(name, size)
        _replay_header(name, frames[0], log, is_first=not self._segments)
        segment = _Segment(number, size, log.last_index, log.last_index)
        self._segments.append(segment)
        for frame in frames[1:]:
            _replay_batch(name, frame, log)
            segment.last_index = max(segment.last_index, log.last_index)

    async def _drop_torn_start(self, name: str, is_last: bool) -> None:
        # The header is synced before anything else is written, so that a file with
        # a torn header has no entries.
        if not is_last:
            raise corruption(name, 0, "The segment is empty and newer ones follow.")
        await self._storage.delete(name)

    async def _segment_names(self) -> list[str]:
        names = await self._storage.names()
        return [name for name in names if name.startswith(self._segment_prefix)]

    def _segment_name(self, number: int) -> str:
        return f"{self._segment_prefix}{number:010d}"

    def _segment_number(self, name: str) -> int:
        try:
            return int(name.removeprefix(self._segment_prefix))
        except ValueError:
            raise corruption(name, 0, "Not a segment's name.") from None


def _parse(message_type, payload: bytes, file: str, offset: int):
    try:
        return message_type.FromString(payload)
    except DecodeError:
        raise corruption(file, offset, "The content can't be decoded.") from None


def _replay_header(name: str, frame: Frame, log: MemoryLog, is_first: bool) -> None:
    if frame.kind != _Kind.HEADER:
        raise corruption(name, frame.offset, "The segment has no header.")
    header = _parse(pb.LogSegmentHeader, frame.payload, name, frame.offset)
    if header.is_reset or is_first or header.base_index < log.base_index:
        log.reset(header.base_index, header.base_term)
        return
    if log.term_at(header.base_index) != header.base_term:
        raise corruption(name, frame.offset, "Entries before the segment are missing.")
    log.truncate_from(header.base_index + 1)


def _replay_batch(name: str, frame: Frame, log: MemoryLog) -> None:
    if frame.kind != _Kind.BATCH:
        raise corruption(name, frame.offset, "A frame is of an unknown kind.")
    batch = _parse(pb.LogBatch, frame.payload, name, frame.offset)
    if not log.base_index < batch.first_index <= log.last_index + 1:
        raise corruption(name, frame.offset, "Entries before the frame are missing.")
    log.truncate_from(batch.first_index)
    log.append(batch.entries)
