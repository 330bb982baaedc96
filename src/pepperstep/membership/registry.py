"""Registry of upstreams, which announce themselves and renew their leases."""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, replace

import trio
from absl import logging

from pepperstep.entities import Host, Load, ModelKey, Upstream
from pepperstep.errors import Code, Failure
from pepperstep.membership.clock import EchoClock
from pepperstep.membership.records import Record, merge_records, stub
from pepperstep.membership.settings import RegistrySettings
from pepperstep.membership.spread import UpstreamSpread
from pepperstep.ports import PeerNetwork, Timers
from pepperstep.proto import membership_pb2 as pb

__all__ = ["Lease", "UpstreamChange", "UpstreamRegistry"]


@dataclass(frozen=True, slots=True)
class Lease:
    """Answer to an announcement; the upstream must renew within `seconds`."""

    seconds: float
    heartbeat_period: float
    # Base URLs of the hosts that route to it, to announce itself at.
    entry_hosts: tuple[str, ...]
    # False for a heartbeat that came late or with a strange token.
    is_renewed: bool
    # To send back with the next heartbeat, with the seconds it was held.
    token: str


@dataclass(frozen=True, slots=True)
class UpstreamChange:
    """A change of more than load; None before the lease, and after its end."""

    before: Upstream | None
    after: Upstream | None


class UpstreamRegistry:
    """Upstreams that this host knows, with leases by its monotonic clock."""

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
        # When the newest message on each upstream came.
        self._touched_at: dict[str, float] = {}
        # What listeners were last told of each upstream whose lease holds.
        self._told: dict[str, Upstream] = {}
        # Cloud hosts that are leaving, by the time of their notice.
        self._leaving_hosts: dict[str, float] = {}
        self._listeners: list[Callable[[UpstreamChange], None]] = []
        self._spread = UpstreamSpread(
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
        """Return the registry of `host`; `hosts` lists those that serve now."""
        return cls(host, hosts, peers, timers, rng, settings or RegistrySettings())

    @property
    def records(self) -> dict[str, Record]:
        """All records by name, also those whose lease has ended."""
        return self._records

    def candidates(
        self, model_key: ModelKey | None = None, service: str = ""
    ) -> list[Upstream]:
        """Return the upstreams that may be chosen now.

        With `model_key` only those that have it loaded, with `service` only
        those of that service.
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
        """Return the upstreams whose lease holds, leaving ones included."""
        return [r.upstream for r in self._records.values() if self._is_live(r)]

    def get(self, name: str) -> Upstream | None:
        """Return what was last known of an upstream, None if it was removed."""
        record = self._records.get(name)
        return None if record is None or record.is_removed else record.upstream

    def is_live(self, name: str) -> bool:
        """Whether the upstream's lease holds."""
        record = self._records.get(name)
        return record is not None and self._is_live(record)

    def subscribe(self, listener: Callable[[UpstreamChange], None]) -> None:
        """Call `listener` after each change of more than load."""
        self._listeners.append(listener)

    def announce(
        self, upstream: Upstream, sequence: int, token: str = "", held: float = 0.0
    ) -> Lease:
        """Take an announcement or heartbeat; `sequence` grows with each.

        `token` is the last lease's, held for `held` seconds. One that this host
        didn't give renews nothing, and the upstream should announce again at
        once. Without any, a late heartbeat counts as one of now. Raise `Failure`
        with `FENCED` for an earlier epoch than the newest, or one that was removed.
        """
        if sequence < 0:
            raise Failure(Code.INVALID_REQUEST, "The sequence is below 0.")
        # 0 stands for no heartbeat at all.
        sequence += 1
        known = self._records.get(upstream.name)
        _check_epoch(known, upstream)
        renewed_at = self._heartbeat_time(token, held)
        if known is not None and (upstream.epoch, sequence) <= known.number:
            # A late heartbeat says nothing about now.
            renewed_at = -math.inf
        record = Record(upstream, sequence, renewed_at=renewed_at)
        self._spread.add_home(upstream.name, is_changed=self.merge(record))
        return self._lease(upstream.name, is_renewed=renewed_at > -math.inf)

    def mark_leaving(self, name: str, epoch: int) -> None:
        """Give this start of an upstream nothing new any more, anywhere."""
        upstream = replace(stub(name, epoch), is_leaving=True)
        if self.merge(Record(upstream, 0)):
            self._spread.push(name)

    def mark_host_leaving(self, host_id: str) -> None:
        """Mark all upstreams on a cloud host, also those that still come up."""
        self._leaving_hosts[host_id] = self._timers.now()
        for record in list(self._records.values()):
            if record.upstream.host == host_id:
                self.mark_leaving(record.upstream.name, record.epoch)

    def remove(self, name: str, epoch: int) -> None:
        """Take out this start of an upstream; it needs a new epoch to return."""
        if self.merge(Record(stub(name, epoch), 0, is_removed=True)):
            self._spread.push(name)

    def merge(self, news: Record) -> bool:
        """Take in a record; return whether more than load has changed."""
        name = news.upstream.name
        known = self._records.get(name)
        merged = merge_records(known, news)
        self._records[name] = merged
        self._touched_at[name] = self._timers.now()
        is_changed = known is None or known.content != merged.content
        self._tell(merged)
        if merged.upstream.host in self._leaving_hosts and not merged.is_ending:
            self.mark_leaving(name, merged.epoch)
        return is_changed

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Spread and expire leases until cancelled."""
        self._spread.register()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._spread.run)
            task_status.started()
            async for _ in self._timers.subscribe(self._settings.push_period):
                self._expire()

    def _lease(self, name: str, is_renewed: bool) -> Lease:
        reading = self._clock.read()
        return Lease(
            seconds=self._settings.lease,
            heartbeat_period=self._settings.heartbeat_period,
            entry_hosts=self._spread.list_routers(name),
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
        for name in list(self._told):
            record = self._records[name]
            if not self._is_live(record):
                logging.info("registry: Lease of %s has ended.", name)
                self._tell(record)
        oldest = self._timers.now() - self._settings.forget_after
        for name, touched_at in list(self._touched_at.items()):
            if touched_at < oldest:
                del self._records[name], self._touched_at[name]
        for host_id, noticed_at in list(self._leaving_hosts.items()):
            if noticed_at < oldest:
                del self._leaving_hosts[host_id]

    def _tell(self, record: Record) -> None:
        """Tell listeners what has changed but for load."""
        name = record.upstream.name
        before = self._told.pop(name, None)
        after = record.upstream if self._is_live(record) else None
        if after is not None:
            self._told[name] = after
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
