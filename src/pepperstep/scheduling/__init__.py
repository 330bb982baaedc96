"""Placement and admission control shared by all entry hosts."""

from pepperstep.scheduling.requests import (
    Placement,
    PlacementRequest,
    Refusal,
    RefusalReason,
    Running,
)
from pepperstep.scheduling.settings import SchedulingSettings

__all__ = [
    "Placement",
    "PlacementRequest",
    "Refusal",
    "RefusalReason",
    "Running",
    "SchedulingSettings",
]
