"""Upstreams: running instances of model engines and plain services."""

import enum
from dataclasses import dataclass, field

__all__ = ["Load", "ModelKey", "Role", "Upstream", "UpstreamKind"]


class UpstreamKind(enum.StrEnum):
    """Kind of server that an upstream runs."""

    ENGINE = "engine"
    SERVICE = "service"


class Role(enum.StrEnum):
    """Phases of inference that a model engine performs."""

    MIXED = "mixed"
    PREFILL = "prefill"
    DECODE = "decode"


@dataclass(frozen=True, slots=True)
class ModelKey:
    """Model, adapter and version that a request needs loaded."""

    model: str
    adapter: str = ""
    version: str = ""


@dataclass(frozen=True, slots=True)
class Load:
    """Load reported by an upstream, up to one reporting period old."""

    running: int = 0
    waiting: int = 0
    # Seconds to prefill one token, and to decode one step.
    prefill_seconds: float = 0.0002
    decode_seconds: float = 0.02


@dataclass(frozen=True, slots=True)
class Upstream:
    """An upstream as announced, with the epoch of its lease."""

    name: str
    # Increases with each start; messages of earlier epochs are ignored.
    epoch: int
    # host:port of the HTTP interface.
    address: str
    kind: UpstreamKind
    # Cloud host that runs the upstream.
    host: str
    zone: str
    region: str = ""
    # Name of the plain service, "" for an engine.
    service: str = ""
    models: frozenset[ModelKey] = frozenset()
    # Requests that the upstream runs concurrently.
    slots: int = 16
    role: Role = Role.MIXED
    load: Load = field(default=Load())
    is_leaving: bool = False
    checks_fencing: bool = True
    is_reclaimable: bool = True
