"""ASGI application that routes calls to the handlers of the HTTP API."""

from collections.abc import Awaitable, Callable

from absl import logging

from pepperstep.adapters.http_api.announcements import (
    AnnouncementAnswer,
    parse_announcement,
)
from pepperstep.adapters.http_api.calls import CallerRoutes, nearby_entry_hosts
from pepperstep.adapters.http_api.operators import OperatorRoutes
from pepperstep.adapters.http_api.ports import EntryNode, Operators
from pepperstep.adapters.http_api.web import (
    Call,
    Reply,
    json_reply,
    send_failure,
    send_reply,
)
from pepperstep.adapters.operator_messages import OPERATOR_PREFIX
from pepperstep.configuration import is_upstream_key
from pepperstep.errors import Code, Execution, Failure
from pepperstep.observability.metrics import Metrics

__all__ = ["Api"]

_MAX_ANNOUNCEMENT_BYTES = 256 * 1024
# Failures with these codes list other entry hosts for the caller to try.
_REDIRECT_CODES = frozenset({Code.DRAINING, Code.NOT_READY})

Route = Callable[[Call], Awaitable[Reply | None]]


class Api:
    """ASGI application of one host.

    The operator API is available only if `operators` is given.
    """

    def __init__(
        self,
        node: EntryNode,
        metrics: Metrics | None = None,
        operators: Operators | None = None,
    ):
        self._node = node
        self._metrics = metrics or Metrics()
        callers = CallerRoutes(node, self._metrics)
        self._exact: dict[tuple[str, str], Route] = {
            ("POST", "/v1/chat/completions"): callers.chat,
            ("POST", "/v1/completions"): callers.complete,
            ("GET", "/v1/models"): callers.list_models,
            ("GET", "/v1/entry-hosts"): callers.list_entry_hosts,
            ("POST", "/upstreams/v1/announce"): self._announce,
            ("GET", "/healthz"): self._answer_health,
            ("GET", "/readyz"): self._answer_ready,
            ("GET", "/metrics"): self._answer_metrics,
        }
        self._prefixes: list[tuple[str, Route]] = [
            ("/v1/requests/", callers.handle_request),
            ("/services/", callers.call_service),
        ]
        if operators is not None:
            routes = OperatorRoutes(node, operators)
            self._prefixes.append((OPERATOR_PREFIX, routes.answer))

    async def __call__(self, scope: dict, receive, send) -> None:
        if scope["type"] == "lifespan":
            await _serve_lifespan(receive, send)
            return
        if scope["type"] == "websocket":
            await send({"type": "websocket.close"})
            return
        call = Call(scope, receive, send)
        try:
            reply = await self._find_route(call)(call)
        except Failure as failure:
            await self._refuse(call, failure)
        except Exception:
            logging.exception(
                "api: Error while handling %s %r.", call.method, call.path
            )
            failure = Failure(
                Code.INTERNAL, "Internal error.", execution=Execution.MAY_HAVE_RUN
            )
            await self._refuse(call, failure)
        else:
            if reply is not None:
                await send_reply(send, reply)

    async def _refuse(self, call: Call, failure: Failure) -> None:
        self._metrics.record_refusal(failure.code)
        others: tuple[str, ...] = ()
        if failure.code in _REDIRECT_CODES:
            hosts = nearby_entry_hosts(self._node)
            own = self._node.host.name
            others = tuple(host.caller_url for host in hosts if host.name != own)
        await send_failure(call, failure, others)

    def _find_route(self, call: Call) -> Route:
        route = self._exact.get((call.method, call.path))
        if route is not None:
            return route
        for prefix, prefix_route in self._prefixes:
            if call.path.startswith(prefix):
                return prefix_route
        text = f"No such path: {call.method} {call.path[:200]}."
        raise Failure(Code.UNKNOWN_NAME, text)

    async def _announce(self, call: Call) -> Reply:
        configuration = self._node.configuration
        if not configuration.revision:
            raise Failure(
                Code.NOT_READY, "No configuration is known here yet.", retry_after=1.0
            )
        call.check_headers(configuration.limits.max_header_bytes)
        if not is_upstream_key(configuration, call.key):
            raise Failure(Code.UNAUTHORIZED, "The upstream's key is not known.")
        body = await call.read_body(_MAX_ANNOUNCEMENT_BYTES, self._node.timers)
        announcement = parse_announcement(body)
        lease = self._node.registry.announce(
            announcement.to_upstream(),
            announcement.sequence,
            announcement.token,
            announcement.held_seconds,
        )
        return json_reply(AnnouncementAnswer.from_lease(lease))

    async def _answer_health(self, call: Call) -> Reply:
        return json_reply({"status": "ok"})

    async def _answer_ready(self, call: Call) -> Reply:
        reasons = self._node.reasons_not_ready()
        status = 503 if reasons else 200
        return json_reply({"is_ready": not reasons, "reasons": reasons}, status)

    async def _answer_metrics(self, call: Call) -> Reply:
        return Reply(200, self._metrics.render(), self._metrics.content_type)


async def _serve_lifespan(receive, send) -> None:
    while True:
        event = await receive()
        kind = event["type"]
        await send({"type": f"{kind}.complete"})
        if kind == "lifespan.shutdown":
            return
