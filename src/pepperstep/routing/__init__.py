"""Load balancing, admission control, queueing and retries of requests."""

from pepperstep.routing.explanations import Explanation
from pepperstep.routing.placement import Placement
from pepperstep.routing.pools import UpstreamView
from pepperstep.routing.prediction import Prediction
from pepperstep.routing.prefixes import CacheEvent
from pepperstep.routing.retries import RetryBudget, RetryCause
from pepperstep.routing.router import Router
from pepperstep.routing.settings import RoutingSettings
from pepperstep.routing.status import RoutingStatus, UpstreamStatus

__all__ = [
    "CacheEvent",
    "Explanation",
    "Placement",
    "Prediction",
    "RetryBudget",
    "RetryCause",
    "Router",
    "RoutingSettings",
    "RoutingStatus",
    "UpstreamStatus",
    "UpstreamView",
]
