"""Accounts of a run: samples of requests, percentiles, shares and sums."""

import math
from collections import Counter, defaultdict
from collections.abc import Callable, Hashable, Iterable, Sequence
from dataclasses import asdict, dataclass, field

__all__ = [
    "Ledger",
    "Percentiles",
    "Sample",
    "count_codes",
    "group",
    "held_share",
    "percentile",
    "served_share",
]

# Codes of accepted requests that got their truthful answer without being served.
_TOLD = ("deadline_expired", "crashing_request", "cancelled")


def percentile(values: Sequence[float], share: float) -> float:
    """Return the least of `values` that `share` of them don't exceed, or 0."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[max(0, math.ceil(share * len(ordered) - 1e-9) - 1)]


@dataclass(frozen=True, slots=True)
class Percentiles:
    """Percentiles of times in seconds."""

    count: int
    p50: float
    p95: float
    p99: float

    @classmethod
    def from_values(cls, values: Iterable[float]) -> "Percentiles":
        """Return the percentiles of the values."""
        known = sorted(values)
        p50, p95, p99 = (percentile(known, share) for share in (0.5, 0.95, 0.99))
        return cls(len(known), p50, p95, p99)

    def to_dict(self) -> dict[str, float]:
        """Return what goes into JSON, in milliseconds."""
        return {
            name: value if name == "count" else round(value * 1000, 1)
            for name, value in asdict(self).items()
        }


@dataclass(slots=True)
class Sample:
    """A request as its caller saw it; times are seconds of virtual time."""

    id: str
    partner: str
    type: str
    workspace: str
    priority: str
    asked_at: float
    deadline: float
    # Seconds that it holds a slot at best, 0 for calls of plain services.
    work: float = 0.0
    is_accepted: bool = False
    first_token: float | None = None
    gaps: list[float] = field(default_factory=list)
    ended_at: float = math.inf
    is_answered: bool = False
    # Answered with what isn't the right answer, or refused though it ran.
    is_wrong: bool = False
    code: str = ""

    @property
    def is_in_time(self) -> bool:
        """Whether it was answered inside its deadline."""
        return self.is_answered and self.ended_at <= self.deadline

    @property
    def is_lost(self) -> bool:
        """Whether it was accepted and its caller got neither answer nor reason.

        One without any end is lost too.
        """
        if self.is_answered or self.code in _TOLD:
            return False
        return self.is_accepted or not self.code

    def is_held(self, first_token: float, between_tokens: float) -> bool:
        """Whether its first token and its mean gap are within the targets."""
        if not self.is_answered or self.first_token is None:
            return False
        gap = sum(self.gaps) / len(self.gaps) if self.gaps else 0.0
        return self.first_token <= first_token and gap <= between_tokens


class Ledger:
    """What the engines computed, by request, and for how long it held slots."""

    def __init__(self) -> None:
        self.first_tokens = 0
        self.recomputed_tokens = 0
        self.attempts: Counter[str] = Counter()
        self.decoded: Counter[str] = Counter()
        # Seconds within the window in which each request held a slot.
        self.held: Counter[str] = Counter()
        self.window = (0.0, math.inf)
        self._computed: set[str] = set()
        self._starts: dict[str, float] = {}

    def note_start(self, attempt_id: str, now: float) -> None:
        """Note that an attempt got its slot."""
        self.attempts[_request_of(attempt_id)] += 1
        self._starts[attempt_id] = now

    def note_computed(self, attempt_id: str, tokens: int) -> None:
        """Note the tokens that an attempt's prefill took."""
        request = _request_of(attempt_id)
        if request in self._computed:
            self.recomputed_tokens += tokens
            return
        self._computed.add(request)
        self.first_tokens += tokens

    def note_end(self, attempt_id: str, now: float) -> None:
        """Note that an attempt gave its slot back, if it had one."""
        start = self._starts.pop(attempt_id, None)
        if start is None:
            return
        begin, end = self.window
        seconds = min(now, end) - max(start, begin)
        self.held[_request_of(attempt_id)] += max(0.0, seconds)

    def note_decoded(self, attempt_id: str) -> None:
        """Note a token of an answer."""
        self.decoded[_request_of(attempt_id)] += 1

    @property
    def retry_share(self) -> float:
        """Attempts beyond the first ones, as a share of those."""
        firsts = len(self.attempts)
        return (self.attempts.total() - firsts) / max(1, firsts)


def group(
    samples: Iterable[Sample], key: Callable[[Sample], Hashable]
) -> dict[Hashable, list[Sample]]:
    """Return the samples by key, in the order of the keys."""
    groups = defaultdict(list)
    for sample in samples:
        groups[key(sample)].append(sample)
    return dict(sorted(groups.items()))


def count_codes(samples: Iterable[Sample], is_accepted: bool) -> dict[str, int]:
    """Return how often each code ended requests, by whether they were accepted."""
    codes = Counter(
        sample.code
        for sample in samples
        if sample.code and sample.is_accepted is is_accepted
    )
    return dict(sorted(codes.items()))


def held_share(
    samples: Sequence[Sample], first_token: float, between_tokens: float
) -> float:
    """Return the share of the requests to engines whose targets were held."""
    model = [sample for sample in samples if sample.work]
    held = sum(sample.is_held(first_token, between_tokens) for sample in model)
    return held / max(1, len(model))


def served_share(samples: Sequence[Sample], fair_work: float) -> float:
    """Return the work served in time over the share that is due.

    Due is what was asked, or `fair_work` if that is less.
    """
    asked = sum(sample.work for sample in samples)
    served = sum(sample.work for sample in samples if sample.is_in_time)
    due = min(asked, fair_work)
    return served / due if due else 1.0


def _request_of(attempt_id: str) -> str:
    return attempt_id.rsplit(".", 2)[0]
