"""One host's parts put together, on ports that the daemon or a test gives."""

import random
from dataclasses import dataclass

import trio
from absl import logging

from pepperstep.configuration import Configuration
from pepperstep.entities import Host, Upstream
from pepperstep.ports import (
    Agreement,
    Directory,
    PeerNetwork,
    Storage,
    Timers,
    UpstreamClient,
)
from pepperstep.requests import RequestService
from pepperstep.routing import Router
from pepperstep.settings import Settings

__all__ = ["Node", "Ports"]

_LEASE_SECONDS = 3.0


@dataclass(frozen=True, slots=True)
class Ports:
    """What a host needs from outside; `storage` only on control hosts."""

    timers: Timers
    peers: PeerNetwork
    upstreams: UpstreamClient
    rng: random.Random
    storage: Storage | None = None


class LocalRegistry:
    """Upstreams that announced themselves at this host."""

    def __init__(self, timers: Timers):
        self._timers = timers
        self._upstreams: dict[str, tuple[Upstream, float]] = {}

    def announce(self, upstream: Upstream, sequence: int) -> float:
        """Renew an upstream's lease and return its length in seconds."""
        self._upstreams[upstream.name] = (
            upstream,
            self._timers.now() + _LEASE_SECONDS,
        )
        return _LEASE_SECONDS

    def candidates(self) -> list[Upstream]:
        """Return the upstreams with a lease that aren't leaving."""
        now = self._timers.now()
        return [
            upstream
            for upstream, expires_at in self._upstreams.values()
            if expires_at > now and not upstream.is_leaving
        ]


class StaticDirectory:
    """All hosts of the settings, taken as alive."""

    def __init__(self, hosts: list[Host]):
        self._hosts = hosts

    def entry_hosts(self) -> list[Host]:
        """Return all hosts."""
        return self._hosts

    def is_gone(self, host: str, incarnation: int) -> bool:
        """Return False."""
        return False


class Node:
    """A host with its parts, which run until cancelled."""

    def __init__(
        self,
        settings: Settings,
        ports: Ports,
        directory: Directory,
        agreement: Agreement,
        configuration: Configuration,
    ):
        self.host = settings.to_host()
        self.timers = ports.timers
        self.directory = directory
        self.configuration = configuration
        self.registry = LocalRegistry(ports.timers)
        self.router = Router(self.registry, ports.timers)
        limits = configuration.limits
        self.requests = RequestService(
            self.host,
            int(ports.timers.wall() * 1000),
            ports.peers,
            ports.timers,
            directory,
            agreement,
            self.router,
            ports.upstreams,
            is_single=settings.requests.is_single,
            resume_grace=limits.resume_grace_seconds,
            outcome_seconds=limits.outcome_seconds,
        )

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Run all parts."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self.requests.run)
            logging.info("node: Host %s runs.", self.host.name)
            task_status.started()

    def reasons_not_ready(self) -> list[str]:
        """Return why this host should get no requests now."""
        return []
