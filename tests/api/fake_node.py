"""Fake host, and a client that calls its HTTP API in process over ASGI."""

import hashlib
import json
import random
from collections.abc import AsyncGenerator
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any

import trio

from pepperstep.adapters.http_api import Api
from pepperstep.configuration import (
    BASE,
    Change,
    ChangeAnswer,
    ChangeStatus,
    Configuration,
    Winner,
    merge,
    parse,
)
from pepperstep.entities import Host, Outcome, Request, RequestKind, ServiceAnswer
from pepperstep.errors import Code, Failure
from pepperstep.fakes import FakeTimers
from pepperstep.membership import Lease
from pepperstep.observability import EventLog
from pepperstep.observability.explanations import Explanations
from pepperstep.observability.metrics import Metrics
from pepperstep.observability.views import HostView, StatusView, UpstreamView
from pepperstep.requests import AnswerPart

CALLER_KEY = "caller-key"
OPERATOR_KEY = "operator-key"
UPSTREAM_KEY = "upstream-key"


def key_hash(key: str) -> str:
    """Return the hash under which documents store a key."""
    return hashlib.sha256(key.encode()).hexdigest()


BASE_TEXT = f"""
upstream_keys = ["{key_hash(UPSTREAM_KEY)}"]
[sites.kitahara]
regions = ["dosanko"]
[limits]
max_body_bytes = 20000
max_prompt_tokens = 1000
max_answer_tokens = 400
max_header_bytes = 4000
[workspaces.planners]
[workspaces.others]
[callers.desk]
workspace = "planners"
key_sha256 = "{key_hash(CALLER_KEY)}"
[operators.chief]
key_sha256 = "{key_hash(OPERATOR_KEY)}"
may_change_base = true
[deployments.zaseki-model]
site = "kitahara"
model = "zaseki-7b"
version = "1"
workspaces = ["planners"]
[deployments.other-model]
model = "other-7b"
workspaces = ["others"]
[services.venue-desk]
workspaces = ["planners"]
"""
OVERLAY_TEXT = """
site = "kitahara"
[deployments.zaseki-model]
max_replicas = 8
"""

ANSWER = ["Seat ", "Aunt ", "Yuki ", '"here"\n']


class FakeStore:
    """In-memory configuration documents, changed without a replicated log."""

    def __init__(self) -> None:
        self.texts = {BASE: BASE_TEXT, "kitahara": OVERLAY_TEXT}
        self.current = Configuration()
        self.changes: list[Change] = []
        self._refresh(1)

    def _refresh(self, revision: int) -> None:
        base = parse(self.texts[BASE], BASE)
        overlays = [parse(t, n) for n, t in self.texts.items() if n != BASE]
        self.current = merge(base, overlays, revision)

    def text_of(self, document: str) -> str:
        """Return a document's text."""
        return self.texts.get(document, "")

    def set_service_repeatable(self, is_repeatable: bool) -> None:
        """Set whether calls of the plain service may run twice."""
        text = str(is_repeatable).lower()
        self.texts[BASE] = f"{BASE_TEXT}is_repeatable = {text}\n"
        self._refresh(self.current.revision + 1)

    async def apply_change(self, change: Change, timeout: float) -> ChangeAnswer:
        """Accept a change based on the current revision; refuse others as conflicts."""
        self.changes.append(change)
        revision = self.current.revision
        if change.from_revision != revision:
            winner = Winner(revision, "first", "chief")
            return ChangeAnswer(ChangeStatus.CONFLICT, revision, winner)
        self.texts[change.document] = change.text
        self._refresh(revision + 1)
        return ChangeAnswer(ChangeStatus.ACCEPTED, revision + 1)


@dataclass
class FakeRequests:
    """Gives all requests the same answer, or a failure set by the test."""

    timers: FakeTimers
    outcome: Outcome = field(default_factory=lambda: Outcome(finish="stop"))
    refusal: Failure | None = None
    # Status of plain services' answers.
    service_status: int = 201
    # Number of tokens after which the stream fails or hangs.
    fails_after: int | None = None
    hangs_after: int | None = None
    submitted: list[Request] = field(default_factory=list)
    reads_closed: int = 0
    cancelled: list[tuple[str, str]] = field(default_factory=list)

    async def submit(self, request: Request) -> Any:
        """Accept a request, or find the earlier one with its idempotency key."""
        if self.refusal is not None:
            raise self.refusal
        for earlier in self.submitted:
            if earlier.idempotency_key and (
                earlier.idempotency_key == request.idempotency_key
            ):
                if earlier.fingerprint != request.fingerprint:
                    raise Failure(Code.IDEMPOTENCY_CONFLICT, "The key has another use.")
                return SimpleNamespace(id=earlier.id)
        self.submitted.append(request)
        return SimpleNamespace(id=request.id)

    async def cancel(self, request_id: str, workspace: str) -> bool:
        """Record a cancellation; return whether the request exists."""
        self.cancelled.append((request_id, workspace))
        return request_id in {each.id for each in self.submitted}

    async def read(
        self, request_id: str, workspace: str, position: int = 0
    ) -> AsyncGenerator[AnswerPart, None]:
        """Yield the answer token by token."""
        try:
            found = [each for each in self.submitted if each.id == request_id]
            if not found:
                raise Failure(Code.UNKNOWN_REQUEST, "No host knows it.")
            if found[0].kind is RequestKind.SERVICE:
                answer = ServiceAnswer(self.service_status, "text/plain", found[0].body)
                yield AnswerPart(0, [], Outcome(service=answer))
                return
            for index in range(position, len(ANSWER)):
                await self.timers.sleep(0.1)
                if self.hangs_after == index:
                    await trio.sleep_forever()
                if self.fails_after == index:
                    raise Failure(Code.UPSTREAM_FAILED, "All is lost.")
                yield AnswerPart(index, [ANSWER[index]], None)
            yield AnswerPart(len(ANSWER), [], self.outcome)
        finally:
            self.reads_closed += 1


class FakeNode:
    """Implements `EntryNode` and `Operators` with fixed views."""

    def __init__(self, name: str = "entry-0") -> None:
        self.timers = FakeTimers(random.Random(1))
        self.host = _host(name, "dosanko")
        self.all_hosts = [self.host, _host("entry-1", "dosanko"), _host("far", "ncr")]
        self.directory = SimpleNamespace(entry_hosts=lambda: self.all_hosts)
        self.announced: list[tuple[Any, int, str, float]] = []
        self.registry = SimpleNamespace(announce=self._announce)
        self.requests = FakeRequests(self.timers)
        self.store = FakeStore()
        self.events = EventLog(name, self.timers)
        self.explanations = Explanations(name, self.timers)
        self.metrics = Metrics()
        self.not_ready: list[str] = []
        self.drained: list[str] = []
        self.is_configured = True

    @property
    def configuration(self) -> Configuration:
        """The configuration in force."""
        return self.store.current if self.is_configured else Configuration()

    def api(self) -> Api:
        """Return its HTTP API."""
        return Api(self, self.metrics, self)

    def reasons_not_ready(self) -> list[str]:
        """Return the reasons set by the test."""
        return self.not_ready

    def status(self) -> StatusView:
        """Return a fixed status."""
        return StatusView("entry-0", "zone-a", "dosanko", "kitahara", 1)

    def hosts(self) -> list[HostView]:
        """Return two hosts."""
        return [
            HostView(name, "alive", "zone-a", "dosanko", "kitahara", f"{name}:7000")
            for name in ("entry-0", "entry-1")
        ]

    def upstreams(self) -> list[UpstreamView]:
        """Return one engine."""
        return [UpstreamView("engine-0", "engine", "zone-a", "engine-0:9000", 7)]

    async def drain(self, host: str) -> None:
        """Record a drain order."""
        if host not in ("entry-0", "entry-1"):
            raise Failure(Code.UNKNOWN_NAME, f"No host {host} is known.")
        self.drained.append(host)

    def _announce(self, upstream: Any, sequence: int, token: str, held: float) -> Lease:
        self.announced.append((upstream, sequence, token, held))
        return Lease(
            seconds=3.0,
            heartbeat_period=1.0,
            is_renewed=True,
            entry_hosts=("http://entry-0", "http://entry-1"),
            token="token-2",
        )


@dataclass
class Answer:
    """Response to a call."""

    status: int
    headers: dict[str, str]
    body: bytes
    # Non-empty bodies of the ASGI events.
    events: list[bytes]

    @property
    def json(self) -> Any:
        """The body as JSON."""
        return json.loads(self.body)

    @property
    def code(self) -> str:
        """The code of an error, "" for successful calls."""
        return self.json["error"]["code"] if self.status >= 400 else ""


async def ask(
    api: Api,
    method: str,
    path: str,
    body: bytes | dict = b"",
    *,
    key: str = CALLER_KEY,
    headers: dict[str, str] | list[tuple[bytes, bytes]] = (),
    disconnect_after: float | None = None,
    body_pause: float = 0.0,
) -> Answer:
    """Call the API as a caller who may disconnect after some seconds."""
    data = json.dumps(body).encode() if isinstance(body, dict) else body
    if isinstance(headers, dict):
        headers = [(n.encode(), v.encode("latin-1")) for n, v in headers.items()]
    target, _, query = path.partition("?")
    scope = {
        "type": "http",
        "method": method,
        "path": target,
        "raw_path": target.encode(),
        "query_string": query.encode(),
        "headers": [(b"authorization", f"Bearer {key}".encode()), *headers],
    }
    return await _Exchange(data, disconnect_after, body_pause).run(api, scope)


class _Exchange:
    """One call in the role of an ASGI server."""

    def __init__(self, body: bytes, disconnect_after: float | None, body_pause: float):
        half = len(body) // 2
        self._parts = [body[:half], body[half:]]
        self._disconnect_after = disconnect_after
        self._body_pause = body_pause
        self._sent: list[dict] = []
        self._has_disconnected = False

    async def run(self, api: Api, scope: dict) -> Answer:
        """Run the call; check that the answer is well-formed and return it."""
        await api(scope, self._receive, self._send)
        if self._has_disconnected:
            return Answer(0, {}, b"", [])
        start, *bodies = self._sent
        assert start["type"] == "http.response.start"
        assert [event.get("more_body", False) for event in bodies][-1] is False
        assert all(event.get("more_body") for event in bodies[:-1])
        events = [event["body"] for event in bodies if event["body"]]
        headers = {n.decode(): v.decode("latin-1") for n, v in start["headers"]}
        body = b"".join(events)
        if "content-length" in headers:
            assert int(headers["content-length"]) == len(body)
        return Answer(start["status"], headers, body, events)

    async def _receive(self) -> dict:
        if self._parts:
            await trio.sleep(self._body_pause)
            part = self._parts.pop(0)
            more = bool(self._parts)
            return {"type": "http.request", "body": part, "more_body": more}
        if self._disconnect_after is None:
            await trio.sleep_forever()
        await trio.sleep(self._disconnect_after)
        self._has_disconnected = True
        return {"type": "http.disconnect"}

    async def _send(self, event: dict) -> None:
        self._sent.append(event)


def _host(name: str, region: str) -> Host:
    return Host(name, f"{name}:7000", f"http://{name}", "zone-a", region, "kitahara")
