"""Log lines: one JSON object each, bounded in size and rate, never blocking."""

import fcntl
import json
import logging
import os

import pytest

from pepperstep.adapters import json_line_handler
from pepperstep.adapters.json_line_handler import JsonLineHandler
from pepperstep.observability.decisions import RequestRefused
from pepperstep.observability.relay_metrics import RelayMetrics

EVENT = RequestRefused("id-1", "no_upstream", False, 7, "None left.", 12, 300)


@pytest.fixture
def pipe():
    """Return both ends of a pipe with a capacity of one page."""
    reader, writer = os.pipe()
    fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, 4_096)
    yield reader, writer
    os.close(reader)
    os.close(writer)


def log_record(
    handler: JsonLineHandler, message: str, *arguments, line: int = 1
) -> None:
    """Pass the handler a record of a log statement at `line`."""
    record = logging.LogRecord(
        "absl", logging.INFO, "relay.py", line, message, arguments, None
    )
    handler.emit(record)


def read_lines(reader: int) -> list[dict]:
    """Return the decoded lines in the pipe."""
    return [json.loads(line) for line in os.read(reader, 65_536).splitlines()]


def test_event_becomes_fields_of_its_line(pipe):
    reader, writer = pipe
    log_record(JsonLineHandler("entry-1", writer), "relay: %s", EVENT)
    [line] = read_lines(reader)
    assert (line["part"], line["event"]) == ("relay", "request_refused")
    assert (line["request"], line["retry_after_ms"]) == ("id-1", 300)
    assert line["host"] == "entry-1" and line["time"].endswith("+00:00")


def test_text_keeps_its_part(pipe):
    reader, writer = pipe
    log_record(JsonLineHandler("entry-1", writer), "sync: %s answers.", "10.0.0.1:1")
    [line] = read_lines(reader)
    assert (line["part"], line["message"]) == ("sync", "10.0.0.1:1 answers.")


def test_full_pipe_drops_and_counts_lines(pipe):
    reader, writer = pipe
    handler = JsonLineHandler("entry-1", writer)
    for _ in range(100):
        log_record(handler, "relay: %s", EVENT)
    written = len(read_lines(reader))
    assert 0 < written < 100
    log_record(handler, "relay: %s", EVENT)
    [line] = read_lines(reader)
    assert line["dropped"] == 100 - written


def test_rate_limits_of_log_statements_are_independent(pipe, monkeypatch):
    reader, writer = pipe
    fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, 65_536)
    monkeypatch.setattr(json_line_handler, "_BURST_LINES", 3.0)
    monkeypatch.setattr(json_line_handler, "_LINES_PER_SECOND", 0.0)
    handler = JsonLineHandler("entry-1", writer)
    for _ in range(5):
        log_record(handler, "relay: %s", EVENT, line=1)
    log_record(handler, "relay: other", line=2)
    lines = read_lines(reader)
    assert [line.get("event") for line in lines].count("request_refused") == 3
    assert lines[-1]["message"] == "other"


def test_long_message_is_truncated_to_one_write(pipe):
    reader, writer = pipe
    log_record(JsonLineHandler("entry-1", writer), "relay: %s", "x" * 100_000)
    [line] = read_lines(reader)
    assert len(line["message"]) < 4_096


def test_metrics_have_a_bounded_number_of_series():
    metrics = RelayMetrics()
    for number in range(2_000):
        metrics.note_answered(f"w{number}", "once-0", 0.1, 0.2)
    text = metrics.render().decode()
    assert text.count("pepperstep_answered_total{") <= 401
    assert 'workspace="others"' in text
