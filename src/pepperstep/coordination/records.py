"""What hosts tell each other of upstreams and of entry hosts."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

from pepperstep.proto import coordination_pb2 as pb

__all__ = [
    "Announcement",
    "EntryReport",
    "ServiceWork",
    "StatedLimit",
    "UpstreamKey",
    "counts_to_messages",
    "messages_to_counts",
]

# An upstream's id and incarnation.
UpstreamKey = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Announcement:
    """The latest that is known of one start of an upstream."""

    # An upstream may have the same one again after a restart.
    id: str
    service: str
    # host:port of its HTTP interface.
    address: str
    zone: str
    # Requests that it runs at the same time.
    slots: int = 0
    # Number of the announcement within its incarnation; a lower one is older.
    sequence: int = 0
    is_leaving: bool = False
    is_gone: bool = False
    # Whether the cloud may take it back.
    is_reclaimable: bool = False
    # Seconds until it goes, 0 if it doesn't say.
    leaves_in: float = 0.0
    # Seconds for which it stays slow after its start.
    warmup: float = 0.0
    # Version of its software.
    software: str = ""
    # Unix time of its start in milliseconds, 0 if it doesn't say. A higher one is a
    # later start, which holds nothing of what the one before held.
    incarnation: int = 0

    @property
    def key(self) -> UpstreamKey:
        """What tells this start of the upstream from all others."""
        return self.id, self.incarnation

    @property
    def takes_work(self) -> bool:
        """Whether new requests may go there."""
        return not (self.is_leaving or self.is_gone)

    @classmethod
    def from_message(cls, message: pb.AnnouncedUpstream) -> "Announcement":
        """Return the announcement that `message` carries."""
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
        """Return the announcement, heard `age` seconds ago, as a message."""
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
    """What an upstream's answers say of the requests that it takes."""

    # Requests a second from all hosts together, None for any number.
    rate: float | None
    # Monotonic time of the latest answer that said so.
    stated_at: float

    @classmethod
    def from_message(cls, message: pb.StatedLimit, now: float) -> "StatedLimit":
        """Return the limit that `message`, received `now`, carries."""
        rate = message.rate if message.HasField("rate") else None
        return cls(rate, now - message.age)

    def to_message(self, now: float) -> pb.StatedLimit:
        """Return the limit as a message that is sent `now`."""
        return pb.StatedLimit(rate=self.rate, age=now - self.stated_at)


@dataclass(frozen=True, slots=True)
class ServiceWork:
    """Work that a service's upstreams are given, as means of the last seconds."""

    # Requests under way.
    in_flight: float = 0.0
    # Seconds of reading prompts a second.
    reading: float = 0.0


@dataclass(frozen=True, slots=True)
class EntryReport:
    """What an entry host says of itself at one time."""

    host: str
    # Grows with each start of the host's process.
    incarnation: int
    caller_address: str
    zone: str
    is_ready: bool
    # Cost admitted since the start, by workspace.
    admitted: dict[str, int] = field(default_factory=dict)
    # Requests that began to run, by window of the accounting and workspace.
    windows: dict[int, dict[str, int]] = field(default_factory=dict)
    # Work that upstreams are given, by service.
    works: dict[str, ServiceWork] = field(default_factory=dict)
    # Seconds since the start.
    uptime: float = 0.0

    @classmethod
    def from_message(cls, message: pb.EntryState) -> "EntryReport":
        """Return the report that `message` carries."""
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
        )

    def changed_since(self, earlier: "EntryReport | None") -> "EntryReport":
        """Return the report without the counts that an earlier one holds."""
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
        )


def counts_to_messages(counts: Mapping[str, int]) -> list[pb.WorkspaceCount]:
    """Return counts by workspace as messages."""
    return [
        pb.WorkspaceCount(workspace=name, count=count)
        for name, count in sorted(counts.items())
    ]


def messages_to_counts(messages: Iterable[pb.WorkspaceCount]) -> dict[str, int]:
    """Return counts by workspace."""
    return {message.workspace: message.count for message in messages}
