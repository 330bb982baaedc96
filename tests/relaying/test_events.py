"""Splitting of streams into events."""

import pytest
from hypothesis import given, strategies as st

from pepperstep.relay.events import EventSplitter

LINE_ENDS = (b"\n", b"\r\n", b"\r")


@pytest.mark.parametrize("end", LINE_ENDS)
def test_event_with_any_line_end_is_complete_at_its_blank_line(end):
    splitter = EventSplitter()
    event = b"id: 1" + end + b"data: a" + end + end
    assert splitter.feed(event[:4]) == b""
    assert splitter.has_partial
    assert splitter.feed(event[4:]) == event
    assert splitter.last_id == b"1"
    assert not splitter.has_partial


@given(
    st.lists(st.sampled_from(LINE_ENDS), min_size=1, max_size=4),
    st.lists(st.integers(1, 9), max_size=30),
)
def test_events_are_whole_however_a_stream_is_cut(ends, sizes):
    data = b"".join(
        b"id: %d" % number + end + b"data: a" + end + end
        for number, end in enumerate(ends)
    )
    splitter = EventSplitter()
    received = b""
    rest = data
    for size in sizes:
        received += splitter.feed(rest[:size])
        rest = rest[size:]
    received += splitter.feed(rest)
    assert not splitter.has_partial
    assert received + splitter.take_partial() == data
    assert splitter.last_id == b"%d" % (len(ends) - 1)
