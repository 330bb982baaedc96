"""Configuration of all tests: deterministic scheduling and known failures."""

import pytest
from trio._core import _run

from tests.known_red import KNOWN_RED_PATH, find_known_red, read_known_red

_SEED = 0


@pytest.fixture(autouse=True)
def seeded_scheduling(monkeypatch):
    """Make trio schedule runnable tasks in a reproducible order.

    By default trio shuffles them with an unseeded generator.
    """
    monkeypatch.setattr(_run, "_ALLOW_DETERMINISTIC_SCHEDULING", True)
    _run._r.seed(_SEED)


def pytest_collection_modifyitems(items):
    """Mark only the tests in KNOWN-RED.txt as expected to fail."""
    entries = _read_entries()
    for item in items:
        known = find_known_red(item.nodeid, entries)
        if known is not None:
            reason = f"{known.cause} (issue {known.issue})"
            item.add_marker(pytest.mark.xfail(reason=reason, strict=False))


def pytest_terminal_summary(terminalreporter):
    """Print the known failures, so that a passing run doesn't hide them."""
    for known in _read_entries():
        terminalreporter.write_line(
            f"KNOWN RED, passed over: {known.test}: {known.cause}"
            f" Seen: {known.seen} By: {known.command} Issue {known.issue}."
        )


def _read_entries():
    return read_known_red(KNOWN_RED_PATH.read_text()) if KNOWN_RED_PATH.exists() else []
