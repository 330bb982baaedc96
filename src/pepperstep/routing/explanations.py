"""Why requests were placed where they were."""

from collections import OrderedDict
from dataclasses import dataclass

from pepperstep.routing.prediction import Prediction

__all__ = ["Explanation", "Explanations"]


@dataclass(frozen=True, slots=True)
class Explanation:
    """One attempt's placement."""

    request_id: str
    attempt: int
    upstream: str
    # Unix time, and seconds waited before it.
    placed_at: float
    waited: float
    policy: str
    reason: str
    # Why there was an earlier attempt to follow, "" for a first one.
    retry_cause: str
    considered: tuple[Prediction, ...]


class Explanations:
    """The last placements, by request."""

    def __init__(self, size: int):
        self._size = size
        self._by_request: OrderedDict[str, list[Explanation]] = OrderedDict()

    def add(self, explanation: Explanation) -> None:
        """Keep one, and drop the oldest request's if there are too many."""
        self._by_request.setdefault(explanation.request_id, []).append(explanation)
        if len(self._by_request) > self._size:
            self._by_request.popitem(last=False)

    def find(self, request_id: str) -> list[Explanation]:
        """Return a request's placements in their order."""
        return list(self._by_request.get(request_id, ()))
