"""API for callers: answers, streams, and refusals with a code."""

import json

import pytest
import trio

from pepperstep.entities import Outcome
from pepperstep.errors import Code, Execution, Failure
from tests.api.fake_node import ANSWER, CALLER_KEY, FakeNode, ask

TEXT = "".join(ANSWER)
MESSAGES = [{"role": "user", "content": "Seat 80 guests."}]
CHAT = {"model": "zaseki-model", "messages": MESSAGES}
PROMPT = {"model": "zaseki-model", "prompt": "Seat 80 guests."}
CHAT_PATH = "/v1/chat/completions"
PROMPT_PATH = "/v1/completions"
SERVICE_PATH = "/services/venue-desk/charts"


def parse_events(body: bytes) -> list[tuple[str, dict | str]]:
    """Return the id and data of each server-sent event."""
    events = []
    for block in body.decode().removesuffix("\n\n").split("\n\n"):
        fields = dict(line.split(": ", 1) for line in block.split("\n"))
        data = fields["data"]
        value = data if data == "[DONE]" else json.loads(data)
        events.append((fields.get("id", ""), value))
    return events


@pytest.mark.parametrize(("path", "body"), [(CHAT_PATH, CHAT), (PROMPT_PATH, PROMPT)])
async def test_whole_answer(autojump_clock, path, body):
    node = FakeNode()
    answer = await ask(node.api(), "POST", path, body)
    choice = answer.json["choices"][0]
    text = choice["message"]["content"] if path == CHAT_PATH else choice["text"]
    assert (answer.status, text, choice["finish_reason"]) == (200, TEXT, "stop")
    assert answer.headers["x-request-id"] == answer.json["id"]
    assert answer.json["usage"]["completion_tokens"] == len(ANSWER)
    labels = 'class="standard",workspace="planners"'
    text = node.metrics.render().decode()
    for name, count in (
        ("time_to_first_token", 1),
        ("time_between_tokens", 3),
        ("request", 1),
    ):
        assert f"pepperstep_{name}_seconds_count{{{labels}}} {count}.0" in text


@pytest.mark.parametrize(("path", "body"), [(CHAT_PATH, CHAT), (PROMPT_PATH, PROMPT)])
async def test_streamed_answer(autojump_clock, path, body):
    options = {"stream": True, "stream_options": {"include_usage": True}}
    answer = await ask(FakeNode().api(), "POST", path, body | options)
    *chunks, (_, end), (_, usage), (_, done) = parse_events(answer.body)
    parts = [
        c["choices"][0]["delta"]["content"]
        if path == CHAT_PATH
        else c["choices"][0]["text"]
        for _, c in chunks
    ]
    assert "".join(parts) == TEXT
    request_id = answer.headers["x-request-id"]
    assert [i for i, _ in chunks] == [f"{request_id}/{n}" for n in (1, 2, 3, 4)]
    assert end["choices"][0]["finish_reason"] == "stop"
    assert usage["usage"]["completion_tokens"] == 4
    assert (usage["choices"], done) == ([], "[DONE]")
    # One ASGI event for each part; the last also ends the body.
    assert len(answer.events) == len(ANSWER) + 1


async def test_stream_resumes_after_event_id(autojump_clock):
    node = FakeNode()
    first = await ask(node.api(), "POST", PROMPT_PATH, PROMPT | {"stream": True})
    request_id = first.headers["x-request-id"]
    rest = await ask(
        node.api(),
        "GET",
        f"/v1/requests/{request_id}/events",
        headers={"last-event-id": f"{request_id}/2"},
    )
    texts = [
        e["choices"][0]["text"] for _, e in parse_events(rest.body) if e != "[DONE]"
    ]
    assert "".join(texts) == "".join(ANSWER[2:])


async def test_request_is_cancelled(autojump_clock):
    node = FakeNode()
    first = await ask(node.api(), "POST", PROMPT_PATH, PROMPT)
    request_id = first.headers["x-request-id"]
    answer = await ask(node.api(), "DELETE", f"/v1/requests/{request_id}")
    assert answer.json == {"id": request_id, "is_cancelled": True}
    assert node.requests.cancelled == [(request_id, "planners")]


async def test_service_gets_path_query_and_body_as_sent(autojump_clock):
    node = FakeNode()
    path = "/services/venue-desk/charts/a%20b?hall=%E5%BA%83&x=1"
    headers = {"content-type": "text/csv", "x-deadline-seconds": "5"}
    answer = await ask(node.api(), "PUT", path, b"\xff\x00chart", headers=headers)
    assert (answer.status, answer.body) == (201, b"\xff\x00chart")
    (request,) = node.requests.submitted
    assert request.path == "/charts/a%20b?hall=%E5%BA%83&x=1"
    assert (request.method, request.content_type) == ("PUT", "text/csv")
    assert not request.is_repeatable
    assert request.deadline == pytest.approx(node.timers.wall() + 5, abs=1)


@pytest.mark.parametrize("status", [400, 408, 409, 421, 429, 500, 502, 503, 504])
@pytest.mark.parametrize("is_repeatable", [False, True])
async def test_status_of_a_service_that_ran_invites_no_repeat(
    autojump_clock, status, is_repeatable
):
    """Guards against clients that repeat a call on their own for its status."""
    node = FakeNode()
    node.requests.service_status = status
    node.store.set_service_repeatable(is_repeatable)
    answer = await ask(node.api(), "POST", "/services/venue-desk/x", b"chart")
    assert (answer.status, answer.body) == (status, b"chart")
    headers = (answer.headers.get("x-execution"), answer.headers.get("x-should-retry"))
    assert headers == ((None, None) if is_repeatable else ("may_have_run", "false"))


async def test_hosts_models_health_and_metrics(autojump_clock):
    node = FakeNode()
    hosts = (await ask(node.api(), "GET", "/v1/entry-hosts")).json
    weights = {each["name"]: each["weight"] for each in hosts["entry_hosts"]}
    assert weights == {"entry-0": 1, "entry-1": 1, "far": 0}
    assert hosts["time_to_live_seconds"] == 10.0
    models = (await ask(node.api(), "GET", "/v1/models")).json["data"]
    assert [model["id"] for model in models] == ["zaseki-model"]
    assert (await ask(node.api(), "GET", "/healthz", key="")).status == 200
    assert (await ask(node.api(), "GET", "/readyz", key="")).status == 200
    node.not_ready = ["No quorum."]
    ready = await ask(node.api(), "GET", "/readyz", key="")
    assert (ready.status, ready.json["reasons"]) == (503, ["No quorum."])
    assert b"pepperstep_refusals" in (await ask(node.api(), "GET", "/metrics")).body


BAD_BODIES = [
    (b"", Code.INVALID_REQUEST),
    (b"{", Code.INVALID_REQUEST),
    (b"[]", Code.INVALID_REQUEST),
    (b"null", Code.INVALID_REQUEST),
    (b'{"model":"zaseki-model","prompt":"\xff"}', Code.INVALID_REQUEST),
    (b'{"model":"zaseki-model","prompt":"\\ud800"}', Code.INVALID_REQUEST),
    (b'{"model":"zaseki-model","other":' + b"[" * 15_000, Code.INVALID_REQUEST),
    (PROMPT | {"model": 7}, Code.INVALID_REQUEST),
    (PROMPT | {"model": ""}, Code.INVALID_REQUEST),
    (PROMPT | {"model": "x" * 500}, Code.INVALID_REQUEST),
    (PROMPT | {"model": "no-such-model"}, Code.UNKNOWN_MODEL),
    (PROMPT | {"model": "other-model"}, Code.UNKNOWN_MODEL),
    (PROMPT | {"prompt": ["a", "b"]}, Code.INVALID_REQUEST),
    (PROMPT | {"prompt": []}, Code.INVALID_REQUEST),
    (PROMPT | {"prompt": [1, 2]}, Code.INVALID_REQUEST),
    (PROMPT | {"prompt": "x" * 5000}, Code.PROMPT_TOO_LONG),
    (PROMPT | {"prompt": "x" * 30_000}, Code.BODY_TOO_LARGE),
    (PROMPT | {"n": 2}, Code.INVALID_REQUEST),
    (PROMPT | {"best_of": 3}, Code.INVALID_REQUEST),
    (PROMPT | {"logprobs": 5}, Code.INVALID_REQUEST),
    (PROMPT | {"stop": ["x"]}, Code.INVALID_REQUEST),
    (PROMPT | {"echo": True}, Code.INVALID_REQUEST),
    (PROMPT | {"max_tokens": 0}, Code.INVALID_REQUEST),
    (PROMPT | {"max_tokens": -1}, Code.INVALID_REQUEST),
    (PROMPT | {"max_tokens": "many"}, Code.INVALID_REQUEST),
    (PROMPT | {"max_tokens": 401}, Code.INVALID_REQUEST),
    (PROMPT | {"seed": 2**70}, Code.INVALID_REQUEST),
    (PROMPT | {"seed": 0.5}, Code.INVALID_REQUEST),
    (PROMPT | {"stream": "yes"}, Code.INVALID_REQUEST),
    (PROMPT | {"stream_options": []}, Code.INVALID_REQUEST),
    (PROMPT | {"temperature": "hot"}, Code.INVALID_REQUEST),
]
BAD_CHATS = [
    (CHAT | {"messages": []}, Code.INVALID_REQUEST),
    (CHAT | {"messages": "Hello"}, Code.INVALID_REQUEST),
    (CHAT | {"messages": [{"content": "x"}]}, Code.INVALID_REQUEST),
    (CHAT | {"messages": [{"role": "user", "content": [7]}]}, Code.INVALID_REQUEST),
    (
        CHAT | {"messages": [{"role": "user", "content": [{"type": "image_url"}]}]},
        Code.INVALID_REQUEST,
    ),
    (
        CHAT | {"messages": [{"role": "user", "content": [{"text": 7}]}]},
        Code.INVALID_REQUEST,
    ),
    (CHAT | {"tools": [{"type": "function"}]}, Code.INVALID_REQUEST),
    (CHAT | {"response_format": {"type": "json_object"}}, Code.INVALID_REQUEST),
]


@pytest.mark.parametrize(
    ("path", "body", "code"),
    [(PROMPT_PATH, *each) for each in BAD_BODIES]
    + [(CHAT_PATH, *each) for each in BAD_CHATS],
)
async def test_bad_body_is_refused(autojump_clock, path, body, code):
    await assert_refused("POST", path, body, {}, code)


BAD_HEADERS = [
    ({"x-deadline-seconds": "soon"}, Code.INVALID_REQUEST),
    ({"x-deadline-seconds": "nan"}, Code.INVALID_REQUEST),
    ({"x-deadline-seconds": "inf"}, Code.INVALID_REQUEST),
    ({"x-deadline-seconds": "1e9"}, Code.INVALID_REQUEST),
    ({"x-deadline-seconds": "0"}, Code.DEADLINE_EXPIRED),
    ({"x-deadline-seconds": "-3"}, Code.DEADLINE_EXPIRED),
    ({"x-priority": "first"}, Code.INVALID_REQUEST),
    ({"x-repeatable": "no"}, Code.INVALID_REQUEST),
    ({"x-workspace": "others"}, Code.UNKNOWN_WORKSPACE),
    ({"idempotency-key": "x" * 256}, Code.INVALID_REQUEST),
    ({"idempotency-key": "\xe9"}, Code.INVALID_REQUEST),
    ({"content-length": "99999999"}, Code.BODY_TOO_LARGE),
    ({"x-other": "x" * 5000}, Code.INVALID_REQUEST),
    ([(b"idempotency-key", b"a"), (b"idempotency-key", b"b")], Code.INVALID_REQUEST),
]


@pytest.mark.parametrize(("headers", "code"), BAD_HEADERS)
@pytest.mark.parametrize(
    ("path", "body"), [(PROMPT_PATH, PROMPT), (SERVICE_PATH, b"chart")]
)
async def test_bad_header_is_refused(autojump_clock, path, body, headers, code):
    await assert_refused("POST", path, body, headers, code)


BAD_CALLS = [
    ("POST", "/v1/nothing", {}, Code.UNKNOWN_NAME),
    ("GET", CHAT_PATH, {}, Code.UNKNOWN_NAME),
    ("GET", "/services/no-such/x", {}, Code.UNKNOWN_SERVICE),
    ("GET", "/services/", {}, Code.UNKNOWN_SERVICE),
    ("BREW", SERVICE_PATH, {}, Code.INVALID_REQUEST),
    ("GET", "/v1/requests/entry-0.cmpl-1", {}, Code.UNKNOWN_NAME),
    ("DELETE", "/v1/requests/entry-0.cmpl-1/events", {}, Code.UNKNOWN_NAME),
    ("GET", "/v1/requests/entry-0.cmpl-1/events", {}, Code.UNKNOWN_REQUEST),
    ("GET", "/v1/requests/junk/events", {}, Code.UNKNOWN_REQUEST),
    ("DELETE", "/v1/requests/junk", {}, Code.UNKNOWN_REQUEST),
    ("GET", "/v1/requests/entry-0.call-1/events", {}, Code.INVALID_REQUEST),
    (
        "GET",
        "/v1/requests/entry-0.cmpl-1/events",
        {"last-event-id": "entry-0.cmpl-1/-1"},
        Code.INVALID_REQUEST,
    ),
]


@pytest.mark.parametrize(("method", "path", "headers", "code"), BAD_CALLS)
async def test_bad_call_is_refused(autojump_clock, method, path, headers, code):
    await assert_refused(method, path, b"", headers, code)


async def test_cancel_of_an_unknown_request_does_not_tell_that_it_has_not_run(
    autojump_clock,
):
    """Guards against a second run of a request that no host knows any longer."""
    path = "/v1/requests/entry-0.cmpl-1"
    code = Code.UNKNOWN_REQUEST
    await assert_refused("DELETE", path, b"", {}, code, execution="may_have_run")


@pytest.mark.parametrize(
    ("method", "suffix"), [("GET", "/events"), ("DELETE", "")], ids=["read", "cancel"]
)
@pytest.mark.parametrize(
    ("is_configured", "key", "code"),
    [(False, CALLER_KEY, Code.NOT_READY), (True, "wrong", Code.UNAUTHORIZED)],
)
async def test_host_that_reads_no_request_does_not_tell_that_it_has_not_run(
    autojump_clock, method, suffix, is_configured, key, code
):
    """Guards against a second run of a request whose reader asks a starting host."""
    node = FakeNode()
    first = await ask(node.api(), "POST", PROMPT_PATH, PROMPT)
    node.is_configured = is_configured
    path = f"/v1/requests/{first.headers['x-request-id']}{suffix}"
    answer = await ask(node.api(), method, path, key=key)
    assert answer.code == code
    assert answer.json["error"]["execution"] == "may_have_run"
    assert answer.headers["x-execution"] == "may_have_run"
    assert answer.headers["x-should-retry"] == "false"


async def assert_refused(method, path, body, headers, code, execution="not_run"):
    """Check that a call is refused at once and that the host still serves others."""
    node = FakeNode()
    started = trio.current_time()
    answer = await ask(node.api(), method, path, body, headers=headers)
    assert (answer.code, answer.status >= 400) == (code, True)
    assert answer.json["error"]["execution"] == execution
    assert answer.headers["x-should-retry"] == "false"
    assert node.requests.submitted == []
    assert f'pepperstep_refusals_total{{code="{code}"}} 1.0' in (
        node.metrics.render().decode()
    )
    assert trio.current_time() == started
    assert (await ask(node.api(), "POST", PROMPT_PATH, PROMPT)).status == 200


@pytest.mark.parametrize("key", ["", "wrong", "caller-key-2", "\xe9"])
@pytest.mark.parametrize(
    "path", [PROMPT_PATH, SERVICE_PATH, "/upstreams/v1/announce", "/operator/v1/drain"]
)
async def test_wrong_key_is_refused(autojump_clock, path, key):
    answer = await ask(FakeNode().api(), "POST", path, PROMPT, key=key)
    assert (answer.status, answer.code) == (401, Code.UNAUTHORIZED)
    assert answer.headers["www-authenticate"] == "Bearer"


@pytest.mark.parametrize("path", [PROMPT_PATH, SERVICE_PATH, "/operator/v1/drain"])
async def test_host_without_configuration_names_other_hosts(autojump_clock, path):
    node = FakeNode()
    node.is_configured = False
    answer = await ask(node.api(), "POST", path, PROMPT)
    assert (answer.status, answer.code) == (503, Code.NOT_READY)
    assert answer.json["error"]["entry_hosts"] == ["http://entry-1"]
    assert answer.headers["x-should-retry"] == "true"


async def test_same_idempotency_key_returns_same_request(autojump_clock):
    node = FakeNode()
    headers = {"idempotency-key": "order-7"}
    first = await ask(node.api(), "POST", PROMPT_PATH, PROMPT, headers=headers)
    retried = await ask(node.api(), "POST", PROMPT_PATH, PROMPT, headers=headers)
    other = PROMPT | {"prompt": "Other."}
    conflict = await ask(node.api(), "POST", PROMPT_PATH, other, headers=headers)
    assert first.json["id"] == retried.json["id"]
    assert (conflict.status, conflict.code) == (409, Code.IDEMPOTENCY_CONFLICT)
    assert conflict.headers["x-should-retry"] == "false"
    assert len(node.requests.submitted) == 1


async def test_same_idempotency_key_gives_same_seed_on_partitioned_hosts(
    autojump_clock,
):
    nodes = [FakeNode(), FakeNode()]
    for node, key in zip(nodes, ("order-7", "order-7"), strict=True):
        headers = {"idempotency-key": key}
        await ask(node.api(), "POST", PROMPT_PATH, PROMPT, headers=headers)
    await ask(nodes[0].api(), "POST", PROMPT_PATH, PROMPT)
    first, retried, other = [r for n in nodes[::-1] for r in n.requests.submitted]
    assert first.seed == retried.seed != other.seed


@pytest.mark.parametrize(
    ("execution", "retry_after", "repeats", "header"),
    [
        (Execution.NOT_RUN, 0.25, "true", "1"),
        (Execution.NOT_RUN, 2.5, "true", "3"),
        (Execution.NOT_RUN, 61.0, "false", "61"),
        (Execution.NOT_RUN, None, "false", None),
        (Execution.MAY_HAVE_RUN, 1.0, "false", "1"),
        (Execution.MAY_HAVE_RUN, None, "false", None),
    ],
)
async def test_retry_headers(autojump_clock, execution, retry_after, repeats, header):
    node = FakeNode()
    node.requests.refusal = Failure(
        Code.OVERLOADED, "Too much.", execution=execution, retry_after=retry_after
    )
    answer = await ask(node.api(), "POST", PROMPT_PATH, PROMPT)
    assert answer.headers["x-should-retry"] == repeats
    assert answer.headers["x-execution"] == execution
    assert answer.headers.get("retry-after") == header


@pytest.mark.parametrize("streams", [False, True])
async def test_failed_outcome_before_the_first_token(autojump_clock, streams):
    node = FakeNode()
    node.requests.fails_after = 0
    answer = await ask(node.api(), "POST", PROMPT_PATH, PROMPT | {"stream": streams})
    assert (answer.status, answer.code) == (502, Code.UPSTREAM_FAILED)
    assert answer.headers["x-request-id"] == node.requests.submitted[0].id


@pytest.mark.parametrize("has_outcome", [False, True])
async def test_failure_during_stream_is_sent_as_event(autojump_clock, has_outcome):
    node = FakeNode()
    if has_outcome:
        node.requests.outcome = Outcome(
            code=Code.MAY_HAVE_RUN, execution=Execution.MAY_HAVE_RUN
        )
    else:
        node.requests.fails_after = 2
    answer = await ask(node.api(), "POST", PROMPT_PATH, PROMPT | {"stream": True})
    assert answer.status == 200
    assert b"event: error\ndata: " in answer.events[-1]
    code = Code.MAY_HAVE_RUN if has_outcome else Code.UPSTREAM_FAILED
    assert f'"code":"{code}"'.encode() in answer.events[-1]
    assert b"[DONE]" not in answer.body


@pytest.mark.parametrize("streams", [False, True])
async def test_reading_stops_when_caller_disconnects(autojump_clock, streams):
    node = FakeNode()
    node.requests.hangs_after = 2
    body = PROMPT | {"stream": streams}
    with trio.fail_after(10):
        await ask(node.api(), "POST", PROMPT_PATH, body, disconnect_after=5)
    assert node.requests.reads_closed == 1


async def test_slow_body_is_refused(autojump_clock):
    api = FakeNode().api()
    answer = await ask(api, "POST", PROMPT_PATH, PROMPT, body_pause=20)
    assert (answer.status, answer.code) == (400, Code.INVALID_REQUEST)


async def test_internal_error_shows_no_traceback(autojump_clock):
    node = FakeNode()
    node.requests = None
    answer = await ask(node.api(), "POST", PROMPT_PATH, PROMPT)
    assert (answer.status, answer.code) == (500, Code.INTERNAL)
    assert answer.json["error"]["message"] == "Internal error."
    assert answer.json["error"]["execution"] == "may_have_run"


def test_configuration_does_not_contain_caller_key():
    assert CALLER_KEY not in str(FakeNode().configuration)
