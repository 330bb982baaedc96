"""Announcements that upstreams send over HTTP (docs/INTERFACES.md)."""

from typing import Annotated

import msgspec

from pepperstep.adapters.http_api.web import decode_body
from pepperstep.entities import Load, ModelKey, Role, Upstream, UpstreamKind
from pepperstep.errors import Code, Failure
from pepperstep.membership import Lease

__all__ = ["Announcement", "AnnouncementAnswer", "parse_announcement"]

_Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$")]
_Label = Annotated[str, msgspec.Meta(max_length=128)]
_Address = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9.-]{1,253}:[0-9]{1,5}$")]
_Number = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
_Slots = Annotated[int, msgspec.Meta(ge=1, le=100_000)]
_Requests = Annotated[int, msgspec.Meta(ge=0, le=10_000_000)]
_Seconds = Annotated[float, msgspec.Meta(ge=0, le=86_400)]
_MAX_PORT = 65_535
_MAX_MODELS = 1000
_IDLE = Load()


class ModelName(msgspec.Struct):
    """A loaded model with its adapter and version."""

    model: Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
    adapter: _Label = ""
    version: _Label = ""


class LoadReport(msgspec.Struct):
    """Load as measured by the upstream."""

    running: _Requests = 0
    waiting: _Requests = 0
    prefill_seconds: _Seconds = _IDLE.prefill_seconds
    decode_seconds: _Seconds = _IDLE.decode_seconds

    def to_load(self) -> Load:
        """Convert to the domain type."""
        return Load(
            self.running, self.waiting, self.prefill_seconds, self.decode_seconds
        )


class Announcement(msgspec.Struct):
    """A heartbeat that renews an upstream's lease."""

    name: _Name
    epoch: _Number
    sequence: _Number
    address: _Address
    kind: UpstreamKind
    host: _Name
    zone: _Name
    region: _Label = ""
    service: _Label = ""
    models: Annotated[list[ModelName], msgspec.Meta(max_length=_MAX_MODELS)] = []
    slots: _Slots = 16
    role: Role = Role.MIXED
    load: LoadReport = msgspec.field(default_factory=LoadReport)
    is_leaving: bool = False
    checks_fencing: bool = True
    is_reclaimable: bool = True
    # Token of the last lease granted by this entry host, and the time since then.
    token: _Label = ""
    held_seconds: _Seconds = 0.0

    def to_upstream(self) -> Upstream:
        """Convert to the domain type, without the fields of the lease."""
        return Upstream(
            name=self.name,
            epoch=self.epoch,
            address=self.address,
            kind=self.kind,
            host=self.host,
            zone=self.zone,
            region=self.region,
            service=self.service,
            models=frozenset(
                ModelKey(each.model, each.adapter, each.version) for each in self.models
            ),
            slots=self.slots,
            role=self.role,
            load=self.load.to_load(),
            is_leaving=self.is_leaving,
            checks_fencing=self.checks_fencing,
            is_reclaimable=self.is_reclaimable,
        )


class AnnouncementAnswer(msgspec.Struct):
    """The lease that an upstream gets in answer to its announcement."""

    lease_seconds: float
    heartbeat_seconds: float
    # Base URLs of the entry hosts that accept announcements.
    entry_hosts: list[str]
    # False if the heartbeat was late; the upstream must announce again at once.
    is_renewed: bool
    # Sent back to this entry host with the next heartbeat.
    token: str

    @classmethod
    def from_lease(cls, lease: Lease) -> "AnnouncementAnswer":
        """Return the answer that describes `lease`."""
        return cls(
            lease.seconds,
            lease.heartbeat_period,
            list(lease.entry_hosts),
            lease.is_renewed,
            lease.token,
        )


_decode = msgspec.json.Decoder(Announcement).decode


def parse_announcement(data: bytes) -> Announcement:
    """Decode an announcement; raise `Failure` with `INVALID_REQUEST` on errors."""
    announcement = decode_body(_decode, data, "Announcement")
    if int(announcement.address.rpartition(":")[2]) > _MAX_PORT:
        raise _invalid("`address` has no valid port")
    is_service = announcement.kind is UpstreamKind.SERVICE
    if is_service != bool(announcement.service):
        raise _invalid("`service` must name the service, and be empty for engines")
    return announcement


def _invalid(text: str) -> Failure:
    return Failure(Code.INVALID_REQUEST, f"Announcement: {text}.")
