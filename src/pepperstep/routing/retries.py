"""Budgets, causes and pauses of retries."""

import enum
import random

from pepperstep.routing.settings import RoutingSettings

__all__ = ["RetryBudget", "RetryCause", "draw_backoff"]

_INITIAL_TOKENS = 3.0


class RetryCause(enum.StrEnum):
    """Why an attempt is followed by another."""

    # The upstream lives and refused, or lives and failed.
    REFUSED = "refused"
    FAILED = "failed"
    # The upstream was taken back, or died, or the owner of the request did.
    RECLAIMED = "reclaimed"
    DIED = "died"

    @property
    def may_overdraw(self) -> bool:
        """Whether the retry is only slowed, not refused, without budget.

        A request accepted before its upstream went must not be lost by it.
        """
        return self in (RetryCause.RECLAIMED, RetryCause.DIED)


class _TokenBucket:
    """Tokens that first attempts bring; a quiet time brings one."""

    __slots__ = ("tokens", "_burst", "_filled_at", "_floor_period")

    def __init__(self, burst: float, floor_period: float, now: float):
        self.tokens = min(_INITIAL_TOKENS, burst)
        self._burst = burst
        self._floor_period = floor_period
        self._filled_at = now

    def record_first_attempt(self, share: float, now: float) -> None:
        """Add a first attempt's share, or the quiet time's if that is more."""
        floor = (now - self._filled_at) / self._floor_period
        self._filled_at = now
        if floor > share and self.tokens < 1.0:
            self.tokens = min(1.0, self.tokens + floor)
        else:
            self.tokens = min(self._burst, self.tokens + share)

    def spend(self) -> None:
        """Take a token, though there be none."""
        self.tokens = max(-self._burst, self.tokens - 1)

    def is_empty(self, now: float) -> bool:
        """Whether no retry can be paid for."""
        if now - self._filled_at >= self._floor_period:
            self.tokens = max(1.0, self.tokens)
            self._filled_at = now
        # Ten shares of a tenth must make a whole.
        return self.tokens < 1.0 - 1e-9


class RetryBudget:
    """Retries as a share of first attempts, by workspace and for the host."""

    def __init__(self, settings: RoutingSettings, now: float = 0.0):
        self._settings = settings
        self._workspaces: dict[str, _TokenBucket] = {}
        self._host = _TokenBucket(
            settings.host_retry_burst, settings.retry_floor_period, now
        )

    def record_first_attempt(self, workspace: str, share: float, now: float) -> None:
        """Count a first attempt, which allows `share` of a retry."""
        self._host.record_first_attempt(share, now)
        self._bucket(workspace, now).record_first_attempt(share, now)

    def spend(self, workspace: str, now: float, may_overdraw: bool = False) -> bool:
        """Pay for a retry and return True, or return False if there is no budget.

        A retry that may exceed the budget becomes a debt, up to the burst.
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
    """Return a pause before the retry of this number, with full jitter."""
    max_backoff = settings.backoff_base * 2 ** min(retry - 1, 16)
    return rng.random() * min(settings.backoff_cap, max_backoff)
