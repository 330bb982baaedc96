"""Tests that are known to fail, as KNOWN-RED.txt lists them."""

from dataclasses import dataclass
from pathlib import Path

__all__ = ["KnownRed", "find_known_red", "read_known_red"]

LIST = Path(__file__).parent.parent / "KNOWN-RED.txt"
# More would be a state of the code rather than its exceptions.
MOST = 3
_SEPARATOR = " | "
_FIELDS = 5


@dataclass(frozen=True, slots=True)
class KnownRed:
    """One test that is passed over, and why."""

    # A test's id, without parameters.
    test: str
    cause: str
    # Command, with its seed, that shows the failure.
    command: str
    seen: str
    issue: str


def read_known_red(text: str) -> list[KnownRed]:
    """Return the lines of the list; raise `ValueError` for one that isn't whole."""
    lines = [line for line in text.splitlines() if line.strip()]
    if len(lines) > MOST:
        raise ValueError(f"{len(lines)} tests are known to fail, {MOST} at most may.")
    listed = []
    for line in lines:
        fields = [field.strip() for field in line.split(_SEPARATOR)]
        if len(fields) != _FIELDS or not all(fields):
            raise ValueError(f"Not {_FIELDS} fields: {line!r}")
        listed.append(KnownRed(*fields))
    return listed


def find_known_red(node_id: str, listed: list[KnownRed]) -> KnownRed | None:
    """Return the line that names a test, None if there is none."""
    name = node_id.partition("[")[0]
    return next((each for each in listed if each.test == name), None)
