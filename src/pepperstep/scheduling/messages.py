"""Conversion between scheduling messages and data classes.

Values from other hosts are clamped to their valid range here.
"""

import math
from dataclasses import dataclass

from pepperstep.ports.relaying import PromptPart
from pepperstep.proto import scheduling_pb2 as pb
from pepperstep.scheduling.requests import (
    Placement,
    PlacementRequest,
    Refusal,
    RefusalReason,
    Running,
)

__all__ = [
    "Decision",
    "decision_from_message",
    "decision_to_message",
    "request_from_message",
    "request_to_message",
    "running_from_message",
    "running_to_message",
]

_MAX_UINT32 = 2**32 - 1


@dataclass(frozen=True, slots=True)
class Decision:
    """An owner's decision on a placement request."""

    # Unix milliseconds of the creation of the shard's state.
    epoch: int
    # Predicted delay of the shard in seconds.
    delay: float
    result: Placement | Refusal


def request_to_message(
    service: str, shard: str, epoch: int, request: PlacementRequest
) -> pb.PlaceRequest:
    """Return a request to the owner of a shard, whose epoch may be 0 if unknown."""
    return pb.PlaceRequest(
        service=service,
        shard=shard,
        epoch=epoch,
        id=request.id,
        workspace=request.workspace,
        weight=request.weight,
        priority=_to_uint32(request.priority),
        parts=[
            pb.PromptPart(id=part.id, tokens=_to_uint32(part.tokens))
            for part in request.parts
        ],
        answer_tokens=_to_uint32(request.answer_tokens),
        target=None if request.target == math.inf else request.target,
        full_target=request.full_target,
        remaining=request.remaining,
        waited_share=request.waited_share,
        is_retry=request.is_retry,
        excluded=sorted(request.excluded),
    )


def request_from_message(message: pb.PlaceRequest, host: str) -> PlacementRequest:
    """Return the request that `host` has sent."""
    has_weight = math.isfinite(message.weight) and message.weight > 0
    has_target = message.HasField("target") and math.isfinite(message.target)
    return PlacementRequest(
        id=message.id,
        host=host,
        workspace=message.workspace,
        weight=message.weight if has_weight else 1.0,
        priority=message.priority,
        parts=tuple(PromptPart(part.id, part.tokens) for part in message.parts),
        answer_tokens=message.answer_tokens,
        target=message.target if has_target else math.inf,
        full_target=_to_seconds(message.full_target),
        remaining=max(0.0, message.remaining),
        waited_share=min(1.0, _to_seconds(message.waited_share)),
        is_retry=message.is_retry,
        excluded=frozenset(message.excluded),
    )


def decision_to_message(decision: Decision | None) -> pb.PlaceReply:
    """Return the reply with a decision, None if the shard is unknown."""
    if decision is None:
        return pb.PlaceReply()
    reply = pb.PlaceReply(is_known=True, epoch=decision.epoch, delay=decision.delay)
    result = decision.result
    if isinstance(result, Refusal):
        reply.refusal.reason = result.reason
        reply.refusal.retry_after = result.retry_after
        return reply
    reply.placement.upstream = result.upstream
    reply.placement.incarnation = result.incarnation
    reply.placement.missing = _to_uint32(result.missing)
    reply.placement.expected = result.expected
    return reply


def decision_from_message(reply: pb.PlaceReply) -> Decision | None:
    """Return the decision in a reply, None without one that this host understands."""
    if not reply.is_known:
        return None
    delay = max(0.0, reply.delay)
    if reply.HasField("placement"):
        placed = reply.placement
        expected = _to_seconds(placed.expected)
        placement = Placement(
            placed.upstream, placed.incarnation, placed.missing, expected
        )
        return Decision(reply.epoch, delay, placement)
    if reply.refusal.reason not in set(RefusalReason):
        return None
    reason = RefusalReason(reply.refusal.reason)
    retry_after = _to_seconds(reply.refusal.retry_after)
    return Decision(reply.epoch, delay, Refusal(reason, retry_after, delay))


def running_to_message(running: Running) -> pb.RunningRequest:
    """Return an in-flight request as a message."""
    return pb.RunningRequest(
        id=running.id,
        upstream=running.upstream,
        incarnation=running.incarnation,
        workspace=running.workspace,
        missing=_to_uint32(running.missing),
        age=running.age,
    )


def running_from_message(message: pb.RunningRequest) -> Running:
    """Return the in-flight request in a message."""
    return Running(
        message.id,
        message.upstream,
        message.incarnation,
        message.workspace,
        message.missing,
        _to_seconds(message.age),
    )


def _to_uint32(value: int) -> int:
    return min(max(0, value), _MAX_UINT32)


def _to_seconds(value: float) -> float:
    """Return a value that is finite and not negative, 0 for an invalid one."""
    return value if math.isfinite(value) and value > 0 else 0.0
