"""Origins of resumable streams: the software version that began each of them.

What two versions of a service's software write doesn't fit together, so a stream may
only go on at the version that sent its first event. Its caller may resume it at any
entry host, right after the host that served it has failed. So that host sends the
origin to two other hosts, the stream's owners, with the first event. A host that is
asked to resume a stream and doesn't know its origin asks the owners.

An origin never changes, so an answer is valid however old it is and whichever host
gives it. A host that can't find an origin doesn't resume the stream.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import replace

import trio
import xxhash
from absl import logging

from pepperstep.coordination import (
    Announcement,
    StreamOrigin,
    UpstreamCatalog,
    UpstreamKey,
)
from pepperstep.observability.decisions import StreamOriginSought
from pepperstep.ports import PeerNetwork, Timers
from pepperstep.proto import coordination_pb2 as pb
from pepperstep.relay.keepers import KeyOwners
from pepperstep.relay.relayed_request import RelayedRequest

__all__ = ["StreamOrigins"]

# Owners that receive an origin. With this host, two of three may fail.
_COPIES = 2
# Hosts in the order of owners that are considered. Some may be down, and hosts of
# earlier releases keep no origins.
_MAX_OWNERS = 6
# Hosts that are asked first; if none of them knows an origin, all are asked.
_FIRST_ASKED = 3
# Timeout of a report that no request waits for, and of a query.
_REPORT_TIMEOUT_SECONDS = 0.3
_QUERY_TIMEOUT_SECONDS = 0.1
# An origin is kept until its caller stops waiting, and for this much longer.
_MARGIN_SECONDS = 10.0
# Longest time for which a stream's origin is kept.
_MAX_LIFETIME_SECONDS = 600.0
# Origins that are kept; one takes about 500 bytes.
_MAX_ORIGINS = 20_000
# Bound of the difference between an upstream's and this host's clock.
_CLOCK_TOLERANCE_SECONDS = 1.0


class StreamOrigins:
    """The origins that this host knows, and those that it asks owners for.

    `may_have_restarted` returns whether an upstream may run other software than
    announced. `true_time` returns the Unix time on which the hosts agree.
    """

    def __init__(
        self,
        owners: KeyOwners,
        network: PeerNetwork,
        catalog: UpstreamCatalog,
        timers: Timers,
        true_time: Callable[[], float],
        may_have_restarted: Callable[[UpstreamKey], bool] = lambda upstream: False,
    ):
        self._owners = owners
        self._catalog = catalog
        self._timers = timers
        self._true_time = true_time
        self._may_have_restarted = may_have_restarted
        self._origins: OrderedDict[bytes, StreamOrigin] = OrderedDict()
        # Monotonic time of the latest end of an upstream, by service and version.
        self._ended_at: dict[tuple[str, str], float] = {}
        self._nursery: trio.Nursery | None = None
        catalog.subscribe(self._observe_change)
        catalog.subscribe_restarts(self._record_end)
        network.handle(pb.StreamOrigin, self._on_origin)
        network.handle(pb.StreamOriginQuery, self._on_query)

    @property
    def count(self) -> int:
        """Number of origins that this host keeps."""
        return len(self._origins)

    async def run(self) -> None:
        """Send origins to owners until cancelled."""
        async with trio.open_nursery() as self._nursery:
            await trio.sleep_forever()

    def record_first_event(self, request: RelayedRequest) -> None:
        """Record where a request's stream began, or goes on if it is a resumption."""
        upstream = request.choice.upstream
        now = self._timers.now()
        if request.origin is None:
            is_certain = not self._may_have_restarted(upstream.key)
            software = upstream.software if is_certain else None
            request.origin = StreamOrigin(upstream.service, software, upstream.key, now)
        wait = min(max(0.0, request.deadline - now), _MAX_LIFETIME_SECONDS)
        expires_at = now + wait + _MARGIN_SECONDS
        stream = _digest(request.workspace_name, request.facts.attempt_id)
        self._keep(stream, replace(request.origin, expires_at=expires_at))
        if request.origin.software is not None and self._nursery is not None:
            self._nursery.start_soon(self._report, stream)

    async def find(self, request: RelayedRequest) -> StreamOrigin | None:
        """Return the origin of the stream that a request resumes, None if unknown."""
        asked_at = self._timers.now()
        stream = _digest(request.workspace_name, request.facts.resumes)
        origin, asked = self._origins.get(stream), 0
        if origin is None:
            origin, asked = await self._ask(stream)
        is_certain = origin is not None and self.is_certain(origin)
        event = StreamOriginSought(
            request=request.name,
            resumes=request.facts.resumes.decode("latin-1")[:64],
            is_known=origin is not None,
            is_certain=is_certain,
            software=(origin.software or "") if origin else "",
            upstream=origin.upstream[0] if origin else "",
            asked=asked,
            after_ms=round(1000 * (self._timers.now() - asked_at)),
        )
        logging.info("origins: %s", event)
        return origin if is_certain else None

    def is_certain(self, origin: StreamOrigin) -> bool:
        """Whether it's known which software version began a stream.

        The upstream may have restarted with another version before the first event,
        while the host that served the stream hadn't heard of it.
        """
        if origin.software is None:
            return False
        upstream, incarnation = origin.upstream
        current = self._catalog.get(upstream)
        if current is None or current.software == origin.software:
            return True
        if current.incarnation <= incarnation:
            return current.incarnation < incarnation
        age = self._timers.now() - origin.began_at
        began_at = self._true_time() - age
        return current.incarnation / 1000 > began_at + _CLOCK_TOLERANCE_SECONDS

    def only_version(self, service: str, seconds: float) -> StreamOrigin | None:
        """Return the origin of each stream that a service began in the last seconds.

        Return None if upstreams of several versions have served it since. Suits callers
        that don't name the attempt which began a stream.
        """
        now = self._timers.now()
        serving = [
            each
            for each in self._catalog.all()
            if each.service == service and not each.is_gone
        ]
        versions = {each.software for each in serving}
        versions.update(
            version
            for (name, version), ended_at in self._ended_at.items()
            if name == service and ended_at > now - seconds
        )
        if not serving or len(versions) != 1:
            return None
        return StreamOrigin(service, serving[0].software, serving[0].key, now)

    def forget_old(self) -> None:
        """Forget the origins whose callers have stopped waiting."""
        now = self._timers.now()
        expired = [key for key, each in self._origins.items() if each.expires_at < now]
        for stream in expired:
            del self._origins[stream]
        for version, ended_at in list(self._ended_at.items()):
            if ended_at < now - _MAX_LIFETIME_SECONDS:
                del self._ended_at[version]

    def _observe_change(self, upstream: Announcement) -> None:
        if upstream.is_gone:
            self._record_end(upstream)

    def _record_end(self, upstream: Announcement) -> None:
        self._ended_at[upstream.service, upstream.software] = self._timers.now()

    def _keep(self, stream: bytes, origin: StreamOrigin) -> None:
        """Keep an origin; two different ones of a stream make both uncertain."""
        known = self._origins.get(stream)
        if known is not None and _software_of(known) != _software_of(origin):
            origin = replace(known, software=None)
        self._origins[stream] = origin
        while len(self._origins) > _MAX_ORIGINS:
            self._origins.popitem(last=False)

    async def _report(self, stream: bytes) -> None:
        """Send an origin to its first owners that take it."""
        owners = iter(self._ranked(stream))

        async def place_copy() -> None:
            for owner in owners:
                origin = self._origins.get(stream)
                if origin is None or origin.software is None:
                    return
                message = origin.to_message(stream, self._timers.now())
                reply = await self._owners.ask(owner, message, _REPORT_TIMEOUT_SECONDS)
                if reply is not None:
                    return

        async with trio.open_nursery() as nursery:
            for _ in range(_COPIES):
                nursery.start_soon(place_copy)

    async def _ask(self, stream: bytes) -> tuple[StreamOrigin | None, int]:
        """Return the origin that other hosts know, and how many were asked."""
        ranked = self._ranked(stream)
        for asked in (ranked[:_FIRST_ASKED], ranked):
            found = await self._ask_all(stream, asked)
            if found is not None:
                self._keep(stream, found)
                return self._origins[stream], len(asked)
        return None, len(ranked)

    async def _ask_all(self, stream: bytes, hosts: list[str]) -> StreamOrigin | None:
        """Return the first origin that one of some hosts answers with."""
        found: list[StreamOrigin] = []

        async def ask(host: str) -> None:
            query = pb.StreamOriginQuery(stream=stream)
            answer = await self._owners.ask(host, query, _QUERY_TIMEOUT_SECONDS)
            if answer is not None and answer.HasField("origin"):
                now = self._timers.now()
                found.append(StreamOrigin.from_message(answer.origin, now))
                nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            for host in hosts:
                nursery.start_soon(ask, host)
        return found[0] if found else None

    def _ranked(self, stream: bytes) -> list[str]:
        """Return the other hosts that may own a stream, in their order."""
        ranked = self._owners.ranked(stream.hex())
        others = [each for each in ranked if each != self._owners.own_name]
        return others[:_MAX_OWNERS]

    async def _on_origin(
        self, message: pb.StreamOrigin, sender: str
    ) -> pb.StreamOriginReply:
        origin = StreamOrigin.from_message(message, self._timers.now())
        self._keep(message.stream, origin)
        return pb.StreamOriginReply()

    async def _on_query(
        self, message: pb.StreamOriginQuery, sender: str
    ) -> pb.StreamOriginAnswer:
        origin = self._origins.get(message.stream)
        if origin is None or origin.software is None:
            return pb.StreamOriginAnswer()
        found = origin.to_message(message.stream, self._timers.now())
        return pb.StreamOriginAnswer(origin=found)


def _digest(workspace: str, attempt: bytes) -> bytes:
    """Return the key of a stream, bounded in size whatever the caller's id is."""
    name = workspace.encode()
    return xxhash.xxh3_128_digest(b"%d:%s%s" % (len(name), name, attempt))


def _software_of(origin: StreamOrigin) -> tuple[str, str | None]:
    return origin.service, origin.software
