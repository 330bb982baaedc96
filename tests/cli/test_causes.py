"""Command `causes`: every ended request is attributed to exactly one cause."""

import json

import pytest

from pepperstep.cli.main import main


def chosen_line(request: str, **fields) -> dict:
    """Return the log line of an attempt."""
    line = {"event": "request_chosen", "request": request, "service": "model"}
    return line | {"attempt": 1, "missing_tokens": 5_000} | fields


def answered_line(request: str, first_ms: int, **fields) -> dict:
    """Return the log line of an answer with a target latency of 500 ms."""
    line = {"event": "request_answered", "request": request, "attempts": 1}
    facts = {"first_ms": first_ms, "target_ms": 500, "prompt_tokens": 5_000}
    return line | facts | fields


def refused_line(request: str, code: str, reason: str) -> dict:
    """Return the log line of a refusal."""
    line = {"event": "request_refused", "request": request, "code": code}
    return line | {"reason": reason, "prompt_tokens": 5_000}


LINES = [
    chosen_line("r1"),
    answered_line("r1", 100),
    chosen_line("r2"),
    answered_line("r2", 900),
    chosen_line("r3", since_arrival_ms=400),
    answered_line("r3", 600),
    chosen_line("r4"),
    chosen_line("r4", attempt=2, since_arrival_ms=700),
    answered_line("r4", 900, attempts=2),
    chosen_line("r5", missing_tokens=60_000),
    answered_line("r5", 1_600, prompt_tokens=60_000),
    refused_line("r6", "no_upstream", "The first token would take 1.62 s."),
    refused_line("r7", "no_upstream", "The first token would take 3.1 s."),
    chosen_line("r8", missing_tokens=0),
    answered_line("r8", 700, prompt_tokens=0),
    chosen_line("r9"),
]
EXPECTED_COUNTS = {
    "in time": 1,
    "late: waited for other prompts at its upstream": 1,
    "late: waited at the entry host": 1,
    "late: sent to several upstreams": 1,
    "late: too large for its target at the fastest reading seen": 1,
    "late: its upstream took long": 1,
    "no_upstream: The first token would take N s.": 2,
}


@pytest.fixture
def log_file(tmp_path):
    """Write the log lines, one of them with a log collector's prefix."""
    path = tmp_path / "entry.log"
    texts = [json.dumps(line) for line in LINES]
    texts[2] = f"  12.25 edge-1 {texts[2]}"
    path.write_text("\n".join([*texts, "no line of ours", "{broken"]))
    return str(path)


def test_every_ended_request_has_one_cause(log_file, capsys):
    assert main(["causes", "--json", log_file]) == 0
    rows = json.loads(capsys.readouterr().out)
    assert {row["cause"]: row["requests"] for row in rows} == EXPECTED_COUNTS
    assert sum(row["share"] for row in rows) == pytest.approx(100, abs=0.1)


def test_table_starts_with_requests_in_time(log_file, capsys):
    assert main(["causes", log_file]) == 0
    lines = capsys.readouterr().out.splitlines()
    assert lines[0].split() == ["cause", "requests", "share", "%"]
    assert lines[1].startswith("in time")
    assert lines[2].startswith("late: too large")


def test_empty_and_unreadable_files_have_exit_codes(tmp_path):
    empty = tmp_path / "empty.log"
    empty.write_text("")
    unknown = main(["causes", str(empty)])
    assert unknown not in (0, main(["causes", str(tmp_path / "none.log")]))
    assert main(["causes"]) == 2
