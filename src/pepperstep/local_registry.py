"""Upstreams that announced themselves at this host."""

from dataclasses import replace

import trio

from pepperstep.entities import Upstream

__all__ = ["UpstreamRegistry"]

_LEASE_SECONDS = 3.0


class UpstreamRegistry:
    """Leases of upstreams."""

    def __init__(self, timers):
        self._timers = timers
        self._upstreams: dict[str, tuple[Upstream, float]] = {}

    @classmethod
    def from_config(cls, host, directory, peers, timers, rng):
        """Return the registry."""
        return cls(timers)

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Do nothing."""
        task_status.started()

    def announce(self, upstream: Upstream, sequence: int) -> float:
        """Renew an upstream's lease and return its length in seconds."""
        expires_at = self._timers.now() + _LEASE_SECONDS
        self._upstreams[upstream.name] = (upstream, expires_at)
        return _LEASE_SECONDS

    def mark_host_leaving(self, host_id: str) -> None:
        """Mark upstreams of a host."""
        for name, (upstream, at) in self._upstreams.items():
            if upstream.host == host_id:
                self._upstreams[name] = (replace(upstream, is_leaving=True), at)

    def upstreams(self) -> list[Upstream]:
        """Return the upstreams with a lease."""
        now = self._timers.now()
        return [each for each, at in self._upstreams.values() if at > now]

    def candidates(self) -> list[Upstream]:
        """Return those that aren't leaving."""
        return [each for each in self.upstreams() if not each.is_leaving]
