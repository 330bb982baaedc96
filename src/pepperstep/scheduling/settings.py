"""Limits of the scheduling; times in seconds."""

from dataclasses import dataclass

__all__ = ["SchedulingSettings"]


@dataclass(frozen=True, slots=True)
class SchedulingSettings:
    """Limits of admission and placement, the same on all entry hosts."""

    # Requests that an engine may queue beyond its slots, as a fraction of its slots.
    queue_share: float = 0.25
    # Requests that a plain upstream may queue beyond its slots, as a multiple of them.
    plain_queue_share: float = 3.0
    # Assumed before anything is learned.
    initial_tokens_per_second: float = 36_000.0
    initial_service_seconds: float = 0.05
    # Predicted delay as a fraction of the latency target from which requests may be
    # refused, and from which workspaces are held to their fair shares in full.
    min_pressure: float = 0.25
    full_pressure: float = 0.5
    # Predicted delay above which requests past their target are refused, as a fraction
    # of the whole target.
    late_pressure: float = 0.1
    # Limits on the predicted delay by priority rank, most urgent first, as fractions of
    # the time left until the latency target. Further ranks get the last one.
    rank_limits: tuple[float, ...] = (1.0, 0.9, 0.8, 0.65, 0.5)
    # Added to the limit of a caller that has waited for all of its time.
    waited_bonus: float = 0.3
    # Time constant of the averages of requested and admitted work.
    share_window: float = 2.0
    # Fraction of a shard's work rate that returning callers may reserve.
    return_share: float = 0.5
    # Timeouts of calls to owners: a placement, for which a request waits, and a notice.
    place_timeout: float = 0.06
    notice_timeout: float = 0.3
    # Time over which progress is batched.
    batch: float = 0.01
    # The same for ends of requests at engines, which have many slots. A notice takes
    # more processor time than the rest of a request's scheduling.
    engine_end_batch: float = 0.15
