"""History of each request, shown by `pepperstep explain REQUEST_ID`."""

import enum
from collections import OrderedDict
from dataclasses import dataclass, field

from pepperstep.ports import Timers

__all__ = ["Explanation", "Explanations", "Step", "StepKind"]

_MAX_REQUESTS = 10_000
_MAX_STEPS = 64


class StepKind(enum.StrEnum):
    """Kind of an event in the processing of a request."""

    ACCEPTED = "accepted"
    # The second host recorded the request.
    RECORDED = "recorded"
    CLAIMED = "claimed"
    QUEUED = "queued"
    # An attempt was sent to an upstream.
    DISPATCHED = "dispatched"
    REFUSED = "refused"
    LOST = "lost"
    EXPORTED = "exported"
    MOVED = "moved"
    # This host took the request over from its previous owner.
    TAKEN_OVER = "taken_over"
    HANDED_OVER = "handed_over"
    ANSWERED = "answered"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Step:
    """One event in the processing of a request."""

    # Unix time in seconds.
    at: float
    kind: StepKind
    # Entry host that the step concerns: the owner or the second host.
    host: str = ""
    attempt: int = 0
    upstream: str = ""
    reason: str = ""


@dataclass(slots=True)
class Explanation:
    """Steps of a request that this host recorded, oldest first."""

    request_id: str
    # Host that recorded the steps.
    told_by: str
    steps: list[Step] = field(default_factory=list)
    # Number of steps dropped from the middle to bound the memory.
    left_out: int = 0


class Explanations:
    """Explanations of the latest requests of one host.

    The oldest explanation is evicted once there are more than `max_requests`.
    """

    def __init__(self, host: str, timers: Timers, max_requests: int = _MAX_REQUESTS):
        self._host = host
        self._timers = timers
        self._max_requests = max_requests
        self._by_request_id: OrderedDict[str, Explanation] = OrderedDict()

    def note(
        self,
        request_id: str,
        kind: StepKind,
        *,
        host: str = "",
        attempt: int = 0,
        upstream: str = "",
        reason: str = "",
    ) -> None:
        """Record a step of a request at the current time."""
        explanation = self._by_request_id.get(request_id)
        if explanation is None:
            explanation = self._add(request_id)
        step = Step(self._timers.wall(), kind, host, attempt, upstream, reason)
        explanation.steps.append(step)
        if len(explanation.steps) > _MAX_STEPS:
            # The first and the latest steps are the most informative.
            del explanation.steps[_MAX_STEPS // 2]
            explanation.left_out += 1

    def find(self, request_id: str) -> Explanation | None:
        """Return the explanation of a request, None if this host has none."""
        return self._by_request_id.get(request_id)

    def _add(self, request_id: str) -> Explanation:
        while len(self._by_request_id) >= self._max_requests:
            self._by_request_id.popitem(last=False)
        explanation = Explanation(request_id, self._host)
        self._by_request_id[request_id] = explanation
        return explanation
