"""Retry budgets, causes of retries and backoff."""

import enum
import random

from pepperstep.routing.settings import RoutingSettings

__all__ = ["RetryBudget", "RetryCause", "draw_backoff"]

_INITIAL_TOKENS = 3.0


class RetryCause(enum.StrEnum):
    """Why an attempt is retried."""

    # The upstream is alive and refused the attempt or failed it.
    REFUSED = "refused"
    FAILED = "failed"
    # The upstream was reclaimed, or it or the host owning the request died.
    RECLAIMED = "reclaimed"
    DIED = "died"

    @property
    def may_overdraw(self) -> bool:
        """Whether a retry beyond the budget is delayed instead of refused.

        An accepted request must not be lost because its upstream was.
        """
        return self in (RetryCause.RECLAIMED, RetryCause.DIED)


class _TokenBucket:
    """Token bucket filled by first attempts, with one token per quiet period."""

    __slots__ = ("tokens", "_burst", "_filled_at", "_floor_period")

    def __init__(self, burst: float, floor_period: float, now: float):
        self.tokens = min(_INITIAL_TOKENS, burst)
        self._burst = burst
        self._floor_period = floor_period
        self._filled_at = now

    def record_first_attempt(self, share: float, now: float) -> None:
        """Add a first attempt's share, or the floor rate's tokens if more."""
        floor = (now - self._filled_at) / self._floor_period
        self._filled_at = now
        if floor > share and self.tokens < 1.0:
            self.tokens = min(1.0, self.tokens + floor)
        else:
            self.tokens = min(self._burst, self.tokens + share)

    def spend(self) -> None:
        """Take a token, into debt if there is none."""
        self.tokens = max(-self._burst, self.tokens - 1)

    def is_empty(self, now: float) -> bool:
        """Whether there is no token to take."""
        if now - self._filled_at >= self._floor_period:
            self.tokens = max(1.0, self.tokens)
            self._filled_at = now
        # Ten additions of 0.1 round to less than 1.0.
        return self.tokens < 1.0 - 1e-9


class RetryBudget:
    """Limits retries to a share of first attempts, per workspace and per host."""

    def __init__(self, settings: RoutingSettings, now: float = 0.0):
        self._settings = settings
        self._workspaces: dict[str, _TokenBucket] = {}
        self._host = _TokenBucket(
            settings.host_retry_burst, settings.retry_floor_period, now
        )

    def record_first_attempt(self, workspace: str, share: float, now: float) -> None:
        """Add `share` of a retry to the budget for a first attempt."""
        self._host.record_first_attempt(share, now)
        self._bucket(workspace, now).record_first_attempt(share, now)

    def spend(self, workspace: str, now: float, may_overdraw: bool = False) -> bool:
        """Spend a retry and return whether the budget allowed it.

        With `may_overdraw`, the retry is charged in any case, as a debt of up to
        the burst.
        """
        bucket = self._bucket(workspace, now)
        is_granted = not (bucket.is_empty(now) or self._host.is_empty(now))
        if is_granted or may_overdraw:
            bucket.spend()
            self._host.spend()
        return is_granted

    def _bucket(self, workspace: str, now: float) -> _TokenBucket:
        bucket = self._workspaces.get(workspace)
        if bucket is None:
            settings = self._settings
            bucket = _TokenBucket(
                settings.retry_burst, settings.retry_floor_period, now
            )
            self._workspaces[workspace] = bucket
        return bucket


def draw_backoff(retry: int, rng: random.Random, settings: RoutingSettings) -> float:
    """Return the seconds to wait before a retry: exponential with full jitter."""
    max_backoff = settings.backoff_base * 2 ** min(retry - 1, 16)
    return rng.random() * min(settings.backoff_cap, max_backoff)
