"""State of upstreams and entry hosts that hosts exchange."""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

from pepperstep.proto import coordination_pb2 as pb

__all__ = [
    "Announcement",
    "EntryReport",
    "ServiceWork",
    "StatedLimit",
    "StreamOrigin",
    "UpstreamKey",
    "counts_to_messages",
    "messages_to_counts",
]

# Id and incarnation of an upstream.
UpstreamKey = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Announcement:
    """The latest known state of one incarnation of an upstream."""

    # Stays the same across restarts.
    id: str
    service: str
    # host:port of its HTTP interface.
    address: str
    zone: str
    # Requests that it runs concurrently.
    slots: int = 0
    # Number of the announcement within its incarnation; higher is newer.
    sequence: int = 0
    is_leaving: bool = False
    is_gone: bool = False
    # Whether the cloud may reclaim it.
    is_reclaimable: bool = False
    # Seconds until it leaves, 0 if unknown.
    leaves_in: float = 0.0
    # Seconds after its start during which it's slow.
    warmup: float = 0.0
    # Version of its software.
    software: str = ""
    # Unix time of its start in milliseconds, 0 if unknown. A later start has lost the
    # state of the earlier ones.
    incarnation: int = 0

    @property
    def key(self) -> UpstreamKey:
        """Identity of this incarnation of the upstream."""
        return self.id, self.incarnation

    @property
    def takes_work(self) -> bool:
        """Whether new requests may be sent to it."""
        return not (self.is_leaving or self.is_gone)

    @classmethod
    def from_message(cls, message: pb.AnnouncedUpstream) -> "Announcement":
        """Return the announcement in `message`."""
        return cls(
            id=message.id,
            service=message.service,
            address=message.address,
            zone=message.zone,
            slots=message.slots,
            sequence=message.sequence,
            is_leaving=message.is_leaving,
            is_gone=message.is_gone,
            is_reclaimable=message.is_reclaimable,
            leaves_in=message.leaves_in,
            warmup=message.warmup,
            software=message.software,
            incarnation=message.incarnation,
        )

    def to_message(self, age: float = 0.0) -> pb.AnnouncedUpstream:
        """Return the announcement, received `age` seconds ago, as a message."""
        return pb.AnnouncedUpstream(
            id=self.id,
            service=self.service,
            address=self.address,
            zone=self.zone,
            slots=self.slots,
            sequence=self.sequence,
            is_leaving=self.is_leaving,
            is_gone=self.is_gone,
            is_reclaimable=self.is_reclaimable,
            leaves_in=self.leaves_in,
            warmup=self.warmup,
            age=age,
            software=self.software,
            incarnation=self.incarnation,
        )


@dataclass(frozen=True, slots=True)
class StatedLimit:
    """Rate limit that an upstream states in its answers."""

    # Requests a second from all hosts together, None for no limit.
    rate: float | None
    # Monotonic time of the latest answer that stated it.
    stated_at: float

    @classmethod
    def from_message(cls, message: pb.StatedLimit, now: float) -> "StatedLimit":
        """Return the limit in a message received at the monotonic time `now`."""
        rate = message.rate if message.HasField("rate") else None
        return cls(rate, now - message.age)

    def to_message(self, now: float) -> pb.StatedLimit:
        """Return the limit as a message sent at the monotonic time `now`."""
        return pb.StatedLimit(rate=self.rate, age=now - self.stated_at)


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """The software that sent the first event of a caller's stream."""

    service: str
    # Its version, None if two versions may have begun the stream.
    software: str | None
    upstream: UpstreamKey
    # Monotonic time of the first event, and from which the origin may be forgotten.
    began_at: float
    expires_at: float = math.inf

    @classmethod
    def from_message(cls, message: pb.StreamOrigin, now: float) -> "StreamOrigin":
        """Return the origin in a message received at the monotonic time `now`."""
        return cls(
            message.service,
            message.software,
            (message.upstream, message.incarnation),
            now - message.age,
            now + message.lifetime,
        )

    def to_message(self, stream: bytes, now: float) -> pb.StreamOrigin:
        """Return the origin of a stream as a message sent at the time `now`."""
        upstream, incarnation = self.upstream
        return pb.StreamOrigin(
            stream=stream,
            service=self.service,
            software=self.software,
            upstream=upstream,
            incarnation=incarnation,
            age=now - self.began_at,
            lifetime=max(0.0, self.expires_at - now),
        )


@dataclass(frozen=True, slots=True)
class ServiceWork:
    """Work sent to a service's upstreams, averaged over the last seconds."""

    # Requests in flight.
    in_flight: float = 0.0
    # Seconds of prompt reading per second.
    reading: float = 0.0


@dataclass(frozen=True, slots=True)
class EntryReport:
    """An entry host's report of its state."""

    host: str
    # Grows with each start of the host's process.
    incarnation: int
    caller_address: str
    zone: str
    is_ready: bool
    # Cost admitted since the start, by workspace.
    admitted: dict[str, int] = field(default_factory=dict)
    # Requests that began to run, by usage window and workspace.
    windows: dict[int, dict[str, int]] = field(default_factory=dict)
    # Work sent to upstreams, by service.
    works: dict[str, ServiceWork] = field(default_factory=dict)
    # Seconds since the start.
    uptime: float = 0.0
    # Processor capacity of the host in cores, 0 if unknown.
    capacity: float = 0.0
    # Whether it can't open a connection to any upstream.
    is_cut_off: bool = False
    # Where it accepts requests from other entry hosts, "" for nowhere.
    forward_address: str = ""

    @classmethod
    def from_message(cls, message: pb.EntryState) -> "EntryReport":
        """Return the report in `message`."""
        windows = {
            each.window: messages_to_counts(each.counts) for each in message.windows
        }
        return cls(
            message.host,
            message.incarnation,
            message.caller_address,
            message.zone,
            message.is_ready,
            messages_to_counts(message.admitted),
            windows,
            {
                each.service: ServiceWork(each.in_flight, each.reading)
                for each in message.loads
            },
            message.uptime,
            message.capacity,
            message.is_cut_off,
            message.forward_address,
        )

    def changed_since(self, earlier: "EntryReport | None") -> "EntryReport":
        """Return the report without the counts that `earlier` already has."""
        if earlier is None:
            return self
        admitted = self.admitted.items() - earlier.admitted.items()
        windows = {
            number: counts
            for number, counts in self.windows.items()
            if earlier.windows.get(number) != counts
        }
        return replace(self, admitted=dict(admitted), windows=windows)

    def to_message(self, age: float = 0.0) -> pb.EntryState:
        """Return the report, made `age` seconds ago, as a message."""
        return pb.EntryState(
            age=age,
            host=self.host,
            incarnation=self.incarnation,
            caller_address=self.caller_address,
            zone=self.zone,
            is_ready=self.is_ready,
            admitted=counts_to_messages(self.admitted),
            windows=[
                pb.WindowCounts(window=window, counts=counts_to_messages(counts))
                for window, counts in self.windows.items()
            ],
            loads=[
                pb.ServiceLoad(
                    service=service, in_flight=work.in_flight, reading=work.reading
                )
                for service, work in sorted(self.works.items())
            ],
            uptime=self.uptime,
            capacity=self.capacity,
            is_cut_off=self.is_cut_off,
            forward_address=self.forward_address,
        )


def counts_to_messages(counts: Mapping[str, int]) -> list[pb.WorkspaceCount]:
    """Return counts by workspace as messages."""
    return [
        pb.WorkspaceCount(workspace=name, count=count)
        for name, count in sorted(counts.items())
    ]


def messages_to_counts(messages: Iterable[pb.WorkspaceCount]) -> dict[str, int]:
    """Return the counts by workspace in `messages`."""
    return {message.workspace: message.count for message in messages}
