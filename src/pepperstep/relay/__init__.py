"""Relaying of requests to upstreams: routes, quotas, placement, retries, resumption."""

from pepperstep.relay.budget import RetryBudget
from pepperstep.relay.choice import Chooser
from pepperstep.relay.counts import RunCounts
from pepperstep.relay.pools import Pools
from pepperstep.relay.quotas import Quotas
from pepperstep.relay.relay import Relay

__all__ = ["Chooser", "Pools", "Quotas", "Relay", "RetryBudget", "RunCounts"]
