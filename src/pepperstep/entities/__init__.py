"""Data classes shared by several packages."""

from pepperstep.entities.host import Host
from pepperstep.entities.request import (
    Outcome,
    Priority,
    Request,
    RequestKind,
    ServiceAnswer,
)
from pepperstep.entities.upstream import Load, ModelKey, Role, Upstream, UpstreamKind

__all__ = [
    "Host",
    "Load",
    "ModelKey",
    "Outcome",
    "Priority",
    "Request",
    "RequestKind",
    "Role",
    "ServiceAnswer",
    "Upstream",
    "UpstreamKind",
]
