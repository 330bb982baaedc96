"""Selects the version of a service's software for each request."""

from collections.abc import Callable, Collection

import xxhash

from pepperstep.coordination.records import Announcement, UpstreamKey
from pepperstep.ports.relaying import RequestFacts
from pepperstep.rollouts.records import Rollout, RolloutState

__all__ = ["VersionSplit"]

# Time for which upstreams of a newly seen version get no requests, as they may belong
# to a roll-out that this host has not learned of yet.
_NEW_VERSION_DELAY_SECONDS = 3.0
_HASH_RANGE = 2.0**64


class VersionSplit:
    """Splits each service's requests on one host between its versions.

    `is_judged` returns whether this host's outcomes of a roll-out reach the control
    host that evaluates them. A new version gets no requests otherwise.
    """

    def __init__(self, now: Callable[[], float], is_judged: Callable[[Rollout], bool]):
        self._now = now
        self._is_judged = is_judged
        self._rollouts: dict[str, Rollout] = {}
        # Time at which each version was first seen, by service.
        self._first_seen: dict[str, dict[str, float]] = {}
        # Log index of the latest known change.
        self.index = 0

    def get(self, service: str) -> Rollout | None:
        """Return a service's latest roll-out, or None."""
        return self._rollouts.get(service)

    def running(self) -> list[Rollout]:
        """Return the undecided roll-outs."""
        return [each for each in self._rollouts.values() if each.is_running]

    def update(self, rollout: Rollout) -> bool:
        """Apply a roll-out's state and return whether it was newer."""
        known = self._rollouts.get(rollout.service)
        if known is not None and known.index >= rollout.index:
            return False
        self._rollouts[rollout.service] = rollout
        self.index = max(self.index, rollout.index)
        return True

    def observe_upstream(self, upstream: Announcement) -> None:
        """Record when the version of an upstream was first seen."""
        versions = self._first_seen.setdefault(upstream.service, {})
        versions.setdefault(upstream.software, self._now())

    def is_new(self, upstream: Announcement) -> bool:
        """Whether an upstream runs the new version of an undecided roll-out."""
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
        """Return the upstreams of a service that a request may be sent to.

        A request that the new version failed is retried on other versions only.
        """
        rollout = self._rollouts.get(service)
        if rollout is None:
            return self._exclude_recent_versions(service, upstreams)
        if rollout.state is RolloutState.SUCCEEDED:
            return [each for each in upstreams if each.software not in rollout.replaced]
        others = [each for each in upstreams if each.software != rollout.to]
        if not rollout.is_running:
            return others
        new = [each for each in upstreams if each.software == rollout.to]
        has_failed = any(each.key in tried for each in new)
        if not new or has_failed or not self._is_in_new_share(rollout, facts):
            return others
        return new

    def select_bound(
        self, service: str, upstreams: list[Announcement], software: str
    ) -> list[Announcement]:
        """Return the upstreams that may go on with a stream of a software version.

        The shares of a running roll-out are for new requests. A version that it has
        withdrawn gets nothing more.
        """
        rollout = self._rollouts.get(service)
        if rollout is not None and _is_withdrawn(rollout, software):
            return []
        return [each for each in upstreams if each.software == software]

    def _is_in_new_share(self, rollout: Rollout, facts: RequestFacts) -> bool:
        """Whether a request belongs to the new version's share.

        The request's session is hashed, so that all its requests go to the same
        version and stay on the new version as the share grows.
        """
        if not rollout.share or not self._is_judged(rollout):
            return False
        name = facts.prompt_parts[-1].id if facts.prompt_parts else facts.attempt_id
        text = f"{rollout.service}/{rollout.number}/{name}"
        position = xxhash.xxh64_intdigest(text.encode()) / _HASH_RANGE
        return position < rollout.share

    def _exclude_recent_versions(
        self, service: str, upstreams: list[Announcement]
    ) -> list[Announcement]:
        versions = self._first_seen.get(service, {})
        if len(versions) < 2:
            return upstreams
        first = min(versions.values())
        limit = self._now() - _NEW_VERSION_DELAY_SECONDS
        known = [
            each
            for each in upstreams
            if not first < versions.get(each.software, first) > limit
        ]
        return known or upstreams


def _is_withdrawn(rollout: Rollout, software: str) -> bool:
    """Whether a roll-out has ended the use of a version."""
    if rollout.state is RolloutState.SUCCEEDED:
        return software in rollout.replaced
    return rollout.state is RolloutState.ROLLED_BACK and software == rollout.to
