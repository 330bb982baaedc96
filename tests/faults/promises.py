"""Checks of the system's seven promises (a to g) on the events of a scenario."""

from pepperstep.configuration import ChangeStatus
from pepperstep.entities import ServiceAnswer
from pepperstep.errors import Code, Execution
from pepperstep.fakes import FakeEngine, answer_of
from tests.faults.scenario import POISON, Scenario

__all__ = ["check_promises"]

_LEAVING_SECONDS = 3.0


def check_promises(scenario: Scenario) -> None:
    """Raise AssertionError with all broken promises."""
    violations = [
        *_check_survival(scenario),
        *_check_answers(scenario),
        *_check_refusals(scenario),
        *_check_runs(scenario),
        *_check_leaving(scenario),
        *_check_drains(scenario),
        *_check_configuration(scenario),
        *_check_crashes(scenario),
    ]
    assert not violations, "\n".join(violations)


def _check_survival(scenario: Scenario) -> list[str]:
    """(a) Every accepted request gets a complete answer."""
    violations = [
        f for c in scenario.callers for f in c.violations if "Cut by" not in f
    ]
    for caller in scenario.callers:
        if caller.outcome is None:
            violations.append(f"(a) {caller.name}: no outcome in time.")
        elif _must_be_answered(caller, scenario) and not caller.outcome.is_answered:
            violations.append(f"(a) {caller.name}: {caller.outcome}.")
    parallel = scenario.stream.parallel_outcome
    if scenario.stream.outcome and (parallel is None or not parallel.is_answered):
        violations.append(f"(a) The parallel reader got {parallel}.")
    return violations


def _must_be_answered(caller, scenario: Scenario) -> bool:
    """Whether the request must be answered.

    A request that isn't repeatable may end with an unknown outcome, and one that
    crashes engines in a refusal.
    """
    return caller.is_repeatable and caller.prompt != POISON


def _check_answers(scenario: Scenario) -> list[str]:
    """(b) A complete answer has all tokens, and only those of its own request."""
    violations = []
    stream = scenario.stream
    answers = [(c, c.tokens, c.outcome) for c in scenario.callers if c.is_repeatable]
    answers.append((stream, stream.parallel_tokens, stream.parallel_outcome))
    for caller, tokens, outcome in answers:
        if outcome is None or not outcome.is_answered:
            continue
        if tokens != answer_of(caller.request) or outcome.finish != "length":
            violations.append(f"(b) {caller.name}: {len(tokens)} tokens, {outcome}.")
    answer = ServiceAnswer(200, "application/json", b"done service")
    for caller in (scenario.service, scenario.duplicate):
        outcome = caller.outcome
        if outcome and outcome.is_answered and outcome.service != answer:
            violations.append(f"(b) Service: {outcome.service}.")
    return violations


def _check_refusals(scenario: Scenario) -> list[str]:
    """(c) A request refused as "not run" ran on no upstream."""
    ran = set()
    for each in scenario.upstreams.all.values():
        if isinstance(each, FakeEngine):
            ran |= {attempt_id.rsplit(".", 2)[0] for attempt_id in each.attempts}
        else:
            ran |= {request_id for request_id, n in each.runs_by_id.items() if n}
    return [
        f"(c) {refusal} has run."
        for caller in scenario.callers
        for refusal in caller.refusals
        if refusal.execution is Execution.NOT_RUN and refusal.request_id in ran
    ]


def _check_runs(scenario: Scenario) -> list[str]:
    """(d) An unrepeatable request runs at most once, and its outcome is correct."""
    service = scenario.service
    runs = sum(
        each.runs[service.name.encode()]
        for each in scenario.upstreams.all.values()
        if not isinstance(each, FakeEngine)
    )
    if runs > 1:
        return [f"(d) Ran {runs} times."]
    violations = []
    for outcome in (service.outcome, scenario.duplicate.outcome):
        if outcome is None:
            continue
        if outcome.is_answered and runs != 1:
            violations.append(f"(d) Answered after {runs} runs.")
        is_refused = not outcome.is_answered
        if is_refused and outcome.execution is Execution.NOT_RUN and runs:
            violations.append(f"(d) Has run: {outcome}.")
    return violations


def _check_leaving(scenario: Scenario) -> list[str]:
    """(e) An upstream gets no new attempts 3 s after it announced that it leaves."""
    return [
        f"(e) {attempt} but left at {leaving_since}."
        for attempt in scenario.opened_attempts
        if (
            leaving_since := scenario.leaving_since.get(
                (attempt.upstream, attempt.epoch)
            )
        )
        is not None
        and attempt.time > leaving_since + _LEAVING_SECONDS
    ]


def _check_drains(scenario: Scenario) -> list[str]:
    """(f) A drain breaks no caller's connection."""
    return [f"(f) {f}" for c in scenario.callers for f in c.violations if "Cut by" in f]


def _check_configuration(scenario: Scenario) -> list[str]:
    """(g) An accepted change is in force on all hosts, and no host reverts it."""
    violations = [
        f"(g) {violation}" for c in scenario.changes for violation in c.violations
    ]
    accepted = [change for change in scenario.changes if change.is_accepted]
    if len(accepted) != 1:
        violations.append(f"(g) {len(accepted)} changes were accepted.")
    for change in scenario.changes:
        if any(answer != change.answer for answer in change.answers):
            violations.append(f"(g) A resend got another answer: {change.answers}.")
        if not change.is_accepted:
            violations += _check_loser(change, accepted)
    for name, host in scenario.hosts.hosts.items():
        if host.node.reasons_not_ready():
            violations.append(f"(g) {name}: {host.node.reasons_not_ready()}.")
        value = host.node.configuration.limits.max_queue
        if accepted and value != accepted[0].value:
            violations.append(f"(g) {name} has value {value} in force.")
    return violations + _check_no_rollback(scenario)


def _check_loser(change, accepted) -> list[str]:
    if change.answer is None:
        return [f"(g) Change {change.change_id} has no answer."]
    names_winner = (
        change.answer.winner is not None
        and accepted
        and (change.answer.winner.change_id == accepted[0].change_id)
    )
    if change.answer.status is ChangeStatus.CONFLICT and names_winner:
        return []
    return [f"(g) {change.change_id}: {change.answer}."]


def _check_no_rollback(scenario: Scenario) -> list[str]:
    violations = []
    newest: dict[str, int] = {}
    for served in scenario.hosts.served:
        if not served.is_ready:
            continue
        if served.revision < newest.get(served.host, 0):
            violations.append(f"(g) Went back: {served}.")
        newest[served.host] = max(newest.get(served.host, 0), served.revision)
    return violations


def _check_crashes(scenario: Scenario) -> list[str]:
    """A crashing request ends at most two engines, and is refused for that reason."""
    crashed = [
        engine.name for engine in scenario.upstreams.engines if engine.has_crashed
    ]
    violations = [f"Crashed: {crashed}."] if len(crashed) > 2 else []
    for caller in scenario.callers:
        is_poison = caller.prompt == POISON and caller.outcome is not None
        if is_poison and caller.outcome.code is not Code.CRASHING_REQUEST:
            violations.append(f"{caller.name}: {caller.outcome}.")
    return violations
