"""Summary of why a request was refused or late, from its log lines."""

from collections.abc import Sequence
from typing import Protocol

__all__ = ["LoggedStep", "verdict_of"]

_DECISION_EVENTS = frozenset(
    {
        "placement_refused",
        "quota_exceeded",
        "request_scheduled",
        "scheduling_unavailable",
    }
)
_END_EVENTS = frozenset({"request_answered", "request_refused"})


class LoggedStep(Protocol):
    """A log line about a request, with its event's fields."""

    event: str
    inputs: dict[str, object]


def verdict_of(steps: Sequence[LoggedStep]) -> str:
    """Return which limit or prediction decided about a refused or late request.

    Return "" if it was in time, or if no line tells the decision.
    """
    decisions = [step for step in steps if step.event in _DECISION_EVENTS]
    ends = [step for step in steps if step.event in _END_EVENTS]
    if not decisions or not ends:
        return ""
    decision, end = decisions[-1], ends[-1]
    if end.event == "request_refused":
        return _refusal(decision, end.inputs)
    if _is_late(end.inputs):
        return _lateness(decision, end.inputs)
    return ""


def _refusal(decision: LoggedStep, end: dict) -> str:
    inputs = decision.inputs
    match decision.event:
        case "placement_refused":
            return (
                f"Refused by the limit {inputs.get('reason', '')!r}:"
                f" {_decision(inputs, end, inputs.get('delay_ms', 0))}"
            )
        case "quota_exceeded":
            owner = inputs.get("asked") or "this host alone"
            workspace = inputs.get("workspace", "")
            return (
                f"Refused by the limit 'quota': workspace {workspace},"
                f" decided by {owner}"
            )
        case "scheduling_unavailable":
            code = end.get("code", "")
            return f"Refused by this host alone, as no owner answered: {code}"
    # The upstream or the way to it failed after the placement.
    return ""


def _lateness(decision: LoggedStep, end: dict) -> str:
    late = f"Late by {end['first_ms'] - end['target_ms']} ms"
    inputs = decision.inputs
    if decision.event == "request_scheduled":
        return f"{late}: {_decision(inputs, end, inputs.get('expected_ms', 0))}"
    if decision.event == "scheduling_unavailable":
        return f"{late}: placed by this host alone, as no owner answered"
    return ""


def _decision(inputs: dict, end: dict, delay_ms: int) -> str:
    """Return the inputs of an owner's decision."""
    workspace = inputs.get("workspace") or end.get("workspace") or "public"
    shard = f"{inputs.get('service', '')}/{inputs.get('shard', '')}"
    return (
        f"workspace {workspace}, priority {inputs.get('priority', 0)},"
        f" predicted delay {delay_ms} ms, decided by {inputs.get('owner', '')}"
        f" (shard {shard}, {inputs.get('asked', 0)} asked)"
    )


def _is_late(end: dict) -> bool:
    target = end.get("target_ms", 0)
    return bool(target) and end.get("first_ms", 0) > target
