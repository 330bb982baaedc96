"""Announcements of upstreams over HTTP: decoding and validation."""

import pytest

from pepperstep.entities import Load, ModelKey, Role, UpstreamKind
from pepperstep.errors import Code
from tests.api.fake_node import UPSTREAM_KEY, FakeNode, ask

PATH = "/upstreams/v1/announce"
ANNOUNCEMENT = {
    "name": "engine-0",
    "epoch": 7,
    "sequence": 3,
    "address": "10.0.0.7:9000",
    "kind": "engine",
    "host": "host-7",
    "zone": "sapporo-hall",
    "models": [{"model": "zaseki-7b", "version": "1"}],
    "role": "decode",
    "load": {"running": 2, "decode_seconds": 0.03},
}


async def test_announcement_renews_a_lease(autojump_clock):
    node = FakeNode()
    sent = {**ANNOUNCEMENT, "token": "token-1", "held_seconds": 0.9}
    answer = await ask(node.api(), "POST", PATH, sent, key=UPSTREAM_KEY)
    assert answer.json == {
        "lease_seconds": 3.0,
        "heartbeat_seconds": 1.0,
        "entry_hosts": ["http://entry-0", "http://entry-1"],
        "is_renewed": True,
        "token": "token-2",
    }
    ((upstream, sequence, token, held),) = node.announced
    assert (upstream.name, upstream.epoch, sequence) == ("engine-0", 7, 3)
    assert (token, held) == ("token-1", 0.9)
    assert upstream.models == {ModelKey("zaseki-7b", "", "1")}
    assert (upstream.kind, upstream.role) == (UpstreamKind.ENGINE, Role.DECODE)
    assert upstream.load == Load(running=2, decode_seconds=0.03)


@pytest.mark.parametrize(
    "change",
    [
        {"name": ""},
        {"name": "a b"},
        {"name": "x" * 200},
        {"epoch": -1},
        {"epoch": 2**60},
        {"epoch": "7"},
        {"sequence": 1.5},
        {"address": "nowhere"},
        {"address": "10.0.0.7:70000"},
        {"address": "10.0.0.7:9000/path"},
        {"kind": "other"},
        {"kind": "service"},
        {"service": "venue-desk"},
        {"slots": 0},
        {"role": "none"},
        {"load": {"running": -1}},
        {"load": {"decode_seconds": -0.1}},
        {"load": {"decode_seconds": 1e300}},
        {"models": [{"model": ""}]},
        {"models": [{"model": "m"}] * 1001},
        {"is_leaving": 1},
        {"zone": None},
    ],
)
async def test_bad_announcement_is_refused(autojump_clock, change):
    node = FakeNode()
    body = ANNOUNCEMENT | change
    answer = await ask(node.api(), "POST", PATH, body, key=UPSTREAM_KEY)
    assert (answer.status, answer.code) == (400, Code.INVALID_REQUEST)
    assert node.announced == []
