"""The operators' configuration, decoded into a table of routes."""

from collections.abc import Generator, Iterator
from dataclasses import dataclass

import msgspec

from pepperstep.entities.routes import (
    CallerLimits,
    EngineCapacity,
    Quota,
    Repetition,
    Route,
    RouteTable,
    ScalingBounds,
    Service,
    Share,
    Workspace,
)
from pepperstep.errors import Finding, InvalidDocument
from pepperstep.platform import names

__all__ = ["TableDecoder", "decode_table"]

_FILE = "configuration"
# Routes that are decoded in one step: less than a millisecond.
_STEP_ROUTES = 200


class _Split(msgspec.Struct):
    """A service with its part of a route's traffic."""

    service: str
    weight: float


class _Route(msgspec.Struct):
    """A route."""

    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    # The one service, or several with weights.
    service: str | None = None
    traffic_split: list[_Split] | None = None
    target_latency_ms: float = 0
    priority: int = 0
    max_attempts: int = 1
    public: bool = False
    # Whether requests name the parts of their prompts.
    sticky_sessions: bool = False
    stream_resume: bool = False
    gap_target_ms: float = 0


class _Engine(msgspec.Struct):
    """Model engines of a service."""

    slots: int = 0
    kv_capacity_tokens: int = 0


class _Autoscale(msgspec.Struct):
    """Bounds of a service's replicas in each zone."""

    min_replicas: int = 0
    max_replicas: int = 0
    boot_s: float = 0
    # As a share of the other replicas' price.
    spot_price: float = 1
    zone_prices: dict[str, float] = msgspec.field(default_factory=dict)


class _Service(msgspec.Struct):
    """A service."""

    name: str
    health_check_path: str = ""
    max_connections: int = 0
    engine: _Engine | None = None
    autoscale: _Autoscale | None = None


class _Tenant(msgspec.Struct):
    """A tenant, which the project calls a workspace."""

    name: str
    api_keys: list[str] = msgspec.field(default_factory=list)
    priority: int | None = None
    unit: str | None = None
    # Cost of a request that states no tokens.
    plain_tokens: int = 0
    # 0 for no limit.
    rate_per_s: float = 0
    burst: float = 0


class _Limits(msgspec.Struct):
    """Bounds on what callers send."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15_000


class _Document(msgspec.Struct):
    """The whole configuration."""

    version: int
    # Most of them come unchanged with each version, so they are decoded one by one.
    routes: list[msgspec.Raw]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] = msgspec.field(default_factory=list)


@dataclass(frozen=True, slots=True)
class _KnownRoute:
    """A route without faults of its own, and the services that it names."""

    route: Route
    services: frozenset[str]


_decode_document = msgspec.json.Decoder(_Document).decode
_decode_route = msgspec.json.Decoder(_Route).decode


class TableDecoder:
    """Decodes one document after the other; a route that stays is decoded once."""

    def __init__(self):
        # Routes of the latest document, by their bytes in it.
        self._known: dict[bytes, _KnownRoute] = {}

    def decode(self, data: bytes) -> RouteTable:
        """Return the table in an operator's document.

        Raise `InvalidDocument` with all findings.
        """
        steps = self.decode_in_steps(data)
        while True:
            try:
                next(steps)
            except StopIteration as end:
                return end.value

    def decode_in_steps(self, data: bytes) -> Generator[None, None, RouteTable]:
        """Do the same, and yield between the steps of a large document."""
        document = _read(_decode_document, data, "document")
        findings = list(_document_faults(document))
        routes = yield from self._decode_routes(document, findings)
        if findings:
            raise InvalidDocument(findings)
        self._known = routes
        return RouteTable(
            document.version,
            tuple(known.route for known in routes.values()),
            tuple(map(_service_of, document.services)),
            tuple(map(_workspace_of, document.tenants)),
            _limits_of(document.limits),
        )

    def _decode_routes(
        self, document: _Document, findings: list[Finding]
    ) -> Generator[None, None, dict[bytes, _KnownRoute]]:
        """Return the routes by their bytes, and add what's wrong with them."""
        services = {service.name for service in document.services}
        routes: dict[bytes, _KnownRoute] = {}
        places: set[tuple[str, str]] = set()
        for index, raw in enumerate(document.routes):
            if index % _STEP_ROUTES == _STEP_ROUTES - 1:
                yield
            path = f"routes[{index}]"
            data = bytes(raw)
            known = self._known.get(data)
            if known is None or not known.services <= services:
                known, faults = _know(data, path, services)
                findings += faults
            place = (known.route.host, known.route.path_prefix)
            if place in places:
                text = "has host and prefix of another route"
                findings.append(Finding(_FILE, path, text))
            places.add(place)
            routes[data] = known
        return routes


def decode_table(data: bytes) -> RouteTable:
    """Return the table in an operator's document, as `TableDecoder` does."""
    return TableDecoder().decode(data)


def _read(decode, data: bytes, path: str):
    try:
        return decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise InvalidDocument([Finding(_FILE, path, str(error))]) from error


def _know(
    data: bytes, path: str, services: set[str]
) -> tuple[_KnownRoute, list[Finding]]:
    route = _read(_decode_route, data, path)
    faults = [Finding(_FILE, path, text) for text in _route_faults(route, services)]
    named = frozenset(split.service for split in _splits_of(route))
    return _KnownRoute(_route_of(route), named), faults


def _document_faults(document: _Document) -> Iterator[Finding]:
    """Yield what's wrong beside the routes."""
    if document.version <= 0:
        yield Finding(_FILE, "version", "must be above 0")
    holders: dict[str, str] = {}
    for index, tenant in enumerate(document.tenants):
        for key in tenant.api_keys:
            if holders.setdefault(key, tenant.name) != tenant.name:
                text = f"shares a key with {holders[key]}"
                yield Finding(_FILE, f"tenants[{index}]", text)


def _route_faults(route: _Route, services: set[str]) -> Iterator[str]:
    splits = _splits_of(route)
    for split in splits:
        if split.service not in services:
            yield f"names an unknown service {split.service}"
    if any(split.weight < 0 for split in splits):
        yield "has a weight below 0"
    if sum(split.weight for split in splits) <= 0:
        yield "has no weight above 0"
    if route.timeout_ms <= 0:
        yield "has no time for answers"
    prefix = route.path_prefix
    if not (prefix.startswith("/") and prefix.endswith("/")):
        yield "has a prefix that doesn't begin and end with a slash"


def _splits_of(route: _Route) -> list[_Split]:
    if route.traffic_split:
        return route.traffic_split
    return [_Split(route.service, 1.0)] if route.service else []


def _route_of(route: _Route) -> Route:
    is_safe = route.kind == names.KIND_SAFE
    shares = [
        Share(split.service, split.weight)
        for split in _splits_of(route)
        if split.weight > 0
    ]
    return Route(
        name=route.name,
        host=route.host.lower(),
        path_prefix=route.path_prefix,
        shares=tuple(shares),
        repetition=Repetition.REPEATABLE if is_safe else Repetition.ONCE,
        timeout=route.timeout_ms / 1000,
        target_latency=route.target_latency_ms / 1000,
        target_pause=route.gap_target_ms / 1000,
        priority=route.priority,
        max_attempts=max(1, route.max_attempts),
        is_stream=route.kind == names.KIND_STREAM,
        is_resumable=route.stream_resume,
        is_public=route.public,
        has_prompts=route.sticky_sessions,
    )


def _service_of(service: _Service) -> Service:
    engine = scaling = None
    if service.engine is not None:
        engine = EngineCapacity(service.engine.slots, service.engine.kv_capacity_tokens)
    if service.autoscale is not None:
        scale = service.autoscale
        scaling = ScalingBounds(
            scale.min_replicas,
            scale.max_replicas,
            scale.boot_s,
            scale.spot_price,
            scale.zone_prices,
        )
    return Service(
        service.name,
        service.health_check_path,
        service.max_connections,
        engine,
        scaling,
    )


def _workspace_of(tenant: _Tenant) -> Workspace:
    quota = None
    if tenant.rate_per_s > 0:
        quota = Quota(
            tenant.rate_per_s,
            tenant.burst,
            counts_tokens=tenant.unit == names.UNIT_TOKENS,
            plain_tokens=tenant.plain_tokens,
        )
    return Workspace(tenant.name, tuple(tenant.api_keys), tenant.priority, quota)


def _limits_of(limits: _Limits) -> CallerLimits:
    return CallerLimits(
        limits.max_header_bytes,
        limits.max_body_bytes,
        limits.header_timeout_ms / 1000,
        limits.idle_timeout_ms / 1000,
    )
