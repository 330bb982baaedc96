"""Upstreams that get nothing from this host for a while."""

from collections.abc import Callable, Iterable

from pepperstep.coordination import UpstreamKey

__all__ = ["Backoff"]


class Backoff:
    """Times until which this host sends upstreams nothing."""

    def __init__(self, now: Callable[[], float]):
        self._now = now
        self._until: dict[UpstreamKey, float] = {}

    def hold(self, upstream: UpstreamKey, seconds: float) -> None:
        """Send an upstream nothing for so long, or longer if that was said before."""
        until = self._now() + seconds
        self._until[upstream] = max(until, self._until.get(upstream, until))

    def is_held(self, upstream: UpstreamKey) -> bool:
        """Whether an upstream gets nothing now."""
        return self._now() < self._until.get(upstream, 0.0)

    def shortest(self, upstreams: Iterable[UpstreamKey]) -> float:
        """Return the seconds until the first of the held ones isn't, 0 for none."""
        now = self._now()
        waits = (self._until.get(upstream, 0.0) - now for upstream in upstreams)
        return min((wait for wait in waits if wait > 0), default=0.0)

    def forget(self, upstream: UpstreamKey) -> None:
        """Drop what is known of an upstream that is gone."""
        self._until.pop(upstream, None)
