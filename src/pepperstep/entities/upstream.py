"""An upstream: one start of a model engine or of a plain service."""

import enum
from dataclasses import dataclass, field

__all__ = ["Load", "ModelKey", "Role", "Upstream", "UpstreamKind"]


class UpstreamKind(enum.StrEnum):
    """What an upstream runs."""

    ENGINE = "engine"
    SERVICE = "service"


class Role(enum.StrEnum):
    """Part of the work that a model engine takes."""

    MIXED = "mixed"
    PREFILL = "prefill"
    DECODE = "decode"


@dataclass(frozen=True, slots=True)
class ModelKey:
    """What must be loaded for a request: model, adapter and version."""

    model: str
    adapter: str = ""
    version: str = ""


@dataclass(frozen=True, slots=True)
class Load:
    """Load that an upstream reported, late by its own reporting period."""

    running: int = 0
    waiting: int = 0
    # Seconds it takes to prefill one token, and to decode one step.
    prefill_seconds: float = 0.0002
    decode_seconds: float = 0.02


@dataclass(frozen=True, slots=True)
class Upstream:
    """An upstream as it announced itself, with its lease's epoch."""

    name: str
    # Grows with each start; a message of an earlier epoch is ignored.
    epoch: int
    # host:port of its HTTP interface.
    address: str
    kind: UpstreamKind
    # Cloud host it runs on.
    host: str
    zone: str
    region: str = ""
    # Name of the plain service, "" for an engine.
    service: str = ""
    models: frozenset[ModelKey] = frozenset()
    # Requests that it runs at the same time.
    slots: int = 16
    role: Role = Role.MIXED
    load: Load = field(default=Load())
    is_leaving: bool = False
    checks_fencing: bool = True
    is_reclaimable: bool = True
