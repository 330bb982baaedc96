"""Upstreams that get nothing from this host for a while."""

from collections.abc import Callable, Iterable

from absl import logging

from pepperstep.coordination import UpstreamKey
from pepperstep.observability.decisions import UpstreamHeld

__all__ = ["Backoff"]


class Backoff:
    """Times until which this host sends upstreams nothing."""

    def __init__(self, now: Callable[[], float]):
        self._now = now
        self._until: dict[UpstreamKey, float] = {}

    def hold(
        self, upstream: UpstreamKey, seconds: float, reason: str, asked: str = ""
    ) -> None:
        """Send an upstream nothing for so long, or longer if that was said before.

        `asked` names the host that decided it, "" for this one.
        """
        until = self._now() + seconds
        if until <= self._until.get(upstream, 0.0):
            return
        self._until[upstream] = until
        name, incarnation = upstream
        event = UpstreamHeld(name, incarnation, reason, round(1000 * seconds), asked)
        logging.info("backoff: %s", event)

    def is_held(self, upstream: UpstreamKey) -> bool:
        """Whether an upstream gets nothing now."""
        return self._now() < self._until.get(upstream, 0.0)

    def shortest(self, upstreams: Iterable[UpstreamKey]) -> float:
        """Return the seconds for which all are held, 0 if one isn't."""
        if not self._until:
            return 0.0
        now = self._now()
        waits = (self._until.get(upstream, 0.0) - now for upstream in upstreams)
        return max(0.0, min(waits, default=0.0))

    def forget(self, upstream: UpstreamKey) -> None:
        """Drop what is known of an upstream that is gone."""
        self._until.pop(upstream, None)
