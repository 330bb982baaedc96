"""Spread of upstreams to the other entry hosts that route to them.

The host that takes an upstream's heartbeats pushes its record to the others,
changes at once and renewals once a second. Digests repair what pushes missed.
"""

import random
from collections.abc import Callable, Iterable
from typing import Protocol

import trio

from pepperstep.entities import Host
from pepperstep.errors import Failure
from pepperstep.membership.clock import EchoClock
from pepperstep.membership.records import (
    Record,
    age_ms,
    description_hash,
    from_message,
    to_message,
    to_version,
)
from pepperstep.membership.settings import RegistrySettings
from pepperstep.membership.subset import choose_routers
from pepperstep.ports import PeerNetwork, Timers
from pepperstep.proto import membership_pb2 as pb

__all__ = ["RecordTable", "UpstreamSpread"]

# Share of a lease after which other hosts are asked for a renewal.
_STALE_SHARE = 0.6
# Milliseconds by which a renewal must be newer to be worth an answer.
_MIN_GAIN_MS = 300
_DIGEST_TIMEOUT = 0.5


class RecordTable(Protocol):
    """The records that are spread."""

    @property
    def records(self) -> dict[str, Record]:
        """All records by name."""

    def merge(self, news: Record) -> bool:
        """Take in a record."""


class _Target:
    """What another host still has to be told."""

    def __init__(self, name: str):
        self.name = name
        self.scope = trio.CancelScope()
        self.changes: set[str] = set()
        self.renewals: set[str] = set()
        self.renewed_at = 0.0
        # Descriptions that the host has acknowledged, by their hash.
        self.described: dict[str, int] = {}
        # Its last reading and when it came.
        self.reading: pb.ClockReading | None = None
        self.reading_at = 0.0


class UpstreamSpread:
    """Pushes to the other hosts, and handlers for theirs."""

    def __init__(
        self,
        host: Host,
        hosts: Callable[[], list[Host]],
        table: RecordTable,
        clock: EchoClock,
        peers: PeerNetwork,
        timers: Timers,
        rng: random.Random,
        settings: RegistrySettings,
    ):
        self._host = host
        self._hosts = hosts
        self._table = table
        self._clock = clock
        self._peers = peers
        self._timers = timers
        self._rng = rng
        self._settings = settings
        self._targets: dict[str, _Target] = {}
        # Upstreams whose heartbeats come here, by the time of the last one.
        self._home: dict[str, float] = {}
        # The hosts as of the last look, and what follows from them.
        self._routers: list[Host] = []
        self._controls: frozenset[str] = frozenset()
        self._routers_of: dict[str, frozenset[str]] = {}

    def register(self) -> None:
        """Take the other hosts' messages from now on."""
        self._peers.handle(pb.UpstreamPush, self._on_push)
        self._peers.handle(pb.UpstreamDigest, self._on_digest)

    def add_home(self, name: str, is_changed: bool) -> None:
        """Spread a heartbeat that came to this host."""
        self._home[name] = self._timers.now()
        if is_changed:
            self.push(name)
            return
        for target in self._targets_of(name):
            target.renewals.add(name)

    def push(self, name: str) -> None:
        """Spread a change that began at this host."""
        for target in self._targets_of(name):
            target.changes.add(name)

    def list_routers(self, upstream: str) -> tuple[str, ...]:
        """Return the base URLs of the entry hosts that route to `upstream`."""
        names = self._routers_for(upstream)
        return tuple(host.caller_url for host in self._routers if host.name in names)

    async def run(self) -> None:
        """Serve each other host in a task of its own until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._compare_periodically)
            nursery.start_soon(self._refresh_periodically)
            async for _ in self._timers.subscribe(self._settings.push_period):
                self._update_hosts()
                self._update_targets(nursery)

    def _update_hosts(self) -> None:
        hosts = self._hosts()
        region = self._host.region
        routers = [h for h in hosts if h.caller_url and h.region == region]
        self._controls = frozenset(host.name for host in hosts if host.is_control)
        if routers != self._routers:
            self._routers = routers
            self._routers_of.clear()

    def _update_targets(self, nursery: trio.Nursery) -> None:
        names = {host.name for host in self._routers} | self._controls
        names.discard(self._host.name)
        for name in self._targets.keys() - names:
            self._targets.pop(name).scope.cancel()
        oldest = self._timers.now() - self._settings.lease
        self._home = {n: time for n, time in self._home.items() if time > oldest}
        for name in sorted(names - self._targets.keys()):
            target = self._targets[name] = _Target(name)
            target.changes.update(self._shared_with(name, self._home))
            nursery.start_soon(self._serve, target)

    def _targets_of(self, upstream: str) -> list[_Target]:
        names = self._tellable(upstream)
        return [target for name, target in self._targets.items() if name in names]

    def _shared_with(self, host: str, upstreams: Iterable[str]) -> list[str]:
        return [name for name in upstreams if host in self._tellable(name)]

    def _tellable(self, upstream: str) -> frozenset[str]:
        """Return the names of all hosts that are to know `upstream`."""
        return self._routers_for(upstream) | self._controls

    def _routers_for(self, upstream: str) -> frozenset[str]:
        names = self._routers_of.get(upstream)
        if names is None:
            count = self._settings.routers_per_upstream
            names = choose_routers(upstream, self._routers, count)
            self._routers_of[upstream] = names
        return names

    async def _serve(self, target: _Target) -> None:
        with target.scope:
            async for now in self._timers.subscribe(self._settings.push_period, 0.2):
                is_due = now - target.renewed_at >= self._settings.renewal_period
                if target.changes or (target.renewals and is_due):
                    await self._push_to(target)

    async def _push_to(self, target: _Target) -> None:
        """Send what is pending; what isn't acknowledged is pending again."""
        message, sent = self._compose(target)
        # What changes while the call is under way must be sent again.
        target.changes -= sent.keys()
        target.renewals -= sent.keys()
        started = self._timers.now()
        try:
            ack = await self._peers.call(
                target.name, message, self._settings.push_timeout
            )
        except Failure:
            target.changes.update(sent)
            return
        target.renewed_at = started
        target.reading = ack.reading
        target.reading_at = self._timers.now()
        target.described.update(sent)
        for name in ack.wanted:
            target.described.pop(name, None)
        # A receiver without an echo of its clock has renewed nothing.
        target.changes.update(sent if ack.needs_echo else ack.wanted)

    def _compose(self, target: _Target) -> tuple[pb.UpstreamPush, dict[str, int]]:
        """Return the message, and the hashes of the descriptions told by it."""
        now = self._timers.now()
        message = pb.UpstreamPush()
        if target.reading is not None:
            message.echo.CopyFrom(target.reading)
            message.held_ms = int((now - target.reading_at) * 1000)
        sent: dict[str, int] = {}
        size = 0
        for name in sorted(target.changes) + sorted(target.renewals - target.changes):
            record = self._table.records.get(name)
            if record is None or size > self._settings.max_push_bytes:
                continue
            sent[name] = description_hash(record)
            is_full = target.described.get(name) != sent[name]
            message.records.append(to_message(record, now, is_full))
            size += message.records[-1].ByteSize()
        return message, sent

    async def _on_push(
        self, message: pb.UpstreamPush, sender: str
    ) -> pb.UpstreamPushAck:
        sent_at = self._clock.sent_at(message.echo, message.held_ms)
        wanted = self._merge(message.records, sent_at)
        return pb.UpstreamPushAck(
            reading=self._clock.read(), needs_echo=sent_at is None, wanted=wanted
        )

    def _merge(
        self, messages: Iterable[pb.UpstreamRecord], sent_at: float | None
    ) -> list[str]:
        """Merge records and return the names whose description is missing."""
        wanted: list[str] = []
        for message in messages:
            known = self._table.records.get(message.name)
            try:
                record = from_message(message, known, sent_at)
            except ValueError:
                # A kind or role of a later release, of no use to this host.
                continue
            if record is not None:
                self._table.merge(record)
            elif known is None or known.epoch <= message.epoch:
                wanted.append(message.name)
        return wanted

    async def _compare_periodically(self) -> None:
        """Compare with another host at the start and then each period."""
        period = self._settings.push_period
        async for _ in self._timers.subscribe(period, 0.5):
            if not self._targets:
                continue
            self._forget()
            peer = self._rng.choice(sorted(self._targets))
            names = self._shared_with(peer, self._table.records)
            await self._compare(peer, names, is_selection=False)
            rest = self._settings.digest_period - period
            await self._timers.sleep(rest * self._rng.uniform(0.75, 1.25))

    def _forget(self) -> None:
        """Drop what is kept of upstreams that the table has forgotten."""
        records = self._table.records
        for name in self._routers_of.keys() - records.keys():
            del self._routers_of[name]
        for target in self._targets.values():
            for name in target.described.keys() - records.keys():
                del target.described[name]

    async def _refresh_periodically(self) -> None:
        """Ask others for leases that no push has renewed lately."""
        period = 2 * self._settings.push_period
        async for now in self._timers.subscribe(period, 0.2):
            if not self._targets:
                continue
            records = self._table.records
            stale = [name for name in records if self._is_stale(records[name], now)]
            peer = self._rng.choice(sorted(self._targets))
            names = self._shared_with(peer, stale)
            if names:
                await self._compare(peer, names, is_selection=True)

    def _is_stale(self, record: Record, now: float) -> bool:
        lease = self._settings.lease
        age = now - record.renewed_at
        return _STALE_SHARE * lease < age < 2 * lease and not record.is_ending

    async def _compare(
        self, peer: str, names: Iterable[str], is_selection: bool
    ) -> None:
        """Send a digest to another host, and merge what it knows better."""
        started = self._timers.now()
        records = self._table.records
        versions = [to_version(records[name], started) for name in names]
        message = pb.UpstreamDigest(versions=versions, is_selection=is_selection)
        try:
            answer = await self._peers.call(peer, message, _DIGEST_TIMEOUT)
        except Failure:
            return
        # The answer was made after the digest.
        self._merge(answer.records, started)
        target = self._targets.get(peer)
        if target is not None:
            target.changes.update(answer.wanted)

    async def _on_digest(
        self, message: pb.UpstreamDigest, sender: str
    ) -> pb.UpstreamDigestAnswer:
        now = self._timers.now()
        theirs = {version.name: version for version in message.versions}
        answer = pb.UpstreamDigestAnswer()
        for name in self._shared_names(sender, theirs, message.is_selection):
            record = self._table.records.get(name)
            version = theirs.get(name)
            if record is not None and _is_better(record, version, now):
                answer.records.append(to_message(record, now, is_full=True))
            if version is not None and _is_behind(record, version):
                answer.wanted.append(name)
        return answer

    def _shared_names(
        self, sender: str, theirs: Iterable[str], is_selection: bool
    ) -> list[str]:
        """Return the upstreams to compare: the named ones, or all of both."""
        if is_selection:
            return list(theirs)
        ours = self._shared_with(sender, self._table.records)
        return sorted({*theirs, *ours})


def _is_better(record: Record, version: pb.UpstreamVersion | None, now: float) -> bool:
    """Return whether `record` would tell the host of `version` anything new."""
    if version is None:
        return True
    if record.epoch != version.epoch:
        return record.epoch > version.epoch
    if record.upstream.is_leaving and not version.is_leaving:
        return True
    if record.is_removed and not version.is_removed:
        return True
    return age_ms(record, now) + _MIN_GAIN_MS < version.age_ms


def _is_behind(record: Record | None, version: pb.UpstreamVersion) -> bool:
    """Return whether the host of `version` knows of an end or epoch that we don't."""
    if record is None or version.epoch != record.epoch:
        return record is None or version.epoch > record.epoch
    is_leaving = version.is_leaving and not record.upstream.is_leaving
    return is_leaving or (version.is_removed and not record.is_removed)
