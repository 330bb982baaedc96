"""Permits for requests to upstreams that state a rate limit.

The limit applies to all hosts together, but each host sees only its own requests.
Therefore one host, the upstream's owner, grants permits to all. A host that is refused
a permit sends the upstream nothing for a while. If the owner doesn't answer, each host
uses a fraction of its equal share of the limit.

Hosts may temporarily disagree on the owner, for example while partitioned control hosts
name different entry hosts. The owner therefore reports granted permits to its
successors, which subtract them from what they can grant.
"""

import random
from collections import Counter
from collections.abc import Callable

import trio

from pepperstep.coordination import StatedLimit, UpstreamCatalog, UpstreamKey
from pepperstep.ports import PeerNetwork, Timers
from pepperstep.proto import coordination_pb2 as pb
from pepperstep.relay.backoff import Backoff
from pepperstep.relay.keepers import KeyOwners

__all__ = ["Permits"]

# Timeout of a claim, during which a request waits.
_CLAIM_TIMEOUT_SECONDS = 0.05
# Burst of a bucket in seconds of the limit, in addition to one permit: permits unused
# in idle moments can be granted later.
_BURST_SECONDS = 0.5
# Successors of the owner that receive reports of granted permits, the time over which
# grants are batched into one report, and the timeout of a report.
_SUCCESSOR_COUNT = 2
_REPORT_BATCH_SECONDS = 0.05
_REPORT_TIMEOUT_SECONDS = 0.3
# Maximum debt of a bucket through reported grants, in seconds of the limit: a successor
# grants nothing for this long after the reports end.
_MAX_DEBT_SECONDS = 0.5
# Fraction of its equal share that a host uses while the owner doesn't answer, as other
# hosts may still get permits from the owner.
_FALLBACK_FRACTION = 0.5
# Lowest rate at which permits are granted: only an answer can show that a limit of 0
# has ended.
_MIN_RATE_PER_SECOND = 0.2
# Bounds of the hold on an upstream after a refused permit.
_MIN_WAIT_SECONDS = 0.01
_MAX_WAIT_SECONDS = 5.0
# Unused buckets are dropped after this time.
_IDLE_TIMEOUT_SECONDS = 60.0


class _Bucket:
    """A token bucket whose rate is given with each use."""

    def __init__(self, level: float, now: float):
        self._level = level
        self.used_at = now
        # Requests refused since the latest grant.
        self.refused_count = 0

    def take(self, rate: float, capacity: float, now: float) -> float:
        """Take one token and return 0, or the seconds until one is available."""
        self._fill(rate, capacity, now)
        if self._level < 1.0:
            self.refused_count += 1
            return (1.0 - self._level) / rate
        self._level -= 1.0
        self.refused_count = 0
        return 0.0

    def charge(self, count: int, rate: float, capacity: float, now: float) -> None:
        """Subtract tokens that another host has granted, down to the maximum debt."""
        self._fill(rate, capacity, now)
        self._level = max(-_MAX_DEBT_SECONDS * rate, self._level - count)

    def _fill(self, rate: float, capacity: float, now: float) -> None:
        filled = self._level + rate * (now - self.used_at)
        self._level = min(capacity, filled)
        self.used_at = now


class Permits:
    """Acquires permits for this host and grants permits to other hosts."""

    def __init__(
        self,
        catalog: UpstreamCatalog,
        backoff: Backoff,
        owners: KeyOwners,
        network: PeerNetwork,
        host_count: Callable[[], int],
        timers: Timers,
        rng: random.Random,
    ):
        self._catalog = catalog
        self._backoff = backoff
        self._owners = owners
        self._host_count = host_count
        self._timers = timers
        self._rng = rng
        # Buckets from which this host grants as the owner, and those of its own share
        # for upstreams whose owner doesn't answer.
        self._buckets: dict[UpstreamKey, _Bucket] = {}
        self._share_buckets: dict[UpstreamKey, _Bucket] = {}
        # Granted permits that are still to be reported to the successors.
        self._unreported: Counter[UpstreamKey] = Counter()
        self._has_unreported = trio.Event()
        network.handle(pb.PermitClaim, self._on_claim)
        network.handle(pb.PermitsGranted, self._on_granted)

    async def acquire(self, upstream: UpstreamKey) -> bool:
        """Acquire a permit for one request, or put the upstream on hold.

        Return whether the request may be sent.
        """
        limit = self._catalog.limit_of(upstream)
        if limit is None:
            return True
        asked = self._owners.owner_of(upstream[0]) or ""
        wait = await self._claim(upstream, limit, asked) if asked else None
        if wait is None:
            asked = ""
            wait = self._take_from_share(upstream, limit)
        else:
            self._share_buckets.pop(upstream, None)
        if wait <= 0:
            return True
        bounded = min(max(wait, _MIN_WAIT_SECONDS), _MAX_WAIT_SECONDS)
        self._backoff.hold(upstream, bounded, "no permit", asked)
        return False

    async def run(self) -> None:
        """Report granted permits to the successors until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await self._has_unreported.wait()
                await self._timers.sleep(_REPORT_BATCH_SECONDS)
                unreported, self._unreported = self._unreported, Counter()
                self._has_unreported = trio.Event()
                for upstream, count in unreported.items():
                    self._report(nursery, upstream, count)

    def forget(self, upstream: UpstreamKey) -> None:
        """Drop the buckets of an upstream that is gone."""
        self._buckets.pop(upstream, None)
        self._share_buckets.pop(upstream, None)

    def drop_idle(self) -> None:
        """Drop the buckets that haven't been used recently."""
        oldest = self._now() - _IDLE_TIMEOUT_SECONDS
        for buckets in (self._buckets, self._share_buckets):
            idle = [key for key, each in buckets.items() if each.used_at < oldest]
            for upstream in idle:
                del buckets[upstream]

    async def _claim(
        self, upstream: UpstreamKey, limit: StatedLimit, owner: str
    ) -> float | None:
        """Return 0 for a permit, or the seconds to wait; None without an answer."""
        if owner == self._owners.own_name:
            return self._grant(upstream, limit)
        name, incarnation = upstream
        message = pb.PermitClaim(
            upstream=name,
            incarnation=incarnation,
            limit=limit.to_message(self._now()),
        )
        reply = await self._owners.ask(owner, message, _CLAIM_TIMEOUT_SECONDS)
        if reply is None:
            return None
        known = StatedLimit.from_message(reply.limit, self._now())
        self._catalog.record_limit(upstream, known, owner)
        return reply.wait

    async def _on_claim(self, message: pb.PermitClaim, sender: str) -> pb.PermitReply:
        upstream = (message.upstream, message.incarnation)
        limit = StatedLimit.from_message(message.limit, self._now())
        self._catalog.record_limit(upstream, limit, sender)
        latest = self._catalog.latest_limit(upstream) or limit
        wait = 0.0 if latest.rate is None else self._grant(upstream, latest)
        return pb.PermitReply(wait=wait, limit=latest.to_message(self._now()))

    async def _on_granted(
        self, message: pb.PermitsGranted, sender: str
    ) -> pb.PermitsGrantedReply:
        upstream = (message.upstream, message.incarnation)
        limit = StatedLimit.from_message(message.limit, self._now())
        self._catalog.record_limit(upstream, limit, sender)
        if limit.rate is not None:
            rate = max(limit.rate, _MIN_RATE_PER_SECOND)
            bucket = self._bucket_of(upstream)
            bucket.charge(message.count, rate, _capacity_of(rate), self._now())
        return pb.PermitsGrantedReply()

    def _report(self, nursery: trio.Nursery, upstream: UpstreamKey, count: int) -> None:
        limit = self._catalog.limit_of(upstream)
        if limit is None:
            return
        name, incarnation = upstream
        ranked = self._owners.ranked(name)
        others = [each for each in ranked if each != self._owners.own_name]
        message = pb.PermitsGranted(
            upstream=name,
            incarnation=incarnation,
            count=count,
            limit=limit.to_message(self._now()),
        )
        for other in others[:_SUCCESSOR_COUNT]:
            nursery.start_soon(
                self._owners.ask, other, message, _REPORT_TIMEOUT_SECONDS
            )

    def _now(self) -> float:
        return self._timers.now()

    def _bucket_of(self, upstream: UpstreamKey) -> _Bucket:
        """Return the owner's bucket, empty at first: another host may have granted."""
        bucket = self._buckets.get(upstream)
        if bucket is None:
            bucket = self._buckets[upstream] = _Bucket(0.0, self._now())
        return bucket

    def _grant(self, upstream: UpstreamKey, limit: StatedLimit) -> float:
        """Grant a permit and return 0, or the seconds after which to ask again.

        The wait has a random addition that grows with the number of refused requests.
        Otherwise many hosts would ask at the same moment for a single permit.
        """
        bucket = self._bucket_of(upstream)
        rate = max(limit.rate, _MIN_RATE_PER_SECOND)
        wait = bucket.take(rate, _capacity_of(rate), self._now())
        if not wait:
            self._unreported[upstream] += 1
            self._has_unreported.set()
            return 0.0
        return wait + self._rng.random() * (bucket.refused_count - 1) / rate

    def _take_from_share(self, upstream: UpstreamKey, limit: StatedLimit) -> float:
        """Take a permit from this host's share and return 0, or the seconds to wait.

        Buckets start with a random level, because all hosts fall back to their shares
        at the same moment when the owner is lost.
        """
        now = self._now()
        bucket = self._share_buckets.get(upstream)
        if bucket is None:
            bucket = self._share_buckets[upstream] = _Bucket(self._rng.random(), now)
        share = (
            _FALLBACK_FRACTION
            * max(limit.rate, _MIN_RATE_PER_SECOND)
            / max(1, self._host_count())
        )
        return bucket.take(share, 1.0, now)


def _capacity_of(rate: float) -> float:
    """Return the maximum number of permits that can be granted at once."""
    return 1.0 + _BURST_SECONDS * rate
