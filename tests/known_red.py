"""Reader for KNOWN-RED.txt, the list of tests that are known to fail."""

from dataclasses import dataclass
from pathlib import Path

__all__ = ["KnownRed", "find_known_red", "read_known_red"]

KNOWN_RED_PATH = Path(__file__).parent.parent / "KNOWN-RED.txt"
# The list is for exceptions; with more entries CI would hide the code's real state.
MAX_ENTRIES = 3
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
    """Parse the list.

    Raise `ValueError` for an incomplete line or too many entries.
    """
    lines = [line for line in text.splitlines() if line.strip()]
    if len(lines) > MAX_ENTRIES:
        raise ValueError(
            f"{len(lines)} known failures, at most {MAX_ENTRIES} are allowed."
        )
    entries = []
    for line in lines:
        fields = [field.strip() for field in line.split(_SEPARATOR)]
        if len(fields) != _FIELD_COUNT or not all(fields):
            raise ValueError(f"Expected {_FIELD_COUNT} non-empty fields: {line!r}")
        entries.append(KnownRed(*fields))
    return entries


def find_known_red(node_id: str, entries: list[KnownRed]) -> KnownRed | None:
    """Return the entry for a test, whatever its parameters, None if there is none."""
    name = node_id.partition("[")[0]
    return next((each for each in entries if each.test == name), None)
