"""What is known of an upstream, and how two records of it merge.

A greater epoch replaces all of an earlier one. Within an epoch the greater
sequence number gives the content, while leaving and removal hold for good. So
the order of messages, and repeats of them, make no difference.
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
    "stub",
    "to_message",
    "to_version",
]

_NANO = 1_000_000_000
_MILLI = 1000
# Age that stands for "never renewed".
_MAX_AGE_MS = 2**32 - 1


@dataclass(frozen=True, slots=True)
class Record:
    """An upstream with the number and the time of its last heartbeat."""

    upstream: Upstream
    sequence: int
    is_removed: bool = False
    # Monotonic time of this host at which the upstream surely held its lease.
    renewed_at: float = -math.inf

    @property
    def epoch(self) -> int:
        """Epoch of the upstream's start."""
        return self.upstream.epoch

    @property
    def number(self) -> tuple[int, int]:
        """Epoch and sequence, which order the heartbeats."""
        return self.epoch, self.sequence

    @property
    def is_ending(self) -> bool:
        """Whether this start of the upstream is to get nothing new any more."""
        return self.upstream.is_leaving or self.is_removed

    @property
    def content(self) -> tuple[Upstream, bool]:
        """All but load, number and time of heartbeats."""
        return replace(self.upstream, load=Load()), self.is_removed


def merge_records(known: Record | None, news: Record) -> Record:
    """Return what holds after both; the order of the two doesn't matter."""
    if known is None or news.epoch > known.epoch:
        return news
    if news.epoch < known.epoch:
        return known
    newest = max(known, news, key=_order)
    is_leaving = known.upstream.is_leaving or news.upstream.is_leaving
    return Record(
        upstream=replace(newest.upstream, is_leaving=is_leaving),
        sequence=newest.sequence,
        is_removed=known.is_removed or news.is_removed,
        renewed_at=max(known.renewed_at, news.renewed_at),
    )


def stub(name: str, epoch: int) -> Upstream:
    """Return an upstream of which only name and epoch are known."""
    return Upstream(name, epoch, "", UpstreamKind.SERVICE, "", "")


def to_message(record: Record, now: float, is_full: bool) -> pb.UpstreamRecord:
    """Return the message for `record`, with its description if `is_full`."""
    upstream = record.upstream
    description = _describe(upstream)
    return pb.UpstreamRecord(
        name=upstream.name,
        epoch=upstream.epoch,
        sequence=record.sequence,
        is_leaving=upstream.is_leaving,
        is_removed=record.is_removed,
        load=_load_message(upstream.load),
        age_ms=age_ms(record, now),
        description_hash=_hash(description),
        description=description if is_full else None,
    )


def to_version(record: Record, now: float) -> pb.UpstreamVersion:
    """Return what another host compares its own record with."""
    return pb.UpstreamVersion(
        name=record.upstream.name,
        epoch=record.epoch,
        description_hash=_hash(_describe(record.upstream)),
        is_leaving=record.upstream.is_leaving,
        is_removed=record.is_removed,
        age_ms=age_ms(record, now),
    )


def from_message(
    message: pb.UpstreamRecord, known: Record | None, sent_at: float | None
) -> Record | None:
    """Return the record, None if the description is neither here nor there.

    `sent_at` is a monotonic time of this host before which the message can't
    have been made; None renews no lease.
    """
    if message.HasField("description"):
        base = _from_description(message)
    elif known is not None and _is_described(message, known):
        base = known.upstream
    else:
        return None
    renewed_at = -math.inf
    if sent_at is not None and message.age_ms < _MAX_AGE_MS:
        renewed_at = sent_at - message.age_ms / _MILLI
    upstream = replace(
        base, load=_from_load(message.load), is_leaving=message.is_leaving
    )
    return Record(upstream, message.sequence, message.is_removed, renewed_at)


def age_ms(record: Record, now: float) -> int:
    """Return the milliseconds since the last heartbeat, rounded up."""
    if record.renewed_at == -math.inf:
        return _MAX_AGE_MS
    return min(_MAX_AGE_MS, math.ceil((now - record.renewed_at) * _MILLI))


def description_hash(record: Record) -> int:
    """Return a hash of what changes seldom."""
    return _hash(_describe(record.upstream))


def _order(record: Record) -> tuple[int, bytes]:
    # The content decides where an upstream used a number twice.
    load = _load_message(record.upstream.load)
    content = _describe(record.upstream).SerializeToString(deterministic=True)
    return record.sequence, content + load.SerializeToString(deterministic=True)


def _is_described(message: pb.UpstreamRecord, known: Record) -> bool:
    is_same_start = message.epoch == known.epoch
    return is_same_start and message.description_hash == description_hash(known)


def _describe(upstream: Upstream) -> pb.UpstreamDescription:
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


def _load_message(load: Load) -> pb.UpstreamLoad:
    return pb.UpstreamLoad(
        running=load.running,
        waiting=load.waiting,
        prefill_nanoseconds=round(load.prefill_seconds * _NANO),
        decode_nanoseconds=round(load.decode_seconds * _NANO),
    )


def _from_load(load: pb.UpstreamLoad) -> Load:
    return Load(
        running=load.running,
        waiting=load.waiting,
        prefill_seconds=load.prefill_nanoseconds / _NANO,
        decode_seconds=load.decode_nanoseconds / _NANO,
    )


def _hash(description: pb.UpstreamDescription) -> int:
    return xxhash.xxh32_intdigest(description.SerializeToString(deterministic=True))
