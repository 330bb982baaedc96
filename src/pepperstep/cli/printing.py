"""Output of the tool, as text or JSON."""

import sys
from collections.abc import Iterable, Sequence
from datetime import UTC, datetime

import msgspec

__all__ = ["Output", "format_time"]


class Output:
    """Writes results to standard output and notes to standard error."""

    def __init__(self, is_json: bool):
        self._is_json = is_json

    def print(self, value: object, lines: Iterable[str]) -> None:
        """Print `value` in JSON mode, else `lines`."""
        if self._is_json:
            sys.stdout.write(msgspec.json.encode(value).decode() + "\n")
            return
        sys.stdout.writelines(f"{line}\n" for line in lines)

    def note(self, text: str) -> None:
        """Print a progress note to standard error."""
        sys.stderr.write(f"pepperstep: {text}\n")

    def table(
        self, titles: Sequence[str], rows: Iterable[Sequence[object]]
    ) -> list[str]:
        """Return the lines of a table with aligned columns."""
        texts = [[str(cell) for cell in row] for row in (titles, *rows)]
        widths = [max(map(len, column)) for column in zip(*texts, strict=True)]
        return [
            "  ".join(
                cell.ljust(width) for cell, width in zip(row, widths, strict=True)
            ).rstrip()
            for row in texts
        ]


def format_time(at: float) -> str:
    """Format a Unix time in UTC, with milliseconds."""
    return datetime.fromtimestamp(at, UTC).strftime("%Y-%m-%d %H:%M:%S.%f")[:-3]
