"""What happened to each request, for `pepperstep explain REQUEST_ID`."""

import enum
from collections import OrderedDict
from dataclasses import dataclass, field

from pepperstep.ports import Timers

__all__ = ["Explanation", "Explanations", "Step", "StepKind"]

_MAX_REQUESTS = 10_000
_MAX_STEPS = 64


class StepKind(enum.StrEnum):
    """What happened to a request."""

    ACCEPTED = "accepted"
    # The second host recorded it.
    RECORDED = "recorded"
    CLAIMED = "claimed"
    QUEUED = "queued"
    # An attempt was sent to an upstream.
    DISPATCHED = "dispatched"
    REFUSED = "refused"
    LOST = "lost"
    EXPORTED = "exported"
    MOVED = "moved"
    # This host became the owner after another one.
    TAKEN_OVER = "taken_over"
    HANDED_OVER = "handed_over"
    ANSWERED = "answered"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Step:
    """One thing that happened to a request."""

    # Unix time in seconds.
    at: float
    kind: StepKind
    # Entry host that it concerns: the owner, or the second.
    host: str = ""
    attempt: int = 0
    upstream: str = ""
    reason: str = ""


@dataclass(slots=True)
class Explanation:
    """All that this host knows of a request, oldest first."""

    request_id: str
    # Host that tells it.
    told_by: str
    steps: list[Step] = field(default_factory=list)
    # Steps that were left out as there were too many, after the first ones.
    left_out: int = 0


class Explanations:
    """Explanations of the last requests of one host.

    The oldest request is forgotten once there are more than `max_requests`.
    """

    def __init__(self, host: str, timers: Timers, max_requests: int = _MAX_REQUESTS):
        self._host = host
        self._timers = timers
        self._max_requests = max_requests
        self._all: OrderedDict[str, Explanation] = OrderedDict()

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
        """Note what happened now."""
        explanation = self._all.get(request_id)
        if explanation is None:
            explanation = self._add(request_id)
        step = Step(self._timers.wall(), kind, host, attempt, upstream, reason)
        explanation.steps.append(step)
        if len(explanation.steps) > _MAX_STEPS:
            # The beginning and the end say most.
            del explanation.steps[_MAX_STEPS // 2]
            explanation.left_out += 1

    def find(self, request_id: str) -> Explanation | None:
        """Return what is known here of a request."""
        return self._all.get(request_id)

    def _add(self, request_id: str) -> Explanation:
        while len(self._all) >= self._max_requests:
            self._all.popitem(last=False)
        explanation = Explanation(request_id, self._host)
        self._all[request_id] = explanation
        return explanation
