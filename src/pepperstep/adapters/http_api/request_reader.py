"""Converts callers' HTTP calls to requests, or refuses them with a `Failure`."""

import math
import re
import secrets

import xxhash

from pepperstep.adapters.http_api import openai
from pepperstep.adapters.http_api.ports import EntryNode
from pepperstep.adapters.http_api.web import Call
from pepperstep.configuration import Caller, Deployment, find_caller
from pepperstep.entities import Priority, Request, RequestKind
from pepperstep.errors import Code, Failure

__all__ = ["RequestReader", "parse_event_id", "parse_request_kind"]

_DEFAULT_MAX_TOKENS = 256
_MAX_DEADLINE_SECONDS = 3600.0
_ID_BYTES = 12
_METHODS = frozenset({"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"})
_IDEMPOTENCY_KEY = re.compile(r"[\x21-\x7e]{1,255}")
_EVENT_ID = re.compile(r"[\x21-\x7e]{1,200}/([0-9]{1,9})")
# Request ids start with their kind, like those of the OpenAI API.
_ID_PREFIXES = {
    RequestKind.CHAT: "chatcmpl",
    RequestKind.COMPLETION: "cmpl",
    RequestKind.SERVICE: "call",
}


class RequestReader:
    """Authenticates callers and validates their calls."""

    def __init__(self, node: EntryNode):
        self._node = node

    def authenticate(self, call: Call) -> Caller:
        """Return the caller that the call's key belongs to.

        Raise `Failure`: `NOT_READY` while this host has no configuration,
        `UNAUTHORIZED` for an unknown key, `UNKNOWN_WORKSPACE` if X-Workspace names
        a workspace other than the caller's.
        """
        configuration = self._node.configuration
        if not configuration.revision:
            raise Failure(
                Code.NOT_READY, "No configuration is known here yet.", retry_after=1.0
            )
        call.check_headers(configuration.limits.max_header_bytes)
        caller = find_caller(configuration, call.key)
        if caller is None:
            raise Failure(Code.UNAUTHORIZED, "The caller's key is not known.")
        named = call.header("x-workspace")
        if named and named != caller.workspace:
            text = f"No workspace {named[:100]} for this key."
            raise Failure(Code.UNKNOWN_WORKSPACE, text)
        return caller

    async def read_generation(
        self, call: Call, kind: RequestKind
    ) -> tuple[Request, openai.Body]:
        """Return the request for an engine, with the decoded body."""
        caller = self.authenticate(call)
        limits = self._node.configuration.limits
        deadline = self._read_deadline(call, limits.default_deadline_seconds)
        data = await call.read_body(limits.max_body_bytes, self._node.timers)
        body = openai.parse_body(data, kind)
        deployment = self._find_deployment(body.model, caller.workspace)
        prompt = body.to_prompt(kind)
        if openai.count_tokens(prompt) > limits.max_prompt_tokens:
            raise Failure(
                Code.PROMPT_TOO_LONG,
                f"The prompt may have {limits.max_prompt_tokens} tokens at most.",
            )
        request_id = self._new_id(kind)
        request = Request(
            id=request_id,
            workspace=caller.workspace,
            kind=kind,
            target=body.model,
            priority=_read_priority(call, deployment.priority),
            deadline=deadline,
            is_repeatable=_read_repeatable(call),
            idempotency_key=_read_idempotency_key(call),
            fingerprint=_fingerprint(call, data),
            model_key=deployment.model_key,
            prompt=prompt,
            max_tokens=_choose_max_tokens(body, limits.max_answer_tokens),
            seed=_choose_seed(body, _read_idempotency_key(call) or request_id),
        )
        return request, body

    async def read_service_call(self, call: Call) -> Request:
        """Return the request for a plain service."""
        caller = self.authenticate(call)
        if call.method not in _METHODS:
            raise Failure(Code.INVALID_REQUEST, f"No method {call.method} here.")
        name, rest = _service_target(call)
        service = self._node.configuration.services.get(name)
        if service is None or caller.workspace not in service.workspaces:
            raise Failure(Code.UNKNOWN_SERVICE, f"No service {name[:100]} here.")
        deadline = self._read_deadline(call, service.timeout_seconds)
        limits = self._node.configuration.limits
        body = await call.read_body(limits.max_body_bytes, self._node.timers)
        return Request(
            id=self._new_id(RequestKind.SERVICE),
            workspace=caller.workspace,
            kind=RequestKind.SERVICE,
            target=name,
            priority=_read_priority(call, Priority.INTERACTIVE.name),
            deadline=deadline,
            is_repeatable=_read_repeatable(call) and service.is_repeatable,
            idempotency_key=_read_idempotency_key(call),
            fingerprint=_fingerprint(call, body),
            method=call.method,
            path=rest,
            content_type=call.header("content-type"),
            body=body,
        )

    def _find_deployment(self, name: str, workspace: str) -> Deployment:
        deployment = self._node.configuration.deployments.get(name)
        if deployment is None or workspace not in deployment.workspaces:
            raise Failure(Code.UNKNOWN_MODEL, f"No model {name} here.")
        return deployment

    def _read_deadline(self, call: Call, default_seconds: float) -> float:
        text = call.header("x-deadline-seconds")
        seconds = _parse_seconds(text) if text else default_seconds
        if seconds <= 0:
            raise Failure(Code.DEADLINE_EXPIRED, "The deadline has passed.")
        claim_seconds = self._node.configuration.limits.claim_seconds
        longest = min(_MAX_DEADLINE_SECONDS, claim_seconds)
        if seconds > longest:
            text = f"X-Deadline-Seconds may be {longest:.0f} at most."
            raise Failure(Code.INVALID_REQUEST, text)
        return self._node.timers.wall() + seconds

    def _new_id(self, kind: RequestKind) -> str:
        suffix = secrets.token_hex(_ID_BYTES)
        return f"{self._node.host.name}.{_ID_PREFIXES[kind]}-{suffix}"


def parse_request_kind(request_id: str) -> RequestKind:
    """Return the kind of a request from its id.

    Raise `Failure` with `UNKNOWN_REQUEST` for an invalid id.
    """
    prefix = request_id.rpartition(".")[2].partition("-")[0]
    for kind, kind_prefix in _ID_PREFIXES.items():
        if prefix == kind_prefix:
            return kind
    raise Failure(Code.UNKNOWN_REQUEST, "No request has such an id.")


def parse_event_id(event_id: str) -> int:
    """Return the position from an event id of the form REQUEST_ID/POSITION.

    An empty id means position 0.
    """
    if not event_id:
        return 0
    found = _EVENT_ID.fullmatch(event_id)
    if found is None:
        raise Failure(Code.INVALID_REQUEST, "Last-Event-ID is not one of ours.")
    return int(found[1])


def _service_target(call: Call) -> tuple[str, str]:
    """Return the service's name, and the path and query to pass on to it."""
    target = call.target.removeprefix("/services/")
    path, mark, query = target.partition("?")
    name, _, rest = path.partition("/")
    return name, f"/{rest}{mark}{query}"


def _choose_max_tokens(body: openai.Body, limit: int) -> int:
    count = body.token_limit(min(_DEFAULT_MAX_TOKENS, limit))
    if count > limit:
        raise Failure(
            Code.INVALID_REQUEST, f"Body: `max_tokens` may be {limit} at most."
        )
    return count


def _choose_seed(body: openai.Body, name: str) -> int:
    """Return the caller's seed, or one derived from `name`.

    A retry has the same idempotency key and thus the same seed, so that both
    answers are equal even if a network partition lets both requests run.
    """
    if body.seed is None:
        return xxhash.xxh32_intdigest(name.encode())
    return body.seed


def _read_priority(call: Call, default: str) -> Priority:
    name = call.header("x-priority") or default
    try:
        return Priority[name.upper()]
    except KeyError:
        text = "X-Priority must be interactive, standard or batch."
        raise Failure(Code.INVALID_REQUEST, text) from None


def _read_repeatable(call: Call) -> bool:
    text = call.header("x-repeatable")
    if text not in ("", "true", "false"):
        raise Failure(Code.INVALID_REQUEST, "X-Repeatable must be true or false.")
    return text != "false"


def _read_idempotency_key(call: Call) -> str:
    key = call.header("idempotency-key")
    if key and _IDEMPOTENCY_KEY.fullmatch(key) is None:
        text = "Idempotency-Key must be 1 to 255 visible ASCII characters."
        raise Failure(Code.INVALID_REQUEST, text)
    return key


def _parse_seconds(text: str) -> float:
    try:
        seconds = float(text)
    except ValueError:
        seconds = math.nan
    if not math.isfinite(seconds):
        raise Failure(Code.INVALID_REQUEST, "X-Deadline-Seconds is no number.")
    return seconds


def _fingerprint(call: Call, body: bytes) -> str:
    text = f"{call.method} {call.target}\n".encode() + body
    return xxhash.xxh3_128_hexdigest(text)
