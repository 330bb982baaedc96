"""Checks that an answer is whole and the attempt's own."""

from pepperstep.ports import EndMark, TokenChunk, UpstreamLost

__all__ = ["AnswerCheck"]


class AnswerCheck:
    """Follows the chunks of one attempt from the position `start` on."""

    def __init__(self, attempt_id: str, start: int):
        self._attempt_id = attempt_id
        self._position = start

    def check_chunk(self, chunk: TokenChunk) -> None:
        """Raise `UpstreamLost` for another's chunk, a gap or a repeat."""
        self._check_owner(chunk.attempt_id)
        if chunk.position != self._position:
            raise UpstreamLost(
                f"Chunk at {chunk.position} where {self._position} was due."
            )
        self._position += len(chunk.tokens)

    def check_end(self, mark: EndMark) -> None:
        """Raise `UpstreamLost` if the end mark doesn't fit the chunks."""
        self._check_owner(mark.attempt_id)
        if mark.count != self._position:
            raise UpstreamLost(f"End mark counts {mark.count}, not {self._position}.")

    def _check_owner(self, attempt_id: str) -> None:
        if attempt_id != self._attempt_id:
            raise UpstreamLost(f"Answer of {attempt_id} came to {self._attempt_id}.")
