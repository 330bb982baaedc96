"""Announcements of upstreams, as they come over HTTP (docs/INTERFACES.md)."""

import msgspec

from pepperstep.entities import Load, ModelKey, Role, Upstream, UpstreamKind
from pepperstep.errors import Code, Failure

__all__ = ["Announcement", "parse_announcement"]


class Announcement(msgspec.Struct):
    """One heartbeat of an upstream's lease."""

    name: str
    epoch: int
    sequence: int
    address: str
    kind: UpstreamKind
    host: str
    zone: str
    region: str = ""
    service: str = ""
    models: list[ModelKey] = []
    slots: int = 16
    role: Role = Role.MIXED
    load: Load = Load()
    is_leaving: bool = False
    checks_fencing: bool = True
    is_reclaimable: bool = True

    def to_upstream(self) -> Upstream:
        """Return the upstream that announces itself."""
        return Upstream(
            name=self.name,
            epoch=self.epoch,
            address=self.address,
            kind=self.kind,
            host=self.host,
            zone=self.zone,
            region=self.region,
            service=self.service,
            models=frozenset(self.models),
            slots=self.slots,
            role=self.role,
            load=self.load,
            is_leaving=self.is_leaving,
            checks_fencing=self.checks_fencing,
            is_reclaimable=self.is_reclaimable,
        )


_decode = msgspec.json.Decoder(Announcement).decode


def parse_announcement(data: bytes) -> Announcement:
    """Return the announcement, or raise `Failure` with `INVALID_REQUEST`."""
    try:
        return _decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise Failure(Code.INVALID_REQUEST, f"Announcement: {error}") from error
