"""Steps of requests and changes at which a fault can be injected."""

from collections.abc import Callable

from google.protobuf.message import DecodeError

from pepperstep.fakes.steps import Step, StepKind
from pepperstep.ports.upstreams import TokenChunk
from pepperstep.proto import configuration_pb2, consensus_pb2
from tests.faults.scenario import MIDDLE, TOKENS, Scenario, records_and_checkpoints

__all__ = [
    "CHANGE_STEPS",
    "REQUEST_STEPS",
    "SERVICE_STEPS",
    "STREAM_STEPS",
    "inject_at",
]

Condition = Callable[[Scenario, object, Step], bool]


def _is_recorded_next(scenario, caller, step) -> bool:
    """The owner is about to send the request's record to the backup host."""
    return _is_batch(step) and any(
        record.request_id in caller.ids for record in step.detail.records
    )


def _is_acknowledged_next(scenario, caller, step) -> bool:
    """The backup host has the record and is about to acknowledge it."""
    return (
        step.kind is StepKind.SEND
        and step.detail.DESCRIPTOR.name == "JournalAck"
        and step.host == scenario.backups.get(caller.name)
        and step.subject == scenario.owners.get(caller.name)
    )


def _is_claimed(scenario, caller, step) -> bool:
    """The claim is committed and about to be sent to the backup host."""
    return _is_batch(step) and any(
        part.request_id in caller.ids and part.is_dispatched
        for part in records_and_checkpoints(step.detail)
    )


def _is_dispatched_next(scenario, caller, step) -> bool:
    return step.kind is StepKind.OPEN and caller.has_attempt(step.subject)


def _is_token(position: int) -> Condition:
    def matches(scenario, caller, step) -> bool:
        return (
            step.kind is StepKind.TAKE
            and caller.has_attempt(step.subject)
            and isinstance(step.detail, TokenChunk)
            and step.detail.position >= position
        )

    return matches


def _is_replied_next(scenario, caller, step) -> bool:
    """The service has run and the owner is about to read the answer."""
    return step.kind is StepKind.TAKE and caller.has_attempt(step.subject)


def _is_answered_next(scenario, caller, step) -> bool:
    """The outcome is about to be sent to the backup host."""
    return _is_batch(step) and any(
        part.request_id in caller.ids and part.outcome
        for part in records_and_checkpoints(step.detail)
    )


def _is_batch(step: Step) -> bool:
    return _is_message(step, "JournalBatch")


def _is_sent_next(scenario, change, step) -> bool:
    """The operator's host is about to forward the change to the leader."""
    return _is_message(step, "LogProposeRequest") and any(
        change.is_contained_in(proposal.command) for proposal in step.detail.proposals
    )


def _is_appended_next(scenario, change, step) -> bool:
    """The leader is about to write the change to its log."""
    is_written = step.kind is StepKind.WRITE and step.subject.startswith("append")
    return (
        is_written
        and step.host == scenario.hosts.leader
        and change.is_contained_in(step.detail)
    )


def _is_committed_next(scenario, change, step) -> bool:
    """A follower has written the change and is about to acknowledge it."""
    if _is_message(step, "LogAppendRequest"):
        for offset, entry in enumerate(step.detail.entries, start=1):
            if change.is_contained_in(entry.proposal.command):
                change.index = step.detail.previous_index + offset
    if not _is_message(step, "LogAppendReply") or not change.index:
        return False
    return step.detail.is_accepted and step.detail.match_index >= change.index


def _is_applied(scenario, change, step) -> bool:
    """The leader has applied the change and is about to push it."""
    if not _is_message(step, "ConfigurationPush"):
        return False
    return step.detail.update.revision > scenario.revision


def _is_acknowledged(scenario, change, step) -> bool:
    """The leader is about to reply that the change is accepted."""
    if not _is_message(step, "LogProposeReply") or step.subject != change.first_host:
        return False
    return any(map(_is_acceptance, step.detail.results))


def _is_acceptance(result: consensus_pb2.LogProposeReply.Result) -> bool:
    try:
        answer = configuration_pb2.ChangeResult.FromString(result.data)
    except DecodeError:
        # The result belongs to another kind of proposal.
        return False
    return answer.status == "accepted"


def _is_message(step: Step, name: str) -> bool:
    return step.kind is StepKind.SEND and step.detail.DESCRIPTOR.name == name


CHANGE_STEPS: dict[str, Condition] = {
    "sent": _is_sent_next,
    "appended": _is_appended_next,
    "committed": _is_committed_next,
    "applied": _is_applied,
    "acknowledged": _is_acknowledged,
}
STREAM_STEPS: dict[str, Condition] = {
    "before_acceptance": _is_recorded_next,
    "accepted": _is_acknowledged_next,
    "dispatched": _is_dispatched_next,
    "first_token": _is_token(0),
    "in_mid_stream": _is_token(MIDDLE),
    "last_token": _is_token(TOKENS - 1),
    "answered": _is_answered_next,
}
SERVICE_STEPS: dict[str, Condition] = {
    "before_acceptance": _is_recorded_next,
    "accepted": _is_acknowledged_next,
    "claimed": _is_claimed,
    "dispatched": _is_dispatched_next,
    "replied": _is_replied_next,
    "answered": _is_answered_next,
}
REQUEST_STEPS = {"stream": STREAM_STEPS, "service": SERVICE_STEPS}


def inject_at(scenario: Scenario, condition: Condition, caller, inject) -> None:
    """Call `inject` once, at the first step that meets the condition."""
    is_done = False

    def watch(step: Step) -> None:
        nonlocal is_done
        if not is_done and condition(scenario, caller, step):
            is_done = True
            inject()

    scenario.hosts.steps.subscribe(watch)
