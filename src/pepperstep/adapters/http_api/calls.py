"""What callers ask for: completions, plain services, resumption and hosts."""

import math
import secrets

import trio
import xxhash

from pepperstep.adapters.http_api import openai
from pepperstep.adapters.http_api.web import Call, Reply, json_reply, send_failure
from pepperstep.configuration import Caller, Deployment, find_caller
from pepperstep.entities import Outcome, Priority, Request, RequestKind
from pepperstep.errors import Code, Execution, Failure
from pepperstep.node import Node

__all__ = ["CallerRoutes"]

_CHARACTERS_PER_TOKEN = 4
_DEFAULT_MAX_TOKENS = 256
_EVENT_STREAM = b"text/event-stream; charset=utf-8"
_ID_BYTES = 12


class CallerRoutes:
    """Routes for callers, who show their key with each call."""

    def __init__(self, node: Node):
        self._node = node

    async def chat(self, call: Call) -> Reply | None:
        """Answer `/v1/chat/completions`."""
        return await self._generate(call, RequestKind.CHAT)

    async def complete(self, call: Call) -> Reply | None:
        """Answer `/v1/completions`."""
        return await self._generate(call, RequestKind.COMPLETION)

    async def list_models(self, call: Call) -> Reply:
        """Answer `/v1/models` with the deployments of the caller's workspace."""
        caller = self._caller_of(call)
        models = [
            {"id": name, "object": "model", "owned_by": "pepperstep"}
            for name, deployment in self._node.configuration.deployments.items()
            if caller.workspace in deployment.workspaces
        ]
        return json_reply({"object": "list", "data": models})

    async def list_entry_hosts(self, call: Call) -> Reply:
        """Answer `/v1/entry-hosts` with addresses, weights and a time to live."""
        hosts = [
            {"name": host.name, "url": host.caller_url, "zone": host.zone, "weight": 1}
            for host in self._node.directory.entry_hosts()
        ]
        seconds = self._node.configuration.limits.entry_hosts_seconds
        return json_reply({"entry_hosts": hosts, "time_to_live_seconds": seconds})

    async def call_service(self, call: Call) -> Reply | None:
        """Answer `/services/NAME/...` with the plain service's answer."""
        caller = self._caller_of(call)
        name, _, rest = call.path.removeprefix("/services/").partition("/")
        service = self._node.configuration.services.get(name)
        if service is None or caller.workspace not in service.workspaces:
            raise Failure(Code.UNKNOWN_SERVICE, f"No service {name} here.")
        body = await call.read_body(self._node.configuration.limits.max_body_bytes)
        asks_once = call.header("x-repeatable") == "false"
        fingerprint = _fingerprint(call.method, call.path, body)
        request = Request(
            id=self._new_id(),
            workspace=caller.workspace,
            kind=RequestKind.SERVICE,
            target=name,
            priority=Priority.INTERACTIVE,
            deadline=self._deadline_of(call, service.timeout_seconds),
            is_repeatable=service.is_repeatable and not asks_once,
            idempotency_key=call.header("idempotency-key"),
            fingerprint=fingerprint,
            method=call.method,
            path="/" + rest,
            content_type=call.header("content-type"),
            body=body,
        )
        return await self._answer_service(call, request)

    async def resume(self, call: Call) -> Reply | None:
        """Answer `/v1/requests/ID/events` from the position in Last-Event-ID."""
        caller = self._caller_of(call)
        request_id, _, rest = call.path.removeprefix("/v1/requests/").partition("/")
        if call.method != "GET" or rest != "events":
            raise Failure(Code.UNKNOWN_NAME, f"No such path: {call.path}.")
        position = _position_of(call.header("last-event-id"))
        writer = openai.ChunkWriter(RequestKind.CHAT, request_id, "")
        await self._stream(call, request_id, caller.workspace, position, writer)
        return None

    async def _generate(self, call: Call, kind: RequestKind) -> Reply | None:
        caller = self._caller_of(call)
        limits = self._node.configuration.limits
        data = await call.read_body(limits.max_body_bytes)
        body = openai.parse_body(data, kind)
        deployment = self._deployment_of(body.model, caller.workspace)
        request = self._request_of(call, caller, kind, body, deployment, data)
        run = await self._node.requests.submit(request)
        position = _position_of(call.header("last-event-id"))
        if body.stream:
            writer = openai.ChunkWriter(kind, run.id, body.model)
            await self._stream(call, run.id, caller.workspace, position, writer)
            return None
        tokens, outcome = await self._read_whole(call, run.id, caller.workspace)
        if not outcome.is_answered:
            raise _failure_of(outcome)
        prompt_tokens = len(request.prompt) // _CHARACTERS_PER_TOKEN
        answer = openai.whole_answer(
            kind, run.id, body.model, prompt_tokens, tokens, outcome.finish
        )
        reply = json_reply(answer)
        return Reply(200, reply.body, headers=((b"x-request-id", run.id.encode()),))

    def _request_of(
        self,
        call: Call,
        caller: Caller,
        kind: RequestKind,
        body: openai.Body,
        deployment: Deployment,
        data: bytes,
    ) -> Request:
        limits = self._node.configuration.limits
        prompt = body.to_prompt(kind)
        if len(prompt) // _CHARACTERS_PER_TOKEN > limits.max_prompt_tokens:
            raise Failure(
                Code.PROMPT_TOO_LONG,
                f"The prompt may have {limits.max_prompt_tokens} tokens at most.",
            )
        request_id = self._new_id()
        seed = body.seed
        if seed is None:
            seed = xxhash.xxh32_intdigest(request_id.encode())
        default = min(_DEFAULT_MAX_TOKENS, limits.max_answer_tokens)
        max_tokens = min(body.token_limit(default), limits.max_answer_tokens)
        return Request(
            id=request_id,
            workspace=caller.workspace,
            kind=kind,
            target=body.model,
            priority=_priority_of(call, deployment),
            deadline=self._deadline_of(call, limits.default_deadline_seconds),
            is_repeatable=call.header("x-repeatable") != "false",
            idempotency_key=call.header("idempotency-key"),
            fingerprint=_fingerprint(call.method, call.path, data),
            model_key=deployment.model_key,
            prompt=prompt,
            max_tokens=max_tokens,
            seed=seed,
        )

    async def _stream(
        self,
        call: Call,
        request_id: str,
        workspace: str,
        position: int,
        writer: openai.ChunkWriter,
    ) -> None:
        """Send the answer as server-sent events until its end."""
        is_started = False
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_cancel_at_disconnect, call, nursery.cancel_scope)
            async for part in self._node.requests.read(request_id, workspace, position):
                if part.outcome is not None and not part.outcome.is_answered:
                    await _send_stream_failure(call, request_id, part, is_started)
                    break
                data = writer.tokens(part.position, part.tokens) if part.tokens else b""
                if part.outcome is not None:
                    data += writer.end(part.outcome)
                if not is_started:
                    await _start_stream(call, request_id)
                    is_started = True
                has_more = part.outcome is None
                await call.send(_body_event(data, has_more))
            nursery.cancel_scope.cancel()

    async def _read_whole(
        self, call: Call, request_id: str, workspace: str
    ) -> tuple[list[str], Outcome]:
        tokens: list[str] = []
        outcome = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_cancel_at_disconnect, call, nursery.cancel_scope)
            async for part in self._node.requests.read(request_id, workspace, 0):
                tokens += part.tokens
                outcome = part.outcome
            nursery.cancel_scope.cancel()
        if outcome is None:
            raise Failure(
                Code.CANCELLED, "The caller left.", execution=Execution.MAY_HAVE_RUN
            )
        return tokens, outcome

    async def _answer_service(self, call: Call, request: Request) -> Reply:
        run = await self._node.requests.submit(request)
        _, outcome = await self._read_whole(call, run.id, request.workspace)
        if not outcome.is_answered:
            raise _failure_of(outcome)
        answer = outcome.service
        headers = ((b"x-request-id", run.id.encode()),)
        return Reply(answer.status, answer.body, answer.content_type, headers)

    def _caller_of(self, call: Call) -> Caller:
        caller = find_caller(self._node.configuration, call.key)
        if caller is None:
            raise Failure(Code.UNAUTHORIZED, "The caller's key is not known.")
        return caller

    def _deployment_of(self, name: str, workspace: str) -> Deployment:
        deployment = self._node.configuration.deployments.get(name)
        if deployment is None or workspace not in deployment.workspaces:
            raise Failure(Code.UNKNOWN_MODEL, f"No model {name} here.")
        return deployment

    def _deadline_of(self, call: Call, default_seconds: float) -> float:
        text = call.header("x-deadline-seconds")
        seconds = _seconds_of(text) if text else default_seconds
        if seconds <= 0:
            raise Failure(Code.DEADLINE_EXPIRED, "The deadline has passed.")
        return self._node.timers.wall() + seconds

    def _new_id(self) -> str:
        return f"{self._node.host.name}.{secrets.token_hex(_ID_BYTES)}"


async def _cancel_at_disconnect(call: Call, scope: trio.CancelScope) -> None:
    while (await call.receive())["type"] != "http.disconnect":
        continue
    scope.cancel()


async def _start_stream(call: Call, request_id: str) -> None:
    headers = [
        (b"content-type", _EVENT_STREAM),
        (b"cache-control", b"no-store"),
        (b"x-request-id", request_id.encode()),
    ]
    await call.send({"type": "http.response.start", "status": 200, "headers": headers})


async def _send_stream_failure(call: Call, request_id: str, part, is_started) -> None:
    failure = _failure_of(part.outcome)
    if not is_started:
        headers = ((b"x-request-id", request_id.encode()),)
        await send_failure(call.send, failure, headers)
        return
    body = json_reply(_error_event(failure)).body
    await call.send(_body_event(b"event: error\ndata: " + body + b"\n\n", False))


def _error_event(failure: Failure) -> dict:
    return {
        "error": {
            "message": failure.text,
            "code": failure.code,
            "execution": failure.execution,
            "retry_after": failure.retry_after,
        }
    }


def _body_event(data: bytes, has_more: bool) -> dict:
    return {"type": "http.response.body", "body": data, "more_body": has_more}


def _failure_of(outcome: Outcome) -> Failure:
    return Failure(
        outcome.code,
        outcome.text,
        execution=outcome.execution,
        retry_after=outcome.retry_after,
    )


def _position_of(event_id: str) -> int:
    """Return the position in an event id, REQUEST_ID/POSITION."""
    if not event_id:
        return 0
    digits = event_id.rpartition("/")[2]
    if not digits.isdecimal():
        raise Failure(Code.INVALID_REQUEST, "Last-Event-ID is not one of ours.")
    return int(digits)


def _priority_of(call: Call, deployment: Deployment) -> Priority:
    name = call.header("x-priority") or deployment.priority
    try:
        return Priority[name.upper()]
    except KeyError:
        raise Failure(Code.INVALID_REQUEST, f"No priority {name}.") from None


def _seconds_of(text: str) -> float:
    try:
        seconds = float(text)
    except ValueError:
        seconds = math.nan
    if not math.isfinite(seconds):
        raise Failure(Code.INVALID_REQUEST, "X-Deadline-Seconds is no number.")
    return seconds


def _fingerprint(method: str, path: str, body: bytes) -> str:
    text = f"{method} {path}\n".encode() + body
    return xxhash.xxh3_128_hexdigest(text)
