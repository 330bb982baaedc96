"""Holds on upstreams, which get no requests from this host meanwhile."""

from collections.abc import Callable, Iterable

from absl import logging

from pepperstep.coordination import UpstreamKey
from pepperstep.observability.decisions import UpstreamHeld

__all__ = ["Backoff"]


class Backoff:
    """Tracks until when this host sends each upstream no requests."""

    def __init__(self, now: Callable[[], float]):
        self._now = now
        self._held_until: dict[UpstreamKey, float] = {}

    def hold(
        self, upstream: UpstreamKey, seconds: float, reason: str, asked: str = ""
    ) -> None:
        """Hold an upstream for `seconds`, unless an existing hold lasts longer.

        `asked` is the host that decided the hold, "" for this host.
        """
        until = self._now() + seconds
        if until <= self._held_until.get(upstream, 0.0):
            return
        self._held_until[upstream] = until
        name, incarnation = upstream
        event = UpstreamHeld(name, incarnation, reason, round(1000 * seconds), asked)
        logging.info("backoff: %s", event)

    def is_held(self, upstream: UpstreamKey) -> bool:
        """Whether an upstream is held."""
        return self._now() < self._held_until.get(upstream, 0.0)

    def shortest_remaining(self, upstreams: Iterable[UpstreamKey]) -> float:
        """Return the seconds until the first upstream's hold ends, 0 if one is free."""
        if not self._held_until:
            return 0.0
        now = self._now()
        waits = (self._held_until.get(upstream, 0.0) - now for upstream in upstreams)
        return max(0.0, min(waits, default=0.0))

    def forget(self, upstream: UpstreamKey) -> None:
        """Drop the hold on an upstream that is gone."""
        self._held_until.pop(upstream, None)
