"""Routes of the HTTP interface."""

from collections.abc import Awaitable, Callable

import prometheus_client
from absl import logging

from pepperstep.adapters.http_api.announcements import parse_announcement
from pepperstep.adapters.http_api.calls import CallerRoutes
from pepperstep.adapters.http_api.web import (
    Call,
    Reply,
    json_reply,
    send_failure,
    send_reply,
)
from pepperstep.configuration import is_upstream_key
from pepperstep.errors import Code, Failure
from pepperstep.node import Node

__all__ = ["Api"]

_MAX_ANNOUNCEMENT_BYTES = 64 * 1024

Route = Callable[[Call], Awaitable[Reply | None]]


class Api:
    """ASGI application of one host."""

    def __init__(self, node: Node):
        self._node = node
        callers = CallerRoutes(node)
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
            ("/v1/requests/", callers.resume),
            ("/services/", callers.call_service),
        ]

    async def __call__(self, scope: dict, receive, send) -> None:
        if scope["type"] == "lifespan":
            await _serve_lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        call = Call(scope, receive, send)
        try:
            reply = await self._route_of(call)(call)
        except Failure as failure:
            await send_failure(send, failure)
        except Exception:
            logging.exception("api: %s %s failed.", call.method, call.path)
            await send_failure(send, Failure(Code.INTERNAL, "Internal error."))
        else:
            if reply is not None:
                await send_reply(send, reply)

    def _route_of(self, call: Call) -> Route:
        route = self._exact.get((call.method, call.path))
        if route is not None:
            return route
        for prefix, prefix_route in self._prefixes:
            if call.path.startswith(prefix):
                return prefix_route
        raise Failure(Code.UNKNOWN_NAME, f"No such path: {call.method} {call.path}.")

    async def _announce(self, call: Call) -> Reply:
        if not is_upstream_key(self._node.configuration, call.key):
            raise Failure(Code.UNAUTHORIZED, "The upstream's key is not known.")
        body = await call.read_body(_MAX_ANNOUNCEMENT_BYTES)
        announcement = parse_announcement(body)
        lease = self._node.registry.announce(
            announcement.to_upstream(), announcement.sequence
        )
        urls = [host.caller_url for host in self._node.directory.entry_hosts()]
        return json_reply({"lease_seconds": lease, "entry_hosts": urls})

    async def _answer_health(self, call: Call) -> Reply:
        return json_reply({"status": "ok"})

    async def _answer_ready(self, call: Call) -> Reply:
        reasons = self._node.reasons_not_ready()
        status = 503 if reasons else 200
        return json_reply({"is_ready": not reasons, "reasons": reasons}, status)

    async def _answer_metrics(self, call: Call) -> Reply:
        data = prometheus_client.generate_latest()
        return Reply(200, data, prometheus_client.CONTENT_TYPE_LATEST)


async def _serve_lifespan(receive, send) -> None:
    while True:
        event = await receive()
        kind = event["type"]
        await send({"type": f"{kind}.complete"})
        if kind == "lifespan.shutdown":
            return
