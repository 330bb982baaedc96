"""The orders sent for a service's upstreams and their outcomes."""

from collections.abc import Callable
from dataclasses import dataclass

from pepperstep.ports.orders import UpstreamOrder

__all__ = ["OrderState"]

# Time after which an order without visible effect is sent again, in seconds: an older
# order that was executed late may have undone it.
_RESEND_SECONDS = 5.0
# Pause after a zone has refused reclaimable upstreams, in seconds.
_EXHAUSTED_PAUSE_SECONDS = 2.0
# Time after the pause for which the zone still counts as exhausted, in seconds. By then
# it has been asked again, in the next round at the latest.
_EXHAUSTED_SLACK_SECONDS = 1.5
# Time after its start in which a holder discovers earlier losses, in seconds.
_DISCOVERY_SECONDS = 5.0
# Time for which fewer upstreams must suffice before fewer are ordered, in seconds.
_SCALE_DOWN_SECONDS = 15.0
# Time for which fewer steady upstreams must suffice before fewer are ordered, in
# seconds. They cost five times as much as reclaimable ones.
_SCALE_DOWN_STEADY_SECONDS = 2.0


@dataclass(slots=True)
class _Sent:
    """The latest order for one zone and kind."""

    count: int
    sent_at: float
    # Whether the platform has accepted it.
    is_accepted: bool = False


class OrderState:
    """The orders of one service by zone and kind."""

    def __init__(self, now: Callable[[], float]):
        self._now = now
        self._started_at = now()
        self._sent: dict[tuple[str, bool], _Sent] = {}
        # Time until which each zone without reclaimable upstreams isn't asked.
        self._exhausted_until: dict[str, float] = {}
        # Time at which each such zone became exhausted, if that was observed.
        self._exhausted_since: dict[str, float] = {}
        # Time since which fewer upstreams suffice, by zone and kind.
        self._lower_since: dict[tuple[str, bool], float] = {}
        # Whether there has been no demand since the system's start. Then fewer
        # upstreams are ordered at once, also where unannounced ones may run, as all of
        # them cost their full price meanwhile.
        self.is_unused = False

    @property
    def exhausted_zones(self) -> frozenset[str]:
        """The zones that provide no reclaimable upstreams."""
        now = self._now()
        return frozenset(
            zone
            for zone, end in self._exhausted_until.items()
            if end + _EXHAUSTED_SLACK_SECONDS > now
        )

    def are_losses_clustered(self, seconds: float) -> bool:
        """Whether two zones became exhausted within `seconds` of each other.

        Then the next zone may be lost before replacements have started.
        """
        times = sorted(
            at
            for zone, at in self._exhausted_since.items()
            if zone in self.exhausted_zones
        )
        pairs = zip(times, times[1:], strict=False)
        return any(later - earlier <= seconds for earlier, later in pairs)

    def expected_count(self, zone: str, is_reclaimable: bool, running: int) -> int:
        """Return how many run or have been ordered recently."""
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
        """Record that an order is being sent."""
        key = (order.zone, order.is_reclaimable)
        self._sent[key] = _Sent(order.count, self._now())

    def record_accepted(self, order: UpstreamOrder) -> None:
        """Record that the platform has accepted the latest order."""
        self._sent[order.zone, order.is_reclaimable].is_accepted = True
        if order.is_reclaimable:
            self._exhausted_until.pop(order.zone, None)

    def mark_exhausted(self, zone: str) -> None:
        """Record that a zone provides no reclaimable upstreams."""
        now = self._now()
        if now - self._started_at < _DISCOVERY_SECONDS:
            # A new holder discovers at once zones that were lost one after the other.
            self._exhausted_since.pop(zone, None)
        elif zone not in self.exhausted_zones:
            self._exhausted_since[zone] = now
        self._exhausted_until[zone] = self._now() + _EXHAUSTED_PAUSE_SECONDS

    def _delay_decrease(
        self, zone: str, is_reclaimable: bool, planned: int, running: int
    ) -> int:
        """Return the planned count, but decrease only after a delay.

        Upstreams that were ordered and are starting count as present: cancelling them
        and ordering them again a second later costs their whole start time.
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
