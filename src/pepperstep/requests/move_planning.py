"""Plans how each request leaves an upstream that will be reclaimed.

The policies are pure functions on data classes: `plan_moves` and two baselines to
compare it with.
"""

import enum
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field, replace

from pepperstep.entities import ModelKey, Priority

__all__ = [
    "POLICIES",
    "LeavingUpstream",
    "Move",
    "MoveKind",
    "MoveReason",
    "MoveTarget",
    "MovingRequest",
    "Policy",
    "plan_always_finish",
    "plan_always_recompute",
    "plan_moves",
]

# Longest pause in an answer while its KV cache is exported, unless recomputing the
# cache takes even longer.
_MAX_STALL_SECONDS_BY_PRIORITY = {
    Priority.INTERACTIVE: 2.0,
    Priority.STANDARD: 10.0,
    Priority.BATCH: 60.0,
}


class MoveKind(enum.StrEnum):
    """How a request on a leaving upstream continues.

    `FINISH`: it stays until the upstream ends. `EXPORT`: its KV cache is sent to
    another upstream. `RECOMPUTE`: another upstream computes it again.
    """

    FINISH = "finish"
    EXPORT = "export"
    RECOMPUTE = "recompute"


class MoveReason(enum.StrEnum):
    """Why a move was chosen."""

    ENDS_IN_TIME = "ends_in_time"
    CACHE_ARRIVES_IN_TIME = "cache_arrives_in_time"
    NO_TIME_FOR_EXPORT = "no_time_for_export"
    EXPORT_STALLS_TOO_LONG = "export_stalls_too_long"
    NOTHING_TO_EXPORT = "nothing_to_export"
    NOT_MOVABLE = "not_movable"
    NO_TARGET = "no_target"
    FIXED_POLICY = "fixed_policy"


@dataclass(frozen=True, slots=True)
class LeavingUpstream:
    """An upstream that ends in `seconds`."""

    name: str
    zone: str
    seconds: float
    # This host's share of the upstream's export bandwidth.
    bytes_per_second: float
    bytes_per_token: float


@dataclass(frozen=True, slots=True)
class MoveTarget:
    """An upstream that stays."""

    name: str
    zone: str
    models: frozenset[ModelKey]
    # Number of requests that it can accept now; may be negative under overload.
    free_slots: int


@dataclass(frozen=True, slots=True)
class MovingRequest:
    """A request on a leaving upstream."""

    id: str
    upstream: str
    model_key: ModelKey
    priority: Priority
    # Tokens of prompt and answer in its KV cache, and tokens still to be generated.
    tokens: int
    remaining_tokens: int
    decode_seconds: float
    prefill_seconds: float
    # False for service calls, which can't continue elsewhere.
    is_movable: bool = True
    # Tokens in the prefix cache of each target, as far as known.
    cached_tokens: Mapping[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Move:
    """Decision on one request."""

    request_id: str
    upstream: str
    kind: MoveKind
    reason: MoveReason
    # Upstream on which the request continues, "" to stay.
    target: str = ""
    # Predicted number of tokens to compute again.
    recomputed: int = 0
    # Seconds from now until an export starts and until it has arrived.
    starts_at: float = 0.0
    arrives_at: float = 0.0


Policy = Callable[
    [Sequence[LeavingUpstream], Sequence[MovingRequest], Sequence[MoveTarget]],
    list[Move],
]


def plan_moves(
    leaving_upstreams: Sequence[LeavingUpstream],
    requests: Sequence[MovingRequest],
    targets: Sequence[MoveTarget],
) -> list[Move]:
    """Return one decision for each request, for all leaving upstreams together.

    A request that ends in time stays. The KV caches of the others are exported in the
    order of the recomputation saved per byte, as long as they arrive in time. The rest
    moves at once and is recomputed. If moving all requests at once is predicted to
    recompute less, that plan is returned instead.
    """
    plans = (
        _plan_by_cost(leaving_upstreams, requests, targets),
        plan_always_recompute(leaving_upstreams, requests, targets),
    )
    return min(plans, key=lambda plan: sum(move.recomputed for move in plan))


def plan_always_recompute(
    leaving_upstreams: Sequence[LeavingUpstream],
    requests: Sequence[MovingRequest],
    targets: Sequence[MoveTarget],
) -> list[Move]:
    """Move every request at once and recompute it (baseline)."""
    capacity = _TargetCapacity(leaving_upstreams, targets)
    moves = []
    for request in requests:
        target = capacity.reserve_slot(request) if request.is_movable else None
        if target is None:
            moves.append(_baseline_move(request, MoveKind.FINISH, request.tokens))
            continue
        recomputed = _recomputed_at(request, target)
        move = _baseline_move(request, MoveKind.RECOMPUTE, recomputed)
        moves.append(replace(move, target=target.name))
    return moves


def plan_always_finish(
    leaving_upstreams: Sequence[LeavingUpstream],
    requests: Sequence[MovingRequest],
    targets: Sequence[MoveTarget],
) -> list[Move]:
    """Let every request run until its upstream ends (baseline)."""
    seconds = {leaving.name: leaving.seconds for leaving in leaving_upstreams}
    return [
        _baseline_move(request, MoveKind.FINISH, _tokens_lost_at_end(request, seconds))
        for request in requests
    ]


POLICIES: dict[str, Policy] = {
    "planned": plan_moves,
    "always_recompute": plan_always_recompute,
    "always_finish": plan_always_finish,
}


def _plan_by_cost(
    leaving_upstreams: Sequence[LeavingUpstream],
    requests: Sequence[MovingRequest],
    targets: Sequence[MoveTarget],
) -> list[Move]:
    by_name = {leaving.name: leaving for leaving in leaving_upstreams}
    capacity = _TargetCapacity(leaving_upstreams, targets)
    # Seconds from now until which each leaving upstream is busy exporting.
    export_busy_until = dict.fromkeys(by_name, 0.0)
    moves = []
    for request in sorted(requests, key=_export_order):
        leaving = by_name[request.upstream]
        move = _finish_in_place(request, leaving) or _move_to_target(
            request, leaving, capacity, export_busy_until
        )
        if move.kind is MoveKind.EXPORT:
            export_busy_until[leaving.name] = move.arrives_at
        moves.append(move)
    return moves


class _TargetCapacity:
    """Free slots of the targets, less those that earlier decisions use."""

    def __init__(
        self,
        leaving_upstreams: Sequence[LeavingUpstream],
        targets: Sequence[MoveTarget],
    ):
        leaving_names = {leaving.name for leaving in leaving_upstreams}
        self._zones = {leaving.zone for leaving in leaving_upstreams}
        self._targets = [
            target for target in targets if target.name not in leaving_names
        ]
        self._free_slots = {target.name: target.free_slots for target in self._targets}

    def find_target(self, request: MovingRequest) -> MoveTarget | None:
        """Return the best target, or None if none has the request's model.

        Targets with free slots come first. Among them, zones without a leaving upstream
        are preferred, because reclaims come by zone, and then the target with the most
        free slots, which spreads the requests.
        """
        candidates = [t for t in self._targets if request.model_key in t.models]
        return max(candidates, key=self._preference, default=None)

    def reserve_slot(self, request: MovingRequest) -> MoveTarget | None:
        """Find a target and use one of its slots."""
        target = self.find_target(request)
        if target is not None:
            self._free_slots[target.name] -= 1
        return target

    def _preference(self, target: MoveTarget) -> tuple[bool, bool, int, str]:
        free_slots = self._free_slots[target.name]
        is_unaffected_zone = target.zone not in self._zones
        return (free_slots > 0, is_unaffected_zone, free_slots, target.name)


def _export_order(request: MovingRequest) -> tuple[float, int, str]:
    """Sort key: most tokens saved per byte first, then largest, then by id."""
    cached = max(request.cached_tokens.values(), default=0)
    saved_share = 1 - min(cached, request.tokens) / max(1, request.tokens)
    return (-saved_share, -request.tokens, request.id)


def _finish_in_place(request: MovingRequest, leaving: LeavingUpstream) -> Move | None:
    if not request.is_movable:
        reason = MoveReason.NOT_MOVABLE
    elif request.remaining_tokens * request.decode_seconds <= leaving.seconds:
        reason = MoveReason.ENDS_IN_TIME
    else:
        return None
    return Move(request.id, request.upstream, MoveKind.FINISH, reason)


def _move_to_target(
    request: MovingRequest,
    leaving: LeavingUpstream,
    capacity: _TargetCapacity,
    export_busy_until: Mapping[str, float],
) -> Move:
    target = capacity.reserve_slot(request)
    if target is None:
        return Move(
            request.id,
            request.upstream,
            MoveKind.FINISH,
            MoveReason.NO_TARGET,
            recomputed=request.tokens,
        )
    starts_at = export_busy_until[leaving.name]
    # The request keeps running until its export starts, so its cache grows.
    tokens = request.tokens + int(starts_at / max(request.decode_seconds, 1e-9))
    seconds = tokens * leaving.bytes_per_token / max(leaving.bytes_per_second, 1e-9)
    recomputed = _recomputed_at(request, target)
    reason = _export_reason(request, leaving, starts_at + seconds, seconds, recomputed)
    if reason is not MoveReason.CACHE_ARRIVES_IN_TIME:
        return Move(
            request.id,
            request.upstream,
            MoveKind.RECOMPUTE,
            reason,
            target.name,
            recomputed,
        )
    return Move(
        request.id,
        request.upstream,
        MoveKind.EXPORT,
        reason,
        target.name,
        0,
        starts_at,
        starts_at + seconds,
    )


def _export_reason(
    request: MovingRequest,
    leaving: LeavingUpstream,
    arrives_at: float,
    stall_seconds: float,
    recomputed: int,
) -> MoveReason:
    """Return whether to export the KV cache, and if not why."""
    if recomputed <= 0:
        return MoveReason.NOTHING_TO_EXPORT
    if arrives_at > leaving.seconds:
        return MoveReason.NO_TIME_FOR_EXPORT
    recompute_seconds = recomputed * request.prefill_seconds
    max_stall_seconds = max(
        _MAX_STALL_SECONDS_BY_PRIORITY[request.priority], recompute_seconds
    )
    if stall_seconds > max_stall_seconds:
        return MoveReason.EXPORT_STALLS_TOO_LONG
    return MoveReason.CACHE_ARRIVES_IN_TIME


def _recomputed_at(request: MovingRequest, target: MoveTarget) -> int:
    return max(0, request.tokens - request.cached_tokens.get(target.name, 0))


def _tokens_lost_at_end(request: MovingRequest, seconds: Mapping[str, float]) -> int:
    """Return the tokens to recompute if the request stays until its upstream ends."""
    seconds_left = seconds[request.upstream]
    if request.remaining_tokens * request.decode_seconds <= seconds_left:
        return 0
    return request.tokens + int(
        max(0.0, seconds_left) / max(request.decode_seconds, 1e-9)
    )


def _baseline_move(request: MovingRequest, kind: MoveKind, recomputed: int) -> Move:
    return Move(
        request.id,
        request.upstream,
        kind,
        MoveReason.FIXED_POLICY,
        recomputed=recomputed,
    )
