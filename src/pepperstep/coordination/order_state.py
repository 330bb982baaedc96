"""What the holder of the duty has ordered for a service, and what became of it."""

from collections.abc import Callable
from dataclasses import dataclass

from pepperstep.ports.orders import UpstreamOrder

__all__ = ["OrderState"]

# An order whose effect isn't seen is sent again after so long, in seconds: an
# older order that was carried out late may have undone it.
_RESEND_SECONDS = 5.0
# Pause after a zone has refused reclaimable upstreams, in seconds.
_EXHAUSTED_PAUSE_SECONDS = 2.0
# Time for which a zone counts as without them after that pause, in seconds: until
# it was asked again, in the next round at the latest.
_EXHAUSTED_SLACK_SECONDS = 1.5
# Time after its start in which a holder finds out what was lost before, in seconds.
_DISCOVERY_SECONDS = 5.0
# Fewer upstreams are ordered only once fewer were enough for so long.
_SCALE_DOWN_SECONDS = 15.0
# The same for steady ones, which cost five times as much.
_SCALE_DOWN_STEADY_SECONDS = 2.0


@dataclass(slots=True)
class _Sent:
    """The newest order for one zone and kind."""

    count: int
    sent_at: float
    # Whether the platform has taken it.
    is_accepted: bool = False


class OrderState:
    """The orders of one service, each for a zone and a kind."""

    def __init__(self, now: Callable[[], float]):
        self._now = now
        self._started_at = now()
        self._sent: dict[tuple[str, bool], _Sent] = {}
        # Zones without reclaimable upstreams, and when they are asked again.
        self._exhausted_until: dict[str, float] = {}
        # When each of them was first found without any, where that was seen to come.
        self._exhausted_since: dict[str, float] = {}
        # Time since which fewer were enough.
        self._lower_since: dict[tuple[str, bool], float] = {}
        # Whether nothing was asked for since the whole system's start. Then fewer are
        # ordered at once, also where others may stand that aren't heard of yet: they
        # cost their full price meanwhile.
        self.is_unused = False

    @property
    def exhausted_zones(self) -> frozenset[str]:
        """The zones that give out no reclaimable upstreams."""
        now = self._now()
        return frozenset(
            zone
            for zone, end in self._exhausted_until.items()
            if end + _EXHAUSTED_SLACK_SECONDS > now
        )

    def are_losses_clustered(self, seconds: float) -> bool:
        """Whether two zones were found without any within so long of each other.

        Then the next one may be lost before others have started.
        """
        times = sorted(
            at
            for zone, at in self._exhausted_since.items()
            if zone in self.exhausted_zones
        )
        pairs = zip(times, times[1:], strict=False)
        return any(later - earlier <= seconds for earlier, later in pairs)

    def expected_count(self, zone: str, is_reclaimable: bool, running: int) -> int:
        """Return how many stand, or were ordered and have yet to start."""
        sent = self._sent.get((zone, is_reclaimable))
        if sent is None or not sent.is_accepted:
            return running
        is_recent = self._now() - sent.sent_at < _RESEND_SECONDS
        return max(running, sent.count) if is_recent else running

    def next_order(
        self, service: str, zone: str, is_reclaimable: bool, planned: int, running: int
    ) -> UpstreamOrder | None:
        """Return the order that is due for a zone and kind, None if there is none."""
        count = self._delay_decrease(zone, is_reclaimable, planned, running)
        if not self._is_due(zone, is_reclaimable, count, running):
            return None
        return UpstreamOrder(service, zone, is_reclaimable, count)

    def record_sent(self, order: UpstreamOrder) -> None:
        """Take in that an order is on its way."""
        key = (order.zone, order.is_reclaimable)
        self._sent[key] = _Sent(order.count, self._now())

    def record_accepted(self, order: UpstreamOrder) -> None:
        """Take in that the platform has taken the order sent last."""
        self._sent[order.zone, order.is_reclaimable].is_accepted = True
        if order.is_reclaimable:
            self._exhausted_until.pop(order.zone, None)

    def mark_exhausted(self, zone: str) -> None:
        """Take in that a zone gives out no reclaimable upstreams now."""
        now = self._now()
        if now - self._started_at < _DISCOVERY_SECONDS:
            # A new holder finds at once what was lost one after the other.
            self._exhausted_since.pop(zone, None)
        elif zone not in self.exhausted_zones:
            self._exhausted_since[zone] = now
        self._exhausted_until[zone] = self._now() + _EXHAUSTED_PAUSE_SECONDS

    def _delay_decrease(
        self, zone: str, is_reclaimable: bool, planned: int, running: int
    ) -> int:
        """Return what is planned, or what is there until less was enough for a while.

        Those that were ordered and have yet to start are there: to cancel them and
        to order them again a second later costs their whole start.
        """
        key = (zone, is_reclaimable)
        present = self.expected_count(zone, is_reclaimable, running)
        if planned >= present or self.is_unused:
            self._lower_since.pop(key, None)
            return planned
        now = self._now()
        since = self._lower_since.setdefault(key, now)
        delay = _SCALE_DOWN_SECONDS if is_reclaimable else _SCALE_DOWN_STEADY_SECONDS
        return planned if now - since >= delay else present

    def _is_due(
        self, zone: str, is_reclaimable: bool, count: int, running: int
    ) -> bool:
        now = self._now()
        if is_reclaimable and self._exhausted_until.get(zone, 0.0) > now:
            return False
        sent = self._sent.get((zone, is_reclaimable))
        if sent is None:
            return count != running or (self.is_unused and running > 0)
        if sent.count != count or not sent.is_accepted:
            return True
        return now - sent.sent_at >= _RESEND_SECONDS and count != running
