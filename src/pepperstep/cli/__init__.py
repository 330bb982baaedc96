"""The operators' command-line tool `pepperstep`."""

from pepperstep.cli.exits import Exit
from pepperstep.cli.main import main

__all__ = ["Exit", "main"]
