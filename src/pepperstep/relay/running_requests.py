"""Requests in progress, which end together when their host does."""

from collections.abc import Iterator
from contextlib import contextmanager

import trio

from pepperstep.relay.relayed_request import RelayedRequest

__all__ = ["RunningRequests"]


class RunningRequests:
    """Scopes of the work on requests, until the host ends."""

    def __init__(self) -> None:
        self._scopes: dict[trio.CancelScope, RelayedRequest] = {}
        self._has_ended = False

    @property
    def has_ended(self) -> bool:
        """Whether `end` was called."""
        return self._has_ended

    @contextmanager
    def add(self, scope: trio.CancelScope, request: RelayedRequest) -> Iterator[None]:
        """Include a request while the block, whose scope is `scope`, runs."""
        self._scopes[scope] = request
        try:
            yield
        finally:
            del self._scopes[scope]

    def end(self) -> None:
        """Cancel the work on all requests, and mark those that it ends."""
        self._has_ended = True
        for scope, request in self._scopes.items():
            # Otherwise the caller has left.
            request.is_ended = not scope.cancel_called
            scope.cancel()
