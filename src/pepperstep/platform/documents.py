"""Decoder of the operators' configuration into a route table."""

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
# Routes decoded in one step, which takes less than a millisecond.
_STEP_ROUTES = 200
# Largest version, and largest rate, burst and cost of a request in a quota: larger ones
# have no use, and don't fit into the fields of messages between hosts. A smaller rate
# than the least one would be 0 as a host's share.
_MAX_VERSION = 2**63 - 1
_MAX_QUOTA = 1e15
_MIN_RATE = 1e-9
_MAX_PLAIN_TOKENS = 10**9


class _Split(msgspec.Struct):
    """A service and its weight in the traffic of a route."""

    service: str
    weight: float


class _Route(msgspec.Struct):
    """A route from a host and path prefix to services."""

    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    # Either a single service, or several with weights.
    service: str | None = None
    traffic_split: list[_Split] | None = None
    target_latency_ms: float = 0
    priority: int = 0
    max_attempts: int = 1
    public: bool = False
    # Whether requests state the ids of their prompt parts.
    sticky_sessions: bool = False
    stream_resume: bool = False
    gap_target_ms: float = 0


class _Engine(msgspec.Struct):
    """Capacity of each model engine of a service."""

    slots: int = 0
    kv_capacity_tokens: int = 0


class _Autoscale(msgspec.Struct):
    """Autoscaling bounds of a service in each zone."""

    min_replicas: int = 0
    max_replicas: int = 0
    boot_s: float = 0
    # Price of reclaimable replicas as a fraction of the price of the others.
    spot_price: float = 1
    zone_prices: dict[str, float] = msgspec.field(default_factory=dict)


class _Service(msgspec.Struct):
    """A service with optional engines and autoscaling."""

    name: str
    health_check_path: str = ""
    max_connections: int = 0
    engine: _Engine | None = None
    autoscale: _Autoscale | None = None


class _Tenant(msgspec.Struct):
    """A tenant, called a workspace in pepperstep."""

    name: str
    api_keys: list[str] = msgspec.field(default_factory=list)
    priority: int | None = None
    unit: str | None = None
    # Cost in tokens of a request that states no token counts.
    plain_tokens: int = 0
    # 0 means unlimited.
    rate_per_s: float = 0
    burst: float = 0


class _Limits(msgspec.Struct):
    """Limits on callers' requests and connections."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15_000


class _Document(msgspec.Struct):
    """The whole configuration."""

    version: int
    # Most routes don't change between versions. They are decoded one by one, so that
    # unchanged ones are decoded only once.
    routes: list[msgspec.Raw]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] = msgspec.field(default_factory=list)


@dataclass(frozen=True, slots=True)
class _CachedRoute:
    """A decoded route, and the services that it refers to."""

    route: Route
    services: frozenset[str]


_decode_document = msgspec.json.Decoder(_Document).decode
_decode_route = msgspec.json.Decoder(_Route).decode


class TableDecoder:
    """Decodes successive documents, caching the routes of the latest one."""

    def __init__(self):
        # Routes of the latest valid document by their encoded form.
        self._cached_routes: dict[bytes, _CachedRoute] = {}

    def decode(self, data: bytes) -> RouteTable:
        """Decode an operator's document into a route table.

        Raise `InvalidDocument` with all findings.
        """
        steps = self.decode_in_steps(data)
        while True:
            try:
                next(steps)
            except StopIteration as end:
                return end.value

    def decode_in_steps(self, data: bytes) -> Generator[None, None, RouteTable]:
        """Decode a document like `decode`, but yield between short steps."""
        document = _decode(_decode_document, data, "document")
        findings = list(_find_document_errors(document))
        routes = yield from self._decode_routes(document, findings)
        if findings:
            raise InvalidDocument(findings)
        self._cached_routes = routes
        return RouteTable(
            document.version,
            tuple(cached.route for cached in routes.values()),
            tuple(map(_service_of, document.services)),
            tuple(map(_workspace_of, document.tenants)),
            _limits_of(document.limits),
        )

    def _decode_routes(
        self, document: _Document, findings: list[Finding]
    ) -> Generator[None, None, dict[bytes, _CachedRoute]]:
        """Return the routes by their encoded form; append errors to `findings`."""
        services = {service.name for service in document.services}
        routes: dict[bytes, _CachedRoute] = {}
        prefixes: set[tuple[str, str]] = set()
        for index, raw in enumerate(document.routes):
            if index % _STEP_ROUTES == _STEP_ROUTES - 1:
                yield
            path = f"routes[{index}]"
            data = bytes(raw)
            cached = self._cached_routes.get(data)
            if cached is None or not cached.services <= services:
                cached, errors = _decode_and_check(data, path, services)
                findings += errors
            prefix_key = (cached.route.host, cached.route.path_prefix)
            if prefix_key in prefixes:
                text = "has host and prefix of another route"
                findings.append(Finding(_FILE, path, text))
            prefixes.add(prefix_key)
            routes[data] = cached
        return routes


def decode_table(data: bytes) -> RouteTable:
    """Decode a single document; see `TableDecoder.decode`."""
    return TableDecoder().decode(data)


def _decode(decode, data: bytes, path: str):
    try:
        return decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise InvalidDocument([Finding(_FILE, path, str(error))]) from error


def _decode_and_check(
    data: bytes, path: str, services: set[str]
) -> tuple[_CachedRoute, list[Finding]]:
    route = _decode(_decode_route, data, path)
    errors = [
        Finding(_FILE, path, text) for text in _find_route_errors(route, services)
    ]
    service_names = frozenset(split.service for split in _splits_of(route))
    return _CachedRoute(_route_of(route), service_names), errors


def _find_document_errors(document: _Document) -> Iterator[Finding]:
    """Yield the errors of a document outside of its routes."""
    if not 0 < document.version <= _MAX_VERSION:
        yield Finding(_FILE, "version", f"must be from 1 to {_MAX_VERSION}")
    key_owners: dict[str, str] = {}
    for index, tenant in enumerate(document.tenants):
        for key in tenant.api_keys:
            if key_owners.setdefault(key, tenant.name) != tenant.name:
                text = f"shares a key with {key_owners[key]}"
                yield Finding(_FILE, f"tenants[{index}]", text)


def _find_route_errors(route: _Route, services: set[str]) -> Iterator[str]:
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
    # Relative to the largest weight, so that their sum is always finite.
    largest = max((split.weight for split in _splits_of(route)), default=1.0)
    shares = [
        Share(split.service, split.weight / largest)
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
            min(max(_MIN_RATE, tenant.rate_per_s), _MAX_QUOTA),
            min(max(0.0, tenant.burst), _MAX_QUOTA),
            counts_tokens=tenant.unit == names.UNIT_TOKENS,
            plain_tokens=min(max(0, tenant.plain_tokens), _MAX_PLAIN_TOKENS),
        )
    return Workspace(tenant.name, tuple(tenant.api_keys), tenant.priority, quota)


def _limits_of(limits: _Limits) -> CallerLimits:
    return CallerLimits(
        limits.max_header_bytes,
        limits.max_body_bytes,
        limits.header_timeout_ms / 1000,
        limits.idle_timeout_ms / 1000,
    )
