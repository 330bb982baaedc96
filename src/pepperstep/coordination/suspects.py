"""Contents that are suspected of crashing the upstreams that run them.

A loss of a content is a run that ended with a broken connection. Losses are counted in
succession: a run adds one to the losses that its host knew when the run began. So the
runs that one event breaks at the same time count once, and hosts merge their counts by
keeping the highest. A complete answer clears the losses of its content.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import NamedTuple

from pepperstep.proto import coordination_pb2 as pb

__all__ = ["BLOCKING_LOSSES", "NO_LOSSES", "LossCount", "SuspectContents"]

# Successive losses from which a content is blocked. One or two may be due to failures
# of the upstreams.
BLOCKING_LOSSES = 3
# Duration of the first block in seconds. Each further loss multiplies it, up to the
# maximum.
_FIRST_BLOCK_SECONDS = 60.0
_BLOCK_FACTOR = 4.0
_MAX_BLOCK_SECONDS = 600.0
# Time after its latest change for which a content is kept, in seconds. It's longer than
# the longest block, so that a content that is tried after it and crashes another
# upstream is blocked again at once.
_FORGET_SECONDS = 1_500.0
_MAX_CONTENTS = 1_000
# Losses from which other hosts are told at once instead of with the next poll. Many
# runs break once when upstreams fail.
_URGENT_LOSSES = 2


class LossCount(NamedTuple):
    """Successive losses of a content; a higher count is newer."""

    # Number of complete answers that have cleared the losses.
    generation: int
    losses: int


NO_LOSSES = LossCount(0, 0)


@dataclass(slots=True)
class _Content:
    count: LossCount
    changed_at: float
    # Value of `SuspectContents.version` at its latest change on this host.
    version: int


class SuspectContents:
    """The suspect contents that one host knows, by digest.

    `stagger`, from 0 to 1, differs between hosts. It prolongs blocks, so that they end
    on one host after the other and the first trial tells the others.
    """

    def __init__(self, now: Callable[[], float], stagger: float = 0.0):
        self._now = now
        self._stagger = stagger
        self._contents: dict[int, _Content] = {}
        self._subscribers: list[Callable[[], None]] = []
        # Numbers of the latest change and of the latest urgent one.
        self.version = 0
        self.urgent_version = 0

    @property
    def is_empty(self) -> bool:
        """Whether no content is known."""
        return not self._contents

    def subscribe(self, subscriber: Callable[[], None]) -> None:
        """Call `subscriber` after each urgent change."""
        self._subscribers.append(subscriber)

    def count_of(self, digest: int) -> LossCount:
        """Return the losses of a content."""
        content = self._contents.get(digest)
        return NO_LOSSES if content is None else content.count

    def blocked_seconds(self, digest: int) -> float:
        """Return the seconds until a content may be sent again, 0 if it may be now."""
        content = self._contents.get(digest)
        if content is None or content.count.losses < BLOCKING_LOSSES:
            return 0.0
        further = content.count.losses - BLOCKING_LOSSES
        seconds = min(_FIRST_BLOCK_SECONDS * _BLOCK_FACTOR**further, _MAX_BLOCK_SECONDS)
        until = content.changed_at + (1.0 + self._stagger) * seconds
        return max(0.0, until - self._now())

    def record_loss(self, digest: int, before: LossCount) -> bool:
        """Record a loss of a run that began when the losses were `before`.

        Return False if a newer count is known already.
        """
        count = LossCount(before.generation, before.losses + 1)
        return self._update(digest, count, self._now())

    def record_answer(self, digest: int) -> bool:
        """Clear a content's losses; return False if it has none."""
        generation, losses = self.count_of(digest)
        if not losses:
            return False
        return self._update(digest, LossCount(generation + 1, 0), self._now())

    def merge(self, messages: Iterable[pb.SuspectContent], age: float = 0.0) -> None:
        """Merge another host's contents, received in a message that is `age` old."""
        now = self._now()
        for message in messages:
            count = LossCount(message.generation, message.losses)
            self._update(message.digest, count, now - age - message.age)

    def digests(self) -> list[int]:
        """Return the digests of all contents."""
        return list(self._contents)

    def messages_since(self, version: int) -> list[pb.SuspectContent]:
        """Return the contents that have changed on this host after `version`."""
        if version >= self.version:
            return []
        return self.messages_of(
            digest
            for digest, content in self._contents.items()
            if content.version > version
        )

    def messages_of(self, digests: Iterable[int]) -> list[pb.SuspectContent]:
        """Return some contents, without those that have been forgotten."""
        now = self._now()
        return [
            pb.SuspectContent(
                digest=digest,
                generation=content.count.generation,
                losses=content.count.losses,
                age=now - content.changed_at,
            )
            for digest, content in self._find(digests)
        ]

    def forget_old(self) -> None:
        """Forget the contents that haven't changed for long."""
        limit = self._now() - _FORGET_SECONDS
        self._contents = {
            digest: content
            for digest, content in self._contents.items()
            if content.changed_at > limit
        }

    def _find(self, digests: Iterable[int]) -> Iterable[tuple[int, _Content]]:
        for digest in digests:
            content = self._contents.get(digest)
            if content is not None:
                yield digest, content

    def _update(self, digest: int, count: LossCount, changed_at: float) -> bool:
        before = self.count_of(digest)
        if count <= before:
            return False
        self.version += 1
        self._contents[digest] = _Content(count, changed_at, self.version)
        if len(self._contents) > _MAX_CONTENTS:
            del self._contents[min(self._contents, key=self._value_of)]
        if max(before.losses, count.losses) >= _URGENT_LOSSES:
            self.urgent_version = self.version
            for subscriber in self._subscribers:
                subscriber()
        return True

    def _value_of(self, digest: int) -> tuple[int, float]:
        """Return by what contents are kept if there are too many."""
        content = self._contents[digest]
        return content.count.losses, content.changed_at
