"""Routes for callers: completions, plain services, stream resumption, entry hosts."""

import msgspec

from pepperstep.adapters.http_api import openai
from pepperstep.adapters.http_api.answers import AnswerSender, LatencyRecorder
from pepperstep.adapters.http_api.ports import EntryNode
from pepperstep.adapters.http_api.request_reader import (
    RequestReader,
    parse_event_id,
    parse_request_kind,
)
from pepperstep.adapters.http_api.web import Call, Reply, json_reply
from pepperstep.entities import Host, Request, RequestKind
from pepperstep.errors import Code, Execution, Failure
from pepperstep.observability.recorder import Recorder

__all__ = ["CallerRoutes", "nearby_entry_hosts"]

_WEIGHT = 1
# Weight of hosts in other regions, which are used only if no other is reachable.
_OTHER_REGION_WEIGHT = 0
_FIRST_ERROR_STATUS = 400
# Clients repeat calls on their own after some statuses unless headers say otherwise.
# A service that has run a call may answer with any status.
_NO_REPEAT = (
    (b"x-execution", Execution.MAY_HAVE_RUN.encode()),
    (b"x-should-retry", b"false"),
)


class EntryHost(msgspec.Struct):
    """An entry host that callers may connect to."""

    name: str
    url: str
    zone: str
    region: str
    # Relative share of calls; 0 means only if no other host is reachable.
    weight: int


class EntryHosts(msgspec.Struct):
    """Entry hosts and how long callers may cache them."""

    entry_hosts: list[EntryHost]
    time_to_live_seconds: float


class CallerRoutes:
    """Handlers of the routes for callers."""

    def __init__(self, node: EntryNode, recorder: Recorder):
        self._node = node
        self._recorder = recorder
        self._request_reader = RequestReader(node)
        self._answers = AnswerSender(node)

    async def chat(self, call: Call) -> Reply | None:
        """Answer `/v1/chat/completions`."""
        return await self._generate(call, RequestKind.CHAT)

    async def complete(self, call: Call) -> Reply | None:
        """Answer `/v1/completions`."""
        return await self._generate(call, RequestKind.COMPLETION)

    async def list_models(self, call: Call) -> Reply:
        """Answer `/v1/models` with the deployments of the caller's workspace."""
        caller = self._request_reader.authenticate(call)
        models = [
            {"id": name, "object": "model", "created": 0, "owned_by": "pepperstep"}
            for name, deployment in self._node.configuration.deployments.items()
            if caller.workspace in deployment.workspaces
        ]
        return json_reply({"object": "list", "data": models})

    async def list_entry_hosts(self, call: Call) -> Reply:
        """Answer `/v1/entry-hosts` with addresses, weights and a time to live."""
        region = self._node.host.region
        hosts = [
            EntryHost(
                host.name,
                host.caller_url,
                host.zone,
                host.region,
                _WEIGHT if host.region == region else _OTHER_REGION_WEIGHT,
            )
            for host in self._node.directory.entry_hosts()
            if host.caller_url
        ]
        seconds = self._node.configuration.limits.entry_hosts_seconds
        return json_reply(EntryHosts(hosts, seconds))

    async def call_service(self, call: Call) -> Reply:
        """Answer `/services/NAME/...` with the plain service's answer."""
        request = await self._request_reader.read_service_call(call)
        latencies = self._start_latencies(request)
        run = await self._node.requests.submit(request)
        call.request_id = run.id
        _, outcome = await self._answers.read_whole(call, request.workspace, latencies)
        answer = outcome.service
        headers = ((b"x-request-id", run.id.encode()),)
        if answer.status >= _FIRST_ERROR_STATUS and not request.is_repeatable:
            headers += _NO_REPEAT
        return Reply(answer.status, answer.body, answer.content_type, headers)

    async def handle_request(self, call: Call) -> Reply | None:
        """Answer `/v1/requests/ID/events`, or a DELETE of `/v1/requests/ID`."""
        try:
            caller = self._request_reader.authenticate(call)
        except Failure as failure:
            # The request was accepted earlier, maybe by another host.
            failure.execution = Execution.MAY_HAVE_RUN
            raise
        request_id, _, rest = call.path.removeprefix("/v1/requests/").partition("/")
        if (call.method, rest) == ("GET", "events"):
            await self._resume(call, request_id, caller.workspace)
            return None
        if (call.method, rest) == ("DELETE", ""):
            return await self._cancel(request_id, caller.workspace)
        text = f"No such path: {call.method} {call.path[:200]}."
        raise Failure(Code.UNKNOWN_NAME, text)

    async def _cancel(self, request_id: str, workspace: str) -> Reply:
        parse_request_kind(request_id)
        if not await self._node.requests.cancel(request_id, workspace):
            raise Failure(
                Code.UNKNOWN_REQUEST,
                f"No host knows {request_id[:200]}.",
                execution=Execution.MAY_HAVE_RUN,
            )
        return json_reply({"id": request_id, "is_cancelled": True})

    async def _resume(self, call: Call, request_id: str, workspace: str) -> None:
        """Resume the stream after the event named by Last-Event-ID."""
        kind = parse_request_kind(request_id)
        if kind is RequestKind.SERVICE:
            raise Failure(Code.INVALID_REQUEST, "Only streams can be resumed.")
        position = parse_event_id(call.header("last-event-id"))
        call.request_id = request_id
        writer = openai.ChunkWriter(kind, request_id, "")
        await self._answers.stream(call, workspace, position, writer)

    async def _generate(self, call: Call, kind: RequestKind) -> Reply | None:
        position = parse_event_id(call.header("last-event-id"))
        request, body = await self._request_reader.read_generation(call, kind)
        latencies = self._start_latencies(request)
        run = await self._node.requests.submit(request)
        call.request_id = run.id
        prompt_tokens = openai.count_tokens(request.prompt)
        if body.stream:
            writer = openai.ChunkWriter(
                kind, run.id, body.model, prompt_tokens, body.includes_usage
            )
            await self._answers.stream(
                call, request.workspace, position, writer, latencies
            )
            return None
        tokens, outcome = await self._answers.read_whole(
            call, request.workspace, latencies
        )
        answer = openai.whole_answer(
            kind, run.id, body.model, prompt_tokens, tokens, outcome.finish
        )
        data = msgspec.json.encode(answer)
        return Reply(200, data, headers=((b"x-request-id", run.id.encode()),))

    def _start_latencies(self, request: Request) -> LatencyRecorder:
        return LatencyRecorder(
            self._recorder, self._node.timers, request.workspace, request.priority
        )


def nearby_entry_hosts(node: EntryNode) -> list[Host]:
    """Return the entry hosts in the node's region, or all if it has none."""
    hosts = [host for host in node.directory.entry_hosts() if host.caller_url]
    nearby = [host for host in hosts if host.region == node.host.region]
    return nearby or hosts
