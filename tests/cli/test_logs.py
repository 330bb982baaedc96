"""Command `logs`: the timeline of a request from several hosts' log files."""

import json

import pytest

from pepperstep.cli.main import main

ENTRY_LINES = [
    {"event": "request_chosen", "request": "r1", "upstream": "u1", "attempt": 1},
    {"event": "attempt_failed", "request": "r1", "upstream": "u1", "reason": "reset"},
    {"event": "attempt_failed", "request": "r2", "upstream": "u1", "reason": "reset"},
    {"event": "request_refused", "request": "r1", "code": "upstream_failed"},
]


@pytest.fixture
def files(tmp_path):
    """Write the log files of an entry host and of a control host."""
    entry = tmp_path / "entry.log"
    lines = [
        {"time": f"2026-03-16T00:34:5{second}.595Z", "host": "e1", "part": "relay"}
        | line
        for second, line in enumerate(ENTRY_LINES)
    ]
    text = "".join(json.dumps(line) + "\n" for line in lines)
    entry.write_text(text + "a line of a library about r1\n")
    control = tmp_path / "control.log"
    leaves = {
        "time": "2026-03-16T00:34:49.000Z",
        "host": "c1",
        "message": "Upstream u1 of model leaves.",
    }
    later = leaves | {"time": "2026-03-16T00:44:00.000Z"}
    control.write_text(f"{json.dumps(leaves)}\n{json.dumps(later)}\n")
    return [str(control), str(entry)]


def test_steps_are_in_time_order_with_upstream_events(files, capsys):
    assert main(["logs", "r1", *files]) == 0
    lines = capsys.readouterr().out.splitlines()
    assert [line.split(": ")[1] for line in lines[1:4]] == [
        "request chosen",
        "attempt failed",
        "request refused",
    ]
    assert "reason reset" in lines[2]
    assert lines[4] == "  00:34:49.000  c1: Upstream u1 of model leaves."
    assert lines[5] == "  u1 within 4 s: 2 attempt_failed, 1 request_chosen"
    assert len(lines) == 6


def test_json_output_has_the_same_steps(files, capsys):
    assert main(["logs", "r1", "--json", *files]) == 0
    logged = json.loads(capsys.readouterr().out)
    assert [step["event"] for step in logged["steps"]][-1] == "request_refused"
    assert logged["steps"][1]["inputs"] == {"upstream": "u1", "reason": "reset"}


def test_unknown_request_and_unreadable_file_have_exit_codes(files, capsys):
    assert main(["logs", "r9", *files]) == 6
    assert main(["logs", "r1", "no-such.log"]) == 2
    assert main(["logs", "r1"]) == 2
    errors = capsys.readouterr().err
    assert "no-such.log can't be read" in errors
    assert "pepperstep logs REQUEST_ID FILE..." in errors
