"""Arbitrary input must get an answer or a typed error, never an internal one."""

import json

import pytest
import trio
from hypothesis import HealthCheck, given, settings, strategies as st
from trio.testing import MockClock

from pepperstep.errors import Code
from tests.api.fake_node import OPERATOR_KEY, UPSTREAM_KEY, FakeNode, ask
from tests.api.test_announcements import ANNOUNCEMENT
from tests.api.test_callers import CHAT, PROMPT

FUZZ = settings(
    max_examples=60,
    derandomize=True,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
CODES = set(Code)
CHANGE = {"document": "kitahara", "text": "x", "from_revision": 1, "change_id": "c"}
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=20),
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner)
    ),
    max_leaves=8,
)
PATHS = {
    "/v1/chat/completions": (CHAT, "caller-key"),
    "/v1/completions": (PROMPT, "caller-key"),
    "/services/venue-desk/x": (PROMPT, "caller-key"),
    "/upstreams/v1/announce": (ANNOUNCEMENT, UPSTREAM_KEY),
    "/operator/v1/configuration": (CHANGE, OPERATOR_KEY),
    "/operator/v1/drain": ({"host": "entry-1"}, OPERATOR_KEY),
}
HEADERS = st.lists(
    st.tuples(
        st.sampled_from(
            [
                b"authorization",
                b"content-length",
                b"idempotency-key",
                b"last-event-id",
                b"x-deadline-seconds",
                b"x-priority",
                b"x-repeatable",
                b"x-workspace",
            ]
        ),
        st.binary(max_size=30) | st.from_regex(rb"[-+]?[0-9.e]{1,12}", fullmatch=True),
    ),
    max_size=4,
)


def ask_once(method: str, path: str, body: bytes, key: str, headers=()) -> None:
    """Make a call and check that an error has a code other than INTERNAL."""

    async def run() -> None:
        node = FakeNode()
        answer = await ask(node.api(), method, path, body, key=key, headers=headers)
        if answer.status >= 400 and "status" not in answer.json:
            assert answer.code in CODES - {Code.INTERNAL}
            assert answer.json["error"]["message"]
            assert "Traceback" not in answer.body.decode()

    trio.run(run, clock=MockClock(autojump_threshold=0))


@FUZZ
@pytest.mark.parametrize("path", PATHS)
@given(data=st.data())
def test_any_bytes(path, data):
    ask_once("POST", path, data.draw(st.binary(max_size=200)), PATHS[path][1])


@FUZZ
@pytest.mark.parametrize("path", PATHS)
@given(data=st.data())
def test_any_values_of_known_fields(path, data):
    good, key = PATHS[path]
    names = st.sampled_from(sorted({*good, "stream", "seed", "max_tokens", "n"}))
    changed = good | data.draw(st.dictionaries(names, VALUES, max_size=3))
    body = json.dumps(changed).encode("utf-8", "surrogatepass")
    ask_once("POST", path, body, key)


@FUZZ
@pytest.mark.parametrize("path", PATHS)
@given(data=st.data())
def test_any_headers(path, data):
    good, key = PATHS[path]
    body = json.dumps(good).encode()
    ask_once("POST", path, body, key, data.draw(HEADERS))


@FUZZ
@given(
    method=st.sampled_from(["GET", "POST", "HEAD", "DELETE", "OPTIONS"]),
    parts=st.lists(
        st.sampled_from(
            ["v1", "operator", "services", "requests", "events", "explain", "%00"]
        )
        | st.from_regex(r"[!-~]{0,12}", fullmatch=True),
        max_size=5,
    ),
    key=st.sampled_from(["caller-key", OPERATOR_KEY, UPSTREAM_KEY]),
)
def test_any_path(method, parts, key):
    ask_once(method, "/" + "/".join(parts), b"", key)
