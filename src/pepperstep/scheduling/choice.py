"""Choice of the upstream for a request among those that have room.

Without load, a request gets the upstream with the lowest score, which is mainly the
predicted time to its first token. Under load, slow engines would hardly get work this
way, as they are late for large prompts and fast engines are better for small ones. A
small prompt then goes to the engine with the shortest wait that meets its target.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from pepperstep.coordination import UpstreamKey
from pepperstep.scheduling.capacity import UpstreamCapacity
from pepperstep.scheduling.requests import PlacementRequest

__all__ = ["Candidate", "EngineChoice", "Member", "lowest_score"]

# Mean wait at the best engine, as a fraction of the latency target, from which the
# engines count as loaded. A single wait says little, as one long prompt causes it.
_LOADED_SHARE = 0.15
# Weight of a request in the mean wait.
_REQUEST_WEIGHT = 0.05
# Waits are at most this multiple of the target, so that one can't decide the mean.
_MAX_WAIT_SHARE = 1.0
# Fraction of the time left until the target within which a first token is expected in
# time. The rest is for errors of the prediction.
_TIMELY_SHARE = 0.9
# Prefill of a request past its target, as a fraction of the latency target, above which
# it would keep a slow engine from requests that can still meet theirs.
_LATE_PREFILL_SHARE = 0.5


@dataclass(slots=True)
class Member:
    """A usable upstream of a shard."""

    id: str
    key: UpstreamKey
    capacity: UpstreamCapacity


@dataclass(slots=True)
class Candidate:
    """An upstream that has room for a request; times in seconds.

    `missing` are the tokens to prefill, `delay` is the wait and `own` the time of the
    request itself. `penalty` is for prefilling again what another engine has cached, or
    for an answer that is overdue. `even_own` is the prefill at the mean speed of the
    shard's engines.
    """

    member: Member
    missing: int
    delay: float
    own: float
    penalty: float = 0.0
    even_own: float = 0.0

    @property
    def expected(self) -> float:
        """Predicted time to the first token, or to the answer of a plain service."""
        return self.delay + self.own


def lowest_score(candidates: Sequence[Candidate]) -> Candidate | None:
    """Return the candidate with the lowest score; the first one of equal ones."""
    return min(candidates, key=_score, default=None)


class EngineChoice:
    """Chooses engines of one shard."""

    def __init__(self) -> None:
        # Mean wait at the best engine as a fraction of the target.
        self._wait_share = 0.0

    def choose(
        self, candidates: Sequence[Candidate], request: PlacementRequest
    ) -> Candidate | None:
        """Return the engine for a request, None without candidates."""
        best = lowest_score(candidates)
        if best is None or request.full_target <= 0:
            return best
        wait_share = min(best.delay / request.full_target, _MAX_WAIT_SHARE)
        self._wait_share += _REQUEST_WEIGHT * (wait_share - self._wait_share)
        if self._wait_share < _LOADED_SHARE:
            return best
        return _choose_loaded(candidates, request)


def _choose_loaded(
    candidates: Sequence[Candidate], request: PlacementRequest
) -> Candidate | None:
    """Return the engine with the shortest wait among those that are in time.

    If none is, large prompts stay away from slow engines.
    """
    latest = _TIMELY_SHARE * request.target
    timely = [each for each in candidates if each.expected <= latest]
    if timely:
        return min(timely, key=_even_score)
    longest = latest
    if request.target <= 0:
        longest = _LATE_PREFILL_SHARE * request.full_target
    quick = [each for each in candidates if each.own <= longest]
    return lowest_score(quick or candidates)


def _score(candidate: Candidate) -> float:
    return candidate.delay + candidate.own + candidate.penalty


def _even_score(candidate: Candidate) -> float:
    """Return the score without the difference in speed."""
    return candidate.delay + candidate.even_own + candidate.penalty
