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
        self._all: OrderedDict[str, list[Explanation]] = OrderedDict()

    def add(self, explanation: Explanation) -> None:
        """Keep one, and drop the oldest request's if there are too many."""
        self._all.setdefault(explanation.request_id, []).append(explanation)
        if len(self._all) > self._size:
            self._all.popitem(last=False)

    def find(self, request_id: str) -> list[Explanation]:
        """Return a request's placements in their order."""
        return list(self._all.get(request_id, ()))
