"""The last changes of the operators' document, for hosts that are behind."""

from collections import OrderedDict, deque

import xxhash

from pepperstep.coordination.table_updates import (
    Document,
    encode_steps,
    encode_whole,
    make_step,
)
from pepperstep.proto import coordination_pb2 as pb

__all__ = ["TableHistory"]

# Steps that are kept; a host that is further behind is sent the whole document.
_MAX_STEPS = 256
# Compressed updates that are kept, also of versions that were overtaken: a host that
# has a part of one goes on with it.
_MAX_UPDATES = 8
# Bytes of an update in one answer. Callers' answers share the link: at 5 Mbit/s they
# wait for 26 ms at most.
_PART_BYTES = 16 * 1024


class TableHistory:
    """Answers hosts that ask for what they lack, part by part."""

    def __init__(self):
        self._document = Document()
        self._steps: deque[pb.TableStep] = deque()
        self._step_bytes = 0
        # By digest, the one used last at the end.
        self._updates: OrderedDict[int, bytes] = OrderedDict()
        # Digests of the updates to the newest version, by the asker's version.
        self._digests: dict[int, int] = {}

    def add(self, document: Document) -> None:
        """Take a newer document."""
        if self._document.version:
            self._add_step(make_step(self._document, document))
        self._document = document
        self._digests.clear()

    def part_for(self, request: pb.TableRequest) -> pb.TablePart:
        """Return the next part of what the asker lacks.

        Its data is empty if the asker lacks nothing. An update that the asker has
        a part of goes on, unless this host doesn't know it.
        """
        if request.from_version >= self._document.version:
            return pb.TablePart(version=self._document.version)
        digest, offset = request.digest, request.offset
        if digest not in self._updates:
            digest = self._prepare(request.from_version)
        if digest != request.digest or offset >= len(self._updates[digest]):
            offset = 0
        self._updates.move_to_end(digest)
        data = self._updates[digest]
        return pb.TablePart(
            version=self._document.version,
            digest=digest,
            size=len(data),
            offset=offset,
            data=data[offset : offset + _PART_BYTES],
        )

    def _add_step(self, step: pb.TableStep) -> None:
        """Keep a step, and as many before it as are shorter than the document."""
        self._steps.append(step)
        self._step_bytes += step.ByteSize()
        limit = max(len(self._document.data), step.ByteSize())
        while self._step_bytes > limit or len(self._steps) > _MAX_STEPS:
            self._step_bytes -= self._steps.popleft().ByteSize()

    def _prepare(self, version: int) -> int:
        """Return the digest of the update for a host at a version."""
        digest = self._digests.get(version)
        if digest in self._updates:
            return digest
        data = self._encode_from(version)
        digest = xxhash.xxh3_64_intdigest(data)
        self._digests[version] = digest
        self._updates[digest] = data
        if len(self._updates) > _MAX_UPDATES:
            self._updates.popitem(last=False)
        return digest

    def _encode_from(self, version: int) -> bytes:
        for index, step in enumerate(self._steps):
            if step.from_version == version:
                return encode_steps(list(self._steps)[index:])
        return encode_whole(self._document)
