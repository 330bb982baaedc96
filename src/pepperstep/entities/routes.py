"""The operators' routes: which service answers a request, and under what limits.

A `RouteTable` is one complete version of them. It holds no behaviour beyond
lookups, so that every host comes to the same answer from the same version.
"""

import enum
from dataclasses import dataclass, field

__all__ = [
    "CallerLimits",
    "EngineCapacity",
    "Quota",
    "Repetition",
    "Route",
    "RouteTable",
    "ScalingBounds",
    "Service",
    "Share",
    "Workspace",
]


class Repetition(enum.StrEnum):
    """What may be repeated of a route's requests."""

    # Idempotent: may run several times.
    REPEATABLE = "repeatable"
    # Runs at most once.
    ONCE = "once"


@dataclass(frozen=True, slots=True)
class Share:
    """A service with its weight in a route's traffic."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Where requests of one host and path prefix go; times are in seconds."""

    name: str
    host: str
    path_prefix: str
    shares: tuple[Share, ...]
    repetition: Repetition
    # Longest time until the final answer.
    timeout: float
    # Time until the answer, or its first event, that callers aim at.
    target_latency: float = 0.0
    # Longest pause between two events of a stream, 0 for no streams.
    target_pause: float = 0.0
    # 0 is the most urgent.
    priority: int = 0
    # Upstreams that one request may be sent to.
    max_attempts: int = 1
    is_stream: bool = False
    # Whether another upstream may go on after the last event that was sent.
    is_resumable: bool = False
    # Whether callers need no key.
    is_public: bool = False
    # Whether requests name parts of prompts that upstreams keep in memory.
    has_prompts: bool = False

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run again after it may have run."""
        if self.is_stream:
            return self.is_resumable
        return self.repetition is Repetition.REPEATABLE


@dataclass(frozen=True, slots=True)
class EngineCapacity:
    """What the operators say of a service's model engines."""

    # Requests that one engine runs at the same time.
    slots: int
    # Tokens of prompts and answers that it keeps in memory.
    memory_tokens: int


@dataclass(frozen=True, slots=True)
class ScalingBounds:
    """Bounds and prices of a service's upstreams in each availability zone."""

    min_count: int
    max_count: int
    # Seconds from the order until a new upstream serves.
    boot_seconds: float
    # Price of reclaimable upstreams as a share of the others' price.
    reclaimable_price: float
    # Price a second by availability zone.
    zone_prices: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Service:
    """A group of upstreams that answer the same requests."""

    name: str
    health_path: str = ""
    # Connections that one upstream takes from all hosts together, 0 for any.
    max_connections: int = 0
    engine: EngineCapacity | None = None
    scaling: ScalingBounds | None = None


@dataclass(frozen=True, slots=True)
class Quota:
    """What a workspace may send over all hosts: `rate` a second, and `burst`."""

    rate: float
    burst: float
    # Whether both count tokens instead of requests.
    counts_tokens: bool = False
    # Tokens of a request that doesn't state them.
    plain_tokens: int = 0


@dataclass(frozen=True, slots=True)
class Workspace:
    """A group of callers with keys of its own."""

    name: str
    keys: tuple[str, ...]
    # Goes before the route's priority, None for none.
    priority: int | None = None
    quota: Quota | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds on what a caller sends, and how long it may take; in bytes, seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


class RouteTable:
    """One complete version of the routes, with its lookups."""

    def __init__(
        self,
        version: int,
        routes: tuple[Route, ...] = (),
        services: tuple[Service, ...] = (),
        workspaces: tuple[Workspace, ...] = (),
        limits: CallerLimits | None = None,
    ):
        self.version = version
        self.routes = routes
        self.services = {service.name: service for service in services}
        self.workspaces = workspaces
        self.limits = limits or CallerLimits()
        self._by_key = {key: each for each in workspaces for key in each.keys}
        self._by_place: dict[tuple[str, str], Route] = {
            (route.host, route.path_prefix): route for route in routes
        }

    @property
    def needs_keys(self) -> bool:
        """Whether callers show keys, but for public routes."""
        return bool(self.workspaces)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of `path`, None for none.

        Prefixes end with a slash, so only the path's own slashes are tried.
        """
        end = len(path)
        while end > 0:
            end = path.rfind("/", 0, end)
            if end < 0:
                return None
            route = self._by_place.get((host, path[: end + 1]))
            if route is not None:
                return route
        return None

    def find_workspace(self, key: str) -> Workspace | None:
        """Return the workspace that holds `key`, None for none."""
        return self._by_key.get(key)
