"""Pools of reusable connections to upstreams."""

from collections.abc import Callable

from pepperstep.coordination import UpstreamKey
from pepperstep.ports.exchange import (
    ConnectionFault,
    UpstreamConnection,
    UpstreamConnector,
)

__all__ = ["Pools"]

# Timeout for opening a connection. Upstreams are some milliseconds away, and a lost
# opening packet is only sent again after a second; another upstream answers sooner.
# Changing the upstream is always safe at this point, as no request was sent.
_CONNECT_TIMEOUT_SECONDS = 0.3
# Fraction of an upstream's keep-alive time after which an idle connection isn't reused,
# so that a request doesn't cross the upstream's close.
_KEEP_ALIVE_FRACTION = 0.6
# Maximum idle time of connections to upstreams that state no keep-alive time.
_DEFAULT_KEEP_ALIVE_SECONDS = 3.0
# Fraction of an upstream's connection limit that the hosts use. The rest covers hosts
# that start while other hosts still hold connections.
_USED_CONNECTIONS_FRACTION = 0.8
# Time after a failed connection for which an upstream may have started again without
# this host's knowledge. Upstreams announce themselves every second or so.
_RESTART_NOTICE_SECONDS = 5.0


class _Pool:
    """Connections of this host to one upstream."""

    def __init__(self) -> None:
        self.idle: list[UpstreamConnection] = []
        # Connections that carry a request.
        self.busy: set[UpstreamConnection] = set()
        # Number of busy connections and of those being opened.
        self.in_use = 0
        self.keep_alive_seconds = _DEFAULT_KEEP_ALIVE_SECONDS
        # Monotonic time at which the latest connection was opened.
        self.connected_at = float("-inf")

    @property
    def open_count(self) -> int:
        """Number of open connections."""
        return len(self.idle) + self.in_use


class Pools:
    """Connection pools of this host, by the upstream's key."""

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
        # Monotonic time at which each upstream couldn't be connected to the last time.
        self._unreachable_at: dict[UpstreamKey, float] = {}

    def may_have_restarted(self, upstream: UpstreamKey) -> bool:
        """Whether an upstream may be another process than the announced one.

        One that couldn't be connected to a moment ago may have started again since,
        with other software, and its announcement may still be on its way.
        """
        failed_at = self._unreachable_at.get(upstream, float("-inf"))
        return self._now() - failed_at < _RESTART_NOTICE_SECONDS

    def has_room(self, upstream: UpstreamKey, max_connections: int) -> bool:
        """Whether this host may send an upstream one more request."""
        pool = self._pools.get(upstream)
        if pool is None or not max_connections:
            return True
        local_limit = (
            _USED_CONNECTIONS_FRACTION * max_connections / max(1, self._host_count())
        )
        return pool.in_use < max(1, int(local_limit))

    async def acquire(self, upstream: UpstreamKey, address: str) -> UpstreamConnection:
        """Return an idle or a new connection.

        Raise `ConnectionFault` if none can be opened.
        """
        pool = self._pools.setdefault(upstream, _Pool())
        connection = self._acquire_idle(pool)
        pool.in_use += 1
        if connection is None:
            try:
                connection = await self._connect(upstream, pool, address)
            except BaseException:
                pool.in_use -= 1
                raise
        pool.busy.add(connection)
        return connection

    def connected_at(self, upstream: UpstreamKey) -> float:
        """Return the monotonic time of the latest new connection, -inf without one."""
        pool = self._pools.get(upstream)
        return float("-inf") if pool is None else pool.connected_at

    async def open_idle(self, upstream: UpstreamKey, address: str) -> bool:
        """Open a connection for later requests; return False if it can't be opened."""
        pool = self._pools.setdefault(upstream, _Pool())
        try:
            connection = await self._connect(upstream, pool, address)
        except ConnectionFault:
            return False
        self._pools.setdefault(upstream, pool).idle.append(connection)
        return True

    def release(self, upstream: UpstreamKey, connection: UpstreamConnection) -> None:
        """Return a connection to its pool, or close it if it can't be reused."""
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

    def set_keep_alive(self, upstream: UpstreamKey, seconds: float) -> None:
        """Set how long the upstream keeps idle connections open, if it states so."""
        pool = self._pools.get(upstream)
        if pool is not None and seconds > 0:
            pool.keep_alive_seconds = _KEEP_ALIVE_FRACTION * seconds

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

        This fails the requests that wait for its answers immediately.
        """
        pool = self._pools.get(upstream)
        if pool is not None:
            for connection in list(pool.busy):
                connection.close()
        self.close_idle(upstream)

    def close_expired(self) -> None:
        """Close the connections that have exceeded their maximum idle time."""
        now = self._now()
        for upstream in list(self._unreachable_at):
            if not self.may_have_restarted(upstream):
                del self._unreachable_at[upstream]
        for pool in self._pools.values():
            while pool.idle and now - pool.idle[0].idle_since > pool.keep_alive_seconds:
                pool.idle.pop(0).close()

    async def _connect(
        self, upstream: UpstreamKey, pool: _Pool, address: str
    ) -> UpstreamConnection:
        try:
            connection = await self._connector.connect(
                address, _CONNECT_TIMEOUT_SECONDS
            )
        except ConnectionFault:
            self._unreachable_at[upstream] = self._now()
            raise
        pool.connected_at = self._now()
        return connection

    def _acquire_idle(self, pool: _Pool) -> UpstreamConnection | None:
        now = self._now()
        while pool.idle:
            connection = pool.idle.pop()
            is_fresh = now - connection.idle_since <= pool.keep_alive_seconds
            if is_fresh and connection.is_reusable():
                return connection
            connection.close()
        return None
