"""Membership of the hosts that run the daemon."""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import trio
import xxhash
from absl import logging

from pepperstep.entities import Host
from pepperstep.membership.detector import Detector
from pepperstep.membership.exchange import Exchange
from pepperstep.membership.health import LocalHealth
from pepperstep.membership.members import (
    Member,
    MemberChange,
    MemberState,
    MemberTable,
)
from pepperstep.membership.settings import MembershipSettings
from pepperstep.membership.updates import UpdateQueue
from pepperstep.ports import PeerNetwork, Timers

__all__ = ["Membership", "Seed"]

_SYNC_TIMEOUT = 1.0
# Hosts that are told at once of a leave.
_LEAVE_FANOUT = 8


@dataclass(frozen=True, slots=True)
class Seed:
    """A host to join through; `name` is "" where only the address is known."""

    address: str
    name: str = ""

    @property
    def peer(self) -> str:
        """What the peer network knows the host by."""
        return self.name or self.address


class Membership:
    """This host's view of all hosts, kept up by probes and updates."""

    def __init__(
        self,
        own: Member,
        seeds: Iterable[Seed],
        peers: PeerNetwork,
        timers: Timers,
        rng: random.Random,
        settings: MembershipSettings,
    ):
        self._timers = timers
        self._rng = rng
        self._settings = settings
        self._peers = peers
        # Name of each seed, "" until it is known.
        self._seeds = {seed.peer: seed.name for seed in seeds}
        for seed in seeds:
            peers.set_address(seed.peer, seed.address)
        self._seeds.pop(own.name, None)
        self._seeds.pop(own.host.peer_address, None)
        self._table = MemberTable(own)
        self._table.subscribe(self._on_change)
        self._queue = UpdateQueue(self._table, timers, settings)
        self._health = LocalHealth(timers)
        self._exchange = Exchange(
            self._table, self._queue, self._health, peers, timers, settings
        )
        self._detector = Detector(
            self._table, self._exchange, self._health, timers, rng, settings
        )

    @classmethod
    def from_config(
        cls,
        host: Host,
        seeds: Iterable[Seed],
        peers: PeerNetwork,
        timers: Timers,
        rng: random.Random,
        incarnation: int | None = None,
        settings: MembershipSettings | None = None,
    ) -> "Membership":
        """Return the membership of `host`.

        `incarnation` must be greater than in each earlier life of the host;
        it is the Unix time in milliseconds by default.
        """
        life = int(timers.wall() * 1000) if incarnation is None else incarnation
        own = Member(host, life)
        settings = settings or MembershipSettings()
        return cls(own, tuple(seeds), peers, timers, rng, settings)

    @property
    def own(self) -> Member:
        """This host, with its present incarnation."""
        return self._table.own

    @property
    def is_isolated(self) -> bool:
        """Whether no other host answers, so that the view can't be trusted."""
        return bool(self._table.others()) and self._health.is_isolated

    def hosts(self) -> list[Host]:
        """Return the hosts that serve, leaving and suspected ones included."""
        return [member.host for member in self._table.all() if not member.is_gone]

    def entry_hosts(self) -> list[Host]:
        """Return the entry hosts that take new work, this one included."""
        return [
            member.host
            for member in self._table.all()
            if member.state is MemberState.ALIVE and member.host.caller_url
        ]

    def members(self) -> list[Member]:
        """Return all members, also those that are gone and not yet forgotten."""
        return self._table.all()

    def state_of(self, name: str) -> MemberState | None:
        """Return the state of a host, None if it isn't known."""
        member = self._table.get(name)
        return None if member is None else member.state

    def is_gone(self, host: str, incarnation: int) -> bool:
        """Whether this life of the host's process has ended, as far as known."""
        member = self._table.get(host)
        if member is None:
            return False
        return member.life > incarnation or member.is_gone

    def subscribe(self, listener: Callable[[MemberChange], None]) -> None:
        """Call `listener` after each change of a member."""
        self._table.subscribe(listener)

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Join, then watch the others until cancelled."""
        self._exchange.register()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._detector.run)
            nursery.start_soon(self._gossip)
            nursery.start_soon(self._sync_periodically)
            nursery.start_soon(self._bridge_regions)
            nursery.start_soon(self._join)
            task_status.started()

    async def leave(self) -> None:
        """Announce that this host serves on but is not to be chosen any more."""
        self._table.set_own_state(MemberState.LEAVING, self._timers.now())
        await self._tell_some()

    async def depart(self) -> None:
        """Announce that this host has stopped serving."""
        self._table.set_own_state(MemberState.LEFT, self._timers.now())
        await self._tell_some()

    async def _tell_some(self) -> None:
        others = self._table.others(self.own.host.region)
        chosen = self._rng.sample(others, min(_LEAVE_FANOUT, len(others)))
        async with trio.open_nursery() as nursery:
            for member in chosen:
                nursery.start_soon(self._ping, member)

    async def _gossip(self) -> None:
        """Pass on news at once."""
        async with trio.open_nursery() as nursery:
            while True:
                await self._queue.wait()
                for member in self._gossip_targets():
                    nursery.start_soon(self._ping, member)
                await self._timers.sleep(self._settings.gossip_period)

    async def _ping(self, member: Member) -> None:
        await self._exchange.ping(member.name, self._settings.probe_timeout)

    def _gossip_targets(self) -> list[Member]:
        others = self._table.others(self.own.host.region)
        suspects = [m for m in others if m.state is MemberState.SUSPECT]
        trusted = [m for m in others if m.state is not MemberState.SUSPECT]
        count = min(self._settings.gossip_fanout, len(trusted))
        targets = self._rng.sample(trusted, count)
        if suspects:
            # A suspect must learn of it in time to refute.
            targets.append(self._rng.choice(suspects))
        return targets

    async def _sync_periodically(self) -> None:
        async for now in self._timers.subscribe(self._settings.sync_period, 0.5):
            self._table.forget(now - self._settings.forget_after)
            others = self._table.others(self.own.host.region)
            if others:
                peer = self._rng.choice(others).name
                await self._exchange.sync(peer, _SYNC_TIMEOUT)

    async def _bridge_regions(self) -> None:
        """Exchange updates with another region, if this host is a bridge."""
        async for _ in self._timers.subscribe(self._settings.bridge_period, 0.5):
            regions = {member.host.region for member in self._table.others()}
            regions.discard(self.own.host.region)
            if not regions or self.own.name not in self._bridges(self.own.host.region):
                continue
            region = self._rng.choice(sorted(regions))
            peer = self._rng.choice(self._bridges(region))
            await self._exchange.sync(peer, _SYNC_TIMEOUT)

    def _bridges(self, region: str) -> list[str]:
        """Return the names of a region's bridges, the same for all hosts."""
        members = [*self._table.others(region)]
        if region == self.own.host.region:
            members.append(self.own)
        names = [member.name for member in members]
        names.sort(key=lambda name: xxhash.xxh32_intdigest(name.encode()))
        return names[: self._settings.bridge_count]

    async def _join(self) -> None:
        """Reach the seeds, and later those that are missing or dead here."""
        await self._sync_all(list(self._seeds))
        async for _ in self._timers.subscribe(self._settings.rejoin_period, 0.5):
            strangers = self._exchange.take_strangers()
            missing = self._missing_peers()
            if missing:
                strangers.append(self._rng.choice(missing))
            await self._sync_all(strangers)

    async def _sync_all(self, peers: list[str]) -> None:
        async with trio.open_nursery() as nursery:
            for peer in peers:
                nursery.start_soon(self._sync_with, peer)

    async def _sync_with(self, peer: str) -> None:
        name = await self._exchange.sync(peer, _SYNC_TIMEOUT)
        if name and peer in self._seeds:
            self._seeds[peer] = name
        if name == self.own.name:
            del self._seeds[peer]

    def _missing_peers(self) -> list[str]:
        region = self.own.host.region
        dead = [
            member.name
            for member in self._table.all()
            if member.state is MemberState.DEAD and member.host.region == region
        ]
        seeds = [peer for peer, name in self._seeds.items() if not self._serves(name)]
        return dead + seeds

    def _serves(self, name: str) -> bool:
        member = self._table.get(name)
        return member is not None and not member.is_gone

    def _on_change(self, change: MemberChange) -> None:
        before, after = change.before, change.after
        if after.name == self.own.name:
            return
        if before is None or before.host.peer_address != after.host.peer_address:
            self._peers.set_address(after.name, after.host.peer_address)
        if before is None or before.state != after.state:
            logging.info("membership: %s is %s.", after.name, after.state.name)
