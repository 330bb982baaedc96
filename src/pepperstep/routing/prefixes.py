"""What this host believes to be in the engines' prefix caches."""

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass

import xxhash

from pepperstep.routing.averages import MovingAverage

__all__ = ["BLOCK_BYTES", "CacheEvent", "PrefixIndex", "hash_blocks"]

BLOCK_BYTES = 256

_MAX_HOLDERS = 4
# What remains of a belief after events were missed.
_MISSED_EVENTS_FACTOR = 0.5


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """Blocks that an engine has stored in its cache, or dropped from it.

    `sequence` grows by one with each event of an upstream's epoch.
    """

    upstream: str
    epoch: int
    sequence: int
    stored: tuple[int, ...] = ()
    removed: tuple[int, ...] = ()


def hash_blocks(prompt: str) -> list[int]:
    """Return a hash for each whole block, which stands for all before it too."""
    data = prompt.encode()
    hashes = []
    digest = 0
    for start in range(0, len(data) - BLOCK_BYTES + 1, BLOCK_BYTES):
        block = data[start : start + BLOCK_BYTES]
        digest = xxhash.xxh3_64_intdigest(block, seed=digest)
        hashes.append(digest)
    return hashes


class _CacheEstimate:
    """Blocks of one upstream with the time of the last sign of each."""

    __slots__ = ("blocks", "epoch", "gap_at", "sequence", "hit_ratio")

    def __init__(self):
        self.blocks: OrderedDict[int, float] = OrderedDict()
        self.epoch = 0
        self.sequence = 0
        # Time at which missed events were noticed.
        self.gap_at = float("-inf")
        # Share of the expected blocks that were found.
        self.hit_ratio = MovingAverage(0.1, 1.0)


class PrefixIndex:
    """Beliefs from own placements and cache events, which fade.

    A block's hash covers those before it, and blocks are touched from the last
    to the first, so the blocks known of a prompt are always its first ones.
    """

    def __init__(self, half_life: float, blocks_per_upstream: int, event_lag: float):
        self._half_life = half_life
        self._capacity = blocks_per_upstream
        self._event_lag = event_lag
        self._estimates: dict[str, _CacheEstimate] = {}
        # The last upstreams that took each block.
        self._holders: OrderedDict[int, list[str]] = OrderedDict()

    def cached_blocks(self, upstream: str, hashes: Sequence[int], now: float) -> float:
        """Return how many of the first blocks are expected to be cached."""
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
        """Return the upstreams that last took the longest known prefix."""
        known = _count_known(self._holders, hashes)
        return self._holders[hashes[known - 1]] if known else []

    def record_placement(
        self, upstream: str, hashes: Sequence[int], now: float
    ) -> None:
        """Believe in the blocks of a prompt that an upstream gets."""
        self._store(upstream, hashes, now)

    def record_hits(self, upstream: str, expected: float, found: float) -> None:
        """Trust beliefs about an upstream by how many blocks were found."""
        if expected >= 1:
            estimate = self._estimates.setdefault(upstream, _CacheEstimate())
            estimate.hit_ratio.add(min(1.0, found / expected))

    def apply_event(self, event: CacheEvent, now: float) -> None:
        """Take an event in, which may be late and follow on missed ones."""
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
            # A newer placement has stored the block again.
            if estimate.blocks.get(digest, now) <= now - self._event_lag:
                self._drop(event.upstream, digest)

    def forget(self, upstream: str) -> None:
        """Drop all beliefs about an upstream, as it ended or started again."""
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
    """Return how many of the first hashes are known, by halving."""
    low, high = 0, len(hashes)
    while low < high:
        middle = (low + high + 1) // 2
        if hashes[middle - 1] in known:
            low = middle
        else:
            high = middle - 1
    return low
