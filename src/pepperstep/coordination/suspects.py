"""Features of requests that are suspected of crashing the upstreams that run them.

A feature is what several requests may have in common: their whole content, or one part
of their prompts. A loss of a feature is a run that ended with a broken connection.
Losses are counted in rounds: a run belongs to the round after the last one that its
host knew when the run began, so runs that one event breaks are of one round. An
upstream that answers a request sent after a loss hasn't crashed, and its loss doesn't
count. Neither do the losses before the beginning of an answer that has shown the
feature to be sound. Hosts merge what they know as sets, in any order.

A content is blamed for any three losses, as nothing but its copies shares them. Parts
share their losses with each other, so they are compared.
"""

import math
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from pepperstep.coordination.blame import MIN_LOSSES, find_blamed
from pepperstep.coordination.records import UpstreamKey
from pepperstep.proto import coordination_pb2 as pb

__all__ = ["NO_SUSPICION", "Suspicion", "SuspectFeatures", "part_digest"]

# High bits of the digests of prompt parts, which tell them from whole contents on all
# hosts.
_PART_BITS = 48
_PART_MARK = 0x70A5

_MAX_BLOCK_SECONDS = 300.0
# By how much longer a request is blocked for each blamed part but one, so that each
# part is tried without the others where it can be.
_JOINT_BLOCK_SECONDS = 5.0
# Time for which no other blamed feature is tried after one. A trial that crashes its
# upstream would break those that run there.
_TRIAL_GAP_SECONDS = 1.5
# Time after its latest change for which a feature is kept, in seconds. It's longer than
# the longest block, so that a feature that is tried after it and crashes another
# upstream is blocked again at once.
_FORGET_SECONDS = 3_600.0
# Features that are kept, and how many more make it worth dropping those of least value.
_MAX_FEATURES = 500
_MAX_EXCESS = 250
# Losses that are kept of a feature, those of the latest rounds.
_MAX_LOSSES = 8
# Losses from which other hosts are told at once instead of with the next poll. Many
# runs break once when upstreams fail.
_URGENT_LOSSES = 2


class Suspicion(NamedTuple):
    """What a host knew of a feature when a run began."""

    # Number of answers that have cleared the feature.
    generation: int
    # Latest round of losses.
    round: int


NO_SUSPICION = Suspicion(0, 0)


@dataclass(frozen=True, slots=True)
class _BlockRule:
    """Durations of the blocks of one kind of feature."""

    # The first one is short, as upstreams that fail together break all their runs.
    first_seconds: float
    # By how much a further block is longer.
    factor: float
    # By how much of its duration a block may be longer on one host than on another.
    stagger_factor: float


# Blocks of contents grow with each round or trial.
_CONTENT_RULE = _BlockRule(5.0, 4.0, 9.0)
# Many requests share a part. So a sound one is tried soon, and a block that ends on one
# host is noticed soon. Blocks grow with each trial only, as the first losses of a part
# show less than those of a content.
_PART_RULE = _BlockRule(1.5, 8.0, 3.0)


@dataclass(slots=True)
class _Loss:
    round: int
    # Monotonic time of the broken connection.
    time: float
    # Whether the upstream, or the feature elsewhere, has had an answer since.
    is_excused: bool = False


@dataclass(slots=True)
class _Feature:
    generation: int = 0
    losses: dict[UpstreamKey, _Loss] = field(default_factory=dict)
    # Runs that began after a block, and the monotonic time of the latest one.
    trials: int = 0
    tried_at: float = 0.0
    changed_at: float = 0.0
    # Value of `SuspectFeatures.version` at its latest change on this host.
    version: int = 0

    @property
    def counted(self) -> list[_Loss]:
        """Losses that aren't excused."""
        return [loss for loss in self.losses.values() if not loss.is_excused]


class SuspectFeatures:
    """The suspect features that one host knows, by digest.

    `stagger`, from 0 to 1, differs between hosts. It prolongs blocks, so that they end
    on one host after the other and the first trial tells the others.
    """

    def __init__(self, now: Callable[[], float], stagger: float = 0.0):
        self._now = now
        self._stagger = stagger
        self._features: dict[int, _Feature] = {}
        # Digests of the features with a loss at an upstream.
        self._lost: defaultdict[UpstreamKey, set[int]] = defaultdict(set)
        # Cache of `_blamed`, None after a change.
        self._cached_blamed: set[int] | None = None
        self._subscribers: list[Callable[[], None]] = []
        # Numbers of the latest change and of the latest urgent one.
        self.version = 0
        self.urgent_version = 0

    @property
    def is_empty(self) -> bool:
        """Whether no feature is known."""
        return not self._features

    @property
    def blocked_content_count(self) -> int:
        """Number of contents that are blocked now."""
        return self._count_blocked(lambda digest: not _is_part(digest))

    @property
    def blocked_part_count(self) -> int:
        """Number of prompt parts that are blocked now."""
        return self._count_blocked(_is_part)

    def subscribe(self, subscriber: Callable[[], None]) -> None:
        """Call `subscriber` after each urgent change."""
        self._subscribers.append(subscriber)

    def suspicion_of(self, digest: int) -> Suspicion:
        """Return what a run that begins now has to keep."""
        feature = self._features.get(digest)
        if feature is None:
            return NO_SUSPICION
        rounds = (loss.round for loss in feature.losses.values())
        return Suspicion(feature.generation, max(rounds, default=0))

    def losses_of(self, digest: int) -> int:
        """Return the number of losses of a feature that count."""
        feature = self._features.get(digest)
        return 0 if feature is None else len(feature.counted)

    def is_blamed(self, digest: int) -> bool:
        """Whether a feature is blamed, so that a run of it is a trial."""
        return digest in self._blamed()

    def blocked_seconds(self, *digests: int) -> float:
        """Return the seconds until a request with these features may be sent.

        It's 0 if the request may be sent now.
        """
        blamed = self._blamed()
        ends = [self._block_end(digest) for digest in digests if digest in blamed]
        if not ends:
            return 0.0
        end = max(ends) + _JOINT_BLOCK_SECONDS * (len(ends) - 1)
        tried_at = max(self._features[digest].tried_at for digest in blamed)
        if tried_at:
            end = max(end, tried_at + _TRIAL_GAP_SECONDS)
        return max(0.0, end - self._now())

    def record_loss(
        self, digest: int, upstream: UpstreamKey, before: Suspicion
    ) -> bool:
        """Record a loss of a run that began with the suspicion `before`.

        Return False if that changes nothing. A content that has been answered is
        sound, so losses of its older runs don't count. A part may be sound until it
        crashes an upstream.
        """
        generation = self.suspicion_of(digest).generation
        if before.generation < generation and not _is_part(digest):
            return False
        known_round = before.round if before.generation == generation else 0
        loss = _Loss(known_round + 1, self._now())
        return self._update(digest, generation, {upstream: loss})

    def record_trial(self, digest: int) -> bool:
        """Record that a run begins; return False if its feature isn't blamed.

        The trial renews the block, also if its upstream refuses to run it.
        """
        if not self.is_blamed(digest):
            return False
        feature = self._features[digest]
        trial = (feature.trials + 1, self._now())
        return self._update(digest, feature.generation, {}, trial)

    def record_answer(self, digest: int, began_at: float = math.inf) -> bool:
        """Excuse the losses before an answer that began at a monotonic time.

        By default all losses are. Return False if that changes nothing.
        """
        feature = self._features.get(digest)
        if feature is None or not feature.losses:
            return False
        if all(loss.time < began_at for loss in feature.counted):
            return self._update(digest, feature.generation + 1, {})
        excused = {
            upstream: _Loss(loss.round, loss.time, is_excused=True)
            for upstream, loss in feature.losses.items()
            if loss.time < began_at
        }
        return self._update(digest, feature.generation, excused)

    def record_alive(self, upstream: UpstreamKey, sent_at: float) -> list[int]:
        """Record that an upstream answers a request sent at a monotonic time.

        Return the features of which a loss doesn't count any more.
        """
        if upstream not in self._lost:
            return []
        changed = []
        for digest in sorted(self._lost[upstream]):
            feature = self._features[digest]
            loss = feature.losses[upstream]
            if loss.is_excused or sent_at <= loss.time:
                continue
            alive = _Loss(loss.round, loss.time, is_excused=True)
            self._update(digest, feature.generation, {upstream: alive})
            changed.append(digest)
        return changed

    def merge(self, messages: Iterable[pb.SuspectFeature], age: float = 0.0) -> None:
        """Merge another host's features, received in a message that is `age` old."""
        now = self._now()
        for message in messages:
            losses = {
                (each.upstream, each.incarnation): _Loss(
                    each.round, now - age - each.age, each.is_excused
                )
                for each in message.losses
            }
            trial = (message.trials, now - age - message.tried_age)
            self._update(message.digest, message.generation, losses, trial)

    def digests(self) -> list[int]:
        """Return the digests of all features."""
        return list(self._features)

    def messages_since(self, version: int) -> list[pb.SuspectFeature]:
        """Return the features that have changed on this host after `version`."""
        if version >= self.version:
            return []
        return self.messages_of(
            digest
            for digest, feature in self._features.items()
            if feature.version > version
        )

    def messages_of(self, digests: Iterable[int]) -> list[pb.SuspectFeature]:
        """Return some features, without those that have been forgotten."""
        return [
            self._to_message(digest, self._features[digest])
            for digest in digests
            if digest in self._features
        ]

    def forget_old(self) -> None:
        """Forget the features that haven't changed for long."""
        limit = self._now() - _FORGET_SECONDS
        for digest, feature in list(self._features.items()):
            if feature.changed_at <= limit:
                self._forget(digest)

    def _blamed(self) -> set[int]:
        """Return the features that are blamed for their losses."""
        if self._cached_blamed is None:
            self._cached_blamed = self._find_blamed()
        return self._cached_blamed

    def _find_blamed(self) -> set[int]:
        contents: set[int] = set()
        explained: set[UpstreamKey] = set()
        parts: dict[int, dict[UpstreamKey, int]] = {}
        for digest, feature in self._features.items():
            if len(feature.losses) < MIN_LOSSES:
                continue
            rounds = {
                upstream: loss.round
                for upstream, loss in feature.losses.items()
                if not loss.is_excused
            }
            if len(rounds) < MIN_LOSSES:
                continue
            if _is_part(digest):
                parts[digest] = rounds
            else:
                contents.add(digest)
                explained |= rounds.keys()
        return contents | find_blamed(parts, explained)

    def _block_end(self, digest: int) -> float:
        """Return the monotonic time at which a blamed feature may be tried."""
        feature = self._features[digest]
        rule, further = _PART_RULE, feature.trials
        if not _is_part(digest):
            rounds = len({loss.round for loss in feature.counted})
            rule, further = _CONTENT_RULE, max(rounds - 1, further)
        seconds = min(rule.first_seconds * rule.factor**further, _MAX_BLOCK_SECONDS)
        latest = max(feature.tried_at, *(loss.time for loss in feature.counted))
        return latest + seconds * (1.0 + rule.stagger_factor * self._stagger)

    def _count_blocked(self, is_counted: Callable[[int], bool]) -> int:
        return sum(
            self.blocked_seconds(digest) > 0
            for digest in self._blamed()
            if is_counted(digest)
        )

    def _to_message(self, digest: int, feature: _Feature) -> pb.SuspectFeature:
        now = self._now()
        losses = [
            pb.FeatureLoss(
                upstream=name,
                incarnation=incarnation,
                round=loss.round,
                age=now - loss.time,
                is_excused=loss.is_excused,
            )
            for (name, incarnation), loss in feature.losses.items()
        ]
        return pb.SuspectFeature(
            digest=digest,
            generation=feature.generation,
            losses=losses,
            trials=feature.trials,
            tried_age=now - feature.tried_at,
        )

    def _update(
        self,
        digest: int,
        generation: int,
        losses: dict[UpstreamKey, _Loss],
        trial: tuple[int, float] = (0, 0.0),
    ) -> bool:
        """Add losses, and the number and time of the latest trial, of a generation.

        Return whether that changes anything.
        """
        feature = self._features.get(digest) or _Feature()
        if generation < feature.generation:
            return False
        before = len(feature.counted)
        has_changed = generation > feature.generation
        if has_changed:
            self._drop_losses(digest, feature)
            feature.generation = generation
            feature.trials, feature.tried_at = 0, 0.0
        if trial[0] > feature.trials:
            feature.trials, feature.tried_at = trial
            has_changed = True
        for upstream, loss in losses.items():
            has_changed |= self._add_loss(digest, feature, upstream, loss)
        if has_changed:
            self._record_change(digest, feature, max(before, len(feature.counted)))
        return has_changed

    def _add_loss(
        self, digest: int, feature: _Feature, upstream: UpstreamKey, loss: _Loss
    ) -> bool:
        known = feature.losses.get(upstream)
        if known is not None:
            is_new = loss.is_excused and not known.is_excused
            known.is_excused = known.is_excused or loss.is_excused
            return is_new
        feature.losses[upstream] = loss
        self._lost[upstream].add(digest)
        if len(feature.losses) <= _MAX_LOSSES:
            return True
        # The order is the same on all hosts, so that their sets converge.
        first = min(feature.losses, key=lambda key: (feature.losses[key].round, key))
        del feature.losses[first]
        self._drop_index(first, digest)
        return first != upstream

    def _record_change(self, digest: int, feature: _Feature, losses: int) -> None:
        self.version += 1
        self._cached_blamed = None
        feature.version = self.version
        feature.changed_at = self._now()
        self._features[digest] = feature
        if len(self._features) > _MAX_FEATURES + _MAX_EXCESS:
            for least in sorted(self._features, key=self._value_of)[:-_MAX_FEATURES]:
                self._forget(least)
        if losses < _URGENT_LOSSES:
            return
        self.urgent_version = self.version
        for subscriber in self._subscribers:
            subscriber()

    def _value_of(self, digest: int) -> tuple[int, float]:
        """Return by what features are kept if there are too many."""
        feature = self._features[digest]
        return len(feature.counted), feature.changed_at

    def _forget(self, digest: int) -> None:
        self._drop_losses(digest, self._features.pop(digest))
        self._cached_blamed = None

    def _drop_losses(self, digest: int, feature: _Feature) -> None:
        for upstream in feature.losses:
            self._drop_index(upstream, digest)
        feature.losses = {}

    def _drop_index(self, upstream: UpstreamKey, digest: int) -> None:
        digests = self._lost[upstream]
        digests.discard(digest)
        if not digests:
            del self._lost[upstream]


def part_digest(part_hash: int) -> int:
    """Return the digest of a prompt part with a 64-bit hash."""
    return _PART_MARK << _PART_BITS | part_hash % (1 << _PART_BITS)


def _is_part(digest: int) -> bool:
    return digest >> _PART_BITS == _PART_MARK
