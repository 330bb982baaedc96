"""Only whole answers of the attempt itself get through."""

from collections import Counter

import pytest

from pepperstep.observability.recorder import ChunkFault, NullRecorder
from pepperstep.ports.upstreams import EndMark, TokenChunk, UpstreamLost
from pepperstep.requests.answer_check import AnswerCheck

OWN, EARLIER, OTHER = "entry-0.7.1.2", "entry-0.7.1.1", "entry-0.8.1.2"


class Counts(NullRecorder):
    """Counts the faults of chunks."""

    def __init__(self):
        self.faults = Counter()

    def record_chunk_fault(self, fault: ChunkFault) -> None:
        """Count one fault."""
        self.faults[fault] += 1


def chunk(position: int, text: str, owner: str = OWN) -> TokenChunk:
    return TokenChunk(owner, position, tuple(text))


def end(count: int, owner: str = OWN) -> EndMark:
    return EndMark(owner, count, "stop")


@pytest.mark.parametrize(
    ("arrivals", "answer", "fault", "is_broken"),
    [
        ([chunk(2, "cd"), chunk(4, "e"), end(5)], "abcde", None, False),
        ([end(2)], "ab", None, False),
        ([chunk(2, "c"), chunk(2, "c"), end(3)], "abc", ChunkFault.DOUBLED, False),
        ([chunk(2, "cd"), chunk(3, "de"), end(5)], "abcde", ChunkFault.DOUBLED, False),
        ([chunk(0, "ab"), chunk(2, "c"), end(3)], "abc", ChunkFault.DOUBLED, False),
        ([chunk(2, "c"), chunk(2, "x")], "abc", ChunkFault.DOUBLED, True),
        ([chunk(3, "d")], "ab", ChunkFault.GAP, True),
        ([chunk(2, "c"), end(4)], "abc", ChunkFault.GAP, True),
        ([chunk(2, "c"), end(2)], "abc", ChunkFault.GAP, True),
        ([chunk(2, "c", EARLIER)], "ab", ChunkFault.LATE, True),
        ([chunk(2, "c", OTHER)], "ab", ChunkFault.CROSSED, True),
        ([end(2, OTHER)], "ab", ChunkFault.CROSSED, True),
    ],
)
def test_chunks(arrivals, answer, fault, is_broken):
    counts = Counts()
    tokens = ["a", "b"]
    check = AnswerCheck(OWN, tokens, counts)
    try:
        for each in arrivals:
            if isinstance(each, EndMark):
                check.check_end(each)
            else:
                tokens += check.check_chunk(each)
        assert not is_broken
    except UpstreamLost:
        assert is_broken
    assert "".join(tokens) == answer
    assert counts.faults == Counter([fault] if fault else [])
