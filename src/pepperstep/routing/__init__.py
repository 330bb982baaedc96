"""Chooses upstreams for requests, and limits what is taken on."""

from pepperstep.routing.router import Placement, Router, UpstreamView

__all__ = ["Placement", "Router", "UpstreamView"]
