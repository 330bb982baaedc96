"""Reader for KNOWN-RED.txt, the list of tests that are known to fail."""

from dataclasses import dataclass
from pathlib import Path

__all__ = ["KnownRed", "find_known_red", "read_known_red"]

KNOWN_RED_PATH = Path(__file__).parent.parent / "KNOWN-RED.txt"
_SEPARATOR = " | "
_FIELD_COUNT = 5


@dataclass(frozen=True, slots=True)
class KnownRed:
    """Entry of the list: a test whose failure is tolerated, and the reason."""

    # Node id of the test without parameters.
    test: str
    cause: str
    # Command and seed that reproduce the failure.
    command: str
    seen: str
    issue: str


def read_known_red(text: str) -> list[KnownRed]:
    """Parse the list, one entry a line.

    Raise `ValueError` for an incomplete line or a second entry for a test.
    """
    entries = []
    for line in filter(str.strip, text.splitlines()):
        fields = [field.strip() for field in line.split(_SEPARATOR)]
        if len(fields) != _FIELD_COUNT or not all(fields):
            raise ValueError(f"Expected {_FIELD_COUNT} non-empty fields: {line!r}")
        entry = KnownRed(*fields)
        if any(each.test == entry.test for each in entries):
            raise ValueError(f"Second entry for a test: {line!r}")
        entries.append(entry)
    return entries


def find_known_red(node_id: str, entries: list[KnownRed]) -> KnownRed | None:
    """Return the entry for a test, whatever its parameters, None if there is none."""
    name = node_id.partition("[")[0]
    return next((each for each in entries if each.test == name), None)
