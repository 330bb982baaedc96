"""Permits for requests to upstreams that state a rate limit.

The limit holds for all hosts together, and each sees only its own requests. So one
host grants permits for all, and a host that gets none leaves the upstream alone for
a while. Where the granting host doesn't answer, each host keeps to a part of its
equal share.

Hosts may disagree for a while on which one grants, as when control hosts that are cut
off from each other name different ones. So the hosts next in line are told of what was
granted, and take it off what they grant themselves.
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

# Time that the granting host has for its answer while a request waits, in seconds.
_CLAIM_SECONDS = 0.05
# Permits that may be granted at once besides one, in seconds of the limit: what idle
# moments leave is used by those that follow.
_BURST_SECONDS = 0.5
# Hosts next in line that are told of granted permits, how long these are put together,
# and the time that such a host has to take them in, in seconds.
_SUCCESSORS = 2
_TELL_PAUSE_SECONDS = 0.05
_TELL_SECONDS = 0.3
# Most that a host takes off for others' permits, in seconds of the limit: it doesn't
# grant for that long once they end.
_DEBT_SECONDS = 0.5
# Part of its equal share that a host uses where nobody grants: others may still be
# granted permits meanwhile.
_OWN_PART = 0.5
# Least rate that is granted, in requests a second: the end of a limit of 0 is seen
# only by an answer.
_LEAST_RATE = 0.2
# Bounds of the time for which an upstream is left alone without a permit, in seconds.
_MIN_WAIT_SECONDS = 0.01
_MAX_WAIT_SECONDS = 5.0
# Time after which a bucket that nobody has asked for is dropped, in seconds.
_IDLE_SECONDS = 60.0


class _Bucket:
    """A token bucket whose rate is told with each use."""

    def __init__(self, level: float, now: float):
        self._level = level
        self.used_at = now
        # Requests refused since the latest one that was granted.
        self.refused = 0

    def take(self, rate: float, capacity: float, now: float) -> float:
        """Take one token, or return the seconds until there is one."""
        self._fill(rate, capacity, now)
        if self._level < 1.0:
            self.refused += 1
            return (1.0 - self._level) / rate
        self._level -= 1.0
        self.refused = 0
        return 0.0

    def take_off(self, count: int, rate: float, capacity: float, now: float) -> None:
        """Take off tokens that were taken elsewhere."""
        self._fill(rate, capacity, now)
        self._level = max(-_DEBT_SECONDS * rate, self._level - count)

    def _fill(self, rate: float, capacity: float, now: float) -> None:
        filled = self._level + rate * (now - self.used_at)
        self._level = min(capacity, filled)
        self.used_at = now


class Permits:
    """Permits of this host, and those that it grants to others."""

    def __init__(
        self,
        catalog: UpstreamCatalog,
        backoff: Backoff,
        keepers: KeyOwners,
        network: PeerNetwork,
        host_count: Callable[[], int],
        timers: Timers,
        rng: random.Random,
    ):
        self._catalog = catalog
        self._backoff = backoff
        self._keepers = keepers
        self._host_count = host_count
        self._timers = timers
        self._rng = rng
        # What this host grants for all, and its own share where nobody grants.
        self._granted: dict[UpstreamKey, _Bucket] = {}
        self._shares: dict[UpstreamKey, _Bucket] = {}
        # Granted permits that the hosts next in line haven't been told of.
        self._untold: Counter[UpstreamKey] = Counter()
        self._has_granted = trio.Event()
        network.handle(pb.PermitClaim, self._on_claim)
        network.handle(pb.PermitsGranted, self._on_granted)

    async def take(self, upstream: UpstreamKey) -> bool:
        """Take a permit for one request, or leave the upstream alone for a while."""
        limit = self._catalog.limit_of(upstream)
        if limit is None:
            return True
        asked = self._keepers.keeper_of(upstream[0]) or ""
        wait = await self._claim(upstream, limit, asked) if asked else None
        if wait is None:
            asked = ""
            wait = self._take_share(upstream, limit)
        else:
            self._shares.pop(upstream, None)
        if wait <= 0:
            return True
        bounded = min(max(wait, _MIN_WAIT_SECONDS), _MAX_WAIT_SECONDS)
        self._backoff.hold(upstream, bounded, "no permit", asked)
        return False

    async def run(self) -> None:
        """Tell the hosts next in line of granted permits until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await self._has_granted.wait()
                await self._timers.sleep(_TELL_PAUSE_SECONDS)
                untold, self._untold = self._untold, Counter()
                self._has_granted = trio.Event()
                for upstream, count in untold.items():
                    self._tell(nursery, upstream, count)

    def forget(self, upstream: UpstreamKey) -> None:
        """Drop what is known of an upstream that is gone."""
        self._granted.pop(upstream, None)
        self._shares.pop(upstream, None)

    def drop_idle(self) -> None:
        """Drop what nobody has asked for lately."""
        oldest = self._now() - _IDLE_SECONDS
        for buckets in (self._granted, self._shares):
            idle = [key for key, each in buckets.items() if each.used_at < oldest]
            for upstream in idle:
                del buckets[upstream]

    async def _claim(
        self, upstream: UpstreamKey, limit: StatedLimit, keeper: str
    ) -> float | None:
        """Return 0 for a permit or the seconds to wait, None without an answer."""
        if keeper == self._keepers.own_name:
            return self._grant(upstream, limit)
        name, incarnation = upstream
        message = pb.PermitClaim(
            upstream=name,
            incarnation=incarnation,
            limit=limit.to_message(self._now()),
        )
        reply = await self._keepers.ask(keeper, message, _CLAIM_SECONDS)
        if reply is None:
            return None
        known = StatedLimit.from_message(reply.limit, self._now())
        self._catalog.record_limit(upstream, known, keeper)
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
            rate = max(limit.rate, _LEAST_RATE)
            bucket = self._bucket(upstream)
            bucket.take_off(message.count, rate, _capacity_of(rate), self._now())
        return pb.PermitsGrantedReply()

    def _tell(self, nursery: trio.Nursery, upstream: UpstreamKey, count: int) -> None:
        limit = self._catalog.limit_of(upstream)
        if limit is None:
            return
        name, incarnation = upstream
        ranked = self._keepers.ranked(name)
        others = [each for each in ranked if each != self._keepers.own_name]
        message = pb.PermitsGranted(
            upstream=name,
            incarnation=incarnation,
            count=count,
            limit=limit.to_message(self._now()),
        )
        for other in others[:_SUCCESSORS]:
            nursery.start_soon(self._keepers.ask, other, message, _TELL_SECONDS)

    def _now(self) -> float:
        return self._timers.now()

    def _bucket(self, upstream: UpstreamKey) -> _Bucket:
        """Return what is granted for all, empty at first: another may have granted."""
        bucket = self._granted.get(upstream)
        if bucket is None:
            bucket = self._granted[upstream] = _Bucket(0.0, self._now())
        return bucket

    def _grant(self, upstream: UpstreamKey, limit: StatedLimit) -> float:
        """Grant a permit and return 0, or the seconds until one may be there.

        Those who wait come back at other times, the more of them the later: all of
        many hosts would ask at once otherwise, for one permit.
        """
        bucket = self._bucket(upstream)
        rate = max(limit.rate, _LEAST_RATE)
        wait = bucket.take(rate, _capacity_of(rate), self._now())
        if not wait:
            self._untold[upstream] += 1
            self._has_granted.set()
            return 0.0
        return wait + self._rng.random() * (bucket.refused - 1) / rate

    def _take_share(self, upstream: UpstreamKey, limit: StatedLimit) -> float:
        """Take a permit of this host's own share, as `_grant` does.

        Hosts begin with different parts of a permit, as they all come here at once
        when the granting host is lost.
        """
        now = self._now()
        bucket = self._shares.get(upstream)
        if bucket is None:
            bucket = self._shares[upstream] = _Bucket(self._rng.random(), now)
        share = _OWN_PART * max(limit.rate, _LEAST_RATE) / max(1, self._host_count())
        return bucket.take(share, 1.0, now)


def _capacity_of(rate: float) -> float:
    """Return the most permits that may be granted at once."""
    return 1.0 + _BURST_SECONDS * rate
