"""Checks that an answer is complete and belongs to its attempt."""

from pepperstep.observability.recorder import ChunkFault, NullRecorder, Recorder
from pepperstep.ports.upstreams import EndMark, TokenChunk, UpstreamLost

__all__ = ["AnswerCheck"]


class AnswerCheck:
    """Validates the chunks of one attempt, which continues after `tokens`.

    The owner of `tokens` appends what `check_chunk` returns.
    """

    def __init__(
        self,
        attempt_id: str,
        tokens: list[str],
        recorder: Recorder | None = None,
    ):
        self._attempt_id = attempt_id
        self._tokens = tokens
        self._recorder = recorder or NullRecorder()

    def check_chunk(self, chunk: TokenChunk) -> tuple[str, ...]:
        """Return the chunk's new tokens, none if all were received before.

        Raise `UpstreamLost` for a chunk of another attempt, a gap, or tokens that
        differ from those received before at the same position.
        """
        self._check_attempt_id(chunk.attempt_id)
        expected = len(self._tokens)
        if chunk.position == expected:
            return chunk.tokens
        if chunk.position > expected:
            self._recorder.record_chunk_fault(ChunkFault.GAP)
            raise UpstreamLost(f"Chunk at {chunk.position} where {expected} was due.")
        return self._drop_repeated(chunk, expected - chunk.position)

    def check_end(self, mark: EndMark) -> None:
        """Raise `UpstreamLost` if the end mark doesn't match the chunks."""
        self._check_attempt_id(mark.attempt_id)
        expected = len(self._tokens)
        if mark.count != expected:
            self._recorder.record_chunk_fault(ChunkFault.GAP)
            raise UpstreamLost(f"End mark counts {mark.count}, not {expected}.")

    def _drop_repeated(self, chunk: TokenChunk, repeated_count: int) -> tuple[str, ...]:
        self._recorder.record_chunk_fault(ChunkFault.DOUBLED)
        start = chunk.position
        repeated = chunk.tokens[:repeated_count]
        if list(repeated) != self._tokens[start : start + len(repeated)]:
            raise UpstreamLost(f"Chunk at {start} differs from the first one there.")
        return chunk.tokens[repeated_count:]

    def _check_attempt_id(self, attempt_id: str) -> None:
        if attempt_id == self._attempt_id:
            return
        self._recorder.record_chunk_fault(self._fault_of(attempt_id))
        raise UpstreamLost(f"Answer of {attempt_id} came to {self._attempt_id}.")

    def _fault_of(self, attempt_id: str) -> ChunkFault:
        """Distinguish an earlier attempt of this request from another request."""
        request_id = self._attempt_id.rsplit(".", 2)[0]
        is_same_request = attempt_id.rsplit(".", 2)[0] == request_id
        return ChunkFault.LATE if is_same_request else ChunkFault.CROSSED
