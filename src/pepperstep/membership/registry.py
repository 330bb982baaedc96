"""Registry of upstreams that announce themselves and renew their leases."""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, replace

import trio
from absl import logging

from pepperstep.entities import Host, Load, ModelKey, Upstream
from pepperstep.errors import Code, Failure
from pepperstep.membership.clock import EchoClock
from pepperstep.membership.records import Record, merge_records, placeholder
from pepperstep.membership.replicator import UpstreamReplicator
from pepperstep.membership.settings import RegistrySettings
from pepperstep.ports import PeerNetwork, Timers
from pepperstep.proto import membership_pb2 as pb

__all__ = ["Lease", "UpstreamChange", "UpstreamRegistry"]


@dataclass(frozen=True, slots=True)
class Lease:
    """Answer to an announcement; the upstream must renew it within `seconds`."""

    seconds: float
    heartbeat_period: float
    # Base URLs of the entry hosts that route to the upstream and accept its
    # heartbeats.
    entry_hosts: tuple[str, ...]
    # False for a late heartbeat, or one with a token that this host didn't issue.
    is_renewed: bool
    # The upstream returns the token with its next heartbeat, together with the
    # seconds since it received the token.
    token: str


@dataclass(frozen=True, slots=True)
class UpstreamChange:
    """A change of an upstream beyond its load.

    `before` is None if the upstream had no lease, `after` if its lease ended.
    """

    before: Upstream | None
    after: Upstream | None


class UpstreamRegistry:
    """Upstreams known to this host, with leases timed by its monotonic clock."""

    def __init__(
        self,
        host: Host,
        hosts: Callable[[], list[Host]],
        peers: PeerNetwork,
        timers: Timers,
        rng: random.Random,
        settings: RegistrySettings,
    ):
        self._timers = timers
        self._settings = settings
        self._clock = EchoClock(timers, rng)
        self._records: dict[str, Record] = {}
        # Arrival time of the newest message about each upstream.
        self._last_message_at: dict[str, float] = {}
        # Last state reported to listeners of each upstream with a valid lease.
        self._published: dict[str, Upstream] = {}
        # Arrival times of the notices of leaving cloud hosts, by host id.
        self._leaving_hosts: dict[str, float] = {}
        self._listeners: list[Callable[[UpstreamChange], None]] = []
        self._replicator = UpstreamReplicator(
            host, hosts, self, self._clock, peers, timers, rng, settings
        )

    @classmethod
    def from_config(
        cls,
        host: Host,
        hosts: Callable[[], list[Host]],
        peers: PeerNetwork,
        timers: Timers,
        rng: random.Random,
        settings: RegistrySettings | None = None,
    ) -> "UpstreamRegistry":
        """Return the registry of `host`; `hosts` returns the serving hosts."""
        return cls(host, hosts, peers, timers, rng, settings or RegistrySettings())

    @property
    def records(self) -> dict[str, Record]:
        """All records by name, including those whose lease has expired."""
        return self._records

    def candidates(
        self, model_key: ModelKey | None = None, service: str = ""
    ) -> list[Upstream]:
        """Return the upstreams that may get new work.

        `model_key` selects the upstreams that have this model loaded, `service`
        those of this service.
        """
        oldest = self._timers.now() - self._settings.lease
        found: list[Upstream] = []
        for record in self._records.values():
            upstream = record.upstream
            if record.renewed_at <= oldest or record.is_ending:
                continue
            if model_key is not None and model_key not in upstream.models:
                continue
            if service and upstream.service != service:
                continue
            found.append(upstream)
        return found

    def upstreams(self) -> list[Upstream]:
        """Return the upstreams with a valid lease, including leaving ones."""
        return [r.upstream for r in self._records.values() if self._is_live(r)]

    def get(self, name: str) -> Upstream | None:
        """Return the last known state of an upstream.

        Return None if the upstream is unknown or was removed.
        """
        record = self._records.get(name)
        return None if record is None or record.is_removed else record.upstream

    def is_live(self, name: str) -> bool:
        """Whether the upstream's lease is valid."""
        record = self._records.get(name)
        return record is not None and self._is_live(record)

    def subscribe(self, listener: Callable[[UpstreamChange], None]) -> None:
        """Call `listener` after each change of an upstream beyond its load."""
        self._listeners.append(listener)

    def announce(
        self, upstream: Upstream, sequence: int, token: str = "", held: float = 0.0
    ) -> Lease:
        """Apply an announcement or heartbeat; `sequence` grows with each one.

        `token` is the token of the last lease, `held` the seconds since the
        upstream received it. A token that this host didn't issue renews nothing,
        and the upstream should announce itself again at once. Without a token, a
        delayed heartbeat is taken as sent now. Raise `Failure` with `FENCED` if
        the epoch is earlier than the newest one or was removed.
        """
        if sequence < 0:
            raise Failure(Code.INVALID_REQUEST, "The sequence is below 0.")
        # Sequence number 0 means that the record comes from no heartbeat.
        sequence += 1
        known = self._records.get(upstream.name)
        _check_epoch(known, upstream)
        renewed_at = self._heartbeat_time(token, held)
        if known is not None and (upstream.epoch, sequence) <= known.number:
            # An out-of-order heartbeat is no evidence that the upstream is alive now.
            renewed_at = -math.inf
        record = Record(upstream, sequence, renewed_at=renewed_at)
        self._replicator.record_heartbeat(upstream.name, is_changed=self.merge(record))
        return self._make_lease(upstream.name, is_renewed=renewed_at > -math.inf)

    def mark_leaving(self, name: str, epoch: int) -> None:
        """Exclude an upstream from new work on all hosts, in this epoch."""
        upstream = replace(placeholder(name, epoch), is_leaving=True)
        if self.merge(Record(upstream, 0)):
            self._replicator.push(name)

    def mark_host_leaving(self, host_id: str) -> None:
        """Mark all upstreams on a cloud host as leaving, including later ones."""
        self._leaving_hosts[host_id] = self._timers.now()
        for record in list(self._records.values()):
            if record.upstream.host == host_id:
                self.mark_leaving(record.upstream.name, record.epoch)

    def remove(self, name: str, epoch: int) -> None:
        """Remove an upstream in this epoch; it needs a new epoch to return."""
        if self.merge(Record(placeholder(name, epoch), 0, is_removed=True)):
            self._replicator.push(name)

    def merge(self, update: Record) -> bool:
        """Merge a record; return whether anything beyond load has changed."""
        name = update.upstream.name
        known = self._records.get(name)
        merged = merge_records(known, update)
        self._records[name] = merged
        self._last_message_at[name] = self._timers.now()
        is_changed = known is None or known.content != merged.content
        self._publish(merged)
        if merged.upstream.host in self._leaving_hosts and not merged.is_ending:
            self.mark_leaving(name, merged.epoch)
        return is_changed

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Replicate records and expire leases until cancelled."""
        self._replicator.register()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._replicator.run)
            task_status.started()
            async for _ in self._timers.subscribe(self._settings.push_period):
                self._expire()

    def _make_lease(self, name: str, is_renewed: bool) -> Lease:
        reading = self._clock.read()
        return Lease(
            seconds=self._settings.lease,
            heartbeat_period=self._settings.heartbeat_period,
            entry_hosts=self._replicator.list_router_urls(name),
            is_renewed=is_renewed,
            token=f"{reading.clock}.{reading.time_ms}",
        )

    def _heartbeat_time(self, token: str, held: float) -> float:
        if not token:
            return self._timers.now()
        clock, _, time_ms = token.partition(".")
        if not (clock.isdecimal() and time_ms.isdecimal()):
            return -math.inf
        reading = pb.ClockReading(clock=int(clock) % 2**32, time_ms=int(time_ms))
        sent_at = self._clock.sent_at(reading, int(max(0.0, held) * 1000))
        return -math.inf if sent_at is None else sent_at

    def _is_live(self, record: Record) -> bool:
        age = self._timers.now() - record.renewed_at
        return age < self._settings.lease and not record.is_removed

    def _expire(self) -> None:
        for name in list(self._published):
            record = self._records[name]
            if not self._is_live(record):
                logging.info("registry: Lease of %s has expired.", name)
                self._publish(record)
        oldest = self._timers.now() - self._settings.forget_after
        for name, last_message_at in list(self._last_message_at.items()):
            if last_message_at < oldest:
                del self._records[name], self._last_message_at[name]
        for host_id, noticed_at in list(self._leaving_hosts.items()):
            if noticed_at < oldest:
                del self._leaving_hosts[host_id]

    def _publish(self, record: Record) -> None:
        """Report a change beyond load to the listeners."""
        name = record.upstream.name
        before = self._published.pop(name, None)
        after = record.upstream if self._is_live(record) else None
        if after is not None:
            self._published[name] = after
        if _without_load(before) == _without_load(after):
            return
        for listener in self._listeners:
            listener(UpstreamChange(before, after))


def _check_epoch(known: Record | None, upstream: Upstream) -> None:
    if known is None or known.epoch < upstream.epoch:
        return
    if known.epoch > upstream.epoch:
        raise Failure(Code.FENCED, f"{upstream.name} has a later epoch.")
    if known.is_removed:
        raise Failure(Code.FENCED, f"{upstream.name} was removed.")


def _without_load(upstream: Upstream | None) -> Upstream | None:
    return None if upstream is None else replace(upstream, load=Load())
