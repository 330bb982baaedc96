"""Answers of the project's own upstreams that are cut, over loopback sockets."""

from dataclasses import replace

import pytest

from pepperstep.adapters.http_upstreams import HttpUpstreams
from pepperstep.entities import Upstream, UpstreamKind
from pepperstep.ports.upstreams import UpstreamLost
from tests.adapters.test_upstream_connections import CALL
from tests.relaying.test_cut_heads import LARGE_BODY, open_early_upstream


def engine_at(address: str) -> Upstream:
    """Return an upstream at an address."""
    return Upstream("e", 1, address, UpstreamKind.ENGINE, "h", "zone")


@pytest.mark.parametrize("ending", ["reset", "end, then reset"])
async def test_reset_while_a_call_is_sent_does_not_look_like_an_end(ending):
    """Guards against a short body taken for whole: the sender alone saw the reset."""
    call = replace(CALL, body=LARGE_BODY)
    async with open_early_upstream(b"HTTP/1.1 200 OK\r\n\r\nbody", ending) as address:
        for _ in range(5):
            asked = HttpUpstreams("key").call_service(engine_at(address), call, "a.1")
            if ending == "reset":
                with pytest.raises(UpstreamLost):
                    await asked
            else:
                assert (await asked).body == b"body"
