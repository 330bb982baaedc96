"""Command-line tool `pepperstep` for operators."""

from pepperstep.cli.exits import Exit
from pepperstep.cli.main import main

__all__ = ["Exit", "main"]
