"""Daemon that records which calls of operators and upstreams it reads and answers.

A file with the settings file's name and the suffix `.calls` gets a line with a word and
the call's id: `read` when a call was read, and `answered` when its answer was sent. The
id is the last part of the call's query, after `call=`.
"""

import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from pepperstep.platform import SETTINGS_VARIABLE, ControlHandler, DirectoryHandler
from pepperstep.programs.relay_daemon import main

_RECORD = Path(os.environ[SETTINGS_VARIABLE]).with_suffix(".calls")


def _record_calls(handler_class: type) -> None:
    handle = handler_class.handle

    async def handle_recorded(handler, exchange) -> None:
        call = exchange.head.target.rpartition(b"call=")[2].decode()
        record.write(f"read {call}\n")
        await handle(handler, exchange)
        record.write(f"answered {call}\n")

    handler_class.handle = handle_recorded


if __name__ == "__main__":
    with _RECORD.open("a", buffering=1) as record:
        for each in (ControlHandler, DirectoryHandler):
            _record_calls(each)
        main(sys.argv[1:])
