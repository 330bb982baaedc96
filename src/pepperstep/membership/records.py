"""Records of upstreams, their merge rule and their messages.

A record with a greater epoch replaces one with an earlier epoch. Within an epoch
the content comes from the greater sequence number, while leaving and removal are
permanent. The merge is therefore commutative and idempotent: reordered or
repeated messages lead to the same record.
"""

import math
from dataclasses import dataclass, replace

import xxhash

from pepperstep.entities import Load, ModelKey, Role, Upstream, UpstreamKind
from pepperstep.proto import membership_pb2 as pb

__all__ = [
    "Record",
    "age_ms",
    "description_hash",
    "from_message",
    "merge_records",
    "placeholder",
    "to_message",
    "to_version",
]

_NANOSECONDS_PER_SECOND = 1_000_000_000
_MILLISECONDS_PER_SECOND = 1000
# Age that means "never renewed".
_MAX_AGE_MS = 2**32 - 1


@dataclass(frozen=True, slots=True)
class Record:
    """An upstream with the sequence number and the time of its last heartbeat."""

    upstream: Upstream
    sequence: int
    is_removed: bool = False
    # Lower bound of the time of the last heartbeat, on this host's monotonic clock.
    renewed_at: float = -math.inf

    @property
    def epoch(self) -> int:
        """Epoch of the upstream's process."""
        return self.upstream.epoch

    @property
    def number(self) -> tuple[int, int]:
        """Epoch and sequence number, which order an upstream's heartbeats."""
        return self.epoch, self.sequence

    @property
    def is_ending(self) -> bool:
        """Whether the upstream must get no new work in this epoch."""
        return self.upstream.is_leaving or self.is_removed

    @property
    def content(self) -> tuple[Upstream, bool]:
        """The record without load, sequence number and time of the heartbeat."""
        return replace(self.upstream, load=Load()), self.is_removed


def merge_records(known: Record | None, update: Record) -> Record:
    """Return the merge of two records of an upstream, in either order."""
    if known is None or update.epoch > known.epoch:
        return update
    if update.epoch < known.epoch:
        return known
    newest = max(known, update, key=_merge_order)
    is_leaving = known.upstream.is_leaving or update.upstream.is_leaving
    return Record(
        upstream=replace(newest.upstream, is_leaving=is_leaving),
        sequence=newest.sequence,
        is_removed=known.is_removed or update.is_removed,
        renewed_at=max(known.renewed_at, update.renewed_at),
    )


def placeholder(name: str, epoch: int) -> Upstream:
    """Return an upstream of which only the name and the epoch are known."""
    return Upstream(name, epoch, "", UpstreamKind.SERVICE, "", "")


def to_message(record: Record, now: float, is_full: bool) -> pb.UpstreamRecord:
    """Return the message for `record`, with its description if `is_full`."""
    upstream = record.upstream
    description = _to_description(upstream)
    return pb.UpstreamRecord(
        name=upstream.name,
        epoch=upstream.epoch,
        sequence=record.sequence,
        is_leaving=upstream.is_leaving,
        is_removed=record.is_removed,
        load=_to_load(upstream.load),
        age_ms=age_ms(record, now),
        description_hash=_hash(description),
        description=description if is_full else None,
    )


def to_version(record: Record, now: float) -> pb.UpstreamVersion:
    """Return the version that another host compares with its own record."""
    return pb.UpstreamVersion(
        name=record.upstream.name,
        epoch=record.epoch,
        description_hash=_hash(_to_description(record.upstream)),
        is_leaving=record.upstream.is_leaving,
        is_removed=record.is_removed,
        age_ms=age_ms(record, now),
    )


def from_message(
    message: pb.UpstreamRecord, known: Record | None, sent_at: float | None
) -> Record | None:
    """Return the record, None if neither `message` nor `known` has its description.

    `sent_at` is the earliest time, on this host's monotonic clock, at which the
    message can have been composed; with None the record renews no lease.
    """
    if message.HasField("description"):
        base = _from_description(message)
    elif known is not None and _is_described(message, known):
        base = known.upstream
    else:
        return None
    renewed_at = -math.inf
    if sent_at is not None and message.age_ms < _MAX_AGE_MS:
        renewed_at = sent_at - message.age_ms / _MILLISECONDS_PER_SECOND
    upstream = replace(
        base, load=_from_load(message.load), is_leaving=message.is_leaving
    )
    return Record(upstream, message.sequence, message.is_removed, renewed_at)


def age_ms(record: Record, now: float) -> int:
    """Return the milliseconds since the last heartbeat, rounded up."""
    if record.renewed_at == -math.inf:
        return _MAX_AGE_MS
    return min(
        _MAX_AGE_MS, math.ceil((now - record.renewed_at) * _MILLISECONDS_PER_SECOND)
    )


def description_hash(record: Record) -> int:
    """Return a hash of the upstream's description, which changes rarely."""
    return _hash(_to_description(record.upstream))


def _merge_order(record: Record) -> tuple[int, bytes]:
    # The content is the tie-breaker if an upstream used a sequence number twice.
    load = _to_load(record.upstream.load)
    content = _to_description(record.upstream).SerializeToString(deterministic=True)
    return record.sequence, content + load.SerializeToString(deterministic=True)


def _is_described(message: pb.UpstreamRecord, known: Record) -> bool:
    is_same_start = message.epoch == known.epoch
    return is_same_start and message.description_hash == description_hash(known)


def _to_description(upstream: Upstream) -> pb.UpstreamDescription:
    models = sorted((m.model, m.adapter, m.version) for m in upstream.models)
    return pb.UpstreamDescription(
        address=upstream.address,
        kind=upstream.kind,
        host=upstream.host,
        zone=upstream.zone,
        region=upstream.region,
        service=upstream.service,
        models=[pb.LoadedModel(model=m, adapter=a, version=v) for m, a, v in models],
        slots=upstream.slots,
        role=upstream.role,
        checks_fencing=upstream.checks_fencing,
        is_reclaimable=upstream.is_reclaimable,
    )


def _from_description(message: pb.UpstreamRecord) -> Upstream:
    description = message.description
    models = (ModelKey(m.model, m.adapter, m.version) for m in description.models)
    return Upstream(
        name=message.name,
        epoch=message.epoch,
        address=description.address,
        kind=UpstreamKind(description.kind),
        host=description.host,
        zone=description.zone,
        region=description.region,
        service=description.service,
        models=frozenset(models),
        slots=description.slots,
        role=Role(description.role),
        checks_fencing=description.checks_fencing,
        is_reclaimable=description.is_reclaimable,
    )


def _to_load(load: Load) -> pb.UpstreamLoad:
    return pb.UpstreamLoad(
        running=load.running,
        waiting=load.waiting,
        prefill_nanoseconds=round(load.prefill_seconds * _NANOSECONDS_PER_SECOND),
        decode_nanoseconds=round(load.decode_seconds * _NANOSECONDS_PER_SECOND),
    )


def _from_load(load: pb.UpstreamLoad) -> Load:
    return Load(
        running=load.running,
        waiting=load.waiting,
        prefill_seconds=load.prefill_nanoseconds / _NANOSECONDS_PER_SECOND,
        decode_seconds=load.decode_nanoseconds / _NANOSECONDS_PER_SECOND,
    )


def _hash(description: pb.UpstreamDescription) -> int:
    return xxhash.xxh32_intdigest(description.SerializeToString(deterministic=True))
