"""The bound on what all hosts together may retry, for tests of any kind."""

import bisect
from collections.abc import Sequence
from dataclasses import dataclass

__all__ = ["RetryRule"]


@dataclass(frozen=True, slots=True)
class RetryRule:
    """Repeats for each request, those allowed besides, and the window in seconds."""

    ratio: float
    allowance: float
    window: float

    def check(self, asked: Sequence[float], repeats: Sequence[float]) -> None:
        """Fail if more repeats have arrived in a window than are allowed.

        Both are times in order. The requests count that were sent in the window, in the
        one before, or in the one half a window before, whichever has most.
        """
        for first in repeats:
            count = _count(repeats, first, first + self.window)
            most = max(
                _count(asked, first - shift, first - shift + self.window)
                for shift in (0.0, self.window / 2, self.window)
            )
            allowed = self.ratio * most + self.allowance
            assert count <= allowed, (first, count, allowed)


def _count(times: Sequence[float], begin: float, end: float) -> int:
    """Return how many times lie from `begin` on and before `end`."""
    return bisect.bisect_left(times, end) - bisect.bisect_left(times, begin)
