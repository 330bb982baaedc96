"""Daemon of a host that a file cuts off from all upstreams.

While a file with the settings file's name and the suffix `.cut` exists, the host can't
open connections to the port that the upstreams of `standins.platform_site` listen on.
"""

import json
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from pepperstep.adapters.http1 import Http1Connector
from pepperstep.platform import SETTINGS_VARIABLE
from pepperstep.ports.exchange import ConnectionFault
from pepperstep.programs.relay_daemon import main

_SETTINGS = Path(os.environ[SETTINGS_VARIABLE])
_UPSTREAM_PORT = json.loads(_SETTINGS.read_text())["internal_ports"][0]
_connect = Http1Connector.connect


async def _connect_unless_cut(connector: Http1Connector, address: str, timeout: float):
    is_upstream = address.endswith(f":{_UPSTREAM_PORT}")
    if is_upstream and _SETTINGS.with_suffix(".cut").exists():
        raise ConnectionFault("no connection: cut off", False)
    return await _connect(connector, address, timeout)


if __name__ == "__main__":
    Http1Connector.connect = _connect_unless_cut
    main(sys.argv[1:])
