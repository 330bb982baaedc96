"""Operator API of a host, under `/operator/v1/`."""

from typing import Protocol

import msgspec

from pepperstep.adapters.http_api.ports import ConfigurationSource, EntryNode, Operators
from pepperstep.adapters.http_api.web import Call, Reply, decode_body, json_reply
from pepperstep.adapters.operator_messages import (
    OPERATOR_PREFIX,
    ChangeBody,
    ConfigurationView,
    DrainBody,
    EventsView,
    HostsView,
    UpstreamsView,
)
from pepperstep.configuration import (
    BASE,
    Change,
    ChangeAnswer,
    ChangeStatus,
    find_operator,
    origins,
    parse,
)
from pepperstep.errors import Code, Failure
from pepperstep.observability.views import DocumentView, ValueView

__all__ = ["OperatorRoutes"]

_CHANGE_SECONDS = 10.0
_MAX_BODY_BYTES = 1024 * 1024
_DEFAULT_EVENT_COUNT = 100
_MAX_EVENT_COUNT = 1000
_CHANGE_STATUS = {
    ChangeStatus.ACCEPTED: 200,
    ChangeStatus.CONFLICT: 409,
    ChangeStatus.ID_REUSED: 409,
    ChangeStatus.INVALID: 422,
    ChangeStatus.FORBIDDEN: 403,
}


class _Route(Protocol):
    async def __call__(self, call: Call, operator: str) -> Reply: ...


_decode_change = msgspec.json.Decoder(ChangeBody).decode
_decode_drain = msgspec.json.Decoder(DrainBody).decode


class OperatorRoutes:
    """Routes for operators, who authenticate each call with their key."""

    def __init__(self, node: EntryNode, operators: Operators):
        self._node = node
        self._operators = operators
        self._routes: dict[tuple[str, str], _Route] = {
            ("GET", "status"): self._show_status,
            ("GET", "hosts"): self._list_hosts,
            ("GET", "upstreams"): self._list_upstreams,
            ("GET", "events"): self._list_events,
            ("GET", "configuration"): self._show_configuration,
            ("POST", "configuration"): self._change_configuration,
            ("POST", "drain"): self._drain,
        }

    async def answer(self, call: Call) -> Reply:
        """Authenticate the operator and answer the call."""
        operator = self._authenticate(call)
        name = call.path.removeprefix(OPERATOR_PREFIX)
        if call.method == "GET" and name.startswith("explain/"):
            return self._explain(name.removeprefix("explain/"))
        route = self._routes.get((call.method, name))
        if route is None:
            text = f"No such path: {call.method} {call.path[:200]}."
            raise Failure(Code.UNKNOWN_NAME, text)
        return await route(call, operator)

    def _authenticate(self, call: Call) -> str:
        configuration = self._node.configuration
        if not configuration.revision:
            raise Failure(
                Code.NOT_READY, "No configuration is known here yet.", retry_after=1.0
            )
        call.check_headers(configuration.limits.max_header_bytes)
        operator = find_operator(configuration, call.key)
        if operator is None:
            raise Failure(Code.UNAUTHORIZED, "The operator's key is not known.")
        return operator

    async def _show_status(self, call: Call, operator: str) -> Reply:
        return json_reply(self._operators.status())

    async def _list_hosts(self, call: Call, operator: str) -> Reply:
        return json_reply(HostsView(self._operators.hosts()))

    async def _list_upstreams(self, call: Call, operator: str) -> Reply:
        return json_reply(UpstreamsView(self._operators.upstreams()))

    async def _list_events(self, call: Call, operator: str) -> Reply:
        limit = min(
            _parse_number(call, "limit", _DEFAULT_EVENT_COUNT), _MAX_EVENT_COUNT
        )
        after = _parse_number(call, "after", -1)
        events = self._operators.events
        events_found = events.last(limit) if after < 0 else events.after(after, limit)
        return json_reply(EventsView(events_found))

    async def _show_configuration(self, call: Call, operator: str) -> Reply:
        return json_reply(_configuration_view(self._operators.store))

    async def _change_configuration(self, call: Call, operator: str) -> Reply:
        data = await call.read_body(_MAX_BODY_BYTES, self._node.timers)
        body = decode_body(_decode_change, data, "Change")
        site = self._node.configuration.operator_sites.get(operator, "")
        change = Change(
            change_id=body.change_id,
            document=body.document,
            text=body.text,
            from_revision=body.from_revision,
            operator=operator,
            site=site,
        )
        store = self._operators.store
        answer: ChangeAnswer = await store.apply_change(change, _CHANGE_SECONDS)
        return json_reply(answer, _CHANGE_STATUS[answer.status])

    async def _drain(self, call: Call, operator: str) -> Reply:
        data = await call.read_body(_MAX_BODY_BYTES, self._node.timers)
        body = decode_body(_decode_drain, data, "Drain")
        await self._operators.drain(body.host)
        reason = f"Operator {operator} asked for it."
        self._operators.events.note("node", f"Host {body.host} drains.", reason)
        return json_reply(body)

    def _explain(self, request_id: str) -> Reply:
        explanation = self._operators.explanations.find(request_id)
        if explanation is None:
            raise Failure(
                Code.UNKNOWN_REQUEST, f"{request_id[:200]} is not known here."
            )
        return json_reply(explanation)


def _configuration_view(store: ConfigurationSource) -> ConfigurationView:
    revision = store.current.revision
    texts = [(BASE, store.text_of(BASE))]
    texts += [(site, store.text_of(site)) for site in sorted(store.current.sites)]
    views = [DocumentView(name, text) for name, text in texts if text]
    base, *overlays = [parse(view.text, view.name) for view in views] or [None]
    if base is None:
        return ConfigurationView(revision, [], [])
    values = [
        ValueView(origin.path, origin.value, origin.document)
        for origin in origins(base, overlays)
    ]
    return ConfigurationView(revision, values, views)


def _parse_number(call: Call, name: str, default: int) -> int:
    text = call.query(name)
    if not text:
        return default
    if not (text.isascii() and text.isdecimal() and len(text) <= 15):
        raise Failure(Code.INVALID_REQUEST, f"`{name}` must be a number.")
    return int(text)
