"""Operator API of a host."""

import pytest

from pepperstep.errors import Code
from pepperstep.observability.explanations import StepKind
from tests.api.fake_node import BASE_TEXT, OPERATOR_KEY, FakeNode, ask

CHANGE = {
    "document": "base",
    "text": BASE_TEXT + "[workspaces.third]\n",
    "from_revision": 1,
    "change_id": "change-1",
}


async def call_operator_api(
    node: FakeNode, method: str, name: str, body=b"", **options
):
    """Make a call with the operator's key."""
    path = f"/operator/v1/{name}"
    return await ask(node.api(), method, path, body, key=OPERATOR_KEY, **options)


@pytest.mark.parametrize(
    ("name", "member", "expected"),
    [
        ("status", "host", "entry-0"),
        ("hosts", "hosts", 2),
        ("upstreams", "upstreams", 1),
        ("events", "events", 0),
    ],
)
async def test_views(autojump_clock, name, member, expected):
    value = (await call_operator_api(FakeNode(), "GET", name)).json[member]
    assert (value if isinstance(expected, str) else len(value)) == expected


async def test_configuration_shows_origins(autojump_clock):
    view = (await call_operator_api(FakeNode(), "GET", "configuration")).json
    values = {each["path"]: each for each in view["values"]}
    expected = {
        "deployments.zaseki-model.max_replicas": ("8", "kitahara"),
        "deployments.zaseki-model.model": ('"zaseki-7b"', "base"),
        "deployments.zaseki-model.min_replicas": ("1", "default"),
        "limits.max_body_bytes": ("20000", "base"),
    }
    found = {p: (values[p]["value"], values[p]["document"]) for p in expected}
    assert found == expected
    assert view["revision"] == 1
    assert [each["name"] for each in view["documents"]] == ["base", "kitahara"]
    assert view["documents"][0]["text"] == BASE_TEXT


async def test_change_is_accepted_once(autojump_clock):
    node = FakeNode()
    first = await call_operator_api(node, "POST", "configuration", CHANGE)
    assert (first.status, first.json["status"]) == (200, "accepted")
    assert first.json["revision"] == 2
    change = CHANGE | {"change_id": "change-2"}
    second = await call_operator_api(node, "POST", "configuration", change)
    assert (second.status, second.json["status"]) == (409, "conflict")
    assert second.json["winner"]["operator"] == "chief"
    assert {change.operator for change in node.store.changes} == {"chief"}


@pytest.mark.parametrize(
    "change",
    [
        {"document": ""},
        {"document": None},
        {"text": 7},
        {"from_revision": -1},
        {"from_revision": "1"},
        {"change_id": ""},
        {"change_id": "x" * 300},
    ],
)
async def test_bad_change_is_refused(autojump_clock, change):
    node = FakeNode()
    answer = await call_operator_api(node, "POST", "configuration", CHANGE | change)
    assert (answer.status, answer.code) == (400, Code.INVALID_REQUEST)
    assert node.store.changes == []


async def test_drain_and_events(autojump_clock):
    node = FakeNode()
    assert (
        await call_operator_api(node, "POST", "drain", {"host": "entry-1"})
    ).status == 200
    assert node.drained == ["entry-1"]
    unknown = await call_operator_api(node, "POST", "drain", {"host": "entry-9"})
    assert (unknown.status, unknown.code) == (404, Code.UNKNOWN_NAME)
    node.events.note("fleet", "Started a host.", "Its zone is cheap.")
    (first, second) = (await call_operator_api(node, "GET", "events")).json["events"]
    assert first["text"] == "Host entry-1 drains."
    assert second["reason"] == "Its zone is cheap."
    rest = await call_operator_api(node, "GET", f"events?after={first['id']}&limit=5")
    assert rest.json["events"] == [second]
    for query in ("after=x", "limit=-1", "limit=%C2%B2", "after=" + "9" * 30):
        answer = await call_operator_api(node, "GET", f"events?{query}")
        assert answer.code == Code.INVALID_REQUEST


async def test_explain(autojump_clock):
    node = FakeNode()
    node.explanations.note("entry-0.cmpl-1", StepKind.ACCEPTED)
    node.explanations.note(
        "entry-0.cmpl-1", StepKind.DISPATCHED, attempt=1, upstream="engine-0"
    )
    answer = await call_operator_api(node, "GET", "explain/entry-0.cmpl-1")
    assert [step["kind"] for step in answer.json["steps"]] == ["accepted", "dispatched"]
    assert answer.json["told_by"] == "entry-0"
    missing = await call_operator_api(node, "GET", "explain/entry-1.cmpl-2")
    assert (missing.status, missing.code) == (404, Code.UNKNOWN_REQUEST)


async def test_caller_key_is_no_operator_key(autojump_clock):
    answer = await ask(FakeNode().api(), "GET", "/operator/v1/status")
    assert (answer.status, answer.code) == (401, Code.UNAUTHORIZED)
