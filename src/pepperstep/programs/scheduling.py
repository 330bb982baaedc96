"""Shards of the services in force, for the scheduling of an entry host."""

import random
from collections.abc import Collection, Sequence
from dataclasses import dataclass, field

from pepperstep.coordination import Announcement, TableStore, UpstreamCatalog
from pepperstep.entities.routes import Service
from pepperstep.ports.relaying import PromptPart
from pepperstep.scheduling.settings import SchedulingSettings
from pepperstep.scheduling.shard import ShardScheduler
from pepperstep.scheduling.sharding import order_by_prompt, shard_of

__all__ = ["ServiceShards"]


@dataclass(slots=True)
class _Division:
    """The usable upstreams of a service by shard, in one version of the catalog."""

    service: Service
    version: int
    upstreams: dict[str, list[Announcement]] = field(default_factory=dict)
    # Ids of the upstreams of each shard.
    members: dict[str, set[str]] = field(default_factory=dict)
    # Shard of each upstream by its id.
    shards: dict[str, str] = field(default_factory=dict)

    def add(self, upstream: Announcement) -> None:
        """Add an upstream to its shard."""
        shard = shard_of(self.service, upstream.id)
        self.shards[upstream.id] = shard
        self.upstreams.setdefault(shard, []).append(upstream)
        self.members.setdefault(shard, set()).add(upstream.id)


class ServiceShards:
    """Divides the known upstreams of the services in force into shards.

    A division is kept until the catalog or the service changes, as each request needs
    it several times.
    """

    def __init__(
        self,
        tables: TableStore,
        catalog: UpstreamCatalog,
        settings: SchedulingSettings,
        rng: random.Random,
    ):
        self._tables = tables
        self._catalog = catalog
        self._settings = settings
        self._rng = rng
        # By service; limited by the services in force.
        self._divisions: dict[str, _Division] = {}

    def make(self, service: str) -> ShardScheduler | None:
        """Return the empty state of a shard, None for an unknown service."""
        known = self._tables.current.services.get(service)
        if known is None:
            return None
        rng = random.Random(self._rng.random())
        return ShardScheduler(self._settings, known.engine, rng)

    def upstreams(self, service: str, shard: str) -> list[Announcement]:
        """Return the usable upstreams of a shard."""
        known = self._tables.current.services.get(service)
        return [] if known is None else self._divide(known).upstreams.get(shard, [])

    def members(self, service: Service, shard: str) -> Collection[str]:
        """Return the ids of a shard's usable upstreams."""
        return self._divide(service).members.get(shard, ())

    def order(
        self,
        service: Service,
        parts: Sequence[PromptPart],
        candidates: Sequence[Announcement],
    ) -> list[str]:
        """Return the shards with candidates, for an engine in the order to try."""
        shards = self._divide(service).shards
        names = dict.fromkeys(
            shards.get(each.id) or shard_of(service, each.id) for each in candidates
        )
        if service.engine is None:
            return list(names)
        return order_by_prompt(parts, names, self._rng)

    def _divide(self, service: Service) -> _Division:
        """Return the current division of a service."""
        division = self._divisions.get(service.name)
        version = self._catalog.version
        if (
            division is not None
            and division.version == version
            and division.service is service
        ):
            return division
        division = _Division(service, version)
        for upstream in self._catalog.usable(service.name):
            division.add(upstream)
        self._divisions[service.name] = division
        self._drop_unknown()
        return division

    def _drop_unknown(self) -> None:
        """Drop the divisions of services that are no longer in force."""
        for name in self._divisions.keys() - self._tables.current.services.keys():
            del self._divisions[name]
