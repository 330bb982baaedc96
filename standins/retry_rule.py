"""Bound on the retries of all hosts together."""

import bisect
from collections.abc import Sequence
from dataclasses import dataclass

__all__ = ["RetryRule"]


@dataclass(frozen=True, slots=True)
class RetryRule:
    """Retry budget of `ratio` times the requests plus `allowance` per window.

    `window` is in seconds.
    """

    ratio: float
    allowance: float
    window: float

    def check(
        self, request_times: Sequence[float], retry_times: Sequence[float]
    ) -> None:
        """Fail if any window has more retries than the budget allows."""
        windows = self.windows(request_times, retry_times)
        for first, (count, allowed) in zip(retry_times, windows, strict=True):
            assert count <= allowed, (first, count, allowed)

    def windows(
        self, request_times: Sequence[float], retry_times: Sequence[float]
    ) -> list[tuple[int, float]]:
        """Return the retries and the permitted ones of the window after each retry.

        Both arguments are sorted times. The budget of a window is based on the largest
        number of requests sent in that window, in the window half a length earlier, or
        in the one a full length earlier.
        """
        windows = []
        for first in retry_times:
            count = _count(retry_times, first, first + self.window)
            request_count = max(
                _count(request_times, first - shift, first - shift + self.window)
                for shift in (0.0, self.window / 2, self.window)
            )
            windows.append((count, self.ratio * request_count + self.allowance))
        return windows


def _count(times: Sequence[float], begin: float, end: float) -> int:
    """Return the number of times in the half-open interval from `begin` to `end`."""
    return bisect.bisect_left(times, end) - bisect.bisect_left(times, begin)
