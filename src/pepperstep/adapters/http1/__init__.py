"""HTTP/1.1 over trio sockets with h11: a server, and connections to upstreams.

Both pass messages through unchanged and see what an HTTP client library hides:
extra bytes after a response, and how a connection was closed.
"""

from pepperstep.adapters.http1.client import Http1Connector
from pepperstep.adapters.http1.metrics import MetricsHandler
from pepperstep.adapters.http1.server import Http1Server, PendingWork

__all__ = ["Http1Connector", "Http1Server", "MetricsHandler", "PendingWork"]
