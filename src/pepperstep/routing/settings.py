"""Routing settings: policies by name, and their parameters."""

from typing import Annotated, Literal

from pydantic import ConfigDict, Field
from pydantic.dataclasses import dataclass

__all__ = ["RoutingSettings"]

_STRICT = ConfigDict(extra="forbid", allow_inf_nan=False)

Flag = Annotated[bool, Field(strict=True)]
Count = Annotated[int, Field(gt=0, strict=True)]
Seconds = Annotated[float, Field(ge=0, strict=True)]
Factor = Annotated[float, Field(ge=1, strict=True)]
Number = Annotated[float, Field(ge=0, strict=True)]
Share = Annotated[float, Field(ge=0, le=1, strict=True)]
ClassShare = Annotated[float, Field(gt=0, le=2, strict=True)]
LimitPolicy = Literal["fixed", "aimd"]


@dataclass(frozen=True, config=_STRICT)
class RoutingSettings:
    """How requests are routed, limited, rejected and retried; times in seconds.

    The simplest baselines are `choice="round_robin"`, "least_in_flight" or
    "random", `queue="fifo"`, `limit="fixed"`, `breaker="none"` and
    `refuses_early=False`.
    """

    choice: Literal["predicted", "least_in_flight", "round_robin", "random"] = (
        "predicted"
    )
    queue: Literal["fair", "fifo"] = "fair"
    limit: LimitPolicy = "aimd"
    host_limit: LimitPolicy = "aimd"
    breaker: Literal["none", "consecutive"] = "consecutive"
    refuses_early: Flag = True

    # Upstreams drawn at random for each choice, besides prefix holders.
    choices: Count = 3
    # Maximum age of the list of upstreams.
    view_period: Seconds = 0.02
    # Maximum age of a load report when it arrives.
    report_lag: Seconds = 1.5
    # Share of the pending prefills that a new prefill waits for.
    prefill_sharing: Share = 0.5
    # Added to the prediction for an upstream in another zone or region.
    zone_seconds: Seconds = 0.002
    region_seconds: Seconds = 0.1
    # Added for an upstream whose latest attempts all failed, or a part of it.
    failure_seconds: Seconds = 1.0
    # Added for an engine whose role, prefill or decode, does not fit the work.
    role_seconds: Seconds = 0.25
    # Half-life of the penalty for a slow or failing upstream.
    history_half_life: Seconds = 10.0
    # Half-life of the probability that a block is still in a prefix cache.
    belief_half_life: Seconds = 600.0
    # Blocks tracked per upstream.
    cache_blocks: Count = 3000
    # Maximum delay of a cache event; blocks placed within it aren't removed.
    event_lag: Seconds = 2.0

    # Share of an upstream's limit that a class may use while a higher class is
    # active: interactive, standard, batch.
    class_shares: tuple[ClassShare, ClassShare, ClassShare] = (1.25, 1.0, 0.8)
    # Time for which a class counts as active after its last request.
    class_seconds: Seconds = 30.0
    # Share of the starts that a lower class gets while a higher one waits.
    lower_class_share: Share = 0.05
    # Interval at which waiting requests check for changed upstreams.
    poll_period: Seconds = 0.05

    # Lower bound of an adaptive limit as a share of an upstream's slots.
    min_limit_share: Share = 0.25
    # Latency above the expected one times this factor counts as queueing.
    limit_tolerance: Factor = 1.5
    # Shortest time between two decreases of a limit.
    limit_period: Seconds = 0.5
    # Bounds of the limit on attempts in flight at this host.
    max_host_in_flight: Count = 2000
    min_host_in_flight: Count = 50
    # Timer delay above which the host's limit is decreased.
    host_delay: Seconds = 0.05

    # Reject an interactive request whose predicted first token takes longer than
    # its target times this factor.
    refusal_multiple: Factor = 4.0

    # Retries that a workspace and the host may save up.
    retry_burst: Count = 10
    host_retry_burst: Count = 50
    # At low load, one retry is allowed per period.
    retry_floor_period: Seconds = 10.0
    # Longest wait of an accepted request for the retry budget.
    retry_wait: Seconds = 12.0
    backoff_base: Seconds = 0.05
    backoff_cap: Seconds = 2.0
    # A failing upstream that is still announced after this time isn't dead.
    death_seconds: Seconds = 5.0

    # Largest share of a pool's upstreams that may be ejected at once.
    max_ejected_share: Share = 0.25
    # Consecutive failures that eject an upstream.
    breaker_failures: Count = 5
    # Duration of the first ejection, which doubles with each one up to the cap.
    ejection_base: Seconds = 1.0
    ejection_cap: Seconds = 30.0
    # A first token counts as a failure if it is later than this and later than
    # the lower quartile of the pool's upstreams times the factor.
    slow_seconds: Seconds = 0.25
    slow_factor: Factor = 4.0

    # Requests whose routing decisions are kept for `pepperstep explain`.
    explanations: Count = 2000
