"""Connections to upstreams that wait for their next request."""

from collections.abc import Callable

from pepperstep.coordination import UpstreamKey
from pepperstep.ports.exchange import UpstreamConnection, UpstreamConnector

__all__ = ["Pools"]

# Time to open a connection, in seconds. Upstreams are some milliseconds away; an
# opening packet that was lost comes again after one second, and until then
# another upstream has long answered. Nothing was sent, so that is always safe.
_CONNECT_SECONDS = 0.3
# Part of an upstream's stated time for idle connections after which one isn't
# used again, so that the request doesn't cross the upstream's close.
_USED_PART = 0.6
# The same time where the upstream states none, in seconds.
_DEFAULT_KEEP_SECONDS = 3.0
# Part of the connections that an upstream takes which the hosts use; the rest
# covers hosts that start while others still hold their connections.
_USED_SHARE = 0.8


class _Pool:
    """Connections of this host to one upstream."""

    def __init__(self) -> None:
        self.idle: list[UpstreamConnection] = []
        # Connections that carry a request.
        self.busy: set[UpstreamConnection] = set()
        # These, and those that are being opened.
        self.in_use = 0
        self.keep_seconds = _DEFAULT_KEEP_SECONDS

    @property
    def count(self) -> int:
        """All open connections."""
        return len(self.idle) + self.in_use


class Pools:
    """Connections of this host to all upstreams, by the upstream's key."""

    def __init__(
        self,
        connector: UpstreamConnector,
        host_count: Callable[[], int],
        now: Callable[[], float],
    ):
        self._connector = connector
        self._host_count = host_count
        self._now = now
        self._pools: dict[UpstreamKey, _Pool] = {}

    def has_room(self, upstream: UpstreamKey, max_connections: int) -> bool:
        """Whether this host may send one more request there now."""
        pool = self._pools.get(upstream)
        if pool is None or not max_connections:
            return True
        part = _USED_SHARE * max_connections / max(1, self._host_count())
        return pool.in_use < max(1, int(part))

    async def take(self, upstream: UpstreamKey, address: str) -> UpstreamConnection:
        """Return an idle connection, or a new one.

        Raise `ConnectionFault`.
        """
        pool = self._pools.setdefault(upstream, _Pool())
        connection = self._take_idle(pool)
        pool.in_use += 1
        if connection is None:
            try:
                connection = await self._connector.connect(address, _CONNECT_SECONDS)
            except BaseException:
                pool.in_use -= 1
                raise
        pool.busy.add(connection)
        return connection

    def give_back(self, upstream: UpstreamKey, connection: UpstreamConnection) -> None:
        """Keep a connection for the next request if it may carry one."""
        pool = self._pools.get(upstream)
        if pool is None:
            connection.close()
            return
        pool.in_use -= 1
        pool.busy.discard(connection)
        if connection.is_reusable():
            pool.idle.append(connection)
        else:
            connection.close()

    def note_keep_seconds(self, upstream: UpstreamKey, seconds: float) -> None:
        """Take in how long the upstream keeps idle connections."""
        pool = self._pools.get(upstream)
        if pool is not None and seconds > 0:
            pool.keep_seconds = _USED_PART * seconds

    def close_idle(self, upstream: UpstreamKey) -> None:
        """Close all idle connections to an upstream."""
        pool = self._pools.get(upstream)
        if pool is None:
            return
        while pool.idle:
            pool.idle.pop().close()
        if not pool.in_use:
            del self._pools[upstream]

    def close_all(self, upstream: UpstreamKey) -> None:
        """Close all connections to an upstream that has ended.

        What waits for its answers learns so at once that none will come.
        """
        pool = self._pools.get(upstream)
        if pool is not None:
            for connection in list(pool.busy):
                connection.close()
        self.close_idle(upstream)

    def close_expired(self) -> None:
        """Close connections that wait longer than they may be used."""
        now = self._now()
        for pool in self._pools.values():
            while pool.idle and now - pool.idle[0].idle_since > pool.keep_seconds:
                pool.idle.pop(0).close()

    def _take_idle(self, pool: _Pool) -> UpstreamConnection | None:
        now = self._now()
        while pool.idle:
            connection = pool.idle.pop()
            is_fresh = now - connection.idle_since <= pool.keep_seconds
            if is_fresh and connection.is_reusable():
                return connection
            connection.close()
        return None
