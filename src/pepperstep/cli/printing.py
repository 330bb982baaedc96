"""What the tool prints: text for people, or JSON for programs."""

import sys
from collections.abc import Iterable, Sequence
from datetime import UTC, datetime

import msgspec

__all__ = ["Output", "moment"]


class Output:
    """Standard output for answers, standard error for all else."""

    def __init__(self, is_json: bool):
        self._is_json = is_json

    def print(self, value: object, lines: Iterable[str]) -> None:
        """Print `value` as JSON, or `lines` for people."""
        if self._is_json:
            sys.stdout.write(msgspec.json.encode(value).decode() + "\n")
            return
        sys.stdout.writelines(f"{line}\n" for line in lines)

    def note(self, text: str) -> None:
        """Tell something on the way to the answer."""
        sys.stderr.write(f"pepperstep: {text}\n")

    def table(
        self, titles: Sequence[str], rows: Iterable[Sequence[object]]
    ) -> list[str]:
        """Return lines with the rows in columns."""
        texts = [[str(cell) for cell in row] for row in (titles, *rows)]
        widths = [max(map(len, column)) for column in zip(*texts, strict=True)]
        return [
            "  ".join(
                cell.ljust(width) for cell, width in zip(row, widths, strict=True)
            ).rstrip()
            for row in texts
        ]


def moment(at: float) -> str:
    """Return a Unix time for people, in UTC."""
    return datetime.fromtimestamp(at, UTC).strftime("%Y-%m-%d %H:%M:%S.%f")[:-3]
