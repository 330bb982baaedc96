"""Decoding of the platform's files and messages."""

import json
import math

import pytest
from hypothesis import given, strategies as st

from pepperstep.adapters.http1.framing import end_to_end_headers
from pepperstep.entities.routes import Repetition
from pepperstep.errors import Code, Execution, Failure, InvalidDocument
from pepperstep.platform import PlatformWire, decode_table, read_platform_settings
from pepperstep.ports.exchange import AnswerHead, RequestHead
from pepperstep.ports.relaying import Forwarding
from tests.relaying.world import document

SETTINGS = {
    "node_name": "core-1",
    "ip": "10.0.0.4",
    "zone": "z1",
    "region": "r1",
    "zones": {"z1": "r1", "z2": "r1"},
    "listen": {"control": "10.0.0.4:81", "directory": "10.0.0.4:82"},
    "internal_ports": [7600, 7615],
    "seed_nodes": ["10.0.0.4:81", "10.0.0.5:81"],
    "bootstrap": True,
    "data_dir": "/data",
    "fault_tolerance": {"machines": 2},
    "bounds": {"drain_ms": 2500, "lease_ms": 3000},
    "cloud": {"address": "10.9.0.1:80", "duties": []},
    "field_of_tomorrow": 1,
}


def read(tmp_path, table) -> object:
    """Write `table` to a settings file and return the settings read from it."""
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(table))
    return read_platform_settings(path)


def test_settings_are_translated(tmp_path):
    settings = read(tmp_path, SETTINGS)
    assert settings.peer_address == "10.0.0.4:7600"
    assert settings.seeds == ("10.0.0.4:7600", "10.0.0.5:7600")
    assert settings.zones == ("z1", "z2")
    assert settings.entry is None
    assert settings.control.tolerated_losses == 2
    assert settings.bounds.drain_seconds == 2.5


@pytest.mark.parametrize(
    ("change", "is_on"),
    [
        ({}, False),
        ({"contracts": ["base", "engine"]}, False),
        ({"contracts": ["base", "pool"]}, True),
        ({"scheduling": {}}, True),
        ({"contracts": ["pool"], "scheduling": {"is_enabled": False}}, False),
    ],
)
def test_scheduling_is_on_only_where_settings_ask_for_it(tmp_path, change, is_on):
    assert (read(tmp_path, SETTINGS | change).scheduling is not None) == is_on


def test_limits_of_the_scheduling_are_read(tmp_path):
    limits = {"min_pressure": 0.3, "rank_limits": [1.0, 0.6]}
    settings = read(tmp_path, SETTINGS | {"scheduling": limits}).scheduling
    assert settings.min_pressure == 0.3
    assert settings.rank_limits == (1.0, 0.6)


@pytest.mark.parametrize(
    ("limits", "capacity"),
    [
        ({"cpu_share": 0.5, "cpu_cores": 1.5, "other": 1}, 0.75),
        ({"cpu_share": 1, "cpu_cores": 2}, 2.0),
        ({"cpu_share": 0.3}, 0.0),
        ({"cpu_share": "0.3", "cpu_cores": 1.0}, 0.0),
        ({"cpu_share": True, "cpu_cores": 1.0}, 0.0),
        ({"cpu_share": None, "cpu_cores": 1.0}, 0.0),
        ([0.3, 1.5], 0.0),
        (None, 0.0),
    ],
)
def test_capacity_is_unknown_unless_the_limits_state_it(tmp_path, limits, capacity):
    """Guards against hosts that don't start for lack of a field they can do without."""
    assert read(tmp_path, SETTINGS | {"limits": limits}).capacity == capacity
    assert read(tmp_path, SETTINGS).capacity == 0.0


@pytest.mark.parametrize(
    ("change", "place"),
    [
        ({"limits": {"cpu_share": -0.1, "cpu_cores": 1.0}}, "limits"),
        ({"limits": {"cpu_cores": -1}}, "limits"),
        ({"limits": {"cpu_share": math.nan, "cpu_cores": 1.0}}, "file"),
        ({"limits": {"cpu_share": 10**400, "cpu_cores": 1.0}}, "limits"),
        ({"limits": {"cpu_share": -(10**400), "cpu_cores": 1.0}}, "limits"),
        ({"limits": {"cpu_share": 1e200, "cpu_cores": 1e200}}, "limits"),
        ({"scheduling": {"queue_share": -1}}, "scheduling"),
        ({"scheduling": {"return_share": 0}}, "scheduling"),
        ({"scheduling": {"rank_limits": []}}, "scheduling"),
        ({"scheduling": {"rank_limits": [0.5, 1.0]}}, "scheduling"),
        ({"scheduling": {"min_pressure": 0.6}}, "scheduling"),
        ({"scheduling": {"no_such_limit": 1}}, "scheduling"),
        ({"listen": {}}, "listen"),
        ({"seed_nodes": []}, "seed_nodes"),
        ({"data_dir": None}, "data_dir"),
        ({"internal_ports": []}, "internal_ports"),
        ({"zone": 3}, "zone"),
    ],
)
def test_faults_of_the_settings_are_found(tmp_path, change, place):
    with pytest.raises(InvalidDocument) as caught:
        read(tmp_path, SETTINGS | change)
    assert place in str(caught.value)


def test_settings_cut_short_are_refused(tmp_path):
    path = tmp_path / "settings.json"
    text = json.dumps(SETTINGS)
    path.write_text(text[: len(text) // 2])
    with pytest.raises(InvalidDocument):
        read_platform_settings(path)


def test_table_holds_what_the_operator_sent():
    table = decode_table(document(7))
    assert table.version == 7
    safe = table.find_route("a.example", "/safe/x/y")
    assert safe.repetition is Repetition.REPEATABLE
    assert safe.max_attempts == 2
    stream = table.find_route("a.example", "/stream/")
    assert stream.is_stream and not stream.is_repeatable
    assert table.find_route("a.example", "/resumable/1").is_repeatable
    assert table.find_route("b.example", "/safe/1") is None
    assert table.find_route("a.example", "/safe") is None


def test_longest_prefix_wins():
    routes = [
        {"name": name, "host": "a", "path_prefix": prefix, "kind": "safe"}
        | {"timeout_ms": 1, "service": "plain"}
        for name, prefix in (("short", "/"), ("long", "/a/b/"), ("mid", "/a/"))
    ]
    table = decode_table(document(1, routes=routes))
    assert table.find_route("a", "/a/b/c").name == "long"
    assert table.find_route("a", "/a/bc").name == "mid"
    assert table.find_route("a", "/b").name == "short"


def route(**changes) -> dict:
    """Return a valid route with changes."""
    base = {"name": "r", "host": "h", "path_prefix": "/r/", "kind": "safe"}
    return base | {"timeout_ms": 100, "service": "plain"} | changes


@pytest.mark.parametrize(
    "changes",
    [
        {"routes": [route(service="unknown")]},
        {"routes": [route(), route(name="s")]},
        {"routes": [route(), route(name="s", host="H")]},
        {"routes": [route(timeout_ms=0)]},
        {
            "routes": [
                route(service=None, traffic_split=[{"service": "plain", "weight": 0}])
            ]
        },
        {"routes": [route(service=None)]},
        {
            "tenants": [
                {"name": "a", "api_keys": ["k"]},
                {"name": "b", "api_keys": ["k"]},
            ]
        },
        {"routes": "none"},
    ],
)
def test_invalid_documents_are_refused(changes):
    with pytest.raises(InvalidDocument):
        decode_table(document(2, **changes))


@given(st.integers(min_value=0, max_value=len(document(3)) - 1))
def test_document_cut_short_is_refused(size):
    with pytest.raises(InvalidDocument):
        decode_table(document(3)[:size])


@given(st.binary(max_size=300))
def test_no_bytes_break_the_decoder(data):
    with pytest.raises(InvalidDocument):
        decode_table(data)


def test_request_headers_are_decoded():
    head = RequestHead(
        b"POST",
        b"/x",
        (
            (b"pepperstep-attempt-id", b"9c41"),
            (b"pepperstep-token-counts", b"1460,80"),
            (b"pepperstep-prompt-prefix", b"5c:800,91:410,e4:250"),
            (b"pepperstep-deadline-ms", b"5000"),
            (b"authorization", b"Bearer key"),
        ),
    )
    facts = PlatformWire().read_request(head)
    assert (facts.prompt_tokens, facts.answer_tokens) == (1460, 80)
    assert [part.id for part in facts.prompt_parts] == ["5c", "91", "e4"]
    assert (facts.wait, facts.key) == (5.0, "key")


@given(
    st.lists(
        st.tuples(
            st.sampled_from(
                [
                    b"pepperstep-token-counts",
                    b"pepperstep-prompt-prefix",
                    b"pepperstep-deadline-ms",
                    b"pepperstep-length-hint",
                    b"authorization",
                ]
            ),
            st.binary(max_size=40),
        )
    )
)
def test_no_headers_break_the_wire(headers):
    head = RequestHead(b"GET", b"/x", tuple(headers))
    wire = PlatformWire()
    facts = wire.read_request(head)
    assert facts.wait is None or facts.wait >= 0
    wire.write_request(head, Forwarding("u", 1.0))
    wire.read_answer(AnswerHead(200, tuple(headers)))


@pytest.mark.parametrize(
    ("failure", "status"),
    [
        (Failure(Code.NO_UPSTREAM, "", retry_after=0.5), 503),
        (Failure(Code.OVERLOADED, "", retry_after=0.5), 429),
        (Failure(Code.UNAUTHORIZED, ""), 401),
        (Failure(Code.UNKNOWN_NAME, ""), 404),
        (Failure(Code.UPSTREAM_FAILED, "", execution=Execution.MAY_HAVE_RUN), 502),
        (Failure(Code.DEADLINE_EXPIRED, "", execution=Execution.MAY_HAVE_RUN), 504),
    ],
)
def test_statuses_tell_whether_a_request_has_run(failure, status):
    answer = PlatformWire().write_failure(failure, b"id")
    assert answer.status == status
    has_time = b"retry-after" in dict(answer.headers)
    assert has_time == (failure.retry_after is not None)


@pytest.mark.parametrize(
    ("value", "limit"),
    [
        (b"2.5", 2.5),
        (b"0", 0.0),
        (b" 3 ", 3.0),
        (b"-1", 0.0),
        (b"many", None),
        (b"", None),
        (b"nan", None),
        (b"inf", None),
    ],
)
def test_stated_limit_is_a_number_or_none_at_all(value, limit):
    head = AnswerHead(200, ((b"server-limit", value),))
    assert PlatformWire().read_answer(head).rate_limit == limit
    assert PlatformWire().read_answer(AnswerHead(200, ())).rate_limit is None


OPTIONS = [
    b"pepperstep-tenant",
    b"pepperstep-expect-replica",
    b"pepperstep-deadline-ms",
    b"pepperstep-attempt-id",
    b"pepperstep-token-counts",
    b"host",
    b"last-event-id",
]


@pytest.mark.parametrize("is_forwarded", [False, True])
@pytest.mark.parametrize("option", OPTIONS)
def test_connection_header_of_a_caller_removes_headers_of_the_system(
    option, is_forwarded
):
    sent = [
        (b"host", b"a.example"),
        (b"connection", b"close, " + option.title() + b", x-hop"),
        (b"x-hop", b"1"),
        (b"pepperstep-attempt-id", b"id-1"),
        (b"pepperstep-token-counts", b"1/2"),
    ]
    wire = PlatformWire()
    head = RequestHead(b"GET", b"/safe/1", tuple(sent))
    if is_forwarded:
        # The upstream's headers are added by the host to which this one forwards.
        head = wire.write_forwarded(head, 1.0, b"3")
    written = wire.write_request(
        head, Forwarding("u1", 1.0, "desk", last_event_id=b"3")
    )
    values = dict(end_to_end_headers(written.headers))
    assert values.keys() >= set(OPTIONS) and b"x-hop" not in values
    assert values[b"pepperstep-tenant"] == b"desk"
