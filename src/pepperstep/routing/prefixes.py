"""Estimates of the contents of the engines' prefix caches."""

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass

import xxhash

from pepperstep.routing.averages import MovingAverage

__all__ = ["BLOCK_BYTES", "CacheEvent", "PrefixIndex", "hash_blocks"]

BLOCK_BYTES = 256

_MAX_HOLDERS = 4
# Confidence left in blocks seen before cache events were missed.
_MISSED_EVENTS_FACTOR = 0.5


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """Blocks that an engine has added to its prefix cache or evicted from it.

    `sequence` grows by one with each event of an upstream's epoch.
    """

    upstream: str
    epoch: int
    sequence: int
    stored: tuple[int, ...] = ()
    removed: tuple[int, ...] = ()


def hash_blocks(prompt: str) -> list[int]:
    """Return a hash for each whole block, chained over all blocks before it."""
    data = prompt.encode()
    hashes = []
    digest = 0
    for start in range(0, len(data) - BLOCK_BYTES + 1, BLOCK_BYTES):
        block = data[start : start + BLOCK_BYTES]
        digest = xxhash.xxh3_64_intdigest(block, seed=digest)
        hashes.append(digest)
    return hashes


class _CacheEstimate:
    """Estimated cache contents of one upstream."""

    __slots__ = ("blocks", "epoch", "gap_at", "sequence", "hit_ratio")

    def __init__(self):
        # Time at which each block was last seen, least recently used first.
        self.blocks: OrderedDict[int, float] = OrderedDict()
        self.epoch = 0
        self.sequence = 0
        # Time before which blocks may have been evicted by missed events.
        self.gap_at = float("-inf")
        # Share of the expected blocks that the engine found in its cache.
        self.hit_ratio = MovingAverage(0.1, 1.0)


class PrefixIndex:
    """Estimates cache contents from this host's placements and cache events.

    Estimates decay with a half-life. A block's hash covers the blocks before it,
    and a prompt's blocks are touched from the last to the first, so eviction
    always leaves a prefix of the prompt's blocks.
    """

    def __init__(self, half_life: float, blocks_per_upstream: int, event_lag: float):
        self._half_life = half_life
        self._capacity = blocks_per_upstream
        self._event_lag = event_lag
        self._estimates: dict[str, _CacheEstimate] = {}
        # Upstreams that most recently received each block, latest first.
        self._holders: OrderedDict[int, list[str]] = OrderedDict()

    def cached_blocks(self, upstream: str, hashes: Sequence[int], now: float) -> float:
        """Return how many leading blocks of a prompt are expected to be cached."""
        estimate = self._estimates.get(upstream)
        if estimate is None or not hashes:
            return 0.0
        known = _count_known(estimate.blocks, hashes)
        if known == 0:
            return 0.0
        seen_at = estimate.blocks[hashes[known - 1]]
        factor = _MISSED_EVENTS_FACTOR if seen_at < estimate.gap_at else 1.0
        hit_ratio = estimate.hit_ratio.value * factor
        return known * hit_ratio * 0.5 ** ((now - seen_at) / self._half_life)

    def find_holders(self, hashes: Sequence[int]) -> list[str]:
        """Return the latest upstreams that received the longest known prefix."""
        known = _count_known(self._holders, hashes)
        return self._holders[hashes[known - 1]] if known else []

    def record_placement(
        self, upstream: str, hashes: Sequence[int], now: float
    ) -> None:
        """Expect the blocks of a prompt to be cached by the upstream it is sent to."""
        self._store(upstream, hashes, now)

    def record_hits(self, upstream: str, expected: float, found: float) -> None:
        """Update an upstream's hit ratio from expected and found blocks."""
        if expected >= 1:
            estimate = self._estimates.setdefault(upstream, _CacheEstimate())
            estimate.hit_ratio.add(min(1.0, found / expected))

    def apply_event(self, event: CacheEvent, now: float) -> None:
        """Apply a cache event, which may be late or follow missed events."""
        estimate = self._estimates.setdefault(event.upstream, _CacheEstimate())
        if event.epoch < estimate.epoch:
            return
        if event.epoch > estimate.epoch:
            self._start_epoch(event, estimate)
        elif event.sequence > estimate.sequence + 1:
            estimate.gap_at = now - self._event_lag
        estimate.sequence = max(estimate.sequence, event.sequence)
        self._store(event.upstream, event.stored, now - self._event_lag)
        for digest in event.removed:
            # A block placed after the event is cached again.
            if estimate.blocks.get(digest, now) <= now - self._event_lag:
                self._drop(event.upstream, digest)

    def forget(self, upstream: str) -> None:
        """Drop all blocks of an upstream that ended or restarted."""
        estimate = self._estimates.pop(upstream, None)
        for digest in () if estimate is None else estimate.blocks:
            self._drop_holder(upstream, digest)

    def _start_epoch(self, event: CacheEvent, estimate: _CacheEstimate) -> None:
        if estimate.epoch:
            self.forget(event.upstream)
            self._estimates[event.upstream] = estimate
            estimate.blocks.clear()
        estimate.epoch = event.epoch
        estimate.sequence = event.sequence

    def _store(self, upstream: str, hashes: Sequence[int], seen_at: float) -> None:
        estimate = self._estimates.setdefault(upstream, _CacheEstimate())
        blocks = estimate.blocks
        for digest in reversed(hashes):
            if blocks.get(digest, seen_at) <= seen_at:
                blocks[digest] = seen_at
            blocks.move_to_end(digest)
            self._add_holder(upstream, digest)
        while len(blocks) > self._capacity:
            digest, _ = blocks.popitem(last=False)
            self._drop_holder(upstream, digest)

    def _add_holder(self, upstream: str, digest: int) -> None:
        holders = self._holders.setdefault(digest, [])
        self._holders.move_to_end(digest)
        if holders and holders[0] == upstream:
            return
        if upstream in holders:
            holders.remove(upstream)
        holders.insert(0, upstream)
        del holders[_MAX_HOLDERS:]

    def _drop(self, upstream: str, digest: int) -> None:
        self._estimates[upstream].blocks.pop(digest, None)
        self._drop_holder(upstream, digest)

    def _drop_holder(self, upstream: str, digest: int) -> None:
        holders = self._holders.get(digest)
        if holders is None or upstream not in holders:
            return
        holders.remove(upstream)
        if not holders:
            del self._holders[digest]


def _count_known(known: OrderedDict, hashes: Sequence[int]) -> int:
    """Return how many leading hashes are known, by binary search."""
    low, high = 0, len(hashes)
    while low < high:
        middle = (low + high + 1) // 2
        if hashes[middle - 1] in known:
            low = middle
        else:
            high = middle - 1
    return low
