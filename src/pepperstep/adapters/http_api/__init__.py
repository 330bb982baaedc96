"""HTTP API for callers, upstreams and operators, as an ASGI application."""

from pepperstep.adapters.http_api.app import Api
from pepperstep.adapters.http_api.server import serve_api

__all__ = ["Api", "serve_api"]
