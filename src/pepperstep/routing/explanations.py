"""Records of routing decisions, kept to explain them to operators."""

from collections import OrderedDict
from dataclasses import dataclass

from pepperstep.routing.prediction import Prediction

__all__ = ["Explanation", "Explanations"]


@dataclass(frozen=True, slots=True)
class Explanation:
    """The routing decision for one attempt."""

    request_id: str
    attempt: int
    upstream: str
    # Unix time.
    placed_at: float
    # Seconds in the queue.
    waited: float
    policy: str
    reason: str
    # Cause of the retry, "" for a first attempt.
    retry_cause: str
    considered: tuple[Prediction, ...]


class Explanations:
    """The latest routing decisions by request."""

    def __init__(self, size: int):
        self._size = size
        self._by_request: OrderedDict[str, list[Explanation]] = OrderedDict()

    def add(self, explanation: Explanation) -> None:
        """Add a decision; evict the oldest request beyond the size."""
        self._by_request.setdefault(explanation.request_id, []).append(explanation)
        if len(self._by_request) > self._size:
            self._by_request.popitem(last=False)

    def find(self, request_id: str) -> list[Explanation]:
        """Return the decisions for a request, oldest first."""
        return list(self._by_request.get(request_id, ()))
