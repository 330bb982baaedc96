"""Which versions of a service's software a request may go to."""

from collections.abc import Callable, Collection

import xxhash

from pepperstep.coordination.records import Announcement, UpstreamKey
from pepperstep.ports.relaying import RequestFacts
from pepperstep.rollouts.records import Rollout, RolloutState

__all__ = ["VersionSplit"]

# Time for which upstreams of a version that has just appeared wait, in seconds: they
# may belong to a roll-out that this host hasn't heard of.
_UNKNOWN_SECONDS = 3.0
_HASH_RANGE = 2.0**64


class VersionSplit:
    """Splits each service's requests between its versions, as one host does it.

    `is_judged` tells whether what this host sees of a roll-out reaches its judge: a
    new version that nobody judges gets nothing.
    """

    def __init__(self, now: Callable[[], float], is_judged: Callable[[Rollout], bool]):
        self._now = now
        self._is_judged = is_judged
        self._rollouts: dict[str, Rollout] = {}
        # When a version was first seen, by service.
        self._seen: dict[str, dict[str, float]] = {}
        # Position in the log of the newest change that is known.
        self.index = 0

    def get(self, service: str) -> Rollout | None:
        """Return a service's latest roll-out, None if it had none."""
        return self._rollouts.get(service)

    def running(self) -> list[Rollout]:
        """Return the roll-outs that are undecided."""
        return [each for each in self._rollouts.values() if each.is_running]

    def update(self, rollout: Rollout) -> bool:
        """Take in a roll-out's state and return whether it's newer."""
        known = self._rollouts.get(rollout.service)
        if known is not None and known.index >= rollout.index:
            return False
        self._rollouts[rollout.service] = rollout
        self.index = max(self.index, rollout.index)
        return True

    def observe_upstream(self, upstream: Announcement) -> None:
        """Take in that an upstream of a version is there."""
        versions = self._seen.setdefault(upstream.service, {})
        versions.setdefault(upstream.software, self._now())

    def is_new(self, upstream: Announcement) -> bool:
        """Whether an upstream is of the version that a running roll-out brings."""
        rollout = self._rollouts.get(upstream.service)
        if rollout is None or not rollout.is_running:
            return False
        return upstream.software == rollout.to

    def select(
        self,
        service: str,
        upstreams: list[Announcement],
        facts: RequestFacts,
        tried: Collection[UpstreamKey] = (),
    ) -> list[Announcement]:
        """Return those of a service's upstreams that a request may go to.

        What a new version has failed is tried again on the others only.
        """
        rollout = self._rollouts.get(service)
        if rollout is None:
            return self._without_unknown(service, upstreams)
        if rollout.state is RolloutState.SUCCEEDED:
            return [each for each in upstreams if each.software not in rollout.replaced]
        others = [each for each in upstreams if each.software != rollout.to]
        if not rollout.is_running:
            return others
        new = [each for each in upstreams if each.software == rollout.to]
        has_failed = any(each.key in tried for each in new)
        if not new or has_failed or not self._draws_new(rollout, facts):
            return others
        return new

    def _draws_new(self, rollout: Rollout, facts: RequestFacts) -> bool:
        """Whether a request is among the new version's share.

        A session's requests are drawn alike, and stay while the share grows.
        """
        if not rollout.share or not self._is_judged(rollout):
            return False
        name = facts.prompt_parts[-1].id if facts.prompt_parts else facts.attempt_id
        text = f"{rollout.service}/{rollout.number}/{name}"
        drawn = xxhash.xxh64_intdigest(text.encode()) / _HASH_RANGE
        return drawn < rollout.share

    def _without_unknown(
        self, service: str, upstreams: list[Announcement]
    ) -> list[Announcement]:
        versions = self._seen.get(service, {})
        if len(versions) < 2:
            return upstreams
        first = min(versions.values())
        limit = self._now() - _UNKNOWN_SECONDS
        known = [
            each
            for each in upstreams
            if not first < versions.get(each.software, first) > limit
        ]
        return known or upstreams
