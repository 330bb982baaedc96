"""Checks that an answer is whole and the attempt's own."""

from pepperstep.observability.recorder import ChunkFault, NullRecorder, Recorder
from pepperstep.ports.upstreams import EndMark, TokenChunk, UpstreamLost

__all__ = ["AnswerCheck"]


class AnswerCheck:
    """Follows the chunks of one attempt, which goes on behind `tokens`.

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
        """Return the chunk's new tokens, none if it came before.

        Raise `UpstreamLost` for another's chunk, a gap, or other tokens at a
        position that came before.
        """
        self._check_owner(chunk.attempt_id)
        due = len(self._tokens)
        if chunk.position == due:
            return chunk.tokens
        if chunk.position > due:
            self._recorder.record_chunk_fault(ChunkFault.GAP)
            raise UpstreamLost(f"Chunk at {chunk.position} where {due} was due.")
        return self._drop_known(chunk, due - chunk.position)

    def check_end(self, mark: EndMark) -> None:
        """Raise `UpstreamLost` if the end mark doesn't fit the chunks."""
        self._check_owner(mark.attempt_id)
        due = len(self._tokens)
        if mark.count != due:
            self._recorder.record_chunk_fault(ChunkFault.GAP)
            raise UpstreamLost(f"End mark counts {mark.count}, not {due}.")

    def _drop_known(self, chunk: TokenChunk, known: int) -> tuple[str, ...]:
        self._recorder.record_chunk_fault(ChunkFault.DOUBLED)
        start = chunk.position
        repeated = chunk.tokens[:known]
        if list(repeated) != self._tokens[start : start + len(repeated)]:
            raise UpstreamLost(f"Chunk at {start} differs from the first one there.")
        return chunk.tokens[known:]

    def _check_owner(self, attempt_id: str) -> None:
        if attempt_id == self._attempt_id:
            return
        self._recorder.record_chunk_fault(self._fault_of(attempt_id))
        raise UpstreamLost(f"Answer of {attempt_id} came to {self._attempt_id}.")

    def _fault_of(self, attempt_id: str) -> ChunkFault:
        """Tell a chunk of this request's earlier attempt from another's."""
        request_id = self._attempt_id.rsplit(".", 2)[0]
        is_own = attempt_id.rsplit(".", 2)[0] == request_id
        return ChunkFault.LATE if is_own else ChunkFault.CROSSED
