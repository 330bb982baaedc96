"""Operators' routes: which service answers a request, and under which limits.

A `RouteTable` is one complete version of the routes. Beyond lookups it has no
behaviour, so all hosts with the same version resolve a request in the same way.
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
    """Whether a route's requests may be run more than once."""

    # Idempotent requests, which may run several times.
    REPEATABLE = "repeatable"
    # Requests that run at most once.
    ONCE = "once"


@dataclass(frozen=True, slots=True)
class Share:
    """A service and its weight in the distribution of a route's traffic."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Route for requests with one Host and path prefix; times are in seconds."""

    name: str
    host: str
    path_prefix: str
    shares: tuple[Share, ...]
    repetition: Repetition
    # Maximum time until the complete answer.
    timeout: float
    # Target for the time until the answer or the first event of a stream.
    target_latency: float = 0.0
    # Target for the longest pause between two events of a stream, 0 without streams.
    target_pause: float = 0.0
    # 0 is the most urgent.
    priority: int = 0
    # Maximum number of upstreams that one request is sent to.
    max_attempts: int = 1
    is_stream: bool = False
    # Whether another upstream may resume a stream after the last event sent.
    is_resumable: bool = False
    # Whether callers need no API key.
    is_public: bool = False
    # Whether requests state the prompt parts that upstreams can cache.
    has_prompts: bool = False

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run again after it may have run."""
        if self.is_stream:
            return self.is_resumable
        return self.repetition is Repetition.REPEATABLE


@dataclass(frozen=True, slots=True)
class EngineCapacity:
    """Capacity of a service's model engines, as configured by the operators."""

    # Requests that one engine runs concurrently.
    slots: int
    # Prompt and answer tokens that one engine keeps in memory.
    memory_tokens: int


@dataclass(frozen=True, slots=True)
class ScalingBounds:
    """Count limits and prices of a service's upstreams per availability zone."""

    min_count: int
    max_count: int
    # Seconds from the order of a new upstream until it serves requests.
    boot_seconds: float
    # Price of reclaimable upstreams as a fraction of the price of steady ones.
    reclaimable_price: float
    # Price per second by availability zone.
    zone_prices: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Service:
    """A group of interchangeable upstreams."""

    name: str
    health_path: str = ""
    # Connections that one upstream accepts from all hosts together, 0 for no limit.
    max_connections: int = 0
    engine: EngineCapacity | None = None
    scaling: ScalingBounds | None = None


@dataclass(frozen=True, slots=True)
class Quota:
    """Token bucket of a workspace over all hosts: `rate` per second, and `burst`."""

    rate: float
    burst: float
    # Whether `rate` and `burst` count prompt and answer tokens instead of requests.
    counts_tokens: bool = False
    # Tokens charged for a request that doesn't state its tokens.
    plain_tokens: int = 0


@dataclass(frozen=True, slots=True)
class Workspace:
    """A group of callers that share API keys and a quota."""

    name: str
    keys: tuple[str, ...]
    # Overrides the route's priority unless None.
    priority: int | None = None
    quota: Quota | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size of a request in bytes and on its timing in seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


class RouteTable:
    """One complete version of the routes, indexed for lookups."""

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
        self._by_host_and_prefix: dict[tuple[str, str], Route] = {
            (route.host, route.path_prefix): route for route in routes
        }

    @property
    def needs_keys(self) -> bool:
        """Whether callers need a key on routes that aren't public."""
        return bool(self.workspaces)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, None without a match.

        Prefixes end with a slash, so only prefixes of `path` up to a slash are tried.
        """
        end = len(path)
        while end > 0:
            end = path.rfind("/", 0, end)
            if end < 0:
                return None
            route = self._by_host_and_prefix.get((host, path[: end + 1]))
            if route is not None:
                return route
        return None

    def find_workspace(self, key: str) -> Workspace | None:
        """Return the workspace with the API key `key`, None for an unknown key."""
        return self._by_key.get(key)
